// This node's quota of the limits that apply to the whole fleet.
//
// A limit is distributed over the nodes of the last received roster in whole
// units by rank (base/roster_place.h), so that the quotas add up to the limit
// for any number of nodes. A roster is valid for a limited time. A node that
// does not receive a new one in time has no quota any more, because other nodes
// may have been assigned it by then.
//
// Example:
//   quota.SetRoster(nodes, now + Millis(3'000));
//   if (quota.IsValid(now)) { limit = quota.LocalQuota(service.Value(), 80); }

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

// The names of nodes, sorted.
using NodeList = std::shared_ptr<const std::vector<NodeId>>;

// Computes the local quotas from the last roster.
class FleetQuota
{
public:
  explicit FleetQuota(NodeId aSelf)
    : m_self(std::move(aSelf))
  {
  }

  // Sets the nodes that share the limits, and until when this node may use its
  // quotas. Without nodes, all quotas are zero.
  void SetRoster(NodeList aNodes, Millis aValidUntil);

  // Sets the number of nodes that are live, this one included.
  void SetLiveNodeCount(size_t aCount) { m_liveNodeCount = aCount; }

  const NodeId& Self() const { return m_self; }
  // Returns the number of live nodes, in the roster or not.
  size_t LiveNodeCount() const { return m_liveNodeCount; }
  // Returns whether this node may use its quotas.
  bool IsValid(Millis aNow) const { return aNow < m_validUntil; }
  // Returns a number that increases with each change of the roster.
  uint64_t RosterVersion() const { return m_rosterVersion; }
  // Returns the number of nodes in the last roster.
  size_t NodeCount() const { return m_nodes ? m_nodes->size() : 0; }
  // Returns this node's rank for a key. It changes only when the roster
  // changes.
  RosterPlace RankFor(std::string_view aKey) const;
  // Returns this node's quota of aLimit by the last roster, whether that is
  // still valid or not.
  uint32_t LocalQuota(std::string_view aKey, uint32_t aLimit) const;
  // Returns the nodes of the last roster whose quota of aLimit is not zero, in
  // order of rank.
  std::vector<NodeId> Holders(std::string_view aKey, uint32_t aLimit) const;

private:
  NodeId m_self;
  NodeList m_nodes;
  size_t m_liveNodeCount = 1;
  Millis m_validUntil;
  uint64_t m_rosterVersion = 0;
};

} // namespace briarglade
