// Applies one event to the gateway's state. The methods of the class are
// implemented in four files:
//
//   gateway.cc         arrival, queueing, sending and answering of requests,
//                      and changes of the backends
//   exchange_ends.cc   ends of exchanges: backend health, retries, the answer
//   failover.cc        hedges of requests whose group is silent or ends
//   backend_faults.cc  requests that crash servers

#pragma once

#include <vector>

#include "briarglade/gateway/gateway.h"
#include "briarglade/routing/outcome.h"

namespace briarglade::internal {

// The shortest retry delay given to a rejected caller.
constexpr Millis kMinRetryAfter = Millis(100);
// A request with less time left than this is rejected on arrival and is not
// retried.
constexpr Millis kMinUsefulTime = Millis(40);
// Additional sends beyond the route's maximum attempts. Only sends after which
// the request may have run count as attempts.
constexpr uint32_t kExtraSends = 2;

// Why a request is not retried after an exchange.
enum class RetryBlock
{
  // It may be retried.
  None,
  CallerLeft,
  // Another run could do harm, or the answer is final.
  Unsafe,
  // It is refused because it crashes servers.
  Harmful,
  // As many servers may have run it as its route allows.
  Attempts,
  // It was sent as often as the gateway sends a request.
  Sends,
  // Its deadline is too close.
  Time,
  // The service's retry budget is exhausted.
  Budget
};

// Handles one event: On() updates the state and appends the effects.
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
  void On(const ServerAlive& aAlive);
  void On(const CrashEvidence& aEvidence);
  void On(const TraitClearance& aClearance);
  void On(const TraitRefusal& aRefusal);
  void On(const RosterChanged& aChange);
  void On(const CallerRequestArrived& aRequest);
  void On(const AnswerProgressed& aProgress);
  void On(const ServerLeaving& aLeaving);
  void On(const ServerRateStated& aStated);
  void On(const RateLimitNotice& aNotice);
  void On(const ExchangeEnded& aEnded);
  void On(const CallerLeft& aLeft);
  void On(const ColdTurnRequested& aRequest);
  void On(const ColdTurnGranted& aGrant);
  void On(const ColdTurnEnded& aEnded);
  void On(const ColdTurnResponse& aResponse);

  // Asks other nodes for turns at cold servers, and grants theirs.
  void ExchangeColdTurns();

private:
  // Returns the request, or nullptr.
  GatewayRequest* Find(RequestHandle aHandle);
  static BackendRequirements RequirementsOf(const GatewayRequest& aRequest);
  WaitQueue& QueueOf(const GatewayRequest& aRequest);
  ServiceRetryBudget& BudgetOf(const ServiceId& aService);
  // Consumes one retry of the service's budget. Returns false if the budget is
  // exhausted.
  bool TryConsumeRetry(const ServiceId& aService);
  // Returns the time until the caller's deadline or the time set by the
  // operators, whichever is earlier.
  Millis TimeLeft(const GatewayRequest& aRequest) const;

