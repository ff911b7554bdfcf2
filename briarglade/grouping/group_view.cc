// Derives groups from server records.

#include "briarglade/grouping/group_view.h"

#include <algorithm>
#include <string>

namespace briarglade {

namespace {

constexpr char kSeparator = '.';
constexpr char kStandbySeparator[] = ".standby.";

// Adds a server to its group. The highest reported generation of a group id
// replaces all lower ones.
void AddMember(GroupMap& aGroups,
               const ServerRecord& aServer,
               const ReplicaModel& aModel)
{
  const GroupMembership& membership = *aServer.m_groupMembership;
  const auto [entry, isNew] = aGroups.try_emplace(membership.m_group);
  ReplicaGroup& group = entry->second;
  if (isNew || membership.m_generation > group.m_generation) {
    group = ReplicaGroup();
    group.m_id = membership.m_group;
    group.m_generation = membership.m_generation;
    group.m_service = aServer.m_service;
    group.m_model = aModel.m_id;
    group.m_domain = aServer.m_domain;
    group.m_members.resize(std::max(1U, aModel.m_size));
    group.m_starts.resize(group.m_members.size());
  }
  const bool isOld = membership.m_generation < group.m_generation;
  if (isOld || membership.m_rank >= group.m_members.size()) {
    return;
  }
  group.m_members[membership.m_rank] = aServer.m_host;
  group.m_starts[membership.m_rank] = aServer.m_startedAt;
  group.m_isLeaving = group.m_isLeaving || aServer.m_isDraining;
  if (membership.m_rank == 0) {
    group.m_leaderPhase = membership.m_phase;
  }
}

bool IsComplete(const ReplicaGroup& aGroup, const ServerMap& aServers)
{
  return std::all_of(
    aGroup.m_members.begin(),
    aGroup.m_members.end(),
    [&](const HostId& aMember) {
      const auto server = aServers.find(aMember);
      return server != aServers.end() && server->second.m_groupMembership &&
             server->second.m_groupMembership->m_phase != GroupPhase::Joining &&
             server->second.m_groupMembership->m_phase != GroupPhase::Broken;
    });
}

} // namespace

std::vector<int64_t> StartsOf(const std::vector<HostId>& aMembers,
                              const ServerMap& aServers)
{
  std::vector<int64_t> starts;
  for (const HostId& member : aMembers) {
    const auto server = aServers.find(member);
    starts.push_back(server == aServers.end() ? 0 : server->second.m_startedAt);
  }
  return starts;
}

std::string JoinIds(const std::vector<HostId>& aMembers)
{
  std::string text;
  for (const HostId& member : aMembers) {
    text += (text.empty() ? "" : ",") + member.Value();
  }
  return text;
}

GroupId MakeGroupId(const ModelId& aModel, Generation aGeneration)
{
  return GroupId(aModel.Value() + kSeparator +
                 std::to_string(aGeneration.Value()));
}

GroupId MakeStandbyId(const ModelId& aModel, Generation aGeneration)
{
  return GroupId(aModel.Value() + kStandbySeparator +
                 std::to_string(aGeneration.Value()));
}

bool IsStandby(const GroupId& aGroup)
{
  return aGroup.Value().find(kStandbySeparator) != std::string::npos;
}

ModelId ModelOf(const GroupId& aGroup)
{
  const size_t standby = aGroup.Value().find(kStandbySeparator);
  const size_t separator =
    standby != std::string::npos ? standby : aGroup.Value().rfind(kSeparator);
  return separator == std::string::npos
           ? ModelId()
           : ModelId(aGroup.Value().substr(0, separator));
}

GroupMap FindGroups(const ServerMap& aServers, const GatewayConfig& aConfig)
{
  GroupMap groups;
  for (const auto& [host, server] : aServers) {
    const auto service = aConfig.m_services.find(server.m_service);
    if (!server.m_groupMembership ||
        IsStandby(server.m_groupMembership->m_group) ||
        service == aConfig.m_services.end() || !service->second.m_engine) {
      continue;
    }
    const ReplicaModel* model = service->second.m_engine->FindModel(
      ModelOf(server.m_groupMembership->m_group));
    if (model != nullptr) {
      AddMember(groups, server, *model);
    }
  }
  for (auto& [id, group] : groups) {
    group.m_isComplete = IsComplete(group, aServers);
  }
  return groups;
}

bool IsServing(const ReplicaGroup& aGroup)
{
  return aGroup.m_isComplete && aGroup.m_leaderPhase == GroupPhase::Open;
}

} // namespace briarglade
