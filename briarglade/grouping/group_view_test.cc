// Tests of deriving groups from server reports.

#include "briarglade/grouping/group_view.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

GatewayConfig MakeConfig()
{
  ServiceSpec service;
  service.m_id = ServiceId("models");
  service.m_engine.emplace();
  ReplicaModel model;
  model.m_id = ModelId("big.v2");
  model.m_size = 3;
  service.m_engine->m_models = { model };
  GatewayConfig config;
  config.m_services.emplace(service.m_id, service);
  return config;
}

void AddServer(ServerMap& aServers,
               const char* aName,
               uint64_t aGeneration,
               uint32_t aRank,
               GroupPhase aPhase)
{
  ServerRecord server;
  server.m_host = HostId(aName);
  server.m_service = ServiceId("models");
  GroupMembership place;
  place.m_generation = Generation(aGeneration);
  place.m_group = MakeGroupId(ModelId("big.v2"), place.m_generation);
  place.m_rank = aRank;
  place.m_phase = aPhase;
  server.m_groupMembership = place;
  aServers[server.m_host] = server;
}

TEST_CASE("a group id contains its model, even if the name contains dots")
{
  const GroupId group = MakeGroupId(ModelId("big.v2"), Generation(7));
  CHECK(ModelOf(group) == ModelId("big.v2"));
  CHECK_FALSE(IsStandby(group));
  const GroupId standby = MakeStandbyId(ModelId("big.v2"), Generation(7));
  CHECK(ModelOf(standby) == ModelId("big.v2"));
  CHECK(IsStandby(standby));
}

TEST_CASE("a group serves once every member is ready and the leader is open")
{
  ServerMap servers;
  AddServer(servers, "a", 5, 0, GroupPhase::Open);
  AddServer(servers, "b", 5, 1, GroupPhase::Ready);
  AddServer(servers, "c", 5, 2, GroupPhase::Joining);
  const GroupId id = MakeGroupId(ModelId("big.v2"), Generation(5));
  CHECK_FALSE(IsServing(FindGroups(servers, MakeConfig()).at(id)));
  servers[HostId("c")].m_groupMembership->m_phase = GroupPhase::Ready;
  const GroupMap groups = FindGroups(servers, MakeConfig());
  CHECK(IsServing(groups.at(id)));
  CHECK(groups.at(id).Leader() == HostId("a"));
  servers.erase(HostId("b"));
  CHECK_FALSE(IsServing(FindGroups(servers, MakeConfig()).at(id)));
}

TEST_CASE("a draining member marks its group, and standby hosts form no group")
{
  ServerMap servers;
  AddServer(servers, "a", 5, 0, GroupPhase::Open);
  servers[HostId("a")].m_isDraining = true;
  AddServer(servers, "s", 6, 0, GroupPhase::Ready);
  servers[HostId("s")].m_groupMembership->m_group =
    MakeStandbyId(ModelId("big.v2"), Generation(6));
  const GroupMap groups = FindGroups(servers, MakeConfig());
  REQUIRE(groups.size() == 1);
  CHECK(groups.begin()->second.m_isLeaving);
}

} // namespace
} // namespace briarglade
