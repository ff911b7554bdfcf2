// The notice that informs other nodes about a request that crashes backend
// servers.

#pragma once

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

struct CrashNotice
{
  NodeId m_node;
  Fingerprint m_fingerprint;
  // The group and boot id that failed while the request was in flight.
  GroupId m_group;
  BootId m_boot;
  // Remaining time of the refusal. Zero means that the request is only
  // suspected.
  Millis m_refuseFor;
};

} // namespace briarglade
