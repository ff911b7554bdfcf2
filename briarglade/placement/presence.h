// Which backend servers are present, and what they report.
//
// Every host belongs to a watch unit: its group, or itself while it is in none.
// The roster is ranked by rendezvous on the unit's key. The first node is the
// watcher: it probes the hosts and tells the nodes that need to know, changes
// only, with a heartbeat. The next ones in rank are its successors: each starts
// to probe when no better-ranked watcher has spoken for a host for a time that
// grows with its rank, and stops when one does again.
//
// A node that was paused forgets everything, as a watcher and as a receiver.
//
// No news means not present: what a watcher said counts for kNewsLife after its
// last heartbeat, and not at all after a gap in its numbers. A host that dies
// is noticed everywhere within kPresenceBound, even if its watcher dies with
// it.
//
// Example:
//   SetWatchUnits(presence, now, units, roster);
//   TickPresence(presence, now, effects);
//   if (const ServerReport* report = FreshReport(presence, now, host)) { ... }

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/placement/placement_event.h"

namespace briarglade {

// How long a watcher's news counts after its last heartbeat.
constexpr Millis kNewsLife = Millis(3'000);
// How long a watcher's own report counts.
constexpr Millis kReportLife = Millis(5'000);
// How long the first successor waits for a watcher before it takes over, and
// how much longer each further one waits.
constexpr Millis kTakeoverTime = Millis(1'500);
constexpr Millis kTakeoverStep = Millis(500);
// The time within which every node notices that a host is gone.
constexpr Millis kPresenceBound = Millis(8'000);
// Nodes that learn of a group and route to it.
constexpr size_t kSubsetSize = 16;
// Nodes that may plan a fabric domain early, by rank; they learn of all of it.
constexpr size_t kPlannerCandidates = 3;

// One host to keep an eye on.
struct WatchedHost
{
  // The group's id, or the host's own.
  std::string m_unit;
  DomainId m_domain;
  Endpoint m_endpoint;

  bool operator==(const WatchedHost& aOther) const
  {
    return m_unit == aOther.m_unit && m_domain == aOther.m_domain &&
           m_endpoint == aOther.m_endpoint;
  }
};

// What one watcher last said of a host.
struct Sighting
{
  NodeId m_watcher;
  // The watcher's rank for the host's unit.
  uint32_t m_rank = 0;
  bool m_silent = false;
  ServerReport m_report;
};

// All that is known of one host.
struct HostPresence
{
  WatchedHost m_watched;
  // This node's rank for the unit.
  uint32_t m_rank = 0;
  // The nodes that learn of the host; empty unless this node may watch it.
  std::vector<NodeId> m_receivers;
  std::vector<Sighting> m_sightings;
  // When a better-ranked watcher last covered the host.
  Millis m_coveredAt;
  // This node's own probing.
  bool m_isWatching = false;
  bool m_isProbing = false;
  Millis m_nextProbe;
  Millis m_probeSentAt;
  uint32_t m_misses = 0;
};

// How another watcher's news comes in.
struct WatcherView
{
  uint64_t m_sequence = 0;
  bool m_inSync = false;
  Millis m_heardAt;
  Millis m_askedAt = Millis(-1'000'000);
};

// What has still to be told to another node.
struct PeerFeed
{
  uint64_t m_sequence = 0;
  Millis m_sentAt;
  std::set<HostId> m_changed;
  // This node watches a host that the other one learns of.
  bool m_isNeeded = false;
  // What was told before has to be voided, or told again.
  bool m_owesRestart = false;
};

struct PresenceState
{
  NodeId m_self;
  std::vector<NodeId> m_roster;
  std::map<HostId, HostPresence> m_hosts;
  std::map<NodeId, WatcherView> m_watchers;
  std::map<NodeId, PeerFeed> m_feeds;
  // Hosts that this node probes now.
  uint32_t m_watching = 0;
  // Who needs to be told has to be worked out again.
  bool m_feedsChanged = false;
  // The last tick, to notice that the process was paused.
  bool m_hasTicked = false;
  Millis m_tickedAt;
  // Until then no news is taken.
  Millis m_deafUntil;
};

// Takes the hosts of the region and the roster. Hosts that this node neither
// routes to, plans nor watches are left out. Costs hosts x nodes.
void SetWatchUnits(PresenceState& aState,
                   Millis aNow,
                   const std::map<HostId, WatchedHost>& aHosts,
                   const std::vector<NodeId>& aRoster);

// Notices that the process was paused since the last call. All that it knew of
// servers is void then. Call it before any event is taken.
bool NoticePause(PresenceState& aState, Millis aNow);

// Probes, takes over, tells.
void TickPresence(PresenceState& aState,
                  Millis aNow,
                  PlacementEffects& aEffects);

// Takes the result of an own probe.
void OnProbeReport(PresenceState& aState,
                   Millis aNow,
                   const ServerReport& aReport);
void OnProbeFailed(PresenceState& aState, Millis aNow, const HostId& aHost);

// Takes another watcher's news.
void OnPresenceNews(PresenceState& aState,
                    Millis aNow,
                    const PresenceNews& aNews,
                    PlacementEffects& aEffects);

// Returns what a host last reported if it is present, else nullptr.
const ServerReport* FreshReport(const PresenceState& aState,
                                Millis aNow,
                                const HostId& aHost);

// Tells whether the node learns of a unit and routes to it.
bool IsInSubset(const std::string& aUnit,
                const NodeId& aNode,
                const std::vector<NodeId>& aRoster);

// Returns how many nodes rank before this one for a key.
uint32_t RankOf(const std::string& aKey,
                const NodeId& aNode,
                const std::vector<NodeId>& aRoster);

} // namespace briarglade
