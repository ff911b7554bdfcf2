// Forms groups and prepares spare hosts.

#include "briarglade/grouping/group_control.h"

#include <algorithm>
#include <string>
#include <utility>

#include "briarglade/grouping/internal/order_timing.h"

namespace briarglade {

using internal::kLoadTimeDivisorBeforeTraffic;
using internal::kOrderRetryTime;

namespace {

// Shortest time in which a host joins a group, and the interval at which
// members that should be ready are probed after that.
constexpr Millis kShortestJoin = Millis(200);
constexpr Millis kReadyProbePeriod = Millis(50);
constexpr Millis kSlowReadyProbePeriod = Millis(200);
// A join that takes longer than this is a slow one and is probed less often.
constexpr Millis kQuickJoin = Millis(400);
// Members that load weights are probed at this longer interval until
// kReadyMargin before they should be ready.
constexpr Millis kLoadingProbePeriod = Millis(1'000);
constexpr Millis kReadyMargin = Millis(200);
// A forming group is abandoned if it is not ready after twice the load time
// plus this time.
constexpr Millis kFormingGrace = Millis(4'000);
// Hosts that return together do so within this time. Weights are loaded only
// once the set of free hosts has not changed for as long.
constexpr Millis kSettleTime = Millis(1'000);
// Spares change their weights only if the set of spare hosts has not changed
// for this long, and at most once in this time. A load takes about as long.
constexpr Millis kSwitchTime = Millis(15'000);
// A spare that was ordered to stand by counts as ready for this long without a
// report of its own.
constexpr Millis kStandbySettleTime = Millis(3'000);
// Loads that may start at once beyond the configured rate. This is only part of
// what the platform's limit allows; the remainder is a margin for orders that
// are carried out late.
constexpr uint32_t kLoadSlack = 1;
constexpr double kMillisPerSecond = 1'000;

ReplicaGroup MakeGroup(const ServiceId& aService,
                       const DomainId& aDomain,
                       const PlannedGroup& aPlanned,
                       Generation aGeneration)
{
  ReplicaGroup group;
  group.m_id = MakeGroupId(aPlanned.m_model, aGeneration);
  group.m_generation = aGeneration;
  group.m_service = aService;
  group.m_model = aPlanned.m_model;
  group.m_domain = aDomain;
  group.m_members = aPlanned.m_members;
  return group;
}

bool IsMemberOf(const ServerRecord& aServer, const ReplicaGroup& aGroup)
{
  return aServer.m_groupMembership &&
         aServer.m_groupMembership->m_group == aGroup.m_id &&
         aServer.m_groupMembership->m_generation == aGroup.m_generation;
}

} // namespace

// Orders the members that have not accepted yet to join. Returns false if one
// of them is in another group.
bool GroupControl::OrderJoins(FormingGroup& aForming)
{
  for (const HostId& member : aForming.m_group.m_members) {
    const auto server = m_view->m_servers.find(member);
    if (server == m_view->m_servers.end() ||
        aForming.m_joined.count(member) > 0) {
      continue;
    }
    const auto ordered = aForming.m_orderedAt.find(member);
    const bool isFirst = ordered == aForming.m_orderedAt.end();
    if (!isFirst && m_now - ordered->second < kOrderRetryTime) {
      continue;
    }
    const ServerRecord& record = server->second;
    if (IsMemberOf(record, aForming.m_group)) {
      // It has carried out an order that it has not answered.
      aForming.m_joined.insert(member);
    } else if (!record.m_membershipHistory.IsReported()) {
      RequestReport(member);
    } else if (IsInLivingGroup(record)) {
      return false;
    } else {
      aForming.m_orderedAt[member] = m_now;
      Order(OrderKind::Join, member, aForming.m_group);
    }
  }
  return true;
}

// Returns whether every member itself has reported that it is ready.
bool GroupControl::CheckReady(FormingGroup& aForming)
{
  for (const HostId& member : aForming.m_group.m_members) {
    const auto server = m_view->m_servers.find(member);
    const bool isReady =
      server != m_view->m_servers.end() && server->second.m_groupMembership &&
      server->second.m_groupMembership->m_group == aForming.m_group.m_id &&
      server->second.m_groupMembership->m_generation ==
        aForming.m_group.m_generation &&
      server->second.m_groupMembership->m_phase == GroupPhase::Ready;
    if (isReady) {
      aForming.m_ready.insert(member);
    }
  }
  return aForming.m_ready.size() == aForming.m_group.m_members.size();
}

void GroupControl::OrderOpen(FormingGroup& aForming)
{
  if (m_now - aForming.m_openOrderedAt < kOrderRetryTime) {
    return;
  }
  aForming.m_openOrderedAt = m_now;
  Order(OrderKind::Open, aForming.m_group.Leader(), aForming.m_group);
}

// Returns whether the members that are not ready yet should be probed now.
bool GroupControl::IsProbeDue(const FormingGroup& aForming) const
{
  const Millis age = m_now - aForming.m_since;
  const bool isLoading = m_now + kReadyMargin < aForming.m_readyAt;
  const Millis slowPeriod =
    isLoading ? kLoadingProbePeriod : kSlowReadyProbePeriod;
  const Millis period = age > kQuickJoin ? slowPeriod : kReadyProbePeriod;
  return age >= kShortestJoin && m_now - aForming.m_probedAt >= period;
}

// Returns whether a member of a forming group is gone or leaving.
bool GroupControl::HasLostMember(const ReplicaGroup& aGroup) const
{
  const auto isLost = [this](const HostId& aHost) {
    const auto server = m_view->m_servers.find(aHost);
    return server == m_view->m_servers.end() || IsDead(aHost) ||
           server->second.m_isDraining;
  };
  return std::any_of(aGroup.m_members.begin(), aGroup.m_members.end(), isLost);
}

// Returns whether a member of a forming group has restarted under its id since
// it was chosen, and so knows nothing of the group.
bool GroupControl::HasRestartedMember(const ReplicaGroup& aGroup) const
{
  return StartsOf(aGroup.m_members, m_view->m_servers) != aGroup.m_starts;
}

// Advances each forming group: sends orders and probes that are due, and ends
// groups that failed to form.
void GroupControl::ProgressForming()
{
  std::vector<std::pair<ReplicaGroup, const char*>> failed;
  for (auto entry = m_formingGroups.begin(); entry != m_formingGroups.end();) {
    FormingGroup& forming = entry->second;
    const ReplicaGroup& group = forming.m_group;
    const auto seen = m_view->m_groups.find(group.m_id);
    const bool isServing =
      seen != m_view->m_groups.end() && IsServing(seen->second);
    if (isServing) {
      Log("group-open",
          { { "group", group.m_id.Value() },
            { "took-ms", std::to_string((m_now - forming.m_since).Count()) } });
      m_openedGroups[group.m_id] = OpenedGroup{ group, m_now };
      const auto move = m_pendingMoves.find(group.m_domain);
      if (move != m_pendingMoves.end() && move->second.m_to == group.m_model) {
        ++m_capacityCounters.m_movesCompleted;
        m_pendingMoves.erase(move);
      }
      entry = m_formingGroups.erase(entry);
      continue;
    }
    const EngineSpec* engine = EngineOf(group.m_service);
    const ReplicaModel* model =
      engine == nullptr ? nullptr : engine->FindModel(group.m_model);
    const Millis longest =
      (model == nullptr ? Millis() : model->m_loadTime * 2) + kFormingGrace;
    if (HasLostMember(group) || model == nullptr) {
      failed.emplace_back(group, "member-lost");
    } else if (HasRestartedMember(group)) {
      failed.emplace_back(group, "member-restarted");
    } else if (m_now - forming.m_since > longest) {
      failed.emplace_back(group, "not-ready");
    }
    if (model == nullptr) {
      ++entry;
      continue;
    }
    if (forming.m_isOpened) {
      // Only the leader reports when it starts to serve.
      if (m_now - forming.m_openedAt >= engine->m_formationTime &&
          m_now - forming.m_openProbedAt >= kReadyProbePeriod) {
        forming.m_openProbedAt = m_now;
        m_effects.emplace_back(ProbeHost{ group.Leader() });
      }
      ++entry;
      continue;
    }
    if (!OrderJoins(forming)) {
      failed.emplace_back(group, "member-taken");
    }
    const bool isReady = CheckReady(forming);
    if (isReady && forming.m_isInherited) {
      failed.emplace_back(group, "formed-by-earlier-holder");
    } else if (isReady) {
      OrderOpen(forming);
    } else if (forming.m_joined.size() == group.m_members.size() &&
               IsProbeDue(forming)) {
      // Updates from the store are delayed, so probe the members that are not
      // ready.
      forming.m_probedAt = m_now;
      for (const HostId& member : group.m_members) {
        if (forming.m_ready.count(member) == 0) {
          m_effects.emplace_back(ProbeHost{ member });
        }
      }
    }
    ++entry;
  }
  for (const auto& [group, reason] : failed) {
    EndGroup(group, reason);
  }
}

// Waits for groups that an earlier lease holder has formed but not opened,
// whose hosts may still be loading weights. Once their members are ready, such
// a group ends and the hosts form a new one, because a late order of the
// earlier holder could remove a host from the group that it knows.
void GroupControl::AwaitInheritedGroups()
{
  for (const auto& [id, group] : m_view->m_groups) {
    const bool isUnopened = group.m_leaderPhase == GroupPhase::Joining ||
                            group.m_leaderPhase == GroupPhase::Ready;
    if (!isUnopened || m_formingGroups.count(id) > 0 ||
        m_endingGroups.count(id) > 0) {
      continue;
    }
    const bool hasAll =
      std::none_of(group.m_members.begin(),
                   group.m_members.end(),
                   [](const HostId& aHost) { return aHost.IsEmpty(); });
    if (!hasAll) {
      continue;
    }
    FormingGroup forming;
    forming.m_group = group;
    forming.m_isInherited = true;
    forming.m_since = m_now;
    for (const HostId& member : group.m_members) {
      forming.m_orderedAt[member] = m_now;
      forming.m_joined.insert(member);
    }
    m_formingGroups.emplace(id, std::move(forming));
  }
}

void GroupControl::StartForming(const ServiceSpec& aService,
                                ReplicaGroup aGroup,
                                uint32_t aLoads)
{
  Log("group-forming",
      { { "group", aGroup.m_id.Value() },
        { "service", aService.m_id.Value() },
        { "domain", aGroup.m_domain.Value() },
        { "leader", aGroup.Leader().Value() },
        { "token", std::to_string(m_token.Value()) },
        { "members", JoinIds(aGroup.m_members) },
        { "loads", std::to_string(aLoads) } });
  FormingGroup forming;
  forming.m_since = m_now;
  forming.m_openOrderedAt = m_now - kOrderRetryTime;
  forming.m_group = std::move(aGroup);
  forming.m_group.m_starts =
    StartsOf(forming.m_group.m_members, m_view->m_servers);
  forming.m_loads = aLoads;
  const ReplicaModel* model =
    aService.m_engine->FindModel(forming.m_group.m_model);
  if (model != nullptr) {
    const Millis load = m_view->m_hasTraffic
                          ? model->m_loadTime
                          : model->m_loadTime / kLoadTimeDivisorBeforeTraffic;
    forming.m_readyAt = m_now + (aLoads > 0 ? load : model->m_warmTime);
  }
  const GroupId id = forming.m_group.m_id;
  OrderJoins(m_formingGroups.emplace(id, std::move(forming)).first->second);
}

// Orders spare hosts to stand by for a model. A host whose last group had the
// model joins the next one without delay.
void GroupControl::PrepareSpares(const GroupPlanInput& aInput)
{
  for (const PlannedSpare& spare : PlanSpares(aInput)) {
    if (spare.m_needsLoad && m_loadBudget.AllowedLoads(m_now) == 0) {
      continue;
    }
    m_loadBudget.RecordLoads(m_now, spare.m_needsLoad ? 1 : 0);
    m_standbys[spare.m_host] = Standby{ spare.m_model, m_now };
    if (spare.m_needsLoad) {
      m_freeHosts[m_view->m_servers.at(spare.m_host).m_domain].m_switchedAt =
        m_now;
    }
    ReplicaGroup group;
    group.m_generation = NextGeneration();
    group.m_id = MakeStandbyId(spare.m_model, group.m_generation);
    group.m_model = spare.m_model;
    group.m_members = { spare.m_host };
    Order(OrderKind::Join, spare.m_host, group);
  }
}

FreeHost GroupControl::MakeFreeHost(const ServerRecord& aServer) const
{
  FreeHost host;
  host.m_host = aServer.m_host;
  host.m_staged = aServer.m_staged;
  // A server that has left a group still joins the next one of the model
  // without delay.
  host.m_warmModel = ModelOf(aServer.m_membershipHistory.LastGroup());
  // The report may not show the effect of a recent order to stand by yet.
  const auto standby = m_standbys.find(aServer.m_host);
  if (standby != m_standbys.end() &&
      m_now - standby->second.m_orderedAt < kStandbySettleTime) {
    host.m_warmModel = standby->second.m_model;
    host.m_isStandbyPending = true;
  }
  return host;
}

// Returns whether the domain's set of free hosts has not changed for
// kSettleTime. Records changes of the set.
bool GroupControl::HasSettled(const DomainId& aDomain,
                              const std::vector<const ServerRecord*>& aFree)
{
  std::vector<HostId> hosts;
  for (const ServerRecord* server : aFree) {
    hosts.push_back(server->m_host);
  }
  FreeHosts& known = m_freeHosts[aDomain];
  if (known.m_hosts != hosts) {
    known.m_hosts = std::move(hosts);
    known.m_since = m_now;
  }
  return m_now - known.m_since >= kSettleTime;
}

void GroupControl::FormInDomain(const ServiceSpec& aService,
                                const std::vector<const ServerRecord*>& aFree)
{
  GroupPlanInput input;
  input.m_engine = &*aService.m_engine;
  input.m_groups = CountGroups(aService.m_id, DomainId());
  input.m_groupsInDomain = CountGroups(aService.m_id, aFree.front()->m_domain);
  input.m_demand = m_view->m_demand;
  const auto capacity = m_capacity.find(aService.m_id);
  const bool isPlanned =
    capacity != m_capacity.end() &&
    (capacity->second.m_isActive || capacity->second.m_isLayoutBinding);
  if (isPlanned) {
    input.m_scarceModel = capacity->second.m_scarceModel;
    const auto& layout = capacity->second.m_plan.m_domains;
    const auto wanted = layout.find(aFree.front()->m_domain);
    if (wanted != layout.end()) {
      input.m_wanted = wanted->second;
    }
  }
  const auto repair = m_shortageRepairs.find(aFree.front()->m_domain);
  const bool isShortageRepair = repair != m_shortageRepairs.end() &&
                                repair->second.m_service == aService.m_id;
  if (isShortageRepair) {
    const ModelId& model = repair->second.m_model;
    input.m_scarceModel = model;
    input.m_wanted =
      GroupCounts{ { model, input.m_groupsInDomain[model] + 1 } };
  }
  const bool hasSettled =
    HasSettled(aFree.front()->m_domain, aFree) && !isShortageRepair;
  input.m_loadsAllowed = hasSettled ? m_loadBudget.AllowedLoads(m_now) : 0;
  const FreeHosts& known = m_freeHosts[aFree.front()->m_domain];
  input.m_maySwitchSpares = m_now - known.m_since >= kSwitchTime &&
                            m_now - known.m_switchedAt >= kSwitchTime;
  for (const ServerRecord* server : aFree) {
    if (server->m_membershipHistory.IsReported()) {
      input.m_free.push_back(MakeFreeHost(*server));
    } else {
      RequestReport(server->m_host);
    }
  }
  const std::vector<PlannedGroup> planned = PlanGroups(input);
  for (const PlannedGroup& plan : planned) {
    m_shortageRepairs.erase(aFree.front()->m_domain);
    m_loadBudget.RecordLoads(m_now, plan.m_loads);
    StartForming(
      aService,
      MakeGroup(aService.m_id, aFree.front()->m_domain, plan, NextGeneration()),
      plan.m_loads);
    for (const HostId& member : plan.m_members) {
      input.m_free.erase(std::remove_if(input.m_free.begin(),
                                        input.m_free.end(),
                                        [&](const FreeHost& aHost) {
                                          return aHost.m_host == member;
                                        }),
                         input.m_free.end());
    }
  }
  if (hasSettled) {
    PrepareSpares(input);
  }
}

void GroupControl::ConfigureLoadBudget(const EngineSpec& aEngine)
{
  const double seconds =
    static_cast<double>(m_bounds.m_loadWindow.Count()) / kMillisPerSecond;
  m_loadBudget.Configure(
    m_bounds.m_loadWindow,
    static_cast<uint32_t>(aEngine.m_loadsPerSecond * seconds) + kLoadSlack);
  m_loadBudget.SetUnbounded(!m_view->m_hasTraffic);
}

void GroupControl::FormGroups()
{
  for (const auto& [id, service] : m_view->m_config.m_services) {
    if (!service.m_engine) {
      continue;
    }
    ConfigureLoadBudget(*service.m_engine);
    std::map<DomainId, std::vector<const ServerRecord*>> free;
    for (const auto& [host, server] : m_view->m_servers) {
      if (server.m_service == id && IsFree(server)) {
        free[server.m_domain].push_back(&server);
      }
    }
    for (const auto& [domain, servers] : free) {
      FormInDomain(service, servers);
    }
  }
}

} // namespace briarglade
