// The decision core: one function over all events, with effects as data.

#pragma once

#include "briarglade/core/effect.h"
#include "briarglade/core/event.h"

namespace briarglade {

struct NodeState;

// Applies one event to the state and returns what the shell must do.
Effects Reduce(NodeState& aState, const Event& aEvent);

} // namespace briarglade
