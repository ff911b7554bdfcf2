// The decision core: a single function that processes all events and returns
// effects as plain data.
//
// Example:
//   NodeState state = MakeNodeState(settings);
//   for (Effect& effect : Reduce(state, Event{ now, Tick{} })) { ... }

#pragma once

#include "briarglade/core/effect.h"
#include "briarglade/core/event.h"

namespace briarglade {

struct NodeState;

// Applies one event to the state. Returns the effects that the I/O shell must
// carry out, in order.
Effects Reduce(NodeState& aState, const Event& aEvent);

} // namespace briarglade
