// The answer to GET /v1/addresses: which nodes a caller should use, with which
// weights, and for how long it may keep the answer.
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

// The weight of a node that carries the mean load.
constexpr uint32_t kMeanAddressWeight = 100;

// What is known of one node of the roster.
struct AddressCandidate
{
  NodeId m_node;
  Endpoint m_endpoint;
  ZoneId m_zone;
  // Its configuration is confirmed, so that it may give out work.
  bool m_confirmed = false;
  // It is shutting down: it still serves, but should get no new callers.
  bool m_leaving = false;
  // Requests in flight there, where they are known.
  std::optional<uint32_t> m_inFlight;
};

// One address for callers.
struct AddressEntry
{
  NodeId m_node;
  Endpoint m_endpoint;
  ZoneId m_zone;
  // The part of a caller's requests relative to the other entries; zero: only
  // if no other answers.
  uint32_t m_weight = 0;
};

struct AddressList
{
  std::vector<AddressEntry> m_entries;
  // How long the answer may be kept.
  Millis m_keepFor;
};

// Builds the answer. Nodes without confirmation are left out; leaving nodes
// come last, with weight zero. Nodes below the mean load weigh more, within
// bounds. The answer may be kept for a short time only while a node is left
// out.
AddressList BuildAddressList(const std::vector<AddressCandidate>& aCandidates);

} // namespace briarglade
