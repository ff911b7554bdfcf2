// Tracks the other nodes: those registered in the store, and when and in which
// condition each was last seen. Determines which addresses callers receive.
//
// Example:
//   directory.OnPeerUpdate(sentAt, update);
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
#include "briarglade/entry/send_time.h"

namespace briarglade {

// A run whose row was replaced by that of another run, and when this node first
// saw that. What it sent before may still come.
struct ReplacedRun
{
  uint64_t m_incarnation = 0;
  Millis m_replacedAt;
};

// A registered node, and its last reported condition.
struct KnownNode
{
  NodeRow m_row;
  // When this node first saw the registration.
  Millis m_knownSince;
  // When it was last seen: a time at which its process ran; nothing: not yet.
  std::optional<Millis> m_lastSeenAt;
  // The run of the process that was last seen.
  uint64_t m_incarnation = 0;
  NodeCondition m_condition;
  // The run of its row before the present one; nothing: there was none.
  std::optional<ReplacedRun> m_replacedRun;
  // Whether the run that was last seen can read compressed values of rows.
  bool m_readsPacked = false;
  // Since when the store has rejected the node; nothing: the store serves it.
  std::optional<Millis> m_storeLostSince;
};

// A node that was seen again after it had not counted as live.
struct NodeReturn
{
  NodeId m_node;
  uint64_t m_incarnation = 0;
  // When it was last seen now, and for how long it had not been.
  Millis m_seenAt;
  Millis m_unseenFor;
};

// The nodes as one node knows them. A node counts as live if it was seen
// recently.
class NodeDirectory
{
public:
  NodeDirectory() = default;
  explicit NodeDirectory(NodeRow aSelf)
    : m_self(std::move(aSelf))
  {
  }

  // Records a node's new or changed row; null: the row has been removed.
  void OnRow(Millis aNow, const NodeId& aNode, const NodeRow* aRow);
  // Records a message from a node. Ignored if the node's row is not known, or
  // if a later message of the node has shown when it was last seen.
  void OnPeerUpdate(const SendTime& aSentAt, const NodeNews& aUpdate);
  // Records a node's status as reported by another node in a message. Returns
  // whether the status is of another node whose row is known.
  bool OnStatus(const SendTime& aSentAt, const NodeStatus& aStatus);
  // Returns the nodes that have been seen again since the last call.
  std::vector<NodeReturn> TakeReturns() { return std::exchange(m_returns, {}); }
  // Sets whether callers may be directed to this node itself.
  void SetSelf(bool aIsReady, bool aIsLeaving);

  // Returns the addresses that callers of a zone should use, those in the zone
  // first. If there are more than one answer can hold, successive answers
  // rotate through them so that callers are spread over all nodes.
  std::vector<Endpoint> Addresses(Millis aNow, const ZoneId& aZone);
  // Returns whether a run of a node has ended, is shutting down, or has been
  // unresponsive for a while.
  bool IsLost(Millis aNow, const NodeId& aNode, uint64_t aIncarnation) const;
  // Returns whether the store has been rejecting another node for a while.
  bool IsStoreLost(Millis aNow, const NodeId& aNode) const;
  // Returns the followers, which watch the store and forward its changes to the
  // other nodes, in order of preference: a few of the live nodes that can reach
  // the store. aIsSelfLost: the store rejects this node. aHolder, the holder of
  // the control lease, comes first if it is able.
  std::vector<NodeId> Followers(Millis aNow,
                                bool aIsSelfLost,
                                const NodeId& aHolder) const;
  // Returns the live nodes that are not shutting down, and this one in any
  // case, sorted by ID.
  std::vector<NodeId> ActiveNodeIds(Millis aNow) const;
  // Returns the live nodes of a zone, without this node; those of all zones if
  // aZone is empty.
  std::vector<std::pair<NodeId, const KnownNode*>> LiveNodes(
    Millis aNow,
    const ZoneId& aZone) const;
  // Returns the nodes that may be relays of a zone, in order of preference. A
  // newly registered node that was not yet seen counts as live for a while.
  std::vector<NodeId> RankedRelays(Millis aNow, const ZoneId& aZone) const;
  // Returns the zones of all registered nodes and of this one.
  std::set<ZoneId> Zones() const;
  // Returns every other registered node.
  const std::map<NodeId, KnownNode>& Others() const { return m_others; }

private:
  void RecordCondition(Millis aSeenAt,
                       KnownNode& aNode,
                       const NodeCondition& aCondition);
  static bool IsOutdated(const SendTime& aSentAt,
                         const NodeNews& aUpdate,
                         const KnownNode& aNode);
  bool WasSeenWithin(Millis aNow, const KnownNode& aNode, Millis aWithin) const;

  NodeRow m_self;
  bool m_isSelfReady = false;
  bool m_isSelfLeaving = false;
  std::map<NodeId, KnownNode> m_others;
  std::vector<NodeReturn> m_returns;
  // Advances with each address list that cannot hold all addresses.
  size_t m_rotationOffset = 0;
  // The registered runs, by the short keys that statuses use.
  std::unordered_map<NodeRunKey, NodeId> m_nodesByRunKey;
};

} // namespace briarglade
