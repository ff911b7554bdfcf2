// The decision core of an entry node: one function over all events, with
// effects as data.
//
//   store feeds, peers --> servers, groups, nodes, configuration
//   groups             --> the backends that the gateway may use
//   lease, groups      --> orders, from the node that holds the lease
//
// Example:
//   EntryState state = MakeEntryState(settings, incarnation, decode);
//   for (EntryEffect& effect : ReduceEntry(state, now, EntryTick{})) { ... }

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "briarglade/entry/control_lease.h"
#include "briarglade/entry/entry_event.h"
#include "briarglade/entry/entry_settings.h"
#include "briarglade/entry/feed_follower.h"
#include "briarglade/entry/leaving_servers.h"
#include "briarglade/entry/news_state.h"
#include "briarglade/entry/node_directory.h"
#include "briarglade/entry/node_roster.h"
#include "briarglade/entry/row_cache.h"
#include "briarglade/entry/store_clock.h"
#include "briarglade/gateway/gateway.h"
#include "briarglade/gateway/route_index.h"

#include "briarglade/grouping/group_control.h"
#include "briarglade/grouping/group_view.h"
#include "briarglade/grouping/model_pressure.h"

namespace briarglade {

using RowDecoder = std::function<FeedRow(const StoredRow&)>;

// Where the process stands.
enum class EntryPhase
{
  Serving,
  // Callers are no longer sent here, but still served.
  Leaving,
  // Each connection ends with its next answer.
  Draining,
  Ended
};

struct EntryState
{
  EntrySettings m_settings;
  uint64_t m_incarnation = 0;
  RowDecoder m_decode;

  EntryPhase m_phase = EntryPhase::Serving;
  Millis m_leavingSince;
  Millis m_lastTickAt;

  // What the store says.
  RowCache m_rows;
  std::map<Feed, FeedFollower> m_feeds;
  StoreClock m_storeClock;
  std::shared_ptr<const RouteIndex> m_routes;
  std::set<ZoneId> m_zonesOut;
  // When zones that were out have returned.
  std::map<ZoneId, Millis> m_zoneHoldEndedAt;
  ServerMap m_servers;
  LeavingServers m_leavingServers;
  // Servers whose entries are gone while the store was disturbed, and until
  // when that may be the reason.
  std::set<HostId> m_expiredServers;
  Millis m_disturbedUntil;
  // The same by another node's word, which is not passed on.
  Millis m_toldDisturbedUntil;
  GroupMap m_groups;
  // Groups that the holder of the control lease is ending.
  std::set<GroupId> m_endedGroups;
  // Servers, groups, zones or configuration have changed since the backends
  // were worked out.
  bool m_isBackendsStale = false;
  Millis m_backendsUpdatedAt;

  // Other nodes.
  NodeDirectory m_directory;
  // Who shares the limits of the whole fleet.
  NodeRoster m_roster;
  bool m_hasFleetShare = false;
  UniqueIds m_ids;
  bool m_isRegistered = false;
  Millis m_registeredAt;
  NewsState m_news;

  // This node follows the store for the others; as the first of those that do,
  // it hands them the changes.
  bool m_isFollower = true;
  bool m_isFirstFollower = false;
  // Since when another node has had changes that this one lacks.
  std::optional<Millis> m_behindSince;
  bool m_hasTraffic = false;
  ModelPressure m_pressure;

  ControlLease m_lease;
  GroupControl m_control;
  Millis m_controlTickedAt;
  GatewayState m_gateway{ GatewaySettings() };
  uint32_t m_nodeCount = 1;
};

EntryState MakeEntryState(const EntrySettings& aSettings,
                          uint64_t aIncarnation,
                          RowDecoder aDecode);

// Applies one event to the state and returns what the shell must do, in order.
EntryEffects ReduceEntry(EntryState& aState,
                         Millis aNow,
                         const EntryEvent& aEvent);

// Tells whether the node can take requests, for the platform's checks.
bool IsReady(const EntryState& aState);

} // namespace briarglade
