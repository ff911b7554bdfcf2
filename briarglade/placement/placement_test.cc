// Several nodes, a table and backend servers in virtual time, with faults from
// a seed. What must always hold is checked at every step.

#include "briarglade/placement/placement.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "briarglade/base/overloaded.h"
#include "briarglade/placement/fake_table_test.h"
#include "briarglade/placement/placement_state.h"

namespace briarglade {

namespace {

constexpr Millis kStep = Millis(50);

// A backend server.
struct FakeServer
{
  HostId m_id;
  bool m_checksFencing = false;
  bool m_isDown = false;
  bool m_isPaused = false;
  Millis m_startedAt;
  uint64_t m_boot = 1;
  GroupId m_group;
  Generation m_generation;
  ModelId m_model;
  MemberPhase m_phase = MemberPhase::Idle;
  Millis m_loadedAt;
  FencingToken m_fencing;
  Millis m_stepTime = Millis(10);
  // When it was last ready in a group's generation.
  std::map<std::string, Millis> m_readyAt;

  bool Answers() const { return !m_isDown && !m_isPaused; }

  void Restart(Millis aNow)
  {
    m_isDown = false;
    m_startedAt = aNow;
    ++m_boot;
    m_group = GroupId();
    m_model = ModelId();
    m_phase = MemberPhase::Idle;
  }

  void Obey(Millis aNow, const ServerOrder& aOrder)
  {
    if (m_checksFencing && aOrder.m_fencing < m_fencing) {
      return;
    }
    m_fencing = m_checksFencing ? aOrder.m_fencing : m_fencing;
    if (aOrder.m_kind == ServerOrder::Kind::Release) {
      m_group = GroupId();
      m_model = ModelId();
      m_phase = MemberPhase::Idle;
    } else if (aOrder.m_kind == ServerOrder::Kind::Drain) {
      m_phase = MemberPhase::Draining;
    } else {
      const bool reloads =
        m_model != aOrder.m_model || m_phase == MemberPhase::Idle;
      m_group = aOrder.m_group;
      m_generation = aOrder.m_generation;
      m_model = aOrder.m_model;
      m_phase = reloads ? MemberPhase::Loading : MemberPhase::Ready;
      m_loadedAt = aNow + Millis(2'000);
    }
  }

  void Step(Millis aNow)
  {
    if (m_phase == MemberPhase::Loading && aNow >= m_loadedAt) {
      m_phase = MemberPhase::Ready;
    }
    if (Answers() && m_phase == MemberPhase::Ready) {
      m_readyAt[Key(m_group, m_generation)] = aNow;
    }
  }

  static std::string Key(const GroupId& aGroup, Generation aGeneration)
  {
    return aGroup.Value() + "#" + std::to_string(aGeneration.Value());
  }
};

struct FakeNode
{
  NodeId m_id;
  PlacementState m_state;
  Millis m_pausedUntil;
  std::vector<Route> m_routes;
  std::vector<std::function<void()>> m_backlog;
};

struct Size
{
  uint32_t m_nodes = 4;
  uint32_t m_domains = 3;
  uint32_t m_hostsPerDomain = 9;
  uint32_t m_members = 4;
  uint32_t m_groups = 6;
};

class World
{
public:
  explicit World(uint32_t aSeed, Size aSize = Size())
    : m_random(aSeed)
    , m_size(aSize)
  {
    MakeFleet();
    for (uint32_t number = 0; number < m_size.m_nodes; ++number) {
      auto node = std::make_unique<FakeNode>();
      node->m_id = NodeId("node-" + std::to_string(number));
      m_nodes.push_back(std::move(node));
    }
    for (auto& node : m_nodes) {
      Start(*node);
    }
  }

  // Lets time pass; with faults, breaks things at random. Returns the first
  // thing that didn't hold, or an empty text.
  std::string Run(Millis aTime, bool aWithFaults)
  {
    const Millis end = m_now + aTime;
    while (m_now < end) {
      m_now += kStep;
      if (aWithFaults) {
        Break();
      }
      Deliver();
      for (auto& entry : m_servers) {
        entry.second.Step(m_now);
      }
      for (auto& node : m_nodes) {
        Tick(*node);
      }
      const std::string wrong = Check();
      if (!wrong.empty()) {
        return wrong + " at " + std::to_string(m_now.Count());
      }
    }
    return {};
  }

