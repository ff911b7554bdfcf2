// The start of operators' commands: what is refused at once, and the first
// conditional write of what isn't.

#pragma once

#include "briarglade/membership/membership_effect.h"
#include "briarglade/membership/membership_state.h"

namespace briarglade {

// Begins to put a configuration in force.
void OnApply(MembershipState& aState,
             Millis aNow,
             const ApplyCommand& aCommand,
             MembershipEffects& aEffects);

// Begins to take a zone out or to bring it back.
void OnZone(MembershipState& aState,
            Millis aNow,
            const ZoneCommand& aCommand,
            MembershipEffects& aEffects);

} // namespace briarglade
