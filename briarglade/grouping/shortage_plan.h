// Plans which groups end for a model that has lost groups and has less capacity
// than demand.
//
// The load pattern: servers are lost steadily or a zone at a time. A group of
// many hosts is lost more often than one of few, and its remaining hosts lack a
// host or two that hold the weights. A load takes long, and further members are
// lost meanwhile. Groups of a model that has more capacity than demand may have
// hosts that hold the weights already. Ending such a group is quicker than a
// load.
//
// Example:
//   input.m_to = ScarcestModel(input.m_demand, input.m_groups);
//   if (std::optional<ShortageRepair> repair = PlanShortageRepair(input)) {
//     End(*repair);
//   }

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/grouping/capacity_plan.h"

namespace briarglade {

struct ShortageDomain
{
  // Free hosts that hold the weights of the model.
  uint32_t m_freeWithWeights = 0;
  // For each other model, one entry for each of its healthy groups: how many
  // members hold the weights of the model in need.
  std::map<ModelId, std::vector<uint32_t>> m_membersWithWeights;
};

struct ShortageInput
{
  const EngineSpec* m_engine = nullptr;
  std::map<ModelId, double> m_demand;
  // The groups that serve or will without a load.
  GroupCounts m_groups;
  // The model that needs a group.
  ModelId m_to;
  std::map<DomainId, ShortageDomain> m_domains;
};

// This number of groups of m_from end, those with the most holders first. Zero
// if the domain's free hosts suffice.
struct ShortageRepair
{
  DomainId m_domain;
  ModelId m_from;
  uint32_t m_groups = 0;
};

// Returns the model with the smallest ratio of groups to demand if that is well
// below 1, or an empty id.
ModelId ScarcestModel(const std::map<ModelId, double>& aDemand,
                      const GroupCounts& aGroups);

// Returns how a group of the model can be formed without a load, with the
// fewest hosts taken from other groups. The model that gives groups up keeps as
// much as its demand, or, if the scarce one has no group at all, a higher ratio
// than that and at least one group.
std::optional<ShortageRepair> PlanShortageRepair(const ShortageInput& aInput);

} // namespace briarglade
