// Limits the rate at which this node sends requests to a server in cold start.
//
// Designed for this load pattern: a group opens whose leader has just started,
// and some or all nodes have requests queued for it. Within any second all
// nodes together may send no more requests than the server can handle,
// regardless of the number of nodes. A server is cold for a few seconds only,
// and there are more nodes than requests that it may be sent in that time.
//
// Each node has a quota of the limit (fleet_quota.h), in whole requests per
// window, and counts its requests against it exactly. In a large fleet the
// quota of most nodes is zero. A node that has requests waiting and no quota
// left asks a node with a quota for a turn, the right to send one request soon.
// The holder of the quota counts a turn that it grants as a request of its own,
// sent when the asker reports the turn's end, or else at the end of its
// lifetime. So the sum over all nodes never exceeds the limit, whether the
// messages arrive or not.
//
// Turns go to the node that has waited longest since its last request to the
// server, the holder included: each node that wants to use the server has an
// equal part of a quota that accumulates while it waits, and nodes that do not
// want it take nothing.
//
// A server that responds slowly, refuses or fails gets fewer requests at once:
// each such response halves the use of the quota that the request was sent by,
// and a good one restores it. The holder of the quota is told of the responses
// to requests that were sent by its turns, because in a large fleet no other
// node sees several responses during a cold start. This only ever leaves a part
// of the limit unused.
//
// Example:
//   if (limit.MaySend(now, backend)) {
//     limit.RecordSent(now, backend.m_server);
//   } else if (nothingElseHasRoom) {
//     limit.RecordWanted(now, backend.m_server);
//   }
//   for (const AskForColdTurn& ask : limit.NextRequests(now)) { Send(ask); }
//   for (const GrantColdTurn& grant : limit.NextGrants(now)) { Send(grant); }
//   for (const EndColdTurn& end : limit.TakeEndedTurns()) { Send(end); }

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/recent_count.h"
#include "briarglade/gateway/cached_rank.h"
#include "briarglade/gateway/cold_turn.h"

namespace briarglade {

struct Backend;
class FleetQuota;

// Counts the recent requests to each server, and passes on turns.
class ColdStartLimit
{
public:
  explicit ColdStartLimit(std::shared_ptr<const FleetQuota> aQuota);

  // Sets the limit of a cold server over all nodes, in requests per second: its
  // stated rate times aFactor, plus aSlack.
  void SetBounds(double aFactor, double aSlack);
  // Records a backend's stated rate and the end of its cold start. This node
  // grants turns only at servers that it knows to be cold.
  void RecordBackend(Millis aNow, const Backend& aBackend);

  // Returns whether the server is in cold start and states a rate for it.
  bool IsCold(Millis aNow, const Backend& aBackend) const;
  // Returns whether this node has a non-zero quota for the server while it is
  // cold, or may ask other nodes for turns.
  bool MayGetTurns(Millis aNow, const Backend& aBackend);
  // Returns whether this node may send a request to the server now; always true
  // if the server is not cold.
  bool MaySend(Millis aNow, const Backend& aBackend);
  // Records a request to a server, whether it is cold or not: the server may
  // enter cold start next.
  void RecordSent(Millis aNow, const HostId& aServer);
  // Records whether a server responded well to a request that this node sent at
  // aSentAt.
  void RecordResponse(Millis aSentAt, const HostId& aServer, bool aIsGood);
  // Returns the responses to be reported to the holders of turns since the last
  // call.
  std::vector<ReportTurnResponse> TakeTurnResponses();
  // Records the response to a request that was sent by a turn of this node's
  // quota.
  void OnTurnResponse(const ColdTurnResponse& aResponse);
  // Records that a request waits that would be sent to the server if the limit
  // allowed it.
  void RecordWanted(Millis aNow, const HostId& aServer);

  // Returns the requests for turns to be sent to other nodes now.
  std::vector<AskForColdTurn> NextRequests(Millis aNow);
  // Records another node's request for a turn. NextGrants() answers it.
  void OnRequest(Millis aNow, const ColdTurnRequested& aRequest);
  // Returns the turns to be granted to other nodes now. They are used up,
  // whether the messages arrive or not.
  std::vector<GrantColdTurn> NextGrants(Millis aNow);
  // Records a turn that another node has granted. Returns whether it can be
  // used: not if it has expired or has been received before.
  bool OnGrant(Millis aNow, const ColdTurnGranted& aGrant);
  // Gives back the turn at a server, if this node has one and no request for
  // it.
  void GiveBack(const HostId& aServer);
  // Returns the turns that this node has used or given back since the last
  // call.
  std::vector<EndColdTurn> TakeEndedTurns();
  // Records that another node will not use a turn any more.
  void OnEnded(Millis aNow, const ColdTurnEnded& aEnded);

