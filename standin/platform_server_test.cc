// Tests of the faults of the stand-in model server, over loopback.

#include "standin/platform_server.h"

#include <doctest/doctest.h>
#include <optional>
#include <string>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_client.h"
#include "platform/wire_names.h"
#include "standin/group_audit.h"
#include "standin/platform_member.h"
#include "standin/platform_store.h"

namespace briarglade::standin {
namespace {

using nlohmann::json;

constexpr uint16_t kAccepted = 202;
constexpr uint16_t kConflict = 409;
constexpr char kId[] = "host.1";

// A store, and a model server whose groups have one member.
struct World
{
  EventLoop m_loop;
  PlatformStore m_store{ m_loop, PlatformStoreOptions() };
  GroupAudit m_audit;
  HttpClient m_client{ m_loop, HttpClientLimits() };
  PlatformServer m_server{ m_loop, m_store, m_audit, Options() };
  std::string m_body;

  static PlatformServerOptions Options()
  {
    PlatformMemberOptions member;
    member.m_domain = "d";
    member.m_models = { PlatformModel{ "m", 1, Millis(), Millis() } };
    member.m_formationTime = Millis(1);
    PlatformServerOptions options;
    options.m_host = "host";
    options.m_service = "models";
    options.m_zone = "zone-a";
    options.m_heartbeat = Millis(40);
    options.m_reportLag = Millis(5);
    options.m_member = member;
    return options;
  }
  void Pause(Millis aTime)
  {
    const auto timer = m_loop.MakeTimer([this] { m_loop.Stop(); });
    timer->Start(aTime);
    m_loop.Run();
  }
  // Calls the server, and returns the status after the answer has ended.
  uint16_t Call(const char* aPath, const std::string& aBody)
  {
    m_body.clear();
    uint16_t status = 0;
    HttpCallSpec spec;
    spec.m_method = aBody.empty() ? "GET" : "POST";
    spec.m_path = aPath;
    spec.m_endpoint = Endpoint{ "127.0.0.1", m_server.Port() };
    spec.m_body = aBody;
    spec.m_timeout = Millis(5'000);
    spec.m_onData = [&](std::string_view aData) { m_body.append(aData); };
    spec.m_onEnd = [&](const HttpCallEnd& aEnd) {
      status = aEnd.m_status;
      m_loop.Stop();
    };
    m_client.Start(std::move(spec));
    m_loop.Run();
    return status;
  }
  uint16_t Order(const json& aOrder)
  {
    return Call(platform::kOrderPath, aOrder.dump());
  }
};

json Join(const std::string& aGroup, uint64_t aGeneration)
{
  return { { "operation", "join" },
           { "group", aGroup },
           { "epoch", aGeneration },
           { "model", "m" },
           { "members", { kId } } };
}

TEST_CASE("a server that keeps its entry writes it again once it may")
{
  World world;
  PlatformServerFaults keeps;
  keeps.m_keepsEntry = true;
  world.m_server.SetFaults(keeps);
  const auto before = world.m_store.Find(platform::kServersTable, kId);
  REQUIRE(before);
  CHECK(world.Order(Join("g1", 1)) == kAccepted);
  world.Pause(Millis(100));
  CHECK(world.m_server.Group() == "g1");
  CHECK(world.m_store.Find(platform::kServersTable, kId) == before);
  world.m_server.SetFaults(PlatformServerFaults());
  world.Pause(Millis(100));
  const auto after = world.m_store.Find(platform::kServersTable, kId);
  REQUIRE(after);
  CHECK(json::parse(*after)["group"]["name"] == "g1");
}

TEST_CASE("a delayed report tells what was so when it was asked for")
{
  World world;
  PlatformServerFaults late;
  late.m_reportDelay = Millis(60);
  world.m_server.SetFaults(late);
  const auto timer = world.m_loop.MakeTimer([&world] {
    HttpCallSpec spec;
    spec.m_method = "POST";
    spec.m_path = platform::kOrderPath;
    spec.m_endpoint = Endpoint{ "127.0.0.1", world.m_server.Port() };
    spec.m_body = Join("g1", 1).dump();
    spec.m_timeout = Millis(5'000);
    spec.m_onEnd = [](const HttpCallEnd&) {};
    world.m_client.Start(std::move(spec));
  });
  timer->Start(Millis(20));
  CHECK(world.Call(platform::kReportPath, "") == 200);
  CHECK(world.m_server.Group() == "g1");
  CHECK_FALSE(json::parse(world.m_body).contains("group"));
}

TEST_CASE("the audit counts a join out of a serving group only if the server "
          "accepts it")
{
  World world;
  CHECK(world.Order(Join("g1", 1)) == kAccepted);
  world.Pause(Millis(50));
  json open = Join("g1", 1);
  open["operation"] = "open";
  CHECK(world.Order(open) == kAccepted);
  world.Pause(Millis(50));
  json join = Join("g2", 2);
  join["expected"] = 0;
  CHECK(world.Order(join) == kConflict);
  CHECK(world.m_audit.Violations().empty());
  join["expected"] = 2;
  CHECK(world.Order(join) == kAccepted);
  CHECK(world.m_audit.Violations().size() == 1);
}

} // namespace
} // namespace briarglade::standin
