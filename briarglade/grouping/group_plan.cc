// Planning one domain.

#include "briarglade/grouping/group_plan.h"

#include <algorithm>
#include <optional>

namespace briarglade {

namespace {

// A model without any group goes before all others, the busiest first.
constexpr double kNoGroup = 1e6;
// A model whose groups carry this many times the work of another one's needs
// hosts more.
constexpr double kFarMore = 2;

bool Holds(const FreeHost& aHost, const ModelId& aModel)
{
  return std::find(aHost.m_staged.begin(), aHost.m_staged.end(), aModel) !=
         aHost.m_staged.end();
}

// The requests that each group of a model has, relative to the others'. Before
// any are known, the stated share of the work stands for them.
double WorkPerGroup(const GroupPlanInput& aInput, const ReplicaModel& aModel)
{
  const auto demand = aInput.m_demand.find(aModel.m_id);
  const double work = aInput.m_demand.empty() ? aModel.m_share * aModel.m_pace
                      : demand == aInput.m_demand.end() ? 0
                                                        : demand->second;
  const auto groups = aInput.m_groups.find(aModel.m_id);
  const uint32_t count = groups == aInput.m_groups.end() ? 0 : groups->second;
  return count == 0 ? kNoGroup * (1 + work) : work / count;
}

// How soon a host could be ready in a group of the model; lower is sooner. A
// host that is ready for another model is used last.
int Readiness(const FreeHost& aHost, const ModelId& aModel)
{
  if (aHost.m_warmModel == aModel) {
    return 0;
  }
  if (Holds(aHost, aModel)) {
    return 1;
  }
  return aHost.m_warmModel.IsEmpty() && aHost.m_staged.empty() ? 2 : 3;
}

// Chooses the hosts for a group: those that are ready soonest, which come to
// the front of the free ones.
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
      host.m_warmModel == aModel.m_id || Holds(host, aModel.m_id);
    group.m_members.push_back(host.m_host);
    group.m_loads += isLoaded ? 0 : 1;
  }
  return group;
}

// Returns the models, the one whose groups carry most work each first.
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

// Takes out the hosts that stand by for a model, and if told to those that hold
// its weights.
void KeepSparesOf(std::vector<FreeHost>& aFree,
                  const ModelId& aModel,
                  bool aKeepsWeights)
{
  const auto isKept = [&](const FreeHost& aHost) {
    return aHost.m_warmModel == aModel ||
           (aKeepsWeights && Holds(aHost, aModel));
  };
  aFree.erase(std::remove_if(aFree.begin(), aFree.end(), isKept), aFree.end());
}

// Tells whether a model's groups have hardly any room for more requests.
bool IsNearlyFull(const GroupPlanInput& aInput, const ReplicaModel& aModel)
{
  constexpr double kNearlyFull = 0.7;
  return !aInput.m_demand.empty() &&
         WorkPerGroup(aInput, aModel) > kNearlyFull * aInput.m_engine->m_slots;
}

// Returns how many free hosts a domain keeps rather than form a further group
// of a model: for the busiest one none before there is traffic, or while its
// groups are nearly full; otherwise enough for the next repair of any model.
size_t KeptForRepairs(const GroupPlanInput& aInput,
                      const ReplicaModel& aModel,
                      bool aIsBusiest)
{
  if (aIsBusiest && (aInput.m_demand.empty() || IsNearlyFull(aInput, aModel))) {
    return 0;
  }
  size_t kept = kSpareHosts;
  if (!aInput.m_demand.empty()) {
    for (const ReplicaModel& model : aInput.m_engine->m_models) {
      kept = std::max<size_t>(kept, model.m_size);
    }
  }
  return kept;
}

