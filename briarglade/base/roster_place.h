// Splits a limit that holds for all nodes together: whole units are dealt one
// by one to the nodes of a roster, in an order that every node works out alike.
// The parts of all nodes add up to the limit, also where it is less than the
// number of nodes; they are never rounded up.
//
// Example:
//   RosterPlace place = PlaceIn(roster, server.Value(), self);
//   if (inFlight < DealtTo(place, limit)) { Send(); }

#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "briarglade/base/ids.h"

namespace briarglade {

// A node's place in one roster, for one key.
struct RosterPlace
{
  uint32_t m_nodes = 0;
  // 0 is the first; m_nodes if the node is not on the roster.
  uint32_t m_rank = 0;
};

// Returns the place of a node by rendezvous rank for the key. It never comes
// nearer to the front when other nodes join the roster.
RosterPlace PlaceIn(const std::vector<NodeId>& aRoster,
                    std::string_view aKey,
                    const NodeId& aSelf);

// Returns the first aCount nodes of a roster by rank for the key, or all nodes
// if there are fewer.
std::vector<NodeId> FirstByRank(const std::vector<NodeId>& aRoster,
                                std::string_view aKey,
                                size_t aCount);

// Returns the units out of aLimit that are dealt to a place. They never grow
// with the rank or with the number of nodes.
uint32_t DealtTo(const RosterPlace& aPlace, uint32_t aLimit);

} // namespace briarglade
