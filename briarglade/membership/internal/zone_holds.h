// The recording of zones that are held out in memory.

#pragma once

#include "briarglade/membership/membership_effect.h"
#include "briarglade/membership/membership_state.h"

namespace briarglade {

// Returns the record of a hold as a change that makes a version of the zone.
ChangeRecord MakeHoldRecord(const ZoneHold& aHold, uint64_t aVersion);

// Writes held zones to the table once it answers.
void StepHolds(MembershipState& aState,
               Millis aNow,
               MembershipEffects& aEffects);

// Takes the end of such a write. Returns false if it was another operation.
// Sets aAdopted if the zone's row was adopted.
bool OnHoldWritten(MembershipState& aState,
                   Millis aNow,
                   const TableResult& aResult,
                   bool& aAdopted,
                   MembershipEffects& aEffects);

} // namespace briarglade
