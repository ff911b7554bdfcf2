// Demand, target layout and the changes towards it.

#include "briarglade/grouping/capacity_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

#include "briarglade/grouping/group_plan.h"

namespace briarglade {

namespace {

constexpr double kMillisPerSecond = 1'000;
// A model with less demand than this counts as having this much, so that it
// does not seem to have unlimited capacity.
constexpr double kLeastDemand = 0.05;
// Number of groups that each model gets before demand counts, if there is room:
// the loss of one of two groups leaves one that serves.
constexpr uint32_t kLeastGroups = 2;

// Returns how many requests a group can run at once so that the pause between
// two passes stays within the shortest gap goal of the service's routes, and
// their tokens fit into memory.
double ConcurrentRequests(const GatewayConfig& aConfig,
                          const ServiceSpec& aService,
                          const ReplicaModel& aModel,
                          double aTokensPerRequest)
{
  const EngineSpec& engine = *aService.m_engine;
  double most = engine.m_slots;
  if (engine.m_memoryTokens > 0 && aTokensPerRequest > 0) {
    most = std::min(
      most, static_cast<double>(engine.m_memoryTokens) / aTokensPerRequest);
  }
  for (const RouteRule& route : aConfig.m_routes) {
    const bool isServed =
      std::any_of(route.m_services.begin(),
                  route.m_services.end(),
                  [&](const WeightedService& aTarget) {
                    return aTarget.m_service == aService.m_id;
                  });
    const bool isLimited = isServed && route.m_kind == RouteKind::Stream &&
                           engine.m_stepMillisPerRequest > 0 &&
                           aModel.m_timeFactor > 0;
    if (isLimited) {
      const double steps = std::max(1U, engine.m_stepsPerPass);
      const double step = static_cast<double>(route.m_gapGoal.Count()) /
                          (steps * aModel.m_timeFactor);
      most = std::min(
        most, (step - engine.m_stepMillis) / engine.m_stepMillisPerRequest);
    }
  }
  return std::max(1.0, std::floor(most));
}

double RatioOf(const std::map<ModelId, double>& aDemand,
               const ModelId& aModel,
               uint32_t aGroups)
{
  const auto demand = aDemand.find(aModel);
  const double known = demand == aDemand.end() ? 0 : demand->second;
  return aGroups / std::max(known, kLeastDemand);
}

uint32_t CountOf(const GroupCounts& aCounts, const ModelId& aModel)
{
  const auto found = aCounts.find(aModel);
  return found == aCounts.end() ? 0 : found->second;
}

GroupCounts Total(const std::map<DomainId, DomainCapacity>& aDomains)
{
  GroupCounts total;
  for (const auto& [domain, capacity] : aDomains) {
    for (const auto& [model, count] : capacity.m_groups) {
      total[model] += count;
    }
  }
  return total;
}

// Hosts that a domain may use for groups; the others are spares.
uint32_t UsableHosts(const DomainCapacity& aDomain)
{
  constexpr auto kSpares = static_cast<uint32_t>(kSpareHosts);
  return aDomain.m_hosts > kSpares ? aDomain.m_hosts - kSpares : 0;
}

// Fills domains with groups.
class LayoutPlanner
{
public:
  explicit LayoutPlanner(const CapacityInput& aInput)
    : m_input(aInput)
  {
    for (const auto& [domain, capacity] : aInput.m_domains) {
      m_free[domain] = UsableHosts(capacity);
      m_idle[domain] = IdleHosts(capacity);
      m_byHosts[KeyOf(domain)].insert(domain);
    }
    for (const ReplicaModel& model : aInput.m_engine->m_models) {
      if (model.m_size > 0) {
        m_models.push_back(&model);
      }
    }
  }

