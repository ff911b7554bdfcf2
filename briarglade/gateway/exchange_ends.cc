// Handles the end of an exchange: updates the backend's health, decides whether
// the request is retried, and chooses the caller's answer.

#include "briarglade/gateway/internal/gateway_reduction.h"

#include <algorithm>
#include <sstream>
#include <string>

namespace briarglade::internal {

namespace {

// Additional sends beyond the route's maximum attempts. Only sends after which
// the request may have run count as attempts.
constexpr uint32_t kExtraSends = 2;
// How long a backend is not chosen after it refused the connection, rejected
// the request, or failed.
constexpr Millis kUnreachableBackoff = Millis(1'000);
constexpr Millis kRejectedBackoff = Millis(150);
constexpr Millis kFailedBackoff = Millis(100);

constexpr uint16_t kFirstServerError = 500;
constexpr uint16_t kServiceUnavailable = 503;

// Returns whether the status of a complete answer claims that the request did
// not run. The server itself has not confirmed this, so the request may have
// run.
bool IsUnconfirmedNotRun(const ExchangeEnded& aEnded)
{
  return aEnded.m_end == ExchangeEnd::Whole && ImpliesNotRun(aEnded.m_status);
}

const char* RetryBlockName(RetryBlock aBlock)
{
  switch (aBlock) {
    case RetryBlock::None:
      return "none";
    case RetryBlock::CallerLeft:
      return "caller-left";
    case RetryBlock::Unsafe:
      return "unsafe";
    case RetryBlock::Harmful:
      return "harmful";
    case RetryBlock::Attempts:
      return "attempts";
    case RetryBlock::Sends:
      return "sends";
    case RetryBlock::Time:
      return "time";
    case RetryBlock::Budget:
      return "budget";
  }
  return "unknown";
}

// Returns the ids of prompt parts in hexadecimal, joined by commas.
std::string PromptPartNames(const std::vector<PromptPartId>& aParts)
{
  std::ostringstream names;
  names << std::hex;
  for (const PromptPartId part : aParts) {
    names << (names.tellp() > 0 ? "," : "") << part.Value();
  }
  return names.str();
}

} // namespace

// Updates the backend's health from the end of an exchange.
void GatewayReduction::RecordBackendHealth(const GatewayRequest& aRequest,
                                           const ExchangeEnded& aEnded,
                                           ExchangeEnd aEnd,
                                           bool aIsServed)
{
  const size_t slot = aRequest.m_slot;
  const bool requestsBackoff =
    aEnded.m_retryAfter > Millis() && (aEnd == ExchangeEnd::RefusedByServer ||
                                       aEnded.m_status == kServiceUnavailable);
  if (requestsBackoff) {
    m_state.m_backendTable.SetBackoff(m_now + aEnded.m_retryAfter,
                                      aRequest.m_sentTo.m_server);
  }
  if (aEnd == ExchangeEnd::Cancelled) {
    return;
  }
  if (aEnd == ExchangeEnd::RefusedByServer) {
    m_state.m_backendTable.Avoid(m_now + kRejectedBackoff, slot);
    return;
  }
  m_state.m_backendTable.RecordResult(slot, aIsServed);
  if (aEnd == ExchangeEnd::ConnectRefused) {
    m_state.m_backendTable.Avoid(m_now + kUnreachableBackoff, slot);
  } else if (!aIsServed && aEnded.m_status < kFirstServerError) {
    m_state.m_backendTable.Avoid(m_now + kFailedBackoff, slot);
  }
}

// Returns why a request is not retried after an exchange, apart from the retry
// budget.
RetryBlock GatewayReduction::FindRetryBlock(
  const GatewayRequest& aRequest,
  const ExchangeClassification& aClassification) const
{
  const uint32_t attempts = aRequest.m_request.m_maxAttempts;
  const bool isSafe = aRequest.m_request.m_isRetryable ||
                      aClassification.m_outcome == Outcome::NotRun;
  if (aRequest.m_callerLeft) {
    return RetryBlock::CallerLeft;
  }
  if (!aClassification.m_mayRetry || !isSafe) {
    return RetryBlock::Unsafe;
  }
  if (RefusedFor(aRequest) > Millis()) {
    return RetryBlock::Harmful;
  }
  if (aRequest.m_mayHaveRunCount >= attempts) {
    return RetryBlock::Attempts;
  }
  if (aRequest.m_tried.size() >= attempts + kExtraSends) {
    return RetryBlock::Sends;
  }
  if (TimeLeft(aRequest) <= kMinUsefulTime) {
    return RetryBlock::Time;
  }
  return RetryBlock::None;
}

// Logs the end of an exchange without a usable answer. A broken one may be the
// trace of a harmful request, so the line names the shared parts of its prompt.
void GatewayReduction::LogExchangeFailed(const GatewayRequest& aRequest,
                                         const ExchangeEnded& aEnded,
                                         ExchangeEnd aEnd)
{
  const HostId& server =
    m_state.m_backendTable.Slot(aRequest.m_slot).m_backend.m_server;
  std::vector<LogField> fields = {
    { "server", server.Value() },
    { "end", ExchangeEndName(aEnd) },
    { "status", std::to_string(aEnded.m_status) },
    { "took-ms", std::to_string((m_now - aRequest.m_sentAt).Count()) }
  };
  if (IsBrokenConnection(aEnd)) {
    const Millis answeredFor = m_now - aRequest.m_exchangeBeganAt;
    fields.push_back({ "answered-ms",
                       aRequest.m_exchangeBegan
                         ? std::to_string(answeredFor.Count())
                         : "none" });
    fields.push_back(
      { "parts", PromptPartNames(aRequest.m_request.m_sharedParts) });
  }
  LogRequest("exchange-failed", aRequest, std::move(fields));
}

void GatewayReduction::LogNotRetried(const GatewayRequest& aRequest,
                                     RetryBlock aBlock)
{
  LogRequest("request-not-retried",
             aRequest,
             { { "reason", RetryBlockName(aBlock) },
               { "began", aRequest.m_answerBegan ? "yes" : "no" },
               { "sends", std::to_string(aRequest.m_tried.size()) },
               { "may-have-run", std::to_string(aRequest.m_mayHaveRunCount) },
               { "left-ms", std::to_string(TimeLeft(aRequest).Count()) } });
}

void GatewayReduction::RetryOrFinish(
  GatewayRequest& aRequest,
  const ExchangeEnded& aEnded,
  const ExchangeClassification& aClassification)
{
  const bool hasAnswer =
    aClassification.m_outcome == Outcome::Done && !IsUnconfirmedNotRun(aEnded);
  const Millis retryAfter = std::max(kMinRetryAfter, aEnded.m_retryAfter);
  RetryBlock block = FindRetryBlock(aRequest, aClassification);
  // A request that was failed over has already consumed retry budget.
  if (block == RetryBlock::None && !aRequest.m_isMoved &&
      !TryConsumeRetry(aRequest.m_request.m_service)) {
    block = RetryBlock::Budget;
  }
  const bool mayRetry = block == RetryBlock::None;
  if (!mayRetry) {
    LogNotRetried(aRequest, block);
  }
  if (mayRetry && Start(aRequest)) {
    return;
  }
  if (mayRetry && !hasAnswer) {
    WaitOrRefuse(aRequest);
    return;
  }
  if (hasAnswer) {
    FinishWithAnswer(aRequest, aEnded);
    return;
  }
  Finish(aRequest,
         IsUnconfirmedNotRun(aEnded) ? aRequest.m_unknownCode
                                     : aClassification.m_code,
         retryAfter);
}

void GatewayReduction::On(const ServerLeaving& aLeaving)
{
  const GatewayRequest* request = Find(aLeaving.m_handle);
  if (request != nullptr && request->m_phase == GatewayPhase::Running) {
    m_effects.emplace_back(ReportServerLeaving{ request->m_sentTo });
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
  facts.m_idempotent = request->m_request.m_isRetryable;
  facts.m_answerBegan = request->m_answerBegan;
  facts.m_mayHaveRunBefore = request->m_mayHaveRunCount > 0;
  const ExchangeClassification classification = ClassifyExchange(facts);
  const bool isServed = classification.m_outcome == Outcome::Done &&
                        !classification.m_mayRetry &&
                        !IsUnconfirmedNotRun(aEnded);
  m_state.m_backendTable.RecordEnded(request->m_slot,
                                     request->m_exchangeBegan,
                                     request->m_request.m_promptTokens);
  QueueOf(*request).RecordBackendFreed(m_now);
  RecordCrashEvidence(*request, end, aEnded.m_status);
  RecordBackendHealth(*request, aEnded, end, isServed);
  if (!IsCertainlyNotRun(end, aEnded.m_status)) {
    ++request->m_mayHaveRunCount;
  }
  if (classification.m_outcome == Outcome::Unknown) {
    request->m_unknownCode = classification.m_code;
  }
  if (isServed) {
    FinishWithAnswer(*request, aEnded);
  } else {
    LogExchangeFailed(*request, aEnded, end);
    RetryOrFinish(*request, aEnded, classification);
  }
  StartQueuedRequests();
}

} // namespace briarglade::internal
