// Plans the groups and spares of one domain.

#include "briarglade/grouping/group_plan.h"

#include <algorithm>
#include <optional>

namespace briarglade {

namespace {

// Factor that gives models without any group priority over all others; among
// them, the busiest comes first.
constexpr double kNoGroupPriority = 1e6;
// A model whose work per group exceeds that of another one by this factor takes
// precedence over it for spare hosts.
constexpr double kFarBusierFactor = 2;

// Returns whether the weights of the model are on the host.
bool HoldsWeights(const FreeHost& aHost, const ModelId& aModel)
{
  return std::find(aHost.m_staged.begin(), aHost.m_staged.end(), aModel) !=
         aHost.m_staged.end();
}

// Returns the number of requests per group of a model, for comparison between
// models. Before any requests are known, the configured share of the work is
// used instead. For a model without groups the value is kNoGroupPriority or
// more.
double WorkPerGroup(const GroupPlanInput& aInput, const ReplicaModel& aModel)
{
  const auto demand = aInput.m_demand.find(aModel.m_id);
  const double work = aInput.m_demand.empty()
                        ? aModel.m_share * aModel.m_timeFactor
                      : demand == aInput.m_demand.end() ? 0
                                                        : demand->second;
  const auto groups = aInput.m_groups.find(aModel.m_id);
  const uint32_t count = groups == aInput.m_groups.end() ? 0 : groups->second;
  return count == 0 ? kNoGroupPriority * (1 + work) : work / count;
}

// Returns how soon a host could be ready in a group of the model, as a rank;
// lower is sooner. A host that is prepared for another model comes last.
int Readiness(const FreeHost& aHost, const ModelId& aModel)
{
  if (aHost.m_warmModel == aModel) {
    return 0;
  }
  if (HoldsWeights(aHost, aModel)) {
    return 1;
  }
  return aHost.m_warmModel.IsEmpty() && aHost.m_staged.empty() ? 2 : 3;
}

// Chooses the hosts that are ready soonest for a group of the model. Sorts
// aFree so that they come first.
PlannedGroup ChooseHosts(std::vector<FreeHost>& aFree,
                         const ReplicaModel& aModel)
{
  std::stable_sort(
    aFree.begin(), aFree.end(), [&](const FreeHost& aA, const FreeHost& aB) {
      return Readiness(aA, aModel.m_id) < Readiness(aB, aModel.m_id);
    });
  PlannedGroup group;
  group.m_model = aModel.m_id;
  for (size_t i = 0; i < aModel.m_size; ++i) {
    const FreeHost& host = aFree[i];
    const bool isLoaded =
      host.m_warmModel == aModel.m_id || HoldsWeights(host, aModel.m_id);
    group.m_members.push_back(host.m_host);
    group.m_loads += isLoaded ? 0 : 1;
  }
  return group;
}

// Returns the models by descending work per group.
std::vector<const ReplicaModel*> RankModels(const GroupPlanInput& aInput)
{
  std::vector<const ReplicaModel*> models;
  for (const ReplicaModel& model : aInput.m_engine->m_models) {
    models.push_back(&model);
  }
  std::stable_sort(models.begin(),
                   models.end(),
                   [&](const ReplicaModel* aA, const ReplicaModel* aB) {
                     return WorkPerGroup(aInput, *aA) >
                            WorkPerGroup(aInput, *aB);
                   });
  return models;
}

// Removes the hosts that stand by for a model and, if aExcludesHolders is set,
// those that hold its weights.
void ExcludeSparesOf(std::vector<FreeHost>& aFree,
                     const ModelId& aModel,
                     bool aExcludesHolders)
{
  const auto isExcluded = [&](const FreeHost& aHost) {
    return aHost.m_warmModel == aModel ||
           (aExcludesHolders && HoldsWeights(aHost, aModel));
  };
  aFree.erase(std::remove_if(aFree.begin(), aFree.end(), isExcluded),
              aFree.end());
}

// Returns whether a model's groups have little capacity left.
bool IsNearlyFull(const GroupPlanInput& aInput, const ReplicaModel& aModel)
{
  // Fraction of the slots in use.
  constexpr double kNearlyFull = 0.7;
  return !aInput.m_demand.empty() &&
         WorkPerGroup(aInput, aModel) > kNearlyFull * aInput.m_engine->m_slots;
}

// Returns how many free hosts a domain reserves for repairs before it forms an
// additional group of a model: none for the busiest model before there is
// traffic or while its groups are nearly full; otherwise kSpareHosts or, with
// traffic, the size of the largest model's group if that is more, so that a
// group of any model can be repaired.
size_t ReservedHosts(const GroupPlanInput& aInput,
                     const ReplicaModel& aModel,
                     bool aIsBusiest)
{
  if (aIsBusiest && (aInput.m_demand.empty() || IsNearlyFull(aInput, aModel))) {
    return 0;
  }
  size_t reserved = kSpareHosts;
  if (!aInput.m_demand.empty()) {
    for (const ReplicaModel& model : aInput.m_engine->m_models) {
      reserved = std::max<size_t>(reserved, model.m_size);
    }
  }
  return reserved;
}

// Returns the next group that the domain lacks by demand, with at most
// aMaxLoads weight loads: of the model whose missing part is the largest.
std::optional<PlannedGroup> PlanWantedGroup(const GroupPlanInput& aInput,
                                            uint32_t aMaxLoads)
{
  std::optional<PlannedGroup> best;
  double bestMissing = 0;
  for (const ReplicaModel& model : aInput.m_engine->m_models) {
    const auto wanted = aInput.m_wanted->find(model.m_id);
    const auto has = aInput.m_groupsInDomain.find(model.m_id);
    const uint32_t target =
      wanted == aInput.m_wanted->end() ? 0 : wanted->second;
    const uint32_t count =
      has == aInput.m_groupsInDomain.end() ? 0 : has->second;
    if (count >= target || model.m_size == 0 ||
        aInput.m_free.size() < model.m_size) {
      continue;
    }
    std::vector<FreeHost> free = aInput.m_free;
    PlannedGroup group = ChooseHosts(free, model);
    const size_t spares = model.m_id == aInput.m_scarceModel ? 0 : kSpareHosts;
    if (aInput.m_free.size() < model.m_size + spares) {
      continue;
    }
    const double missing = static_cast<double>(target - count) / target;
    if (group.m_loads <= aMaxLoads && (!best || missing > bestMissing)) {
      best = std::move(group);
      bestMissing = missing;
    }
  }
  return best;
}

// Returns the next group to form with at most aMaxLoads weight loads, or
// nothing if none is due. Prefers groups that need fewer loads: they are ready
// sooner and leave more of the load limit to others.
std::optional<PlannedGroup> PlanNextGroup(const GroupPlanInput& aInput,
                                          uint32_t aMaxLoads)
{
  if (aInput.m_wanted) {
    return PlanWantedGroup(aInput, aMaxLoads);
  }
  const std::vector<const ReplicaModel*> models = RankModels(aInput);
  std::optional<PlannedGroup> best;
  double bestPriority = 0;
  for (const ReplicaModel* model : models) {
    const auto inDomain = aInput.m_groupsInDomain.find(model->m_id);
    const bool hasGroup =
      inDomain != aInput.m_groupsInDomain.end() && inDomain->second > 0;
    std::vector<FreeHost> free = aInput.m_free;
    if (model != models.front()) {
      const bool isFarBusier =
        !aInput.m_demand.empty() &&
        WorkPerGroup(aInput, *models.front()) >
          kFarBusierFactor * WorkPerGroup(aInput, *model);
      ExcludeSparesOf(free, models.front()->m_id, isFarBusier);
    }
    const size_t reserved =
      hasGroup ? ReservedHosts(aInput, *model, model == models.front()) : 0;
    if (model->m_size == 0 || free.size() < model->m_size + reserved) {
      continue;
    }
    PlannedGroup group = ChooseHosts(free, *model);
    const double work = WorkPerGroup(aInput, *model);
    const double priority =
      work >= kNoGroupPriority ? work : work / (1 + group.m_loads);
    if (group.m_loads <= aMaxLoads && (!best || priority > bestPriority)) {
      best = std::move(group);
      bestPriority = priority;
    }
  }
  return best;
}

// Returns the model that the spare at this index should stand by for: always
// the first model if it has far more work per group than the second, otherwise
// each model in turn.
const ReplicaModel* ModelForSpare(
  const GroupPlanInput& aInput,
  const std::vector<const ReplicaModel*>& aModels,
  size_t aIndex)
{
  const bool hasAllSpares =
    aModels.size() == 1 ||
    (!aInput.m_demand.empty() &&
     WorkPerGroup(aInput, *aModels[0]) >
       kFarBusierFactor * WorkPerGroup(aInput, *aModels[1]));
  return hasAllSpares ? aModels.front() : aModels[aIndex % aModels.size()];
}

// Returns how many of the spares up to and including this index should stand by
// for the model.
size_t TargetSpareCount(const GroupPlanInput& aInput,
                        const std::vector<const ReplicaModel*>& aModels,
                        const ReplicaModel& aModel,
                        size_t aIndex)
{
  size_t target = 0;
  for (size_t index = 0; index <= aIndex; ++index) {
    target += ModelForSpare(aInput, aModels, index) == &aModel ? 1 : 0;
  }
  return target;
}

void RemoveHosts(std::vector<FreeHost>& aFree,
                 const std::vector<HostId>& aHosts)
{
  const auto isRemoved = [&](const FreeHost& aHost) {
    return std::find(aHosts.begin(), aHosts.end(), aHost.m_host) !=
           aHosts.end();
  };
  aFree.erase(std::remove_if(aFree.begin(), aFree.end(), isRemoved),
              aFree.end());
}

} // namespace

std::vector<PlannedGroup> PlanGroups(GroupPlanInput aInput)
{
  std::vector<PlannedGroup> planned;
  while (true) {
    // Groups that need no loads come first because they are ready immediately.
    std::optional<PlannedGroup> group = PlanNextGroup(aInput, 0);
    if (!group) {
      group = PlanNextGroup(aInput, aInput.m_loadsAllowed);
    }
    if (!group) {
      return planned;
    }
    aInput.m_loadsAllowed -= group->m_loads;
    ++aInput.m_groups[group->m_model];
    ++aInput.m_groupsInDomain[group->m_model];
    RemoveHosts(aInput.m_free, group->m_members);
    planned.push_back(std::move(*group));
  }
}

std::vector<PlannedSpare> PlanSpares(const GroupPlanInput& aInput)
{
  const std::vector<const ReplicaModel*> models = RankModels(aInput);
  std::vector<FreeHost> free = aInput.m_free;
  std::vector<PlannedSpare> planned;
  for (size_t index = 0; index < kSpareHosts && index < free.size(); ++index) {
    const ReplicaModel& model = *ModelForSpare(aInput, models, index);
    const auto has =
      std::count_if(free.begin(), free.end(), [&](const FreeHost& aHost) {
        return aHost.m_warmModel == model.m_id;
      });
    const size_t target = TargetSpareCount(aInput, models, model, index);
    if (static_cast<size_t>(has) >= target) {
      continue;
    }
    std::stable_sort(
      free.begin(), free.end(), [&](const FreeHost& aA, const FreeHost& aB) {
        return Readiness(aA, model.m_id) < Readiness(aB, model.m_id);
      });
    const auto next =
      std::find_if(free.begin(), free.end(), [&](const FreeHost& aHost) {
        const bool mustKeepWeights = !aHost.m_staged.empty() &&
                                     !HoldsWeights(aHost, model.m_id) &&
                                     !aInput.m_maySwitchSpares;
        return aHost.m_warmModel != model.m_id && !aHost.m_isStandbyPending &&
               !mustKeepWeights;
      });
    if (next == free.end()) {
      continue;
    }
    planned.push_back(PlannedSpare{
      next->m_host, model.m_id, !HoldsWeights(*next, model.m_id) });
    next->m_warmModel = model.m_id;
  }
  return planned;
}

} // namespace briarglade
