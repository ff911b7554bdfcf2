// Tests of peer updates in whole fleets, in virtual time: their cost per node,
// the age of the information that nodes have of each other, and the failure of
// relays by exit, freeze or partition.

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

#include "briarglade/entry/fleet_world_test.h"

namespace briarglade {
namespace {

constexpr uint32_t kZones = 5;
constexpr Millis kSettleTime = Millis(4'000);

FleetOptions Fleet(uint32_t aNodes, uint32_t aSeed = 1)
{
  FleetOptions options;
  options.m_nodes = aNodes;
  options.m_zones = kZones;
  options.m_seed = aSeed;
  options.m_leastDelay = Millis(10);
  options.m_mostDelay = Millis(20);
  return options;
}

class SettledWorld : public FleetWorld
{
public:
  explicit SettledWorld(const FleetOptions& aOptions)
    : FleetWorld(aOptions)
  {
    Run(kSettleTime);
  }

  // Returns the time since a node has last seen another one, directly or
  // through relays.
  Millis AgeAt(size_t aNode, size_t aOther) const
  {
    const auto& others = StateOf(aNode).m_directory.Others();
    const auto found = others.find(StateOf(aOther).m_settings.m_node);
    const bool isSeen = found != others.end() && found->second.m_lastSeenAt;
    return isSeen ? Now() - *found->second.m_lastSeenAt : Millis(1'000'000);
  }
  // Returns the greatest age of any running node's information on another one.
  Millis OldestAge() const
  {
    Millis oldest;
    for (size_t node = 0; node < NodeCount(); ++node) {
      for (size_t other = 0; other < NodeCount(); ++other) {
        if (node != other && IsUp(node) && IsUp(other)) {
          oldest = std::max(oldest, AgeAt(node, other));
        }
      }
    }
    return oldest;
  }
  // Runs for a time and returns the greatest age that occurred meanwhile.
  Millis RunAndWatch(Millis aTime)
  {
    Millis oldest;
    for (Millis passed; passed < aTime; passed += Millis(100)) {
      Run(Millis(100));
      oldest = std::max(oldest, OldestAge());
    }
    return oldest;
  }
  // Returns the node that the first node of a zone reports to.
  size_t RelayOf(size_t aZone) const
  {
    const NodeId& relay = StateOf(aZone).m_peerUpdates.m_relays.Primary();
    return Find([&](const EntryState& aState) {
      return aState.m_settings.m_node == relay;
    });
  }
};

// Updates per second that are sent and received by the median node, which is
// not a relay in a large fleet, and by a node on average, and bytes per second
// that a node sends on average.
struct UpdateCost
{
  double m_median = 0;
  double m_mean = 0;
  double m_bytes = 0;
};

UpdateCost MeasureCost(uint32_t aNodes)
{
  constexpr int64_t kSeconds = 4;
  SettledWorld world(Fleet(aNodes));
  std::vector<uint64_t> before;
  for (size_t node = 0; node < aNodes; ++node) {
    before.push_back(world.UpdatesSent(node) + world.UpdatesSentTo(node));
  }
  world.CountUpdateBytes();
  world.Run(Millis(kSeconds * 1'000));
  std::vector<double> counts;
  double sum = 0;
  for (size_t node = 0; node < aNodes; ++node) {
    const uint64_t count =
      world.UpdatesSent(node) + world.UpdatesSentTo(node) - before[node];
    counts.push_back(static_cast<double>(count) / kSeconds);
    sum += counts.back();
  }
  std::nth_element(counts.begin(), counts.begin() + aNodes / 2, counts.end());
  return UpdateCost{ counts[aNodes / 2],
                     sum / aNodes,
                     static_cast<double>(world.UpdateBytes()) / kSeconds /
                       aNodes };
}

TEST_CASE("the cost of peer updates per node does not grow with the fleet")
{
  // With nine nodes in five zones, every node is a relay.
  const UpdateCost relays = MeasureCost(9);
  const UpdateCost small = MeasureCost(30);
  for (const uint32_t nodes : { 63U, 195U }) {
    const UpdateCost cost = MeasureCost(nodes);
    MESSAGE(nodes,
            " nodes: updates per second from and to the median node ",
            cost.m_median,
            ", on average ",
            cost.m_mean,
            "; bytes sent by each ",
            cost.m_bytes);
    CHECK(cost.m_median <= 1.5 * small.m_median);
    CHECK(cost.m_mean <= 1.5 * relays.m_mean);
  }
}

TEST_CASE("every node keeps recent information on all others, even if updates "
          "are lost")
{
  for (const double lossRate : { 0.0, 0.03 }) {
    CAPTURE(lossRate);
    FleetOptions options = Fleet(87);
    options.m_lossRate = lossRate;
    SettledWorld world(options);
    const Millis oldest = world.RunAndWatch(Millis(5'000));
    MESSAGE("loss rate ", lossRate, ": greatest age ", oldest.Count(), " ms");
    CHECK(oldest <= Millis(2'000));
  }
}

TEST_CASE("a relay that dies, shuts down, freezes or is partitioned is "
          "replaced before its zone "
          "is considered dead")
{
  enum class Fault
  {
    Kill,
    Freeze,
    CutOff,
    Stop
  };
  for (const Fault fault :
       { Fault::Kill, Fault::Freeze, Fault::CutOff, Fault::Stop }) {
    CAPTURE(static_cast<int>(fault));
    SettledWorld world(Fleet(63));
    const size_t relay = world.RelayOf(2);
    REQUIRE(relay < world.NodeCount());
    switch (fault) {
      case Fault::Kill:
        world.Kill(relay);
        break;
      case Fault::Freeze:
        world.Freeze(relay, Millis(8'000));
        break;
      case Fault::CutOff:
        world.SetCutOff(relay, true);
        break;
      default:
        world.Stop(relay);
    }
    Millis oldest;
    for (int i = 0; i < 50; ++i) {
      world.Run(Millis(100));
      for (size_t node = 0; node < world.NodeCount(); ++node) {
        for (size_t other = 0; other < world.NodeCount(); ++other) {
          if (node != other && node != relay && other != relay) {
            oldest = std::max(oldest, world.AgeAt(node, other));
          }
        }
      }
    }
    MESSAGE("greatest age ", oldest.Count(), " ms");
    CHECK(oldest <= Millis(2'000));
  }
}

TEST_CASE("the nodes of a zone are seen again after both its relays die at "
          "once")
{
  SettledWorld world(Fleet(63));
  for (int i = 0; i < 2; ++i) {
    const EntryState& state = world.StateOf(2);
    const NodeId relay = i == 0 ? state.m_peerUpdates.m_relays.Primary()
                                : state.m_peerUpdates.m_relays.Backup();
    world.Kill(world.Find([&](const EntryState& aState) {
      return aState.m_settings.m_node == relay;
    }));
  }
  world.Run(Millis(5'000));
  CHECK(world.RunAndWatch(Millis(2'000)) <= Millis(2'000));
}

TEST_CASE("zones partitioned from each other get updates through a third one")
{
  SettledWorld world(Fleet(30));
  for (size_t one = 0; one < world.NodeCount(); ++one) {
    for (size_t other = 0; other < world.NodeCount(); ++other) {
      if (one % kZones == 0 && other % kZones == 1) {
        world.SetCutBetween(one, other, true);
      }
    }
  }
  world.Run(Millis(4'000));
  CHECK(world.RunAndWatch(Millis(3'000)) <= Millis(3'000));
}

TEST_CASE("a node rejoins the fleet soon after its partition heals")
{
  SettledWorld world(Fleet(30));
  world.SetCutOff(7, true);
  world.Run(Millis(10'000));
  CHECK(world.StateOf(7).m_directory.ActiveNodeIds(world.Now()).size() == 1);
  world.SetCutOff(7, false);
  world.Run(Millis(3'000));
  CHECK(world.OldestAge() <= Millis(2'000));
}

// Returns the time until a version of the configuration is in use on every
// running node, at most about 10 s.
Millis TimeUntilInUse(FleetWorld& aWorld, uint64_t aVersion)
{
  const Millis start = aWorld.Now();
  const auto lacksVersion = [&](const EntryState& aState) {
    return !aState.m_routes ||
           aState.m_routes->Config().m_version != ConfigVersion(aVersion);
  };
  while (aWorld.Find(lacksVersion) < aWorld.NodeCount() &&
         aWorld.Now() - start < Millis(10'000)) {
    aWorld.Run(FleetWorld::kStep);
  }
  return aWorld.Now() - start;
}

TEST_CASE("a change is in use on every node of a fleet with relays within "
          "1.5 s, whichever node has just been killed")
{
  enum class Victim
  {
    None,
    FirstFollower,
    FirstFollowerAndItsRelay,
    RelayOfAnotherZone
  };
  for (const Victim victim : { Victim::None,
                               Victim::FirstFollower,
                               Victim::FirstFollowerAndItsRelay,
                               Victim::RelayOfAnotherZone }) {
    Millis longest;
    for (uint32_t seed = 1; seed <= 6; ++seed) {
      FleetOptions options = Fleet(30, seed);
      options.m_zones = 3;
      SettledWorld world(options);
      world.Run(Millis(static_cast<int64_t>(world.Pick(1'000))));
      const size_t follower = world.FirstFollower();
      REQUIRE(follower < world.NodeCount());
      const size_t zone = follower % options.m_zones;
      if (victim == Victim::FirstFollowerAndItsRelay) {
        world.Kill(world.RelayOf(zone));
      }
      if (victim == Victim::FirstFollower ||
          victim == Victim::FirstFollowerAndItsRelay) {
        world.Kill(follower);
      }
      if (victim == Victim::RelayOfAnotherZone) {
        world.Kill(world.RelayOf((zone + 1) % options.m_zones));
      }
      world.Configure(2);
      longest = std::max(longest, TimeUntilInUse(world, 2));
    }
    MESSAGE("victim ", static_cast<int>(victim), ": ", longest.Count(), " ms");
    CHECK(longest <= Millis(1'500));
  }
}

TEST_CASE("every node knows the in-flight load of all others")
{
  FleetOptions options = Fleet(30);
  options.m_requestsPerSecond = 20;
  options.m_answerTime = Millis(2'000);
  FleetWorld world(options);
  ServiceSpec service;
  service.m_id = ServiceId("assist");
  world.Config().m_services.emplace(service.m_id, service);
  RouteRule route;
  route.m_host = "desk.example";
  route.m_prefix = "/assist/";
  route.m_services = { WeightedService{ service.m_id, 1 } };
  route.m_kind = RouteKind::Idempotent;
  route.m_goal = Millis(5'000);
  route.m_timeout = Millis(30'000);
  world.Config().m_routes = { route };
  world.Configure(2);
  ServerRecord record;
  record.m_host = HostId("s");
  record.m_service = service.m_id;
  record.m_slots = 10'000;
  record.m_startedAt = 1;
  world.AddServer(record);
  world.Run(Millis(8'000));
  uint64_t total = 0;
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    total += world.StateOf(node).m_gateway.m_backendTable.Slot(0).m_inFlight;
  }
  REQUIRE(total > 500);
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    CAPTURE(node);
    const BackendSlot& slot =
      world.StateOf(node).m_gateway.m_backendTable.Slot(0);
    // The difference is at most what has changed since the last updates.
    CHECK(slot.Load() > total * 9 / 10);
    CHECK(slot.Load() < total * 11 / 10);
  }
}

} // namespace
} // namespace briarglade
