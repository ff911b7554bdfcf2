// Counts requests and granted turns against this node's quota.

#include "briarglade/gateway/cold_start_limit.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "briarglade/base/erase_if.h"
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

void ColdStartLimit::RecordBackend(Millis aNow, const Backend& aBackend)
{
  if (IsCold(aNow, aBackend)) {
    Server& server = m_servers[aBackend.m_server];
    server.m_coldRate = aBackend.m_coldRate;
    server.m_coldUntil = aBackend.m_coldUntil;
    m_coldServers.insert(aBackend.m_server);
  }
}

bool ColdStartLimit::IsCold(Millis aNow, const Backend& aBackend) const
{
  return aNow < aBackend.m_coldUntil && aBackend.m_coldRate > 0;
}

uint32_t ColdStartLimit::Limit(double aColdRate) const
{
  return static_cast<uint32_t>(aColdRate * m_factor + m_slack);
}

uint32_t ColdStartLimit::LocalQuota(Millis aNow,
                                    const HostId& aHost,
                                    double aColdRate,
                                    Server& aServer) const
{
  return m_quota->IsValid(aNow)
           ? aServer.m_rank.LocalQuota(*m_quota, aHost, Limit(aColdRate))
           : 0;
}

uint32_t ColdStartLimit::UnusedQuota(Millis aNow,
                                     const HostId& aHost,
                                     double aColdRate,
                                     Server& aServer) const
{
  const uint32_t quota = LocalQuota(aNow, aHost, aColdRate, aServer);
  const auto used = static_cast<uint32_t>(aServer.m_sent.Count(aNow) +
                                          GrantedCount(aNow, aServer));
  if (aServer.m_halvings == 0 || quota == 0) {
    return quota - std::min(quota, used);
  }
  const uint32_t reduced = quota >> aServer.m_halvings;
  if (reduced > 0) {
    return reduced - std::min(reduced, used);
  }
  // Less than one request per window: one in a longer time.
  const Millis lastUsedAt =
    std::max(aServer.m_lastOwnAt, aServer.m_lastGrantAt);
  const Millis interval = kCountWindow * (1 << aServer.m_halvings) / quota;
  return used == 0 && aNow - lastUsedAt >= interval ? 1 : 0;
}

size_t ColdStartLimit::GrantedCount(Millis aNow, const Server& aServer)
{
  return static_cast<size_t>(std::count_if(aServer.m_granted.begin(),
                                           aServer.m_granted.end(),
                                           [&](const Grant& aGrant) {
                                             return aGrant.m_endsAt >
                                                    aNow - kCountWindow;
                                           }));
}

bool ColdStartLimit::HasTurn(Millis aNow, const Server& aServer)
{
  return aServer.m_hasTurn && aNow < aServer.m_turnAskedAt + kTurnLifetime;
}

bool ColdStartLimit::MayGetTurns(Millis aNow, const Backend& aBackend)
{
  const bool mayAsk =
    m_quota->NodeCount() > 1 && Limit(aBackend.m_coldRate) > 0;
  return mayAsk || LocalQuota(aNow,
                              aBackend.m_server,
                              aBackend.m_coldRate,
                              m_servers[aBackend.m_server]) > 0;
}

bool ColdStartLimit::MaySend(Millis aNow, const Backend& aBackend)
{
  if (!IsCold(aNow, aBackend)) {
    return true;
  }
  Server& server = m_servers[aBackend.m_server];
  if (HasTurn(aNow, server)) {
    return true;
  }
  RemoveExpiredRequests(aNow, server);
  const auto precedingRequests = std::count_if(
    server.m_pending.begin(), server.m_pending.end(), [&](const auto& aEntry) {
      return aEntry.second.m_lastSentAt < server.m_lastSentAt;
    });
  return UnusedQuota(aNow, aBackend.m_server, aBackend.m_coldRate, server) >
         static_cast<size_t>(precedingRequests);
}

void ColdStartLimit::RecordSent(Millis aNow, const HostId& aServer)
{
  Server& server = m_servers[aServer];
  // The holder of the quota has counted the turn.
  if (aNow < server.m_coldUntil && HasTurn(aNow, server)) {
    EraseIf(server.m_usedTurns, [&](const UsedTurn& aTurn) {
      return aNow - aTurn.m_sentAt >= kMaxResponseTime;
    });
    server.m_usedTurns.push_back(UsedTurn{ aNow, server.m_turnHolder });
    EndTurn(aServer, server);
  } else {
    server.m_sent.Note(aNow);
    server.m_lastOwnAt = aNow;
  }
  server.m_lastSentAt = aNow;
}

