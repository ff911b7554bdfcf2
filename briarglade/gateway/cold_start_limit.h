// Limits the rate at which this node sends requests to a server in cold start.
//
// Designed for this load pattern: a group opens whose leader has just started,
// and every node has requests queued for it. Within any second all nodes
// together may send no more requests than the server can handle, regardless of
// the number of nodes. Each node has a quota of the limit (fleet_quota.h) and
// counts its requests against it exactly. In a large fleet the quota of most
// nodes is zero.
//
// Example:
//   if (limit.MaySend(now, backend)) {
//     limit.RecordSent(now, backend.m_server);
//   }

#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/recent_count.h"
#include "briarglade/gateway/cached_rank.h"

namespace briarglade {

struct Backend;
class FleetQuota;

// Counts the recent requests to each server.
class ColdStartLimit
{
public:
  explicit ColdStartLimit(std::shared_ptr<const FleetQuota> aQuota);

  // Sets the limit of a cold server over all nodes, in requests per second: its
  // stated rate times aFactor, plus aSlack.
  void SetBounds(double aFactor, double aSlack);

  // Returns whether the server is in cold start and states a rate for it.
  bool IsCold(Millis aNow, const Backend& aBackend) const;
  // Returns whether this node has a non-zero quota for the server while it is
  // cold.
  bool HasQuota(Millis aNow, const Backend& aBackend);
  // Returns whether this node may send a request to the server now; always true
  // if the server is not cold.
  bool MaySend(Millis aNow, const Backend& aBackend);
  // Records a request to a server, whether it is cold or not: the server may
  // enter cold start next.
  void RecordSent(Millis aNow, const HostId& aServer);
  // Removes servers that were sent nothing recently.
  void RemoveIdle(Millis aNow);

private:
  // The limit is on requests that arrive within one second. Two requests that
  // are sent further apart may still arrive within one second if the first had
  // to wait for its connection, so the count covers the additional spread.
  static constexpr Millis kLimitWindow = Millis(1'000);
  static constexpr Millis kMaxArrivalJitter = Millis(300);

  struct Server
  {
    RecentCount m_sent{ kLimitWindow + kMaxArrivalJitter };
    CachedRank m_rank;
  };

  uint32_t LocalQuota(Millis aNow,
                      const Backend& aBackend,
                      Server& aServer) const;

  std::shared_ptr<const FleetQuota> m_quota;
  double m_factor = 1;
  double m_slack = 0;
  std::unordered_map<HostId, Server> m_servers;
};

} // namespace briarglade
