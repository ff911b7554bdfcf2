// Limits the recent requests to each cold-starting server to this node's quota.

#include "briarglade/gateway/cold_start_limit.h"

#include <utility>

#include "briarglade/gateway/fleet_share.h"
#include "briarglade/gateway/gateway_event.h"

namespace briarglade {

ColdStartLimit::ColdStartLimit(std::shared_ptr<const FleetShare> aShare)
  : m_share(std::move(aShare))
{
}

void ColdStartLimit::SetBounds(double aFactor, double aSlack)
{
  m_factor = aFactor;
  m_slack = aSlack;
}

bool ColdStartLimit::IsCold(Millis aNow, const Backend& aBackend) const
{
  return aNow < aBackend.m_coldUntil && aBackend.m_coldRate > 0;
}

uint32_t ColdStartLimit::PartOf(Millis aNow,
                                const Backend& aBackend,
                                Server& aServer) const
{
  if (!m_share->IsValid(aNow)) {
    return 0;
  }
  if (aServer.m_rosterNumber != m_share->RosterNumber()) {
    aServer.m_rosterNumber = m_share->RosterNumber();
    aServer.m_place = m_share->PlaceFor(aBackend.m_server.Value());
  }
  const double limit = aBackend.m_coldRate * m_factor + m_slack;
  return DealtTo(aServer.m_place, static_cast<uint32_t>(limit));
}

bool ColdStartLimit::HasPart(Millis aNow, const Backend& aBackend)
{
  return PartOf(aNow, aBackend, m_servers[aBackend.m_server]) > 0;
}

bool ColdStartLimit::MaySend(Millis aNow, const Backend& aBackend)
{
  if (!IsCold(aNow, aBackend)) {
    return true;
  }
  Server& server = m_servers[aBackend.m_server];
  return server.m_sent.Count(aNow) < PartOf(aNow, aBackend, server);
}

void ColdStartLimit::NoteSent(Millis aNow, const HostId& aServer)
{
  m_servers[aServer].m_sent.Note(aNow);
}

void ColdStartLimit::Forget(Millis aNow)
{
  for (auto entry = m_servers.begin(); entry != m_servers.end();) {
    entry = entry->second.m_sent.Count(aNow) == 0 ? m_servers.erase(entry)
                                                  : std::next(entry);
  }
}

} // namespace briarglade
