// Keeps the rate limits that servers state, by this node's quota of them.

#include "briarglade/gateway/server_rate_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "briarglade/base/rendezvous.h"
#include "briarglade/gateway/fleet_quota.h"

namespace briarglade {

namespace {

constexpr double kMillisPerSecond = 1'000;
// The longest time between two requests to a server, however low its limit is:
// only an answer shows that the limit has ended.
constexpr Millis kMaxInterval = Millis(30'000);
// The same for a node without a valid quota, whose turns are rarer.
constexpr Millis kMaxReserveInterval = Millis(3'600'000);
// The part of a limit that nodes without a valid quota use, all together.
constexpr double kReserveFraction = 0.25;
// The other nodes are told of a changed limit if it differs by more than this.
constexpr double kRateTolerance = 0.05;
// How long the end of a limit is remembered, so that older notices of the limit
// are recognized.
constexpr Millis kEndedLifetime = Millis(10'000);
// Number of servers in one call of NextNotices().
constexpr size_t kMaxNotices = 8;
// A limit that no answer has confirmed for this long is forgotten.
constexpr Millis kLimitLifetime = kMaxInterval * 2;

// Returns the time per request at a rate per second, aLongest at the most.
Millis IntervalOf(double aRate, Millis aLongest)
{
  const auto longest = static_cast<double>(aLongest.Count());
  const double interval = aRate > 0 ? kMillisPerSecond / aRate : longest;
  return Millis(static_cast<int64_t>(std::min(interval, longest)));
}

bool DiffersClearly(std::optional<double> aOne, std::optional<double> aOther)
{
  if (!aOne || !aOther) {
    return aOne.has_value() != aOther.has_value();
  }
  return std::abs(*aOne - *aOther) > kRateTolerance * std::max(*aOne, *aOther);
}

} // namespace

ServerRateLimits::ServerRateLimits(std::shared_ptr<const FleetQuota> aQuota)
  : m_quota(std::move(aQuota))
{
}

// Replaces what is known about a server. Returns whether its limit has clearly
// changed.
bool ServerRateLimits::Apply(Millis aNow,
                             const HostId& aHost,
                             Statement aStatement)
{
  Server& server = m_servers[aHost];
  const bool isSameRun =
    server.m_statement && server.m_statement->m_run == aStatement.m_run;
  const std::optional<double> before =
    isSameRun ? server.m_statement->m_rate : std::nullopt;
  if (!before && aStatement.m_rate) {
    server.m_limitedSince = aNow;
  }
  const bool isChanged = DiffersClearly(before, aStatement.m_rate);
  server.m_statement = std::move(aStatement);
  return isChanged;
}

bool ServerRateLimits::OnAnswer(Millis aNow,
                                Millis aSentAt,
                                const ServerRun& aServer,
                                std::optional<double> aRate)
{
  if (!aRate) {
    const auto found = m_servers.find(aServer.m_server);
    const bool isKnown = found != m_servers.end() &&
                         found->second.m_statement &&
                         found->second.m_statement->m_run == aServer.m_run;
    if (!isKnown || aSentAt <= found->second.m_statement->m_observedAt) {
      return false;
    }
  }
  return Apply(aNow, aServer.m_server, Statement{ aServer.m_run, aRate, aNow });
}

bool ServerRateLimits::OnNotice(Millis aNow, const RateLimitNotice& aNotice)
{
  const Millis observedAt = aNow - aNotice.m_age;
  const auto found = m_servers.find(aNotice.m_server.m_server);
  const bool isKnown = found != m_servers.end() && found->second.m_statement;
  if (isKnown && observedAt <= found->second.m_statement->m_observedAt) {
    return false;
  }
  return Apply(aNow,
               aNotice.m_server.m_server,
               Statement{ aNotice.m_server.m_run, aNotice.m_rate, observedAt });
}

std::vector<RateLimitNotice> ServerRateLimits::NextNotices(Millis aNow,
                                                           HostId& aLast) const
{
  std::vector<HostId> stated;
  for (const auto& [host, server] : m_servers) {
    if (server.m_statement) {
      stated.push_back(host);
    }
  }
  std::sort(stated.begin(), stated.end());
  const auto next = std::upper_bound(stated.begin(), stated.end(), aLast);
  std::rotate(stated.begin(), next, stated.end());
  stated.resize(std::min(stated.size(), kMaxNotices));
  std::vector<RateLimitNotice> notices;
  for (const HostId& host : stated) {
    const Statement& statement = *m_servers.at(host).m_statement;
    notices.push_back(RateLimitNotice{ ServerRun{ host, statement.m_run },
                                       statement.m_rate,
                                       aNow - statement.m_observedAt });
    aLast = host;
  }
  return notices;
}

std::optional<double> ServerRateLimits::RateOf(const ServerRun& aServer) const
{
  const auto found = m_servers.find(aServer.m_server);
  const bool isKnown = found != m_servers.end() && found->second.m_statement &&
                       found->second.m_statement->m_run == aServer.m_run;
  return isKnown ? found->second.m_statement->m_rate : std::nullopt;
}

bool ServerRateLimits::MaySend(Millis aNow, const ServerRun& aServer)
{
  const std::optional<Millis> next = NextSendAt(aNow, aServer);
  return next && *next <= aNow;
}

std::optional<Millis> ServerRateLimits::NextSendAt(Millis aNow,
                                                   const ServerRun& aServer)
{
  const std::optional<double> rate = RateOf(aServer);
  if (!rate) {
    return aNow;
  }
  Server& server = m_servers.at(aServer.m_server);
  if (m_quota->IsValid(aNow)) {
    return NextByQuota(aNow, aServer.m_server, server, *rate);
  }
  return std::max(aNow, NextByReserve(aServer.m_server, server, *rate));
}

// Returns when this node may send by its quota; nothing if that is zero.
std::optional<Millis> ServerRateLimits::NextByQuota(Millis aNow,
                                                    const HostId& aHost,
                                                    Server& aServer,
                                                    double aRate)
{
  const double seconds =
    static_cast<double>(kWindow.Count()) / kMillisPerSecond;
  const auto perWindow =
    static_cast<uint32_t>(std::min<double>(aRate * seconds, UINT32_MAX));
  const uint32_t quota =
    aServer.m_rank.LocalQuota(*m_quota, aHost, std::max(1U, perWindow));
  if (quota == 0) {
    return std::nullopt;
  }
  if (perWindow == 0) {
    const Millis interval = IntervalOf(aRate, kMaxInterval) + kMaxArrivalJitter;
    return std::max(aNow, aServer.m_lastSentAt + interval);
  }
  return aServer.m_sent.BelowAt(aNow, quota);
}

// Returns when a node without a valid quota may send: such nodes take turns
// that are spread by chance.
Millis ServerRateLimits::NextByReserve(const HostId& aHost,
                                       const Server& aServer,
                                       double aRate) const
{
  const auto nodes =
    static_cast<double>(std::max<size_t>(1, m_quota->LiveNodeCount()));
  const Millis interval =
    IntervalOf(aRate * kReserveFraction / nodes, kMaxReserveInterval);
  const uint64_t phase =
    RendezvousWeight(aHost.Value(), m_quota->Self().Value()) %
    static_cast<uint64_t>(std::max<int64_t>(1, interval.Count()));
  const Millis first =
    aServer.m_limitedSince + Millis(static_cast<int64_t>(phase));
  return std::max(first, aServer.m_lastSentAt + interval);
}

void ServerRateLimits::RecordSent(Millis aNow, const HostId& aServer)
{
  Server& server = m_servers[aServer];
  server.m_sent.Note(aNow);
  server.m_lastSentAt = aNow;
}

void ServerRateLimits::RemoveIdle(Millis aNow)
{
  for (auto entry = m_servers.begin(); entry != m_servers.end();) {
    std::optional<Statement>& statement = entry->second.m_statement;
    const Millis lifetime =
      statement && statement->m_rate ? kLimitLifetime : kEndedLifetime;
    if (statement && aNow - statement->m_observedAt >= lifetime) {
      statement.reset();
    }
    const bool isIdle = !statement && entry->second.m_sent.Count(aNow) == 0;
    entry = isIdle ? m_servers.erase(entry) : std::next(entry);
  }
}

} // namespace briarglade
