// Computes a rank when the roster has changed.

#include "briarglade/gateway/cached_rank.h"

#include "briarglade/gateway/fleet_quota.h"

namespace briarglade {

uint32_t CachedRank::LocalQuota(const FleetQuota& aQuota,
                                const HostId& aServer,
                                uint32_t aLimit)
{
  if (m_rosterVersion != aQuota.RosterVersion()) {
    m_rosterVersion = aQuota.RosterVersion();
    m_rank = aQuota.RankFor(aServer.Value());
  }
  return DealtTo(m_rank, aLimit);
}

} // namespace briarglade
