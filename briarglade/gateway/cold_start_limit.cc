// Limits the recent requests to each cold-starting server to this node's quota.

#include "briarglade/gateway/cold_start_limit.h"

#include <utility>

#include "briarglade/gateway/fleet_quota.h"
#include "briarglade/gateway/gateway_event.h"

namespace briarglade {

ColdStartLimit::ColdStartLimit(std::shared_ptr<const FleetQuota> aQuota)
  : m_quota(std::move(aQuota))
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

uint32_t ColdStartLimit::LocalQuota(Millis aNow,
                                    const Backend& aBackend,
                                    Server& aServer) const
{
  if (!m_quota->IsValid(aNow)) {
    return 0;
  }
  const double limit = aBackend.m_coldRate * m_factor + m_slack;
  return aServer.m_rank.LocalQuota(
    *m_quota, aBackend.m_server, static_cast<uint32_t>(limit));
}

bool ColdStartLimit::HasQuota(Millis aNow, const Backend& aBackend)
{
  return LocalQuota(aNow, aBackend, m_servers[aBackend.m_server]) > 0;
}

bool ColdStartLimit::MaySend(Millis aNow, const Backend& aBackend)
{
  if (!IsCold(aNow, aBackend)) {
    return true;
  }
  Server& server = m_servers[aBackend.m_server];
  return server.m_sent.Count(aNow) < LocalQuota(aNow, aBackend, server);
}

void ColdStartLimit::RecordSent(Millis aNow, const HostId& aServer)
{
  m_servers[aServer].m_sent.Note(aNow);
}

void ColdStartLimit::RemoveIdle(Millis aNow)
{
  for (auto entry = m_servers.begin(); entry != m_servers.end();) {
    entry = entry->second.m_sent.Count(aNow) == 0 ? m_servers.erase(entry)
                                                  : std::next(entry);
  }
}

} // namespace briarglade
