// What follows from the end of an attempt: the final answer, a retry or a
// resumed stream, and what it tells of the group's health.

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

// Hands out the ledger's notices.
void SendNotices(RoutingState& aState, RoutingEffects& aEffects);

// Gives up attempts at groups that were lost, so that others can take over.
void CancelAttemptsAtLostGroups(RoutingState& aState,
                                Millis aNow,
                                RoutingEffects& aEffects);

// Queues the retries whose time has come.
void QueueDueRetries(RoutingState& aState, Millis aNow);

} // namespace briarglade::internal
