// Computes local quotas from the current roster.

#include "briarglade/gateway/fleet_share.h"

#include <utility>

namespace briarglade {

void FleetShare::SetRoster(NodeList aNodes, Millis aValidUntil)
{
  m_validUntil = aValidUntil;
  const bool isSame =
    aNodes == m_nodes || (aNodes && m_nodes && *aNodes == *m_nodes);
  if (isSame) {
    return;
  }
  m_nodes = std::move(aNodes);
  ++m_rosterNumber;
}

RosterPlace FleetShare::PlaceFor(std::string_view aKey) const
{
  return m_nodes ? PlaceIn(*m_nodes, aKey, m_self) : RosterPlace();
}

uint32_t FleetShare::PartOf(std::string_view aKey, uint32_t aLimit) const
{
  return DealtTo(PlaceFor(aKey), aLimit);
}

} // namespace briarglade
