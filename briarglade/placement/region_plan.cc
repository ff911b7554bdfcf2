// The planner of a region.

#include "briarglade/placement/region_plan.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace briarglade {

namespace {

using nlohmann::json;

class RegionPlanner
{
public:
  RegionPlanner(const FleetConfig& aFleet,
                const std::map<ZoneId, ZoneState>& aZones,
                const std::vector<DomainSupply>& aSupply,
                const RegionPlan& aPresent);
  RegionPlan Run();

private:
  struct Domain
  {
    const DomainSupply* m_supply;
    ModelCounts m_counts;
    uint32_t m_free = 0;
  };

  bool IsIn(const ZoneId& aZone) const;
  void Clip(Domain& aDomain, const ModelCounts& aPresent);
  void PlanModel(const ModelConfig& aModel);
  uint32_t Total(const ModelId& aModel) const;
  uint32_t InZone(const ModelId& aModel, const ZoneId& aZone) const;
  uint32_t Serving(const Domain& aDomain, const ModelId& aModel) const;
  bool MayGrow(const Domain& aDomain, const ModelConfig& aModel) const;
  bool IsSettled(const ModelId& aModel) const;
  bool IsZoneSettled(const ZoneId& aZone) const;
  Domain* BestToAdd(const ModelConfig& aModel);
  Domain* BestToRemove(const ModelConfig& aModel);
  void Add(Domain& aDomain, const ModelConfig& aModel);
  void Remove(Domain& aDomain, const ModelConfig& aModel);

  const FleetConfig& m_fleet;
  const std::map<ZoneId, ZoneState>& m_zones;
  std::vector<Domain> m_domains;
  std::set<ZoneId> m_returning;
  std::vector<const ModelConfig*> m_models;
};

RegionPlanner::RegionPlanner(const FleetConfig& aFleet,
                             const std::map<ZoneId, ZoneState>& aZones,
                             const std::vector<DomainSupply>& aSupply,
                             const RegionPlan& aPresent)
  : m_fleet(aFleet)
  , m_zones(aZones)
  , m_returning(aPresent.m_returning)
{
  for (const auto& entry : m_fleet.m_models) {
    m_models.push_back(&entry.second);
  }
  std::stable_sort(m_models.begin(),
                   m_models.end(),
                   [](const ModelConfig* aA, const ModelConfig* aB) {
                     return aA->m_priority > aB->m_priority;
                   });
  for (const DomainSupply& supply : aSupply) {
    Domain domain;
    domain.m_supply = &supply;
    if (IsIn(supply.m_zone)) {
      domain.m_free = supply.m_usableHosts;
      const auto present = aPresent.m_counts.find(supply.m_domain);
      if (present != aPresent.m_counts.end()) {
        Clip(domain, present->second);
      }
    } else {
      m_returning.insert(supply.m_zone);
    }
    m_domains.push_back(std::move(domain));
  }
}

bool RegionPlanner::IsIn(const ZoneId& aZone) const
{
  const auto found = m_zones.find(aZone);
  return found == m_zones.end() || found->second == ZoneState::In;
}

// Takes over the present counts as far as the domain still has hosts.
void RegionPlanner::Clip(Domain& aDomain, const ModelCounts& aPresent)
{
  for (const ModelConfig* model : m_models) {
    const auto count = aPresent.find(model->m_id);
    if (count == aPresent.end()) {
      continue;
    }
    const uint32_t fits =
      std::min(count->second, aDomain.m_free / model->m_members);
    if (fits > 0) {
      aDomain.m_counts[model->m_id] = fits;
      aDomain.m_free -= fits * model->m_members;
    }
  }
}

uint32_t RegionPlanner::Total(const ModelId& aModel) const
{
  uint32_t total = 0;
  for (const Domain& domain : m_domains) {
    const auto count = domain.m_counts.find(aModel);
    total += count == domain.m_counts.end() ? 0 : count->second;
  }
  return total;
}

uint32_t RegionPlanner::InZone(const ModelId& aModel, const ZoneId& aZone) const
{
  uint32_t total = 0;
  for (const Domain& domain : m_domains) {
    const auto count = domain.m_counts.find(aModel);
    if (domain.m_supply->m_zone == aZone && count != domain.m_counts.end()) {
      total += count->second;
    }
  }
  return total;
}

uint32_t RegionPlanner::Serving(const Domain& aDomain,
                                const ModelId& aModel) const
{
  const auto serving = aDomain.m_supply->m_serving.find(aModel);
  return serving == aDomain.m_supply->m_serving.end() ? 0 : serving->second;
}

// Tells whether every group of the model that is planned serves.
bool RegionPlanner::IsSettled(const ModelId& aModel) const
{
  return std::all_of(
    m_domains.begin(), m_domains.end(), [&](const Domain& aDomain) {
      const auto count = aDomain.m_counts.find(aModel);
      return count == aDomain.m_counts.end() ||
             Serving(aDomain, aModel) >= count->second;
    });
}

bool RegionPlanner::IsZoneSettled(const ZoneId& aZone) const
{
  for (const Domain& domain : m_domains) {
    for (const auto& [model, count] : domain.m_counts) {
      if (domain.m_supply->m_zone == aZone && Serving(domain, model) < count) {
        return false;
      }
    }
  }
  return true;
}

bool RegionPlanner::MayGrow(const Domain& aDomain,
                            const ModelConfig& aModel) const
{
  const ZoneId& zone = aDomain.m_supply->m_zone;
  return IsIn(zone) && aDomain.m_free >= aModel.m_members &&
         (m_returning.count(zone) == 0 || IsZoneSettled(zone));
}

RegionPlanner::Domain* RegionPlanner::BestToAdd(const ModelConfig& aModel)
{
  Domain* best = nullptr;
  for (Domain& domain : m_domains) {
    if (!MayGrow(domain, aModel)) {
      continue;
    }
    if (best == nullptr) {
      best = &domain;
      continue;
    }
    const uint32_t here = InZone(aModel.m_id, domain.m_supply->m_zone);
    const uint32_t there = InZone(aModel.m_id, best->m_supply->m_zone);
    if (here < there || (here == there && domain.m_free > best->m_free)) {
      best = &domain;
    }
  }
  return best;
}

RegionPlanner::Domain* RegionPlanner::BestToRemove(const ModelConfig& aModel)
{
  Domain* best = nullptr;
  for (Domain& domain : m_domains) {
    const auto count = domain.m_counts.find(aModel.m_id);
    if (count == domain.m_counts.end() || count->second == 0) {
      continue;
    }
    if (best == nullptr) {
      best = &domain;
      continue;
    }
    const uint32_t here = InZone(aModel.m_id, domain.m_supply->m_zone);
    const uint32_t there = InZone(aModel.m_id, best->m_supply->m_zone);
    if (here > there || (here == there && domain.m_free < best->m_free)) {
      best = &domain;
    }
  }
  return best;
}

void RegionPlanner::Add(Domain& aDomain, const ModelConfig& aModel)
{
  ++aDomain.m_counts[aModel.m_id];
  aDomain.m_free -= aModel.m_members;
}

void RegionPlanner::Remove(Domain& aDomain, const ModelConfig& aModel)
{
  aDomain.m_free += aModel.m_members;
  if (--aDomain.m_counts[aModel.m_id] == 0) {
    aDomain.m_counts.erase(aModel.m_id);
  }
}

void RegionPlanner::PlanModel(const ModelConfig& aModel)
{
  const uint32_t wanted = aModel.m_wantedGroups;
  uint32_t total = Total(aModel.m_id);
  while (total < wanted) {
    Domain* domain = BestToAdd(aModel);
    if (domain == nullptr) {
      return;
    }
    Add(*domain, aModel);
    ++total;
  }
  while (total > wanted + 1 || (total > wanted && IsSettled(aModel.m_id))) {
    Remove(*BestToRemove(aModel), aModel);
    --total;
  }
  if (total != wanted || !IsSettled(aModel.m_id)) {
    return;
  }
  Domain* receiver = BestToAdd(aModel);
  Domain* giver = BestToRemove(aModel);
  if (receiver == nullptr || giver == nullptr) {
    return;
  }
  const uint32_t least = InZone(aModel.m_id, receiver->m_supply->m_zone);
  const uint32_t most = InZone(aModel.m_id, giver->m_supply->m_zone);
  if (most >= least + 2) {
    Add(*receiver, aModel);
  }
}

RegionPlan RegionPlanner::Run()
{
  std::map<DomainId, ModelCounts> before;
  for (const Domain& domain : m_domains) {
    before[domain.m_supply->m_domain] = domain.m_counts;
  }
  for (const ModelConfig* model : m_models) {
    PlanModel(*model);
  }
  RegionPlan plan;
  plan.m_returning = m_returning;
  std::set<ZoneId> growing;
  for (Domain& domain : m_domains) {
    const DomainId& id = domain.m_supply->m_domain;
    if (before[id] != domain.m_counts) {
      growing.insert(domain.m_supply->m_zone);
    }
    if (!domain.m_counts.empty()) {
      plan.m_counts[id] = std::move(domain.m_counts);
      domain.m_counts = plan.m_counts[id];
    }
  }
  for (const ZoneId& zone : m_returning) {
    const bool isUp =
      IsIn(zone) && growing.count(zone) == 0 && IsZoneSettled(zone);
    if (isUp) {
      plan.m_returning.erase(zone);
    }
  }
  return plan;
}

} // namespace

