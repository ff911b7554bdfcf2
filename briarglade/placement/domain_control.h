// What the holder of a fabric domain's lease does: plans, moves groups on
// through their lives, and orders servers.
//
// Orders follow only from a row that is known to be in the table, and are sent
// only while the lease holds. A new holder waits for kTakeoverGrace first, so
// that orders which an earlier holder sent under its lease have arrived, also
// at servers that ignore fencing tokens, and watchers have spoken.

#pragma once

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/placement/placement_event.h"

namespace briarglade {

struct PlacementState;

// How long a new holder waits before it changes anything.
constexpr Millis kTakeoverGrace = Millis(3'000);
// How long an order may be sent or repeated.
constexpr Millis kOrderLife = Millis(2'000);

// Lets time pass for one domain.
void TickDomainControl(PlacementState& aState,
                       Millis aNow,
                       const DomainId& aDomain,
                       PlacementEffects& aEffects);

// Takes another node's word on its requests in flight.
void OnInFlightNews(PlacementState& aState, const InFlightNews& aNews);

} // namespace briarglade
