// The shell of a node: sockets and timers become events, effects become calls.

#include "briarglade/node/node.h"

#include <chrono>
#include <utility>

#include "briarglade/base/overloaded.h"
#include "briarglade/core/reduce.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"
#include "briarglade/node/status_view.h"
#include "briarglade/storage/object_client.h"
#include "briarglade/storage/table_client.h"

namespace briarglade {

namespace {

constexpr Millis kTickPeriod = Millis(50);
constexpr Millis kTableTimeout = Millis(2'000);
constexpr Millis kHostListPeriod = Millis(2'000);

uint64_t UnixMillis()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

Node::Node(EventLoop& aLoop, NodeSettings aSettings)
  : m_loop(aLoop)
  , m_settings(std::move(aSettings))
  , m_incarnation(UnixMillis())
  , m_log(m_settings.m_id, m_settings.m_logLevel)
  , m_client(aLoop, HttpClientLimits())
  , m_table(MakeHttpTableService(m_client, m_settings.m_table, kTableTimeout))
  , m_objects(MakeHttpObjectStore(m_client, m_settings.m_table, kTableTimeout))
  , m_hostList(
      MakeHttpHostListService(m_client, m_settings.m_hostList, kTableTimeout))
  , m_servers(m_client)
  , m_peers(aLoop, m_settings, m_incarnation, m_metrics)
  , m_callerServer(aLoop, HttpServerLimits())
  , m_operatorServer(aLoop, HttpServerLimits())
  , m_front(m_client,
            m_log,
            m_metrics,
            UniqueIds(m_settings.m_id, m_incarnation),
            [this](EventBody aBody) { Dispatch(std::move(aBody)); })
  , m_operatorApi(m_settings.m_operatorKey, MakeOperatorHooks())
  , m_commandIds(NodeId(m_settings.m_id.Value() + ".command"), m_incarnation)
{
}

Node::~Node()
{
  // The connections' ends are told to parts that must still be there.
  m_callerServer.CloseConnections();
  m_operatorServer.CloseConnections();
}

OperatorHooks Node::MakeOperatorHooks()
{
  OperatorHooks hooks;
  hooks.m_dispatch = [this](EventBody aBody) { Dispatch(std::move(aBody)); };
  hooks.m_renderStatus = [this] {
    return RenderStatus(m_state, EventLoop::Now(), m_front.InFlight());
  };
  hooks.m_renderExplanation = [this](const std::string& aSubject) {
    return RenderExplanation(aSubject);
  };
  hooks.m_nextCommand = [this] { return CommandId(m_commandIds.Next()); };
  hooks.m_unixMillis = [] { return UnixMillis(); };
  return hooks;
}

Result<NodePorts> Node::Start()
{
  m_callerServer.SetHandler(
    [this](const std::shared_ptr<HttpExchange>& aExchange) {
      HandleCaller(aExchange);
    });
  m_callerServer.SetRejectionObserver([this](const HttpRejection& aRejection) {
    m_front.NoteRejection(aRejection.m_code, aRejection.m_path);
  });
  m_operatorServer.SetHandler(
    [this](const std::shared_ptr<HttpExchange>& aExchange) {
      m_operatorApi.Handle(aExchange);
    });
  m_ports.m_caller = m_callerServer.Listen(m_settings.m_callerAddress);
  m_ports.m_operator = m_operatorServer.Listen(m_settings.m_operatorAddress);
  m_ports.m_peer =
    m_peers.Start(m_settings.m_peerAddress,
                  [this](EventBody aBody) { Dispatch(std::move(aBody)); });
  if (m_ports.m_caller == 0 || m_ports.m_operator == 0 || m_ports.m_peer == 0) {
    return Error{ ResultCode::Internal, "a listener could not be opened" };
  }

  MembershipSettings membership;
  membership.m_self = m_settings.m_id;
  membership.m_region = m_settings.m_region;
  membership.m_zone = m_settings.m_zone;
  membership.m_endpoint =
    Endpoint{ m_settings.m_peerAddress.m_ip, m_ports.m_peer };
  membership.m_callerEndpoint =
    Endpoint{ m_settings.m_callerAddress.m_ip, m_ports.m_caller };
  membership.m_incarnation = m_incarnation;
  membership.m_seeds = m_settings.m_seeds;
  m_state = MakeNodeState(membership);

  m_loop.RunEvery(kTickPeriod, [this] { OnTick(); });
  m_loop.RunEvery(kHostListPeriod, [this] { ReadHostList(); });
  ReadHostList();
  m_log.Write(
    LogEvent{ LogLevel::Info,
              "node-started",
              { { "caller-port", std::to_string(m_ports.m_caller) },
                { "operator-port", std::to_string(m_ports.m_operator) },
                { "peer-port", std::to_string(m_ports.m_peer) } } });
  return m_ports;
}

void Node::Dispatch(EventBody aBody)
{
  const Effects effects =
    Reduce(m_state, Event{ EventLoop::Now(), std::move(aBody) });
  for (const Effect& effect : effects) {
    CarryOut(effect);
  }
}

void Node::CarryOut(const Effect& aEffect)
{
  auto onTable = [this](const TableResult& aResult) { Dispatch(aResult); };
  auto onObject = [this](const ObjectResult& aResult) { Dispatch(aResult); };
  auto onProbe = [this](EventBody aBody) { Dispatch(std::move(aBody)); };
  std::visit(
    Overloaded{
      [&](const TableRead& aRead) { m_table.m_read(aRead, onTable); },
      [&](const TableWrite& aWrite) { m_table.m_write(aWrite, onTable); },
      [&](const ObjectRead& aRead) { m_objects.m_read(aRead, onObject); },
      [&](const ObjectWrite& aWrite) { m_objects.m_write(aWrite, onObject); },
      [&](const ProbeServer& aProbe) {
        m_servers.Probe(aProbe.m_host, aProbe.m_endpoint, onProbe);
      },
      [&](const SendOrder& aSend) {
        if (EventLoop::Now() < aSend.m_order.m_deadline) {
          m_servers.Send(aSend.m_order, aSend.m_endpoint);
        }
      },
      [&](const SendPeer& aSend) { m_peers.Send(aSend); },
      [&](const CommandAnswer& aAnswer) { m_operatorApi.Answer(aAnswer); },
      [&](const StartAttempt& aStart) { m_front.Carry(aStart); },
      [&](const CancelAttempt& aCancel) { m_front.Carry(aCancel); },
      [&](const FinishRequest& aFinish) { m_front.Carry(aFinish); },
      [&](const ShutdownComplete& aComplete) { Stop(aComplete.m_hasLeft); },
      [&](const LogEvent& aEvent) { m_log.Write(aEvent); } },
    aEffect);
}

void Node::HandleCaller(const std::shared_ptr<HttpExchange>& aExchange)
{
  const std::string& path = aExchange->Path();
  if (path == "/healthz") {
    aExchange->Respond(200, {}, "ok\n");
  } else if (path == "/readyz") {
    const bool ready = m_state.m_confirmed && m_phase == Phase::Serving;
    aExchange->Respond(
      ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    aExchange->Respond(
      200, { { "Content-Type", "text/plain" } }, RenderMetrics());
  } else if (path == "/v1/addresses") {
    aExchange->Respond(200,
                       { { "Content-Type", "application/json" } },
                       RenderAddresses(m_state, m_settings.m_addressLifetime));
  } else {
    m_front.Handle(aExchange);
  }
}

std::string Node::RenderMetrics()
{
  m_metrics.SetGauge("requests_in_flight",
                     static_cast<double>(m_front.InFlight()));
  m_metrics.SetGauge("caller_connections",
                     static_cast<double>(m_callerServer.ConnectionCount()));
  m_metrics.SetGauge("outgoing_connections",
                     static_cast<double>(m_client.ConnectionCount()));
  m_metrics.SetGauge("peer_payload_bytes",
                     static_cast<double>(m_peers.BytesMoved()));
  m_metrics.SetGauge("confirmed", m_state.m_confirmed ? 1 : 0);
  m_metrics.SetGauge("config_version",
                     static_cast<double>(m_state.m_fleetVersion.Value()));
  return m_metrics.Render();
}

std::string Node::RenderExplanation(const std::string& aSubject) const
{
  std::string text;
  for (const std::string& line : m_log.Find(aSubject)) {
    text += line + "\n";
  }
  return text;
}

void Node::ReadHostList()
{
  m_hostList.m_read([this](bool aOk, const HostList& aList) {
    if (aOk) {
      Dispatch(HostsListed{ aList });
    }
  });
}

void Node::OnTick()
{
  Dispatch(Tick{});
  if (m_frontVersion != m_state.m_fleetVersion) {
    m_frontVersion = m_state.m_fleetVersion;
    m_front.SetFleet(m_state.m_fleet);
  }
  if (m_phase != Phase::Serving) {
    ContinueShutdown();
  }
}

void Node::BeginShutdown()
{
  if (m_phase != Phase::Serving) {
    Stop(false);
    return;
  }
  m_phase = Phase::Leaving;
  m_shutdownBegan = EventLoop::Now();
  m_log.Write(
    LogEvent{ LogLevel::Info,
              "shutdown-began",
              { { "in-flight", std::to_string(m_front.InFlight()) } } });
  Dispatch(LeavingBegan{});
}

void Node::ContinueShutdown()
{
  const Millis elapsed = EventLoop::Now() - m_shutdownBegan;
  if (elapsed >= m_settings.m_shutdownLimit) {
    Stop(false);
    return;
  }
  if (m_phase == Phase::Leaving && elapsed >= m_settings.m_addressLifetime) {
    m_phase = Phase::Closing;
    m_front.Close();
  }
  if (m_phase == Phase::Closing && m_front.InFlight() == 0) {
    m_phase = Phase::LeavingRoster;
    Dispatch(ShutdownRequested{});
  }
}

void Node::Stop(bool aIsGraceful)
{
  m_log.Write(LogEvent{ aIsGraceful ? LogLevel::Info : LogLevel::Warn,
                        "shutdown-ended",
                        { { "cut", std::to_string(m_front.InFlight()) },
                          { "left-roster", aIsGraceful ? "yes" : "no" } } });
  m_loop.Stop();
}

} // namespace briarglade
