// Tests of what a node concludes about the members of groups when entries
// expire, servers restart and addresses are used again.

#include <doctest/doctest.h>
#include <optional>
#include <string>

#include "briarglade/entry/fleet_world_test.h"

namespace briarglade {
namespace {

// One node before model servers whose entries and reports the test states.
class MemberWorld : public FleetWorld
{
public:
  MemberWorld()
    : FleetWorld(OneNode())
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
    record.m_startedAt = 1;
    record.m_groupMembership = std::move(aPlace);
    return record;
  }

  // Lets the node get a server's answer to a probe that it has just sent.
  void Report(const ServerRecord& aRecord)
  {
    SendEvent(0, kStep, ServerProbed{ aRecord.m_host, aRecord, Now() });
    Run(kStep * 5);
  }

  const EntryState& Node() const { return StateOf(0); }
  bool IsKnown(const std::string& aHost) const
  {
    return Node().m_servers.count(HostId(aHost)) > 0;
  }

private:
  static FleetOptions OneNode()
  {
    FleetOptions options;
    options.m_nodes = 1;
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
  world.Run(Millis(100));
  world.RemoveServer("b");
  world.Run(Millis(100));
  // It stays a member of its group.
  REQUIRE(world.IsKnown("b"));
  world.Report(world.Record("b", world.Place("single.2", 0, GroupPhase::Open)));
  CHECK_FALSE(world.IsKnown("b"));
  CHECK(world.Node().m_groups.count(GroupId("single.2")) == 0);
  REQUIRE(world.Node().m_groups.count(GroupId("pair.1")) == 1);
  CHECK_FALSE(IsServing(world.Node().m_groups.at(GroupId("pair.1"))));
}

} // namespace
} // namespace briarglade
