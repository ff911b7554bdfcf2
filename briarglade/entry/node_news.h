// Peer updates: the messages between entry nodes. They carry liveness, the
// in-flight load per server, suspected groups, and changes that every node must
// learn.
//
// Each node reports to two relays of its own zone. A relay sends a digest of
// the whole fleet to the nodes that report to it, and a digest of its own zone
// to the relays of the other zones. Bulletins take the same routes without
// waiting for the next period.
//
// Example:
//   const std::string bytes = EncodeNodeNews(update);
//   const std::optional<NodeNews> read = DecodeNodeNews(bytes);

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/entry/store_feed.h"
#include "briarglade/entry/store_uptime.h"
#include "briarglade/entry/told_age.h"
#include "briarglade/gateway/gateway_event.h"
#include "briarglade/grouping/model_work.h"

namespace briarglade {

// A group that the holder of the control lease has opened, its members in order
// of rank. The store may not contain it yet, or may be unavailable.
struct OpenedGroup
{
  GroupId m_group;
  Generation m_generation;
  std::vector<HostId> m_members;
  // When the process of each member started, by rank; empty if the sender is of
  // an earlier version, which does not tell.
  std::vector<int64_t> m_starts = {};
};

// The condition that a node reports of itself.
struct NodeCondition
{
  // The node is shutting down; callers should go elsewhere.
  bool m_isLeaving = false;
  // The node knows a configuration and can serve.
  bool m_isReady = false;
  // The node has been sent requests.
  bool m_hasTraffic = false;
  // The store does not serve the node.
  bool m_isStoreLost = false;
  // For how much longer the store may lack entries because of an outage, as a
  // node that follows the store has seen, or one that sends rows knows; zero
  // otherwise.
  Millis m_entryDoubt;
};

// A compact identifier of one run of a node's process.
using NodeRunKey = StrongCount<struct NodeRunKeyTag>;

// Returns a hash of a node's name and incarnation.
NodeRunKey MakeNodeRunKey(const NodeId& aNode, uint64_t aIncarnation);

// The last known status of a node, as seen by another node.
struct NodeStatus
{
  NodeRunKey m_key;
  // The time since it was last seen.
  ToldAge m_age;
  // The number of its last report, whose loads are included in the sums.
  uint16_t m_reportNumber = 0;
  NodeCondition m_condition;
};

// A summary of the status of many nodes.
struct StatusDigest
{
  std::vector<NodeStatus> m_nodes;
  // The sum of what these nodes have in flight, per server.
  std::vector<ServerLoad> m_loads;
  // Groups that some of them suspect of being unresponsive.
  std::vector<GroupId> m_suspects;
  // The sum of the work that their callers request.
  WorkByModel m_work = {};
};

// A summary of the status of the nodes of one zone.
struct ZoneDigest
{
  ZoneId m_zone;
  // The time since the summary was accurate.
  ToldAge m_age;
  StatusDigest m_digest;
};

// The age of a node's information on a zone.
struct ZoneAge
{
  ZoneId m_zone;
  ToldAge m_age;
};

// What a bulletin says about the check whether the store serves its nodes.
enum class StoreCheckNotice : uint8_t
{
  None,
  // The store has refused the origin; the others are to check.
  Requested,
  // The store serves the origin.
  Served
};

// Changes that every node must learn, from the node that detected them.
struct Bulletin
{
  NodeId m_origin;
  uint64_t m_incarnation = 0;
  // Unique among the bulletins of one run.
  uint64_t m_number = 0;
  // The time since the origin sent it, on all ways so far. Who forwards it sets
  // this age and those of the notices in it anew.
  ToldAge m_age;
  // Evidence of requests that crash servers, and what clears them.
  HarmNotices m_harm;
  std::vector<ServerRun> m_leavingServers;
  // Rate limits that servers have begun or ceased to state.
  std::vector<RateLimitNotice> m_rateLimits;
  // Groups that the origin, as the holder of the control lease, is ending or
  // has recently opened. Opened groups are used only by nodes that know the
  // servers' entries up to m_serversComplete.
  std::vector<GroupId> m_endedGroups;
  std::vector<OpenedGroup> m_openedGroups;
  RowVersion m_serversComplete;
  // Changes of the store, and for how much longer the store may lack entries.
  std::vector<RowChanges> m_rowChanges;
  Millis m_entryDoubt;
  StoreCheckNotice m_storeCheck = StoreCheckNotice::None;

  bool IsEmpty() const
  {
    return m_harm.IsEmpty() && m_leavingServers.empty() &&
           m_endedGroups.empty() && m_openedGroups.empty() &&
           m_rowChanges.empty() && m_rateLimits.empty() &&
           m_storeCheck == StoreCheckNotice::None;
  }
};

// Which digests a report requests from its receiver.
enum class Subscription : uint8_t
{
  None,
  // Infrequent ones, which show that the receiver can act as a relay.
  Backup,
  All
};

// One message between two nodes. Fields that are not set carry no information.
struct NodeNews
{
  // The sender.
  NodeId m_node;
  uint64_t m_incarnation = 0;
  // When it was sent, by the sender's steady clock. Earlier versions do not
  // send it.
  std::optional<Millis> m_sentAt;
  // The sender does not know for how long this node's messages are on their
  // way, and asks for an answer at once.
  bool m_requestsEcho = false;
  NodeCondition m_condition;
  // The version up to which the sender has every change, of each feed.
  std::vector<RowVersion> m_completeUpTo;
  // The version after which the sender requests changes, of each feed: beyond
  // m_completeUpTo if it has received some parts of more changes. Empty: that
  // version for each feed.
  std::vector<RowVersion> m_resumesAfter;
  // The checksums of the sender's rows, of each feed. Empty: not told, as by
  // earlier versions; zero: the sender has none.
  std::vector<RowsChecksum> m_checksums;
  // The time of the store's clock up to which the sender knows every node's
  // row.
  Millis m_rosterKnownUpTo;
  // The last time in which the store accepted calls of any nodes without a long
  // gap, as far as the sender knows. Earlier versions do not send it.
  std::optional<StorePeriod> m_storePeriod;

  // A report: the sender's in-flight requests, suspected groups, and the work
  // that its callers request.
  Subscription m_subscription = Subscription::None;
  uint16_t m_reportNumber = 0;
  std::vector<ServerLoad> m_loads;
  std::vector<GroupId> m_suspects;
  WorkByModel m_work;

  // From a relay to the nodes that report to it.
  std::optional<StatusDigest> m_fleet;
  // From a relay to relays of other zones.
  std::vector<ZoneDigest> m_zones;
  std::vector<ZoneAge> m_zoneAges;

  // From a relay: which requests are refused as harmful, for nodes that have
  // missed the bulletins.
  std::vector<TraitRefusal> m_refusals;
  // The same for the rate limits of some servers, in turn.
  std::vector<RateLimitNotice> m_rateLimits;

  std::vector<Bulletin> m_bulletins;

  // Whether the sender can read compressed values of rows. Set by decoding:
  // earlier versions of the program cannot.
  bool m_readsPacked = false;
  // The sender requests the changes that it lacks, or answers such a request.
  bool m_requestsRows = false;
  std::vector<RowChanges> m_rowChanges;
};

std::string EncodeNodeNews(const NodeNews& aUpdate);
// Returns nullopt for bytes that are not a valid encoding.
std::optional<NodeNews> DecodeNodeNews(const std::string& aBytes);

} // namespace briarglade
