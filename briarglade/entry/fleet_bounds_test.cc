// Tests of the limits that apply to all nodes together, at realistic fleet
// sizes: requests per second to a server in cold start or to one that states a
// limit, retries, and requests to leaving servers.

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <utility>
#include <vector>

#include "briarglade/entry/fleet_world_test.h"

namespace briarglade {
namespace {

// The rate that a cold server states it can serve, in requests per second, and
// the time for which it stays cold.
constexpr double kColdRate = 15;
constexpr Millis kColdTime = Millis(3'000);
constexpr Millis kSecond = Millis(1'000);
// Time for every node to have started and to know every other one.
constexpr Millis kSettleTime = Millis(15'000);
const char* const kService = "assist";

// The number of requests that all nodes together may send to a cold server
// within a second.
size_t ColdBound(const EntryBounds& aBounds)
{
  return static_cast<size_t>(kColdRate * aBounds.m_coldFactor +
                             aBounds.m_coldSlack);
}

FleetOptions Busy(uint32_t aNodes, uint32_t aSeed = 1)
{
  FleetOptions options;
  options.m_nodes = aNodes;
  options.m_zones = 4;
  options.m_seed = aSeed;
  options.m_requestsPerSecond = 6;
  options.m_leastDelay = Millis(10);
  options.m_mostDelay = Millis(30);
  return options;
}

// A fleet with one service. Every node receives requests for it.
class BusyWorld : public FleetWorld
{
public:
  explicit BusyWorld(const FleetOptions& aOptions)
    : FleetWorld(aOptions)
    , m_bound(ColdBound(aOptions.m_bounds))
  {
    ServiceSpec service;
    service.m_id = ServiceId(kService);
    service.m_coldRequestsPerSecond = kColdRate;
    service.m_coldTime = kColdTime;
    Config().m_services.emplace(service.m_id, service);
    RouteRule route;
    route.m_host = "desk.example";
    route.m_prefix = "/assist/";
    route.m_services = { WeightedService{ service.m_id, 1 } };
    route.m_kind = RouteKind::Idempotent;
    route.m_maxAttempts = 3;
    Config().m_routes = { route };
    Configure(2);
    AddServerIn("warm", 0, Millis());
  }

  void AddServerIn(const std::string& aHost, size_t aZone, Millis aColdFor)
  {
    ServerRecord record;
    record.m_host = HostId(aHost);
    record.m_service = ServiceId(kService);
    record.m_zone = ZoneId(ZoneName(aZone));
    record.m_slots = kSlots;
    record.m_coldFor = aColdFor;
    record.m_startedAt = Now().Count();
    record.m_sequence = ++m_sequence;
    AddServer(record);
  }

  // Adds a cold server and runs until it is warm. Returns the greatest number
  // of requests that it was sent within a second.
  size_t RunWithColdServer(const std::string& aHost)
  {
    const Millis from = Now();
    AddServerIn(aHost, 1, kColdTime);
    Run(kColdTime);
    return MostServedWithin(aHost, kSecond, from, from + kColdTime);
  }

  size_t Bound() const { return m_bound; }

private:
  static constexpr uint32_t kSlots = 1'000;

  size_t m_bound;
  int64_t m_sequence = 0;
};

TEST_CASE("a cold server is not overloaded, whatever the number of nodes")
{
  for (const uint32_t nodes : { 9U, 63U, 87U }) {
    CAPTURE(nodes);
    BusyWorld world(Busy(nodes));
    world.Run(kSettleTime);
    CHECK(world.RunWithColdServer("cold") <= world.Bound());
    CHECK(!world.ServedBy("cold").empty());
  }
}

TEST_CASE("a cold server is not overloaded by nodes that are partitioned")
{
  for (const uint32_t nodes : { 9U, 63U }) {
    CAPTURE(nodes);
    BusyWorld world(Busy(nodes));
    world.Run(kSettleTime);
    for (size_t node = 0; node < nodes; ++node) {
      world.SetCutOff(node, true);
    }
    world.Run(Millis(2'000));
    CHECK(world.RunWithColdServer("cold") <= world.Bound());
    CHECK(!world.ServedBy("cold").empty());
  }
}

// Guards against requests that are refused at nodes without a quota while the
// only server, which is cold, has room.
TEST_CASE("nodes without a quota of a cold server get turns")
{
  uint64_t requests = 0;
  size_t served = 0;
  for (uint32_t seed = 1; seed <= 6; ++seed) {
    FleetOptions options = Busy(63, seed);
    // Over all nodes, about half of what the bound allows.
    options.m_requestsPerSecond = 0.2;
    BusyWorld world(options);
    world.Run(kSettleTime);
    world.AddServerIn("cold", 1, kColdTime);
    world.Run(Millis(500));
    world.SetLeaving("warm");
    world.Run(Millis(200));
    const Millis from = world.Now();
    // Some nodes do not know yet that the other server is leaving.
    const uint64_t requestsBefore =
      world.RequestCount() - world.ServedBy("warm").size();
    const size_t servedBefore = world.ServedBy("cold").size();
    world.Run(Millis(2'000));
    requests +=
      world.RequestCount() - world.ServedBy("warm").size() - requestsBefore;
    served += world.ServedBy("cold").size() - servedBefore;
    MESSAGE(served << " of " << requests << " served");
    CHECK(world.MostServedWithin("cold", kSecond, from, world.Now()) <=
          world.Bound());
  }
  CHECK(served * 4 >= requests * 3);
}

TEST_CASE("a fleet that has just restarted retries, within its budget")
{
  FleetOptions options = Busy(63);
  BusyWorld world(options);
  world.AddServerIn("other", 1, Millis());
  world.AddServerIn("third", 2, Millis());
  world.Run(kSettleTime);
  const Millis from = world.Now();
  const uint64_t requestsBefore = world.RequestCount();
  world.SetFailing(true);
  world.Run(Millis(3'000));
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    world.Kill(node);
    world.Start(node);
  }
  const Millis restarted = world.Now();
  world.Run(options.m_bounds.m_retryWindow - Millis(3'000));
  CHECK(world.RetriesSince(restarted) > 0);
  CHECK(static_cast<double>(world.RetriesSince(from)) <=
        static_cast<double>(world.RequestCount() - requestsBefore) *
            options.m_bounds.m_retryShare +
          options.m_bounds.m_retrySlack);
}

TEST_CASE("retries stay within the budget of the fleet, whether or not its "
          "nodes are partitioned")
{
  for (const bool isCutOff : { false, true }) {
    for (const uint32_t nodes : { 9U, 63U }) {
      CAPTURE(isCutOff);
      CAPTURE(nodes);
      FleetOptions options = Busy(nodes);
      BusyWorld world(options);
      world.AddServerIn("other", 1, Millis());
      world.AddServerIn("third", 2, Millis());
      world.Run(kSettleTime);
      for (size_t node = 0; node < nodes; ++node) {
        world.SetCutOff(node, isCutOff);
      }
      world.Run(Millis(2'000));
      const Millis from = world.Now();
      const uint64_t requestsBefore = world.RequestCount();
      world.SetFailing(true);
      world.Run(options.m_bounds.m_retryWindow);
      const auto requests =
        static_cast<double>(world.RequestCount() - requestsBefore);
      const size_t retries = world.RetriesSince(from);
      CHECK(retries > 0);
      CHECK(static_cast<double>(retries) <=
            requests * options.m_bounds.m_retryShare +
              options.m_bounds.m_retrySlack);
    }
  }
}

TEST_CASE("a server that reports it is leaving gets no more requests from any "
          "node, whatever the store contains")
{
  for (const uint32_t nodes : { 9U, 63U }) {
    CAPTURE(nodes);
    BusyWorld world(Busy(nodes));
    world.AddServerIn("leaving", 1, Millis());
    world.Run(kSettleTime);
    for (size_t node = 0; node < nodes; ++node) {
      world.SetStoreStatus(node, StoreStatus::Refused);
    }
    REQUIRE(!world.ServedBy("leaving").empty());
    world.SetLeaving("leaving");
    world.Run(Millis(1'000));
    const Millis from = world.Now();
    world.Run(Millis(3'000));
    CHECK(world.MostServedWithin("leaving", kSecond, from, world.Now()) == 0);
    // The store is available again and still contains the entry.
    for (size_t node = 0; node < nodes; ++node) {
      world.SetStoreStatus(node, StoreStatus::Ok);
    }
    world.Run(Millis(3'000));
    CHECK(world.MostServedWithin("leaving", kSecond, from, world.Now()) == 0);
    // The next run under the same id is used.
    world.AddServerIn("leaving", 1, Millis());
    world.Run(Millis(3'000));
    CHECK(world.MostServedWithin("leaving", kSecond, from, world.Now()) > 0);
  }
}

// Injects overlapping faults into the fleet: processes that are killed, shut
// down, restarted or frozen, nodes that are partitioned or rejected by the
// store, and new nodes.
class FaultyWorld : public BusyWorld
{
public:
  using BusyWorld::BusyWorld;

  // Ends the faults whose time is over and starts one more.
  void InjectFault()
  {
    EndFaults();
    const size_t node = Pick(NodeCount());
    const Millis time = Millis(static_cast<int64_t>(500 + Pick(5'500)));
    switch (Pick(6)) {
      case 0:
        Kill(node);
        break;
      case 1:
        Freeze(node, time);
        break;
      case 2:
        SetCutOff(node, true);
        break;
      case 3:
        SetStoreStatus(
          node, Pick(2) == 0 ? StoreStatus::Refused : StoreStatus::Unknown);
        break;
      case 4:
        Stop(node);
        break;
      default:
        AddNode();
        return;
    }
    m_ends.push_back(FaultEnd{ Now() + time, node });
  }

private:
  struct FaultEnd
  {
    Millis m_at;
    size_t m_node = 0;
  };

  void EndFaults()
  {
    std::vector<FaultEnd> later;
    for (const FaultEnd& end : m_ends) {
      if (end.m_at > Now()) {
        later.push_back(end);
        continue;
      }
      SetCutOff(end.m_node, false);
      SetStoreStatus(end.m_node, StoreStatus::Ok);
      if (!IsUp(end.m_node)) {
        Start(end.m_node);
      }
    }
    m_ends = std::move(later);
  }

  std::vector<FaultEnd> m_ends;
};

TEST_CASE(
  "a cold server is not overloaded while nodes fail and updates are lost")
{
  constexpr uint32_t kSeeds = 4;
  constexpr int kColdServers = 6;
  for (uint32_t seed = 1; seed <= SeedCount(kSeeds); ++seed) {
    CAPTURE(seed);
    FleetOptions options = Busy(seed % 2 == 0 ? 12 : 30, seed);
    options.m_requestsPerSecond = 20;
    options.m_mostDelay = Millis(700);
    options.m_lossRate = 0.1;
    FaultyWorld world(options);
    world.Run(kSettleTime);
    size_t served = 0;
    for (int i = 0; i < kColdServers; ++i) {
      const std::string cold = "cold" + std::to_string(i);
      const Millis from = world.Now();
      world.AddServerIn(cold, 1, kColdTime);
      for (Millis passed; passed < kColdTime; passed += Millis(300)) {
        world.InjectFault();
        world.Run(Millis(300));
      }
      CHECK(world.MostServedWithin(cold, kSecond, from, from + kColdTime) <=
            world.Bound());
      served += world.ServedBy(cold).size();
    }
    CHECK(served > 0);
  }
}

// As above, but no other server has room, so that nodes ask each other for
// turns.
TEST_CASE("a cold server is not overloaded by turns while nodes fail and "
          "updates are lost")
{
  constexpr uint32_t kSeeds = 4;
  constexpr int kColdServers = 4;
  for (uint32_t seed = 1; seed <= SeedCount(kSeeds); ++seed) {
    CAPTURE(seed);
    FleetOptions options = Busy(seed % 2 == 0 ? 35 : 65, seed);
    options.m_requestsPerSecond = 2;
    options.m_mostDelay = seed > 2 ? Millis(700) : Millis(200);
    options.m_lossRate = 0.1;
    FaultyWorld world(options);
    world.Run(kSettleTime);
    std::string previous = "warm";
    size_t served = 0;
    for (int i = 0; i < kColdServers; ++i) {
      const std::string cold = "cold" + std::to_string(i);
      const Millis from = world.Now();
      world.SetLeaving(previous);
      world.AddServerIn(cold, 1, kColdTime);
      for (Millis passed; passed < kColdTime; passed += Millis(300)) {
        world.InjectFault();
        world.Run(Millis(300));
      }
      CHECK(world.MostServedWithin(cold, kSecond, from, from + kColdTime) <=
            world.Bound());
      served += world.ServedBy(cold).size();
      previous = cold;
    }
    MESSAGE("served " << served << ", turns granted " << world.GrantCount());
    CHECK(served > 0);
    CHECK(world.GrantCount() > 0);
  }
}

// Guards against quotas and turns that are counted by run of the server: it
// starts anew every second while it is cold.
TEST_CASE("a cold server that flaps is not overloaded by turns")
{
  FleetOptions options = Busy(63);
  options.m_requestsPerSecond = 2;
  options.m_mostDelay = Millis(300);
  BusyWorld world(options);
  world.Run(kSettleTime);
  world.SetLeaving("warm");
  const Millis from = world.Now();
  for (int i = 0; i < 5; ++i) {
    world.AddServerIn("cold", 1, kColdTime);
    world.Run(kSecond);
  }
  world.Run(kColdTime - kSecond);
  CHECK(world.GrantCount() > 0);
  CHECK(world.MostServedWithin("cold", kSecond, from, world.Now()) <=
        world.Bound());
}

TEST_CASE("servers of a zone that returns are not overloaded by turns")
{
  FleetOptions options = Busy(63);
  options.m_requestsPerSecond = 2;
  BusyWorld world(options);
  world.AddServerIn("away", 2, Millis());
  world.Run(kSettleTime);
  world.SetZoneOut(FleetWorld::ZoneName(2), true);
  world.Run(Millis(5'000));
  world.SetLeaving("warm");
  const Millis returned = world.Now();
  world.SetZoneOut(FleetWorld::ZoneName(2), false);
  world.Run(Millis(1'500));
  world.AddServerIn("away", 2, kColdTime - Millis(1'500));
  world.Run(Millis(1'500));
  CHECK(world.GrantCount() > 0);
  CHECK(world.MostServedWithin(
          "away", kSecond, returned, returned + kColdTime) <= world.Bound());
}

// Guards against a fleet of new processes that get turns out of quotas whose
// earlier holders had granted them to others.
TEST_CASE("a cold server is not overloaded by turns while all nodes restart")
{
  BusyWorld world(Busy(63));
  world.Run(kSettleTime);
  world.SetLeaving("warm");
  world.Run(Millis(500));
  const Millis from = world.Now();
  world.AddServerIn("cold", 1, kColdTime * 3);
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    world.Run(Millis(100));
    world.Kill(node);
    world.Start(node);
  }
  world.Run(kColdTime * 3 - (world.Now() - from));
  CHECK(world.GrantCount() > 0);
  CHECK(world.MostServedWithin("cold", kSecond, from, world.Now()) <=
        world.Bound());
}

TEST_CASE("servers that turned cold while their zone was out are not "
          "overloaded when it returns")
{
  BusyWorld world(Busy(63));
  world.AddServerIn("away", 2, Millis());
  world.Run(kSettleTime);
  world.SetZoneOut(FleetWorld::ZoneName(2), true);
  world.Run(Millis(5'000));
  const Millis returned = world.Now();
  world.SetZoneOut(FleetWorld::ZoneName(2), false);
  // The server's own report takes a heartbeat and the store's delay.
  world.Run(Millis(1'500));
  world.AddServerIn("away", 2, kColdTime - Millis(1'500));
  world.Run(Millis(1'500));
  CHECK(world.MostServedWithin(
          "away", kSecond, returned, returned + kColdTime) <= world.Bound());
}

// The limit that a server states, in requests per second; the requests that it
// may get within a time; and the time after which the limit must be kept.
constexpr double kStatedRate = 6;
constexpr Millis kLimitWindow = Millis(4'000);
constexpr size_t kMostInLimitWindow = 1.5 * kStatedRate * 4 + 5;
constexpr Millis kLimitSettleTime = Millis(3'000);

// Runs a fleet in which one of two servers states a limit. Returns the greatest
// number of requests that it gets within kLimitWindow.
size_t RunWithLimitedServer(BusyWorld& aWorld)
{
  aWorld.SetRateLimit("limited", kStatedRate);
  aWorld.Run(kLimitSettleTime);
  const Millis from = aWorld.Now();
  aWorld.Run(Millis(12'000));
  return aWorld.MostServedWithin("limited", kLimitWindow, from, aWorld.Now());
}

TEST_CASE("LIMIT: a server that states a limit gets no more from the whole "
          "fleet, and all that it takes once it states none")
{
  for (const uint32_t nodes : { 9U, 63U }) {
    CAPTURE(nodes);
    BusyWorld world(Busy(nodes));
    world.AddServerIn("limited", 1, Millis());
    world.Run(kSettleTime);
    const size_t before = world.ServedBy("limited").size();
    const uint64_t rejectedBefore = world.RejectedCount();
    CHECK(RunWithLimitedServer(world) <= kMostInLimitWindow);
    CHECK(world.ServedBy("limited").size() > before + 12 * kStatedRate / 2);
    world.SetRateLimit("limited", std::nullopt);
    world.Run(Millis(1'500));
    const Millis from = world.Now();
    world.Run(kLimitWindow);
    CHECK(world.MostServedWithin(
            "limited", kLimitWindow, from, world.Now() + kSecond) >
          kMostInLimitWindow);
    CHECK(world.RejectedCount() == rejectedBefore);
  }
}

TEST_CASE("LIMIT: the limit holds while nodes are restarted, cut off from the "
          "others or turned away by the store")
{
  for (const char* fault : { "restarts", "cuts", "store" }) {
    CAPTURE(std::string(fault));
    BusyWorld world(Busy(9));
    world.AddServerIn("limited", 1, Millis());
    world.Run(kSettleTime);
    world.SetRateLimit("limited", kStatedRate);
    world.Run(kLimitSettleTime);
    const Millis from = world.Now();
    for (size_t node = 0; node < world.NodeCount(); ++node) {
      if (std::string(fault) == "restarts") {
        world.Kill(node);
        world.Run(Millis(500));
        world.Start(node);
      } else if (std::string(fault) == "cuts") {
        world.SetCutOff(node, true);
      } else {
        world.SetStoreStatus(node, StoreStatus::Refused);
      }
      world.Run(Millis(1'500));
    }
    world.Run(Millis(6'000));
    CHECK(world.MostServedWithin("limited", kLimitWindow, from, world.Now()) <=
          kMostInLimitWindow);
  }
}

} // namespace
} // namespace briarglade
