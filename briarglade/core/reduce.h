// The decision core: one function over all events, with effects as data.
//
// Example:
//   NodeState state = MakeNodeState(settings);
//   for (Effect& effect : Reduce(state, Event{ now, Tick{} })) { ... }

#pragma once

#include "briarglade/core/effect.h"
#include "briarglade/core/event.h"

namespace briarglade {

struct NodeState;

// Applies one event to the state and returns what the shell must do, in order.
Effects Reduce(NodeState& aState, const Event& aEvent);

} // namespace briarglade
