// Derives the existing groups from the reports of the backend servers. It keeps
// no state, so a node that has just started sees the same groups as the node
// that formed them.
//
// Example:
//   GroupMap groups = FindGroups(servers, config);
//   for (const auto& [id, group] : groups) {
//     if (IsServing(group)) { Route(group.Leader()); }
//   }

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/gateway/gateway_config.h"
#include "briarglade/grouping/server_record.h"

namespace briarglade {

using ServerMap = std::map<HostId, ServerRecord>;

struct ReplicaGroup
{
  GroupId m_id;
  Generation m_generation;
  ServiceId m_service;
  ModelId m_model;
  DomainId m_domain;
  // The members by rank, one entry for each host that a group of the model has.
  // An entry is empty if no server reports that rank.
  std::vector<HostId> m_members;
  // When the process of each member started, by rank: a server that restarts
  // under its id is no longer in the group.
  std::vector<int64_t> m_starts;
  // The phase that the leader reports; Broken if there is no leader.
  GroupPhase m_leaderPhase = GroupPhase::Broken;
  // Every member is known and has reported Ready, Open or Closing.
  bool m_isComplete = false;
  // At least one member is draining.
  bool m_isLeaving = false;

  const HostId& Leader() const { return m_members.front(); }
};

using GroupMap = std::map<GroupId, ReplicaGroup>;

// Returns when the processes of the servers started, in the same order; zero
// for a server that is not known.
std::vector<int64_t> StartsOf(const std::vector<HostId>& aMembers,
                              const ServerMap& aServers);

// Returns the members' ids in the order of their ranks, separated by commas,
// for logs.
std::string JoinIds(const std::vector<HostId>& aMembers);
// Returns the id of a group. It contains the model name and the generation.
GroupId MakeGroupId(const ModelId& aModel, Generation aGeneration);
// Returns the id of a standby group. It consists of one spare host, which joins
// it to prepare for the model; the group is never opened.
GroupId MakeStandbyId(const ModelId& aModel, Generation aGeneration);
// Returns the model that a group id contains, or an empty id if it contains
// none.
ModelId ModelOf(const GroupId& aGroup);
// Returns whether the id is that of a standby group.
bool IsStandby(const GroupId& aGroup);

// Derives the groups of every service that runs model engines. Ignores members
// of standby groups and of groups whose model is not in the configuration.
GroupMap FindGroups(const ServerMap& aServers, const GatewayConfig& aConfig);

// Returns whether the group may receive requests: it is complete and its leader
// is open.
bool IsServing(const ReplicaGroup& aGroup);

} // namespace briarglade
