// This node's part of the limits that hold for all nodes together.
//
// The parts are split over the roster that the node was last told, whole units
// by rank (base/roster_place.h), so that they add up to the limit at any number
// of nodes. A roster holds only for a time: a node that isn't told again in
// time has no part any more, as others may count on it by then.
//
// Example:
//   share.SetRoster(nodes, now + Millis(3'000));
//   if (share.IsValid(now)) { limit = share.PartOf(service.Value(), 80); }

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/roster_place.h"

namespace briarglade {

// The names of nodes, in order.
using NodeList = std::shared_ptr<const std::vector<NodeId>>;

class FleetShare
{
public:
  explicit FleetShare(NodeId aSelf)
    : m_self(std::move(aSelf))
  {
  }

  // Takes the nodes that share the limits, and until when this node may use its
  // part of them; none: it has no part.
  void SetRoster(NodeList aNodes, Millis aValidUntil);

  bool IsValid(Millis aNow) const { return aNow < m_validUntil; }
  // Counts the changes of the roster.
  uint64_t RosterNumber() const { return m_rosterNumber; }
  size_t NodeCount() const { return m_nodes ? m_nodes->size() : 0; }
  // Returns this node's place for a key; it changes only with the roster.
  RosterPlace PlaceFor(std::string_view aKey) const;
  // Returns this node's part of a limit by the last roster, valid or not.
  uint32_t PartOf(std::string_view aKey, uint32_t aLimit) const;

private:
  NodeId m_self;
  NodeList m_nodes;
  Millis m_validUntil;
  uint64_t m_rosterNumber = 0;
};

} // namespace briarglade
