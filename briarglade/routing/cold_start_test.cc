// Shares of cold groups: fixed cases, and the sum over all nodes while the
// roster changes, nodes lag, restart and leave requests behind.

#include "briarglade/routing/cold_start.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <string>

namespace briarglade {

namespace {

constexpr Millis kWarmUp = Millis(60'000);

std::vector<NodeId> Nodes(size_t aCount)
{
  std::vector<NodeId> nodes;
  for (size_t index = 0; index < aCount; ++index) {
    nodes.emplace_back("node-" + std::to_string(index));
  }
  return nodes;
}

Route ColdRoute(Millis aNow, Millis aUptime, uint32_t aColdLimit)
{
  Route route;
  route.m_group = GroupId("d/m/1");
  route.m_boot = BootId("boot-1");
  route.m_coldLimit = aColdLimit;
  route.m_requestLimit = 32;
  route.m_warmUp = kWarmUp;
  route.m_uptime = aUptime;
  route.m_reportedAt = aNow;
  return route;
}

// A node that joined long ago.
ColdStartState OldNode(const NodeId& aSelf, const std::vector<NodeId>& aRoster)
{
  ColdStartState state;
  NoteRoster(state, Millis(0), 1, aRoster, aSelf);
  return state;
}

} // namespace

TEST_CASE("the shares of a cold group are dealt in rank order")
{
  struct Case
  {
    uint32_t m_coldLimit;
    size_t m_nodes;
    std::vector<uint32_t> m_shares;
  };
  const std::vector<Case> cases = {
    { 3, 9, { 0, 0, 0, 0, 0, 0, 1, 1, 1 } },
    { 20, 9, { 2, 2, 2, 2, 2, 2, 2, 3, 3 } },
    { 1, 1, { 1 } },
    { 0, 3, { 0, 0, 0 } },
  };
  const Millis now(100'000);
  for (const Case& entry : cases) {
    const std::vector<NodeId> roster = Nodes(entry.m_nodes);
    std::vector<uint32_t> shares;
    for (const NodeId& self : roster) {
      ColdStartState state = OldNode(self, roster);
      const Route route = ColdRoute(now, Millis(0), entry.m_coldLimit);
      shares.push_back(AdmissionLimit(state, now, route, self, roster));
    }
    std::sort(shares.begin(), shares.end());
    CHECK(shares == entry.m_shares);
  }
}

TEST_CASE("a group warms up by uptime and falls back on a signal")
{
  const std::vector<NodeId> roster = Nodes(1);
  const NodeId self = roster.front();
  ColdStartState state = OldNode(self, roster);
  const Millis start(100'000);
  const Route route = ColdRoute(start, Millis(0), 2);
  const auto limitAt = [&](Millis aSince) {
    return AdmissionLimit(state, start + aSince, route, self, roster);
  };
  CHECK(limitAt(Millis(0)) == 2);
  CHECK(limitAt(kWarmUp - Millis(1)) == 2);
  CHECK(limitAt(kWarmUp) == 32);
  CHECK(state.m_periods.empty());
  NoteColdSignal(
    state, start + kWarmUp * 2, route.m_group, ColdSignal::Refused);
  CHECK(limitAt(kWarmUp * 2) == 2);
  CHECK(limitAt(kWarmUp * 3 - Millis(1)) == 2);
  NoteColdSignal(state,
                 start + kWarmUp * 2 + kWarmUp / 2,
                 route.m_group,
                 ColdSignal::LatencyJump);
  CHECK(limitAt(kWarmUp * 2 + kWarmUp / 2) == 2);
  CHECK(limitAt(kWarmUp * 4) == 32);
}

TEST_CASE("a node that joined after the group turned cold waits until it is "
          "warm")
{
  const std::vector<NodeId> roster = Nodes(2);
  const Millis now(100'000);
  const Route route = ColdRoute(now, Millis(10'000), 8);
  ColdStartState late;
  NoteRoster(late, now - Millis(9'000), 1, roster, roster[0]);
  CHECK(AdmissionLimit(late, now, route, roster[0], roster) == 0);
  CHECK(AdmissionLimit(late, now + kWarmUp, route, roster[0], roster) == 32);
  // Others may not know of a node that joined only shortly before.
  ColdStartState recent;
  NoteRoster(recent, now - Millis(12'000), 1, roster, roster[0]);
  CHECK(AdmissionLimit(recent, now, route, roster[0], roster) == 0);
  ColdStartState settled;
  NoteRoster(settled, now - Millis(16'000), 1, roster, roster[0]);
  CHECK(AdmissionLimit(settled, now, route, roster[0], roster) > 0);
  ColdStartState skipped = OldNode(roster[0], roster);
  NoteRoster(skipped, now - Millis(9'000), 3, Nodes(3), roster[0]);
  CHECK(AdmissionLimit(skipped, now, route, roster[0], Nodes(3)) == 0);
}

TEST_CASE("a rank that nobody uses is lost until the group is warm, and no "
          "longer")
{
  const std::vector<NodeId> roster = Nodes(3);
  const Millis start(100'000);
  const Route route = ColdRoute(start, Millis(0), 1);
  std::vector<uint32_t> cold;
  for (const NodeId& self : roster) {
    ColdStartState state = OldNode(self, roster);
    cold.push_back(
      AdmissionLimit(state, start + kWarmUp - Millis(1), route, self, roster));
    CHECK(AdmissionLimit(state, start + kWarmUp, route, self, roster) == 32);
  }
  std::sort(cold.begin(), cold.end());
  CHECK(cold == std::vector<uint32_t>{ 0, 0, 1 });
}

namespace {

// Several nodes before one server, in virtual time.
class ColdServerHistory
{
public:
  explicit ColdServerHistory(uint32_t aSeed)
    : m_random(aSeed)
  {
    m_coldLimit = 1 + Pick(6);
    for (const NodeId& node : Nodes(7)) {
      m_nodes.push_back(Member{ node, {}, 0, 0, false });
    }
    m_rosters.push_back(Accepted{ Nodes(4), Millis(0) });
  }

  // Returns whether the sum stayed within the limit all the time.
  bool Run()
  {
    for (int64_t step = 0; step < 1'200; ++step) {
      m_now = Millis(step * 500);
      ChangeSomething();
      for (Member& node : m_nodes) {
        Adopt(node);
        Finish(node);
        Send(node);
      }
      if (!SumHolds()) {
        return false;
      }
    }
    return true;
  }

private:
  struct Accepted
  {
    std::vector<NodeId> m_nodes;
    Millis m_at;
  };
  struct Member
  {
    NodeId m_id;
    ColdStartState m_cold;
    size_t m_version;
    // Requests at the server, of this run of the node and of earlier ones.
    uint32_t m_inFlight;
    bool m_knowsBoot;
    uint32_t m_leftBehind = 0;
  };

  uint32_t Pick(uint32_t aBelow) { return m_random() % aBelow; }

  void ChangeSomething()
  {
    if (Pick(12) == 0) {
      ChangeRoster();
    }
    if (Pick(60) == 0) {
      m_bootAt = m_now;
      ++m_boot;
      for (Member& node : m_nodes) {
        node.m_inFlight = 0;
        node.m_leftBehind = 0;
        node.m_knowsBoot = false;
      }
    }
    if (Pick(25) == 0) {
      Member& node = m_nodes[Pick(m_nodes.size())];
      node.m_leftBehind += node.m_inFlight;
      node.m_inFlight = 0;
      node.m_cold = ColdStartState();
      node.m_version = 0;
    }
  }

  void ChangeRoster()
  {
    std::vector<NodeId> nodes = m_rosters.back().m_nodes;
    const NodeId changed = m_nodes[Pick(m_nodes.size())].m_id;
    const auto found = std::find(nodes.begin(), nodes.end(), changed);
    if (found == nodes.end()) {
      nodes.push_back(changed);
    } else if (nodes.size() > 1) {
      nodes.erase(found);
    }
    m_rosters.push_back(Accepted{ nodes, m_now });
  }

  void Adopt(Member& aNode)
  {
    if (aNode.m_version < m_rosters.size() && Pick(4) == 0) {
      aNode.m_version = m_rosters.size();
      NoteRoster(aNode.m_cold,
                 m_now,
                 aNode.m_version,
                 m_rosters.back().m_nodes,
                 aNode.m_id);
    }
    aNode.m_knowsBoot = aNode.m_knowsBoot || Pick(3) == 0;
  }

  // Membership's promise: a node that lags too long starts nothing.
  bool MaySend(const Member& aNode) const
  {
    if (aNode.m_version == 0) {
      return false;
    }
    return aNode.m_version == m_rosters.size() ||
           m_now - m_rosters[aNode.m_version].m_at < kRosterSettleTime;
  }

  void Finish(Member& aNode)
  {
    if (aNode.m_inFlight > 0 && Pick(8) == 0) {
      --aNode.m_inFlight;
    }
    if (aNode.m_leftBehind > 0 && Pick(20) == 0) {
      --aNode.m_leftBehind;
    }
  }

  Route RouteNow() const
  {
    Route route = ColdRoute(m_now, m_now - m_bootAt, m_coldLimit);
    route.m_boot = BootId("boot-" + std::to_string(m_boot));
    return route;
  }

  void Send(Member& aNode)
  {
    if (!MaySend(aNode) || !aNode.m_knowsBoot || m_now - m_bootAt >= kWarmUp) {
      return;
    }
    const uint32_t limit =
      AdmissionLimit(aNode.m_cold,
                     m_now,
                     RouteNow(),
                     aNode.m_id,
                     m_rosters[aNode.m_version - 1].m_nodes);
    aNode.m_inFlight = std::max(aNode.m_inFlight, limit);
  }

  bool SumHolds() const
  {
    if (m_now - m_bootAt >= kWarmUp) {
      return true;
    }
    uint32_t sum = 0;
    for (const Member& node : m_nodes) {
      sum += node.m_inFlight + node.m_leftBehind;
    }
    return sum <= FleetAdmissionLimit(RouteNow(), m_now - m_bootAt);
  }

  std::mt19937 m_random;
  uint32_t m_coldLimit = 1;
  Millis m_now;
  Millis m_bootAt;
  uint64_t m_boot = 1;
  std::vector<Accepted> m_rosters;
  std::vector<Member> m_nodes;
};

} // namespace

TEST_CASE("all nodes together never pass the limit of a cold server")
{
  for (uint32_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    REQUIRE(ColdServerHistory(seed).Run());
  }
}

} // namespace briarglade
