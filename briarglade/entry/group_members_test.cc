// Tests of what a node concludes about the members of groups when entries
// expire, servers restart and addresses are used again.

#include <doctest/doctest.h>
#include <optional>
#include <string>

#include "briarglade/entry/fleet_world_test.h"

namespace briarglade {
namespace {

// One node, unless stated otherwise, before model servers whose entries and
// reports the test states.
class MemberWorld : public FleetWorld
{
public:
  explicit MemberWorld(uint32_t aNodes = 1)
    : FleetWorld(WithNodes(aNodes))
  {
    ServiceSpec service;
    service.m_id = ServiceId("models");
    service.m_engine = MakeEngine();
    Config().m_services.emplace(service.m_id, service);
    Configure(2);
    SetServerHooks([](size_t, const GroupOrder&) {},
                   [](size_t, const ProbeServerNow&) {},
                   [] {});
    Run(Millis(2'000));
  }

  static GroupMembership Place(const std::string& aGroup,
                               uint32_t aRank,
                               GroupPhase aPhase)
  {
    const uint64_t generation =
      std::stoull(aGroup.substr(aGroup.find('.') + 1));
    GroupMembership place{ GroupId(aGroup), Generation(generation), aRank };
    place.m_phase = aPhase;
    return place;
  }

  static ServerRecord Record(const std::string& aHost,
                             std::optional<GroupMembership> aPlace)
  {
    ServerRecord record;
    record.m_host = HostId(aHost);
    record.m_service = ServiceId("models");
    record.m_domain = DomainId("d0");
    record.m_zone = ZoneId(ZoneName(0));
    record.m_startedAt = kStart;
    record.m_groupMembership = std::move(aPlace);
    return record;
  }

  // Lets the node get the answer to a probe that it has just sent to a server.
  // The report's address is the one that was asked.
  void Report(const std::string& aHost, ServerRecord aReport)
  {
    const ServerRecord& known = Node().m_servers.at(HostId(aHost));
    aReport.m_host = known.m_host;
    aReport.m_endpoint = known.m_endpoint;
    SendEvent(
      0, kStep, ServerProbed{ known.m_host, known.Process(), aReport, Now() });
    Run(kStep * 5);
  }

  // Lets the node get the report of a process that started at aStart at the
  // address of a server that it has just probed.
  void ReportOf(const std::string& aHost,
                int64_t aStart,
                std::optional<GroupMembership> aPlace)
  {
    ServerRecord report = Record(aHost, std::move(aPlace));
    report.m_startedAt = aStart;
    Report(aHost, report);
  }

  // Writes the entry of a server that started at aStart at an address that ends
  // with aAddress.
  void AddAt(const std::string& aHost,
             uint16_t aAddress,
             int64_t aStart,
             std::optional<GroupMembership> aPlace)
  {
    ServerRecord record = Record(aHost, std::move(aPlace));
    record.m_endpoint = Endpoint{ "10.1.0.1", aAddress };
    record.m_startedAt = aStart;
    AddServer(record);
    Run(Millis(600));
  }

  // A group of two servers that serves, at the addresses 1 and 2.
  void AddPair()
  {
    AddAt("a", 1, kStart, Place("pair.1", 0, GroupPhase::Open));
    AddAt("b", 2, kStart, Place("pair.1", 1, GroupPhase::Ready));
  }

  bool Serves(const std::string& aGroup) const
  {
    const auto group = Node().m_groups.find(GroupId(aGroup));
    return group != Node().m_groups.end() && IsServing(group->second);
  }
  std::string LeaderOf(const std::string& aGroup) const
  {
    const auto group = Node().m_groups.find(GroupId(aGroup));
    return group == Node().m_groups.end() ? "" : group->second.Leader().Value();
  }
  bool HasEnded(const std::string& aHost) const
  {
    return Node().m_servers.at(HostId(aHost)).m_endedAt.has_value();
  }

  static constexpr int64_t kStart = 1'000;
  static constexpr int64_t kLater = 2'000;

  const EntryState& Node() const { return StateOf(0); }
  bool IsKnown(const std::string& aHost) const
  {
    return Node().m_servers.count(HostId(aHost)) > 0;
  }

private:
  static FleetOptions WithNodes(uint32_t aNodes)
  {
    FleetOptions options;
    options.m_nodes = aNodes;
    return options;
  }

  // A model of two servers and one that needs a single server.
  static EngineSpec MakeEngine()
  {
    EngineSpec engine;
    engine.m_slots = 4;
    engine.m_formationTime = Millis(100);
    for (const uint32_t size : { 2U, 1U }) {
      ReplicaModel model;
      model.m_id = ModelId(size == 2 ? "pair" : "single");
      model.m_size = size;
      model.m_loadTime = Millis(2'000);
      engine.m_models.push_back(model);
    }
    return engine;
  }
};

// LOST: the lease holder ended by itself when a server whose entry had expired
// led a group.
TEST_CASE("LOST: a node goes on when a server without an entry says that it "
          "leads an open group")
{
  MemberWorld world;
  world.AddServer(
    world.Record("a", world.Place("pair.1", 0, GroupPhase::Open)));
  world.AddServer(
    world.Record("b", world.Place("pair.1", 1, GroupPhase::Ready)));
  world.Run(Millis(600));
  world.RemoveServer("b");
  world.Run(Millis(600));
  // It stays a member of its group.
  REQUIRE(world.IsKnown("b"));
  world.Report("b",
               world.Record("b", world.Place("single.2", 0, GroupPhase::Open)));
  CHECK_FALSE(world.IsKnown("b"));
  CHECK(world.Node().m_groups.count(GroupId("single.2")) == 0);
  REQUIRE(world.Node().m_groups.count(GroupId("pair.1")) == 1);
  CHECK_FALSE(IsServing(world.Node().m_groups.at(GroupId("pair.1"))));
}

// TWO: a group was ended and its members ordered elsewhere because the old id
// of its leader's address, which sorts later, counted as its leader.
TEST_CASE("TWO: a report from the address of an old id is not the old id's, "
          "whatever the ids and the group")
{
  for (const std::string old : { "a-old", "z-old" }) {
    for (const uint32_t rank : { 0U, 1U }) {
      CAPTURE(old);
      CAPTURE(rank);
      MemberWorld world;
      world.AddAt(old, 1, world.kStart, std::nullopt);
      const GroupMembership led = world.Place("pair.5", 0, GroupPhase::Open);
      const GroupMembership followed =
        world.Place("pair.5", 1, GroupPhase::Ready);
      // The new process's entry is not read yet, or never.
      world.ReportOf(old, world.kLater, rank == 0 ? led : followed);
      CHECK(world.HasEnded(old));
      CHECK(world.Node().m_groups.empty());
      world.AddAt("m-new", 1, world.kLater, rank == 0 ? led : followed);
      world.AddAt("other", 2, world.kStart, rank == 0 ? followed : led);
      CHECK(world.Serves("pair.5"));
      CHECK(world.LeaderOf("pair.5") == (rank == 0 ? "m-new" : "other"));
      // The old entry expires.
      world.RemoveServer(old);
      world.Run(Millis(600));
      CHECK_FALSE(world.IsKnown(old));
      CHECK(world.Serves("pair.5"));
    }
  }
}

// LOST: requests went to a group whose leader's process had ended, for as long
// as its entry was listed.
TEST_CASE("a group loses a member when another server's entry names its "
          "address, though its own is still listed")
{
  MemberWorld world;
  world.AddPair();
  REQUIRE(world.Serves("pair.1"));
  world.AddAt("new", 2, world.kLater, std::nullopt);
  CHECK(world.HasEnded("b"));
  CHECK_FALSE(world.Serves("pair.1"));
  // A heartbeat that was under way when its process ended.
  world.AddAt(
    "b", 2, world.kStart, world.Place("pair.1", 1, GroupPhase::Ready));
  CHECK(world.HasEnded("b"));
  CHECK_FALSE(world.Serves("pair.1"));
}

TEST_CASE("a server that restarts under its id is used again by its entry")
{
  MemberWorld world;
  world.AddPair();
  world.ReportOf("b", world.kLater, std::nullopt);
  CHECK(world.HasEnded("b"));
  CHECK_FALSE(world.Serves("pair.1"));
  world.AddAt("b", 2, world.kLater, std::nullopt);
  CHECK_FALSE(world.HasEnded("b"));
  world.ReportOf(
    "b", world.kLater, world.Place("pair.1", 1, GroupPhase::Ready));
  CHECK(world.Serves("pair.1"));
}

TEST_CASE("the answer to a probe of an earlier process shows nothing of the "
          "present one")
{
  MemberWorld world;
  world.AddPair();
  const ServerRecord before = world.Node().m_servers.at(HostId("b"));
  const GroupMembership place = world.Place("pair.1", 1, GroupPhase::Ready);
  world.AddAt("b", 2, world.kLater, place);
  REQUIRE(world.Serves("pair.1"));
  world.Dispatch(0, ServerProbed{ HostId("b"), before.Process(), before, {} });
  world.Dispatch(0,
                 ServerProbed{ HostId("b"),
                               before.Process(),
                               Error{ ResultCode::BackendFailed, "refused" },
                               {} });
  world.Run(Millis(600));
  CHECK_FALSE(world.HasEnded("b"));
  CHECK(world.Serves("pair.1"));
}

// LOST: requests went to a group of which a member had restarted under its id,
// while the lease holder, which did not know yet, announced it as open.
TEST_CASE("a group that was opened with an earlier process of a member is not "
          "used")
{
  MemberWorld world;
  world.AddAt("a", 1, world.kStart, std::nullopt);
  world.AddAt("b", 2, world.kLater, std::nullopt);
  Bulletin bulletin;
  bulletin.m_origin = NodeId("holder");
  bulletin.m_openedGroups = { OpenedGroup{ GroupId("pair.1"),
                                           Generation(1),
                                           { HostId("a"), HostId("b") },
                                           { world.kStart, world.kStart } } };
  NodeNews news;
  news.m_node = NodeId("holder");
  news.m_completeUpTo.resize(kFeedCount);
  for (const int64_t start : { world.kStart, world.kLater }) {
    ++bulletin.m_number;
    bulletin.m_openedGroups[0].m_starts[1] = start;
    news.m_bulletins = { bulletin };
    world.Dispatch(0, PeerUpdateReceived{ news });
    world.Run(Millis(100));
    CHECK(world.Serves("pair.1") == (start == world.kLater));
  }
}

TEST_CASE("of two servers at one address the earlier has ended also if their "
          "service is configured later")
{
  MemberWorld world;
  for (const int64_t start : { world.kStart, world.kLater }) {
    ServerRecord record =
      world.Record(start == world.kStart ? "z-old" : "a-new", std::nullopt);
    record.m_service = ServiceId("added");
    record.m_endpoint = Endpoint{ "10.1.0.1", 1 };
    record.m_startedAt = start;
    world.AddServer(record);
  }
  world.Run(Millis(600));
  ServiceSpec added;
  added.m_id = ServiceId("added");
  world.Config().m_services.emplace(added.m_id, added);
  world.Configure(3);
  world.Run(Millis(600));
  CHECK(world.HasEnded("z-old"));
  CHECK_FALSE(world.HasEnded("a-new"));
}

TEST_CASE("a report that was requested before its process was seen to have "
          "ended shows no member that runs")
{
  MemberWorld world;
  world.AddPair();
  const ServerRecord member = world.Node().m_servers.at(HostId("b"));
  const Millis asked = world.Now();
  world.AddAt("x", 2, world.kLater, std::nullopt);
  REQUIRE(world.HasEnded("b"));
  world.Dispatch(0,
                 ServerProbed{ HostId("b"), member.Process(), member, asked });
  world.Run(Millis(100));
  CHECK(world.HasEnded("b"));
  CHECK_FALSE(world.Serves("pair.1"));
}

// A server whose entry went while it answered a probe counted as dead for 15 s
// after its entry was back, and its group was ended.
TEST_CASE("a server that answers a probe while its entry goes is not dead when "
          "the entry is back")
{
  MemberWorld world;
  world.AddPair();
  REQUIRE(world.Serves("pair.1"));
  const ServerRecord member = world.Node().m_servers.at(HostId("b"));
  // Without an entry it is probed; its group ends with that of the leader.
  world.RemoveServer("b");
  world.Run(Millis(600));
  world.RemoveServer("a");
  for (int step = 0; step < 100 && world.IsKnown("b"); ++step) {
    world.Run(world.kStep);
  }
  REQUIRE_FALSE(world.IsKnown("b"));
  world.Dispatch(
    0, ServerProbed{ HostId("b"), member.Process(), member, world.Now() });
  world.AddPair();
  CHECK(world.Serves("pair.1"));
  CHECK(world.Node().m_endedGroups.empty());
}

TEST_CASE("an entry of no configured service ends no server at its address")
{
  MemberWorld world;
  world.AddPair();
  ServerRecord foreign = world.Record("x", std::nullopt);
  foreign.m_service = ServiceId("unknown");
  foreign.m_endpoint = Endpoint{ "10.1.0.1", 2 };
  foreign.m_startedAt = world.kLater;
  world.AddServer(foreign);
  world.Run(Millis(600));
  CHECK_FALSE(world.HasEnded("b"));
  CHECK(world.Serves("pair.1"));
}

TEST_CASE("a server's own later report shows that it runs, whatever another "
          "entry says")
{
  MemberWorld world;
  world.AddPair();
  world.AddAt("x", 2, world.kLater, std::nullopt);
  REQUIRE(world.HasEnded("b"));
  world.ReportOf(
    "b", world.kStart, world.Place("pair.1", 1, GroupPhase::Ready));
  CHECK_FALSE(world.HasEnded("b"));
  CHECK(world.Serves("pair.1"));
  // The other entry's next heartbeat does not bring that back.
  world.AddAt("x", 2, world.kLater, std::nullopt);
  CHECK(world.HasEnded("x"));
  CHECK(world.Serves("pair.1"));
}

// Guards against an announcement that a link had held back outdating what a
// server has said since: it is entered as of when it was sent.
TEST_CASE("an announcement of an open group that comes late is as old as it is")
{
  for (const int64_t age : { 0, 5'000 }) {
    CAPTURE(age);
    MemberWorld world(2);
    world.AddAt("a", 1, world.kStart, std::nullopt);
    world.AddAt("b", 2, world.kStart, std::nullopt);
    Bulletin bulletin;
    bulletin.m_origin = NodeId("holder");
    bulletin.m_age = ToldAge(Millis(age));
    bulletin.m_openedGroups = { OpenedGroup{
      GroupId("pair.1"), Generation(1), { HostId("a"), HostId("b") }, {} } };
    PeerUpdateReceived received;
    // It tells no time of its own, so that it counts as sent now.
    received.m_update.m_node = world.StateOf(1).m_settings.m_node;
    received.m_update.m_completeUpTo.resize(kFeedCount);
    received.m_update.m_bulletins = { bulletin };
    const Millis sentAt = world.Now() - Millis(age);
    world.Dispatch(0, received);
    world.Run(Millis(100));
    CHECK(world.Serves("pair.1"));
    const ServerRecord& member = world.Node().m_servers.at(HostId("b"));
    CHECK(member.m_membershipHistory.Source() == UpdateSource::Announcement);
    CHECK(member.m_membershipHistory.AsOf() == sentAt);
  }
}

} // namespace
} // namespace briarglade
