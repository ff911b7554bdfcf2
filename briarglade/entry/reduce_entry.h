// The decision core of an entry node: one function that applies an event to the
// node's state and returns the effects to carry out as data.
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

#include "briarglade/entry/address_owners.h"
#include "briarglade/entry/config_currency.h"
#include "briarglade/entry/control_lease.h"
#include "briarglade/entry/entry_event.h"
#include "briarglade/entry/entry_settings.h"
#include "briarglade/entry/feed_follower.h"
#include "briarglade/entry/leaving_servers.h"
#include "briarglade/entry/node_directory.h"
#include "briarglade/entry/node_roster.h"
#include "briarglade/entry/peer_clocks.h"
#include "briarglade/entry/peer_update_state.h"
#include "briarglade/entry/row_audit.h"
#include "briarglade/entry/row_cache.h"
#include "briarglade/entry/row_requests.h"
#include "briarglade/entry/store_check.h"
#include "briarglade/entry/store_clock.h"
#include "briarglade/entry/store_uptime.h"
#include "briarglade/entry/store_version.h"
#include "briarglade/gateway/gateway.h"
#include "briarglade/gateway/route_index.h"

#include "briarglade/grouping/demand_estimator.h"
#include "briarglade/grouping/group_control.h"
#include "briarglade/grouping/group_view.h"
#include "briarglade/grouping/work_meter.h"

namespace briarglade {

// Decodes a stored row; a row that cannot be decoded becomes a BadRow.
using RowDecoder = std::function<FeedRow(const StoredRow&)>;

// The phases of the process, in the order in which it passes through them.
enum class EntryPhase
{
  // Normal operation.
  Serving,
  // Address lists no longer contain this node, but it still serves callers.
  Leaving,
  // Each connection is closed after its next answer. Requests that may outlast
  // the process are refused.
  Draining,
  // The process is about to exit.
  Ended
};

// The removal of this node's registration from the store.
struct Deregistration
{
  OperationId m_operation;
  Millis m_sentAt;
  // Whether the store has answered.
  bool m_isAnswered = false;
};

// Everything that an entry node knows.
struct EntryState
{
  EntrySettings m_settings;
  // Differs between two runs of the process.
  uint64_t m_incarnation = 0;
  RowDecoder m_decode;

  EntryPhase m_phase = EntryPhase::Serving;
  // When this node noted that it is asked to stop, and the earliest moment at
  // which it may have been asked.
  Millis m_leavingSince;
  Millis m_stopNotBefore;

  // State read from the store.
  RowCache m_rows;
  std::map<Feed, FeedFollower> m_feeds;
  StoreClock m_storeClock;
  std::shared_ptr<const RouteIndex> m_routes;
  // Zones that the operators have taken out: their servers get no requests.
  std::set<ZoneId> m_zonesOut;
  // Zones that are out, but whose rows are missing since the store's era began.
  std::set<ZoneId> m_missingZonesOut;
  // When each zone that had been taken out came back in.
  std::map<ZoneId, Millis> m_zonesReturnedAt;
  ServerMap m_servers;
  // The servers that were the last to start at their addresses.
  AddressOwners m_addressOwners;
  // Servers of which an entry may be older or newer than what is known of their
  // group, and when each was last asked.
  std::map<HostId, Millis> m_ambiguousServers;
  LeavingServers m_leavingServers;
  // Runs of servers that broke off exchanges and are being probed.
  std::map<HostId, BootId> m_serversChecked;
  // Servers whose entries expired while the store was disturbed, and since when
  // they are missing. They are removed only if the entries do not return after
  // the disturbance.
  std::map<HostId, Millis> m_expiredServers;
  // When the store first answered this node after its last outage, and until
  // when that outage may be the reason for missing entries.
  Millis m_storeBackAt;
  Millis m_disturbedUntil;
  // When the store has accepted calls of any nodes.
  StoreUptime m_storeUptime;
  // The check whether the store serves this node, after it refused another one.
  StoreCheck m_storeCheck;
  // Until when the store may be refusing some nodes.
  Millis m_storeSuspectUntil;
  // How often this node has checked whether the store serves it.
  uint64_t m_storeChecks = 0;
  // The store's era, once it has answered, and until when rows may be missing
  // because the store has come back from an older copy.
  std::optional<StoreEra> m_storeEra;
  Millis m_rewrittenUntil;
  // How often this node has seen the store come back from an older copy.
  uint64_t m_storeReturns = 0;
  // How many removals of entries were acted on although calls to the store had
  // failed, because the store had served other nodes.
  uint64_t m_removalsBelieved = 0;
  // Until when an outage may be the reason for missing entries, as reported by
  // another node. This node does not forward it.
  Millis m_reportedDisturbedUntil;
  GroupMap m_groups;
  // Groups that the holder of the control lease is ending; they get no
  // requests.
  std::set<GroupId> m_endedGroups;
  // Whether servers, groups, zones or configuration have changed since the
  // backends were last computed.
  bool m_areBackendsStale = false;
  Millis m_backendsUpdatedAt;

