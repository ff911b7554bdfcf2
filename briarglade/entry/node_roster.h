// The nodes that share the limits of the whole fleet, and whether this node may
// use its part of them.
//
// Nodes hear of each other late or not at all, so that what a node has heard
// can't say who shares a limit. The rows in the store can: each node registers
// before it uses a part. What must hold is that of any two nodes that use their
// parts within one window, each counts the other. It does by three rules:
//  - a node that has registered waits until every node that knows the roster
//    lately enough must have seen its row;
//  - a node whose knowledge of the rows is older than that has no part. The
//    nodes pass on up to which time of the store's clock they know every row,
//    so that a node needn't reach the store itself;
//  - a node whose row is gone is counted for as long as it may not know it.
// No message is waited for, and a node that is cut off loses its part by
// itself.
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

// Knowledge of the rows that is older than this gives no part.
constexpr Millis kRosterFreshTime = Millis(3'000);

class NodeRoster
{
public:
  NodeRoster() = default;
  // The limits are counted within windows of at most that length.
  NodeRoster(NodeId aSelf, Millis aWindow);

  // Another node's row is there, or gone.
  void OnRow(Millis aNow, const NodeId& aNode, bool aIsThere);
  // This node's own row has been written, with that version.
  void OnRegistered(Millis aNow, RowVersion aVersion);
  // This node's own row holds something else, by another process of that name
  // or an old write. Returns whether the node must register again.
  bool OnRowOverwritten(RowVersion aVersion);
  // The rows have all been read.
  void OnWholeRead(Millis aNow);
  // Every row is known as of a time of the store's clock.
  void OnKnownUpTo(Millis aStoreTime);
  // The node is shutting down; it uses no part any more.
  void OnLeaving() { m_isLeaving = true; }

  // Returns the time of the store's clock as of which every row is known.
  Millis KnownUpTo() const { return m_knownUpTo; }
  // Returns how old that knowledge is; the clock must be known.
  Millis KnowledgeAge(Millis aNow, const StoreClock& aClock) const;
  // Returns the nodes that share the limits, this one included, in order;
  // nothing before the rows have been read.
  std::shared_ptr<const std::vector<NodeId>> Nodes(Millis aNow);
  // Returns until when this node may use its part if it learns nothing more; a
  // time that is over if it may not.
  Millis ValidUntil(Millis aNow, const StoreClock& aClock) const;

private:
  // How long a row, once gone, is counted, and a new one waits.
  Millis SettleTime() const;

  NodeId m_self;
  Millis m_window;
  bool m_isLeaving = false;
  std::optional<Millis> m_registeredAt;
  RowVersion m_registeredVersion;
  std::optional<Millis> m_readAt;
  Millis m_knownUpTo;
  // The other nodes; those whose rows are gone with the time of that.
  std::map<NodeId, std::optional<Millis>> m_others;
  std::shared_ptr<const std::vector<NodeId>> m_nodes;
  bool m_isChanged = true;
};

} // namespace briarglade