  std::map<DomainId, GroupCounts> Plan()
  {
    const GroupCounts wanted = WantedCounts();
    // Large groups are the hardest to place, so they are placed first.
    std::vector<const ReplicaModel*> bySize = m_models;
    std::stable_sort(bySize.begin(),
                     bySize.end(),
                     [](const ReplicaModel* aA, const ReplicaModel* aB) {
                       return aA->m_size > aB->m_size;
                     });
    for (const ReplicaModel* model : bySize) {
      KeepExisting(*model, CountOf(wanted, model->m_id));
      while (CountOf(m_total, model->m_id) < CountOf(wanted, model->m_id) &&
             Place(*model)) {
      }
    }
    // What is left goes to the model with the smallest ratio that still fits.
    FillByRatio();
    return std::move(m_layout);
  }

private:
  // Returns the number of groups of each model as if the hosts of all domains
  // were one pool.
  GroupCounts WantedCounts() const
  {
    uint32_t pool = 0;
    uint32_t first = 0;
    for (const auto& [domain, free] : m_free) {
      pool += free;
    }
    for (const ReplicaModel* model : m_models) {
      first += model->m_size * kLeastGroups;
    }
    GroupCounts counts;
    for (const ReplicaModel* model : m_models) {
      counts[model->m_id] = first <= pool ? kLeastGroups : 0;
    }
    pool -= first <= pool ? first : 0;
    while (const ReplicaModel* next = LowestRatio(counts, {})) {
      if (next->m_size > pool) {
        break;
      }
      pool -= next->m_size;
      ++counts[next->m_id];
    }
    return counts;
  }

  const ReplicaModel* LowestRatio(const GroupCounts& aCounts,
                                  const std::set<ModelId>& aExcluded) const
  {
    const ReplicaModel* lowest = nullptr;
    double ratio = std::numeric_limits<double>::infinity();
    for (const ReplicaModel* model : m_models) {
      const double own =
        RatioOf(m_input.m_demand, model->m_id, CountOf(aCounts, model->m_id));
      if (aExcluded.count(model->m_id) == 0 && own < ratio) {
        lowest = model;
        ratio = own;
      }
    }
    return lowest;
  }

  void FillByRatio()
  {
    std::set<ModelId> full;
    while (const ReplicaModel* next = LowestRatio(m_total, full)) {
      if (!Place(*next)) {
        full.insert(next->m_id);
      }
    }
  }

  // Adds up to aCount groups in the domains that have such groups already, one
  // in each domain in turn, so that domains with several give one up first.
  void KeepExisting(const ReplicaModel& aModel, uint32_t aCount)
  {
    bool hasPlaced = true;
    while (hasPlaced) {
      hasPlaced = false;
      for (const auto& [domain, capacity] : m_input.m_domains) {
        const bool isExisting = CountOf(m_layout[domain], aModel.m_id) <
                                CountOf(capacity.m_groups, aModel.m_id);
        if (CountOf(m_total, aModel.m_id) < aCount && isExisting &&
            m_free[domain] >= aModel.m_size) {
          Add(domain, aModel, 0);
          hasPlaced = true;
        }
      }
    }
  }

  // Adds a group in a domain where the fewest hosts must come from existing
  // groups, counted in groups of the smallest size, and of these where the
  // fewest hosts would be left over beside such groups. Returns false if it
  // fits in no domain.
  bool Place(const ReplicaModel& aModel)
  {
    const uint32_t smallest = SmallestSize();
    const std::set<DomainId>* best = nullptr;
    std::pair<uint32_t, uint32_t> bestCost;
    for (const auto& [hosts, domains] : m_byHosts) {
      const auto [free, idle] = hosts;
      if (free < aModel.m_size || domains.empty()) {
        continue;
      }
      const uint32_t taken = aModel.m_size > idle ? aModel.m_size - idle : 0;
      const std::pair<uint32_t, uint32_t> cost = {
        (taken + smallest - 1) / smallest, (free - aModel.m_size) % smallest
      };
      if (best == nullptr || cost < bestCost) {
        best = &domains;
        bestCost = cost;
      }
    }
    if (best == nullptr) {
      return false;
    }
    const DomainId domain = *best->begin();
    Add(domain, aModel, std::min(m_idle[domain], aModel.m_size));
    return true;
  }

