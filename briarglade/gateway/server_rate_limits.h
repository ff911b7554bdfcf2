// Rate limits that servers state in their answers.
//
// A server in need states how many requests per second it accepts from all
// nodes together; the limit holds for as long as its answers state it. What one
// node reads in an answer it tells the others. Each node counts its own
// requests exactly against its quota of the limit (fleet_quota.h), in whole
// requests per window, so that in a large fleet the quota of most nodes is
// zero. A node without a valid quota, such as one that has just started, is not
// counted by the others yet; all such nodes together send a small part of the
// limit more.
//
// Example:
//   if (limits.OnAnswer(now, sentAt, server, rate)) { NotifyPeers(server); }
//   if (limits.MaySend(now, server)) { limits.RecordSent(now, server.m_server);
//   }

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/recent_count.h"
#include "briarglade/gateway/cached_rank.h"
#include "briarglade/gateway/rate_limit_notice.h"

namespace briarglade {

class FleetQuota;

class ServerRateLimits
{
public:
  explicit ServerRateLimits(std::shared_ptr<const FleetQuota> aQuota);

  // Applies the limit in requests per second that an answer states, or that it
  // states none. aSentAt is when the answered request was sent: an answer may
  // be older than one that has arrived before it. Returns whether the other
  // nodes should be told.
  bool OnAnswer(Millis aNow,
                Millis aSentAt,
                const ServerRun& aServer,
                std::optional<double> aRate);
  // Applies another node's knowledge if it is newer. Returns whether the limit
  // has changed.
  bool OnNotice(Millis aNow, const RateLimitNotice& aNotice);
  // Returns what is known about some servers, in turn, for nodes that have
  // missed an earlier notice. aLast is the last server that the same receivers
  // were told about, and is set to the last one returned.
  std::vector<RateLimitNotice> NextNotices(Millis aNow, HostId& aLast) const;

  // Returns the server's limit in requests per second, if it has stated one.
  std::optional<double> RateOf(const ServerRun& aServer) const;
  // Returns whether this node may send the server a request now.
  bool MaySend(Millis aNow, const ServerRun& aServer);
  // Returns when this node may next send the server a request; nothing if it
  // has no quota of the limit.
  std::optional<Millis> NextSendAt(Millis aNow, const ServerRun& aServer);
  // Records a request to a server, whether it has a limit or not: it may state
  // one next.
  void RecordSent(Millis aNow, const HostId& aServer);
  // Removes servers that were sent nothing recently and have no limit.
  void RemoveIdle(Millis aNow);

private:
  // Requests are counted in windows of this length, or in longer ones if the
  // limit allows less than one request in it. The jitter is added because
  // requests that are sent further apart may arrive closer together.
  static constexpr Millis kWindow = Millis(2'000);
  static constexpr Millis kMaxArrivalJitter = Millis(300);

  struct Statement
  {
    BootId m_run;
    std::optional<double> m_rate;
    // When the server's last answer that this is known from arrived.
    Millis m_observedAt;
  };
  struct Server
  {
    std::optional<Statement> m_statement;
    RecentCount m_sent{ kWindow + kMaxArrivalJitter };
    Millis m_lastSentAt = Millis(-1'000'000);
    // When this node learnt of the limit.
    Millis m_limitedSince;
    CachedRank m_rank;
  };

  bool Apply(Millis aNow, const HostId& aHost, Statement aStatement);
  std::optional<Millis> NextByQuota(Millis aNow,
                                    const HostId& aHost,
                                    Server& aServer,
                                    double aRate);
  Millis NextByReserve(const HostId& aHost,
                       const Server& aServer,
                       double aRate) const;

  std::shared_ptr<const FleetQuota> m_quota;
  std::unordered_map<HostId, Server> m_servers;
};

} // namespace briarglade
