// Non-idempotent calls run at most once.
//
// A call is recorded in the table by a conditional write before anything is
// sent, handed to routing once, and its answer is kept under its key. See
// docs/design/actions.md for the rules and why they hold.
//
// Every RequestArrived is answered by exactly one FinishRequest. A call whose
// caller leaves while it runs goes on, so that a repeat learns the outcome;
// its FinishRequest still comes. CallerGone must not reach routing for it.
//
// Example:
//   ActionsState state = MakeActionsState(node, incarnation);
//   for (ActionsEffect& effect : ReduceActions(state, now, request)) { ... }

#pragma once

#include "briarglade/actions/actions_event.h"
#include "briarglade/base/millis.h"

namespace briarglade {

struct ActionsState;

// Applies one event to the state and returns what must be done. Events are
// taken in the order in which they happened; aNow never goes back.
ActionsEffects ReduceActions(ActionsState& aState,
                             Millis aNow,
                             const ActionsEvent& aEvent);

} // namespace briarglade
