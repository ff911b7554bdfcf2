// Chooses the domain and the groups that end for a model below its demand.

#include "briarglade/grouping/shortage_plan.h"

#include <algorithm>
#include <functional>

namespace briarglade {

namespace {

// A model with less than this part of its demand is short of groups. The
// measured demand varies, so that the last tenth is no reason to end a group.
constexpr double kShortageRatio = 0.9;

uint32_t CountOf(const GroupCounts& aCounts, const ModelId& aModel)
{
  const auto found = aCounts.find(aModel);
  return found == aCounts.end() ? 0 : found->second;
}

// Returns how many groups of a model may end for the scarce one.
uint32_t SurplusOf(const ShortageInput& aInput, const ModelId& aModel)
{
  const uint32_t groups = CountOf(aInput.m_groups, aModel);
  const auto demand = aInput.m_demand.find(aModel);
  const double needed = demand == aInput.m_demand.end() ? 0 : demand->second;
  // Without any group, the scarce model gets one even if the other one then has
  // less than its demand.
  const bool hasNone = CountOf(aInput.m_groups, aInput.m_to) == 0;
  uint32_t surplus = 0;
  while (surplus + 1 < groups && (hasNone || groups - surplus - 1 >= needed)) {
    ++surplus;
  }
  return surplus;
}

// Returns how many of the groups must end to provide aLack holders, those with
// the most first, or nothing if all of them provide fewer.
std::optional<uint32_t> GroupsNeeded(std::vector<uint32_t> aHolders,
                                     uint32_t aLack)
{
  std::sort(aHolders.begin(), aHolders.end(), std::greater<>());
  uint32_t groups = 0;
  uint32_t provided = 0;
  for (const uint32_t holders : aHolders) {
    if (provided >= aLack) {
      break;
    }
    provided += holders;
    ++groups;
  }
  return provided >= aLack ? std::optional<uint32_t>(groups) : std::nullopt;
}

} // namespace

ModelId ScarcestModel(const std::map<ModelId, double>& aDemand,
                      const GroupCounts& aGroups)
{
  ModelId scarcest;
  double smallest = kShortageRatio;
  for (const auto& [model, demand] : aDemand) {
    const uint32_t groups = CountOf(aGroups, model);
    const bool isShort = demand > 0 && groups < smallest * demand;
    if (isShort) {
      scarcest = model;
      smallest = groups / demand;
    }
  }
  return scarcest;
}

std::optional<ShortageRepair> PlanShortageRepair(const ShortageInput& aInput)
{
  const ReplicaModel* to = aInput.m_engine->FindModel(aInput.m_to);
  if (to == nullptr || to->m_size == 0) {
    return std::nullopt;
  }
  std::optional<ShortageRepair> best;
  uint32_t fewest = 0;
  for (const auto& [id, domain] : aInput.m_domains) {
    if (domain.m_freeWithWeights >= to->m_size) {
      return ShortageRepair{ id, ModelId(), 0 };
    }
    const uint32_t lack = to->m_size - domain.m_freeWithWeights;
    for (const auto& [from, holders] : domain.m_membersWithWeights) {
      const ReplicaModel* model = aInput.m_engine->FindModel(from);
      const std::optional<uint32_t> groups = GroupsNeeded(holders, lack);
      if (model == nullptr || !groups || *groups > SurplusOf(aInput, from)) {
        continue;
      }
      const uint32_t hosts = *groups * model->m_size;
      if (!best || hosts < fewest) {
        best = ShortageRepair{ id, from, *groups };
        fewest = hosts;
      }
    }
  }
  return best;
}

} // namespace briarglade