void ColdStartLimit::RecordResponse(Millis aSentAt,
                                    const HostId& aServer,
                                    bool aIsGood)
{
  const auto found = m_servers.find(aServer);
  if (found == m_servers.end()) {
    return;
  }
  std::vector<UsedTurn>& used = found->second.m_usedTurns;
  const auto turn =
    std::find_if(used.begin(), used.end(), [&](const UsedTurn& aTurn) {
      return aTurn.m_sentAt == aSentAt;
    });
  if (turn == used.end()) {
    ApplyResponse(found->second, aIsGood);
    return;
  }
  m_turnResponses.push_back(
    ReportTurnResponse{ turn->m_holder, ColdTurnResponse{ aServer, aIsGood } });
  used.erase(turn);
}

void ColdStartLimit::ApplyResponse(Server& aServer, bool aIsGood)
{
  aServer.m_halvings =
    aIsGood ? 0 : std::min(aServer.m_halvings + 1, kMaxHalvings);
}

std::vector<ReportTurnResponse> ColdStartLimit::TakeTurnResponses()
{
  return std::exchange(m_turnResponses, {});
}

void ColdStartLimit::OnTurnResponse(const ColdTurnResponse& aResponse)
{
  const auto server = m_servers.find(aResponse.m_server);
  if (server != m_servers.end()) {
    ApplyResponse(server->second, aResponse.m_isGood);
  }
}

void ColdStartLimit::RecordWanted(Millis aNow, const HostId& aServer)
{
  m_servers[aServer].m_wantedAt = aNow;
}

std::vector<AskForColdTurn> ColdStartLimit::NextRequests(Millis aNow)
{
  EraseIf(m_coldServers, [&](const HostId& aHost) {
    const auto server = m_servers.find(aHost);
    return server == m_servers.end() || server->second.m_coldUntil <= aNow;
  });
  std::vector<std::pair<Millis, HostId>> due;
  for (const HostId& host : m_coldServers) {
    const Server& server = m_servers.at(host);
    if (aNow - server.m_wantedAt < kWantedTime &&
        aNow - server.m_askedAt >= kRequestInterval && !HasTurn(aNow, server)) {
      due.emplace_back(server.m_askedAt, host);
    }
  }
  // If not all requests can be sent, the servers take turns.
  std::sort(due.begin(), due.end());
  std::vector<AskForColdTurn> requests;
  for (const auto& [askedAt, host] : due) {
    Ask(aNow, host, m_servers.at(host), requests);
  }
  return requests;
}

// Asks the next holder of a quota in turn. Nodes begin at different holders, by
// their own rank.
void ColdStartLimit::Ask(Millis aNow,
                         const HostId& aHost,
                         Server& aServer,
                         std::vector<AskForColdTurn>& aRequests)
{
  if (m_requests.Count(aNow) >= kMaxRequestsPerSecond) {
    return;
  }
  const std::vector<NodeId> holders =
    m_quota->Holders(aHost.Value(), Limit(aServer.m_coldRate));
  if (holders.empty()) {
    return;
  }
  const size_t first = m_quota->RankFor(aHost.Value()).m_rank;
  const NodeId* holder =
    &holders[(first + aServer.m_askCount++) % holders.size()];
  if (*holder == m_quota->Self()) {
    holder = &holders[(first + aServer.m_askCount++) % holders.size()];
  }
  if (*holder == m_quota->Self()) {
    return;
  }
  m_requests.Note(aNow);
  aServer.m_askedAt = aNow;
  aRequests.push_back(AskForColdTurn{
    *holder, ColdTurnRequest{ aHost, aNow, aNow - aServer.m_lastSentAt } });
}

void ColdStartLimit::OnRequest(Millis aNow, const ColdTurnRequested& aRequest)
{
  const auto server = m_servers.find(aRequest.m_request.m_server);
  if (server != m_servers.end() && aNow < server->second.m_coldUntil) {
    server->second.m_pending[aRequest.m_asker] = PendingRequest{
      aRequest, aNow, aNow - aRequest.m_request.m_sinceLastSent
    };
  }
}

void ColdStartLimit::RemoveExpiredRequests(Millis aNow, Server& aServer)
{
  auto& pending = aServer.m_pending;
  for (auto entry = pending.begin(); entry != pending.end();) {
    entry = aNow - entry->second.m_receivedAt >= kRequestInterval
              ? pending.erase(entry)
              : std::next(entry);
  }
}

