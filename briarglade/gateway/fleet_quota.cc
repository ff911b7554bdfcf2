// Computes local quotas from the current roster.

#include "briarglade/gateway/fleet_quota.h"

#include <utility>

namespace briarglade {

void FleetQuota::SetRoster(NodeList aNodes, Millis aValidUntil)
{
  m_validUntil = aValidUntil;
  const bool isSame =
    aNodes == m_nodes || (aNodes && m_nodes && *aNodes == *m_nodes);
  if (isSame) {
    return;
  }
  m_nodes = std::move(aNodes);
  ++m_rosterVersion;
}

RosterPlace FleetQuota::RankFor(std::string_view aKey) const
{
  return m_nodes ? PlaceIn(*m_nodes, aKey, m_self) : RosterPlace();
}

uint32_t FleetQuota::LocalQuota(std::string_view aKey, uint32_t aLimit) const
{
  return DealtTo(RankFor(aKey), aLimit);
}

std::vector<NodeId> FleetQuota::Holders(std::string_view aKey,
                                        uint32_t aLimit) const
{
  return m_nodes ? FirstByRank(*m_nodes, aKey, aLimit) : std::vector<NodeId>();
}

} // namespace briarglade
