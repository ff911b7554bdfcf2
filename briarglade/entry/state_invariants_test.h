// What holds of a node's servers, groups and backends after each event, however
// entries and reports come. The simulated fleets check it after every step.
//
// Example:
//   CHECK(BrokenInvariant(state) == "");

#pragma once

#include <map>
#include <string>

#include "briarglade/entry/reduce_entry.h"

namespace briarglade {

// Returns what is wrong with a group: a member that is not known, has ended, or
// does not say that it is a member.
inline std::string BrokenGroup(const EntryState& aState,
                               const ReplicaGroup& aGroup)
{
  if (aGroup.m_members.empty()) {
    return aGroup.m_id.Value() + " has no ranks";
  }
  for (const HostId& member : aGroup.m_members) {
    if (member.IsEmpty()) {
      continue;
    }
    const std::string name = aGroup.m_id.Value() + "'s " + member.Value();
    const auto server = aState.m_servers.find(member);
    if (server == aState.m_servers.end()) {
      return name + " is unknown";
    }
    if (server->second.m_endedAt) {
      return name + " has ended";
    }
    const auto& membership = server->second.m_groupMembership;
    if (!membership || membership->m_group != aGroup.m_id) {
      return name + " is in another group";
    }
  }
  return "";
}

// Returns the address at which two servers count as running, if there is one.
// Servers without an address or a start, as some tests have them, don't count,
// nor do entries of services that are not configured: they name no server.
inline std::string SharedAddress(const EntryState& aState)
{
  std::map<Endpoint, const ServerRecord*> running;
  for (const auto& [host, server] : aState.m_servers) {
    const bool counts = !server.m_endedAt && server.m_startedAt != 0 &&
                        server.m_endpoint.m_port != 0 &&
                        aState.m_routes->FindService(server.m_service);
    if (!counts) {
      continue;
    }
    const auto [entry, isFirst] =
      running.try_emplace(server.m_endpoint, &server);
    if (!isFirst && entry->second->m_startedAt != server.m_startedAt) {
      return entry->second->m_host.Value() + " and " + host.Value() +
             " run at one address";
    }
  }
  return "";
}

// Returns what is wrong with the backends that may receive new requests.
inline std::string BrokenBackend(const EntryState& aState)
{
  const BackendTable& table = aState.m_gateway.m_backendTable;
  for (size_t i = 0; i < table.SlotCount(); ++i) {
    const BackendSlot& slot = table.Slot(i);
    const auto server = aState.m_servers.find(slot.m_backend.m_server);
    const bool isUsable =
      server != aState.m_servers.end() && !server->second.m_endedAt;
    if (slot.m_isListed && !isUsable) {
      return "requests go to " + slot.m_backend.m_server.Value() +
             ", which is gone";
    }
  }
  return "";
}

// Returns what is wrong, or an empty text. While the groups are yet to be found
// anew, there is nothing to say.
inline std::string BrokenInvariant(const EntryState& aState)
{
  if (aState.m_areBackendsStale || !aState.m_routes) {
    return "";
  }
  for (const auto& [id, group] : aState.m_groups) {
    std::string broken = BrokenGroup(aState, group);
    if (!broken.empty()) {
      return broken;
    }
  }
  const std::string shared = SharedAddress(aState);
  return shared.empty() ? BrokenBackend(aState) : shared;
}

} // namespace briarglade
