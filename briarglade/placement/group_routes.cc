// From groups and reports to routes.

#include "briarglade/placement/group_routes.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "briarglade/placement/placement_state.h"

namespace briarglade {

namespace {

bool IsZoneOut(const PlacementState& aState, const ZoneId& aZone)
{
  const auto found = aState.m_zones.find(aZone);
  return found != aState.m_zones.end() && found->second == ZoneState::Out;
}

const HostConfig* ConfigOf(const PlacementState& aState, const HostId& aHost)
{
  const auto found = aState.m_fleet.m_hosts.find(aHost);
  return found == aState.m_fleet.m_hosts.end() ? nullptr : &found->second;
}

bool HasLeaving(const PlacementState& aState, const Group& aGroup)
{
  return std::any_of(
    aGroup.m_members.begin(), aGroup.m_members.end(), [&](const HostId& aHost) {
      return aState.m_leaving.count(aHost) > 0;
    });
}

void AddReport(Route& aRoute, Millis aNow, const ServerReport& aReport)
{
  aRoute.m_boot = aReport.m_boot;
  aRoute.m_load = aReport.m_load;
  aRoute.m_loadAge = aReport.m_loadAge;
  aRoute.m_reportedAt = aNow;
}

void AddGroupRoute(const PlacementState& aState,
                   Millis aNow,
                   const Group& aGroup,
                   std::map<GroupId, Route>& aRoutes)
{
  const auto model = aState.m_fleet.m_models.find(aGroup.m_model);
  if (model == aState.m_fleet.m_models.end() || aGroup.m_members.empty()) {
    return;
  }
  const HostConfig* leader = ConfigOf(aState, aGroup.m_members.front());
  if (leader == nullptr) {
    return;
  }
  Route route;
  route.m_group = aGroup.m_id;
  route.m_target.m_model = aGroup.m_model;
  route.m_zone = leader->m_zone;
  route.m_domain = leader->m_domain;
  route.m_leader = leader->m_endpoint;
  route.m_generation = aGroup.m_generation;
  route.m_requestLimit = model->second.m_requestLimit;
  route.m_coldLimit = model->second.m_coldLimit;
  route.m_warmUp = model->second.m_warmUp;
  route.m_complete = IsComplete(aState, aNow, aGroup);
  route.m_draining = !TakesWork(aGroup) || HasLeaving(aState, aGroup) ||
                     IsZoneOut(aState, leader->m_zone);
  const ServerReport* report =
    FreshReport(aState.m_presence, aNow, aGroup.m_members.front());
  if (report != nullptr) {
    AddReport(route, aNow, *report);
    route.m_uptime = LeastUptime(aState, aNow, aGroup);
  }
  aRoutes.emplace(route.m_group, std::move(route));
}

void AddServiceRoute(const PlacementState& aState,
                     Millis aNow,
                     const ServiceConfig& aService,
                     const HostConfig& aHost,
                     std::map<GroupId, Route>& aRoutes)
{
  Route route;
  route.m_group = GroupId(aHost.m_id.Value());
  route.m_target.m_service = aService.m_id;
  route.m_zone = aHost.m_zone;
  route.m_domain = aHost.m_domain;
  route.m_leader = aHost.m_endpoint;
  route.m_requestLimit = aService.m_requestLimit;
  route.m_coldLimit = aService.m_coldLimit;
  route.m_warmUp = aService.m_warmUp;
  route.m_draining =
    aState.m_leaving.count(aHost.m_id) > 0 || IsZoneOut(aState, aHost.m_zone);
  const ServerReport* report = FreshReport(aState.m_presence, aNow, aHost.m_id);
  if (report != nullptr) {
    AddReport(route, aNow, *report);
    route.m_uptime = report->m_uptime + (aNow - report->m_receivedAt);
    route.m_complete = !report->m_boot.IsEmpty();
  }
  aRoutes.emplace(route.m_group, std::move(route));
}

auto Essence(const Route& aRoute)
{
  return std::tie(aRoute.m_group,
                  aRoute.m_target,
                  aRoute.m_leader,
                  aRoute.m_boot,
                  aRoute.m_generation,
                  aRoute.m_complete,
                  aRoute.m_draining,
                  aRoute.m_load,
                  aRoute.m_requestLimit,
                  aRoute.m_coldLimit,
                  aRoute.m_warmUp);
}

} // namespace

const char* MemberStandingName(MemberStanding aStanding)
{
  switch (aStanding) {
    case MemberStanding::Ready:
      return "ready";
    case MemberStanding::Absent:
      return "absent";
    case MemberStanding::Elsewhere:
      return "elsewhere";
    case MemberStanding::Loading:
      return "loading";
    case MemberStanding::Draining:
      return "draining";
  }
  return "absent";
}

MemberStanding StandingOf(const PlacementState& aState,
                          Millis aNow,
                          const Group& aGroup,
                          const HostId& aHost)
{
  const ServerReport* report = FreshReport(aState.m_presence, aNow, aHost);
  if (report == nullptr || report->m_boot.IsEmpty()) {
    return MemberStanding::Absent;
  }
  if (report->m_group != aGroup.m_id ||
      report->m_generation != aGroup.m_generation ||
      report->m_phase == MemberPhase::Idle) {
    return MemberStanding::Elsewhere;
  }
  if (report->m_phase == MemberPhase::Loading) {
    return MemberStanding::Loading;
  }
  return report->m_phase == MemberPhase::Draining ? MemberStanding::Draining
                                                  : MemberStanding::Ready;
}

bool IsComplete(const PlacementState& aState, Millis aNow, const Group& aGroup)
{
  return !aGroup.m_members.empty() &&
         std::all_of(aGroup.m_members.begin(),
                     aGroup.m_members.end(),
                     [&](const HostId& aHost) {
                       return StandingOf(aState, aNow, aGroup, aHost) ==
                              MemberStanding::Ready;
                     });
}

Millis LeastUptime(const PlacementState& aState,
                   Millis aNow,
                   const Group& aGroup)
{
  bool isFirst = true;
  Millis least;
  for (const HostId& host : aGroup.m_members) {
    const ServerReport* report = FreshReport(aState.m_presence, aNow, host);
    if (report == nullptr) {
      continue;
    }
    const Millis uptime = report->m_uptime + (aNow - report->m_receivedAt);
    least = isFirst ? uptime : std::min(least, uptime);
    isFirst = false;
  }
  return least;
}

std::map<GroupId, Route> BuildRoutes(const PlacementState& aState, Millis aNow)
{
  std::map<GroupId, Route> routes;
  for (const auto& entry : aState.m_domains) {
    for (const Group& group : entry.second.m_row.m_groups) {
      if (IsInSubset(group.m_id.Value(), aState.m_self, aState.m_roster)) {
        AddGroupRoute(aState, aNow, group, routes);
      }
    }
  }
  for (const auto& entry : aState.m_fleet.m_services) {
    for (const HostId& id : entry.second.m_hosts) {
      const HostConfig* host = ConfigOf(aState, id);
      if (host != nullptr &&
          IsInSubset(id.Value(), aState.m_self, aState.m_roster)) {
        AddServiceRoute(aState, aNow, entry.second, *host, routes);
      }
    }
  }
  return routes;
}

bool RoutesDiffer(const std::map<GroupId, Route>& aBefore,
                  const std::map<GroupId, Route>& aAfter)
{
  return !std::equal(aBefore.begin(),
                     aBefore.end(),
                     aAfter.begin(),
                     aAfter.end(),
                     [](const auto& aA, const auto& aB) {
                       return Essence(aA.second) == Essence(aB.second);
                     });
}

} // namespace briarglade
