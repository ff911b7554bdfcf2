// Moves hosts between models towards the target layout: stages the weights on
// hosts that still serve, then ends their groups. group_forming.cc forms the
// groups of the other model. docs/design/capacity.md describes the rules.

#include "briarglade/grouping/group_control.h"

#include <algorithm>
#include <string>
#include <utility>

#include "briarglade/grouping/internal/order_timing.h"

namespace briarglade {

using internal::kLoadTimeDivisorBeforeTraffic;
using internal::kOrderRetryTime;

namespace {

// Interval at which target layouts are planned. A plan examines every server,
// of which there are thousands.
constexpr Millis kPlanPeriod = Millis(250);
// A new lease holder moves nothing for this long: the work that nodes report
// must have reached it, and it must have seen for as long as kDomainSettleTime
// which domains are in repair. Orders of the earlier holder that are carried
// out later still don't matter, as each order states the server's expected
// sequence.
constexpr Millis kHolderSettleTime = Millis(2'000);
// Moves begin if the smallest ratio of capacity to demand would grow by this
// factor, and end once less than kRemainingGain is left to gain. The work of a
// few requests per second varies by about a fifth between measurements.
constexpr double kWorthwhileGain = 1.25;
// The same while a model has less capacity than demand: its requests wait or
// are refused.
constexpr double kWorthwhileGainInNeed = 1.15;
constexpr double kRemainingGain = 1.05;
// Twice the capacity that the demand needs is ample: more capacity would not
// make requests noticeably faster.
constexpr double kAmpleRatio = 2;
// The gain must be seen for this long.
constexpr Millis kConfirmTime = Millis(500);
// A domain whose free hosts have changed within this time may be in repair.
constexpr Millis kDomainSettleTime = Millis(2'000);
// After groups have moved to a model, none move away from it for the shortest
// reversal time; a move costs a load of up to 16 s for each host. If the demand
// keeps swinging, the time doubles with each reversal up to the longest one.
constexpr Millis kShortestReversal = Millis(30'000);
constexpr Millis kLongestReversal = Millis(240'000);
// Groups that may end at the same time for moves, as a fraction of all groups
// of their model.
constexpr uint32_t kMoveDivisor = 4;
// A move is abandoned if for this long no group ends or forms for it.
constexpr Millis kMoveIdleTime = Millis(5'000);
// Orders to stage and requests for reports in one step of control, so that
// thousands of servers are not addressed at once.
constexpr uint32_t kStageMessagesPerTick = 32;
// A stage order that has had no effect is repeated this long after the load
// should have ended.
constexpr Millis kStageGrace = Millis(3'000);

// Returns whether the operators expect the same share of the work for each
// model, and so have not stated a mix that the first layout could fit.
bool HasEqualShares(const EngineSpec& aEngine)
{
  const double first = aEngine.m_models.front().m_share;
  return std::all_of(
    aEngine.m_models.begin(),
    aEngine.m_models.end(),
    [first](const ReplicaModel& aModel) { return aModel.m_share == first; });
}

std::string ToText(double aValue)
{
  // Two digits after the point.
  constexpr int64_t kHundred = 100;
  const auto scaled = static_cast<int64_t>(aValue * kHundred);
  const std::string digits = std::to_string(scaled % kHundred);
  return std::to_string(scaled / kHundred) + "." +
         (digits.size() < 2 ? "0" : "") + digits;
}

} // namespace

// Returns the hosts and groups of each domain as they are now.
CapacityInput GroupControl::SurveyCapacity(const ServiceSpec& aService) const
{
  CapacityInput input;
  input.m_engine = &*aService.m_engine;
  input.m_demand = DemandInGroups(m_view->m_config, aService, m_view->m_work);
  for (const auto& [host, server] : m_view->m_servers) {
    const bool isUsable = server.m_service == aService.m_id &&
                          !server.m_domain.IsEmpty() && !server.m_isDraining &&
                          !server.m_hasEntryExpired && !IsDead(host) &&
                          m_view->m_zonesOut.count(server.m_zone) == 0;
    if (isUsable) {
      ++input.m_domains[server.m_domain].m_hosts;
    }
  }
  for (const auto& [id, group] : m_view->m_groups) {
    const bool isCounted = group.m_service == aService.m_id &&
                           IsServing(group) && m_endingGroups.count(id) == 0 &&
                           m_formingGroups.count(id) == 0 && !IsZoneOut(group);
    if (isCounted) {
      ++input.m_domains[group.m_domain].m_groups[group.m_model];
    }
  }
  for (const auto& [id, forming] : m_formingGroups) {
    if (forming.m_group.m_service == aService.m_id &&
        !IsZoneOut(forming.m_group)) {
      ++input.m_domains[forming.m_group.m_domain]
          .m_groups[forming.m_group.m_model];
    }
  }
  return input;
}

// Plans the target layout, and decides whether to move groups towards it.
void GroupControl::UpdateCapacity(const ServiceSpec& aService)
{
  ServiceCapacity& capacity = m_capacity[aService.m_id];
  if (m_now - capacity.m_plannedAt < kPlanPeriod) {
    return;
  }
  capacity.m_plannedAt = m_now;
  capacity.m_models.clear();
  for (const ReplicaModel& model : aService.m_engine->m_models) {
    capacity.m_models.push_back(model.m_id);
  }
  capacity.m_input = SurveyCapacity(aService);
  capacity.m_plan = PlanCapacity(capacity.m_input);
  capacity.m_serving = CountServingGroups(aService.m_id);
  const double now = capacity.m_plan.m_currentRatio;
  const double target = capacity.m_plan.m_targetRatio;
  const bool isKnown = !capacity.m_input.m_demand.empty();
  const double worthwhile = now < 1 ? kWorthwhileGainInNeed : kWorthwhileGain;
  const bool isUnfit =
    isKnown && now < kAmpleRatio && target > now * worthwhile;
  if (!isUnfit) {
    capacity.m_unfitSince.reset();
  } else if (!capacity.m_unfitSince) {
    capacity.m_unfitSince = m_now;
  }
  const bool wasActive = capacity.m_isActive;
  capacity.m_isActive =
    wasActive ? isKnown && target > now * kRemainingGain
              : isUnfit && m_now - *capacity.m_unfitSince >= kConfirmTime &&
                  m_now - m_leaseAcquiredAt >= kHolderSettleTime;
  // Otherwise hosts of a lost group would go to the model that is the quickest
  // to repair, and would have to move back. Where the operators have stated a
  // mix, the first layout fits it, and the quickest repair serves callers
  // better.
  capacity.m_isLayoutBinding =
    isKnown && now < kAmpleRatio && HasEqualShares(*aService.m_engine);
  if (capacity.m_isActive != wasActive) {
    std::vector<LogField> fields = {
      { "service", aService.m_id.Value() },
      { "moving", capacity.m_isActive ? "true" : "false" },
      { "ratio", ToText(now) },
      { "target-ratio", ToText(target) },
      { "token", std::to_string(m_token.Value()) }
    };
    for (const auto& [model, demand] : capacity.m_input.m_demand) {
      fields.push_back({ "demand-" + model.Value(), ToText(demand) });
    }
    Log("capacity-plan", std::move(fields));
  }
}

// Returns whether a group of the domain is being formed, ended or suspected, or
// the domain's free hosts have just changed. Repairs come before moves.
bool GroupControl::IsDisturbed(const DomainId& aDomain) const
{
  const auto isThere = [&](const auto& aEntry) {
    return aEntry.second.m_group.m_domain == aDomain;
  };
  const auto isSuspected = [&](const GroupId& aGroup) {
    const auto group = m_view->m_groups.find(aGroup);
    return group != m_view->m_groups.end() && group->second.m_domain == aDomain;
  };
  const auto free = m_freeHosts.find(aDomain);
  return std::any_of(m_formingGroups.begin(), m_formingGroups.end(), isThere) ||
         std::any_of(m_endingGroups.begin(), m_endingGroups.end(), isThere) ||
         std::any_of(m_view->m_suspectedGroups.begin(),
                     m_view->m_suspectedGroups.end(),
                     isSuspected) ||
         (free != m_freeHosts.end() &&
          m_now - free->second.m_since < kDomainSettleTime);
}

uint32_t GroupControl::CountMoves() const
{
  return static_cast<uint32_t>(std::count_if(
    m_endingGroups.begin(), m_endingGroups.end(), [](const auto& aEntry) {
      return aEntry.second.m_isMove && !aEntry.second.m_isEnded;
    }));
}

std::vector<HostId> GroupControl::MembersWithout(const ReplicaGroup& aGroup,
                                                 const ModelId& aModel) const
{
  std::vector<HostId> without;
  for (const HostId& member : aGroup.m_members) {
    const auto server = m_view->m_servers.find(member);
    if (server == m_view->m_servers.end() ||
        !server->second.HasStaged(aModel)) {
      without.push_back(member);
    }
  }
  return without;
}

// Returns the groups that a change gives up: those that lack the fewest staged
// weights, so that a new holder continues what the earlier one has begun. Empty
// if there are not enough healthy groups.
std::vector<const ReplicaGroup*> GroupControl::ChooseSources(
  const ServiceId& aService,
  const DomainId& aDomain,
  const DomainChange& aChange) const
{
  std::vector<std::pair<size_t, const ReplicaGroup*>> groups;
  for (const auto& [id, group] : m_view->m_groups) {
    const bool isHealthy =
      group.m_service == aService && group.m_domain == aDomain &&
      group.m_model == aChange.m_from && IsServing(group) && !group.m_isLeaving;
    if (isHealthy) {
      groups.emplace_back(MembersWithout(group, aChange.m_to).size(), &group);
    }
  }
  std::vector<const ReplicaGroup*> sources;
  if (groups.size() < aChange.m_groups) {
    return sources;
  }
  std::stable_sort(
    groups.begin(), groups.end(), [](const auto& aA, const auto& aB) {
      return aA.first < aB.first;
    });
  for (uint32_t i = 0; i < aChange.m_groups; ++i) {
    sources.push_back(groups[i].second);
  }
  return sources;
}

// Orders a host to load a model's weights beside its work, unless it was
// ordered to already, and asks for the reports that this needs. Returns false
// if the load budget or the number of messages in one step is used up.
bool GroupControl::StageModel(const HostId& aHost, const ReplicaModel& aModel)
{
  const auto server = m_view->m_servers.find(aHost);
  if (server == m_view->m_servers.end() || IsDead(aHost)) {
    return true;
  }
  const Millis load = m_view->m_hasTraffic
                        ? aModel.m_loadTime
                        : aModel.m_loadTime / kLoadTimeDivisorBeforeTraffic;
  const auto ordered = m_stageOrders.find(aHost);
  const bool isOrdered =
    ordered != m_stageOrders.end() && ordered->second.m_model == aModel.m_id;
  const bool isRefused = isOrdered && ordered->second.m_isRefused;
  const Millis age = isOrdered ? m_now - ordered->second.m_orderedAt : Millis();
  const bool isPending =
    isOrdered && age < (isRefused ? kOrderRetryTime : load + kStageGrace);
  if (isPending && age < load && !isRefused) {
    return true;
  }
  if (m_stageMessagesInTick >= kStageMessagesPerTick) {
    return false;
  }
  if (isPending || !server->second.m_membershipHistory.IsReported()) {
    ++m_stageMessagesInTick;
    RequestReport(aHost);
    return true;
  }
  if (!m_loadBudget.AllowsStaging(m_now)) {
    return false;
  }
  ++m_stageMessagesInTick;
  m_loadBudget.RecordLoads(m_now, 1);
  m_stageOrders[aHost] = StageOrder{ aModel.m_id, m_now, false };
  ReplicaGroup target;
  target.m_model = aModel.m_id;
  ++m_capacityCounters.m_stageOrders;
  Order(OrderKind::Stage, aHost, target);
  return true;
}

// Before the first request, stages on the members of each open group the
// weights of the model that would most likely take over their hosts: the one
// with the largest expected share of the others. The first correction after
// traffic has started then needs no load.
void GroupControl::StageBeforeTraffic(const ServiceSpec& aService)
{
  for (const auto& [id, group] : m_view->m_groups) {
    const bool isCandidate = group.m_service == aService.m_id &&
                             IsServing(group) && !group.m_isLeaving &&
                             m_endingGroups.count(id) == 0 &&
                             m_formingGroups.count(id) == 0;
    const ReplicaModel* other = nullptr;
    for (const ReplicaModel& model : aService.m_engine->m_models) {
      const bool isLarger =
        other == nullptr || model.m_share * model.m_timeFactor >
                              other->m_share * other->m_timeFactor;
      other = model.m_id != group.m_model && isLarger ? &model : other;
    }
    if (!isCandidate || other == nullptr) {
      continue;
    }
    for (const HostId& host : MembersWithout(group, other->m_id)) {
      if (!StageModel(host, *other)) {
        return;
      }
    }
  }
}

// Ends the groups of a change whose members all hold the other model's weights.
void GroupControl::MoveHosts(const ServiceSpec& aService,
                             const DomainId& aDomain,
                             const DomainChange& aChange,
                             const std::vector<const ReplicaGroup*>& aSources)
{
  ServiceCapacity& capacity = m_capacity[aService.m_id];
  const auto demandOf = [&](const ModelId& aModel) {
    const auto found = capacity.m_input.m_demand.find(aModel);
    return found == capacity.m_input.m_demand.end() ? 0 : found->second;
  };
  Log(
    "capacity-move",
    { { "service", aService.m_id.Value() },
      { "domain", aDomain.Value() },
      { "from", aChange.m_from.Value() },
      { "groups", std::to_string(aChange.m_groups) },
      { "to", aChange.m_to.Value() },
      { "from-demand", ToText(demandOf(aChange.m_from)) },
      { "to-demand", ToText(demandOf(aChange.m_to)) },
      { "ratio", ToText(capacity.m_plan.m_currentRatio) },
      { "target-ratio", ToText(capacity.m_plan.m_targetRatio) },
      { "plan-age-ms", std::to_string((m_now - capacity.m_plannedAt).Count()) },
      { "token", std::to_string(m_token.Value()) } });
  const Millis sinceLast = m_now - capacity.m_lastMoveAt;
  if (capacity.m_lastGainer.IsEmpty() || sinceLast > kLongestReversal) {
    capacity.m_reversalTime = kShortestReversal;
  } else if (capacity.m_lastGainer != aChange.m_to) {
    capacity.m_reversalTime =
      std::min(capacity.m_reversalTime * 2, kLongestReversal);
  }
  RecordMove(aDomain, aChange.m_to);
  capacity.m_lastGainer = aChange.m_to;
  capacity.m_lastMoveAt = m_now;
  for (const ReplicaGroup* source : aSources) {
    EndGroup(*source, "capacity-moved", true);
    m_endingGroups[source->m_id].m_isMove = true;
    // Further changes in this step must not count the group.
    --capacity.m_input.m_domains[aDomain].m_groups[aChange.m_from];
  }
}

void GroupControl::RecordMove(const DomainId& aDomain, const ModelId& aModel)
{
  ++m_capacityCounters.m_movesBegun;
  const auto [entry, isNew] =
    m_pendingMoves.insert_or_assign(aDomain, PendingMove{ aModel, m_now });
  m_capacityCounters.m_movesAbandoned += isNew ? 0 : 1;
}

// Drops moves for which no group ends or forms any more.
void GroupControl::ProgressMoves()
{
  for (auto entry = m_pendingMoves.begin(); entry != m_pendingMoves.end();) {
    const DomainId& domain = entry->first;
    PendingMove& move = entry->second;
    const bool isEnding = std::any_of(
      m_endingGroups.begin(), m_endingGroups.end(), [&](const auto& aEntry) {
        return aEntry.second.m_isMove && !aEntry.second.m_isEnded &&
               aEntry.second.m_group.m_domain == domain;
      });
    const bool isForming = std::any_of(
      m_formingGroups.begin(), m_formingGroups.end(), [&](const auto& aEntry) {
        return aEntry.second.m_group.m_domain == domain &&
               aEntry.second.m_group.m_model == move.m_to;
      });
    move.m_progressedAt = isEnding || isForming ? m_now : move.m_progressedAt;
    if (m_now - move.m_progressedAt <= kMoveIdleTime) {
      ++entry;
      continue;
    }
    ++m_capacityCounters.m_movesAbandoned;
    entry = m_pendingMoves.erase(entry);
  }
}

CapacityStatus GroupControl::Capacity() const
{
  CapacityStatus status = m_capacityCounters;
  if (!m_isActive) {
    return status;
  }
  const auto valueOf = [](const auto& aValues, const ModelId& aModel) {
    const auto found = aValues.find(aModel);
    return found == aValues.end() ? 0 : found->second;
  };
  for (const auto& [service, capacity] : m_capacity) {
    GroupCounts target;
    for (const auto& [domain, counts] : capacity.m_plan.m_domains) {
      for (const auto& [model, count] : counts) {
        target[model] += count;
      }
    }
    for (const ModelId& model : capacity.m_models) {
      status.m_models.push_back({ service,
                                  model,
                                  valueOf(capacity.m_input.m_demand, model),
                                  valueOf(capacity.m_serving, model),
                                  valueOf(target, model) });
    }
  }
  return status;
}

void GroupControl::MoveGroups(const ServiceSpec& aService)
{
  struct Candidate
  {
    size_t m_missing = 0;
    const DomainId* m_domain = nullptr;
    DomainChange m_change;
    std::vector<const ReplicaGroup*> m_sources;
  };
  ServiceCapacity& capacity = m_capacity[aService.m_id];
  std::map<DomainId, uint32_t> free;
  for (const auto& [host, server] : m_view->m_servers) {
    if (server.m_service == aService.m_id && IsFree(server)) {
      ++free[server.m_domain];
    }
  }
  std::vector<Candidate> candidates;
  for (const auto& [domain, counts] : capacity.m_plan.m_domains) {
    const std::optional<DomainChange> change =
      NextChange(capacity.m_input, capacity.m_plan, domain, free[domain]);
    const bool isReversal =
      change && change->m_from == capacity.m_lastGainer &&
      m_now - capacity.m_lastMoveAt < capacity.m_reversalTime;
    if (!change || isReversal || IsDisturbed(domain)) {
      continue;
    }
    Candidate candidate{
      0, &domain, *change, ChooseSources(aService.m_id, domain, *change)
    };
    for (const ReplicaGroup* source : candidate.m_sources) {
      candidate.m_missing += MembersWithout(*source, change->m_to).size();
    }
    if (!candidate.m_sources.empty()) {
      candidates.push_back(std::move(candidate));
    }
  }
  // Domains that lack the fewest loads come first, so that one move after the
  // other is completed rather than all at the end.
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [](const Candidate& aA, const Candidate& aB) {
                     return aA.m_missing < aB.m_missing;
                   });
  const GroupCounts total = CountGroups(aService.m_id, DomainId());
  for (const Candidate& candidate : candidates) {
    const DomainChange& change = candidate.m_change;
    const auto count = total.find(change.m_from);
    const uint32_t atOnce = std::max(
      change.m_groups, count == total.end() ? 0 : count->second / kMoveDivisor);
    if (candidate.m_missing == 0) {
      // Earlier moves of this step may have taken what this one counted on.
      const bool isStillDue = NextChange(capacity.m_input,
                                         capacity.m_plan,
                                         *candidate.m_domain,
                                         free[*candidate.m_domain])
                                .has_value();
      if (isStillDue && CountMoves() + change.m_groups <= atOnce) {
        MoveHosts(aService, *candidate.m_domain, change, candidate.m_sources);
      }
      continue;
    }
    const ReplicaModel& model = *aService.m_engine->FindModel(change.m_to);
    for (const ReplicaGroup* source : candidate.m_sources) {
      for (const HostId& host : MembersWithout(*source, change.m_to)) {
        if (!StageModel(host, model)) {
          return;
        }
      }
    }
  }
}

// Allocates hosts to the models of each service that has several.
void GroupControl::AllocateHosts()
{
  m_stageMessagesInTick = 0;
  for (const auto& [id, service] : m_view->m_config.m_services) {
    if (!service.m_engine || service.m_engine->m_models.size() < 2) {
      m_capacity.erase(id);
      continue;
    }
    ConfigureLoadBudget(*service.m_engine);
    if (!m_view->m_hasTraffic) {
      // Staging replaces the weights that a host needs to rejoin its own model
      // after a restart. That pays only if a correction is likely.
      if (HasEqualShares(*service.m_engine)) {
        StageBeforeTraffic(service);
      }
      continue;
    }
    const Millis plannedAt = m_capacity[id].m_plannedAt;
    UpdateCapacity(service);
    const bool isPlanned = m_capacity[id].m_plannedAt != plannedAt;
    ExpireShortageRepairs();
    if (isPlanned && HasEqualShares(*service.m_engine)) {
      RepairShortage(service);
    }
    if (isPlanned && m_capacity[id].m_isActive) {
      MoveGroups(service);
    }
  }
}

} // namespace briarglade
