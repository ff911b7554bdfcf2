// Identifies one process of a backend server. One address has one process at a
// time, and two that ran there one after the other differ in their start.

#pragma once

#include <cstdint>

#include "briarglade/base/endpoint.h"

namespace briarglade {

struct ServerProcess
{
  Endpoint m_address;
  // Start time in milliseconds since the Unix epoch; zero if it is not known.
  int64_t m_startedAt = 0;

  bool operator==(const ServerProcess& aOther) const
  {
    return m_address == aOther.m_address && m_startedAt == aOther.m_startedAt;
  }
};

} // namespace briarglade
