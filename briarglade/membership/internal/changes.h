// Operators' commands: the conditional write, the settling of lost answers, the
// wait for acknowledgements, and zones held out while the table is silent.

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

// Writes held zones to the table once it answers.
void StepHolds(MembershipState& aState,
               Millis aNow,
               MembershipEffects& aEffects);

// Takes the end of such a write. Returns false if it was another operation.
bool OnHoldWritten(MembershipState& aState,
                   Millis aNow,
                   const TableResult& aResult,
                   bool& aAdopted,
                   MembershipEffects& aEffects);

} // namespace briarglade
