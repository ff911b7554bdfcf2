// The first, thin decision core: configuration by polling the table, fixed
// groups of neighbouring hosts, the least loaded complete group for each
// request.

#include "briarglade/core/reduce.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarglade/base/overloaded.h"
#include "briarglade/config/fleet_json.h"
#include "briarglade/core/node_state.h"

namespace briarglade {

namespace {

using nlohmann::json;

constexpr Millis kTablePollPeriod = Millis(500);
constexpr Millis kProbePeriod = Millis(500);
constexpr Millis kReportLife = Millis(2'000);
constexpr Millis kOrderPeriod = Millis(1'000);
constexpr Millis kConfirmationLife = Millis(3'000);
constexpr Millis kRetryAfter = Millis(1'000);

RowKey ConfigRow(const NodeState& aState)
{
  return RowKey("fact/" + aState.m_region.Value() + "/config");
}

std::string ZonePrefix(const NodeState& aState)
{
  return "fact/" + aState.m_region.Value() + "/zone/";
}

void ReadConfigRow(NodeState& aState, const TableRow& aRow)
{
  const json row = json::parse(aRow.m_value, nullptr, false);
  if (!row.is_object()) {
    return;
  }
  const Result<FleetConfig> fleet = FleetFromJson(row.value("fleet", ""));
  if (GetError(fleet) != nullptr) {
    return;
  }
  aState.m_fleet = std::get<FleetConfig>(fleet);
  aState.m_configRow = aRow.m_version;
  aState.m_configVersion = ConfigVersion(row.value("version", uint64_t{ 0 }));
}

void ReadZoneRow(NodeState& aState, const TableRow& aRow)
{
  const ZoneId zone(aRow.m_key.Value().substr(ZonePrefix(aState).size()));
  const json row = json::parse(aRow.m_value, nullptr, false);
  const bool isOut = row.is_object() && row.value("state", "") == "out";
  aState.m_zones[zone] = isOut ? ZoneState::Out : ZoneState::In;
  aState.m_zoneRows[zone] = aRow.m_version;
}

void ReadRow(NodeState& aState, const TableRow& aRow)
{
  if (aRow.m_key == ConfigRow(aState)) {
    ReadConfigRow(aState, aRow);
  } else if (aRow.m_key.Value().rfind(ZonePrefix(aState), 0) == 0) {
    ReadZoneRow(aState, aRow);
  }
}

void OnTableResult(NodeState& aState,
                   Millis aNow,
                   const TableResult& aResult,
                   Effects& aEffects)
{
  if (aResult.m_status == TableStatus::Ok) {
    for (const TableRow& row : aResult.m_rows) {
      ReadRow(aState, row);
    }
  }
  const auto command = aState.m_commands.find(aResult.m_operation);
  if (command == aState.m_commands.end()) {
    if (aResult.m_status == TableStatus::Ok) {
      aState.m_tableChange = aResult.m_change;
      aState.m_tableReadAt = aNow;
    }
    return;
  }
  CommandAnswer answer;
  answer.m_command = command->second;
  answer.m_version = aState.m_configVersion;
  if (aResult.m_status == TableStatus::Conflict) {
    answer.m_code = ResultCode::ChangeRaced;
  } else if (aResult.m_status != TableStatus::Ok) {
    answer.m_code = ResultCode::TableUnavailable;
  }
  aState.m_commands.erase(command);
  aEffects.emplace_back(std::move(answer));
}

void OnApply(NodeState& aState, const ApplyCommand& aCommand, Effects& aEffects)
{
  TableWrite write;
  write.m_operation = OperationId(aState.m_ids.Next());
  write.m_key = ConfigRow(aState);
  write.m_expected = aState.m_configRow;
  write.m_value = json{
    { "version", aState.m_configVersion.Next().Value() },
    { "fleet", aCommand.m_fleetJson },
    { "who", aCommand.m_who },
    { "why", aCommand.m_why }
  }.dump();
  aState.m_commands[write.m_operation] = aCommand.m_command;
  aEffects.emplace_back(std::move(write));
}

void OnZone(NodeState& aState, const ZoneCommand& aCommand, Effects& aEffects)
{
  TableWrite write;
  write.m_operation = OperationId(aState.m_ids.Next());
  write.m_key = RowKey(ZonePrefix(aState) + aCommand.m_zone.Value());
  write.m_expected = aState.m_zoneRows[aCommand.m_zone];
  write.m_value = json{
    { "state", aCommand.m_state == ZoneState::Out ? "out" : "in" },
    { "who", aCommand.m_who },
    { "why", aCommand.m_why }
  }.dump();
  aState.m_commands[write.m_operation] = aCommand.m_command;
  aEffects.emplace_back(std::move(write));
}

bool IsServiceHost(const FleetConfig& aFleet, const HostId& aHost)
{
  for (const auto& entry : aFleet.m_services) {
    const auto& hosts = entry.second.m_hosts;
    if (std::find(hosts.begin(), hosts.end(), aHost) != hosts.end()) {
      return true;
    }
  }
  return false;
}

// Groups neighbouring hosts of each domain, model by model.
void PlanGroups(NodeState& aState)
{
  std::map<DomainId, std::vector<const HostConfig*>> domains;
  for (const auto& entry : aState.m_fleet.m_hosts) {
    if (!IsServiceHost(aState.m_fleet, entry.first)) {
      domains[entry.second.m_domain].push_back(&entry.second);
    }
  }
  aState.m_wanted.clear();
  aState.m_routes.clear();
  for (const auto& [modelId, model] : aState.m_fleet.m_models) {
    for (auto& [domainId, hosts] : domains) {
      uint32_t number = 0;
      while (hosts.size() >= model.m_members) {
        Route route;
        route.m_group = GroupId(domainId.Value() + "/" + modelId.Value() + "/" +
                                std::to_string(++number));
        route.m_target.m_model = modelId;
        route.m_domain = domainId;
        route.m_zone = hosts.front()->m_zone;
        route.m_leader = hosts.front()->m_endpoint;
        route.m_generation = Generation(1);
        route.m_requestLimit = model.m_requestLimit;
        route.m_coldLimit = model.m_coldLimit;
        for (uint32_t rank = 0; rank < model.m_members; ++rank) {
          ServerOrder order;
          order.m_host = hosts[rank]->m_id;
          order.m_group = route.m_group;
          order.m_generation = route.m_generation;
          order.m_model = modelId;
          order.m_rank = rank;
          order.m_members = model.m_members;
          order.m_fencing = FencingToken(1);
          aState.m_wanted[order.m_host] = order;
        }
        hosts.erase(hosts.begin(), hosts.begin() + model.m_members);
        aState.m_routes[route.m_group] = route;
      }
    }
  }
}

void AddServiceRoutes(NodeState& aState)
{
  for (const auto& [serviceId, service] : aState.m_fleet.m_services) {
    for (const HostId& hostId : service.m_hosts) {
      const auto host = aState.m_fleet.m_hosts.find(hostId);
      if (host == aState.m_fleet.m_hosts.end()) {
        continue;
      }
      Route route;
      route.m_group = GroupId(hostId.Value());
      route.m_target.m_service = serviceId;
      route.m_zone = host->second.m_zone;
      route.m_leader = host->second.m_endpoint;
      route.m_requestLimit = service.m_requestLimit;
      aState.m_routes[route.m_group] = route;
    }
  }
}

bool IsFresh(const NodeState& aState, Millis aNow, const HostId& aHost)
{
  const auto report = aState.m_reports.find(aHost);
  return report != aState.m_reports.end() &&
         aNow - report->second.m_receivedAt < kReportLife;
}

bool IsObeyed(const ServerReport& aReport, const ServerOrder& aOrder)
{
  return aReport.m_group == aOrder.m_group &&
         aReport.m_generation == aOrder.m_generation &&
         aReport.m_phase == MemberPhase::Ready;
}

void UpdateCompleteness(NodeState& aState, Millis aNow)
{
  for (auto& [group, route] : aState.m_routes) {
    route.m_complete = route.m_target.m_model.IsEmpty()
                         ? IsFresh(aState, aNow, HostId(group.Value()))
                         : true;
  }
  for (const auto& [host, order] : aState.m_wanted) {
    Route& route = aState.m_routes[order.m_group];
    if (!IsFresh(aState, aNow, host) ||
        !IsObeyed(aState.m_reports[host], order)) {
      route.m_complete = false;
    } else if (order.m_rank == 0) {
      route.m_load = aState.m_reports[host].m_load;
    }
  }
}

void SendOrders(NodeState& aState, Millis aNow, Effects& aEffects)
{
  for (const auto& [host, order] : aState.m_wanted) {
    const auto config = aState.m_fleet.m_hosts.find(host);
    if (config == aState.m_fleet.m_hosts.end() ||
        !IsFresh(aState, aNow, host) ||
        aState.m_reports[host].m_group == order.m_group ||
        aNow - aState.m_orderedAt[host] < kOrderPeriod) {
      continue;
    }
    aState.m_orderedAt[host] = aNow;
    aEffects.emplace_back(SendOrder{ order, config->second.m_endpoint });
  }
}

void OnTick(NodeState& aState, Millis aNow, Effects& aEffects)
{
  if (aNow - aState.m_tableAskedAt >= kTablePollPeriod) {
    aState.m_tableAskedAt = aNow;
    TableRead read;
    read.m_operation = OperationId(aState.m_ids.Next());
    read.m_key = RowKey("fact/" + aState.m_region.Value() + "/");
    read.m_isPrefix = true;
    read.m_sinceChange = aState.m_tableChange;
    aEffects.emplace_back(std::move(read));
  }
  for (const auto& [id, host] : aState.m_fleet.m_hosts) {
    const auto probed = aState.m_probedAt.find(id);
    if (probed == aState.m_probedAt.end() ||
        aNow - probed->second >= kProbePeriod) {
      aState.m_probedAt[id] = aNow;
      aEffects.emplace_back(ProbeServer{ id, host.m_endpoint });
    }
  }
  PlanGroups(aState);
  AddServiceRoutes(aState);
  UpdateCompleteness(aState, aNow);
  SendOrders(aState, aNow, aEffects);
}

const Route* ChooseRoute(const NodeState& aState, const RouteTarget& aTarget)
{
  const Route* best = nullptr;
  uint32_t bestLoad = 0;
  for (const auto& [group, route] : aState.m_routes) {
    const auto zone = aState.m_zones.find(route.m_zone);
    const bool isOut =
      zone != aState.m_zones.end() && zone->second == ZoneState::Out;
    if (!(route.m_target == aTarget) || !route.m_complete || isOut) {
      continue;
    }
    const auto own = aState.m_inFlight.find(group);
    const uint32_t load =
      route.m_load + (own == aState.m_inFlight.end() ? 0 : own->second);
    if (best == nullptr || load < bestLoad) {
      best = &route;
      bestLoad = load;
    }
  }
  return best;
}

void OnArrived(NodeState& aState,
               Millis aNow,
               const RequestArrived& aRequest,
               Effects& aEffects)
{
  FinishRequest refusal;
  refusal.m_request = aRequest.m_request;
  refusal.m_retryAfter = kRetryAfter;
  if (aNow - aState.m_tableReadAt > kConfirmationLife) {
    refusal.m_code = ResultCode::Unconfirmed;
    aEffects.emplace_back(refusal);
    return;
  }
  const Route* route = ChooseRoute(aState, aRequest.m_target);
  if (route == nullptr) {
    refusal.m_code = ResultCode::NoCapacity;
    aEffects.emplace_back(refusal);
    return;
  }
  StartAttempt start;
  start.m_request = aRequest.m_request;
  start.m_attempt = AttemptId(aState.m_ids.Next());
  start.m_group = route->m_group;
  start.m_leader = route->m_leader;
  start.m_priority = aRequest.m_priority;
  start.m_deadline = aRequest.m_deadline;
  ++aState.m_inFlight[route->m_group];
  aState.m_running[aRequest.m_request] =
    NodeState::Running{ aRequest, start.m_attempt, route->m_group, false };
  aState.m_attempts[start.m_attempt] = aRequest.m_request;
  aEffects.emplace_back(std::move(start));
}

ResultCode CodeOfEnd(ExchangeEnd aEnd, bool aBegan)
{
  switch (aEnd) {
    case ExchangeEnd::Whole:
      return ResultCode::Ok;
    case ExchangeEnd::ConnectRefused:
    case ExchangeEnd::ResetBeforeSend:
    case ExchangeEnd::RefusedByServer:
      return aBegan ? ResultCode::StreamCut : ResultCode::BackendRefused;
    case ExchangeEnd::Timeout:
      return ResultCode::DeadlineExceeded;
    case ExchangeEnd::WrongAnswer:
      return ResultCode::BackendAnswerInvalid;
    case ExchangeEnd::Truncated:
      return ResultCode::StreamCut;
    case ExchangeEnd::ResetBeforeAnswer:
    case ExchangeEnd::Cancelled:
      return ResultCode::BackendFailed;
  }
  return ResultCode::Internal;
}

void OnAttemptEnded(NodeState& aState,
                    const AttemptEnded& aEnded,
                    Effects& aEffects)
{
  const auto attempt = aState.m_attempts.find(aEnded.m_attempt);
  if (attempt == aState.m_attempts.end()) {
    return;
  }
  const RequestId request = attempt->second;
  aState.m_attempts.erase(attempt);
  const auto running = aState.m_running.find(request);
  if (running == aState.m_running.end()) {
    return;
  }
  --aState.m_inFlight[running->second.m_group];
  FinishRequest finish;
  finish.m_request = request;
  finish.m_attempt = aEnded.m_attempt;
  finish.m_code = CodeOfEnd(aEnded.m_end, running->second.m_began);
  aState.m_running.erase(running);
  aEffects.emplace_back(finish);
}

void OnCallerGone(NodeState& aState, const CallerGone& aGone, Effects& aEffects)
{
  const auto running = aState.m_running.find(aGone.m_request);
  if (running != aState.m_running.end()) {
    aEffects.emplace_back(CancelAttempt{ running->second.m_attempt });
  }
}

} // namespace

Effects Reduce(NodeState& aState, const Event& aEvent)
{
  Effects effects;
  const Millis now = aEvent.m_at;
  std::visit(
    Overloaded{
      [&](const Tick&) { OnTick(aState, now, effects); },
      [&](const TableResult& aResult) {
        OnTableResult(aState, now, aResult, effects);
      },
      [&](const ServerReport& aReport) {
        aState.m_reports[aReport.m_host] = aReport;
      },
      [&](const ServerSilent& aSilent) {
        aState.m_reports.erase(aSilent.m_host);
      },
      [&](const HostListRead&) {},
      [&](const ApplyCommand& aCommand) { OnApply(aState, aCommand, effects); },
      [&](const ZoneCommand& aCommand) { OnZone(aState, aCommand, effects); },
      [&](const RequestArrived& aRequest) {
        OnArrived(aState, now, aRequest, effects);
      },
      [&](const AttemptAnswerBegan& aBegan) {
        const auto attempt = aState.m_attempts.find(aBegan.m_attempt);
        if (attempt != aState.m_attempts.end()) {
          aState.m_running[attempt->second].m_began = true;
        }
      },
      [&](const AttemptEnded& aEnded) {
        OnAttemptEnded(aState, aEnded, effects);
      },
      [&](const CallerGone& aGone) { OnCallerGone(aState, aGone, effects); } },
    aEvent.m_body);
  return effects;
}

} // namespace briarglade
