// This node's rank for a server, computed anew only when the roster changes.
//
// Example:
//   uint32_t quota = rank.LocalQuota(fleetQuota, server, limit);

#pragma once

#include <cstdint>

#include "briarglade/base/ids.h"
#include "briarglade/base/roster_place.h"

namespace briarglade {

class FleetQuota;

class CachedRank
{
public:
  // Returns this node's quota of a limit at the server, in the limit's units,
  // by the last roster, whether that is still valid or not.
  uint32_t LocalQuota(const FleetQuota& aQuota,
                      const HostId& aServer,
                      uint32_t aLimit);

private:
  RosterPlace m_rank;
  // The roster version that m_rank was computed from; zero if not computed yet.
  uint64_t m_rosterVersion = 0;
};

} // namespace briarglade
