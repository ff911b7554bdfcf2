// What entry nodes tell each other: that they live, how much they have in
// flight where, what they find silent, and changes that every node must know.
//
// Each node reports to two relays of its own zone. A relay sends what it knows
// of the whole fleet to the nodes that report to it, and what it knows of its
// zone to the relays of the other zones. Bulletins go the same ways at once.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/entry/store_feed.h"
#include "briarglade/gateway/gateway_event.h"
#include "briarglade/routing/crash_notice.h"

namespace briarglade {

// A group that the holder of the control lease has opened, by rank. The store
// may not show it yet, or not while it is away.
struct OpenedGroup
{
  GroupId m_group;
  Generation m_generation;
  std::vector<HostId> m_members;
};

// How a node is, by its own word.
struct NodeCondition
{
  // The node is shutting down; callers should go elsewhere.
  bool m_isLeaving = false;
  // The node knows a configuration and can serve.
  bool m_isReady = false;
  // The node has been sent requests.
  bool m_hasTraffic = false;
  // The store turns the node away.
  bool m_isStoreLost = false;
  // The node follows the store, and entries may be missing there that will be
  // back.
  bool m_isStoreDisturbed = false;
};

// Names one run of a node's process in few bytes.
using NodeRunKey = StrongCount<struct NodeRunKeyTag>;

NodeRunKey MakeNodeRunKey(const NodeId& aNode, uint64_t aIncarnation);

// A node as it was last heard of by others.
struct NodeStatus
{
  NodeRunKey m_key;
  // How long ago it was heard of.
  Millis m_age;
  // The number of its last report, whose loads are in the sums.
  uint16_t m_reportNumber = 0;
  NodeCondition m_condition;
};

// What is known of many nodes.
struct NewsDigest
{
  std::vector<NodeStatus> m_nodes;
  // What these nodes have in flight, added up.
  std::vector<ServerLoad> m_loads;
  // Groups that some of them find silent.
  std::vector<GroupId> m_suspects;
};

// What is known of the nodes of one zone.
struct ZoneDigest
{
  ZoneId m_zone;
  // How long ago that was so.
  Millis m_age;
  NewsDigest m_digest;
};

// How old a node's knowledge of a zone is.
struct ZoneAge
{
  ZoneId m_zone;
  Millis m_age;
};

// Changes that every node must know, from the node that found them.
struct Bulletin
{
  NodeId m_origin;
  uint64_t m_incarnation = 0;
  // Tells the bulletins of one run apart.
  uint64_t m_number = 0;
  // Requests that take servers down.
  std::vector<CrashNotice> m_crashes;
  std::vector<ServerRun> m_leavingServers;
  // Groups that the origin, as the holder of the control lease, is ending and
  // has lately opened; the latter count only for nodes that know the servers'
  // entries up to a version.
  std::vector<GroupId> m_endedGroups;
  std::vector<OpenedGroup> m_opened;
  RowVersion m_serversComplete;
  // Changes of the store, and whether entries may be missing there that will be
  // back.
  std::vector<HandedRows> m_handed;
  bool m_isStoreDisturbed = false;

  bool IsEmpty() const
  {
    return m_crashes.empty() && m_leavingServers.empty() &&
           m_endedGroups.empty() && m_opened.empty() && m_handed.empty();
  }
};

// Which digests a report asks its receiver for.
enum class Subscription : uint8_t
{
  None,
  // Few, so that the receiver is known to be able.
  Backup,
  All
};

// One message between two nodes. What isn't set says nothing.
struct NodeNews
{
  // The sender.
  NodeId m_node;
  uint64_t m_incarnation = 0;
  NodeCondition m_condition;
  // The version up to which the sender has every change, of each feed.
  std::vector<RowVersion> m_complete;
  // The time of the store's clock as of which it knows every node's row.
  Millis m_rosterKnownUpTo;

  // A report: what the sender has in flight and finds silent.
  Subscription m_subscription = Subscription::None;
  uint16_t m_reportNumber = 0;
  std::vector<ServerLoad> m_loads;
  std::vector<GroupId> m_suspects;

  // From a relay to the nodes that report to it.
  std::optional<NewsDigest> m_fleet;
  // From a relay to relays of other zones.
  std::vector<ZoneDigest> m_zones;
  std::vector<ZoneAge> m_zoneAges;

  std::vector<Bulletin> m_bulletins;

  // The sender asks for the changes that it lacks, or answers such a question.
  bool m_wantsRows = false;
  std::vector<HandedRows> m_handed;
};

std::string EncodeNodeNews(const NodeNews& aNews);
// Returns nothing for bytes that aren't news.
std::optional<NodeNews> DecodeNodeNews(const std::string& aBytes);

} // namespace briarglade
