// Tracks the nodes that share the fleet-wide limits, and whether this node may
// use its local quota.
//
// Messages between nodes can be late or lost, so they cannot determine which
// nodes share a limit. The rows in the store can: each node registers before it
// uses its quota. The invariant is that of any two nodes that use their quotas
// within the same window, each counts the other. Three rules ensure it:
//  - After it has registered, a node waits until every node whose knowledge of
//    the rows is recent enough must have seen the new row.
//  - A node whose knowledge of the rows is too old has no quota. Nodes report
//    as of which time of the store's clock they know every row, so a node need
//    not reach the store itself.
//  - A node whose row was removed is counted for as long as it may not know of
//    the removal.
// No rule waits for a message, and a node that is cut off loses its quota
// without any action by other nodes.
//
// Example:
//   roster.OnRegistered(now, version);
//   roster.OnKnownUpTo(answer.m_storeTime);
//   if (now < roster.ValidUntil(now, clock)) { Use(roster.Nodes(now)); }

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/entry/store_clock.h"
#include "briarglade/storage/table.h"

namespace briarglade {

// The maximum age of the knowledge of the rows at which a node has a quota.
constexpr Millis kRosterMaxAge = Millis(3'000);

// The roster as one node knows it.
class NodeRoster
{
public:
  NodeRoster() = default;
  // aWindow is the length of the longest window in which a limit is counted.
  NodeRoster(NodeId aSelf, Millis aWindow);

  // Records that another node's row exists or has been removed.
  void OnRow(Millis aNow, const NodeId& aNode, bool aIsThere);
  // Records that this node's own row has been written with the given version.
  void OnRegistered(Millis aNow, RowVersion aVersion);
  // Records that this node's own row holds another value, written by another
  // process with the same node ID or by a delayed old write. Returns whether
  // the node must register again.
  bool OnRowOverwritten(RowVersion aVersion);
  // Records that all rows have been read.
  void OnWholeRead(Millis aNow);
  // Records that every row is known as of a time of the store's clock.
  void OnKnownUpTo(Millis aStoreTime);
  // Records that this node is shutting down and no longer uses its quota.
  void OnLeaving() { m_isLeaving = true; }

  // Returns the time of the store's clock as of which this node knows every
  // row.
  Millis KnownUpTo() const { return m_knownUpTo; }
  // Returns the age of that knowledge. aClock must be known.
  Millis KnowledgeAge(Millis aNow, const StoreClock& aClock) const;
  // Returns the nodes that share the limits, this one included, sorted by ID;
  // null before the rows have been read.
  std::shared_ptr<const std::vector<NodeId>> Nodes(Millis aNow);
  // Returns until when this node may use its quota if it receives no further
  // information; a time that is not after aNow if it may not use it.
  Millis ValidUntil(Millis aNow, const StoreClock& aClock) const;

private:
  // Returns for how long a removed row is still counted, and how long a newly
  // registered node waits.
  Millis SettleTime() const;

  NodeId m_self;
  Millis m_window;
  bool m_isLeaving = false;
  std::optional<Millis> m_registeredAt;
  RowVersion m_registeredVersion;
  std::optional<Millis> m_readAt;
  Millis m_knownUpTo;
  // The other nodes; if the row was removed, with the time of the removal.
  std::map<NodeId, std::optional<Millis>> m_others;
  std::shared_ptr<const std::vector<NodeId>> m_nodes;
  bool m_isChanged = true;
};

} // namespace briarglade
