// Tells the other nodes of a request that takes backend servers down.

#pragma once

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

struct CrashNotice
{
  NodeId m_node;
  Fingerprint m_fingerprint;
  // The group and boot that failed with the request in flight.
  GroupId m_group;
  BootId m_boot;
  // Time left until the request is allowed again; zero: only a suspicion.
  Millis m_refuseFor;
};

} // namespace briarglade
