// What `briarglade status` and the address answer show, as JSON text.

#pragma once

#include <cstddef>
#include <string>

#include "briarglade/base/millis.h"

namespace briarglade {

struct NodeState;

// Returns what the node knows: versions, zones, roster, groups, changes.
std::string RenderStatus(const NodeState& aState,
                         Millis aNow,
                         size_t aInFlight);

// Returns the nodes that callers should use, with weights, and how long they
// may keep the answer.
std::string RenderAddresses(const NodeState& aState, Millis aLifetime);

} // namespace briarglade
