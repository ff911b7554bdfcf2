// Handles the end of an attempt: the final answer, a retry or a resumed stream,
// and what the end says about the health of the group.

#pragma once

#include "briarglade/base/millis.h"
#include "briarglade/routing/routing_event.h"

namespace briarglade {
struct RoutingState;
}

namespace briarglade::internal {

void OnAnswerBegan(RoutingState& aState,
                   Millis aNow,
                   const AttemptAnswerBegan& aBegan,
                   RoutingEffects& aEffects);

void OnAttemptEnded(RoutingState& aState,
                    Millis aNow,
                    const AttemptEnded& aEnded,
                    RoutingEffects& aEffects);

// Emits the pending crash notices.
void SendNotices(RoutingState& aState, RoutingEffects& aEffects);

// Cancels attempts at lost groups so that their requests can move to other
// groups.
void CancelAttemptsAtLostGroups(RoutingState& aState,
                                Millis aNow,
                                RoutingEffects& aEffects);

// Queues the retries whose delay has passed.
void QueueDueRetries(RoutingState& aState, Millis aNow);

} // namespace briarglade::internal