RegionPlan PlanRegion(const FleetConfig& aFleet,
                      const std::map<ZoneId, ZoneState>& aZones,
                      const std::vector<DomainSupply>& aSupply,
                      const RegionPlan& aPresent)
{
  return RegionPlanner(aFleet, aZones, aSupply, aPresent).Run();
}

std::string RegionPlanToJson(const RegionPlan& aPlan)
{
  json counts = json::object();
  for (const auto& [domain, models] : aPlan.m_counts) {
    json entry = json::object();
    for (const auto& [model, count] : models) {
      entry[model.Value()] = count;
    }
    counts[domain.Value()] = std::move(entry);
  }
  json returning = json::array();
  for (const ZoneId& zone : aPlan.m_returning) {
    returning.push_back(zone.Value());
  }
  return json{
    { "counts", std::move(counts) }, { "returning", std::move(returning) }
  }.dump();
}

bool RegionPlanFromJson(const std::string& aText, RegionPlan& aPlan)
{
  aPlan = RegionPlan();
  try {
    const json plan = json::parse(aText);
    for (const auto& [domain, models] : plan.at("counts").items()) {
      ModelCounts& counts = aPlan.m_counts[DomainId(domain)];
      for (const auto& [model, count] : models.items()) {
        counts[ModelId(model)] = count.get<uint32_t>();
      }
    }
    for (const json& zone : plan.at("returning")) {
      aPlan.m_returning.insert(ZoneId(zone.get<std::string>()));
    }
    return true;
  } catch (const json::exception&) {
    aPlan = RegionPlan();
    return false;
  }
}

} // namespace briarglade
