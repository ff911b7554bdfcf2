// What entry nodes tell each other, a few times a second: that they live, how
// much they have in flight where, and what they find silent. The nodes that
// follow the store hand its changes on this way.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
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

struct NodeNews
{
  NodeId m_node;
  uint64_t m_incarnation = 0;
  // The node is shutting down; callers should go elsewhere.
  bool m_isLeaving = false;
  // The node knows a configuration and can serve.
  bool m_isReady = false;
  // The node has been sent requests.
  bool m_hasTraffic = false;
  std::vector<ServerLoad> m_loads;
  // Groups that the node finds silent, and those that it is ending as the
  // holder of the control lease.
  std::vector<GroupId> m_suspects;
  std::vector<GroupId> m_ended;
  std::vector<OpenedGroup> m_opened;
  // Requests that take servers down, since the last news.
  std::vector<CrashNotice> m_crashes;
  // Servers that have said since the last news that they are shutting down.
  std::vector<ServerRun> m_leavingServers;
  // The store turns the node away.
  bool m_isStoreLost = false;
  // The node follows the store, and entries may be missing there that will be
  // back.
  bool m_isStoreDisturbed = false;
  // The version up to which the node has every change, of each feed.
  std::vector<RowVersion> m_complete;
  // The time of the store's clock as of which the node knows every node's row.
  Millis m_rosterKnownUpTo;
  // The node asks for the changes that it lacks.
  bool m_wantsRows = false;
  std::vector<HandedRows> m_handed;
};

std::string EncodeNodeNews(const NodeNews& aNews);
// Returns nothing for bytes that aren't news.
std::optional<NodeNews> DecodeNodeNews(const std::string& aBytes);

} // namespace briarglade
