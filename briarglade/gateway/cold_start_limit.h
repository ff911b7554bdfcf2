// How many requests this node may send to a server in cold start.
//
// The load pattern it answers: a group opens whose leader has just started, and
// every node has requests that wait for it. Together the nodes may send no more
// within any second than the server bears, however many nodes there are: each
// has its part of the whole number (fleet_share.h), counted exactly, which is
// none for most nodes of a large fleet.
//
// Example:
//   if (limit.MaySend(now, backend)) {
//     limit.NoteSent(now, backend.m_server);
//   }

#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/recent_count.h"
#include "briarglade/base/roster_place.h"

namespace briarglade {

struct Backend;
class FleetShare;

class ColdStartLimit
{
public:
  explicit ColdStartLimit(std::shared_ptr<const FleetShare> aShare);

  // A cold server bears in a second its stated rate, times the factor, and so
  // many requests on top.
  void SetBounds(double aFactor, double aSlack);

  bool IsCold(Millis aNow, const Backend& aBackend) const;
  // Tells whether this node may ever send to the server while it is cold.
  bool HasPart(Millis aNow, const Backend& aBackend);
  bool MaySend(Millis aNow, const Backend& aBackend);
  // Notes a request to a server, cold or not: the server may turn cold next.
  void NoteSent(Millis aNow, const HostId& aServer);
  // Drops what is known of servers that were sent nothing lately.
  void Forget(Millis aNow);

private:
  // The limit is one of requests within a second. Two requests that leave
  // further apart may still arrive within one, where the first one had to wait
  // for its connection.
  static constexpr Millis kLimitWindow = Millis(1'000);
  static constexpr Millis kArrivalSpread = Millis(300);

  struct Server
  {
    RecentCount m_sent{ kLimitWindow + kArrivalSpread };
    RosterPlace m_place;
    // The roster that the place is of; zero: none yet.
    uint64_t m_rosterNumber = 0;
  };

  uint32_t PartOf(Millis aNow, const Backend& aBackend, Server& aServer) const;

  std::shared_ptr<const FleetShare> m_share;
  double m_factor = 1;
  double m_slack = 0;
  std::unordered_map<HostId, Server> m_servers;
};

} // namespace briarglade
