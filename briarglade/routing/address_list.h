// Builds the answer to GET /v1/addresses: the nodes that a caller should use,
// their weights, and how long the caller may cache the answer.
//
// Example:
//   const AddressList list = BuildAddressList(candidates);

#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

// The weight of a node whose load equals the mean.
constexpr uint32_t kMeanAddressWeight = 100;

// What this node knows about one node of the roster.
struct AddressCandidate
{
  NodeId m_node;
  Endpoint m_endpoint;
  ZoneId m_zone;
  // True if its configuration is confirmed, so that it may start requests.
  bool m_confirmed = false;
  // True if it is shutting down: it still serves requests, but should get no
  // new callers.
  bool m_leaving = false;
  // Requests in flight at the node, if known.
  std::optional<uint32_t> m_inFlight;
};

// One address returned to callers.
struct AddressEntry
{
  NodeId m_node;
  Endpoint m_endpoint;
  ZoneId m_zone;
  // The weight of this entry relative to the other entries. Zero means that it
  // is used only if no other entry responds.
  uint32_t m_weight = 0;
};

struct AddressList
{
  std::vector<AddressEntry> m_entries;
  // How long callers may cache the answer.
  Millis m_lifetime;
};

// Builds the answer. Unconfirmed nodes are omitted; leaving nodes come last,
// with weight zero. Nodes below the mean load get a higher weight, within
// bounds. The cache lifetime is shorter while any node is omitted.
AddressList BuildAddressList(const std::vector<AddressCandidate>& aCandidates);

} // namespace briarglade
