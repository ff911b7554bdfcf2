// Decides which hosts of one fabric domain form which groups.
//
// The goals, in order: the most complete groups for the demand, by priority of
// the model; the fewest moves of hosts; the fewest loads of weights. A complete
// group is never broken for another one. A group that still serves is drained
// before its members change.
//
// The rule for a missing member: waiting pays as long as, in each second, the
// chance that it comes back times the seconds of loading that its return saves
// is at least one. Then the group is formed again, with a free host or with
// hosts of another incomplete group.
//
// Example:
//   DomainPlan plan = PlanDomain(input);
//   for (const Move& move : plan.m_moves) { log.push_back(Describe(move)); }

#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/placement/group.h"

namespace briarglade {

enum class HostCondition
{
  // Present, and free to be in a group.
  Usable,
  // No fresh report.
  Missing,
  // Far slower than its group.
  Straggler,
  // The platform will take it away, or it is not in the configuration.
  Leaving
};

struct PlannerHost
{
  HostId m_id;
  HostCondition m_condition = HostCondition::Usable;
  // How long it has been missing.
  Millis m_missingFor;
  // The model whose weights it holds; empty if none.
  ModelId m_holds;
};

// What the domain should hold of one model.
struct ModelDemand
{
  ModelId m_model;
  // Hosts in one group; at least 1.
  uint32_t m_members = 1;
  uint32_t m_groups = 0;
  int32_t m_priority = 0;
  uint32_t m_weightGigabytes = 1;
};

// What is expected of a host that has gone missing.
struct ReturnOdds
{
  // The share of hosts that come back by themselves.
  double m_returnShare = 0.94;
  // The mean time after which those come back.
  Millis m_meanReturn = Millis(60'000);
  // The share of those that still hold their weights.
  double m_keepsWeights = 0.25;
};

struct DomainPlanInput
{
  // In ascending order of id.
  std::vector<PlannerHost> m_hosts;
  std::vector<ModelDemand> m_demand;
  // The zone is out: groups are drained and kept as they are.
  bool m_isZoneOut = false;
  // Gigabytes a second that one load may count on.
  double m_loadRate = 1;
  ReturnOdds m_odds;
  DomainRow m_present;
  // Draining groups that no request is in flight at any more.
  std::set<GroupId> m_drained;
  // The id of a new group is this text and a number.
  DomainId m_domain;
};

// One change to a group or a host, or the reason why an incomplete group stays
// as it is.
struct Move
{
  GroupId m_group;
  Generation m_generation;
  ModelId m_model;
  // Empty when the whole group is meant.
  HostId m_host;
  MoveReason m_reason = MoveReason::None;
};

struct DomainPlan
{
  DomainRow m_next;
  std::vector<Move> m_moves;
  // Usable hosts in groups that are incomplete.
  uint32_t m_stranded = 0;
  // Hosts that have to load weights.
  uint32_t m_loads = 0;
};

// Plans the domain. Pure: equal inputs give equal plans.
DomainPlan PlanDomain(const DomainPlanInput& aInput);

// Tells whether it pays to wait for a host that has been missing for a time,
// when its return would save so much loading.
bool ShouldAwaitReturn(const ReturnOdds& aOdds,
                       Millis aMissingFor,
                       Millis aSaved);

} // namespace briarglade
