// The placement reducer: spreads events over presence, the domains' holders and
// the routes.

#include "briarglade/placement/placement.h"

#include <algorithm>
#include <utility>

#include "briarglade/base/overloaded.h"
#include "briarglade/placement/domain_control.h"
#include "briarglade/placement/group_routes.h"
#include "briarglade/placement/placement_state.h"

namespace briarglade {

namespace {

constexpr Millis kListPeriod = Millis(1'000);
constexpr Millis kPlanReadPeriod = Millis(1'000);
constexpr Millis kRegionStepPeriod = Millis(1'000);
constexpr Millis kRouteCheckPeriod = Millis(200);
constexpr Millis kRouteRefreshPeriod = Millis(500);
constexpr Millis kInFlightPeriod = Millis(1'000);
constexpr char kDomainPrefix[] = "domain/";
constexpr char kRegionPlanRow[] = "fleet/plan";
constexpr char kRegionLeaseRow[] = "fleet/lease";

void AddOperations(std::vector<TableOperation>& aOperations,
                   PlacementEffects& aEffects)
{
  for (TableOperation& operation : aOperations) {
    std::visit(
      [&](auto& aOperation) { aEffects.emplace_back(std::move(aOperation)); },
      operation);
  }
  aOperations.clear();
}

// Domains that hold hosts of groups, not only plain services.
std::set<DomainId> PlannedDomains(const PlacementState& aState)
{
  std::set<DomainId> domains;
  for (const auto& entry : aState.m_domainHosts) {
    domains.insert(entry.first);
  }
  for (const auto& entry : aState.m_domains) {
    if (!entry.second.m_row.m_groups.empty()) {
      domains.insert(entry.first);
    }
  }
  return domains;
}

void UpdateControls(PlacementState& aState)
{
  const std::set<DomainId> domains = PlannedDomains(aState);
  for (const DomainId& domain : domains) {
    DomainControl& control = aState.m_controls[domain];
    control.m_lease.m_leaseKey = RowKey("lease/" + domain.Value());
    control.m_lease.m_rowKey = RowKey(kDomainPrefix + domain.Value());
    control.m_lease.m_self = aState.m_self;
    control.m_lease.m_rank =
      RankOf(domain.Value(), aState.m_self, aState.m_roster);
  }
  for (auto entry = aState.m_controls.begin();
       entry != aState.m_controls.end();) {
    const bool isPlanned = domains.count(entry->first) > 0;
    entry = isPlanned ? std::next(entry) : aState.m_controls.erase(entry);
  }
  aState.m_regionLease.m_leaseKey = RowKey(kRegionLeaseRow);
  aState.m_regionLease.m_rowKey = RowKey(kRegionPlanRow);
  aState.m_regionLease.m_self = aState.m_self;
  aState.m_regionLease.m_rank =
    RankOf(kRegionPlanRow, aState.m_self, aState.m_roster);
}

// Works out who watches what, after a change of roster, groups or hosts.
void UpdateUnits(PlacementState& aState, Millis aNow)
{
  std::map<HostId, WatchedHost> hosts;
  for (const auto& [id, config] : aState.m_fleet.m_hosts) {
    hosts.emplace(
      id, WatchedHost{ id.Value(), config.m_domain, config.m_endpoint });
  }
  aState.m_memberOf.clear();
  for (const auto& [domain, known] : aState.m_domains) {
    for (const Group& group : known.m_row.m_groups) {
      for (const HostId& member : group.m_members) {
        aState.m_memberOf[member] = domain;
        const auto host = hosts.find(member);
        if (host != hosts.end()) {
          host->second.m_unit = group.m_id.Value();
        }
      }
    }
  }
  aState.m_unitsChanged = false;
  UpdateControls(aState);
  PresenceState& presence = aState.m_presence;
  if (hosts == aState.m_units && aState.m_roster == presence.m_roster) {
    return;
  }
  presence.m_self = aState.m_self;
  aState.m_units = std::move(hosts);
  SetWatchUnits(presence, aNow, aState.m_units, aState.m_roster);
}

void LogGroup(const DomainId& aDomain,
              const Group& aGroup,
              PlacementEffects& aEffects)
{
  std::string members;
  for (const HostId& host : aGroup.m_members) {
    members += (members.empty() ? "" : ",") + host.Value();
  }
  aEffects.emplace_back(
    LogEvent{ LogLevel::Info,
              "group-changed",
              { { "group", aGroup.m_id.Value() },
                { "generation", std::to_string(aGroup.m_generation.Value()) },
                { "state", GroupStateName(aGroup.m_state) },
                { "reason", MoveReasonName(aGroup.m_reason) },
                { "domain", aDomain.Value() },
                { "hosts", members } } });
}

void LogRowChange(const DomainId& aDomain,
                  const DomainRow& aBefore,
                  const DomainRow& aAfter,
                  PlacementEffects& aEffects)
{
  std::map<GroupId, const Group*> before;
  for (const Group& group : aBefore.m_groups) {
    before[group.m_id] = &group;
  }
  for (const Group& group : aAfter.m_groups) {
    const auto old = before.find(group.m_id);
    if (old == before.end() || !(*old->second == group)) {
      LogGroup(aDomain, group, aEffects);
    }
    before.erase(group.m_id);
  }
  for (const auto& entry : before) {
    aEffects.emplace_back(LogEvent{
      LogLevel::Info,
      "group-removed",
      { { "group", entry.first.Value() }, { "domain", aDomain.Value() } } });
  }
}

// Takes a domain's row as read or written, unless a later one is known.
void AdoptDomain(PlacementState& aState,
                 const DomainId& aDomain,
                 RowVersion aVersion,
                 const LeasedValue& aValue,
                 PlacementEffects& aEffects)
{
  KnownDomain& known = aState.m_domains[aDomain];
  if (aVersion <= known.m_version) {
    return;
  }
  DomainRow row;
  if (!aValue.m_body.empty() && !DomainRowFromJson(aValue.m_body, row)) {
    aEffects.emplace_back(LogEvent{ LogLevel::Error,
                                    "domain-row-invalid",
                                    { { "domain", aDomain.Value() } } });
    return;
  }
  LogRowChange(aDomain, known.m_row, row, aEffects);
  known.m_version = aVersion;
  known.m_holder = aValue.m_holder;
  known.m_row = std::move(row);
  aState.m_unitsChanged = true;
  aState.m_nextRouteCheck = Millis();
}

void AdoptRegionPlan(PlacementState& aState,
                     RowVersion aVersion,
                     const LeasedValue& aValue)
{
  RegionPlan plan;
  const bool isPlan = RegionPlanFromJson(aValue.m_body, plan);
  if (aVersion > aState.m_regionPlanVersion && isPlan) {
    aState.m_regionPlanVersion = aVersion;
    aState.m_regionPlan = std::move(plan);
  }
}

// The listing of all domains' rows that have changed.
void OnListing(PlacementState& aState,
               const TableResult& aResult,
               PlacementEffects& aEffects)
{
  aState.m_listRead = OperationId();
  if (aResult.m_status != TableStatus::Ok) {
    return;
  }
  aState.m_tableChange = aResult.m_change;
  const std::string prefix(kDomainPrefix);
  for (const TableRow& row : aResult.m_rows) {
    LeasedValue value;
    const bool isDomain = row.m_key.Value().rfind(prefix, 0) == 0;
    if (isDomain && !row.m_deleted && ParseLeasedValue(row.m_value, value)) {
      const DomainId domain(row.m_key.Value().substr(prefix.size()));
      AdoptDomain(aState, domain, row.m_version, value, aEffects);
    }
  }
}

void OnPlanRead(PlacementState& aState, const TableResult& aResult)
{
  aState.m_planRead = OperationId();
  LeasedValue value;
  if (aResult.m_status == TableStatus::Ok && !aResult.m_rows.empty() &&
      ParseLeasedValue(aResult.m_rows.front().m_value, value)) {
    AdoptRegionPlan(aState, aResult.m_rows.front().m_version, value);
  }
}

void OnTableResult(PlacementState& aState,
                   Millis aNow,
                   const TableResult& aResult,
                   PlacementEffects& aEffects)
{
  if (aResult.m_operation.IsEmpty()) {
    return;
  }
  if (aResult.m_operation == aState.m_listRead) {
    OnListing(aState, aResult, aEffects);
    return;
  }
  if (aResult.m_operation == aState.m_planRead) {
    OnPlanRead(aState, aResult);
    return;
  }
  if (OnLeasedResult(aState.m_regionLease, aNow, aResult)) {
    AdoptRegionPlan(
      aState, aState.m_regionLease.m_version, aState.m_regionLease.m_value);
  }
  for (auto& [domain, control] : aState.m_controls) {
    if (OnLeasedResult(control.m_lease, aNow, aResult)) {
      AdoptDomain(aState,
                  domain,
                  control.m_lease.m_version,
                  control.m_lease.m_value,
                  aEffects);
    }
  }
}

void ReadTable(PlacementState& aState, Millis aNow, PlacementEffects& aEffects)
{
  if (aNow - aState.m_listReadAt >= kListPeriod) {
    TableRead read;
    read.m_operation = OperationId(aState.m_ids.Next());
    read.m_key = RowKey(kDomainPrefix);
    read.m_isPrefix = true;
    read.m_sinceChange = aState.m_tableChange;
    aState.m_listRead = read.m_operation;
    aState.m_listReadAt = aNow;
    aEffects.emplace_back(std::move(read));
  }
  const bool holdsAny =
    std::any_of(aState.m_controls.begin(),
                aState.m_controls.end(),
                [&](const auto& aEntry) {
                  return HoldsLease(aEntry.second.m_lease, aNow);
                });
  if (holdsAny && aNow - aState.m_planReadAt >= kPlanReadPeriod) {
    TableRead read;
    read.m_operation = OperationId(aState.m_ids.Next());
    read.m_key = RowKey(kRegionPlanRow);
    aState.m_planRead = read.m_operation;
    aState.m_planReadAt = aNow;
    aEffects.emplace_back(std::move(read));
  }
}

// What the region's domains have. A domain without a row yet counts with all
// the hosts that the configuration gives it.
std::vector<DomainSupply> Supply(const PlacementState& aState)
{
  std::map<DomainId, DomainSupply> supply;
  for (const auto& [id, host] : aState.m_fleet.m_hosts) {
    if (aState.m_serviceHosts.count(id) > 0) {
      continue;
    }
    DomainSupply& domain = supply[host.m_domain];
    domain.m_domain = host.m_domain;
    domain.m_zone = host.m_zone;
    domain.m_usableHosts += aState.m_leaving.count(id) > 0 ? 0 : 1;
  }
  std::vector<DomainSupply> list;
  for (auto& [id, domain] : supply) {
    const auto known = aState.m_domains.find(id);
    if (known != aState.m_domains.end()) {
      const DomainRow& row = known->second.m_row;
      if (row.m_nextNumber > 1) {
        domain.m_usableHosts =
          std::min(domain.m_usableHosts, row.m_usableHosts);
      }
      for (const Group& group : row.m_groups) {
        const bool serves = group.m_state == GroupState::Serving;
        domain.m_serving[group.m_model] += serves ? 1 : 0;
      }
    }
    list.push_back(std::move(domain));
  }
  return list;
}

void TickRegion(PlacementState& aState, Millis aNow, PlacementEffects& aEffects)
{
  std::vector<TableOperation> operations;
  TickLeasedRow(aState.m_regionLease, aNow, aState.m_ids, operations);
  if (MayChange(aState.m_regionLease, aNow) &&
      aNow >= aState.m_nextRegionStep) {
    aState.m_nextRegionStep = aNow + kRegionStepPeriod;
    const RegionPlan next = PlanRegion(
      aState.m_fleet, aState.m_zones, Supply(aState), aState.m_regionPlan);
    const std::string body = RegionPlanToJson(next);
    if (body != aState.m_regionLease.m_value.m_body) {
      ProposeValue(aState.m_regionLease, aNow, body, aState.m_ids, operations);
    }
  }
  AddOperations(operations, aEffects);
}

void TickDomains(PlacementState& aState,
                 Millis aNow,
                 PlacementEffects& aEffects)
{
  std::vector<TableOperation> operations;
  for (auto& [domain, control] : aState.m_controls) {
    TickLeasedRow(control.m_lease, aNow, aState.m_ids, operations);
    AddOperations(operations, aEffects);
    TickDomainControl(aState, aNow, domain, aEffects);
  }
}

void TickRoutes(PlacementState& aState, Millis aNow, PlacementEffects& aEffects)
{
  if (aNow < aState.m_nextRouteCheck) {
    return;
  }
  aState.m_nextRouteCheck = aNow + kRouteCheckPeriod;
  std::map<GroupId, Route> routes = BuildRoutes(aState, aNow);
  const bool isDue = aNow - aState.m_routesToldAt >= kRouteRefreshPeriod;
  if (!isDue && !RoutesDiffer(aState.m_routes, routes)) {
    return;
  }
  aState.m_routes = std::move(routes);
  aState.m_routesToldAt = aNow;
  RoutesFound changed;
  for (const auto& entry : aState.m_routes) {
    changed.m_routes.push_back(entry.second);
  }
  aEffects.emplace_back(std::move(changed));
}

void TellInFlight(PlacementState& aState,
                  Millis aNow,
                  const KnownDomain& aDomain,
                  const Group& aGroup,
                  PlacementEffects& aEffects)
{
  const auto own = aState.m_inFlight.find(aGroup.m_id);
  if (own == aState.m_inFlight.end()) {
    return;
  }
  ToldInFlight& told = aState.m_toldInFlight[aGroup.m_id];
  const bool isNews =
    told.m_generation != aGroup.m_generation || told.m_inFlight != own->second;
  if (!isNews && aNow - told.m_at < kInFlightPeriod) {
    return;
  }
  told = ToldInFlight{ aGroup.m_generation, own->second, aNow };
  const InFlightNews news{
    aState.m_self, aGroup.m_id, aGroup.m_generation, own->second
  };
  if (aDomain.m_holder == aState.m_self) {
    OnInFlightNews(aState, news);
  } else {
    aEffects.emplace_back(SendNews{ aDomain.m_holder, news });
  }
}

// Tells the holders of draining groups what is still in flight there.
void TickInFlight(PlacementState& aState,
                  Millis aNow,
                  PlacementEffects& aEffects)
{
  std::set<GroupId> draining;
  for (const auto& entry : aState.m_domains) {
    for (const Group& group : entry.second.m_row.m_groups) {
      if (group.m_state == GroupState::Draining) {
        draining.insert(group.m_id);
        TellInFlight(aState, aNow, entry.second, group, aEffects);
      }
    }
  }
  for (auto told = aState.m_toldInFlight.begin();
       told != aState.m_toldInFlight.end();) {
    const bool isDraining = draining.count(told->first) > 0;
    told = isDraining ? std::next(told) : aState.m_toldInFlight.erase(told);
  }
}

void OnTick(PlacementState& aState, Millis aNow, PlacementEffects& aEffects)
{
  const bool isReady =
    !aState.m_fleet.m_hosts.empty() && !aState.m_roster.empty();
  if (!isReady) {
    return;
  }
  if (aState.m_unitsChanged) {
    UpdateUnits(aState, aNow);
  }
  const auto& roster = aState.m_roster;
  const bool isMember =
    std::find(roster.begin(), roster.end(), aState.m_self) != roster.end();
  ReadTable(aState, aNow, aEffects);
  if (isMember) {
    TickPresence(aState.m_presence, aNow, aEffects);
    TickRegion(aState, aNow, aEffects);
    TickDomains(aState, aNow, aEffects);
  }
  TickRoutes(aState, aNow, aEffects);
  TickInFlight(aState, aNow, aEffects);
}

void OnFleet(PlacementState& aState, const FleetConfig& aFleet)
{
  aState.m_fleet = aFleet;
  aState.m_serviceHosts.clear();
  aState.m_domainHosts.clear();
  for (const auto& [id, service] : aFleet.m_services) {
    for (const HostId& host : service.m_hosts) {
      aState.m_serviceHosts[host] = id;
    }
  }
  for (const auto& [id, host] : aFleet.m_hosts) {
    if (aState.m_serviceHosts.count(id) == 0) {
      aState.m_domainHosts[host.m_domain].push_back(id);
    }
  }
  aState.m_unitsChanged = true;
}

void OnHosts(PlacementState& aState, const HostList& aList)
{
  aState.m_leaving.clear();
  for (const ListedHost& host : aList.m_hosts) {
    if (host.m_leaving) {
      aState.m_leaving.insert(host.m_host);
    }
  }
  aState.m_nextRouteCheck = Millis();
}

} // namespace

PlacementEffects ReducePlacement(PlacementState& aState,
                                 Millis aNow,
                                 const PlacementEvent& aEvent)
{
  PlacementEffects effects;
  if (NoticePause(aState.m_presence, aNow)) {
    aState.m_nextRouteCheck = Millis();
    TickRoutes(aState, aNow, effects);
  }
  std::visit(
    Overloaded{
      [&](const PlacementTick&) { OnTick(aState, aNow, effects); },
      [&](const TableResult& aResult) {
        OnTableResult(aState, aNow, aResult, effects);
      },
      [&](const ServerReport& aReport) {
        OnProbeReport(aState.m_presence, aNow, aReport);
      },
      [&](const ProbeFailed& aFailed) {
        OnProbeFailed(aState.m_presence, aNow, aFailed.m_host);
      },
      [&](const HostsListed& aListed) { OnHosts(aState, aListed.m_list); },
      [&](const PresenceNews& aNews) {
        OnPresenceNews(aState.m_presence, aNow, aNews, effects);
      },
      [&](const InFlightNews& aNews) { OnInFlightNews(aState, aNews); },
      [&](const PlacementFleet& aAdopted) {
        OnFleet(aState, aAdopted.m_fleet);
      },
      [&](const PlacementZones& aAdopted) {
        aState.m_zones = aAdopted.m_zones;
        aState.m_nextRouteCheck = Millis();
      },
      [&](const PlacementRoster& aAdopted) {
        aState.m_roster = aAdopted.m_roster;
        aState.m_unitsChanged = true;
      },
      [&](const InFlightChanged& aChanged) {
        aState.m_inFlight[aChanged.m_group] = aChanged.m_inFlight;
      } },
    aEvent);
  return effects;
}

std::vector<GroupStatus> DescribeGroups(const PlacementState& aState,
                                        Millis aNow)
{
  std::vector<GroupStatus> list;
  for (const auto& [domain, known] : aState.m_domains) {
    for (const Group& group : known.m_row.m_groups) {
      GroupStatus status;
      status.m_group = group.m_id.Value();
      status.m_domain = domain.Value();
      status.m_model = group.m_model.Value();
      status.m_generation = group.m_generation.Value();
      status.m_state = GroupStateName(group.m_state);
      status.m_reason = MoveReasonName(group.m_reason);
      status.m_isComplete = IsComplete(aState, aNow, group);
      status.m_isTold =
        IsInSubset(group.m_id.Value(), aState.m_self, aState.m_roster);
      for (const HostId& host : group.m_members) {
        const auto config = aState.m_fleet.m_hosts.find(host);
        if (config != aState.m_fleet.m_hosts.end()) {
          status.m_zone = config->second.m_zone.Value();
        }
        const MemberStanding standing = StandingOf(aState, aNow, group, host);
        const bool isUnknown =
          !status.m_isTold && standing == MemberStanding::Absent;
        status.m_members.push_back(
          host.Value() + "=" +
          (isUnknown ? std::string("not-told")
                     : std::string(MemberStandingName(standing))));
      }
      list.push_back(std::move(status));
    }
  }
  return list;
}

} // namespace briarglade
