// The stand-in plain service.

#include "standin/plain_service.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"

namespace briarglade::standin {

using nlohmann::json;

PlainService::PlainService(EventLoop& aLoop, PlainServiceOptions aOptions)
  : m_options(std::move(aOptions))
  , m_later(aLoop)
  , m_startedAt(EventLoop::Now())
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  m_boot = m_options.m_host + "-" + std::to_string(now.count());
  HttpServerLimits limits;
  limits.m_idleTime = Millis(600'000);
  m_server = std::make_unique<HttpServer>(aLoop, limits);
  m_server->SetHandler([this](const std::shared_ptr<HttpExchange>& aExchange) {
    Handle(aExchange);
  });
  m_port = m_server->Listen(Endpoint{ m_options.m_ip, m_options.m_port });
}

PlainService::~PlainService()
{
  m_server.reset();
}

void PlainService::Handle(const std::shared_ptr<HttpExchange>& aExchange)
{
  if (aExchange->Path() == "/v1/engine/state") {
    HandleState(aExchange);
    return;
  }
  if (m_faults.m_refuse) {
    aExchange->Respond(
      503,
      { { kOutcomeHeader, "not-run" },
        { kAttemptIdHeader, aExchange->Header(kAttemptIdHeader) } },
      "refused");
    return;
  }
  const std::string key = aExchange->Header(kIdempotencyKeyHeader);
  if (!key.empty()) {
    ++m_runs[key];
  }
  m_later.After(m_options.m_runTime + m_faults.m_delay,
                [this, aExchange] { Finish(aExchange); });
}

void PlainService::Finish(const std::shared_ptr<HttpExchange>& aExchange)
{
  if (m_faults.m_cutAfterRun) {
    aExchange->Abort();
    return;
  }
  const std::string key = aExchange->Header(kIdempotencyKeyHeader);
  const json answer = { { "operation", aExchange->Path().substr(1) },
                        { "key", key },
                        { "run", key.empty() ? 0 : m_runs[key] },
                        { "echo", aExchange->Body() } };
  aExchange->Respond(
    200,
    { { "Content-Type", "application/json" },
      { kAttemptIdHeader, aExchange->Header(kAttemptIdHeader) } },
    answer.dump());
}

void PlainService::HandleState(const std::shared_ptr<HttpExchange>& aExchange)
{
  const json state = { { "host", m_options.m_host },
                       { "boot", m_boot },
                       { "phase", "ready" },
                       { "load", m_later.Size() },
                       { "load_age_ms", 0 },
                       { "uptime_ms",
                         (EventLoop::Now() - m_startedAt).Count() },
                       { "step_ms", 0 } };
  aExchange->Respond(
    200, { { "Content-Type", "application/json" } }, state.dump());
}

} // namespace briarglade::standin
