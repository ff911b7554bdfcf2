// How many requests a node may have in flight at a group that is in cold start.
//
// No message is exchanged. The limit of a cold group is split over the roster
// by rendezvous rank on (group, boot id), so that the shares of all nodes never
// add up to more than the limit. Three rules keep the sum true while the roster
// changes:
//  - within one cold period a node's share is the least of what each roster
//    seen since shortly before the period gave it;
//  - a node has no share in a group that turned cold before the node had been
//    on the roster for kRosterSettleTime: its earlier requests may still run
//    there, and others may not know of it yet;
//  - a node that has skipped a version of the roster counts as newly joined.
// They rest on one promise of membership: a node that has not adopted an
// accepted roster within kRosterSettleTime starts no request until it has.
//
// A group is cold until its warm-up time has passed since it turned cold, by
// the server's own uptime or by this node's last bad experience, whichever is
// later. Until then nobody has said that it bears more than its cold limit, so
// the limit doesn't grow; docs/design/groups.md has the measurement. The share
// of a node that is dead but still on the roster stays unused until the group
// is warm, or a new boot finds the node off the roster.
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

// What makes a group count as cold at once, on the node that saw it.
enum class ColdSignal
{
  // An answer or a report carried a new boot id.
  NewBoot,
  // A connection or a request was refused.
  Refused,
  // Latency has jumped far above the group's usual one.
  LatencyJump
};

// One group's cold period, as this node sees it.
struct ColdPeriod
{
  BootId m_boot;
  // Places in every roster that counts, without those that another outdoes.
  std::vector<RosterPlace> m_ranks;
  // The number of the first roster that m_ranks doesn't cover yet.
  uint64_t m_nextRoster = 0;
  bool m_hasSignal = false;
  Millis m_signalAt;
};

// A roster that this node has held.
struct RosterRecord
{
  std::vector<NodeId> m_nodes;
  uint64_t m_version = 0;
  // Counts the rosters held by this process.
  uint64_t m_number = 0;
  // When it was replaced; meaningless for the last one.
  Millis m_replacedAt;
};

// What a node remembers of rosters and of cold groups. Groups that are warm
// take no memory.
struct ColdStartState
{
  bool m_joined = false;
  // When this node joined the roster.
  Millis m_joinedAt;
  // Oldest first; the last one is in force.
  std::deque<RosterRecord> m_rosters;
  std::map<GroupId, ColdPeriod> m_periods;
};

// Takes the roster that this node has just adopted, with its version.
void NoteRoster(ColdStartState& aState,
                Millis aNow,
                uint64_t aVersion,
                const std::vector<NodeId>& aRoster,
                const NodeId& aSelf);

// Returns how many requests this node may have in flight at the route's group
// now: the route's request limit for a warm group, this node's share for a cold
// one. A roster that NoteRoster() was not told of counts as the next version.
uint32_t AdmissionLimit(ColdStartState& aState,
                        Millis aNow,
                        const Route& aRoute,
                        const NodeId& aSelf,
                        const std::vector<NodeId>& aRoster);

// Makes the group count as cold from now on. Repeating it starts over.
void NoteColdSignal(ColdStartState& aState,
                    Millis aNow,
                    const GroupId& aGroup,
                    ColdSignal aSignal);

// Returns how many requests all nodes together may have in flight at a group
// that turned cold this long ago: the cold limit, and the request limit once it
// is warm.
uint32_t BearableLimit(const Route& aRoute, Millis aSinceCold);

} // namespace briarglade
