// Timing shared by all orders of the lease holder.

#pragma once

#include "briarglade/base/millis.h"

namespace briarglade::internal {

// Time without an answer after which an order is retried.
constexpr Millis kOrderRetryTime = Millis(400);
// Before the first request, a load takes 1/kLoadTimeDivisorBeforeTraffic of its
// usual time.
constexpr int64_t kLoadTimeDivisorBeforeTraffic = 10;

} // namespace briarglade::internal