std::vector<GrantColdTurn> ColdStartLimit::NextGrants(Millis aNow)
{
  std::vector<GrantColdTurn> grants;
  // The turn must end before this node's right to its quota does.
  if (!m_quota->IsValid(aNow + kTurnLifetime)) {
    return grants;
  }
  for (const HostId& host : m_coldServers) {
    Server& server = m_servers.at(host);
    RemoveExpiredRequests(aNow, server);
    while (!server.m_pending.empty() && aNow < server.m_coldUntil) {
      const auto next = std::min_element(
        server.m_pending.begin(),
        server.m_pending.end(),
        [](const auto& aOne, const auto& aOther) {
          return aOne.second.m_lastSentAt < aOther.second.m_lastSentAt;
        });
      const bool isOwnTurn = aNow - server.m_wantedAt < kWantedTime &&
                             server.m_lastSentAt <= next->second.m_lastSentAt;
      const uint32_t reserved = isOwnTurn ? 1 : 0;
      if (UnusedQuota(aNow, host, server.m_coldRate, server) <= reserved) {
        break;
      }
      const ColdTurnRequested& request = next->second.m_request;
      const Millis askedAt = request.m_request.m_askedAt;
      grants.push_back(GrantColdTurn{
        request.m_asker, request.m_incarnation, ColdTurn{ host, askedAt } });
      EraseIf(server.m_granted, [&](const Grant& aGrant) {
        return aGrant.m_endsAt <= aNow - kCountWindow;
      });
      server.m_lastGrantAt = aNow;
      server.m_granted.push_back(Grant{ request.m_asker,
                                        request.m_incarnation,
                                        askedAt,
                                        aNow + kTurnLifetime });
      server.m_pending.erase(next);
    }
  }
  return grants;
}

bool ColdStartLimit::OnGrant(Millis aNow, const ColdTurnGranted& aGrant)
{
  const ColdTurn& turn = aGrant.m_turn;
  const auto found = m_servers.find(turn.m_server);
  if (found == m_servers.end()) {
    return false;
  }
  Server& server = found->second;
  // A turn that is older than the last one may have been received before.
  const bool isUsable = turn.m_askedAt > server.m_turnAskedAt &&
                        turn.m_askedAt <= aNow &&
                        aNow < turn.m_askedAt + kTurnLifetime;
  if (isUsable) {
    GiveBack(turn.m_server);
    server.m_turnAskedAt = turn.m_askedAt;
    server.m_turnHolder = aGrant.m_holder;
    server.m_hasTurn = true;
  }
  return isUsable;
}

void ColdStartLimit::EndTurn(const HostId& aHost, Server& aServer)
{
  aServer.m_hasTurn = false;
  m_endedTurns.push_back(EndColdTurn{
    aServer.m_turnHolder, ColdTurn{ aHost, aServer.m_turnAskedAt } });
}

void ColdStartLimit::GiveBack(const HostId& aServer)
{
  const auto server = m_servers.find(aServer);
  if (server != m_servers.end() && server->second.m_hasTurn) {
    EndTurn(aServer, server->second);
  }
}

std::vector<EndColdTurn> ColdStartLimit::TakeEndedTurns()
{
  return std::exchange(m_endedTurns, {});
}

void ColdStartLimit::OnEnded(Millis aNow, const ColdTurnEnded& aEnded)
{
  const auto server = m_servers.find(aEnded.m_turn.m_server);
  if (server == m_servers.end()) {
    return;
  }
  for (Grant& grant : server->second.m_granted) {
    const bool isSame = grant.m_asker == aEnded.m_asker &&
                        grant.m_incarnation == aEnded.m_incarnation &&
                        grant.m_askedAt == aEnded.m_turn.m_askedAt;
    if (isSame) {
      grant.m_endsAt = std::min(grant.m_endsAt, aNow);
    }
  }
}

void ColdStartLimit::RemoveIdle(Millis aNow)
{
  for (auto entry = m_servers.begin(); entry != m_servers.end();) {
    const Server& server = entry->second;
    const bool isIdle = server.m_sent.Count(aNow) == 0 &&
                        GrantedCount(aNow, server) == 0 &&
                        server.m_coldUntil <= aNow &&
                        aNow >= server.m_turnAskedAt + kTurnLifetime;
    if (isIdle) {
      m_coldServers.erase(entry->first);
    }
    entry = isIdle ? m_servers.erase(entry) : std::next(entry);
  }
}

} // namespace briarglade