  // Removes servers that were sent nothing recently and are not cold.
  void RemoveIdle(Millis aNow);

private:
  // The limit is on requests that arrive within one second. Two requests that
  // are sent further apart may still arrive within one second if the first had
  // to wait for its connection, so the count covers the additional spread.
  static constexpr Millis kLimitWindow = Millis(1'000);
  static constexpr Millis kMaxArrivalJitter = Millis(300);
  static constexpr Millis kCountWindow = kLimitWindow + kMaxArrivalJitter;
  // A turn is valid for this long after its asker requested it. The holder
  // cannot use its quota for as long, so a longer lifetime leaves the server
  // idle; a shorter one ends before the answer of a slow node arrives.
  static constexpr Millis kTurnLifetime = Millis(500);
  // How long a request for a turn waits at the holder of the quota, and the
  // interval of a node's requests for turns at one server. Each goes to another
  // holder, so that a node waits at one of them at a time.
  static constexpr Millis kRequestInterval = Millis(200);
  // For how long a server counts as wanted by this node after a request could
  // not be sent.
  static constexpr Millis kWantedTime = Millis(200);
  // Requests for turns per second, at all servers. Limits the messages if many
  // servers are cold at once, as after the return of a zone.
  static constexpr size_t kMaxRequestsPerSecond = 10;

  // A request for a turn that was not granted yet.
  struct PendingRequest
  {
    ColdTurnRequested m_request;
    Millis m_receivedAt;
    Millis m_lastSentAt;
  };

  // How often the use of a quota is halved at most, so that the server's
  // recovery is found out in time.
  static constexpr uint32_t kMaxHalvings = 2;
  // For how long the response to a request sent by a turn is waited for, so
  // that requests without one do not accumulate.
  static constexpr Millis kMaxResponseTime = Millis(30'000);

  // A turn that this node has used, and whose response is not known yet.
  struct UsedTurn
  {
    Millis m_sentAt;
    NodeId m_holder;
  };

  // A turn that this node has granted.
  struct Grant
  {
    NodeId m_asker;
    uint64_t m_incarnation = 0;
    Millis m_askedAt;
    // The asker does not use it from then on.
    Millis m_endsAt;
  };

  struct Server
  {
    // As known from its last backend.
    double m_coldRate = 0;
    Millis m_coldUntil;
    // Requests of this node within its quota, and turns that it has granted.
    // A turn counts as sent when it ends.
    RecentCount m_sent{ kCountWindow };
    std::vector<Grant> m_granted;
    CachedRank m_rank;
    Millis m_lastSentAt = Millis(-1'000'000);
    // The same, within this node's quota, and when it last granted a turn.
    Millis m_lastOwnAt = Millis(-1'000'000);
    Millis m_lastGrantAt = Millis(-1'000'000);
    // How often the use of the quota is halved, because of bad responses.
    uint32_t m_halvings = 0;
    Millis m_wantedAt = Millis(-1'000'000);
    // Requests for turns by this node, and the turn that it was granted last.
    Millis m_askedAt = Millis(-1'000'000);
    uint32_t m_askCount = 0;
    Millis m_turnAskedAt = Millis(-1'000'000);
    bool m_hasTurn = false;
    NodeId m_turnHolder;
    std::vector<UsedTurn> m_usedTurns;
    std::map<NodeId, PendingRequest> m_pending;
  };

  uint32_t Limit(double aColdRate) const;
  uint32_t LocalQuota(Millis aNow,
                      const HostId& aHost,
                      double aColdRate,
                      Server& aServer) const;
  uint32_t UnusedQuota(Millis aNow,
                       const HostId& aHost,
                       double aColdRate,
                       Server& aServer) const;
  static bool HasTurn(Millis aNow, const Server& aServer);
  static void ApplyResponse(Server& aServer, bool aIsGood);
  static size_t GrantedCount(Millis aNow, const Server& aServer);
  void EndTurn(const HostId& aHost, Server& aServer);
  static void RemoveExpiredRequests(Millis aNow, Server& aServer);
  void Ask(Millis aNow,
           const HostId& aHost,
           Server& aServer,
           std::vector<AskForColdTurn>& aRequests);

  std::shared_ptr<const FleetQuota> m_quota;
  double m_factor = 1;
  double m_slack = 0;
  RecentCount m_requests{ Millis(1'000) };
  std::unordered_map<HostId, Server> m_servers;
  // The servers that were cold when last looked at.
  std::set<HostId> m_coldServers;
  std::vector<EndColdTurn> m_endedTurns;
  std::vector<ReportTurnResponse> m_turnResponses;
};

} // namespace briarglade
