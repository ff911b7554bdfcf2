// The stand-in for the users' platform as one process: the store with a door
// for each node, domains of model servers, and a plain service.

#pragma once

#include "standin/standin_role.h"

namespace briarglade {
class EventLoop;
}

namespace briarglade::standin {

// Starts it. Ports are named "store-1", "store-2" and so on, a door each.
Role MakePlatform(EventLoop& aLoop, const Arguments& aArguments);

} // namespace briarglade::standin
