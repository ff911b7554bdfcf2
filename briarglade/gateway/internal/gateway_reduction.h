// The reduction of one event at the gateway: one class, whose duties stand in
// files of their own.
//
//   gateway.cc         requests that come, wait, are sent and answered;
//   backends exchange_ends.cc   ends of exchanges: health, another try, the
//   answer backend_faults.cc  groups that end, and requests that take servers
//   down

#pragma once

#include <vector>

#include "briarglade/gateway/gateway.h"
#include "briarglade/routing/outcome.h"

namespace briarglade::internal {

// When a refused caller should come back, at least.
constexpr Millis kMinRetryAfter = Millis(100);
// A request isn't tried again with less time left than this.
constexpr Millis kMinUsefulTime = Millis(40);

// The reduction of one event.
class GatewayReduction
{
public:
  GatewayReduction(GatewayState& aState, Millis aNow, GatewayEffects& aEffects)
    : m_state(aState)
    , m_now(aNow)
    , m_effects(aEffects)
  {
  }

  void On(const GatewayTick&);
  void On(const BackendsChanged& aChange);
  void On(const PeerLoad& aLoad);
  void On(const GroupsEnded& aEnded);
  void On(const ServerLost& aLost);
  void On(const CrashNotice& aNotice);
  void On(const RosterChanged& aChange);
  void On(const CallerRequestArrived& aRequest);
  void On(const AnswerProgressed& aProgress);
  void On(const ServerLeaves& aLeaves);
  void On(const ExchangeEnded& aEnded);
  void On(const CallerLeft& aLeft);

private:
  GatewayRequest* Find(RequestHandle aHandle);
  static BackendWish WishOf(const GatewayRequest& aRequest);
  WaitQueue& QueueOf(const GatewayRequest& aRequest);
  RepeatBudget& BudgetOf(const ServiceId& aService);
  bool TakeRepeat(const ServiceId& aService);
  Millis TimeLeft(const GatewayRequest& aRequest) const;

  bool Start(GatewayRequest& aRequest);
  uint32_t MaxIdleConnections(const Backend& aBackend) const;
  void WaitOrRefuse(GatewayRequest& aRequest);
  void StopWaiting(GatewayRequest& aRequest);
  void StartWaiting();
  void MoveFrom(size_t aSlot, const char* aReason);
  void NoteHealth(const GatewayRequest& aRequest,
                  const ExchangeEnded& aEnded,
                  ExchangeEnd aEnd,
                  bool aIsServed);
  bool MayTryAgain(const GatewayRequest& aRequest, const Verdict& aVerdict);
  void TryAgainOrFinish(GatewayRequest& aRequest,
                        const ExchangeEnded& aEnded,
                        const Verdict& aVerdict);
  void Finish(GatewayRequest& aRequest, ResultCode aCode, Millis aRetryAfter);
  Millis RefusedFor(const GatewayRequest& aRequest) const;
  void NoteCrashSigns(const GatewayRequest& aRequest, ExchangeEnd aEnd);
  void TellCrashes();
  void PassOn(GatewayRequest& aRequest, const ExchangeEnded& aEnded);
  void Forget(const GatewayRequest& aRequest);
  void LogRequest(const char* aEvent,
                  const GatewayRequest& aRequest,
                  std::vector<LogField> aFields);

  GatewayState& m_state;
  const Millis m_now;
  GatewayEffects& m_effects;
};

} // namespace briarglade::internal
