// Probes and orders in JSON.

#include "briarglade/node/server_client.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_call.h"
#include "briarglade/net/http_client.h"

namespace briarglade {

namespace {

using nlohmann::json;

constexpr Millis kProbeTimeout = Millis(1'000);
constexpr Millis kOrderTimeout = Millis(2'000);
constexpr size_t kMaxStateBytes = 64 * 1024;

MemberPhase ParsePhase(const std::string& aName)
{
  if (aName == "loading") {
    return MemberPhase::Loading;
  }
  if (aName == "ready") {
    return MemberPhase::Ready;
  }
  if (aName == "draining") {
    return MemberPhase::Draining;
  }
  return MemberPhase::Idle;
}

ServerReport ReadReport(const json& aState)
{
  ServerReport report;
  report.m_host = HostId(aState.value("host", ""));
  report.m_boot = BootId(aState.value("boot", ""));
  report.m_group = GroupId(aState.value("group", ""));
  report.m_generation = Generation(aState.value("generation", uint64_t{ 0 }));
  report.m_model = ModelId(aState.value("model", ""));
  report.m_phase = ParsePhase(aState.value("phase", ""));
  report.m_fencing = FencingToken(aState.value("fencing", uint64_t{ 0 }));
  report.m_load = aState.value("load", 0U);
  report.m_loadAge = Millis(aState.value("load_age_ms", int64_t{ 0 }));
  report.m_uptime = Millis(aState.value("uptime_ms", int64_t{ 0 }));
  report.m_stepTime = Millis(aState.value("step_ms", int64_t{ 0 }));
  report.m_receivedAt = EventLoop::Now();
  return report;
}

// A server that answers as another host is as good as silent.
EventBody Interpret(const HostId& aHost, const std::string& aText)
{
  try {
    ServerReport report = ReadReport(json::parse(aText));
    if (report.m_host == aHost) {
      return report;
    }
  } catch (const json::exception&) {
    return ProbeFailed{ aHost };
  }
  return ProbeFailed{ aHost };
}

const char* KindName(ServerOrder::Kind aKind)
{
  switch (aKind) {
    case ServerOrder::Kind::Join:
      return "join";
    case ServerOrder::Kind::Drain:
      return "drain";
    case ServerOrder::Kind::Release:
      return "release";
  }
  return "join";
}

} // namespace

ServerClient::ServerClient(HttpClient& aClient)
  : m_client(aClient)
{
}

void ServerClient::Probe(const HostId& aHost,
                         const Endpoint& aEndpoint,
                         std::function<void(EventBody)> aDone)
{
  auto body = std::make_shared<std::string>();
  HttpCallSpec spec;
  spec.m_endpoint = aEndpoint;
  spec.m_method = "GET";
  spec.m_path = "/v1/engine/state";
  spec.m_timeout = kProbeTimeout;
  spec.m_onData = [body](std::string_view aData) {
    if (body->size() + aData.size() <= kMaxStateBytes) {
      body->append(aData);
    }
  };
  spec.m_onEnd = [body, host = aHost, done = std::move(aDone)](
                   const HttpCallEnd& aEnd) {
    const bool whole = aEnd.m_end == ExchangeEnd::Whole && aEnd.m_status == 200;
    done(whole ? Interpret(host, *body) : EventBody(ProbeFailed{ host }));
  };
  m_client.Start(std::move(spec));
}

void ServerClient::Send(const ServerOrder& aOrder, const Endpoint& aEndpoint)
{
  HttpCallSpec spec;
  spec.m_endpoint = aEndpoint;
  spec.m_path = "/v1/engine/orders";
  spec.m_timeout = kOrderTimeout;
  spec.m_headers = { { "Content-Type", "application/json" } };
  spec.m_body = json{
    { "operation", aOrder.m_operation.Value() },
    { "kind", KindName(aOrder.m_kind) },
    { "group", aOrder.m_group.Value() },
    { "generation", aOrder.m_generation.Value() },
    { "model", aOrder.m_model.Value() },
    { "rank", aOrder.m_rank },
    { "members", aOrder.m_members },
    { "fencing", aOrder.m_fencing.Value() }
  }.dump();
  m_client.Start(std::move(spec));
}

} // namespace briarglade
