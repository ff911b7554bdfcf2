// The shell of a node: sockets and timers become events, effects become calls.

#include "briarglade/node/node.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarglade/base/overloaded.h"
#include "briarglade/core/reduce.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"
#include "briarglade/node/relay.h"
#include "briarglade/platform/table_client.h"

namespace briarglade {

namespace {

using nlohmann::json;

constexpr Millis kTickPeriod = Millis(50);
constexpr Millis kTableTimeout = Millis(2'000);
constexpr Millis kHostListPeriod = Millis(2'000);

uint64_t UnixMillis()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::string CodeText(ResultCode aCode)
{
  return std::to_string(static_cast<uint16_t>(aCode));
}

} // namespace

Node::Node(EventLoop& aLoop, NodeSettings aSettings)
  : m_loop(aLoop)
  , m_settings(std::move(aSettings))
  , m_log(m_settings.m_id, m_settings.m_logLevel)
  , m_client(aLoop, HttpClientLimits())
  , m_table(MakeHttpTableService(m_client, m_settings.m_table, kTableTimeout))
  , m_hostList(
      MakeHttpHostListService(m_client, m_settings.m_hostList, kTableTimeout))
  , m_servers(m_client)
  , m_callerServer(aLoop, HttpServerLimits())
  , m_operatorServer(aLoop, HttpServerLimits())
  , m_operatorApi(
      m_settings.m_operatorKey,
      OperatorHooks{ [this](EventBody aBody) { Dispatch(std::move(aBody)); },
                     [this] { return RenderStatus(); },
                     [this](const std::string& aSubject) {
                       return RenderExplanation(aSubject);
                     },
                     [this] { return CommandId(m_state.m_ids.Next()); } })
{
  m_state.m_self = m_settings.m_id;
  m_state.m_region = m_settings.m_region;
  m_state.m_ids = UniqueIds(m_settings.m_id, UnixMillis());
}

Node::~Node() = default;

Result<NodePorts> Node::Start()
{
  m_callerServer.SetHandler(
    [this](const std::shared_ptr<HttpExchange>& aExchange) {
      HandleCaller(aExchange);
    });
  m_callerServer.SetRejectionObserver([this](const HttpRejection& aRejection) {
    m_metrics.CountAnswer(AccountId(), ClassId(), aRejection.m_code);
    m_log.Write(LogEvent{ LogLevel::Info,
                          "request-rejected",
                          { { "code", CodeText(aRejection.m_code) },
                            { "path", aRejection.m_path } } });
  });
  m_operatorServer.SetHandler(
    [this](const std::shared_ptr<HttpExchange>& aExchange) {
      m_operatorApi.Handle(aExchange);
    });
  m_ports.m_caller = m_callerServer.Listen(m_settings.m_callerAddress);
  m_ports.m_operator = m_operatorServer.Listen(m_settings.m_operatorAddress);
  if (m_ports.m_caller == 0 || m_ports.m_operator == 0) {
    return Error{ ResultCode::Internal, "a listener could not be opened" };
  }
  m_loop.RunEvery(kTickPeriod, [this] { OnTick(); });
  m_loop.RunEvery(kHostListPeriod, [this] {
    m_hostList.m_read([this](bool aOk, const HostList& aList) {
      Dispatch(HostListRead{ aOk, aList });
    });
  });
  m_log.Write(
    LogEvent{ LogLevel::Info,
              "node-started",
              { { "caller-port", std::to_string(m_ports.m_caller) },
                { "operator-port", std::to_string(m_ports.m_operator) } } });
  return m_ports;
}

void Node::Dispatch(EventBody aBody)
{
  Effects effects =
    Reduce(m_state, Event{ EventLoop::Now(), std::move(aBody) });
  for (Effect& effect : effects) {
    CarryOut(effect);
  }
}

void Node::CarryOut(Effect& aEffect)
{
  auto onTable = [this](const TableResult& aResult) { Dispatch(aResult); };
  std::visit(
    Overloaded{
      [&](const TableRead& aRead) { m_table.m_read(aRead, onTable); },
      [&](const TableWrite& aWrite) { m_table.m_write(aWrite, onTable); },
      [&](const ProbeServer& aProbe) {
        m_servers.Probe(
          aProbe.m_host, aProbe.m_endpoint, [this](EventBody aBody) {
            Dispatch(std::move(aBody));
          });
      },
      [&](const SendOrder& aSend) {
        m_servers.Send(aSend.m_order, aSend.m_endpoint);
      },
      [&](const CommandAnswer& aAnswer) { m_operatorApi.Answer(aAnswer); },
      [&](const StartAttempt& aStart) { Carry(aStart); },
      [&](const CancelAttempt& aCancel) {
        for (auto& [request, relay] : m_relays) {
          relay->Cancel(aCancel.m_attempt);
        }
      },
      [&](const FinishRequest& aFinish) { Carry(aFinish); },
      [&](const LogEvent& aEvent) { m_log.Write(aEvent); } },
    aEffect);
}

void Node::Carry(const StartAttempt& aStart)
{
  const auto relay = m_relays.find(aStart.m_request);
  if (relay != m_relays.end()) {
    relay->second->Start(m_client, aStart, EventLoop::Now());
  }
}

void Node::Carry(const FinishRequest& aFinish)
{
  const auto found = m_relays.find(aFinish.m_request);
  if (found == m_relays.end()) {
    return;
  }
  const std::shared_ptr<Relay> relay = std::move(found->second);
  m_relays.erase(found);
  relay->Finish(aFinish);
  const RequestArrived& request = relay->Request();
  m_metrics.CountAnswer(request.m_account, request.m_class, aFinish.m_code);
  m_log.Write(LogEvent{ LogLevel::Info,
                        "request-finished",
                        { { "request", request.m_request.Value() },
                          { "account", request.m_account.Value() },
                          { "class", request.m_class.Value() },
                          { "attempt", aFinish.m_attempt.Value() },
                          { "code", CodeText(aFinish.m_code) } } });
  // The relay may be on the stack: let it go from the loop.
  m_loop.Defer([relay] {});
}

void Node::HandleCaller(const std::shared_ptr<HttpExchange>& aExchange)
{
  const std::string& path = aExchange->Path();
  if (path == "/healthz") {
    aExchange->Respond(200, {}, "ok\n");
  } else if (path == "/readyz") {
    const bool ready =
      m_state.m_configVersion != ConfigVersion() && !m_shuttingDown;
    aExchange->Respond(
      ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    aExchange->Respond(
      200, { { "Content-Type", "text/plain" } }, m_metrics.Render());
  } else if (path == "/v1/addresses") {
    RespondAddresses(*aExchange);
  } else {
    ServeRequest(aExchange);
  }
}

void Node::RespondAddresses(HttpExchange& aExchange)
{
  const json answer = { { "addresses",
                          { { { "address",
                                m_settings.m_callerAddress.m_ip + ":" +
                                  std::to_string(m_ports.m_caller) },
                              { "weight", 1 } } } },
                        { "keep_ms", m_settings.m_addressLifetime.Count() } };
  aExchange.Respond(
    200, { { "Content-Type", "application/json" } }, answer.dump());
}

void Node::ServeRequest(const std::shared_ptr<HttpExchange>& aExchange)
{
  const RequestId id(m_state.m_ids.Next());
  Result<RequestArrived> parsed =
    m_callerApi.Parse(*aExchange, id, EventLoop::Now());
  if (const Error* error = GetError(parsed)) {
    RefuseRequest(*aExchange, id, *error);
    return;
  }
  RequestArrived request = std::get<RequestArrived>(std::move(parsed));
  RelayHooks hooks;
  hooks.m_onBegan = [this](const AttemptAnswerBegan& aBegan) {
    Dispatch(aBegan);
  };
  hooks.m_onEnded = [this](const AttemptEnded& aEnded) { Dispatch(aEnded); };
  RelayHistograms histograms;
  histograms.m_firstToken = &m_metrics.Histogram(
    Measure::TimeToFirstToken, request.m_account, request.m_class);
  histograms.m_betweenTokens = &m_metrics.Histogram(
    Measure::TimeBetweenTokens, request.m_account, request.m_class);
  histograms.m_total =
    &m_metrics.Histogram(Measure::Total, request.m_account, request.m_class);
  m_relays[id] =
    std::make_unique<Relay>(request, aExchange, std::move(hooks), histograms);
  aExchange->OnClosed([this, id] { Dispatch(CallerGone{ id }); });
  Dispatch(std::move(request));
}

void Node::RefuseRequest(HttpExchange& aExchange,
                         const RequestId& aRequest,
                         const Error& aError)
{
  const ResultCodeRow& row = DescribeResultCode(aError.m_code);
  const json body = {
    { "error",
      { { "code", static_cast<uint16_t>(aError.m_code) },
        { "name", std::string(row.m_name) },
        { "outcome", std::string(OutcomeName(row.m_outcome)) },
        { "detail", aError.m_detail },
        { "advice", std::string(row.m_advice) },
        { "request", aRequest.Value() } } }
  };
  aExchange.Respond(
    row.m_httpStatus,
    { { "Content-Type", "application/json" },
      { kRequestIdHeader, aRequest.Value() },
      { kCodeHeader, CodeText(aError.m_code) },
      { kOutcomeHeader, std::string(OutcomeName(row.m_outcome)) } },
    body.dump(-1, ' ', false, json::error_handler_t::replace));
  m_metrics.CountAnswer(AccountId(), ClassId(), aError.m_code);
  m_log.Write(LogEvent{
    LogLevel::Info,
    "request-refused",
    { { "request", aRequest.Value() }, { "code", CodeText(aError.m_code) } } });
}

std::string Node::RenderStatus() const
{
  json zones = json::object();
  for (const auto& [zone, state] : m_state.m_zones) {
    zones[zone.Value()] = state == ZoneState::Out ? "out" : "in";
  }
  json groups = json::array();
  for (const auto& [group, route] : m_state.m_routes) {
    groups.push_back({ { "group", group.Value() },
                       { "zone", route.m_zone.Value() },
                       { "complete", route.m_complete } });
  }
  return json{
    { "node", m_settings.m_id.Value() },
    { "version", m_state.m_configVersion.Value() },
    { "zones", zones },
    { "groups", groups },
    { "in_flight", m_relays.size() }
  }.dump();
}

std::string Node::RenderExplanation(const std::string& aSubject) const
{
  std::string text;
  for (const std::string& line : m_log.Find(aSubject)) {
    text += line + "\n";
  }
  return text;
}

void Node::OnTick()
{
  Dispatch(Tick{});
  if (m_callerApiVersion != m_state.m_configVersion) {
    m_callerApiVersion = m_state.m_configVersion;
    m_callerApi.SetFleet(m_state.m_fleet);
  }
  if (m_shuttingDown) {
    ContinueShutdown();
  }
}

void Node::BeginShutdown()
{
  if (m_shuttingDown) {
    m_loop.Stop();
    return;
  }
  m_shuttingDown = true;
  m_shutdownBegan = EventLoop::Now();
  m_log.Write(LogEvent{ LogLevel::Info,
                        "shutdown-began",
                        { { "in-flight", std::to_string(m_relays.size()) } } });
}

void Node::ContinueShutdown()
{
  const Millis elapsed = EventLoop::Now() - m_shutdownBegan;
  const bool idle = m_relays.empty() && elapsed >= m_settings.m_addressLifetime;
  if (idle || elapsed >= m_settings.m_shutdownLimit) {
    m_log.Write(LogEvent{ LogLevel::Info,
                          "shutdown-ended",
                          { { "cut", std::to_string(m_relays.size()) } } });
    m_loop.Stop();
  }
}

} // namespace briarglade
