// Request routing: which group gets a request, when, how often, and what its
// caller is told in the end.
//
// Every RequestArrived gets exactly one FinishRequest, and every StartAttempt
// expects exactly one AttemptEnded. A request that is given up on is finished
// at once, with the time to come back. Call it with RoutingTick every 50 ms.
//
// Example:
//   RoutingState routing(self, zone);
//   for (RoutingEffect& effect : ReduceRouting(routing, now, event)) { ... }

#pragma once

#include "briarglade/routing/routing_event.h"
#include "briarglade/routing/routing_state.h"

namespace briarglade {

// Applies one event and returns what the shell must do.
RoutingEffects ReduceRouting(RoutingState& aState,
                             Millis aNow,
                             const RoutingEvent& aEvent);

} // namespace briarglade