  // Adds a group that takes aIdleHosts hosts of no existing group.
  void Add(const DomainId& aDomain,
           const ReplicaModel& aModel,
           uint32_t aIdleHosts)
  {
    m_byHosts[KeyOf(aDomain)].erase(aDomain);
    m_free[aDomain] -= aModel.m_size;
    m_idle[aDomain] -= aIdleHosts;
    m_byHosts[KeyOf(aDomain)].insert(aDomain);
    ++m_layout[aDomain][aModel.m_id];
    ++m_total[aModel.m_id];
  }

  // Returns the usable hosts of a domain that are in no existing group.
  uint32_t IdleHosts(const DomainCapacity& aDomain) const
  {
    uint32_t idle = UsableHosts(aDomain);
    for (const ReplicaModel& model : m_input.m_engine->m_models) {
      const uint32_t used =
        model.m_size * CountOf(aDomain.m_groups, model.m_id);
      idle -= std::min(idle, used);
    }
    return idle;
  }

  std::pair<uint32_t, uint32_t> KeyOf(const DomainId& aDomain) const
  {
    return { m_free.at(aDomain), m_idle.at(aDomain) };
  }

  uint32_t SmallestSize() const
  {
    uint32_t smallest = m_models.front()->m_size;
    for (const ReplicaModel* model : m_models) {
      smallest = std::min(smallest, model->m_size);
    }
    return smallest;
  }

