// Rendezvous (highest random weight) hashing: every process that knows the same
// candidates ranks them alike, and a change of one candidate moves only its
// share.
//
// Example:
//   std::vector<NodeId> ranked = RankNodes(group.Value(), roster);
//   NodeId watcher = ranked.front();

#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "briarglade/base/ids.h"

namespace briarglade {

// Returns the weight of a candidate for a key; equal on every machine.
uint64_t RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

// Returns the nodes in descending order of weight for the key.
std::vector<NodeId> RankNodes(std::string_view aKey,
                              const std::vector<NodeId>& aNodes);

} // namespace briarglade
