// The roster of nodes: majorities over it, and its changes by one node at a
// time.

#pragma once

#include <functional>
#include <vector>

#include "briarglade/membership/membership_effect.h"
#include "briarglade/membership/membership_event.h"
#include "briarglade/membership/membership_state.h"

namespace briarglade {

// Returns the member, the node that left last, or nullptr.
Member* FindMember(MembershipState& aState, const NodeId& aNode);

// Tells whether the roster names this node.
bool IsListed(const MembershipState& aState);

// Returns the size of a majority.
size_t MajorityOf(size_t aCount);

// Puts a newer roster in place of the present one.
void ApplyRoster(MembershipState& aState,
                 RosterFact aRoster,
                 MembershipEffects& aEffects);

using MemberPredicate = std::function<bool(const Member&)>;

// Tells whether a majority of the roster holds; this node counts as holding if
// it counts at all.
bool HasMajority(const MembershipState& aState, const MemberPredicate& aHolds);

// The same of the roster and also of the one before it.
bool HasBothMajorities(const MembershipState& aState,
                       const MemberPredicate& aHolds);

// Tells whether the next change of the roster may be written: majorities of
// both rosters hold everything that this node knows.
bool IsRosterSettled(const MembershipState& aState);

// Takes note of which members the host list doesn't show.
void NoteShownHosts(MembershipState& aState,
                    Millis aNow,
                    const EntryHostsRead& aEvent);

// Begins a graceful leave.
void BeginLeaving(MembershipState& aState, Millis aNow);

// Takes the next step towards the roster that this node wants, if any.
void StepRoster(MembershipState& aState,
                Millis aNow,
                MembershipEffects& aEffects);

// Takes the end of a write to the roster row. Returns false if it was another
// operation.
bool OnRosterWritten(MembershipState& aState,
                     Millis aNow,
                     const TableResult& aResult,
                     MembershipEffects& aEffects);

} // namespace briarglade
