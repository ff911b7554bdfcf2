// Reading the fact rows from the table, and judging what it shows.

#pragma once

#include "briarglade/membership/membership_effect.h"
#include "briarglade/membership/membership_state.h"

namespace briarglade {

// Tells whether the table doesn't confirm this node now, so that the partners
// must.
bool IsTableUnhelpful(const MembershipState& aState);

// Reads the table if it is time.
void PollTable(MembershipState& aState,
               Millis aNow,
               MembershipEffects& aEffects);

// Takes the end of a read. Returns false if it was another operation. Sets
// aAdopted if a newer row was among those read.
bool OnFactsRead(MembershipState& aState,
                 Millis aNow,
                 const TableResult& aResult,
                 bool& aAdopted,
                 MembershipEffects& aEffects);

} // namespace briarglade
