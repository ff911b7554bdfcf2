// Tests, in virtual time, of a node with a slow link that has been unresponsive
// during a change of the configuration and that the store then refuses.

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
#include <string>

#include "briarglade/entry/fleet_world_test.h"

namespace briarglade {
namespace {

constexpr Millis kConfigurationTime = Millis(3'000);
// 14 Mbit/s.
constexpr size_t kSlowLink = 1'750;

FleetOptions Fleet(size_t aConfigBytes, uint32_t aSeed)
{
  FleetOptions options;
  options.m_nodes = 30;
  options.m_zones = 3;
  options.m_seed = aSeed;
  options.m_leastDelay = Millis(10);
  options.m_mostDelay = Millis(20);
  options.m_configBytes = aConfigBytes;
  options.m_bounds.m_configurationTime = kConfigurationTime;
  return options;
}

ServerRecord Server(size_t aNumber)
{
  ServerRecord record;
  record.m_host = HostId("s" + std::to_string(aNumber));
  record.m_slots = 4;
  record.m_startedAt = 1;
  return record;
}

// A settled fleet with one node that has a slow link.
class SlowNodeWorld : public FleetWorld
{
public:
  explicit SlowNodeWorld(const FleetOptions& aOptions)
    : FleetWorld(aOptions)
  {
    Run(Millis(4'000));
    m_slow = FindOrdinaryNode();
    SetLinkRate(m_slow, kSlowLink);
    Run(Millis(static_cast<int64_t>(Pick(1'000))));
  }

  size_t Slow() const { return m_slow; }
  ConfigVersion VersionOf(size_t aNode) const
  {
    const EntryState& state = StateOf(aNode);
    return state.m_routes ? state.m_routes->Config().m_version
                          : ConfigVersion();
  }
  // Runs for a time, in which servers' entries change at the given interval;
  // zero: none change.
  void RunWithChanges(Millis aTime, Millis aInterval)
  {
    for (Millis passed; passed < aTime; passed += kStep) {
      if (aInterval > Millis() && Now() >= m_changedAt + aInterval) {
        m_changedAt = Now();
        AddServer(Server(m_servers++ % 50));
      }
      Run(kStep);
    }
  }
  // Returns the time from now until the slow node has a version in force, at
  // most about 12 s.
  Millis TimeUntilInForce(uint64_t aVersion, Millis aInterval)
  {
    const Millis start = Now();
    while (VersionOf(m_slow) != ConfigVersion(aVersion) &&
           Now() - start < Millis(12'000)) {
      RunWithChanges(kStep, aInterval);
    }
    return Now() - start;
  }

private:
  // Returns a node that no other node reports to and that does not follow the
  // store.
  size_t FindOrdinaryNode() const
  {
    return Find([](const EntryState& aState) {
      return !aState.m_isFollower && !aState.m_control.IsActive() &&
             aState.m_peerUpdates.m_subscribers.empty();
    });
  }

  size_t m_slow = 0;
  size_t m_servers = 0;
  Millis m_changedAt;
};

struct Delay
{
  Millis m_time;
  uint64_t m_bytes = 0;
};

// Returns how long after a change, and with how many bytes, a node has it in
// force that is frozen from shortly before it until aFrozenAfter after it and
// refused by the store from then on.
Delay MeasureDelay(const FleetOptions& aOptions,
                   Millis aFrozenAfter,
                   Millis aInterval)
{
  SlowNodeWorld world(aOptions);
  REQUIRE(world.Slow() < world.NodeCount());
  const uint64_t bytes = world.BytesReceived(world.Slow());
  world.Freeze(world.Slow(), Millis(500) + aFrozenAfter);
  world.RunWithChanges(Millis(500), aInterval);
  const Millis changedAt = world.Now();
  world.Configure(2);
  world.RunWithChanges(aFrozenAfter, aInterval);
  world.SetStoreStatus(world.Slow(), StoreStatus::Refused);
  world.TimeUntilInForce(2, aInterval);
  return Delay{ world.Now() - changedAt,
                world.BytesReceived(world.Slow()) - bytes };
}

// Fails if a node does not notice what it lacks while it hears of other
// changes, or if its requests fill its link with copies of the same answer.
TEST_CASE(
  "CONFIG: a node that was unresponsive and is refused by the store has "
  "a large configuration within the bound")
{
  for (const size_t bytes : { size_t{ 300'000 }, size_t{ 3'600'000 } }) {
    for (const Millis interval : { Millis(), Millis(300), Millis(50) }) {
      Millis longest;
      uint64_t mostBytes = 0;
      for (uint32_t seed = 1; seed <= SeedCount(3); ++seed) {
        const Delay delay =
          MeasureDelay(Fleet(bytes, seed), Millis(1'500), interval);
        longest = std::max(longest, delay.m_time);
        mostBytes = std::max(mostBytes, delay.m_bytes);
      }
      MESSAGE(bytes,
              " bytes, a server's change each ",
              interval.Count(),
              " ms: ",
              longest.Count(),
              " ms, ",
              mostBytes,
              " bytes sent to the node");
      CHECK(longest <= kConfigurationTime);
    }
  }
}

// Fails if a relay cannot send a large configuration to the nodes that report
// to it before the calls time out, so that most of them must request it.
TEST_CASE("CONFIG: versions of a large configuration are in force everywhere "
          "within the bound although all links are slow")
{
  for (const uint32_t nodes : { 30U, 133U }) {
    FleetOptions options = Fleet(300'000, 1);
    options.m_nodes = nodes;
    options.m_zones = 5;
    FleetWorld world(options);
    world.Run(Millis(4'000));
    for (size_t node = 0; node < nodes; ++node) {
      world.SetLinkRate(node, kSlowLink);
    }
    world.Run(Millis(1'000));
    world.Configure(2);
    const Millis start = world.Now();
    const auto lacksVersion = [](const EntryState& aState) {
      return aState.m_routes->Config().m_version != ConfigVersion(2);
    };
    while (world.Find(lacksVersion) < nodes &&
           world.Now() - start < Millis(30'000)) {
      world.Run(FleetWorld::kStep);
    }
    MESSAGE(nodes, " nodes: ", (world.Now() - start).Count(), " ms");
    CHECK(world.Now() - start <= kConfigurationTime);
  }
}

// Fails if a node of an earlier version is sent compressed values, during the
// update of a fleet from one version of the program to the next.
TEST_CASE("nodes that cannot read compressed values get them uncompressed")
{
  FleetWorld world(Fleet(300'000, 1));
  const auto isOld = [](size_t aNode) { return aNode % 3 != 1; };
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    world.SetReadsPacked(node, !isOld(node));
  }
  world.Run(Millis(4'000));
  world.Configure(2);
  world.Run(Millis(2'000));
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    CAPTURE(node);
    CHECK(world.StateOf(node).m_routes->Config().m_version == ConfigVersion(2));
  }
}

// Sends a node a request for a path that no version has, and returns the code
// of the refusal.
ResultCode RequestUnknownPath(FleetWorld& aWorld, size_t aNode)
{
  RequestReceived received;
  received.m_handle = RequestHandle(1'000'000);
  received.m_path = "/no/such/path/";
  received.m_request.m_host = "no.example";
  const uint64_t before = aWorld.RejectedCount();
  aWorld.Dispatch(aNode, received);
  REQUIRE(aWorld.RejectedCount() == before + 1);
  return aWorld.LastRejection();
}

// Before, such a node answered 404 by its old version for as long as nobody
// reached it.
TEST_CASE("CONFIG: a node that hears of neither the store nor another node "
          "refuses what it does not know, and is not ready after a while")
{
  SlowNodeWorld world(Fleet(1'000, 1));
  const size_t node = world.Slow();
  world.SetStoreStatus(node, StoreStatus::Refused);
  world.Run(Millis(4'000));
  // The others still confirm its version.
  CHECK(RequestUnknownPath(world, node) == ResultCode::UnknownPath);
  CHECK(IsReady(world.StateOf(node)));
  world.SetCutOff(node, true);
  const Millis cutAt = world.Now();
  world.Configure(2);
  world.Run(Millis(1'000));
  CHECK(RequestUnknownPath(world, node) == ResultCode::UnknownPath);
  while (world.Now() - cutAt < Millis(12'000)) {
    world.Run(Millis(100));
    if (world.Now() - cutAt >= kConfigurationTime) {
      CHECK(RequestUnknownPath(world, node) == ResultCode::Unconfirmed);
    }
  }
  CHECK_FALSE(IsReady(world.StateOf(node)));
  const size_t other = node == 0 ? 1 : 0;
  CHECK(RequestUnknownPath(world, other) == ResultCode::UnknownPath);
  world.SetCutOff(node, false);
  const Millis healedAt = world.Now();
  world.TimeUntilInForce(2, Millis());
  world.Run(Millis(100));
  CHECK(world.Now() - healedAt <= Millis(2'000));
  CHECK(RequestUnknownPath(world, node) == ResultCode::UnknownPath);
  CHECK(IsReady(world.StateOf(node)));
}

// Messages from before the change may be waiting for the node.
TEST_CASE("CONFIG: a node that was unresponsive answers 404 by no old version")
{
  for (uint32_t seed = 1; seed <= SeedCount(5); ++seed) {
    SlowNodeWorld world(Fleet(3'600'000, seed));
    const size_t node = world.Slow();
    world.Freeze(node, Millis(4'000));
    world.Run(Millis(500));
    world.Configure(2);
    world.Run(Millis(3'500));
    world.SetStoreStatus(node, StoreStatus::Refused);
    const Millis wokenAt = world.Now();
    int refused = 0;
    while (world.VersionOf(node) != ConfigVersion(2)) {
      REQUIRE(world.Now() - wokenAt < Millis(3'000));
      world.Run(FleetWorld::kStep);
      if (world.VersionOf(node) != ConfigVersion(2)) {
        ++refused;
        CHECK(RequestUnknownPath(world, node) == ResultCode::Unconfirmed);
      }
    }
    CHECK(refused > 0);
  }
}

// The store serves nobody, so that it accepts no change either.
TEST_CASE("in an outage of the store, nodes that hear of each other keep "
          "answering 404 and stay ready")
{
  FleetWorld world(Fleet(1'000, 1));
  world.Run(Millis(4'000));
  world.SetStoreStatusOfAll(StoreStatus::Unknown);
  for (int i = 0; i < 20; ++i) {
    world.Run(Millis(500));
    for (size_t node = 0; node < world.NodeCount(); ++node) {
      CHECK(RequestUnknownPath(world, node) == ResultCode::UnknownPath);
      CHECK(IsReady(world.StateOf(node)));
    }
  }
}

// Fails if each of many versions is sent to every node, so that the last ones
// wait behind the others.
TEST_CASE(
  "CONFIG: versions in quick succession are coalesced, and the last one "
  "is in force everywhere within the bound")
{
  constexpr uint64_t kVersions = 20;
  FleetOptions options = Fleet(300'000, 1);
  options.m_nodes = 60;
  FleetWorld world(options);
  world.Run(Millis(4'000));
  for (size_t node = 0; node < options.m_nodes; ++node) {
    world.SetLinkRate(node, kSlowLink);
  }
  world.Run(Millis(1'000));
  world.CountUpdateBytes();
  for (uint64_t version = 2; version < 2 + kVersions; ++version) {
    world.Configure(version);
    world.Run(Millis(100));
  }
  const Millis start = world.Now();
  const auto lacksVersion = [&](const EntryState& aState) {
    return aState.m_routes->Config().m_version != ConfigVersion(kVersions + 1);
  };
  while (world.Find(lacksVersion) < options.m_nodes &&
         world.Now() - start < Millis(20'000)) {
    world.Run(FleetWorld::kStep);
  }
  const Millis time = world.Now() - start + Millis(100);
  MESSAGE(time.Count(), " ms, ", world.UpdateBytes(), " bytes sent");
  CHECK(time <= kConfigurationTime);
  // At most 8 of the versions, 40 KB each, over both relays of a node's zone.
  CHECK(world.UpdateBytes() <= options.m_nodes * 2 * 8 * 40'000);
}

} // namespace
} // namespace briarglade
