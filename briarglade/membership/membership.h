// Accepted configuration, availability zones and the roster of nodes: one
// sub-reducer of the decision core. docs/design/acceptance.md has the protocol.
//
// Example:
//   MembershipState state = MakeMembershipState(settings);
//   for (MembershipEffect& effect :
//        ReduceMembership(state, now, MembershipTick{})) { ... }
//   if (!IsConfirmed(state, now)) { ... refuse with Unconfirmed ... }

#pragma once

#include <vector>

#include "briarglade/membership/membership_effect.h"
#include "briarglade/membership/membership_event.h"
#include "briarglade/membership/membership_state.h"

namespace briarglade {

// Returns the state of a node that has just started.
MembershipState MakeMembershipState(const MembershipSettings& aSettings);

// Applies one event and returns what must be done. Effects are in order.
std::vector<MembershipEffect> ReduceMembership(MembershipState& aState,
                                               Millis aNow,
                                               const MembershipEvent& aEvent);

// Tells whether the node may give out new work: it is on the roster and its
// facts were confirmed within kConfirmationLife. Ask at each piece of work: a
// paused process has had no event that says otherwise.
bool IsConfirmed(const MembershipState& aState, Millis aNow);

// Tells whether the table holds the version of a fact, as far as this node
// knows, and a majority of the roster has acknowledged it.
bool IsAccepted(const MembershipState& aState,
                const FactName& aName,
                uint64_t aVersion);

// Returns the recorded changes of configuration, zones and roster, the latest
// first by wall-clock time.
std::vector<ChangeRecord> ListChanges(const MembershipState& aState);

} // namespace briarglade
