// What a server states about the rate of requests that it accepts.

#pragma once

#include <optional>

#include "briarglade/base/millis.h"
#include "briarglade/gateway/server_run.h"

namespace briarglade {

// One server's rate limit, as one node tells it to others.
struct RateLimitNotice
{
  ServerRun m_server;
  // Requests per second from all nodes together; none: the server no longer
  // states a limit.
  std::optional<double> m_rate;
  // The time since the server's answer.
  Millis m_age;
};

} // namespace briarglade
