// Tests of the holder's duties on fake servers with virtual time: groups are
// formed, repaired and never broken into, whatever is lost or late.

#include "briarglade/grouping/group_control.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <random>

#include "briarglade/grouping/fake_servers_test.h"

namespace briarglade {
namespace {

constexpr Millis kTick = Millis(50);

GatewayConfig MakeConfig()
{
  ServiceSpec service;
  service.m_id = ServiceId("models");
  EngineSpec engine;
  engine.m_loadsPerSecond = 5;
  ReplicaModel big;
  big.m_id = ModelId("big");
  big.m_size = 4;
  big.m_share = 0.67;
  big.m_loadTime = Millis(8'000);
  ReplicaModel small;
  small.m_id = ModelId("small");
  small.m_size = 2;
  small.m_share = 0.33;
  small.m_loadTime = Millis(8'000);
  engine.m_models = { big, small };
  service.m_engine = engine;
  GatewayConfig config;
  config.m_services.emplace(service.m_id, service);
  return config;
}

// A holder, its servers, and orders on their way.
struct World
{
  GatewayConfig m_config = MakeConfig();
  FakeServers m_servers{ *m_config.m_services.begin()->second.m_engine };
  GroupControl m_control{ NodeId("n1"), 1, ControlBounds() };
  // A second node that took the lease from the first.
  std::optional<GroupControl> m_successor;
  std::mt19937 m_random{ 1 };
  Millis m_now{ 1'000 };
  bool m_hasTraffic = false;
  // In a hundred: orders whose answer is lost, and of those the ones that are
  // carried out late; changes that the holder doesn't see yet.
  uint32_t m_lost = 0;
  uint32_t m_staleView = 0;
  // The store goes on showing servers that have died.
  bool m_showsDead = false;
  ServerMap m_view;
  std::set<GroupId> m_suspects;
  std::deque<std::pair<Millis, GroupOrder>> m_late;

  World()
  {
    for (int domain = 0; domain < 3; ++domain) {
      for (int host = 0; host < 8; ++host) {
        m_servers.Add("d" + std::to_string(domain) + "h" + std::to_string(host),
                      "d" + std::to_string(domain));
      }
    }
    m_control.Begin(m_now, FencingToken(10));
  }

  bool Chance(uint32_t aPercent) { return m_random() % 100 < aPercent; }

  void CarryOut(GroupControl& aControl, const ControlEffects& aEffects)
  {
    for (const ControlEffect& effect : aEffects) {
      if (const auto* probe = std::get_if<ProbeHost>(&effect)) {
        aControl.OnProbed(
          m_now, probe->m_host, m_servers.Report(probe->m_host));
      } else if (const auto* order = std::get_if<GroupOrder>(&effect)) {
        Send(aControl, *order);
      }
    }
  }

  void Send(GroupControl& aControl, const GroupOrder& aOrder)
  {
    if (Chance(m_lost)) {
      if (Chance(50)) {
        m_late.emplace_back(m_now + Millis(2'000 + m_random() % 10'000),
                            aOrder);
      } else if (Chance(50)) {
        m_servers.Execute(m_now, aOrder);
      }
      aControl.OnOrderAnswered(m_now, { aOrder, OrderStatus::Unknown });
      return;
    }
    const OrderStatus status = m_servers.Execute(m_now, aOrder);
    if (!aControl.OnOrderAnswered(m_now, { aOrder, status })) {
      aControl.End();
    }
  }

  void Step()
  {
    m_now += kTick;
    for (auto late = m_late.begin(); late != m_late.end();) {
      if (late->first <= m_now) {
        m_servers.Execute(m_now, late->second);
        late = m_late.erase(late);
      } else {
        ++late;
      }
    }
    m_servers.Advance(m_now);
    if (!Chance(m_staleView)) {
      ServerMap view = m_servers.Records();
      if (m_showsDead) {
        view.insert(m_view.begin(), m_view.end());
      }
      m_view = std::move(view);
    }
    for (GroupControl* control :
         { &m_control, m_successor ? &*m_successor : nullptr }) {
      if (control == nullptr) {
        continue;
      }
      const GroupMap groups = FindGroups(m_view, m_config);
      const std::set<ZoneId> zonesOut;
      const ControlView view{ m_view,   groups,     m_config,
                              zonesOut, m_suspects, m_hasTraffic };
      CarryOut(*control, control->Tick(m_now, view));
    }
  }
  void Run(Millis aTime)
  {
    for (Millis passed; passed < aTime; passed += kTick) {
      Step();
    }
  }
};

TEST_CASE("every domain forms a group of each model and keeps spares")
{
  World world;
  world.Run(Millis(12'000));
  CHECK(world.m_servers.ServingGroups() == 6);
  CHECK(world.m_servers.Violations().empty());
  CHECK(world.m_control.OpenedGroups().size() == 6);
}

TEST_CASE("a group that lost a member or its leader serves again within 2.5 s")
{
  for (const char* name : { "leader", "member" }) {
    CAPTURE(name);
    World world;
    world.Run(Millis(20'000));
    const GroupMap groups = FindGroups(world.m_view, world.m_config);
    const ReplicaGroup& group = groups.begin()->second;
    const HostId victim =
      name == std::string("leader") ? group.Leader() : group.m_members.back();
    world.m_servers.Crash(victim);
    // The store still shows the server; the streams have fallen silent.
    const ServerMap before = world.m_view;
    world.m_suspects = { group.m_id };
    Millis waited;
    while (world.m_servers.ServingGroups() < 6 && waited < Millis(10'000)) {
      world.Step();
      waited += kTick;
    }
    CHECK(waited <= Millis(2'500));
    CHECK(world.m_servers.Violations().empty());
  }
}

TEST_CASE(
  "over 50 deaths, a group serves again within 2.5 s for 95 in 100 with a "
  "spare that stands by")
{
  constexpr uint32_t kDeaths = 50;
  std::vector<Millis> times;
  for (uint32_t seed = 1; seed <= kDeaths; ++seed) {
    World world;
    world.m_random.seed(seed);
    world.Run(Millis(30'000));
    world.m_hasTraffic = true;
    world.m_showsDead = true;
    const GroupMap groups = FindGroups(world.m_view, world.m_config);
    auto victim = groups.begin();
    std::advance(victim, world.m_random() % groups.size());
    const ReplicaGroup group = victim->second;
    world.m_servers.Crash(
      group.m_members[world.m_random() % group.m_members.size()]);
    // The streams fall silent, and a node says so.
    world.Run(Millis(300));
    world.m_suspects = { group.m_id };
    Millis waited(300);
    while (world.m_servers.ServingGroups() < 6 && waited < Millis(20'000)) {
      world.Step();
      waited += kTick;
    }
    times.push_back(waited);
    CHECK(world.m_servers.Violations().empty());
  }
  std::sort(times.begin(), times.end());
  constexpr size_t kTail = kDeaths * 95 / 100;
  MESSAGE("served again after " << times[kDeaths / 2].Count()
                                << " ms (median), " << times[kTail].Count()
                                << " ms (p95)");
  CHECK(times[kTail] <= Millis(2'500));
}

TEST_CASE("a suspicion that the members refute ends no group")
{
  World world;
  world.Run(Millis(20'000));
  const GroupMap groups = FindGroups(world.m_view, world.m_config);
  for (const auto& [id, group] : groups) {
    world.m_suspects.insert(id);
  }
  // Ten minutes of false alarms.
  world.Run(Millis(600'000));
  CHECK(world.m_control.EndedGroups().empty());
  CHECK(world.m_servers.ServingGroups() == 6);
}

TEST_CASE("while traffic runs, loads keep to the store's rate")
{
  World world;
  world.Run(Millis(12'000));
  world.m_hasTraffic = true;
  // A whole domain comes back with nothing on its hosts.
  for (const HostId& host : world.m_servers.Hosts()) {
    if (host.Value()[1] == '0') {
      world.m_servers.Crash(host);
    }
  }
  world.Run(Millis(1'000));
  for (const HostId& host : world.m_servers.Hosts()) {
    if (!world.m_servers.IsUp(host)) {
      world.m_servers.Restart(host);
    }
  }
  world.Run(Millis(40'000));
  CHECK(world.m_servers.ServingGroups() >= 6);
  CHECK(world.m_servers.Violations().empty());
}

TEST_CASE("a successor that asks every server first keeps the groups that run")
{
  World world;
  world.Run(Millis(20'000));
  const GroupMap before = FindGroups(world.m_view, world.m_config);
  world.m_control.End();
  world.m_successor.emplace(NodeId("n2"), 2, ControlBounds());
  world.m_successor->Begin(world.m_now + kTick, FencingToken(20));
  world.Run(Millis(10'000));
  CHECK(world.m_servers.ServingGroups() == 6);
  const GroupMap after = FindGroups(world.m_view, world.m_config);
  for (const auto& [id, group] : before) {
    CHECK(after.count(id) == 1);
  }
}

// Returns the group of a model that serves in the first domain.
ReplicaGroup GroupOf(const World& aWorld, const char* aModel)
{
  for (const auto& [id, group] : FindGroups(aWorld.m_view, aWorld.m_config)) {
    if (IsServing(group) && group.m_domain == DomainId("d0") &&
        group.m_model == ModelId(aModel)) {
      return group;
    }
  }
  return {};
}

TEST_CASE("a group with a leaving member gives way at once to hosts that are "
          "ready for its model")
{
  World world;
  world.Run(Millis(30'000));
  const ReplicaGroup group = GroupOf(world, "big");
  REQUIRE(group.m_members.size() == 4);
  world.m_servers.Drain(group.m_members.back());
  world.Run(Millis(2'500));
  CHECK(world.m_servers.ServingGroups() == 6);
  CHECK(GroupOf(world, "big").m_id != group.m_id);
  CHECK_FALSE(GroupOf(world, "big").m_isLeaving);
  CHECK(world.m_servers.Violations().empty());
}

TEST_CASE(
  "without such hosts a group with a leaving member serves on, until the "
  "member has gone")
{
  World world;
  world.Run(Millis(30'000));
  const ReplicaGroup group = GroupOf(world, "big");
  REQUIRE(group.m_members.size() == 4);
  // The domain's spares are lost for good.
  for (const auto& [host, server] : world.m_servers.Records()) {
    const bool isSpare =
      server.m_domain == DomainId("d0") &&
      (!server.m_place || IsStandby(server.m_place->m_group));
    if (isSpare) {
      world.m_servers.Crash(host);
    }
  }
  world.m_servers.Drain(group.m_members.back());
  world.Run(Millis(5'000));
  CHECK(world.m_servers.ServingGroups() == 6);
  CHECK(GroupOf(world, "big").m_id == group.m_id);
  world.m_servers.Crash(group.m_members.back());
  world.m_suspects = { group.m_id };
  world.Run(Millis(1'000));
  CHECK(GroupOf(world, "big").m_id != group.m_id);
  CHECK(world.m_servers.Violations().empty());
}

TEST_CASE("a successor forms anew, without a load, the groups that its "
          "predecessor hasn't opened")
{
  World world;
  world.Run(Millis(2'000));
  REQUIRE(world.m_servers.ServingGroups() == 0);
  const size_t loads = world.m_servers.LoadCount();
  world.m_control.End();
  world.m_successor.emplace(NodeId("n2"), 2, ControlBounds());
  world.m_successor->Begin(world.m_now + kTick, FencingToken(20));
  world.Run(Millis(12'000));
  CHECK(world.m_servers.ServingGroups() == 6);
  CHECK(world.m_servers.LoadCount() == loads);
  for (const auto& [id, group] : FindGroups(world.m_view, world.m_config)) {
    CHECK(group.m_generation > Generation(20 * 4'096));
  }
}

TEST_CASE("a successor counts the loads that its predecessor has begun")
{
  World world;
  constexpr double kRate = 2;
  world.m_config.m_services.begin()->second.m_engine->m_loadsPerSecond = kRate;
  world.Run(Millis(12'000));
  world.m_hasTraffic = true;
  world.m_servers.SetLoadWindow(Millis(5'000));
  // Every host comes back with nothing on it.
  for (const HostId& host : world.m_servers.Hosts()) {
    world.m_servers.Crash(host);
    world.m_servers.ClearWeights(host);
  }
  world.Run(Millis(1'000));
  for (const HostId& host : world.m_servers.Hosts()) {
    world.m_servers.Restart(host);
  }
  // The holder begins as many loads as it may, and loses its lease.
  world.Run(Millis(1'500));
  REQUIRE(world.m_servers.MaxLoadsInWindow() > 6);
  world.m_control.End();
  world.m_successor.emplace(NodeId("n2"), 2, ControlBounds());
  world.m_successor->Begin(world.m_now + kTick, FencingToken(20));
  world.Run(Millis(20'000));
  // The rate for 5 seconds, and what may come on top.
  CHECK(world.m_servers.MaxLoadsInWindow() <= kRate * 5 * 1.1 + 3);
}

// One long history of faults of every kind. Returns the share of the time in
// which most groups served.
double RunHistory(uint32_t aSeed)
{
  World world;
  world.m_random.seed(aSeed);
  world.m_lost = 15;
  world.m_staleView = 30;
  world.Run(Millis(15'000));
  world.m_hasTraffic = true;
  std::map<HostId, Millis> down;
  int goodTicks = 0;
  constexpr int kTicks = 4'000;
  for (int tick = 0; tick < kTicks; ++tick) {
    if (world.Chance(2)) {
      const std::vector<HostId> hosts = world.m_servers.Hosts();
      const HostId& victim = hosts[world.m_random() % hosts.size()];
      if (down.count(victim) == 0) {
        world.m_servers.Crash(victim);
        down[victim] = world.m_now + Millis(500 + world.m_random() % 8'000);
      }
    }
    for (auto entry = down.begin(); entry != down.end();) {
      if (entry->second <= world.m_now) {
        world.m_servers.Restart(entry->first);
        entry = down.erase(entry);
      } else {
        ++entry;
      }
    }
    world.m_suspects.clear();
    for (const auto& [id, group] : FindGroups(world.m_view, world.m_config)) {
      if (world.Chance(10)) {
        world.m_suspects.insert(id);
      }
    }
    if (tick == kTicks / 2) {
      // The first holder is only paused: it goes on beside its successor.
      world.m_successor.emplace(NodeId("n2"), 2, ControlBounds());
      world.m_successor->Begin(world.m_now + kTick, FencingToken(20));
    }
    world.Step();
    goodTicks += world.m_servers.ServingGroups() >= 2 ? 1 : 0;
  }
  for (const std::string& violation : world.m_servers.Violations()) {
    MESSAGE("seed " << aSeed << ": " << violation);
  }
  CHECK(world.m_servers.Violations().empty());
  return static_cast<double>(goodTicks) / kTicks;
}

TEST_CASE("over long histories of crashes, lost and late orders, old views and "
          "two holders, no host is in two groups and none opens incomplete")
{
  constexpr uint32_t kSeeds = 30;
  double good = 0;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    good += RunHistory(seed);
  }
  MESSAGE("share of time with two groups or more: " << good / kSeeds);
  CHECK(good / kSeeds > 0.5);
}

} // namespace
} // namespace briarglade
