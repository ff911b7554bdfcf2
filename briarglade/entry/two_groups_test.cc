// Tests that no server is in two groups at once (TWO), whatever is late, lost
// or old: entries, reports, orders and holders of the control lease.

#include <doctest/doctest.h>
#include <string>
#include <vector>

#include "briarglade/entry/group_world_test.h"

namespace briarglade {
namespace {

// One group of three servers and a spare. In an outage of the store, the group
// loses a member and is formed anew with the spare and with its former leader,
// whose entry still says that it is in no group: it was written before the
// outage, between two groups, and is read after it.
class OutageWorld : public GroupWorld
{
public:
  OutageWorld()
    : GroupWorld(1)
  {
    for (const char* host : { "a", "b", "c", "e" }) {
      AddModelServer(host);
    }
    RunUntilServing(1);
    // The spare stands by.
    Run(Millis(8'000));
    m_leader = Servers().OpenLeader();
    SetOrderDelay([this](const GroupOrder& aOrder) {
      if (aOrder.m_kind == OrderKind::Leave && !m_isOutage) {
        SetStoreDownForNodes(true);
        m_isOutage = true;
      }
      return kStep;
    });
    Servers().Crash(MemberOfRank(2));
    while (Servers().Report(m_leader)->m_groupMembership) {
      Run(kStep);
    }
    SetStoreDownForServers(true);
    // Less than a whole number of heartbeats, so that the nodes read the store
    // before the servers write to it.
    Run(Millis(3'100));
  }

  const HostId& FormerLeader() const { return m_leader; }

  HostId MemberOfRank(uint32_t aRank)
  {
    for (const HostId& host : Servers().Hosts()) {
      const auto& membership = Servers().Report(host)->m_groupMembership;
      const bool isFound = membership && membership->m_rank == aRank &&
                           !IsStandby(membership->m_group);
      if (isFound) {
        return host;
      }
    }
    return {};
  }

private:
  HostId m_leader;
  bool m_isOutage = false;
};

TEST_CASE("TWO: an entry that was written before an outage of the store does "
          "not undo what the server has reported since")
{
  OutageWorld world;
  REQUIRE(world.Servers().OpenLeader() == world.FormerLeader());
  world.SetStoreDown(false);
  world.Run(Millis(5'000));
  CHECK_MESSAGE(world.Servers().Violations().empty(),
                world.Servers().DescribeViolations());
  CHECK(world.Servers().OpenLeader() == world.FormerLeader());
  CHECK(world.Servers().ServingGroups() == 1);
}

TEST_CASE("TWO: a new holder that has no report of a server does not use it by "
          "its old entry")
{
  OutageWorld world;
  REQUIRE(world.Servers().OpenLeader() == world.FormerLeader());
  const size_t holder = world.Holder();
  REQUIRE(holder < world.NodeCount());
  world.Kill(holder);
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    world.SetReachable(node, world.FormerLeader(), false);
  }
  // The servers can't write yet.
  world.SetStoreDownForNodes(false);
  while (world.Holder() == world.NodeCount()) {
    world.Run(GroupWorld::kStep);
  }
  // The server is out of reach for the survey only.
  world.Run(Millis(600));
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    world.SetReachable(node, world.FormerLeader(), true);
  }
  world.Run(Millis(1'000));
  world.SetStoreDownForServers(false);
  world.Run(Millis(5'000));
  CHECK_MESSAGE(world.Servers().Violations().empty(),
                world.Servers().DescribeViolations());
  CHECK(world.Servers().ServingGroups() == 1);
  CHECK(world.Servers().OpenLeader() == world.FormerLeader());
}

TEST_CASE("a holder that has just started does not end a group whose leader "
          "gave no report to its survey")
{
  OutageWorld world;
  REQUIRE(world.Servers().OpenLeader() == world.FormerLeader());
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    world.Kill(node);
  }
  // The servers can't write yet, so the entries lack the leader's group.
  world.SetStoreDownForNodes(false);
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    world.Start(node);
    world.SetReachable(node, world.FormerLeader(), false);
  }
  while (world.Holder() == world.NodeCount()) {
    world.Run(GroupWorld::kStep);
  }
  world.Run(Millis(600));
  CHECK(world.Servers().ServingGroups() == 1);
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    world.SetReachable(node, world.FormerLeader(), true);
  }
  world.Run(Millis(1'000));
  world.SetStoreDownForServers(false);
  world.Run(Millis(5'000));
  CHECK(world.Servers().ServingGroups() == 1);
  CHECK(world.Servers().OpenLeader() == world.FormerLeader());
  CHECK(world.Servers().Violations().empty());
}

// A random history of faults of the store, nodes, servers and links.
class History
{
public:
  explicit History(uint32_t aSeed)
    : m_world(aSeed)
    , m_random(aSeed)
  {
    for (const char* host : { "a", "b", "c", "d", "e", "f", "g", "h" }) {
      m_world.AddModelServer(host);
    }
    m_world.RunUntilServing(2);
    m_world.SetOrderDelay([this](const GroupOrder&) {
      return Chance(5)    ? Millis(1'000 + Pick(5'000))
             : Chance(10) ? Millis(Pick(700))
                          : GroupWorld::kStep;
    });
    m_world.SetReportDelay([this](const HostId&) {
      return Chance(10) ? Millis(Pick(400)) : GroupWorld::kStep * 2;
    });
  }

  // Runs for two minutes. Returns the fraction of the time in which a group
  // served.
  double Run()
  {
    constexpr int kSteps = 1'200;
    int servingSteps = 0;
    for (int step = 0; step < kSteps; ++step) {
      if (Chance(12)) {
        Disturb();
      }
      Repair();
      m_world.Run(Millis(100));
      servingSteps += m_world.Servers().ServingGroups() > 0 ? 1 : 0;
    }
    return static_cast<double>(servingSteps) / kSteps;
  }

  const FakeServers& Servers() { return m_world.Servers(); }

private:
  bool Chance(uint32_t aPercent) { return m_random() % 100 < aPercent; }
  int64_t Pick(uint32_t aBound) { return m_random() % aBound; }
  // Lets a repair happen after up to aLongest.
  void RepairLater(uint32_t aLongest, std::function<void()> aRepair)
  {
    m_repairs.emplace_back(m_world.Now() + Millis(200 + Pick(aLongest)),
                           std::move(aRepair));
  }

  void Repair()
  {
    for (size_t i = 0; i < m_repairs.size();) {
      if (m_repairs[i].first > m_world.Now()) {
        ++i;
        continue;
      }
      const std::function<void()> repair = std::move(m_repairs[i].second);
      m_repairs.erase(m_repairs.begin() + static_cast<ptrdiff_t>(i));
      repair();
    }
  }

  void Disturb()
  {
    const std::vector<HostId> hosts = m_world.Servers().Hosts();
    const HostId& host = hosts[static_cast<size_t>(Pick(hosts.size()))];
    const size_t holder = m_world.Holder();
    const size_t node = Chance(50) && holder < m_world.NodeCount()
                          ? holder
                          : static_cast<size_t>(Pick(m_world.NodeCount()));
    switch (Pick(7)) {
      case 0:
        m_world.SetStoreDown(true);
        RepairLater(4'000, [this] { m_world.SetStoreDown(false); });
        break;
      case 1:
        m_world.SetStoreStatus(node, StoreStatus::Unknown);
        RepairLater(6'000, [this, node] {
          m_world.SetStoreStatus(node, StoreStatus::Ok);
        });
        break;
      case 2:
      case 3:
        CrashServer(host);
        break;
      case 4:
        m_world.Freeze(node, Millis(300 + Pick(9'000)));
        break;
      case 5:
        KillNode(node);
        break;
      default:
        m_world.SetReachable(node, host, false);
        RepairLater(3'000, [this, node, host] {
          m_world.SetReachable(node, host, true);
        });
    }
  }

  void CrashServer(const HostId& aHost)
  {
    if (!m_world.Servers().IsUp(aHost)) {
      return;
    }
    m_world.Servers().Crash(aHost);
    RepairLater(8'000, [this, aHost] { m_world.Servers().Restart(aHost); });
  }

  void KillNode(size_t aNode)
  {
    if (!m_world.IsUp(aNode)) {
      return;
    }
    m_world.Kill(aNode);
    RepairLater(5'000, [this, aNode] { m_world.Start(aNode); });
  }

  GroupWorld m_world;
  std::mt19937 m_random;
  std::vector<std::pair<Millis, std::function<void()>>> m_repairs;
};

TEST_CASE("TWO: over random outages, late orders and reports, crashes, freezes "
          "and changes of the holder, no server is in two groups")
{
  // Seeds that failed once, and fresh ones.
  std::vector<uint32_t> seeds = { 73, 136, 146, 172, 708, 1005 };
  for (uint32_t seed = 1; seed <= SeedCount(60); ++seed) {
    seeds.push_back(seed);
  }
  double servingShare = 0;
  for (const uint32_t seed : seeds) {
    History history(seed);
    servingShare += history.Run();
    CHECK_MESSAGE(history.Servers().Violations().empty(),
                  "seed " << seed << ": "
                          << history.Servers().DescribeViolations());
  }
  MESSAGE("share of time with a group that serves: "
          << servingShare / static_cast<double>(seeds.size()));
  CHECK(servingShare / static_cast<double>(seeds.size()) > 0.5);
}

} // namespace
} // namespace briarglade
