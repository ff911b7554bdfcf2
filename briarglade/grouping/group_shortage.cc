// Gives hosts of other groups to a model that has lost groups and has less than
// its demand. shortage_plan.h describes the rule.

#include "briarglade/grouping/group_control.h"

#include <algorithm>
#include <string>
#include <utility>

namespace briarglade {

namespace {

// A shortage must last this long: the hosts of a lost group are free only after
// its leader has left it, and ordinary repairs come first.
constexpr Millis kShortageConfirmTime = Millis(500);
// If a group has been lost or a zone taken out within this time, a model lacks
// capacity because of the loss. Otherwise its demand has grown, which moves
// follow.
constexpr Millis kRecentLoss = Millis(30'000);
// A repair is abandoned if its group is not formed this long after its sources
// have ended: a host has been lost meanwhile.
constexpr Millis kRepairFormingTime = Millis(2'000);

} // namespace

// Returns whether the host can join a group of the model without a load.
bool GroupControl::HoldsWeights(const HostId& aHost,
                                const ModelId& aModel) const
{
  const auto server = m_view->m_servers.find(aHost);
  return server != m_view->m_servers.end() &&
         (server->second.HasStaged(aModel) ||
          ModelOf(server->second.m_membershipHistory.LastGroup()) == aModel);
}

GroupCounts GroupControl::CountServingGroups(const ServiceId& aService) const
{
  GroupCounts counts;
  for (const auto& [id, group] : m_view->m_groups) {
    const bool isCounted = group.m_service == aService && IsServing(group) &&
                           m_endingGroups.count(id) == 0 && !IsZoneOut(group);
    counts[group.m_model] += isCounted ? 1 : 0;
  }
  return counts;
}

// Counts the groups that serve, or are formed without a load.
GroupCounts GroupControl::CountReadyGroups(const ServiceId& aService) const
{
  GroupCounts counts = CountServingGroups(aService);
  for (const auto& [id, forming] : m_formingGroups) {
    const auto seen = m_view->m_groups.find(id);
    const bool isSeen =
      seen != m_view->m_groups.end() && IsServing(seen->second);
    const bool isCounted = forming.m_group.m_service == aService &&
                           forming.m_loads == 0 && !forming.m_isInherited &&
                           !isSeen && !IsZoneOut(forming.m_group);
    counts[forming.m_group.m_model] += isCounted ? 1 : 0;
  }
  for (const auto& [domain, repair] : m_shortageRepairs) {
    counts[repair.m_model] += repair.m_service == aService ? 1 : 0;
  }
  return counts;
}

// Returns what each domain could give to the model. Domains with a repair or an
// ending group are left out, as their free hosts are about to change.
ShortageInput GroupControl::SurveyShortage(const ServiceSpec& aService,
                                           const ModelId& aModel) const
{
  const ServiceCapacity& capacity = m_capacity.at(aService.m_id);
  ShortageInput input;
  input.m_engine = &*aService.m_engine;
  input.m_demand = capacity.m_input.m_demand;
  input.m_groups = CountReadyGroups(aService.m_id);
  input.m_to = aModel;
  for (const auto& [host, server] : m_view->m_servers) {
    if (server.m_service == aService.m_id && IsFree(server)) {
      input.m_domains[server.m_domain].m_freeWithWeights +=
        HoldsWeights(host, aModel) ? 1 : 0;
    }
  }
  for (const auto& [id, group] : m_view->m_groups) {
    const bool isSource =
      group.m_service == aService.m_id && group.m_model != aModel &&
      IsServing(group) && !group.m_isLeaving && !IsZoneOut(group) &&
      m_endingGroups.count(id) == 0 && m_formingGroups.count(id) == 0 &&
      m_view->m_suspectedGroups.count(id) == 0;
    if (isSource) {
      input.m_domains[group.m_domain]
        .m_membersWithWeights[group.m_model]
        .push_back(static_cast<uint32_t>(group.m_members.size() -
                                         MembersWithout(group, aModel).size()));
    }
  }
  for (const auto& [id, ending] : m_endingGroups) {
    if (!ending.m_isEnded) {
      input.m_domains.erase(ending.m_group.m_domain);
    }
  }
  for (const auto& [domain, repair] : m_shortageRepairs) {
    input.m_domains.erase(domain);
  }
  return input;
}

void GroupControl::RepairShortage(const ServiceSpec& aService)
{
  // A new holder does not know since when a zone has been out.
  if (m_knownZonesOut && *m_knownZonesOut != m_view->m_zonesOut) {
    m_capacityLostAt = m_now;
  }
  m_knownZonesOut = m_view->m_zonesOut;
  const auto& demand = m_capacity[aService.m_id].m_input.m_demand;
  const GroupCounts ready = CountReadyGroups(aService.m_id);
  const ModelId model = ScarcestModel(demand, ready);
  m_capacity[aService.m_id].m_scarceModel = model;
  for (const ReplicaModel& other : aService.m_engine->m_models) {
    if (other.m_id != model) {
      m_scarceSince.erase(other.m_id);
    }
  }
  if (model.IsEmpty()) {
    return;
  }
  const Millis since = m_scarceSince.try_emplace(model, m_now).first->second;
  const bool hasLost =
    m_capacityLostAt && m_now - *m_capacityLostAt < kRecentLoss;
  const auto count = ready.find(model);
  const bool hasNone = count == ready.end() || count->second == 0;
  if (m_now - since < kShortageConfirmTime || (!hasLost && !hasNone)) {
    return;
  }
  const std::optional<ShortageRepair> repair =
    PlanShortageRepair(SurveyShortage(aService, model));
  if (repair) {
    BeginShortageRepair(aService, model, *repair);
  }
}

// Ends the groups that give up their hosts.
void GroupControl::BeginShortageRepair(const ServiceSpec& aService,
                                       const ModelId& aModel,
                                       const ShortageRepair& aRepair)
{
  const auto& demand = m_capacity[aService.m_id].m_input.m_demand;
  Log("capacity-shortage",
      { { "service", aService.m_id.Value() },
        { "domain", aRepair.m_domain.Value() },
        { "from", aRepair.m_from.Value() },
        { "groups", std::to_string(aRepair.m_groups) },
        { "to", aModel.Value() },
        { "to-demand", std::to_string(demand.at(aModel)) },
        { "to-ready", std::to_string(CountReadyGroups(aService.m_id)[aModel]) },
        { "token", std::to_string(m_token.Value()) } });
  DomainRepair begun;
  begun.m_service = aService.m_id;
  begun.m_model = aModel;
  begun.m_endedAt = m_now;
  if (aRepair.m_groups > 0) {
    RecordMove(aRepair.m_domain, aModel);
    const DomainChange change{ aRepair.m_from, aRepair.m_groups, aModel };
    for (const ReplicaGroup* source :
         ChooseSources(aService.m_id, aRepair.m_domain, change)) {
      EndGroup(*source, "capacity-moved", true);
      m_endingGroups[source->m_id].m_isMove = true;
      begun.m_sources.push_back(source->m_id);
    }
  }
  m_shortageRepairs[aRepair.m_domain] = std::move(begun);
}

// Drops repairs whose group could not be formed.
void GroupControl::ExpireShortageRepairs()
{
  for (auto entry = m_shortageRepairs.begin();
       entry != m_shortageRepairs.end();) {
    DomainRepair& repair = entry->second;
    const bool isEnding = std::any_of(
      repair.m_sources.begin(),
      repair.m_sources.end(),
      [&](const GroupId& aId) {
        const auto ending = m_endingGroups.find(aId);
        return ending != m_endingGroups.end() && !ending->second.m_isEnded;
      });
    repair.m_endedAt = isEnding ? m_now : repair.m_endedAt;
    entry = m_now - repair.m_endedAt > kRepairFormingTime
              ? m_shortageRepairs.erase(entry)
              : std::next(entry);
  }
}

} // namespace briarglade
