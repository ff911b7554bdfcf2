// What nodes tell each other of the facts: questions to a few partners, pushes
// of changes and their acknowledgements.

#pragma once

#include "briarglade/membership/membership_effect.h"
#include "briarglade/membership/membership_event.h"
#include "briarglade/membership/membership_state.h"

namespace briarglade {

// Asks a partner if it is time; faster while the table doesn't confirm.
void AskPartners(MembershipState& aState,
                 Millis aNow,
                 MembershipEffects& aEffects);

// Pushes to each member that hasn't acknowledged everything, at most once in
// kPushRetryPeriod each.
void PushToLagging(MembershipState& aState,
                   Millis aNow,
                   MembershipEffects& aEffects);

// Pushes to every other member at once.
void PushToAll(MembershipState& aState,
               Millis aNow,
               MembershipEffects& aEffects);

// Passes newly adopted facts on to the partners that lack them, and gives the
// acknowledgements that waited for them.
void PassOn(MembershipState& aState, Millis aNow, MembershipEffects& aEffects);

// Takes a message of membership. Sets aAdopted if it brought anything new.
// Messages of other components are ignored.
void OnPeerMessage(MembershipState& aState,
                   Millis aNow,
                   const PeerMessageReceived& aEvent,
                   bool& aAdopted,
                   MembershipEffects& aEffects);

// Passes over a partner that can't be reached.
void OnUnreachable(MembershipState& aState, Millis aNow, const NodeId& aNode);

} // namespace briarglade
