// One run of a server process.

#pragma once

#include "briarglade/base/ids.h"

namespace briarglade {

// A later run under the same host id has none of the state of this one.
struct ServerRun
{
  HostId m_server;
  BootId m_run;

  bool operator==(const ServerRun& aOther) const
  {
    return m_server == aOther.m_server && m_run == aOther.m_run;
  }
};

} // namespace briarglade
