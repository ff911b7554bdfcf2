// Timing shared by all orders of the lease holder.

#pragma once

#include "briarglade/base/millis.h"

namespace briarglade::internal {

// Time without an answer after which an order is retried.
constexpr Millis kOrderRetryTime = Millis(400);

} // namespace briarglade::internal