  // Sends the request to the best backend with room. Returns false if there is
  // none.
  bool Start(GatewayRequest& aRequest);
  uint32_t MaxIdleConnections(const Backend& aBackend) const;
  // Queues the request, or rejects it if no backend can serve it or the
  // expected wait is too long.
  void WaitOrRefuse(GatewayRequest& aRequest);
  // Removes the request from its queue.
  void RemoveFromQueue(GatewayRequest& aRequest);
  // Starts queued requests while backends have room.
  void StartQueuedRequests();
  // Sends the request to a backend that was chosen for it.
  void SendTo(GatewayRequest& aRequest, size_t aSlot, ExchangeRole aRole);
  // Starts a hedge for each request at a failed or ended backend that may be
  // retried, while another backend has room and retry budget is left.
  void FailOverFrom(size_t aSlot, const char* aReason);
  // Returns whether one more server may be sent the request while it runs.
  bool MayHedge(const GatewayRequest& aRequest) const;
  // Gives up the primary exchange, which still runs, for the hedge.
  void Promote(GatewayRequest& aRequest, const GatewayExchange& aHedge);
  void LogMoved(const GatewayRequest& aRequest, const HostId& aFrom);
  // Gives up the hedge, if there is one. It may have run.
  void Drop(GatewayRequest& aRequest, const char* aReason);
  // Records that this node no longer uses the backend for the exchange.
  void Release(GatewayRequest& aRequest, const GatewayExchange& aExchange);
  // Returns whether the exchange has brought the caller's final answer.
  static bool IsServed(const ExchangeEnded& aEnded,
                       const ExchangeClassification& aClassification);
  // Answers the caller, goes on with the hedge, or retries.
  void OnPrimaryEnded(GatewayRequest& aRequest, const ExchangeEnded& aEnded);
  // Answers the caller, or leaves the request to the primary exchange.
  void OnHedgeEnded(GatewayRequest& aRequest, const ExchangeEnded& aEnded);
  // Records all that the end of an exchange shows, and returns what is known
  // about the request.
  ExchangeClassification RecordEnd(GatewayRequest& aRequest,
                                   GatewayExchange& aExchange,
                                   const ExchangeEnded& aEnded);
  // Updates the backend's health from the end of an exchange.
  void RecordBackendHealth(const GatewayExchange& aExchange,
                           const ExchangeEnded& aEnded,
                           bool aIsServed);
  void LogExchangeFailed(const GatewayRequest& aRequest,
                         const GatewayExchange& aExchange,
                         const ExchangeEnded& aEnded);
  // Returns which limit, if any, keeps the request from one more server, when
  // aMayHaveRun servers may have run it or may be running it.
  RetryBlock FindLimit(const GatewayRequest& aRequest,
                       uint32_t aMayHaveRun) const;
  // Returns why the request is not retried after an exchange, apart from the
  // retry budget.
  RetryBlock FindRetryBlock(
    const GatewayRequest& aRequest,
    const ExchangeClassification& aClassification) const;
  void LogRetried(const GatewayRequest& aRequest,
                  const ExchangeClassification& aClassification);
  void LogNotRetried(const GatewayRequest& aRequest, RetryBlock aBlock);
  // Retries the request if that is safe and within its limits; otherwise
  // finishes it.
  void RetryOrFinish(GatewayRequest& aRequest,
                     const ExchangeEnded& aEnded,
                     const ExchangeClassification& aClassification);
  // Answers the caller with a result code and removes the request.
  void Finish(GatewayRequest& aRequest, ResultCode aCode, Millis aRetryAfter);
  static std::vector<RequestTrait> TraitsOf(
    const CallerRequestArrived& aRequest);
  // Returns how much longer the request is refused as harmful; zero if it is
  // not refused.
  Millis RefusedFor(const GatewayRequest& aRequest) const;
  void RecordSurvival(const GatewayRequest& aRequest,
                      GatewayExchange& aExchange);
  void RecordCrashEvidence(const GatewayRequest& aRequest,
                           GatewayExchange& aExchange,
                           const ExchangeEnded& aEnded);
  void ApplyHarmFindings();
  void StopHarmfulRequests();
  // Forwards the server's answer to the caller and removes the request.
  void FinishWithAnswer(GatewayRequest& aRequest, const ExchangeEnded& aEnded);
  // Returns the request's exchange of a role, or nullptr if none is running.
  const GatewayExchange* FindExchange(RequestHandle aHandle,
                                      ExchangeRole aRole);
  // Logs a server's limit in requests per second, or its end.
  void LogRateLimit(const ServerRun& aServer,
                    std::optional<double> aRate,
                    const char* aSource);
  // Removes the request from the state.
  void RemoveRequest(const GatewayRequest& aRequest);
  // Logs an event with the request's id and age.
  void LogRequest(const char* aEvent,
                  const GatewayRequest& aRequest,
                  std::vector<LogField> aFields);

  GatewayState& m_state;
  const Millis m_now;
  GatewayEffects& m_effects;
};

} // namespace briarglade::internal
