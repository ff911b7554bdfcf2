// Requests in, final words out.

#include "briarglade/node/caller_front.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"
#include "briarglade/node/relay.h"
#include "briarglade/telemetry/log.h"
#include "briarglade/telemetry/metrics.h"

namespace briarglade {

namespace {

using nlohmann::json;

std::string CodeText(ResultCode aCode)
{
  return std::to_string(static_cast<uint16_t>(aCode));
}

RelayHistograms HistogramsOf(Metrics& aMetrics, const RequestArrived& aRequest)
{
  auto histogram = [&](Measure aMeasure) {
    return &aMetrics.Histogram(aMeasure, aRequest.m_account, aRequest.m_class);
  };
  return RelayHistograms{ histogram(Measure::TimeToFirstToken),
                          histogram(Measure::TimeBetweenTokens),
                          histogram(Measure::QueueWait),
                          histogram(Measure::Total) };
}

} // namespace

CallerFront::CallerFront(HttpClient& aClient,
                         Log& aLog,
                         Metrics& aMetrics,
                         UniqueIds aIds,
                         std::function<void(EventBody)> aDispatch)
  : m_client(aClient)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_ids(std::move(aIds))
  , m_dispatch(std::move(aDispatch))
{
}

CallerFront::~CallerFront() = default;

void CallerFront::Handle(const std::shared_ptr<HttpExchange>& aExchange)
{
  const RequestId id(m_ids.Next());
  if (m_closed) {
    Refuse(*aExchange, id, Error{ ResultCode::ShuttingDown, "" });
    return;
  }
  Result<RequestArrived> parsed = m_api.Parse(*aExchange, id, EventLoop::Now());
  if (const Error* error = GetError(parsed)) {
    Refuse(*aExchange, id, *error);
    return;
  }
  RequestArrived request = std::get<RequestArrived>(std::move(parsed));
  RelayHooks hooks;
  hooks.m_onBegan = [this](const AttemptAnswerBegan& aBegan) {
    m_dispatch(aBegan);
  };
  hooks.m_onEnded = [this](const AttemptEnded& aEnded) {
    OnAttemptEnded(aEnded);
  };
  m_relays[id] = std::make_shared<Relay>(
    request, aExchange, std::move(hooks), HistogramsOf(m_metrics, request));
  aExchange->OnClosed([this, id] { m_dispatch(CallerDisconnected{ id }); });
  m_dispatch(std::move(request));
}

void CallerFront::OnAttemptEnded(const AttemptEnded& aEnded)
{
  m_attempts.erase(aEnded.m_attempt);
  m_dispatch(aEnded);
}

void CallerFront::Carry(const StartAttempt& aStart)
{
  const auto relay = m_relays.find(aStart.m_request);
  if (relay == m_relays.end()) {
    return;
  }
  m_attempts[aStart.m_attempt] = relay->second;
  relay->second->Start(m_client, aStart, EventLoop::Now());
}

void CallerFront::Carry(const CancelAttempt& aCancel)
{
  const auto attempt = m_attempts.find(aCancel.m_attempt);
  if (attempt == m_attempts.end()) {
    return;
  }
  if (const std::shared_ptr<Relay> relay = attempt->second.lock()) {
    relay->Cancel(aCancel.m_attempt);
  }
}

void CallerFront::Carry(const FinishRequest& aFinish)
{
  const auto found = m_relays.find(aFinish.m_request);
  if (found == m_relays.end()) {
    return;
  }
  // The relay may be on the stack: it is kept until the next one finishes.
  m_finished = std::move(found->second);
  m_relays.erase(found);
  m_finished->Finish(aFinish);
  const RequestArrived& request = m_finished->Request();
  m_metrics.CountAnswer(request.m_account, request.m_class, aFinish.m_code);
  m_log.Write(LogEvent{ LogLevel::Info,
                        "request-finished",
                        { { "request", request.m_request.Value() },
                          { "account", request.m_account.Value() },
                          { "class", request.m_class.Value() },
                          { "attempt", aFinish.m_attempt.Value() },
                          { "code", CodeText(aFinish.m_code) } } });
}

void CallerFront::NoteRejection(ResultCode aCode, const std::string& aPath)
{
  m_metrics.CountAnswer(AccountId(), ClassId(), aCode);
  m_log.Write(LogEvent{ LogLevel::Info,
                        "request-rejected",
                        { { "code", CodeText(aCode) }, { "path", aPath } } });
}

void CallerFront::Refuse(HttpExchange& aExchange,
                         const RequestId& aRequest,
                         const Error& aError)
{
  const ResultCodeRow& row = DescribeResultCode(aError.m_code);
  const std::string outcome(OutcomeName(row.m_outcome));
  const json body = { { "error",
                        { { "code", static_cast<uint16_t>(aError.m_code) },
                          { "name", std::string(row.m_name) },
                          { "outcome", outcome },
                          { "detail", aError.m_detail },
                          { "advice", std::string(row.m_advice) },
                          { "request", aRequest.Value() } } } };
  aExchange.Respond(row.m_httpStatus,
                    { { "Content-Type", "application/json" },
                      { kRequestIdHeader, aRequest.Value() },
                      { kCodeHeader, CodeText(aError.m_code) },
                      { kOutcomeHeader, outcome } },
                    body.dump(-1, ' ', false, json::error_handler_t::replace));
  m_metrics.CountAnswer(AccountId(), ClassId(), aError.m_code);
  m_log.Write(LogEvent{
    LogLevel::Info,
    "request-refused",
    { { "request", aRequest.Value() }, { "code", CodeText(aError.m_code) } } });
}

} // namespace briarglade