// Plans the next group, with at most so many loads; nothing if none is due. A
// group that needs fewer loads is ready sooner, and leaves more to others.
std::optional<PlannedGroup> PlanOne(const GroupPlanInput& aInput,
                                    uint32_t aMaxLoads)
{
  const std::vector<const ReplicaModel*> models = RankModels(aInput);
  std::optional<PlannedGroup> best;
  double bestGain = 0;
  for (const ReplicaModel* model : models) {
    const auto here = aInput.m_groupsInDomain.find(model->m_id);
    const bool hasGroup =
      here != aInput.m_groupsInDomain.end() && here->second > 0;
    std::vector<FreeHost> free = aInput.m_free;
    if (model != models.front()) {
      const bool isFarBusier =
        !aInput.m_demand.empty() && WorkPerGroup(aInput, *models.front()) >
                                      kFarMore * WorkPerGroup(aInput, *model);
      KeepSparesOf(free, models.front()->m_id, isFarBusier);
    }
    const size_t kept =
      hasGroup ? KeptForRepairs(aInput, *model, model == models.front()) : 0;
    if (model->m_size == 0 || free.size() < model->m_size + kept) {
      continue;
    }
    PlannedGroup group = ChooseHosts(free, *model);
    const double work = WorkPerGroup(aInput, *model);
    const double gain = work >= kNoGroup ? work : work / (1 + group.m_loads);
    if (group.m_loads <= aMaxLoads && (!best || gain > bestGain)) {
      best = std::move(group);
      bestGain = gain;
    }
  }
  return best;
}

// Returns the model that the spare at this place should stand by for: all for
// the first model if its groups carry far more work each, else one for each.
const ReplicaModel* WantedSpare(const GroupPlanInput& aInput,
                                const std::vector<const ReplicaModel*>& aModels,
                                size_t aPlace)
{
  const bool isAlone =
    aModels.size() == 1 || (!aInput.m_demand.empty() &&
                            WorkPerGroup(aInput, *aModels[0]) >
                              kFarMore * WorkPerGroup(aInput, *aModels[1]));
  return isAlone ? aModels.front() : aModels[aPlace % aModels.size()];
}

// Returns how many spares up to this place should stand by for the model.
size_t WantedSpares(const GroupPlanInput& aInput,
                    const std::vector<const ReplicaModel*>& aModels,
                    const ReplicaModel& aModel,
                    size_t aPlace)
{
  size_t wanted = 0;
  for (size_t place = 0; place <= aPlace; ++place) {
    wanted += WantedSpare(aInput, aModels, place) == &aModel ? 1 : 0;
  }
  return wanted;
}

void RemoveHosts(std::vector<FreeHost>& aFree,
                 const std::vector<HostId>& aHosts)
{
  const auto isTaken = [&](const FreeHost& aHost) {
    return std::find(aHosts.begin(), aHosts.end(), aHost.m_host) !=
           aHosts.end();
  };
  aFree.erase(std::remove_if(aFree.begin(), aFree.end(), isTaken), aFree.end());
}

} // namespace

std::vector<PlannedGroup> PlanGroups(GroupPlanInput aInput)
{
  std::vector<PlannedGroup> planned;
  while (true) {
    // Groups that need no load come first: they are ready at once.
    std::optional<PlannedGroup> group = PlanOne(aInput, 0);
    if (!group) {
      group = PlanOne(aInput, aInput.m_loadsAllowed);
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
  for (size_t place = 0; place < kSpareHosts && place < free.size(); ++place) {
    const ReplicaModel& model = *WantedSpare(aInput, models, place);
    const auto has =
      std::count_if(free.begin(), free.end(), [&](const FreeHost& aHost) {
        return aHost.m_warmModel == model.m_id;
      });
    const size_t wanted = WantedSpares(aInput, models, model, place);
    if (static_cast<size_t>(has) >= wanted) {
      continue;
    }
    std::stable_sort(
      free.begin(), free.end(), [&](const FreeHost& aA, const FreeHost& aB) {
        return Readiness(aA, model.m_id) < Readiness(aB, model.m_id);
      });
    const auto next =
      std::find_if(free.begin(), free.end(), [&](const FreeHost& aHost) {
        const bool keepsWeights = !aHost.m_staged.empty() &&
                                  !Holds(aHost, model.m_id) &&
                                  !aInput.m_maySwitchSpares;
        return aHost.m_warmModel != model.m_id && !aHost.m_isStandbyPending &&
               !keepsWeights;
      });
    if (next == free.end()) {
      continue;
    }
    planned.push_back(
      PlannedSpare{ next->m_host, model.m_id, !Holds(*next, model.m_id) });
    next->m_warmModel = model.m_id;
  }
  return planned;
}

} // namespace briarglade
