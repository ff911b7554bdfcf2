// The groups of one fabric domain, as the domain's row in the table holds them.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "briarglade/base/ids.h"

namespace briarglade {

// The life of a group.
enum class GroupState
{
  // Members are chosen; their weights wait for the weight store.
  Assigned,
  // Members are ordered to join and load.
  Loading,
  // Every member is ready; the youngest is still in cold start.
  Warming,
  Serving,
  // Takes no new work; requests in flight go on.
  Draining,
  // Its hosts unload; it leaves the row when they have.
  Released
};

// Why the planner did what it did to a group or a host.
enum class MoveReason
{
  None,
  // A new group, to meet demand.
  Formed,
  // A host took the seat of one that is missing.
  ReplacedMissing,
  // A host took the seat of one that is far slower than its group.
  ReplacedStraggler,
  // A host took the seat of one that the platform takes away.
  ReplacedLeaving,
  // A host came from another incomplete group, which was dissolved.
  Merged,
  // An incomplete group gave its hosts to another one.
  Dissolved,
  // Incomplete, and its missing member is likely to be back sooner than a
  // replacement would be loaded.
  AwaitingReturn,
  // Incomplete, and the domain has too few hosts to complete it.
  TooFewHosts,
  // More groups than the domain should hold.
  Surplus,
  // The operators have taken the availability zone out.
  ZoneOut,
  // A draining group is wanted again.
  Resumed,
  // A member is slow; drained before it is replaced.
  DrainStraggler,
  // A member is leaving; drained before it is replaced.
  DrainLeaving,
  // A member started again and has to load.
  MemberRestarted,
  // No request is in flight any more, or the longest request time has passed.
  Drained,
  // The life of the group went on as planned.
  Progress
};

// Returns the lower-case name that logs and `briarglade explain` show.
const char* MoveReasonName(MoveReason aReason);
const char* GroupStateName(GroupState aState);

// One group. Its members are in order of rank; the first is the leader.
struct Group
{
  GroupId m_id;
  ModelId m_model;
  Generation m_generation;
  std::vector<HostId> m_members;
  GroupState m_state = GroupState::Assigned;
  // Why the group last changed.
  MoveReason m_reason = MoveReason::Formed;
};

// All groups of one fabric domain. No host appears twice.
struct DomainRow
{
  std::vector<Group> m_groups;
  // Numbers the groups that were ever formed here.
  uint64_t m_nextNumber = 1;
  // Hosts that could be in a group now, as the planner last saw.
  uint32_t m_usableHosts = 0;
};

bool operator==(const Group& aA, const Group& aB);
bool operator==(const DomainRow& aA, const DomainRow& aB);

// Returns the row's JSON text.
std::string DomainRowToJson(const DomainRow& aRow);
// Reads a row; returns false, and leaves the row empty, if the text is not one.
bool DomainRowFromJson(const std::string& aText, DomainRow& aRow);

// Tells whether requests may be sent to the group once it is complete.
bool TakesWork(const Group& aGroup);

// Tells whether no host is a member of two groups.
bool HostsAreDistinct(const DomainRow& aRow);

} // namespace briarglade
