// Request routing: decides which group gets a request and when, how often it is
// retried, and which result its caller gets.
//
// Every RequestArrived leads to exactly one FinishRequest, and every
// StartAttempt expects exactly one AttemptEnded. A request that routing
// gives up on is finished at once, with a Retry-After time. Send a RoutingTick
// every 50 ms.
//
// Example:
//   RoutingState routing(self, zone);
//   for (RoutingEffect& effect : ReduceRouting(routing, now, event)) { ... }

#pragma once

#include "briarglade/routing/routing_event.h"
#include "briarglade/routing/routing_state.h"

namespace briarglade {

// Applies one event and returns the effects that the shell must carry out.
RoutingEffects ReduceRouting(RoutingState& aState,
                             Millis aNow,
                             const RoutingEvent& aEvent);

} // namespace briarglade
