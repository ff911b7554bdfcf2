// Ends of exchanges: how the backend is, whether the request is tried again,
// and what its caller gets.

#include "briarglade/gateway/internal/gateway_reduction.h"

#include <algorithm>
#include <string>

namespace briarglade::internal {

namespace {

// Sends beyond the route's attempts that are allowed while nothing has run.
constexpr uint32_t kExtraSends = 2;
// How long a backend is left out: it refused the connection, it refused the
// request, it failed.
constexpr Millis kUnreachableTime = Millis(1'000);
constexpr Millis kRefusedTime = Millis(150);
constexpr Millis kFailedTime = Millis(100);

constexpr uint16_t kFirstServerError = 500;
constexpr uint16_t kServiceUnavailable = 503;

// Tells whether the server's status promises that the request didn't run, while
// the server doesn't say so itself: it may have run.
bool IsFalsePromise(const ExchangeEnded& aEnded)
{
  return aEnded.m_end == ExchangeEnd::Whole && PromisesNotRun(aEnded.m_status);
}

} // namespace

// Learns from the end of an exchange how the backend is.
void GatewayReduction::NoteHealth(const GatewayRequest& aRequest,
                                  const ExchangeEnded& aEnded,
                                  ExchangeEnd aEnd,
                                  bool aIsServed)
{
  const size_t slot = aRequest.m_slot;
  const bool asksForPause =
    aEnded.m_retryAfter > Millis() && (aEnd == ExchangeEnd::RefusedByServer ||
                                       aEnded.m_status == kServiceUnavailable);
  if (asksForPause) {
    m_state.m_book.HoldOff(m_now + aEnded.m_retryAfter,
                           aRequest.m_sentTo.m_server);
  }
  if (aEnd == ExchangeEnd::Cancelled) {
    return;
  }
  if (aEnd == ExchangeEnd::RefusedByServer) {
    m_state.m_book.Avoid(m_now + kRefusedTime, slot);
    return;
  }
  m_state.m_book.NoteResult(slot, aIsServed);
  if (aEnd == ExchangeEnd::ConnectRefused) {
    m_state.m_book.Avoid(m_now + kUnreachableTime, slot);
  } else if (!aIsServed && aEnded.m_status < kFirstServerError) {
    m_state.m_book.Avoid(m_now + kFailedTime, slot);
  }
}

bool GatewayReduction::MayTryAgain(const GatewayRequest& aRequest,
                                   const Verdict& aVerdict)
{
  const uint32_t attempts = aRequest.m_request.m_maxAttempts;
  const bool isSafe =
    aRequest.m_request.m_mayRepeat || aVerdict.m_outcome == Outcome::NotRun;
  return aVerdict.m_mayRetry && isSafe && !aRequest.m_callerLeft &&
         RefusedFor(aRequest) == Millis() && aRequest.m_mayHaveRun < attempts &&
         aRequest.m_tried.size() < attempts + kExtraSends &&
         TimeLeft(aRequest) > kMinUsefulTime;
}

void GatewayReduction::TryAgainOrFinish(GatewayRequest& aRequest,
                                        const ExchangeEnded& aEnded,
                                        const Verdict& aVerdict)
{
  const bool isAnswer =
    aVerdict.m_outcome == Outcome::Done && !IsFalsePromise(aEnded);
  const Millis retryAfter = std::max(kMinRetryAfter, aEnded.m_retryAfter);
  // A request that was moved has drawn on the budget already.
  const bool mayTry =
    MayTryAgain(aRequest, aVerdict) &&
    (aRequest.m_isMoved || TakeRepeat(aRequest.m_request.m_service));
  if (mayTry && Start(aRequest)) {
    return;
  }
  if (mayTry && !isAnswer) {
    WaitOrRefuse(aRequest);
    return;
  }
  if (isAnswer) {
    PassOn(aRequest, aEnded);
    return;
  }
  Finish(aRequest,
         IsFalsePromise(aEnded) ? aRequest.m_unknownCode : aVerdict.m_code,
         retryAfter);
}

void GatewayReduction::On(const ServerLeaves& aLeaves)
{
  const GatewayRequest* request = Find(aLeaves.m_handle);
  if (request != nullptr && request->m_phase == GatewayPhase::Running) {
    m_effects.emplace_back(TellLeaving{ request->m_sentTo });
  }
}

void GatewayReduction::On(const ExchangeEnded& aEnded)
{
  GatewayRequest* request = Find(aEnded.m_handle);
  if (request == nullptr || request->m_phase != GatewayPhase::Running) {
    return;
  }
  const bool isMoved =
    aEnded.m_end == ExchangeEnd::Cancelled && request->m_isMoved;
  const ExchangeEnd end =
    isMoved ? ExchangeEnd::ResetBeforeAnswer : aEnded.m_end;
  ExchangeFacts facts;
  facts.m_end = end;
  facts.m_status = aEnded.m_status;
  facts.m_idempotent = request->m_request.m_mayRepeat;
  facts.m_answerBegan = request->m_answerBegan;
  facts.m_mayHaveRunBefore = request->m_mayHaveRun > 0;
  const Verdict verdict = JudgeExchange(facts);
  const bool isServed = verdict.m_outcome == Outcome::Done &&
                        !verdict.m_mayRetry && !IsFalsePromise(aEnded);
  m_state.m_book.NoteEnded(request->m_slot,
                           request->m_exchangeBegan,
                           request->m_request.m_promptTokens);
  QueueOf(*request).NoteFreed(m_now);
  NoteCrashSigns(*request, end);
  NoteHealth(*request, aEnded, end, isServed);
  if (!IsCertainlyNotRun(end, aEnded.m_status)) {
    ++request->m_mayHaveRun;
  }
  if (verdict.m_outcome == Outcome::Unknown) {
    request->m_unknownCode = verdict.m_code;
  }
  if (isServed) {
    PassOn(*request, aEnded);
  } else {
    LogRequest(
      "exchange-failed",
      *request,
      { { "server",
          m_state.m_book.Slot(request->m_slot).m_backend.m_server.Value() },
        { "end", ExchangeEndName(end) },
        { "status", std::to_string(aEnded.m_status) },
        { "took-ms", std::to_string((m_now - request->m_sentAt).Count()) } });
    TryAgainOrFinish(*request, aEnded, verdict);
  }
  StartWaiting();
}

} // namespace briarglade::internal