  // Ends all faults.
  void Heal()
  {
    m_tableDown = false;
    m_lossPercent = 0;
    m_lateOrders = false;
    for (auto& entry : m_servers) {
      entry.second.m_isPaused = false;
      entry.second.m_stepTime = Millis(10);
      if (entry.second.m_isDown && Pick(2) == 0) {
        entry.second.Restart(m_now);
      }
    }
    for (auto& node : m_nodes) {
      node->m_pausedUntil = m_now;
    }
  }

  void SetZone(const ZoneId& aZone, ZoneState aZoneState)
  {
    m_zones[aZone] = aZoneState;
    for (auto& node : m_nodes) {
      Send(*node, PlacementZones{ m_zones });
    }
  }

  void SetWanted(uint32_t aGroups)
  {
    m_fleet.m_models[ModelId("m")].m_wantedGroups = aGroups;
    for (auto& node : m_nodes) {
      Send(*node, PlacementFleet{ m_fleet });
    }
  }

  void SetLeaving(const HostId& aHost)
  {
    m_leaving.insert(aHost);
    HostsListed listed;
    listed.m_list.m_hosts.push_back(ListedHost{ aHost, {}, {}, true });
    for (auto& node : m_nodes) {
      Send(*node, listed);
    }
  }

  // The route that a host is a member of, on the first node.
  const Route* RouteOf(const HostId& aHost) const
  {
    const auto& group = m_servers.at(aHost).m_group;
    for (const Route& route : m_nodes.front()->m_routes) {
      if (route.m_group == group) {
        return &route;
      }
    }
    return nullptr;
  }

  // Groups that a domain could have, and has on a node's routes.
  uint32_t Possible(uint32_t aDomain) const
  {
    uint32_t usable = 0;
    for (const auto& [id, server] : m_servers) {
      const bool isHere =
        m_fleet.m_hosts.at(id).m_domain == DomainName(aDomain);
      usable += isHere && server.Answers() && m_leaving.count(id) == 0 ? 1 : 0;
    }
    return usable / m_size.m_members;
  }

  uint32_t Complete(const DomainId& aDomain) const
  {
    uint32_t count = 0;
    for (const Route& route : m_nodes.front()->m_routes) {
      count += route.m_complete && !route.m_draining &&
                   (aDomain.IsEmpty() || route.m_domain == aDomain)
                 ? 1
                 : 0;
    }
    return count;
  }

  static DomainId DomainName(uint32_t aDomain)
  {
    return DomainId("domain-" + std::to_string(aDomain));
  }
  static ZoneId ZoneName(uint32_t aDomain)
  {
    return ZoneId("zone-" + std::to_string(aDomain % 3));
  }

  uint32_t Pick(uint32_t aBelow) { return m_random() % aBelow; }

