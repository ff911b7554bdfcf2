// The duties of a domain's holder.

#include "briarglade/placement/domain_control.h"

#include <algorithm>
#include <string>
#include <utility>

#include "briarglade/base/overloaded.h"
#include "briarglade/placement/group_routes.h"
#include "briarglade/placement/placement_state.h"

namespace briarglade {

namespace {

constexpr Millis kStepPeriod = Millis(500);
constexpr Millis kOrderPeriod = Millis(1'000);
// A host that was present counts as missing after this long without a report.
constexpr Millis kMissingSettleTime = Millis(2'000);
// A member is slow when its step takes this many times its group's median.
constexpr int64_t kSlowFactor = 3;
// It is normal again below this many halves of the median.
constexpr int64_t kNormalHalves = 3;
constexpr Millis kSlowTime = Millis(10'000);
constexpr Millis kNormalTime = Millis(30'000);
// A slow host that is in no group gets another chance after this long.
constexpr Millis kRestTime = Millis(60'000);
// Steps shorter than this are never called slow.
constexpr Millis kMinSlowStep = Millis(40);

// One step for one domain, on the row as it stands in the table.
class DomainStep
{
public:
  DomainStep(PlacementState& aState,
             Millis aNow,
             const DomainId& aDomain,
             PlacementEffects& aEffects)
    : m_state(aState)
    , m_now(aNow)
    , m_domain(aDomain)
    , m_control(aState.m_controls[aDomain])
    , m_row(aState.m_domains[aDomain].m_row)
    , m_effects(aEffects)
  {
  }

  void Run();

private:
  const HostConfig* ConfigOf(const HostId& aHost) const;
  bool IsZoneOut() const;
  bool IsElsewhere(const HostId& aHost) const;
  bool IsMember(const HostId& aHost) const;
  std::vector<HostId> DomainHosts() const;

  PlannerHost Examine(const HostId& aHost);
  bool IsSlow(const HostId& aHost);
  void WatchSteps(const Group& aGroup);
  void WatchStep(const HostId& aHost,
                 const ServerReport& aReport,
                 Millis aMedian);
  std::vector<ModelDemand> Demand() const;
  double LoadShare() const;
  std::set<GroupId> Drained();

  void Advance(DomainRow& aRow);
  void AdvanceGroup(Group& aGroup);
  void StartLoads(DomainRow& aRow);
  bool IsUnloaded(const Group& aGroup) const;
  uint32_t LoadsNeeded(const Group& aGroup) const;

  void SendOrders();
  void OrderMembers(const Group& aGroup);
  void OrderStray(const HostId& aHost);
  const ModelConfig* SpareModel() const;
  bool IsStoreIdle() const;
  void OrderSpare(const HostId& aHost);
  void Order(ServerOrder aOrder);
  void LogMove(const Move& aMove);

  PlacementState& m_state;
  const Millis m_now;
  const DomainId& m_domain;
  DomainControl& m_control;
  const DomainRow& m_row;
  PlacementEffects& m_effects;
  std::map<HostId, PlannerHost> m_hosts;
};

const HostConfig* DomainStep::ConfigOf(const HostId& aHost) const
{
  const auto found = m_state.m_fleet.m_hosts.find(aHost);
  return found == m_state.m_fleet.m_hosts.end() ? nullptr : &found->second;
}

bool DomainStep::IsZoneOut() const
{
  const auto placed = m_state.m_domainHosts.find(m_domain);
  if (placed == m_state.m_domainHosts.end()) {
    return false;
  }
  const HostConfig* first = ConfigOf(placed->second.front());
  const auto zone = m_state.m_zones.find(first->m_zone);
  return zone != m_state.m_zones.end() && zone->second == ZoneState::Out;
}

// Tells whether another domain's row still holds the host.
bool DomainStep::IsElsewhere(const HostId& aHost) const
{
  const auto found = m_state.m_memberOf.find(aHost);
  return found != m_state.m_memberOf.end() && found->second != m_domain;
}

bool DomainStep::IsMember(const HostId& aHost) const
{
  const auto found = m_state.m_memberOf.find(aHost);
  return found != m_state.m_memberOf.end() && found->second == m_domain;
}

// Hosts that the configuration places here, and members of the row's groups.
std::vector<HostId> DomainStep::DomainHosts() const
{
  std::set<HostId> hosts;
  const auto placed = m_state.m_domainHosts.find(m_domain);
  if (placed != m_state.m_domainHosts.end()) {
    for (const HostId& host : placed->second) {
      if (!IsElsewhere(host)) {
        hosts.insert(host);
      }
    }
  }
  for (const Group& group : m_row.m_groups) {
    hosts.insert(group.m_members.begin(), group.m_members.end());
  }
  return { hosts.begin(), hosts.end() };
}

PlannerHost DomainStep::Examine(const HostId& aHost)
{
  PlannerHost host;
  host.m_id = aHost;
  const HostConfig* config = ConfigOf(aHost);
  const ServerReport* report = FreshReport(m_state.m_presence, m_now, aHost);
  if (report != nullptr) {
    m_control.m_seenAt[aHost] = m_now;
    const bool isLoaded = report->m_phase != MemberPhase::Idle;
    host.m_holds = isLoaded ? report->m_model : ModelId();
  }
  if (config == nullptr || config->m_domain != m_domain ||
      m_state.m_leaving.count(aHost) > 0) {
    host.m_condition = HostCondition::Leaving;
    return host;
  }
  if (report == nullptr) {
    const auto seen = m_control.m_seenAt.find(aHost);
    host.m_missingFor =
      m_now - (seen == m_control.m_seenAt.end() ? m_control.m_lease.m_heldSince
                                                : seen->second);
    host.m_condition = host.m_missingFor < kMissingSettleTime && IsMember(aHost)
                         ? HostCondition::Usable
                         : HostCondition::Missing;
    return host;
  }
  if (IsSlow(aHost)) {
    host.m_condition = HostCondition::Straggler;
  }
  return host;
}

bool DomainStep::IsSlow(const HostId& aHost)
{
  const auto found = m_control.m_stragglers.find(aHost);
  if (found == m_control.m_stragglers.end()) {
    return false;
  }
  StragglerWatch& watch = found->second;
  if (!watch.m_isStraggler || IsMember(aHost)) {
    return watch.m_isStraggler;
  }
  if (!watch.m_isTurning) {
    watch.m_isTurning = true;
    watch.m_turningSince = m_now;
  }
  if (m_now - watch.m_turningSince < kRestTime) {
    return true;
  }
  m_control.m_stragglers.erase(found);
  return false;
}

void DomainStep::WatchStep(const HostId& aHost,
                           const ServerReport& aReport,
                           Millis aMedian)
{
  StragglerWatch& watch = m_control.m_stragglers[aHost];
  if (watch.m_boot != aReport.m_boot) {
    watch = StragglerWatch();
    watch.m_boot = aReport.m_boot;
  }
  const bool isSlow = aReport.m_stepTime > aMedian * kSlowFactor &&
                      aReport.m_stepTime >= kMinSlowStep;
  const bool isNormal = aReport.m_stepTime * 2 <= aMedian * kNormalHalves;
  const bool isTurning = watch.m_isStraggler ? isNormal : isSlow;
  if (!isTurning) {
    watch.m_isTurning = false;
    return;
  }
  if (!watch.m_isTurning) {
    watch.m_isTurning = true;
    watch.m_turningSince = m_now;
  }
  const Millis needed = watch.m_isStraggler ? kNormalTime : kSlowTime;
  if (m_now - watch.m_turningSince >= needed) {
    watch.m_isStraggler = !watch.m_isStraggler;
    watch.m_isTurning = false;
  }
}

// Compares the decoding steps of a group's members.
void DomainStep::WatchSteps(const Group& aGroup)
{
  std::vector<Millis> steps;
  for (const HostId& host : aGroup.m_members) {
    const ServerReport* report = FreshReport(m_state.m_presence, m_now, host);
    if (report != nullptr) {
      steps.push_back(report->m_stepTime);
    }
  }
  if (steps.size() < 3) {
    return;
  }
  std::sort(steps.begin(), steps.end());
  const Millis median = steps[steps.size() / 2];
  for (const HostId& host : aGroup.m_members) {
    const ServerReport* report = FreshReport(m_state.m_presence, m_now, host);
    if (report != nullptr) {
      WatchStep(host, *report, median);
    }
  }
}

std::vector<ModelDemand> DomainStep::Demand() const
{
  std::vector<ModelDemand> demand;
  const auto counts = m_state.m_regionPlan.m_counts.find(m_domain);
  for (const auto& [id, model] : m_state.m_fleet.m_models) {
    ModelDemand entry;
    entry.m_model = id;
    entry.m_members = model.m_members;
    entry.m_priority = model.m_priority;
    entry.m_weightGigabytes = model.m_weightGigabytes;
    if (counts != m_state.m_regionPlan.m_counts.end()) {
      const auto count = counts->second.find(id);
      entry.m_groups = count == counts->second.end() ? 0 : count->second;
    }
    demand.push_back(std::move(entry));
  }
  return demand;
}

// The weight store's rate is split evenly over the domains that load.
double DomainStep::LoadShare() const
{
  uint32_t loading = 0;
  for (const auto& [domain, known] : m_state.m_domains) {
    const auto& groups = known.m_row.m_groups;
    const bool loads =
      domain == m_domain ||
      std::any_of(groups.begin(), groups.end(), [](const Group& aGroup) {
        return aGroup.m_state == GroupState::Assigned ||
               aGroup.m_state == GroupState::Loading;
      });
    loading += loads ? 1 : 0;
  }
  return double(m_state.m_fleet.m_weightStoreRate) / std::max(loading, 1U);
}

// Returns the draining groups that nobody uses any more.
std::set<GroupId> DomainStep::Drained()
{
  std::set<GroupId> drained;
  std::map<GroupId, DrainWatch> watches;
  for (const Group& group : m_row.m_groups) {
    if (group.m_state != GroupState::Draining) {
      continue;
    }
    DrainWatch watch;
    const auto known = m_control.m_drains.find(group.m_id);
    if (known != m_control.m_drains.end() &&
        known->second.m_generation == group.m_generation) {
      watch = known->second;
    } else {
      watch.m_generation = group.m_generation;
      watch.m_since = m_now;
    }
    const auto model = m_state.m_fleet.m_models.find(group.m_model);
    const Millis longest = model == m_state.m_fleet.m_models.end()
                             ? ModelConfig().m_requestTimeout
                             : model->second.m_requestTimeout;
    const bool isClear = std::all_of(
      m_state.m_roster.begin(),
      m_state.m_roster.end(),
      [&](const NodeId& aNode) {
        return watch.m_clear.count(aNode) > 0 ||
               !IsInSubset(group.m_id.Value(), aNode, m_state.m_roster);
      });
    if (isClear || m_now - watch.m_since >= longest) {
      drained.insert(group.m_id);
    }
    watches.emplace(group.m_id, std::move(watch));
  }
  m_control.m_drains = std::move(watches);
  return drained;
}

uint32_t DomainStep::LoadsNeeded(const Group& aGroup) const
{
  return static_cast<uint32_t>(std::count_if(
    aGroup.m_members.begin(), aGroup.m_members.end(), [&](const HostId& aHost) {
      const auto host = m_hosts.find(aHost);
      return host == m_hosts.end() || host->second.m_holds != aGroup.m_model;
    }));
}

// Lets assigned groups load as the weight store allows: by priority, then those
// that need the fewest loads.
void DomainStep::StartLoads(DomainRow& aRow)
{
  struct Candidate
  {
    Group* m_group;
    int32_t m_priority;
    double m_gigabytes;
  };
  std::vector<Candidate> candidates;
  for (Group& group : aRow.m_groups) {
    const auto model = m_state.m_fleet.m_models.find(group.m_model);
    const bool isReady =
      std::all_of(group.m_members.begin(),
                  group.m_members.end(),
                  [this](const HostId& aHost) {
                    const auto host = m_hosts.find(aHost);
                    return host != m_hosts.end() &&
                           host->second.m_condition != HostCondition::Missing;
                  });
    if (group.m_state == GroupState::Assigned && isReady &&
        model != m_state.m_fleet.m_models.end()) {
      const double gigabytes = double(model->second.m_weightGigabytes) *
                               LoadsNeeded(group) / group.m_members.size();
      candidates.push_back(
        Candidate{ &group, model->second.m_priority, gigabytes });
    }
  }
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [](const Candidate& aA, const Candidate& aB) {
                     return aA.m_priority != aB.m_priority
                              ? aA.m_priority > aB.m_priority
                              : aA.m_gigabytes < aB.m_gigabytes;
                   });
  const double share = LoadShare();
  for (const Candidate& candidate : candidates) {
    if (candidate.m_gigabytes > 0 && m_now < m_control.m_loadFreeAt) {
      continue;
    }
    candidate.m_group->m_state = GroupState::Loading;
    m_control.m_loadFreeAt =
      std::max(m_now, m_control.m_loadFreeAt) +
      Millis(static_cast<int64_t>(1'000 * candidate.m_gigabytes / share));
  }
}

// Tells whether no server that is present is still in the group.
bool DomainStep::IsUnloaded(const Group& aGroup) const
{
  return std::none_of(
    aGroup.m_members.begin(), aGroup.m_members.end(), [&](const HostId& aHost) {
      const ServerReport* report =
        FreshReport(m_state.m_presence, m_now, aHost);
      return report != nullptr && report->m_group == aGroup.m_id;
    });
}

void DomainStep::AdvanceGroup(Group& aGroup)
{
  const bool isRunning = aGroup.m_state == GroupState::Loading ||
                         aGroup.m_state == GroupState::Warming ||
                         aGroup.m_state == GroupState::Serving;
  if (!isRunning) {
    return;
  }
  const auto model = m_state.m_fleet.m_models.find(aGroup.m_model);
  if (IsComplete(m_state, m_now, aGroup)) {
    const bool isWarm =
      model == m_state.m_fleet.m_models.end() ||
      LeastUptime(m_state, m_now, aGroup) >= model->second.m_warmUp;
    if (aGroup.m_state == GroupState::Loading) {
      aGroup.m_state = GroupState::Warming;
    }
    if (aGroup.m_state == GroupState::Warming && isWarm) {
      aGroup.m_state = GroupState::Serving;
    }
    return;
  }
  if (aGroup.m_state == GroupState::Loading) {
    return;
  }
  for (const HostId& host : aGroup.m_members) {
    const MemberStanding standing = StandingOf(m_state, m_now, aGroup, host);
    if (standing == MemberStanding::Elsewhere ||
        standing == MemberStanding::Draining) {
      aGroup.m_state = GroupState::Assigned;
      aGroup.m_reason = MoveReason::MemberRestarted;
    }
  }
}

void DomainStep::Advance(DomainRow& aRow)
{
  for (Group& group : aRow.m_groups) {
    AdvanceGroup(group);
  }
  StartLoads(aRow);
  auto& groups = aRow.m_groups;
  groups.erase(std::remove_if(groups.begin(),
                              groups.end(),
                              [this](const Group& aGroup) {
                                return aGroup.m_state == GroupState::Released &&
                                       IsUnloaded(aGroup);
                              }),
               groups.end());
}

void DomainStep::Order(ServerOrder aOrder)
{
  const HostConfig* config = ConfigOf(aOrder.m_host);
  const auto ordered = m_control.m_orderedAt.find(aOrder.m_host);
  if (config == nullptr || (ordered != m_control.m_orderedAt.end() &&
                            m_now - ordered->second < kOrderPeriod)) {
    return;
  }
  m_control.m_orderedAt[aOrder.m_host] = m_now;
  aOrder.m_operation = OperationId(m_state.m_ids.Next());
  aOrder.m_fencing = m_control.m_lease.m_token;
  aOrder.m_deadline =
    std::min(m_now + kOrderLife, m_control.m_lease.m_validUntil);
  m_effects.emplace_back(SendOrder{ std::move(aOrder), config->m_endpoint });
}

void DomainStep::OrderMembers(const Group& aGroup)
{
  const bool shallJoin = aGroup.m_state == GroupState::Loading ||
                         aGroup.m_state == GroupState::Warming ||
                         aGroup.m_state == GroupState::Serving;
  for (uint32_t rank = 0; rank < aGroup.m_members.size(); ++rank) {
    const HostId& host = aGroup.m_members[rank];
    const ServerReport* report = FreshReport(m_state.m_presence, m_now, host);
    const MemberStanding standing = StandingOf(m_state, m_now, aGroup, host);
    if (report == nullptr) {
      continue;
    }
    ServerOrder order;
    order.m_host = host;
    order.m_group = aGroup.m_id;
    order.m_generation = aGroup.m_generation;
    order.m_model = aGroup.m_model;
    order.m_rank = rank;
    order.m_members = static_cast<uint32_t>(aGroup.m_members.size());
    if (shallJoin && (standing == MemberStanding::Elsewhere ||
                      standing == MemberStanding::Draining)) {
      Order(std::move(order));
    } else if (aGroup.m_state == GroupState::Draining && rank == 0 &&
               standing == MemberStanding::Ready) {
      order.m_kind = ServerOrder::Kind::Drain;
      Order(std::move(order));
    } else if (aGroup.m_state == GroupState::Released &&
               report->m_group == aGroup.m_id) {
      order.m_kind = ServerOrder::Kind::Release;
      Order(std::move(order));
    }
  }
}

// A host that is in no group must not believe that it is.
void DomainStep::OrderStray(const HostId& aHost)
{
  const ServerReport* report = FreshReport(m_state.m_presence, m_now, aHost);
  if (report == nullptr || report->m_group.IsEmpty()) {
    return;
  }
  ServerOrder order;
  order.m_host = aHost;
  order.m_kind = ServerOrder::Kind::Release;
  order.m_group = report->m_group;
  order.m_generation = report->m_generation;
  Order(std::move(order));
}

// The model that spare hosts hold ready: the first by priority that has a group
// here.
const ModelConfig* DomainStep::SpareModel() const
{
  const ModelConfig* best = nullptr;
  for (const Group& group : m_row.m_groups) {
    const auto model = m_state.m_fleet.m_models.find(group.m_model);
    const bool counts =
      TakesWork(group) && model != m_state.m_fleet.m_models.end();
    if (counts &&
        (best == nullptr || model->second.m_priority > best->m_priority)) {
      best = &model->second;
    }
  }
  return best;
}

// Tells whether no group waits for weights in any domain.
bool DomainStep::IsStoreIdle() const
{
  for (const auto& entry : m_state.m_domains) {
    for (const Group& group : entry.second.m_row.m_groups) {
      if (group.m_state == GroupState::Assigned ||
          group.m_state == GroupState::Loading) {
        return false;
      }
    }
  }
  return m_now >= m_control.m_loadFreeAt;
}

// Lets a spare host load weights while nobody else needs the weight store, so
// that it can take a seat at once. It joins a group of its own, which is in no
// row and which no request is sent to.
void DomainStep::OrderSpare(const HostId& aHost)
{
  const ServerReport* report = FreshReport(m_state.m_presence, m_now, aHost);
  const ModelConfig* model = SpareModel();
  if (report == nullptr || model == nullptr) {
    OrderStray(aHost);
    return;
  }
  ServerOrder order;
  order.m_host = aHost;
  order.m_group = GroupId(m_domain.Value() + "/spare/" + aHost.Value());
  order.m_generation = Generation(1);
  order.m_model = model->m_id;
  const bool isLoaded =
    report->m_model == model->m_id && report->m_phase != MemberPhase::Idle;
  if (isLoaded && report->m_group == order.m_group) {
    return;
  }
  if (!isLoaded && !IsStoreIdle()) {
    if (report->m_group != order.m_group) {
      OrderStray(aHost);
    }
    return;
  }
  if (!isLoaded) {
    const double gigabytes =
      double(model->m_weightGigabytes) / model->m_members;
    m_control.m_loadFreeAt =
      m_now + Millis(static_cast<int64_t>(1'000 * gigabytes / LoadShare()));
  }
  Order(std::move(order));
}

void DomainStep::SendOrders()
{
  std::set<HostId> members;
  for (const Group& group : m_row.m_groups) {
    members.insert(group.m_members.begin(), group.m_members.end());
    OrderMembers(group);
  }
  for (const auto& entry : m_hosts) {
    if (members.count(entry.first) > 0) {
      continue;
    }
    if (entry.second.m_condition == HostCondition::Usable) {
      OrderSpare(entry.first);
    } else {
      OrderStray(entry.first);
    }
  }
}

void DomainStep::LogMove(const Move& aMove)
{
  LogEvent event;
  event.m_event = aMove.m_host.IsEmpty() ? "group-planned" : "host-moved";
  event.m_fields = { { "group", aMove.m_group.Value() },
                     { "generation",
                       std::to_string(aMove.m_generation.Value()) },
                     { "reason", MoveReasonName(aMove.m_reason) },
                     { "domain", m_domain.Value() } };
  if (!aMove.m_host.IsEmpty()) {
    event.m_fields.push_back({ "host", aMove.m_host.Value() });
  }
  m_effects.emplace_back(std::move(event));
}

void DomainStep::Run()
{
  DomainPlanInput input;
  for (const Group& group : m_row.m_groups) {
    WatchSteps(group);
  }
  for (const HostId& host : DomainHosts()) {
    input.m_hosts.push_back(Examine(host));
    m_hosts.emplace(host, input.m_hosts.back());
  }
  input.m_demand = Demand();
  input.m_isZoneOut = IsZoneOut();
  input.m_loadRate = LoadShare();
  input.m_present = m_row;
  input.m_drained = Drained();
  input.m_domain = m_domain;
  DomainPlan plan = PlanDomain(input);
  Advance(plan.m_next);
  if (plan.m_next == m_row || !HostsAreDistinct(plan.m_next)) {
    SendOrders();
    return;
  }
  for (const Move& move : plan.m_moves) {
    LogMove(move);
  }
  std::vector<TableOperation> operations;
  ProposeValue(m_control.m_lease,
               m_now,
               DomainRowToJson(plan.m_next),
               m_state.m_ids,
               operations);
  for (TableOperation& operation : operations) {
    std::visit(
      [this](auto& aOperation) {
        m_effects.emplace_back(std::move(aOperation));
      },
      operation);
  }
}

} // namespace

void TickDomainControl(PlacementState& aState,
                       Millis aNow,
                       const DomainId& aDomain,
                       PlacementEffects& aEffects)
{
  DomainControl& control = aState.m_controls[aDomain];
  const bool isSettled = aNow - control.m_lease.m_heldSince >= kTakeoverGrace;
  if (!MayChange(control.m_lease, aNow) || !isSettled ||
      aState.m_regionPlanVersion == RowVersion() || aNow < control.m_nextStep) {
    return;
  }
  control.m_nextStep = aNow + kStepPeriod;
  DomainStep(aState, aNow, aDomain, aEffects).Run();
}

void OnInFlightNews(PlacementState& aState, const InFlightNews& aNews)
{
  for (auto& entry : aState.m_controls) {
    const auto drain = entry.second.m_drains.find(aNews.m_group);
    if (drain == entry.second.m_drains.end() ||
        drain->second.m_generation != aNews.m_generation) {
      continue;
    }
    if (aNews.m_inFlight == 0) {
      drain->second.m_clear.insert(aNews.m_node);
    } else {
      drain->second.m_clear.erase(aNews.m_node);
    }
  }
}

} // namespace briarglade
