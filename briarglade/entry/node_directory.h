// The nodes that serve, as this node sees them: registered in the store, and
// heard of lately. Decides which addresses callers get.
//
// Example:
//   directory.OnNews(now, news);
//   std::vector<Endpoint> addresses = directory.Addresses(now, zone);

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/entry/node_news.h"
#include "briarglade/entry/own_rows.h"

namespace briarglade {

// A registered node, and when it was last heard of.
struct KnownNode
{
  NodeRow m_row;
  // Since when this node knows of it.
  Millis m_knownSince;
  std::optional<Millis> m_heardAt;
  uint64_t m_incarnation = 0;
  NodeCondition m_condition;
  // Since when the store has turned the node away; nothing: it doesn't.
  std::optional<Millis> m_storeLostSince;
};

class NodeDirectory
{
public:
  NodeDirectory() = default;
  explicit NodeDirectory(NodeRow aSelf)
    : m_self(std::move(aSelf))
  {
  }

  // A node's row is new, or gone.
  void OnRow(Millis aNow, const NodeId& aNode, const NodeRow* aRow);
  void OnNews(Millis aNow, const NodeNews& aNews);
  // Another node has told how a node is. Returns whether it is another one
  // whose row is known.
  bool OnStatus(Millis aNow, const NodeStatus& aStatus);
  // Says whether callers may be sent to this node itself.
  void SetSelf(bool aIsReady, bool aIsLeaving);

  // Returns the addresses that callers of a zone should use. Where there are
  // more than an answer holds, those of the zone come first, the others by
  // turns, so that all nodes together get callers.
  std::vector<Endpoint> Addresses(Millis aNow, const ZoneId& aZone);
  // Tells whether a process has ended or hasn't been heard of for a while.
  bool IsLost(Millis aNow, const NodeId& aNode, uint64_t aIncarnation) const;
  // Tells whether the store has turned a node away for a while.
  bool IsStoreLost(Millis aNow, const NodeId& aNode) const;
  // Returns the nodes that follow the store's changes and hand them to the
  // others, the first of them in front: few of those that live and reach the
  // store. aIsSelfLost tells whether the store turns this node away; aHolder,
  // the holder of the control lease, comes first if it can.
  std::vector<NodeId> Followers(Millis aNow,
                                bool aIsSelfLost,
                                const NodeId& aHolder) const;
  // Returns the nodes that live, this one included, in order of their names.
  std::vector<NodeId> Alive(Millis aNow) const;
  // Returns how the living nodes are, of one zone or, with no zone, of all,
  // without this node.
  std::vector<std::pair<NodeId, const KnownNode*>> Living(
    Millis aNow,
    const ZoneId& aZone) const;
  // Returns the nodes that may be relays of a zone, in order of preference. A
  // node that was never heard of may live as well, for a while.
  std::vector<NodeId> RankedRelays(Millis aNow, const ZoneId& aZone) const;
  // Returns the zones of the registered nodes.
  std::set<ZoneId> Zones() const;
  // Returns every other registered node.
  const std::map<NodeId, KnownNode>& Others() const { return m_others; }

private:
  void RecordCondition(Millis aHeardAt,
                       KnownNode& aNode,
                       const NodeCondition& aCondition);
  bool WasSeenWithin(Millis aNow, const KnownNode& aNode, Millis aWithin) const;

  NodeRow m_self;
  bool m_isSelfReady = false;
  bool m_isSelfLeaving = false;
  std::map<NodeId, KnownNode> m_others;
  // Moves on with each answer that doesn't hold all addresses.
  size_t m_rotationOffset = 0;
  // The runs that are registered, by the short names in statuses.
  std::unordered_map<NodeRunKey, NodeId> m_nodesByRunKey;
};

} // namespace briarglade
