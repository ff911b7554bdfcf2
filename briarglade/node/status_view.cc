// Views of the node's state.

#include "briarglade/node/status_view.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "briarglade/core/node_state.h"
#include "briarglade/membership/membership.h"
#include "briarglade/placement/placement.h"
#include "briarglade/routing/address_list.h"

namespace briarglade {

namespace {

using nlohmann::json;

json RenderGroups(const NodeState& aState, Millis aNow)
{
  json groups = json::array();
  for (const GroupStatus& group : DescribeGroups(aState.m_placement, aNow)) {
    groups.push_back({ { "group", group.m_group },
                       { "domain", group.m_domain },
                       { "zone", group.m_zone },
                       { "model", group.m_model },
                       { "generation", group.m_generation },
                       { "state", group.m_state },
                       { "reason", group.m_reason },
                       { "complete", group.m_isComplete },
                       { "told", group.m_isTold },
                       { "members", group.m_members } });
  }
  return groups;
}

json RenderServices(const NodeState& aState)
{
  json services = json::array();
  for (const auto& [group, route] : aState.m_routes) {
    if (!route.m_target.m_service.IsEmpty()) {
      services.push_back({ { "host", group.Value() },
                           { "service", route.m_target.m_service.Value() },
                           { "zone", route.m_zone.Value() },
                           { "complete", route.m_complete } });
    }
  }
  return services;
}

json RenderRoster(const NodeState& aState)
{
  json roster = json::array();
  for (const RosterNode& node : aState.m_roster) {
    roster.push_back(
      { { "node", node.m_id.Value() },
        { "zone", node.m_zone.Value() },
        { "leaving", aState.m_leavingNodes.count(node.m_id) > 0 } });
  }
  return roster;
}

json RenderChanges(const NodeState& aState)
{
  json changes = json::array();
  for (const ChangeRecord& change : ListChanges(aState.m_membership)) {
    changes.push_back({ { "version", change.m_version },
                        { "what", change.m_what },
                        { "who", change.m_who },
                        { "why", change.m_why },
                        { "when_unix_ms", change.m_whenUnixMs } });
  }
  return changes;
}

} // namespace

std::string RenderStatus(const NodeState& aState, Millis aNow, size_t aInFlight)
{
  json zones = json::object();
  for (const auto& zone : aState.m_fleet.m_zones) {
    zones[zone.first.Value()] = "in";
  }
  for (const auto& [zone, state] : aState.m_zones) {
    zones[zone.Value()] = state == ZoneState::Out ? "out" : "in";
  }
  const json status = { { "node", aState.m_self.Value() },
                        { "confirmed", aState.m_confirmed },
                        { "version", aState.m_fleetVersion.Value() },
                        { "zones", zones },
                        { "roster", RenderRoster(aState) },
                        { "groups", RenderGroups(aState, aNow) },
                        { "services", RenderServices(aState) },
                        { "changes", RenderChanges(aState) },
                        { "in_flight", aInFlight } };
  return status.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string RenderAddresses(const NodeState& aState, Millis aLifetime)
{
  std::vector<AddressCandidate> candidates;
  for (const RosterNode& node : aState.m_roster) {
    AddressCandidate candidate;
    candidate.m_node = node.m_id;
    candidate.m_endpoint = node.m_callerEndpoint;
    candidate.m_zone = node.m_zone;
    // Whether another node is confirmed is known only to itself: it refuses
    // with "not run" and its callers try the next address.
    candidate.m_confirmed = node.m_id != aState.m_self || aState.m_confirmed;
    candidate.m_leaving = aState.m_leavingNodes.count(node.m_id) > 0;
    candidates.push_back(std::move(candidate));
  }
  const AddressList list = BuildAddressList(candidates);
  json addresses = json::array();
  for (const AddressEntry& entry : list.m_entries) {
    addresses.push_back({ { "address", entry.m_endpoint.ToString() },
                          { "zone", entry.m_zone.Value() },
                          { "weight", entry.m_weight } });
  }
  return json{
    { "addresses", addresses },
    { "keep_ms", std::min(aLifetime, list.m_lifetime).Count() }
  }.dump();
}

} // namespace briarglade
