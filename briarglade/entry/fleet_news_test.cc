// Tests of news over whole fleets, in virtual time: what they cost each node,
// how old a fact is at the last node, and that relays may die, freeze and be
// cut off.

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

class NewsWorld : public FleetWorld
{
public:
  explicit NewsWorld(const FleetOptions& aOptions)
    : FleetWorld(aOptions)
  {
    Run(kSettleTime);
  }

  // Returns how long ago a node has heard of another one, by whatever way.
  Millis AgeAt(size_t aNode, size_t aOther) const
  {
    const auto& others = StateOf(aNode).m_directory.Others();
    const auto found = others.find(StateOf(aOther).m_settings.m_node);
    const bool isHeard = found != others.end() && found->second.m_heardAt;
    return isHeard ? Now() - *found->second.m_heardAt : Millis(1'000'000);
  }
  // Returns the oldest knowledge that any running node has of another one.
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
  // Runs on, and returns the oldest knowledge that there was meanwhile.
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
    const NodeId& relay = StateOf(aZone).m_news.m_relays.Primary();
    return Find([&](const EntryState& aState) {
      return aState.m_settings.m_node == relay;
    });
  }
};

// News a second that are sent by and to one node that is no relay, and by all
// nodes, for each of them.
struct NewsCost
{
  double m_median = 0;
  double m_mean = 0;
  double m_bytes = 0;
};

NewsCost MeasureCost(uint32_t aNodes)
{
  constexpr int64_t kSeconds = 4;
  NewsWorld world(Fleet(aNodes));
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
  return NewsCost{ counts[aNodes / 2],
                   sum / aNodes,
                   static_cast<double>(world.UpdateBytes()) / kSeconds /
                     aNodes };
}

TEST_CASE("what news cost a node doesn't grow with the fleet")
{
  // Of nine nodes in five zones each one is a relay.
  const NewsCost relays = MeasureCost(9);
  const NewsCost small = MeasureCost(30);
  for (const uint32_t nodes : { 63U, 195U }) {
    const NewsCost cost = MeasureCost(nodes);
    MESSAGE(nodes,
            " nodes: news a second of and to the median node ",
            cost.m_median,
            ", on average ",
            cost.m_mean,
            "; bytes sent by each ",
            cost.m_bytes);
    CHECK(cost.m_median <= 1.5 * small.m_median);
    CHECK(cost.m_mean <= 1.5 * relays.m_mean);
  }
}

TEST_CASE("every node hears of every other one all the time, though news are "
          "lost")
{
  for (const double lost : { 0.0, 0.03 }) {
    CAPTURE(lost);
    FleetOptions options = Fleet(87);
    options.m_lossRate = lost;
    NewsWorld world(options);
    const Millis oldest = world.RunAndWatch(Millis(5'000));
    MESSAGE("lost ", lost, ": oldest knowledge ", oldest.Count(), " ms");
    CHECK(oldest <= Millis(2'000));
  }
}

TEST_CASE(
  "a relay that dies, freezes or is cut off is replaced before its zone "
  "counts as dead")
{
  enum class Trouble
  {
    Kill,
    Freeze,
    CutOff,
    Stop
  };
  for (const Trouble trouble :
       { Trouble::Kill, Trouble::Freeze, Trouble::CutOff, Trouble::Stop }) {
    CAPTURE(static_cast<int>(trouble));
    NewsWorld world(Fleet(63));
    const size_t relay = world.RelayOf(2);
    REQUIRE(relay < world.NodeCount());
    switch (trouble) {
      case Trouble::Kill:
        world.Kill(relay);
        break;
      case Trouble::Freeze:
        world.Freeze(relay, Millis(8'000));
        break;
      case Trouble::CutOff:
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
    MESSAGE("oldest knowledge ", oldest.Count(), " ms");
    CHECK(oldest <= Millis(2'000));
  }
}

TEST_CASE("both relays of a zone die at once, and its nodes are heard of again")
{
  NewsWorld world(Fleet(63));
  for (int i = 0; i < 2; ++i) {
    const EntryState& state = world.StateOf(2);
    const NodeId relay =
      i == 0 ? state.m_news.m_relays.Primary() : state.m_news.m_relays.Backup();
    world.Kill(world.Find([&](const EntryState& aState) {
      return aState.m_settings.m_node == relay;
    }));
  }
  world.Run(Millis(5'000));
  CHECK(world.RunAndWatch(Millis(2'000)) <= Millis(2'000));
}

TEST_CASE("zones that can't reach each other hear of each other over a third")
{
  NewsWorld world(Fleet(30));
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

TEST_CASE("a node that was cut off is one of the fleet again a moment after")
{
  NewsWorld world(Fleet(30));
  world.SetCutOff(7, true);
  world.Run(Millis(10'000));
  CHECK(world.StateOf(7).m_directory.Alive(world.Now()).size() == 1);
  world.SetCutOff(7, false);
  world.Run(Millis(3'000));
  CHECK(world.OldestAge() <= Millis(2'000));
}

// Returns how long a change of the configuration takes to be in force on every
// running node.
Millis TimeUntilInForce(FleetWorld& aWorld, uint64_t aVersion)
{
  const Millis began = aWorld.Now();
  const auto lacksIt = [&](const EntryState& aState) {
    return !aState.m_routes ||
           aState.m_routes->Config().m_version != ConfigVersion(aVersion);
  };
  while (aWorld.Find(lacksIt) < aWorld.NodeCount() &&
         aWorld.Now() - began < Millis(10'000)) {
    aWorld.Run(FleetWorld::kStep);
  }
  return aWorld.Now() - began;
}

TEST_CASE("a change is in force on every node of a fleet with relays within "
          "1.5 s, whoever has just been killed")
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
      NewsWorld world(options);
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
      longest = std::max(longest, TimeUntilInForce(world, 2));
    }
    MESSAGE("victim ", static_cast<int>(victim), ": ", longest.Count(), " ms");
    CHECK(longest <= Millis(1'500));
  }
}

TEST_CASE("every node knows what all others have in flight")
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
    total += world.StateOf(node).m_gateway.m_book.Slot(0).m_inFlight;
  }
  REQUIRE(total > 500);
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    CAPTURE(node);
    const BackendSlot& slot = world.StateOf(node).m_gateway.m_book.Slot(0);
    // What has changed within the age of the news, at most.
    CHECK(slot.Load() > total * 9 / 10);
    CHECK(slot.Load() < total * 11 / 10);
  }
}

} // namespace
} // namespace briarglade
