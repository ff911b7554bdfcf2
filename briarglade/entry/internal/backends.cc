// Derives the groups and the backends that may receive requests from what is
// known of the servers.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "briarglade/base/erase_if.h"

namespace briarglade::internal {

// Finds the groups anew, so that each of their members is a known server.
void EntryReduction::UpdateGroups()
{
  do {
    m_state.m_groups =
      FindGroups(m_state.m_servers, m_state.m_routes->Config());
    EraseIf(m_state.m_endedGroups, [&](const GroupId& aGroup) {
      return m_state.m_groups.count(aGroup) == 0;
    });
  } while (RemoveUnlisted());
}

Backend EntryReduction::MakeBackend(const ServerRecord& aServer,
                                    const ServiceSpec& aService) const
{
  Backend backend;
  backend.m_server = aServer.m_host;
  backend.m_service = aServer.m_service;
  backend.m_run = RunOf(aServer);
  backend.m_endpoint = aServer.m_endpoint;
  backend.m_zone = aServer.m_zone;
  backend.m_slots = aServer.m_slots;
  backend.m_maxConnections = aService.m_maxConnections;
  backend.m_coldRate = aService.m_coldRequestsPerSecond;
  backend.m_coldUntil = ColdUntil(aServer, aService);
  return backend;
}

// Returns until when a server is, or may be, cold. Servers of a zone that
// was taken out may have become cold, and their entries report this only some
// time later.
Millis EntryReduction::ColdUntil(const ServerRecord& aServer,
                                 const ServiceSpec& aService) const
{
  const auto returned = m_state.m_zonesReturnedAt.find(aServer.m_zone);
  if (returned == m_state.m_zonesReturnedAt.end()) {
    return aServer.m_coldUntil;
  }
  return std::max(aServer.m_coldUntil, returned->second + aService.m_coldTime);
}

// Returns the stated times of a service's engine, with the strictest goal for
// the pauses of the streams that are routed to the service.
EngineTimes EntryReduction::TimesOf(const ServiceSpec& aService) const
{
  constexpr double kMillisPerSecond = 1'000;
  const EngineSpec& engine = *aService.m_engine;
  EngineTimes times;
  times.m_stepMillis = engine.m_stepMillis;
  times.m_stepMillisPerRequest = engine.m_stepMillisPerRequest;
  times.m_prefillTokensPerMilli =
    engine.m_prefillTokensPerSecond / kMillisPerSecond;
  times.m_prefillChunkTokens = engine.m_prefillChunkTokens;
  times.m_stepsPerPass = engine.m_stepsPerPass;
  for (const RouteRule& route : m_state.m_routes->Config().m_routes) {
    const bool isToService =
      std::any_of(route.m_services.begin(),
                  route.m_services.end(),
                  [&](const WeightedService& aTarget) {
                    return aTarget.m_service == aService.m_id;
                  });
    if (isToService && route.m_kind == RouteKind::Stream) {
      times.m_gapGoal = times.m_gapGoal == Millis()
                          ? route.m_gapGoal
                          : std::min(times.m_gapGoal, route.m_gapGoal);
    }
  }
  return times;
}

// Returns the backends that may receive new requests: servers of services
// without groups, and the leaders of groups that serve.
std::vector<Backend> EntryReduction::MakeBackends()
{
  std::vector<Backend> backends;
  for (const auto& [host, server] : m_state.m_servers) {
    const ServiceSpec* service =
      m_state.m_routes->FindService(server.m_service);
    const bool isUsable = service != nullptr && !service->m_engine &&
                          !server.m_isDraining && !server.m_endedAt &&
                          m_state.m_zonesOut.count(server.m_zone) == 0;
    if (isUsable) {
      backends.push_back(MakeBackend(server, *service));
    }
  }
  // A configuration may have thousands of routes: they are searched once for
  // each service, not for each group.
  std::map<ServiceId, EngineTimes> timesOfServices;
  for (const auto& [id, group] : m_state.m_groups) {
    const ServiceSpec* service = m_state.m_routes->FindService(group.m_service);
    if (!IsServing(group) || service == nullptr ||
        m_state.m_endedGroups.count(id) > 0) {
      continue;
    }
    const auto found = m_state.m_servers.find(group.Leader());
    if (found == m_state.m_servers.end()) {
      // UpdateGroups() leaves no such group; one must not end this node.
      Log(LogLevel::Warn,
          "group-leader-unknown",
          { { "group", id.Value() }, { "leader", group.Leader().Value() } });
      continue;
    }
    const ServerRecord& leader = found->second;
    if (leader.m_isDraining || m_state.m_zonesOut.count(leader.m_zone) > 0) {
      continue;
    }
    Backend backend = MakeBackend(leader, *service);
    backend.m_group = id;
    backend.m_model = group.m_model;
    backend.m_slots = service->m_engine->m_slots;
    const ReplicaModel* model = service->m_engine->FindModel(group.m_model);
    backend.m_maxPassTime = service->m_engine->MaxPassTime(
      model == nullptr ? 1 : model->m_timeFactor);
    auto times = timesOfServices.find(service->m_id);
    if (times == timesOfServices.end()) {
      times = timesOfServices.emplace(service->m_id, TimesOf(*service)).first;
    }
    backend.m_times =
      times->second.MultipliedBy(model == nullptr ? 1 : model->m_timeFactor);
    backends.push_back(std::move(backend));
  }
  return backends;
}

void EntryReduction::UpdateBackends()
{
  m_state.m_areBackendsStale = false;
  m_state.m_backendsUpdatedAt = m_now;
  if (!m_state.m_routes) {
    return;
  }
  UpdateGroups();
  DispatchToGateway(BackendsChanged{ MakeBackends() });
}

} // namespace briarglade::internal