  const CapacityInput& m_input;
  std::vector<const ReplicaModel*> m_models;
  // The hosts of each domain that the layout has not used yet, and those of
  // them that are in no existing group.
  std::map<DomainId, uint32_t> m_free;
  std::map<DomainId, uint32_t> m_idle;
  // The domains by these counts; there are thousands of domains but few
  // different counts.
  std::map<std::pair<uint32_t, uint32_t>, std::set<DomainId>> m_byHosts;
  std::map<DomainId, GroupCounts> m_layout;
  GroupCounts m_total;
};

} // namespace

std::map<ModelId, double> DemandInGroups(const GatewayConfig& aConfig,
                                         const ServiceSpec& aService,
                                         const WorkByModel& aWork)
{
  std::map<ModelId, double> demand;
  double total = 0;
  for (const ReplicaModel& model : aService.m_engine->m_models) {
    const auto found = aWork.find(model.m_id);
    const ModelWork work = found == aWork.end() ? ModelWork() : found->second;
    const EngineSpec& engine = *aService.m_engine;
    const double tokens =
      work.m_requests > 0
        ? (work.m_promptTokens + work.m_answerTokens) / work.m_requests
        : 0;
    const double concurrent =
      ConcurrentRequests(aConfig, aService, model, tokens);
    // Busy time of a group per second: prompts are processed one by one, and a
    // token step serves all running requests.
    const double reading =
      engine.m_prefillTokensPerSecond > 0
        ? work.m_promptTokens / engine.m_prefillTokensPerSecond
        : 0;
    const double stepping =
      work.m_answerTokens *
      (engine.m_stepMillis / concurrent + engine.m_stepMillisPerRequest) /
      kMillisPerSecond;
    demand[model.m_id] = (reading + stepping) * model.m_timeFactor;
    total += work.m_requests;
  }
  return total > 0 ? demand : std::map<ModelId, double>();
}

// Returns the ratios of groups to demand of all models, the smallest first.
std::vector<double> SortedRatios(const std::map<ModelId, double>& aDemand,
                                 const GroupCounts& aGroups)
{
  std::vector<double> ratios;
  for (const auto& [model, demand] : aDemand) {
    ratios.push_back(RatioOf(aDemand, model, CountOf(aGroups, model)));
  }
  std::sort(ratios.begin(), ratios.end());
  return ratios;
}

double SmallestRatio(const std::map<ModelId, double>& aDemand,
                     const GroupCounts& aGroups)
{
  double smallest = std::numeric_limits<double>::infinity();
  for (const auto& [model, demand] : aDemand) {
    smallest =
      std::min(smallest, RatioOf(aDemand, model, CountOf(aGroups, model)));
  }
  return smallest;
}

CapacityPlan PlanCapacity(const CapacityInput& aInput)
{
  CapacityPlan plan;
  if (aInput.m_demand.empty() || aInput.m_engine->m_models.empty()) {
    return plan;
  }
  plan.m_domains = LayoutPlanner(aInput).Plan();
  plan.m_currentRatio = SmallestRatio(aInput.m_demand, Total(aInput.m_domains));
  GroupCounts target;
  for (const auto& [domain, counts] : plan.m_domains) {
    for (const auto& [model, count] : counts) {
      target[model] += count;
    }
  }
  plan.m_targetRatio = SmallestRatio(aInput.m_demand, target);
  if (SortedRatios(aInput.m_demand, target) <=
      SortedRatios(aInput.m_demand, Total(aInput.m_domains))) {
    plan.m_targetRatio = plan.m_currentRatio;
    for (const auto& [domain, capacity] : aInput.m_domains) {
      plan.m_domains[domain] = capacity.m_groups;
    }
  }
  return plan;
}

std::optional<DomainChange> NextChange(const CapacityInput& aInput,
                                       const CapacityPlan& aPlan,
                                       const DomainId& aDomain,
                                       uint32_t aFreeHosts)
{
  const auto target = aPlan.m_domains.find(aDomain);
  const auto domain = aInput.m_domains.find(aDomain);
  if (target == aPlan.m_domains.end() || domain == aInput.m_domains.end()) {
    return std::nullopt;
  }
  const GroupCounts& current = domain->second.m_groups;
  // Most domains are as planned; the sums over all domains are not needed then.
  const auto lacksGroups = [&](const auto& aWanted) {
    return CountOf(current, aWanted.first) < aWanted.second;
  };
  if (std::none_of(target->second.begin(), target->second.end(), lacksGroups)) {
    return std::nullopt;
  }
  const GroupCounts total = Total(aInput.m_domains);
  const ReplicaModel* to = nullptr;
  const ReplicaModel* from = nullptr;
  double toRatio = 0;
  double fromRatio = 0;
  for (const ReplicaModel& model : aInput.m_engine->m_models) {
    const uint32_t has = CountOf(current, model.m_id);
    const uint32_t wants = CountOf(target->second, model.m_id);
    const double ratio =
      RatioOf(aInput.m_demand, model.m_id, CountOf(total, model.m_id));
    if (has < wants && (to == nullptr || ratio < toRatio)) {
      to = &model;
      toRatio = ratio;
    }
    if (has > wants && (from == nullptr || ratio > fromRatio)) {
      from = &model;
      fromRatio = ratio;
    }
  }
  if (to == nullptr || from == nullptr || from->m_size == 0) {
    return std::nullopt;
  }
  constexpr auto kSpares = static_cast<uint32_t>(kSpareHosts);
  const uint32_t free = aFreeHosts > kSpares ? aFreeHosts - kSpares : 0;
  const uint32_t missing = to->m_size > free ? to->m_size - free : 0;
  const uint32_t groups = (missing + from->m_size - 1) / from->m_size;
  const uint32_t has = CountOf(current, from->m_id);
  const uint32_t hasInTotal = CountOf(total, from->m_id);
  const bool isAllowed =
    groups > 0 && groups <= has - CountOf(target->second, from->m_id) &&
    groups < hasInTotal &&
    RatioOf(aInput.m_demand, from->m_id, hasInTotal - groups) > toRatio;
  if (!isAllowed) {
    return std::nullopt;
  }
  return DomainChange{ from->m_id, groups, to->m_id };
}

} // namespace briarglade
