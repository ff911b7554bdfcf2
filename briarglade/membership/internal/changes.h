// The progress of operators' changes: the settling of lost answers, the wait
// for acknowledgements, and zones held out while the table is silent.

#pragma once

#include "briarglade/membership/membership_effect.h"
#include "briarglade/membership/membership_state.h"

namespace briarglade {

// Takes the end of a table operation of a change. Returns false if it was
// another operation. Sets aAdopted if the change was adopted.
bool OnChangeResult(MembershipState& aState,
                    Millis aNow,
                    const TableResult& aResult,
                    bool& aAdopted,
                    MembershipEffects& aEffects);

// Answers the changes that are accepted or out of time, and tries again what
// must be tried again.
void StepChanges(MembershipState& aState,
                 Millis aNow,
                 MembershipEffects& aEffects);

} // namespace briarglade
