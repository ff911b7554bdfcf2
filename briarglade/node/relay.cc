// Relaying one request. Whole events only pass to the caller, so that a resumed
// stream continues exactly where the last one was cut.

#include "briarglade/node/relay.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarglade/net/answer_budget.h"
#include "briarglade/net/back_pressure.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_call.h"
#include "briarglade/net/http_exchange.h"
#include "briarglade/telemetry/latency_histogram.h"

namespace briarglade {

namespace {

// The longest silence of a backend server within an answer that has begun.
constexpr Millis kMaxSilence = Millis(10'000);
// The largest answer that is held to be sent whole.
constexpr size_t kMaxAnswerBytes = 4 * 1024 * 1024;
constexpr double kMicrosPerMilli = 1000.0;
constexpr int64_t kMillisPerSecond = 1000;

Millis RetryAfterOf(const HttpAnswerHead& aHead)
{
  const std::string text = FindHeader(aHead.m_headers, "Retry-After");
  return Millis(std::strtol(text.c_str(), nullptr, 10) * kMillisPerSecond);
}

bool IsRefusal(const HttpAnswerHead& aHead)
{
  return FindHeader(aHead.m_headers, kOutcomeHeader) == "not-run";
}

} // namespace

Relay::Relay(RequestArrived aRequest,
             std::shared_ptr<HttpExchange> aCaller,
             RelayHooks aHooks,
             RelayHistograms aHistograms)
  : m_request(std::move(aRequest))
  , m_caller(std::move(aCaller))
  , m_hooks(std::move(aHooks))
  , m_histograms(aHistograms)
  , m_method(m_caller->Method())
  , m_path(m_request.m_target.m_model.IsEmpty() ? "/" + m_request.m_operation
                                                : m_caller->Path())
  , m_body(m_caller->TakeBody())
  , m_arrivedAtMicros(EventLoop::NowMicros())
{
}

Relay::~Relay()
{
  if (m_call) {
    m_hooks = RelayHooks();
    m_call->Cancel();
  }
}

void Relay::Start(HttpClient& aClient, const StartAttempt& aStart, Millis aNow)
{
  NoteQueueWait();
  m_attempt = aStart.m_attempt;
  m_parser = SseParser();
  m_head = HttpAnswerHead();
  m_rightAttempt = false;
  m_streamEnded = false;
  m_streamBroken = false;
  m_answerBody.clear();

  HttpCallSpec spec;
  spec.m_endpoint = aStart.m_leader;
  spec.m_method = m_method;
  spec.m_path = m_path;
  spec.m_body = m_body;
  spec.m_timeout = std::max(Millis(1), aStart.m_deadline - aNow);
  spec.m_idleTimeout = kMaxSilence;
  if (!m_request.m_idempotent) {
    spec.m_maxIdleAge = kNewConnectionOnly;
  }
  spec.m_headers = { { "Content-Type", "application/json" },
                     { kRequestIdHeader, m_request.m_request.Value() },
                     { kAttemptIdHeader, m_attempt.Value() },
                     { kPriorityHeader, std::to_string(aStart.m_priority) },
                     { kDeadlineHeader,
                       std::to_string(spec.m_timeout.Count()) } };
  if (!m_request.m_key.IsEmpty()) {
    spec.m_headers.push_back(
      { kIdempotencyKeyHeader, m_request.m_key.Value() });
  }
  if (aStart.m_resumeAfterTokens > 0) {
    spec.m_headers.push_back(
      { kResumeHeader, std::to_string(aStart.m_resumeAfterTokens) });
  }
  spec.m_onHead = [this](const HttpAnswerHead& aHead) { OnHead(aHead); };
  spec.m_onData = [this](std::string_view aData) { OnData(aData); };
  spec.m_onEnd = [this](const HttpCallEnd& aEnd) { OnEnd(aEnd); };
  m_call = aClient.Start(std::move(spec));
}

void Relay::NoteQueueWait()
{
  if (m_wasStarted) {
    return;
  }
  m_wasStarted = true;
  m_histograms.m_queueWait->Add(
    static_cast<double>(EventLoop::NowMicros() - m_arrivedAtMicros) /
    kMicrosPerMilli);
}

void Relay::Cancel(const AttemptId& aAttempt)
{
  if (m_call && aAttempt == m_attempt) {
    m_call->Cancel();
  }
}

void Relay::OnHead(const HttpAnswerHead& aHead)
{
  m_head = aHead;
  m_rightAttempt =
    FindHeader(aHead.m_headers, kAttemptIdHeader) == m_attempt.Value();
  if (aHead.m_status == 200 && !m_rightAttempt) {
    m_call->Cancel(ExchangeEnd::WrongAnswer);
    return;
  }
  if (!IsRefusal(aHead) && m_hooks.m_onBegan) {
    m_hooks.m_onBegan(AttemptAnswerBegan{ m_attempt });
  }
}

void Relay::OnData(std::string_view aData)
{
  if (m_request.m_streaming && m_head.m_status == 200) {
    OnStreamData(aData);
    return;
  }
  if (m_answerBody.size() + aData.size() > kMaxAnswerBytes) {
    m_call->Cancel(ExchangeEnd::WrongAnswer);
    return;
  }
  m_answerBody.append(aData);
}

void Relay::OnStreamData(std::string_view aData)
{
  const SseSpan span = m_parser.Feed(aData);
  m_streamEnded = span.m_ended;
  if (span.m_broken) {
    m_streamBroken = true;
    m_call->Cancel(ExchangeEnd::WrongAnswer);
    return;
  }
  if (!m_streamStarted && !span.m_events.empty()) {
    m_streamStarted = true;
    HttpHeaders headers = OwnHeaders(ResultCode::Ok);
    headers.push_back({ "Content-Type", "text/event-stream" });
    headers.push_back({ "Cache-Control", "no-store" });
    m_caller->StartStream(200, headers);
  }
  NoteTokens(span.m_tokens);
  m_caller->Write(span.m_events);
  PauseForReader(*m_caller, m_call, AnswerBudget::kPauseBytes);
}

void Relay::NoteTokens(uint32_t aTokens)
{
  if (aTokens == 0) {
    return;
  }
  const int64_t now = EventLoop::NowMicros();
  if (m_tokensDelivered == 0) {
    m_histograms.m_firstToken->Add(
      static_cast<double>(now - m_arrivedAtMicros) / kMicrosPerMilli);
  } else {
    m_histograms.m_betweenTokens->Add(
      static_cast<double>(now - m_lastTokenAtMicros) / kMicrosPerMilli);
  }
  m_lastTokenAtMicros = now;
  m_tokensDelivered += aTokens;
}

ExchangeEnd Relay::JudgeEnd(const HttpCallEnd& aEnd) const
{
  if (aEnd.m_end == ExchangeEnd::Truncated && m_streamEnded) {
    // The end marker has come; only the end of the transfer is missing.
    return ExchangeEnd::Whole;
  }
  if (aEnd.m_end != ExchangeEnd::Whole) {
    return aEnd.m_end;
  }
  // A refusal counts only if it is an answer to this very attempt.
  if (!m_rightAttempt) {
    return ExchangeEnd::WrongAnswer;
  }
  if (IsRefusal(m_head)) {
    return ExchangeEnd::RefusedByServer;
  }
  if (m_request.m_streaming && !m_streamEnded) {
    return ExchangeEnd::Truncated;
  }
  return ExchangeEnd::Whole;
}

void Relay::OnEnd(const HttpCallEnd& aEnd)
{
  m_call.reset();
  m_answerStatus = aEnd.m_status;
  m_answerType = FindHeader(m_head.m_headers, "Content-Type");
  ReportEnd(JudgeEnd(aEnd));
}

void Relay::ReportEnd(ExchangeEnd aEnd)
{
  AttemptEnded ended;
  ended.m_attempt = m_attempt;
  ended.m_end = aEnd;
  ended.m_status = m_answerStatus;
  ended.m_tokensDelivered = m_tokensDelivered;
  ended.m_retryAfter = RetryAfterOf(m_head);
  if (aEnd == ExchangeEnd::Whole && !m_request.m_idempotent) {
    ended.m_answer = std::make_shared<const StoredAnswer>(
      StoredAnswer{ m_answerStatus, m_answerType, m_answerBody });
  }
  const auto onEnded = m_hooks.m_onEnded;
  if (onEnded) {
    // May destroy this relay.
    onEnded(ended);
  }
}

HttpHeaders Relay::OwnHeaders(ResultCode aCode) const
{
  const ResultCodeRow& row = DescribeResultCode(aCode);
  return { { kRequestIdHeader, m_request.m_request.Value() },
           { kCodeHeader, std::to_string(static_cast<uint16_t>(aCode)) },
           { kOutcomeHeader, std::string(OutcomeName(row.m_outcome)) } };
}

void Relay::Finish(const FinishRequest& aFinish)
{
  const bool isDone =
    DescribeResultCode(aFinish.m_code).m_outcome == Outcome::Done;
  if (!isDone) {
    Refuse(aFinish);
    return;
  }
  m_histograms.m_total->Add(
    static_cast<double>(EventLoop::NowMicros() - m_arrivedAtMicros) /
    kMicrosPerMilli);
  if (m_streamStarted) {
    m_caller->EndStream();
    return;
  }
  HttpHeaders headers = OwnHeaders(aFinish.m_code);
  if (aFinish.m_replay) {
    headers.push_back({ "Content-Type", aFinish.m_replay->m_contentType });
    m_caller->Respond(
      aFinish.m_replay->m_status, headers, aFinish.m_replay->m_body);
    return;
  }
  headers.push_back({ "Content-Type", m_answerType });
  m_caller->Respond(m_answerStatus, headers, m_answerBody);
}

void Relay::Refuse(const FinishRequest& aFinish)
{
  const ResultCodeRow& row = DescribeResultCode(aFinish.m_code);
  const nlohmann::json error = {
    { "error",
      { { "code", static_cast<uint16_t>(aFinish.m_code) },
        { "name", std::string(row.m_name) },
        { "outcome", std::string(OutcomeName(row.m_outcome)) },
        { "advice", std::string(row.m_advice) },
        { "retry_after_ms", aFinish.m_retryAfter.Count() },
        { "request", m_request.m_request.Value() } } }
  };
  if (m_streamStarted) {
    m_caller->Write("event: error\ndata: " + error.dump() + "\n\n");
    m_caller->EndStream();
    return;
  }
  HttpHeaders headers = OwnHeaders(aFinish.m_code);
  headers.push_back({ "Content-Type", "application/json" });
  if (aFinish.m_retryAfter > Millis()) {
    const int64_t seconds =
      (aFinish.m_retryAfter.Count() + kMillisPerSecond - 1) / kMillisPerSecond;
    headers.push_back({ "Retry-After", std::to_string(seconds) });
  }
  m_caller->Respond(row.m_httpStatus, headers, error.dump());
}

} // namespace briarglade
