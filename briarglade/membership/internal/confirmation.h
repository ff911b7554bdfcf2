// Confirmation: by the table, by a partner at its age, by a majority round.

#pragma once

#include "briarglade/membership/membership_effect.h"
#include "briarglade/membership/membership_state.h"

namespace briarglade {

// Takes a proof that this node knew every accepted change at an instant.
void ConfirmAt(MembershipState& aState, Millis aInstant);

// Fills in what this node knows of the members' vouches.
void DescribeVouches(const MembershipState& aState,
                     Millis aNow,
                     FactsAnswer& aAnswer);

// Takes over what a partner knows. aAskedAt is when it was asked: every age in
// the answer counts from there, so a delayed answer is never taken for fresh.
// The facts of the answer must have been adopted.
void MergeVouches(MembershipState& aState,
                  Millis aNow,
                  const NodeId& aFrom,
                  Millis aAskedAt,
                  const FactsAnswer& aAnswer);

// Tells of a change of the confirmation since the last call.
void PublishConfirmation(MembershipState& aState,
                         Millis aNow,
                         MembershipEffects& aEffects);

} // namespace briarglade
