// The facts that this node holds. Versions only rise.

#pragma once

#include <vector>

#include "briarglade/membership/membership_effect.h"
#include "briarglade/membership/membership_state.h"

namespace briarglade {

// Adopts a row that the table holds or held, if it is newer than this node's.
// Returns whether it was.
bool AdoptRow(MembershipState& aState,
              const FactRow& aRow,
              MembershipEffects& aEffects);

// Takes a zone out in memory unless the facts say so already. Returns whether
// the hold is new here.
bool AdoptHold(MembershipState& aState,
               Millis aNow,
               const ZoneHold& aHold,
               MembershipEffects& aEffects);

// Returns the rows that are newer than the given versions; without the large
// ones unless all are wanted.
std::vector<FactRow> ListNewerRows(const MembershipState& aState,
                                   const FactsVersion& aThan,
                                   bool aWantsAll);

// Returns the zones that are held out in memory.
std::vector<ZoneHold> ListHolds(const MembershipState& aState);

// Returns the operation ids of the same.
std::vector<OperationId> ListHoldOperations(const MembershipState& aState);

// Returns the value of a held row; empty if there is none.
std::string HeldValue(const MembershipState& aState, const FactName& aName);

// Returns the write that puts a value in the place of what the table is known
// to hold.
TableWrite MakeFactWrite(const MembershipState& aState,
                         const FactName& aName,
                         const OperationId& aOperation,
                         std::string aValue);

} // namespace briarglade
