// Tests of a fleet whose store comes back from an older copy of itself: what it
// has acknowledged since the copy is gone, and its versions are given out again
// for other contents.

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

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
  explicit ReturnWorld(bool aServersCheckFencing = false)
    : FleetWorld(MakeOptions(aServersCheckFencing))
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
  size_t HolderCount() const
  {
    return CountNodes(
      [&](const EntryState& aState) { return aState.m_lease.IsHeld(Now()); });
  }

  static constexpr uint32_t kNodes = 6;

private:
  static FleetOptions MakeOptions(bool aServersCheckFencing)
  {
    FleetOptions options;
    options.m_nodes = kNodes;
    options.m_zones = 2;
    options.m_bounds.m_serversCheckFencing = aServersCheckFencing;
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

TEST_CASE("the holder of the lease keeps it over the store's return, and no "
          "second one acts beside it")
{
  for (const bool checksFencing : { true, false }) {
    CAPTURE(checksFencing);
    ReturnWorld world(checksFencing);
    const size_t holder = world.Holder();
    REQUIRE(holder < world.NodeCount());
    const FencingToken token = world.StateOf(holder).m_lease.Token();
    world.SaveStoreCopy();
    // Longer than a lease lasts: the copy's lease has expired.
    world.Run(Millis(10'000));
    world.ReturnStoreToCopy();
    for (Millis time; time < Millis(10'000); time = time + FleetWorld::kStep) {
      world.Run(FleetWorld::kStep);
      REQUIRE(world.HolderCount() <= 1);
    }
    CHECK(world.Holder() == holder);
    CHECK(world.StateOf(holder).m_lease.Token() >= token);
  }
}

TEST_CASE("a lease that was granted after the copy is not granted again while "
          "it lasts")
{
  ReturnWorld world;
  const size_t first = world.Holder();
  REQUIRE(first < world.NodeCount());
  world.SaveStoreCopy();
  world.Kill(first);
  world.Run(Millis(12'000));
  const size_t second = world.Holder();
  REQUIRE(second < world.NodeCount());
  REQUIRE(second != first);
  const FencingToken token = world.StateOf(second).m_lease.Token();
  world.ReturnStoreToCopy();
  for (Millis time; time < Millis(10'000); time = time + FleetWorld::kStep) {
    world.Run(FleetWorld::kStep);
    REQUIRE(world.HolderCount() <= 1);
  }
  CHECK(world.Holder() == second);
  // The next holder's token is higher than all before the return.
  world.Kill(second);
  world.Run(Millis(12'000));
  const size_t third = world.Holder();
  REQUIRE(third < world.NodeCount());
  CHECK(world.StateOf(third).m_lease.Token() > token);
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

// A fleet in which the store comes back from copies, while nodes are killed,
// cut off and refused by the store, and operators and servers write. The
// operators and servers write again what a return has lost.
class DrillWorld : public ReturnWorld
{
public:
  explicit DrillWorld(uint32_t aSeed)
    : m_choices(aSeed)
  {
    for (int i = 0; i < 4; ++i) {
      RunServer(i);
    }
    SaveStoreCopy();
    Run(kContactTime);
  }

  void Play(Millis aTime)
  {
    for (const Millis end = Now() + aTime; Now() < end;) {
      switch (Choose(9)) {
        case 0:
          ReturnStoreToCopy();
          m_rewriteAt = Now() + Millis(500 + 100 * Choose(15));
          break;
        case 1:
        case 2:
          SaveWholeCopy();
          break;
        case 3:
          Kill(static_cast<size_t>(Choose(kNodes)));
          break;
        case 4:
          SetCutOff(static_cast<size_t>(Choose(kNodes)), true);
          break;
        case 5:
          SetStoreStatus(static_cast<size_t>(Choose(kNodes)),
                         StoreStatus::Refused);
          break;
        case 6:
          Recover();
          break;
        case 7:
          WriteConfig(++m_configVersion);
          break;
        default:
          RunServer(Choose(6));
      }
      RunAndCheck(Millis(100 + 100 * Choose(15)));
    }
  }

  // Ends all faults and checks that every node knows what the store holds.
  void Settle()
  {
    Recover();
    RunAndCheck(Millis(14'000));
    WriteConfig(++m_configVersion);
    Run(kContactTime);
    CHECK(NodesWithConfig(m_configVersion) == kNodes);
    CHECK(HolderCount() == 1);
    const size_t inEra = CountNodes(
      [&](const EntryState& aState) { return aState.m_storeEra == Era(); });
    CHECK(inEra == kNodes);
    for (const auto& entry : m_servers) {
      const std::string& host = entry.first;
      CAPTURE(host);
      CHECK(NodesThatKnow(host) == kNodes);
    }
  }

private:
  int64_t Choose(int64_t aBound)
  {
    return std::uniform_int_distribution<int64_t>(0, aBound - 1)(m_choices);
  }
  void WriteConfig(uint64_t aVersion) { Configure(aVersion); }
  void RunServer(int64_t aNumber)
  {
    const std::string host = "s" + std::to_string(aNumber);
    AddServer(RecordOf(host, ++m_servers[host]));
  }
  // A copy holds all that was written again since the last return.
  void SaveWholeCopy()
  {
    if (m_rewriteAt == Millis()) {
      SaveStoreCopy();
    }
  }
  void WriteAgain()
  {
    m_rewriteAt = Millis();
    Configure(m_configVersion);
    for (auto& [host, sequence] : m_servers) {
      AddServer(RecordOf(host, ++sequence));
    }
  }
  void Recover()
  {
    for (size_t i = 0; i < NodeCount(); ++i) {
      SetCutOff(i, false);
      SetStoreStatus(i, StoreStatus::Ok);
      if (!IsUp(i)) {
        Start(i);
        m_inForce[i] = 0;
      }
    }
  }
  void RunAndCheck(Millis aTime)
  {
    for (const Millis end = Now() + aTime; Now() < end;) {
      if (m_rewriteAt != Millis() && Now() >= m_rewriteAt) {
        WriteAgain();
      }
      Run(kStep);
      REQUIRE(HolderCount() <= 1);
      CheckConfigs();
    }
  }
  // No node goes back to an older configuration.
  void CheckConfigs()
  {
    for (size_t i = 0; i < NodeCount(); ++i) {
      const auto& routes = StateOf(i).m_routes;
      const uint64_t version = routes ? routes->Config().m_version.Value() : 0;
      REQUIRE(version >= m_inForce[i]);
      m_inForce[i] = version;
    }
  }

  std::mt19937 m_choices;
  std::map<std::string, uint64_t> m_servers;
  uint64_t m_configVersion = 1;
  std::map<size_t, uint64_t> m_inForce;
  // When what the last return has lost is written again; zero: it was.
  Millis m_rewriteAt;
};

// Seeds that have failed: 252, a node that started knew only a lease that the
// copy showed as expired; 720, the same after two returns in a row.
TEST_CASE("returns of the store together with other faults: one holder, no "
          "older configuration, and all nodes agree in the end")
{
  constexpr uint32_t kSeeds = 20;
  std::vector<uint32_t> choices{ 252, 720 };
  for (uint32_t seed = 1; seed <= SeedCount(kSeeds); ++seed) {
    choices.push_back(seed);
  }
  for (const uint32_t seed : choices) {
    CAPTURE(seed);
    DrillWorld world(seed);
    world.Play(Millis(40'000));
    world.Settle();
  }
}

} // namespace
} // namespace briarglade