  FleetConfig m_fleet;
  std::map<HostId, FakeServer> m_servers;
  std::vector<std::unique_ptr<FakeNode>> m_nodes;
  std::set<HostId> m_leaving;
  bool m_tableDown = false;
  uint32_t m_lossPercent = 0;
  bool m_lateOrders = false;
  Millis m_now;
  // Orders sent, and those among them that end work.
  uint32_t m_orders = 0;
  uint32_t m_releases = 0;
  // What every node says of its requests in flight at a draining group.
  uint32_t m_inFlight = 0;
  bool m_saysInFlight = true;

private:
  void MakeFleet()
  {
    m_fleet.m_weightStoreRate = 100;
    ModelConfig model;
    model.m_id = ModelId("m");
    model.m_members = m_size.m_members;
    model.m_wantedGroups = m_size.m_groups;
    model.m_warmUp = Millis(5'000);
    model.m_requestTimeout = Millis(10'000);
    m_fleet.m_models[model.m_id] = model;
    for (uint32_t domain = 0; domain < m_size.m_domains; ++domain) {
      for (uint32_t host = 0; host < m_size.m_hostsPerDomain; ++host) {
        HostConfig config;
        config.m_id =
          HostId("host-" + std::to_string(domain) + "-" + std::to_string(host));
        config.m_zone = ZoneName(domain);
        config.m_domain = DomainName(domain);
        config.m_checksFencing = host % 2 == 0;
        m_fleet.m_hosts[config.m_id] = config;
        m_servers[config.m_id].m_id = config.m_id;
        m_servers[config.m_id].m_checksFencing = config.m_checksFencing;
      }
    }
  }

  void Start(FakeNode& aNode)
  {
    aNode.m_state = PlacementState();
    aNode.m_state.m_self = aNode.m_id;
    aNode.m_state.m_ids = UniqueIds(aNode.m_id, ++m_incarnation);
    aNode.m_routes.clear();
    aNode.m_backlog.clear();
    std::vector<NodeId> roster;
    for (const auto& node : m_nodes) {
      roster.push_back(node->m_id);
    }
    Send(aNode, PlacementFleet{ m_fleet });
    Send(aNode, PlacementZones{ m_zones });
    Send(aNode, PlacementRoster{ roster });
  }

  FakeServer& AnyServer()
  {
    auto server = m_servers.begin();
    std::advance(server, Pick(m_servers.size()));
    return server->second;
  }

  void Break()
  {
    if (Pick(400) == 0) {
      BreakServer(AnyServer());
    }
    if (Pick(1'500) == 0) {
      const DomainId dark = DomainName(Pick(m_size.m_domains));
      const bool isDark = Pick(2) == 0;
      for (auto& [id, server] : m_servers) {
        if (m_fleet.m_hosts[id].m_domain == dark) {
          server.m_isPaused = isDark;
        }
      }
    }
    if (Pick(800) == 0) {
      FakeNode& node = *m_nodes[Pick(m_nodes.size())];
      node.m_pausedUntil = m_now + Millis(Pick(25'000));
    }
    if (Pick(2'000) == 0) {
      Start(*m_nodes[Pick(m_nodes.size())]);
    }
    if (Pick(1'200) == 0) {
      m_tableDown = !m_tableDown;
    }
    if (Pick(600) == 0) {
      m_lossPercent = Pick(30);
      m_lateOrders = Pick(2) == 0;
    }
    if (Pick(2'500) == 0) {
      const ZoneId zone = ZoneName(Pick(m_size.m_domains));
      SetZone(zone, Pick(3) == 0 ? ZoneState::Out : ZoneState::In);
    }
  }

  void BreakServer(FakeServer& aServer)
  {
    switch (Pick(5)) {
      case 0:
        aServer.m_isDown = true;
        break;
      case 1:
        aServer.Restart(m_now);
        break;
      case 2:
        aServer.m_isPaused = true;
        break;
      case 3:
        aServer.m_isPaused = false;
        break;
      default:
        aServer.m_stepTime = Millis(Pick(2) == 0 ? 10 : 300);
    }
  }

  void After(Millis aDelay, std::function<void()> aWork)
  {
    m_queue.emplace(m_now + aDelay, std::move(aWork));
  }

  void Deliver()
  {
    while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
      const auto work = std::move(m_queue.begin()->second);
      m_queue.erase(m_queue.begin());
      work();
    }
  }

  // Hands an event to a node; a paused node gets it when it goes on.
  void Send(FakeNode& aNode, const PlacementEvent& aEvent)
  {
    if (m_now < aNode.m_pausedUntil || !aNode.m_backlog.empty()) {
      aNode.m_backlog.emplace_back(
        [this, &aNode, aEvent] { Send(aNode, aEvent); });
      return;
    }
    Carry(aNode, ReducePlacement(aNode.m_state, m_now, aEvent));
  }

  void Tick(FakeNode& aNode)
  {
    if (m_now < aNode.m_pausedUntil) {
      return;
    }
    std::vector<std::function<void()>> backlog;
    backlog.swap(aNode.m_backlog);
    for (const auto& work : backlog) {
      work();
    }
    Send(aNode, PlacementTick{});
  }

  void Carry(FakeNode& aNode, PlacementEffects aEffects)
  {
    for (PlacementEffect& effect : aEffects) {
      std::visit(
        Overloaded{
          [&](TableRead& aRead) { Read(aNode, aRead); },
          [&](TableWrite& aWrite) { Write(aNode, aWrite); },
          [&](SendOrder& aOrder) { SendOrderOf(aOrder.m_order); },
          [&](ProbeServer& aProbe) { Probe(aNode, aProbe.m_host); },
          [&](SendNews& aNews) { CarryNews(aNews); },
          [&](RoutesFound& aRoutes) {
            aNode.m_routes = std::move(aRoutes.m_routes);
            for (const Route& route : aNode.m_routes) {
              if (route.m_draining && m_saysInFlight) {
                Send(aNode, InFlightChanged{ route.m_group, m_inFlight });
              }
            }
          },
          [](LogEvent&) {} },
        effect);
    }
  }

  void CarryNews(const SendNews& aNews)
  {
    for (auto& node : m_nodes) {
      if (node->m_id != aNews.m_node || Pick(100) < m_lossPercent / 10) {
        continue;
      }
      FakeNode& receiver = *node;
      After(Millis(50), [this, &receiver, news = aNews.m_news] {
        std::visit([&](const auto& aBody) { Send(receiver, aBody); }, news);
      });
    }
  }

  void SendOrderOf(const ServerOrder& aOrder)
  {
    ++m_orders;
    m_releases += aOrder.m_kind == ServerOrder::Kind::Release ? 1 : 0;
    // A paused sender, or the network, may deliver an order much later.
    const bool isLate = m_lateOrders && Pick(5) == 0;
    const Millis delay(isLate ? Pick(30'000) : 50);
    After(delay, [this, aOrder] {
      FakeServer& server = m_servers[aOrder.m_host];
      if (server.Answers()) {
        server.Obey(m_now, aOrder);
      }
    });
  }

  void Probe(FakeNode& aNode, const HostId& aHost)
  {
    FakeServer& server = m_servers[aHost];
    if (server.m_isPaused) {
      After(Millis(1'000),
            [this, &aNode, aHost] { Send(aNode, ProbeFailed{ aHost }); });
      return;
    }
    if (server.m_isDown) {
      After(Millis(50),
            [this, &aNode, aHost] { Send(aNode, ProbeFailed{ aHost }); });
      return;
    }
    ServerReport report;
    report.m_host = aHost;
    report.m_boot = BootId(aHost.Value() + "#" + std::to_string(server.m_boot));
    report.m_group = server.m_group;
    report.m_generation = server.m_generation;
    report.m_model = server.m_model;
    report.m_phase = server.m_phase;
    report.m_uptime = m_now - server.m_startedAt;
    report.m_stepTime = server.m_stepTime;
    After(Millis(50), [this, &aNode, report] { Send(aNode, report); });
  }

  void Answer(FakeNode& aNode, TableResult aResult, Millis aDelay)
  {
    After(aDelay,
          [this, &aNode, result = std::move(aResult)] { Send(aNode, result); });
  }

  void Read(FakeNode& aNode, const TableRead& aRead)
  {
    const bool isLost = m_tableDown || Pick(100) < m_lossPercent;
    Answer(aNode,
           isLost ? FakeTable::ResultOf(aRead.m_operation, aRead.m_key)
                  : m_table.Read(aRead),
           Millis(50));
  }

  // Applies the write now or late, and answers it or loses the answer.
  void Write(FakeNode& aNode, const TableWrite& aWrite)
  {
    TableResult none = FakeTable::ResultOf(aWrite.m_operation, aWrite.m_key);
    if (m_tableDown) {
      Answer(aNode, std::move(none), Millis(50));
      return;
    }
    if (Pick(100) >= m_lossPercent) {
      Answer(aNode, Apply(aWrite), Millis(50));
      return;
    }
    none.m_status = TableStatus::Unknown;
    After(Millis(Pick(4'000)), [this, aWrite] { Apply(aWrite); });
    Answer(aNode, std::move(none), Millis(1'000));
  }

  TableResult Apply(const TableWrite& aWrite)
  {
    TableResult result = m_table.Write(aWrite);
    const std::string& key = aWrite.m_key.Value();
    if (result.m_status == TableStatus::Ok && key.rfind("domain/", 0) == 0) {
      RememberMembers(key);
    }
    return result;
  }

  void RememberMembers(const std::string& aKey)
  {
    LeasedValue value;
    DomainRow row;
    if (ParseLeasedValue(m_table.Rows().at(aKey).m_value, value) &&
        DomainRowFromJson(value.m_body, row)) {
      m_rows[aKey] = row;
      for (const Group& group : row.m_groups) {
        m_members[FakeServer::Key(group.m_id, group.m_generation)] =
          group.m_members;
      }
    }
  }

  std::string Check() const
  {
    std::set<HostId> seen;
    for (const auto& entry : m_rows) {
      for (const Group& group : entry.second.m_groups) {
        for (const HostId& host : group.m_members) {
          if (!seen.insert(host).second) {
            return host.Value() + " is in two groups";
          }
        }
      }
    }
    for (const auto& node : m_nodes) {
      if (m_now < node->m_pausedUntil) {
        continue;
      }
      for (const Route& route : node->m_routes) {
        const std::string wrong = CheckRoute(route);
        if (!wrong.empty()) {
          return node->m_id.Value() + ": " + wrong;
        }
      }
    }
    return {};
  }

  // A complete group: each member was ready in it within the presence bound.
  std::string CheckRoute(const Route& aRoute) const
  {
    if (!aRoute.m_complete) {
      return {};
    }
    const std::string key =
      FakeServer::Key(aRoute.m_group, aRoute.m_generation);
    const auto members = m_members.find(key);
    if (members == m_members.end()) {
      return key + " is complete but was never written";
    }
    for (const HostId& host : members->second) {
      const auto& readyAt = m_servers.at(host).m_readyAt;
      const auto ready = readyAt.find(key);
      if (ready == readyAt.end() || m_now - ready->second > kPresenceBound) {
        return key + " is complete without " + host.Value();
      }
    }
    return {};
  }

  std::mt19937 m_random;
  Size m_size;
  std::map<ZoneId, ZoneState> m_zones;
  std::multimap<Millis, std::function<void()>> m_queue;
  FakeTable m_table;
  uint64_t m_incarnation = 0;
  std::map<std::string, DomainRow> m_rows;
  std::map<std::string, std::vector<HostId>> m_members;
};

} // namespace

TEST_CASE("groups form, and serve when every member reports them")
{
  World world(1);
  REQUIRE(world.Run(Millis(30'000), false).empty());
  CHECK(world.Complete(DomainId()) == 6);
}

TEST_CASE("a group that is given up drains before it is released")
{
  struct Case
  {
    bool m_saysInFlight;
    uint32_t m_inFlight;
    // Whether the group is gone after 7 s, and after 13 s; the longest request
    // takes 10 s.
    bool m_goneEarly;
    bool m_goneLate;
  };
  const std::vector<Case> cases = {
    { true, 0, true, true },
    { true, 3, false, true },
    { false, 0, false, true },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.m_inFlight);
    World world(1);
    REQUIRE(world.Run(Millis(30'000), false) == "");
    world.m_releases = 0;
    world.m_saysInFlight = entry.m_saysInFlight;
    world.m_inFlight = entry.m_inFlight;
    world.SetWanted(5);
    REQUIRE(world.Run(Millis(7'000), false) == "");
    CHECK(world.Complete(DomainId()) == 5);
    CHECK((world.m_releases > 0) == entry.m_goneEarly);
    REQUIRE(world.Run(Millis(10'000), false) == "");
    CHECK((world.m_releases > 0) == entry.m_goneLate);
  }
}

TEST_CASE("a leaving host gets no new work, and its group a replacement")
{
  World world(2);
  REQUIRE(world.Run(Millis(30'000), false) == "");
  const HostId host("host-1-2");
  const GroupId group = world.RouteOf(host)->m_group;
  world.SetLeaving(host);
  REQUIRE(world.Run(Millis(1'000), false) == "");
  CHECK(world.RouteOf(host)->m_draining);
  REQUIRE(world.Run(Millis(20'000), false) == "");
  CHECK(world.m_servers[host].m_group.IsEmpty());
  CHECK(world.Complete(DomainId()) == 6);
}

TEST_CASE("a leaving host gets no new work with the table down either")
{
  World world(2);
  REQUIRE(world.Run(Millis(30'000), false) == "");
  const HostId host("host-1-2");
  world.m_tableDown = true;
  REQUIRE(world.Run(kLeaseTime, false) == "");
  world.SetLeaving(host);
  REQUIRE(world.Run(Millis(1'000), false) == "");
  CHECK(world.RouteOf(host)->m_draining);
}

TEST_CASE("with the table down groups serve on and nothing is ordered")
{
  World world(3);
  REQUIRE(world.Run(Millis(30'000), false) == "");
  world.m_tableDown = true;
  REQUIRE(world.Run(kLeaseTime, false) == "");
  world.m_orders = 0;
  // A holder would order this one out of a group that doesn't exist.
  world.m_servers[HostId("host-0-8")].m_group = GroupId("stray");
  REQUIRE(world.Run(Millis(10'000), false) == "");
  CHECK(world.m_orders == 0);
  world.m_servers[HostId("host-0-0")].Restart(world.m_now);
  REQUIRE(world.Run(Millis(60'000), false) == "");
  CHECK(world.m_orders == 0);
  CHECK(world.Complete(DomainId()) == 5);
  world.m_tableDown = false;
  REQUIRE(world.Run(Millis(30'000), false) == "");
  CHECK(world.Complete(DomainId()) == 6);
}

TEST_CASE("a spare host holds weights, so that it takes a seat at once")
{
  World world(7);
  REQUIRE(world.Run(Millis(60'000), false) == "");
  const FakeServer& spare = world.m_servers[HostId("host-0-8")];
  CHECK(spare.m_model == ModelId("m"));
  CHECK(world.RouteOf(HostId("host-0-8")) == nullptr);
  world.m_servers[HostId("host-0-1")].m_isDown = true;
  // Less than the two seconds that a load takes, after the loss is noticed.
  REQUIRE(world.Run(Millis(6'000), false) == "");
  CHECK(world.Complete(DomainId()) == 6);
  CHECK(spare.m_group == world.m_servers[HostId("host-0-0")].m_group);
}

TEST_CASE("a slow member is replaced, and a short hiccup is not")
{
  World world(4);
  REQUIRE(world.Run(Millis(30'000), false) == "");
  FakeServer& slow = world.m_servers[HostId("host-2-1")];
  const GroupId group = slow.m_group;
  REQUIRE(!group.IsEmpty());
  slow.m_stepTime = Millis(300);
  REQUIRE(world.Run(Millis(8'000), false) == "");
  slow.m_stepTime = Millis(10);
  REQUIRE(world.Run(Millis(8'000), false) == "");
  CHECK(slow.m_group == group);
  slow.m_stepTime = Millis(300);
  REQUIRE(world.Run(Millis(25'000), false) == "");
  CHECK(slow.m_group.IsEmpty());
  CHECK(world.Complete(DomainId()) == 6);
}

TEST_CASE("others carry the groups of a zone that is out, and hand them back "
          "one by one")
{
  Size size;
  size.m_groups = 4;
  World world(5, size);
  REQUIRE(world.Run(Millis(30'000), false) == "");
  const ZoneId zone = World::ZoneName(0);
  world.SetZone(zone, ZoneState::Out);
  REQUIRE(world.Run(Millis(30'000), false) == "");
  CHECK(world.Complete(World::DomainName(0)) == 0);
  CHECK(world.Complete(DomainId()) == 4);
  world.SetZone(zone, ZoneState::In);
  for (uint32_t second = 0; second < 60; ++second) {
    REQUIRE(world.Run(Millis(1'000), false) == "");
    // Never less than before, never more than one group extra.
    CHECK(world.Complete(DomainId()) >= 4);
    CHECK(world.Complete(DomainId()) <= 5);
  }
  CHECK(world.Complete(World::DomainName(0)) >= 1);
  CHECK(world.Complete(DomainId()) == 4);
}

TEST_CASE("a watcher's death hides no group for longer than news lives")
{
  World world(6);
  REQUIRE(world.Run(Millis(30'000), false) == "");
  // Every other node is paused in turn; the rest take over in time.
  for (size_t paused = 1; paused < world.m_nodes.size(); ++paused) {
    world.m_nodes[paused]->m_pausedUntil = world.m_now + Millis(9'000);
    for (uint32_t step = 0; step < 36; ++step) {
      REQUIRE(world.Run(Millis(250), false) == "");
      CHECK(world.Complete(DomainId()) == 6);
    }
    REQUIRE(world.Run(Millis(5'000), false) == "");
  }
}

TEST_CASE("long histories of faults")
{
  for (uint32_t seed = 1; seed <= 24; ++seed) {
    CAPTURE(seed);
    World world(seed);
    REQUIRE(world.Run(Millis(240'000), true) == "");
    world.Heal();
    for (uint32_t zone = 0; zone < 3; ++zone) {
      world.SetZone(World::ZoneName(zone), ZoneState::In);
    }
    REQUIRE(world.Run(Millis(200'000), false) == "");
    uint32_t possible = 0;
    for (uint32_t domain = 0; domain < 3; ++domain) {
      possible += world.Possible(domain);
    }
    CHECK(world.Complete(DomainId()) == std::min(possible, 6U));
  }
}

} // namespace briarglade
