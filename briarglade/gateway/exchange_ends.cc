// Handles the end of an exchange: updates the backend's health, decides whether
// the request is retried, and chooses the caller's answer.

#include "briarglade/gateway/internal/gateway_reduction.h"

#include <algorithm>
#include <sstream>
#include <string>
#include <utility>

namespace briarglade::internal {

namespace {

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
void GatewayReduction::RecordBackendHealth(const GatewayExchange& aExchange,
                                           const ExchangeEnded& aEnded,
                                           bool aIsServed)
{
  const size_t slot = aExchange.m_slot;
  const ExchangeEnd end = aEnded.m_end;
  const bool requestsBackoff =
    aEnded.m_retryAfter > Millis() && (end == ExchangeEnd::RefusedByServer ||
                                       aEnded.m_status == kServiceUnavailable);
  if (requestsBackoff) {
    m_state.m_backendTable.SetBackoff(m_now + aEnded.m_retryAfter,
                                      aExchange.m_server.m_server);
  }
  if (end == ExchangeEnd::Cancelled) {
    return;
  }
  if (!aIsServed) {
    m_state.m_backendTable.RecordBadResponse(aExchange.m_sentAt, slot);
  } else if (!aExchange.m_began) {
    m_state.m_backendTable.RecordResponseTime(m_now, slot, aExchange.m_sentAt);
  }
  if (end == ExchangeEnd::RefusedByServer) {
    m_state.m_backendTable.Avoid(m_now + kRejectedBackoff, slot);
    return;
  }
  m_state.m_backendTable.RecordResult(slot, aIsServed);
  if (end == ExchangeEnd::ConnectRefused) {
    m_state.m_backendTable.Avoid(m_now + kUnreachableBackoff, slot);
  } else if (!aIsServed && aEnded.m_status < kFirstServerError) {
    m_state.m_backendTable.Avoid(m_now + kFailedBackoff, slot);
  }
}

RetryBlock GatewayReduction::FindLimit(const GatewayRequest& aRequest,
                                       uint32_t aMayHaveRun) const
{
  const uint32_t attempts = aRequest.m_request.m_maxAttempts;
  if (RefusedFor(aRequest) > Millis()) {
    return RetryBlock::Harmful;
  }
  if (aMayHaveRun >= attempts) {
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

RetryBlock GatewayReduction::FindRetryBlock(
  const GatewayRequest& aRequest,
  const ExchangeClassification& aClassification) const
{
  const bool mayRunAgain =
    aRequest.m_request.m_isRetryable && aRequest.m_isResumable;
  const bool isSafe =
    mayRunAgain || aClassification.m_outcome == Outcome::NotRun;
  if (aRequest.m_callerLeft) {
    return RetryBlock::CallerLeft;
  }
  if (!aClassification.m_mayRetry || !isSafe) {
    return RetryBlock::Unsafe;
  }
  return FindLimit(aRequest, aRequest.m_mayHaveRunCount);
}

// Logs the end of an exchange without a usable answer. A broken one may be the
// trace of a harmful request, so the line names the shared parts of its prompt.
void GatewayReduction::LogExchangeFailed(const GatewayRequest& aRequest,
                                         const GatewayExchange& aExchange,
                                         const ExchangeEnded& aEnded)
{
  std::vector<LogField> fields = {
    { "server", aExchange.m_server.m_server.Value() },
    { "end", ExchangeEndName(aEnded.m_end) },
    { "status", std::to_string(aEnded.m_status) },
    { "took-ms", std::to_string((m_now - aExchange.m_sentAt).Count()) },
    { "connection", aEnded.m_trace.m_isKeptConnection ? "kept" : "new" },
    { "sent-bytes", std::to_string(aEnded.m_trace.m_sentBytes) },
    { "passed-over", std::to_string(aEnded.m_trace.m_passedOverAnswers) }
  };
  if (IsBrokenConnection(aEnded.m_end)) {
    const Millis answeredFor = m_now - aExchange.m_beganAt;
    fields.push_back(
      { "answered-ms",
        aExchange.m_began ? std::to_string(answeredFor.Count()) : "none" });
    fields.push_back(
      { "parts", PromptPartNames(aRequest.m_request.m_sharedParts) });
  }
  LogRequest("exchange-failed", aRequest, std::move(fields));
}

// Logs what allows one more send after an exchange.
void GatewayReduction::LogRetried(const GatewayRequest& aRequest,
                                  const ExchangeClassification& aClassification)
{
  const bool isNotRun = aClassification.m_outcome == Outcome::NotRun;
  LogRequest("request-retried",
             aRequest,
             { { "reason", isNotRun ? "not-run" : "idempotent" },
               { "began", aRequest.m_answerBegan ? "yes" : "no" },
               { "sends", std::to_string(aRequest.m_tried.size()) },
               { "may-have-run", std::to_string(aRequest.m_mayHaveRunCount) },
               { "left-ms", std::to_string(TimeLeft(aRequest).Count()) } });
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
  if (block == RetryBlock::None &&
      !TryConsumeRetry(aRequest.m_request.m_service)) {
    block = RetryBlock::Budget;
  }
  const bool mayRetry = block == RetryBlock::None;
  if (mayRetry) {
    LogRetried(aRequest, aClassification);
  } else {
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

const GatewayExchange* GatewayReduction::FindExchange(RequestHandle aHandle,
                                                      ExchangeRole aRole)
{
  const GatewayRequest* request = Find(aHandle);
  if (request == nullptr || request->m_phase != GatewayPhase::Running) {
    return nullptr;
  }
  if (aRole == ExchangeRole::Primary) {
    return &request->m_exchange;
  }
  return request->m_hedge ? &*request->m_hedge : nullptr;
}

void GatewayReduction::On(const ServerLeaving& aLeaving)
{
  if (const GatewayExchange* exchange =
        FindExchange(aLeaving.m_handle, aLeaving.m_role)) {
    m_effects.emplace_back(ReportServerLeaving{ exchange->m_server });
  }
}

void GatewayReduction::On(const ServerRateStated& aStated)
{
  const GatewayExchange* exchange =
    FindExchange(aStated.m_handle, aStated.m_role);
  if (exchange == nullptr) {
    return;
  }
  const bool isNews = m_state.m_backendTable.RateLimits().OnAnswer(
    m_now, exchange->m_sentAt, exchange->m_server, aStated.m_rate);
  if (isNews) {
    LogRateLimit(exchange->m_server, aStated.m_rate, "answer");
    m_effects.emplace_back(ReportRateLimit{
      RateLimitNotice{ exchange->m_server, aStated.m_rate, Millis() } });
  }
}

void GatewayReduction::On(const RateLimitNotice& aNotice)
{
  if (m_state.m_backendTable.RateLimits().OnNotice(m_now, aNotice)) {
    LogRateLimit(aNotice.m_server, aNotice.m_rate, "node");
  }
}

void GatewayReduction::LogRateLimit(const ServerRun& aServer,
                                    std::optional<double> aRate,
                                    const char* aSource)
{
  LogEvent event;
  event.m_event = "server-rate-limit";
  event.m_fields = { { "server", aServer.m_server.Value() },
                     { "per-second", aRate ? std::to_string(*aRate) : "none" },
                     { "known-from", aSource } };
  m_effects.emplace_back(std::move(event));
}

bool GatewayReduction::IsServed(const ExchangeEnded& aEnded,
                                const ExchangeClassification& aClassification)
{
  return aClassification.m_outcome == Outcome::Done &&
         !aClassification.m_mayRetry && !IsUnconfirmedNotRun(aEnded);
}

ExchangeClassification GatewayReduction::RecordEnd(GatewayRequest& aRequest,
                                                   GatewayExchange& aExchange,
                                                   const ExchangeEnded& aEnded)
{
  ExchangeFacts facts;
  facts.m_end = aEnded.m_end;
  facts.m_status = aEnded.m_status;
  facts.m_idempotent = aRequest.m_request.m_isRetryable;
  facts.m_answerBegan = aRequest.m_answerBegan;
  facts.m_mayHaveRunBefore = aRequest.m_mayHaveRunCount > 0;
  const ExchangeClassification classification = ClassifyExchange(facts);
  RecordCrashEvidence(aRequest, aExchange, aEnded);
  RecordBackendHealth(aExchange, aEnded, IsServed(aEnded, classification));
  if (!IsCertainlyNotRun(aEnded.m_end, aEnded.m_status)) {
    ++aRequest.m_mayHaveRunCount;
  }
  if (classification.m_outcome == Outcome::Unknown) {
    aRequest.m_unknownCode = classification.m_code;
  }
  return classification;
}

void GatewayReduction::OnPrimaryEnded(GatewayRequest& aRequest,
                                      const ExchangeEnded& aEnded)
{
  Release(aRequest, aRequest.m_exchange);
  const ExchangeClassification classification =
    RecordEnd(aRequest, aRequest.m_exchange, aEnded);
  if (IsServed(aEnded, classification)) {
    Drop(aRequest, "primary-done");
    FinishWithAnswer(aRequest, aEnded);
    return;
  }
  LogExchangeFailed(aRequest, aRequest.m_exchange, aEnded);
  if (aRequest.m_hedge) {
    const HostId from = aRequest.m_exchange.m_server.m_server;
    aRequest.m_exchange = *std::exchange(aRequest.m_hedge, std::nullopt);
    LogMoved(aRequest, from);
    m_effects.emplace_back(PromoteHedge{ aEnded.m_handle });
    return;
  }
  RetryOrFinish(aRequest, aEnded, classification);
}

void GatewayReduction::On(const ExchangeEnded& aEnded)
{
  GatewayRequest* request = Find(aEnded.m_handle);
  if (request == nullptr || request->m_phase != GatewayPhase::Running) {
    return;
  }
  if (aEnded.m_role == ExchangeRole::Hedge) {
    OnHedgeEnded(*request, aEnded);
  } else {
    OnPrimaryEnded(*request, aEnded);
  }
  StartQueuedRequests();
}

} // namespace briarglade::internal
