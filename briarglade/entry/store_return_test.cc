// Tests of a fleet whose store comes back from an older copy of itself: what it
// has acknowledged since the copy is gone, and its versions are given out again
// for other contents.

#include <doctest/doctest.h>
#include <string>

#include "briarglade/entry/fleet_world_test.h"

namespace briarglade {
namespace {

// The longest time until every node acts on what the store holds.
constexpr Millis kContactTime = Millis(3'000);
// The longest time until a configuration is in force.
constexpr Millis kConfigurationTime = Millis(2'000);
constexpr Millis kSettleTime = Millis(5'000);
// Servers and operators write again within this time after a return.
constexpr Millis kRewriteTime = Millis(2'000);
constexpr char kZone[] = "perth";

ServerRecord RecordOf(const std::string& aHost, uint64_t aSequence)
{
  ServerRecord record;
  record.m_host = HostId(aHost);
  record.m_service = ServiceId("assist");
  record.m_zone = ZoneId(kZone);
  record.m_startedAt = 1;
  record.m_sequence = aSequence;
  return record;
}

class ReturnWorld : public FleetWorld
{
public:
  ReturnWorld()
    : FleetWorld(MakeOptions())
  {
    Run(kSettleTime);
  }

  explicit ReturnWorld(const FleetOptions& aOptions)
    : FleetWorld(aOptions)
  {
    Run(kSettleTime);
  }

  // Returns the number of running nodes that the predicate holds for.
  template<typename Predicate>
  size_t CountNodes(const Predicate& aPredicate) const
  {
    size_t count = 0;
    for (size_t i = 0; i < NodeCount(); ++i) {
      count += IsUp(i) && aPredicate(StateOf(i)) ? 1 : 0;
    }
    return count;
  }
  size_t NodesWithConfig(uint64_t aVersion) const
  {
    return CountNodes([&](const EntryState& aState) {
      return aState.m_routes &&
             aState.m_routes->Config().m_version == ConfigVersion(aVersion);
    });
  }
  size_t NodesThatKnow(const std::string& aHost) const
  {
    return CountNodes([&](const EntryState& aState) {
      return aState.m_servers.count(HostId(aHost)) > 0;
    });
  }
  // Returns the number of nodes that know the store's present era.
  size_t NodesInEra() const
  {
    return CountNodes(
      [this](const EntryState& aState) { return aState.m_storeEra == Era(); });
  }
  size_t NodesWithZoneOut() const
  {
    return CountNodes([](const EntryState& aState) {
      return aState.m_zonesOut.count(ZoneId(kZone)) > 0;
    });
  }

  static constexpr uint32_t kNodes = 6;

private:
  static FleetOptions MakeOptions()
  {
    FleetOptions options;
    options.m_nodes = kNodes;
    options.m_zones = 2;
    return options;
  }
};

TEST_CASE("after the store's return, what is written under versions that were "
          "given out before is in force on all nodes")
{
  ReturnWorld world;
  world.SaveStoreCopy();
  for (uint64_t version = 2; version <= 6; ++version) {
    world.Configure(version);
  }
  world.Run(kConfigurationTime);
  REQUIRE(world.NodesWithConfig(6) == ReturnWorld::kNodes);
  world.ReturnStoreToCopy();
  // Its version in the store is lower than that of the lost configurations.
  world.Configure(7);
  world.Run(kConfigurationTime);
  CHECK(world.NodesWithConfig(7) == ReturnWorld::kNodes);
}

TEST_CASE("an older configuration doesn't come into force again after the "
          "store's return")
{
  ReturnWorld world;
  world.Configure(2);
  world.SaveStoreCopy();
  world.Configure(3);
  world.Run(kConfigurationTime);
  world.ReturnStoreToCopy();
  for (Millis time; time < kContactTime; time = time + FleetWorld::kStep) {
    world.Run(FleetWorld::kStep);
    REQUIRE(world.NodesWithConfig(3) == ReturnWorld::kNodes);
  }
  world.Configure(3);
  world.Run(kConfigurationTime);
  CHECK(world.NodesWithConfig(3) == ReturnWorld::kNodes);
}

TEST_CASE("a zone that was taken out stays out while its row is missing after "
          "the store's return, and comes back if it isn't written again")
{
  for (const bool isWrittenAgain : { true, false }) {
    CAPTURE(isWrittenAgain);
    ReturnWorld world;
    world.SaveStoreCopy();
    world.SetZoneOut(kZone, true);
    world.Run(kSettleTime);
    REQUIRE(world.NodesWithZoneOut() == ReturnWorld::kNodes);
    world.ReturnStoreToCopy();
    for (Millis time; time < kRewriteTime; time = time + FleetWorld::kStep) {
      world.Run(FleetWorld::kStep);
      REQUIRE(world.NodesWithZoneOut() == ReturnWorld::kNodes);
    }
    if (isWrittenAgain) {
      world.SetZoneOut(kZone, true);
    }
    world.Run(kContactTime);
    const size_t expected = isWrittenAgain ? ReturnWorld::kNodes : 0;
    CHECK(world.NodesWithZoneOut() == expected);
  }
}

TEST_CASE("servers whose entries are missing after the store's return stay in "
          "use until they had time to write them again")
{
  for (const bool isWrittenAgain : { true, false }) {
    CAPTURE(isWrittenAgain);
    ReturnWorld world;
    world.AddServer(RecordOf("s1", 1));
    world.Run(kContactTime);
    world.SaveStoreCopy();
    world.AddServer(RecordOf("s2", 1));
    world.Run(kContactTime);
    world.ReturnStoreToCopy();
    for (Millis time; time < kRewriteTime; time = time + FleetWorld::kStep) {
      world.Run(FleetWorld::kStep);
      REQUIRE(world.NodesThatKnow("s1") == ReturnWorld::kNodes);
      REQUIRE(world.NodesThatKnow("s2") == ReturnWorld::kNodes);
    }
    if (isWrittenAgain) {
      world.AddServer(RecordOf("s2", 2));
    }
    world.Run(kContactTime);
    CHECK(world.NodesThatKnow("s1") == ReturnWorld::kNodes);
    CHECK(world.NodesThatKnow("s2") ==
          (isWrittenAgain ? ReturnWorld::kNodes : 0));
  }
}

TEST_CASE("a server that leaves stays out of use although the store has come "
          "back from before its entry said so")
{
  ReturnWorld world;
  world.AddServer(RecordOf("s1", 1));
  world.Run(kContactTime);
  world.SaveStoreCopy();
  ServerRecord leaving = RecordOf("s1", 2);
  leaving.m_isDraining = true;
  world.AddServer(leaving);
  world.Run(kContactTime);
  world.ReturnStoreToCopy();
  for (Millis time; time < kContactTime; time = time + FleetWorld::kStep) {
    world.Run(FleetWorld::kStep);
    const size_t draining = world.CountNodes([](const EntryState& aState) {
      return aState.m_servers.at(HostId("s1")).m_isDraining;
    });
    REQUIRE(draining == ReturnWorld::kNodes);
  }
}

TEST_CASE("a node whose registration the store has lost registers again")
{
  ReturnWorld world;
  world.SaveStoreCopy();
  const size_t added = world.AddNode();
  world.Run(kContactTime);
  const RowKey key = NodeRowKey(world.StateOf(added).m_settings.m_node);
  REQUIRE(world.OwnRowText(key));
  world.ReturnStoreToCopy();
  REQUIRE_FALSE(world.OwnRowText(key));
  world.Run(kContactTime);
  CHECK(world.OwnRowText(key));
}

TEST_CASE("a node that the store refuses learns of the return from the others, "
          "and forgets what the store has lost")
{
  ReturnWorld world;
  const size_t follower = world.FirstFollower();
  const size_t refused = follower == 0 ? 1 : 0;
  world.SaveStoreCopy();
  world.AddServer(RecordOf("s2", 1));
  world.Run(kContactTime);
  world.SetStoreStatus(refused, StoreStatus::Refused);
  world.ReturnStoreToCopy();
  world.AddServer(RecordOf("s3", 1));
  world.Configure(2);
  world.Run(kContactTime + kRewriteTime);
  CHECK(world.StateOf(refused).m_storeEra == world.Era());
  CHECK(world.NodesWithConfig(2) == ReturnWorld::kNodes);
  CHECK(world.NodesThatKnow("s3") == ReturnWorld::kNodes);
  CHECK(world.NodesThatKnow("s2") == 0);
}

TEST_CASE("the calls to the store after its return don't grow with the nodes, "
          "and all nodes soon know the new era")
{
  constexpr Millis kWatchTime = Millis(10'000);
  int callsOfFew = 0;
  for (const uint32_t nodes : { 9U, 30U, 100U }) {
    CAPTURE(nodes);
    FleetOptions options;
    options.m_nodes = nodes;
    options.m_zones = 3;
    ReturnWorld world(options);
    for (int i = 0; i < 60; ++i) {
      world.AddServer(RecordOf("s" + std::to_string(i), 1));
    }
    world.Run(kContactTime);
    world.SaveStoreCopy();
    world.Configure(2);
    world.Run(kContactTime);
    world.TakeCalls();
    world.ReturnStoreToCopy();
    Millis known;
    while (known < kContactTime && world.NodesInEra() < nodes) {
      world.Run(FleetWorld::kStep);
      known = known + FleetWorld::kStep;
    }
    CHECK(known < kContactTime);
    world.Run(kWatchTime - known);
    const int calls = world.TakeCalls();
    MESSAGE(nodes, " nodes: ", calls, " calls in 10 s, ", known.Count(), " ms");
    callsOfFew = callsOfFew == 0 ? calls : callsOfFew;
    CHECK(calls <= callsOfFew * 3 / 2);
  }
}

TEST_CASE("two returns soon after each other, from one copy")
{
  ReturnWorld world;
  world.SaveStoreCopy();
  world.Configure(2);
  world.Run(Millis(500));
  world.ReturnStoreToCopy();
  world.Configure(3);
  world.Run(Millis(300));
  world.ReturnStoreToCopy();
  world.Configure(4);
  world.Run(kConfigurationTime);
  CHECK(world.NodesWithConfig(4) == ReturnWorld::kNodes);
  world.Run(kContactTime);
  const size_t inEra = world.CountNodes(
    [&](const EntryState& aState) { return aState.m_storeEra == world.Era(); });
  CHECK(inEra == ReturnWorld::kNodes);
}

} // namespace
} // namespace briarglade