  // State about other nodes.
  NodeDirectory m_directory;
  // The nodes that share the fleet-wide limits.
  NodeRoster m_roster;
  // Whether this node may use its quota of the fleet-wide limits.
  bool m_hasFleetQuota = false;
  UniqueIds m_ids;
  bool m_isRegistered = false;
  // When the registration was last sent.
  Millis m_registeredAt;
  // The version of this node's row as last read from the store; none: not read
  // yet.
  std::optional<RowVersion> m_ownRowVersion;
  // The removal of the registration, once it was sent.
  std::optional<Deregistration> m_deregistration;
  PeerUpdateState m_peerUpdates;
  // When other nodes sent their messages.
  PeerClocks m_peerClocks;

  // Whether this node is one of the followers, which watch the store on behalf
  // of all nodes.
  bool m_isFollower = true;
  // Whether it is the first follower, which forwards changes to the others.
  bool m_isFirstFollower = false;
  // Whether this node may lack a version of the configuration.
  ConfigCurrency m_configCurrency;
  // Requests for changes that another node has and this one lacks.
  RowRequests m_rowRequests;
  // Whether the rows of each feed must be checked against the store.
  std::map<Feed, RowAudit> m_rowAudits;
  // The number of changes that this node lacked although it claimed to know
  // them.
  uint64_t m_missedChanges = 0;
  // Whether this node or another one has received a caller's request.
  bool m_hasTraffic = false;
  // The requests in flight or waiting for each model, smoothed.
  DemandEstimator m_demand;
  // The work that this node's callers request of each model.
  WorkMeter m_workMeter;

  ControlLease m_lease;
  GroupControl m_control;
  // When the control of groups last ran.
  Millis m_controlTickedAt;
  GatewayState m_gateway{ GatewaySettings() };
  uint32_t m_nodeCount = 1;
  // Requests refused before a service was chosen, and the lines about them in
  // the second that began at m_refusalLinesAt.
  uint64_t m_refusals = 0;
  uint32_t m_refusalLines = 0;
  Millis m_refusalLinesAt;
};

// Returns the state of a node that has just started. aIncarnation must differ
// from that of every earlier run.
EntryState MakeEntryState(const EntrySettings& aSettings,
                          uint64_t aIncarnation,
                          RowDecoder aDecode);

// Applies one event to the state and returns the effects that the shell must
// carry out, in order.
EntryEffects ReduceEntry(EntryState& aState,
                         Millis aNow,
                         const EntryEvent& aEvent);

// Returns the code with which a request is refused by its head: there is no
// configuration, no such route, or no such key. None: it is not refused so far.
std::optional<ResultCode> RefusalByHead(const EntryState& aState,
                                        const CallerRequest& aRequest,
                                        const std::string& aPath);

// Returns the log field that names a caller: its account if the key is known,
// else its address.
LogField NameCaller(const EntryState& aState,
                    const std::string& aAccountKey,
                    const std::string& aAddress);

// Returns whether the node can serve requests, for the platform's readiness
// checks. It must know the configuration and all servers, by a read of its own
// or from a node that does. A node that may have lacked a version of the
// configuration for long is not ready if there are other nodes.
bool IsReady(const EntryState& aState);

} // namespace briarglade
