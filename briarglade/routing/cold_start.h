// Limits how many requests a node may have in flight at a group that is in cold
// start.
//
// The nodes exchange no messages for this. The limit of a cold group is
// distributed over the roster by rendezvous rank on (group, boot id), so that
// the quotas of all nodes never add up to more than the limit. Three rules keep
// this true while the roster changes:
// - within one cold period, a node's quota is the minimum over all rosters seen
//   since shortly before the period;
// - a node has no quota in a group that turned cold before the node had been on
//   the roster for kRosterSettleTime: requests that it started before may still
//   run there, and other nodes may not know of it yet;
// - a node that has skipped a version of the roster counts as newly joined.
// The rules rely on one guarantee of membership: a node that has not adopted an
// accepted roster within kRosterSettleTime starts no request until it has.
//
// A group is cold until its warm-up time has passed since it turned cold,
// either by the server's own uptime or by the last cold signal on this node,
// whichever is later. Until then there is no evidence that it can take more
// than its cold limit, so the limit does not grow; docs/design/groups.md has
// the measurement. The quota of a node that is dead but still on the roster
// stays unused until the group is warm, or until the group restarts with a new
// boot id after the node has left the roster.
//
// Example:
//   NoteRoster(cold, now, version, roster, self);
//   if (inFlight < AdmissionLimit(cold, now, route, self, roster)) { ... }
//   NoteColdSignal(cold, now, route.m_group, ColdSignal::Refused);

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/roster_place.h"
#include "briarglade/routing/route_table.h"

namespace briarglade {

// The time within which every node that starts requests has adopted an accepted
// roster.
constexpr Millis kRosterSettleTime = Millis(5'000);

// Signals that make a group count as cold at once, on the node that observed
// them.
enum class ColdSignal
{
  // An answer or a report contained a new boot id.
  NewBoot,
  // A connection or a request was refused.
  Refused,
  // Latency rose far above the usual latency of the group.
  LatencyJump
};

// The cold period of one group, as observed by this node.
struct ColdPeriod
{
  BootId m_boot;
  // Ranks in all rosters that count, without those whose quota can never be the
  // minimum.
  std::vector<RosterPlace> m_ranks;
  // The m_number of the first roster that m_ranks does not include yet.
  uint64_t m_nextRoster = 0;
  bool m_hasSignal = false;
  Millis m_signalAt;
};

// A roster that this node has adopted.
struct RosterRecord
{
  std::vector<NodeId> m_nodes;
  uint64_t m_version = 0;
  // Sequence number among the rosters adopted by this process.
  uint64_t m_number = 0;
  // When it was replaced by the next one; not meaningful for the last one.
  Millis m_replacedAt;
};

// The rosters and cold groups that a node keeps track of. Warm groups take no
// memory.
struct ColdStartState
{
  bool m_joined = false;
  // When this node joined the roster.
  Millis m_joinedAt;
  // Oldest first; the last one is current.
  std::deque<RosterRecord> m_rosters;
  std::map<GroupId, ColdPeriod> m_periods;
};

// Records the roster that this node has just adopted, with its version. Does
// nothing if the version is not newer than the last one.
void NoteRoster(ColdStartState& aState,
                Millis aNow,
                uint64_t aVersion,
                const std::vector<NodeId>& aRoster,
                const NodeId& aSelf);

// Returns how many requests this node may have in flight at the route's group
// now: the route's request limit if the group is warm, this node's quota if it
// is cold. A roster that was not passed to NoteRoster() counts as the next
// version.
uint32_t AdmissionLimit(ColdStartState& aState,
                        Millis aNow,
                        const Route& aRoute,
                        const NodeId& aSelf,
                        const std::vector<NodeId>& aRoster);

// Marks the group as cold from now on. A repeated signal restarts the cold
// period.
void NoteColdSignal(ColdStartState& aState,
                    Millis aNow,
                    const GroupId& aGroup,
                    ColdSignal aSignal);

// Returns how many requests all nodes together may have in flight at a group
// that turned cold aSinceCold ago: the cold limit, or the request limit once
// the group is warm.
uint32_t FleetAdmissionLimit(const Route& aRoute, Millis aSinceCold);

} // namespace briarglade
