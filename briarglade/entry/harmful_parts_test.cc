// Tests of the fleet's defence against a prompt part that crashes each server
// that begins to answer a request with it.

#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <string>
#include <vector>

#include "briarglade/entry/fleet_world_test.h"

namespace briarglade {
namespace {

// The longest time until every node acts on what the fleet has learnt.
constexpr Millis kContactTime = Millis(3'000);
// Crashes after which the part has to be known, and the requests with it that
// may still reach a server later than kContactTime after the last of them.
constexpr size_t kCrashesToLearn = 5;
constexpr size_t kMaxLateSends = 3;
constexpr Millis kSettleTime = Millis(8'000);
constexpr size_t kServers = 24;

constexpr PromptPartId kFirstPart(0xf5c1);
constexpr PromptPartId kHarmfulPart(0x1675);
constexpr PromptPartId kOtherHarmfulPart(0x1676);

struct Traffic
{
  uint32_t m_nodes = 9;
  uint32_t m_seed = 1;
  // Requests per second to each node.
  double m_rate = 12;
  // The fraction of the requests that have the harmful part, and the fraction
  // of the others that share their first part with it.
  double m_harmfulShare = 0.02;
  double m_siblingShare = 0.1;
};

FleetOptions OptionsOf(const Traffic& aTraffic)
{
  FleetOptions options;
  options.m_nodes = aTraffic.m_nodes;
  options.m_zones = 3;
  options.m_seed = aTraffic.m_seed;
  options.m_requestsPerSecond = aTraffic.m_rate;
  options.m_mostDelay = Millis(30);
  return options;
}

// A fleet whose callers send requests with and without harmful parts.
class HarmfulWorld : public FleetWorld
{
public:
  explicit HarmfulWorld(const Traffic& aTraffic)
    : FleetWorld(OptionsOf(aTraffic))
    , m_traffic(aTraffic)
    , m_choices(aTraffic.m_seed)
  {
    ServiceSpec service;
    service.m_id = ServiceId("assist");
    Config().m_services.emplace(service.m_id, service);
    RouteRule route;
    route.m_host = "desk.example";
    route.m_prefix = "/assist/";
    route.m_services = { WeightedService{ service.m_id, 1 } };
    route.m_kind = RouteKind::Idempotent;
    route.m_maxAttempts = 2;
    route.m_timeout = Millis(8'000);
    Config().m_routes = { route };
    Configure(2);
    for (size_t i = 0; i < kServers; ++i) {
      AddNextServer();
    }
    UseCrashingServers([this](const HostId&) { AddNextServer(); });
    SetRequestHook([this](RequestReceived& aReceived) { Fill(aReceived); });
    Run(kSettleTime);
    Servers().SetHarmful(kHarmfulPart, true);
    Servers().SetHarmful(kOtherHarmfulPart, true);
  }

  // Lets requests with the harmful parts come, or no longer.
  void SendHarmful(std::vector<PromptPartId> aParts)
  {
    m_harmfulParts = std::move(aParts);
  }

  // Returns when the given number of servers had crashed; fails the test if
  // fewer have.
  Millis CrashTime(size_t aCount)
  {
    REQUIRE(Servers().Crashes().size() >= aCount);
    return Servers().Crashes()[aCount - 1].m_at;
  }
  // Returns the number of sound requests that were refused as harmful.
  size_t SoundRefusals()
  {
    const auto& refused = RefusedAsHarmful();
    return static_cast<size_t>(
      std::count_if(refused.begin(), refused.end(), [this](const auto& aParts) {
        return !Servers().IsHarmful(aParts);
      }));
  }
  // Crashes a random running server.
  void CrashAnyServer()
  {
    const HostId server("s" + std::to_string(m_lastServer - Pick(kServers)));
    if (!Servers().IsDown(server)) {
      Servers().CrashSoon(server);
    }
  }
  // Returns when a part had crashed five servers, or the last one if fewer.
  Millis LearningTime(PromptPartId aPart)
  {
    std::vector<Millis> times;
    for (const ServerCrash& crash : Servers().Crashes()) {
      const auto& parts = crash.m_parts;
      if (std::find(parts.begin(), parts.end(), aPart) != parts.end()) {
        times.push_back(crash.m_at);
      }
    }
    REQUIRE_FALSE(times.empty());
    return times[std::min(times.size(), kCrashesToLearn) - 1];
  }
  // Returns the number of sends of requests with a part after a time.
  size_t SendsWith(PromptPartId aPart, Millis aAfter)
  {
    const auto& sends = Servers().Sends();
    return static_cast<size_t>(
      std::count_if(sends.begin(), sends.end(), [&](const auto& aSend) {
        return aSend.m_sentAt > aAfter && Has(aSend, aPart);
      }));
  }
  // Returns the number of sound requests with the first part that were
  // submitted after a time, and of those that began at their first send.
  struct SoundCount
  {
    size_t m_submitted = 0;
    size_t m_begun = 0;
  };
  SoundCount CountSound(Millis aAfter)
  {
    SoundCount count;
    for (const Millis at : m_soundAt) {
      count.m_submitted += at > aAfter ? 1 : 0;
    }
    for (const ServerExchange& begun : Servers().Begun()) {
      const bool counts = begun.m_sentAt > aAfter && begun.m_isFirstSend &&
                          Has(begun, kFirstPart);
      count.m_begun += counts ? 1 : 0;
    }
    return count;
  }

private:
  static bool Has(const ServerExchange& aExchange, PromptPartId aPart)
  {
    return std::find(aExchange.m_parts.begin(),
                     aExchange.m_parts.end(),
                     aPart) != aExchange.m_parts.end();
  }

  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(m_choices) < aShare;
  }

  void Fill(RequestReceived& aReceived)
  {
    std::vector<PromptPartId>& parts = aReceived.m_request.m_sharedParts;
    aReceived.m_request.m_maxWait = Millis(8'000);
    if (!m_harmfulParts.empty() && Chance(m_traffic.m_harmfulShare)) {
      const size_t choice = m_choices() % m_harmfulParts.size();
      parts = { kFirstPart, m_harmfulParts[choice] };
      return;
    }
    if (Chance(m_traffic.m_siblingShare)) {
      parts = { kFirstPart, PromptPartId(100 + m_choices() % 20) };
      m_soundAt.push_back(Now());
      return;
    }
    parts = { PromptPartId(200 + m_choices() % 40) };
  }

  void AddNextServer()
  {
    ServerRecord record;
    record.m_host = HostId("s" + std::to_string(++m_lastServer));
    record.m_service = ServiceId("assist");
    record.m_zone = ZoneId(ZoneName(m_lastServer % 3));
    record.m_domain = DomainId("d" + std::to_string(m_lastServer % 6));
    record.m_slots = 26;
    record.m_startedAt = Now().Count();
    record.m_sequence = 1;
    AddServer(record);
  }

  Traffic m_traffic;
  std::mt19937 m_choices;
  std::vector<PromptPartId> m_harmfulParts;
  std::vector<Millis> m_soundAt;
  size_t m_lastServer = 0;
};

// Checks the rule for one harmful part.
void CheckLateSends(HarmfulWorld& aWorld, PromptPartId aPart)
{
  const Millis known = aWorld.CrashTime(kCrashesToLearn) + kContactTime;
  REQUIRE(aWorld.Now() > known);
  CHECK(aWorld.SendsWith(aPart, known) <= kMaxLateSends);
}

TEST_CASE("BUDGET: no more than three requests with a part that crashes "
          "servers are sent once five have crashed")
{
  for (const uint32_t seed : { 1U, 2U, 3U }) {
    CAPTURE(seed);
    Traffic traffic;
    traffic.m_seed = seed;
    HarmfulWorld world(traffic);
    world.SendHarmful({ kHarmfulPart });
    world.Run(Millis(22'000));
    CheckLateSends(world, kHarmfulPart);
  }
}

TEST_CASE("LOST: sound requests with the same first part as harmful ones are "
          "served")
{
  for (const uint32_t seed : { 1U, 2U, 3U }) {
    CAPTURE(seed);
    Traffic traffic;
    traffic.m_seed = seed;
    HarmfulWorld world(traffic);
    world.SendHarmful({ kHarmfulPart });
    world.Run(Millis(22'000));
    const Millis from =
      world.CrashTime(kCrashesToLearn) + kContactTime + kContactTime;
    const HarmfulWorld::SoundCount count = world.CountSound(from);
    CHECK(count.m_submitted >= 20);
    CHECK(count.m_begun * 2 >= count.m_submitted);
  }
}

TEST_CASE("BUDGET: a harmful part is found while the store is unavailable")
{
  HarmfulWorld world(Traffic{});
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    world.SetStoreStatus(node, StoreStatus::Unknown);
  }
  world.SendHarmful({ kHarmfulPart });
  world.Run(Millis(15'000));
  CheckLateSends(world, kHarmfulPart);
}

TEST_CASE("two harmful parts at once are both found, and sound requests with "
          "their first part are served")
{
  for (const uint32_t seed : { 1U, 2U, 3U, 4U }) {
    CAPTURE(seed);
    Traffic traffic;
    traffic.m_seed = seed;
    traffic.m_harmfulShare = 0.04;
    HarmfulWorld world(traffic);
    world.SendHarmful({ kHarmfulPart, kOtherHarmfulPart });
    world.Run(Millis(20'000));
    Millis learnt;
    for (const PromptPartId part : { kHarmfulPart, kOtherHarmfulPart }) {
      const Millis at = world.LearningTime(part);
      CHECK(world.SendsWith(part, at + kContactTime) <= kMaxLateSends);
      learnt = std::max(learnt, at);
    }
    const auto count = world.CountSound(learnt + kContactTime + kContactTime);
    CHECK(count.m_submitted >= 20);
    CHECK(count.m_begun * 2 >= count.m_submitted);
  }
}

TEST_CASE("servers that crash for other reasons make no request harmful")
{
  Traffic traffic;
  for (const uint32_t seed : { 1U, 2U, 3U }) {
    CAPTURE(seed);
    traffic.m_seed = seed;
    HarmfulWorld world(traffic);
    for (int crash = 0; crash < 40; ++crash) {
      world.CrashAnyServer();
      world.Run(Millis(500));
    }
    CHECK(world.SoundRefusals() == 0);
  }
}

TEST_CASE("BUDGET: nodes that start, or come back from a partition, know the "
          "harmful part within the contact time")
{
  HarmfulWorld world(Traffic{});
  constexpr size_t kCutOff = 4;
  world.SetCutOff(kCutOff, true);
  world.SendHarmful({ kHarmfulPart });
  world.Run(Millis(8'000));
  const Millis known = world.CrashTime(kCrashesToLearn) + kContactTime;
  world.SetCutOff(kCutOff, false);
  // What a node sends before it has been in touch for the contact time doesn't
  // count.
  std::vector<Millis> inTouchFrom(world.NodeCount(), known);
  inTouchFrom[kCutOff] = std::max(known, world.Now() + kContactTime);
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    if (node != kCutOff) {
      world.Kill(node);
      world.Run(Millis(500));
      world.Start(node);
      inTouchFrom[node] = std::max(known, world.Now() + kContactTime);
      world.Run(Millis(1'000));
    }
  }
  world.Run(Millis(10'000));
  size_t late = 0;
  for (const ServerExchange& send : world.Servers().Sends()) {
    const bool isHarmful = world.Servers().IsHarmful(send.m_parts);
    late += isHarmful && send.m_sentAt > inTouchFrom[send.m_node] ? 1 : 0;
  }
  CHECK(late <= kMaxLateSends);
}

TEST_CASE("a part that is no longer harmful is served again after its refusal")
{
  Traffic traffic;
  traffic.m_rate = 3;
  HarmfulWorld world(traffic);
  world.SendHarmful({ kHarmfulPart });
  world.Run(Millis(15'000));
  REQUIRE_FALSE(world.RefusedAsHarmful().empty());
  world.Servers().SetHarmful(kHarmfulPart, false);
  world.Run(Millis(620'000));
  const Millis from = world.Now();
  const size_t refused = world.RefusedAsHarmful().size();
  world.Run(Millis(10'000));
  CHECK(world.SendsWith(kHarmfulPart, from) > 0);
  CHECK(world.RefusedAsHarmful().size() == refused);
}

// Returns the number of nodes of a large fleet: the greater of aLeast and the
// value of BRIARGLADE_NODES.
uint32_t NodeCountOf(uint32_t aLeast)
{
  const char* setting = std::getenv("BRIARGLADE_NODES");
  return setting == nullptr
           ? aLeast
           : std::max(aLeast, static_cast<uint32_t>(std::stoul(setting)));
}

TEST_CASE("BUDGET: a harmful part is found by many nodes, each of which sees "
          "few of its requests")
{
  constexpr double kRequestsPerSecond = 120;
  Traffic traffic;
  traffic.m_nodes = NodeCountOf(60);
  traffic.m_rate = kRequestsPerSecond / traffic.m_nodes;
  HarmfulWorld world(traffic);
  world.SendHarmful({ kHarmfulPart });
  world.Run(Millis(15'000));
  CheckLateSends(world, kHarmfulPart);
  CHECK(world.SoundRefusals() == 0);
}

} // namespace
} // namespace briarglade
