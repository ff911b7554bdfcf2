// Tracks the state of each backend that this node may send requests to (load
// from this node and from its peers, failure rate, responsiveness, cold start)
// and chooses a backend for a request.
//
// Designed for these load patterns:
// - Many nodes send requests to the same few backends at once, and each node
//   sees only its own requests. The nodes report their loads to each other a
//   few times per second, and a choice is based on the sum.
// - Prompt lengths differ widely. A group processes prompts between decode
//   steps, so pending prompt tokens delay every request of that group. The load
//   estimate therefore counts pending tokens as well as requests.
// - All requests of a lost group are retried at the same moment. The nodes then
//   have the same outdated peer loads and must not all choose the same backend,
//   so a random amount is added to each cost.
// - Hundreds of requests per second reach tens of nodes. Most of the requests
//   in flight then began after the last report, so the choice assumes that the
//   unreported ones have filled the backends evenly (stale_load_choice.h).
//
// Example:
//   table.SetBackends(now, backends);
//   std::optional<size_t> slot = table.Choose(now, requirements);
//   table.RecordStarted(now, *slot, promptTokens);

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/recent_count.h"
#include "briarglade/gateway/cold_start_limit.h"
#include "briarglade/gateway/gateway_event.h"
#include "briarglade/gateway/server_rate_limits.h"

namespace briarglade {

// Identifies a backend while the table has an entry for it. Serials are never
// reused.
using BackendSerial = StrongCount<struct BackendSerialTag>;

// What a request requires of a backend.
struct BackendRequirements
{
  ServiceId m_service;
  ModelId m_model;
  // Backends that the request was already sent to; they are not chosen again.
  // May be nullptr.
  const std::vector<BackendSerial>* m_tried = nullptr;
};

// One backend and its state as seen by this node. The index of a slot does not
// change while requests are in flight there.
struct BackendSlot
{
  Backend m_backend;
  BackendSerial m_serial;
  // Whether the backend may receive new requests.
  bool m_isListed = false;
  // Requests of this node that are in flight there.
  uint32_t m_inFlight = 0;
  // Those in-flight requests whose answer has started.
  uint32_t m_answering = 0;
  // Prompt tokens of the in-flight requests whose answer has not started.
  uint32_t m_pendingPromptTokens = 0;
  // In-flight requests and pending prompt tokens of the other nodes, from their
  // last reports.
  uint32_t m_peerInFlight = 0;
  uint32_t m_peerPendingPromptTokens = 0;
  // When bytes of any answer last arrived from the backend. Also reset when the
  // backend is added and when a request is sent to an idle backend.
  Millis m_lastBytesAt;
  // Until when this node suspects the backend, because no bytes arrived for too
  // long while answers were in progress. A suspected backend is not chosen.
  // Cleared when bytes arrive.
  Millis m_suspectUntil;
  // The same, as reported by other nodes. It is not reported onwards: two nodes
  // that repeated each other's suspicion would keep it alive forever.
  Millis m_peerSuspectUntil;
  // The backend is not chosen before this time.
  Millis m_avoidUntil;
  // Moving average of failed exchanges, from 0 to 1.
  double m_failureRate = 0;

  // Returns the requests in flight from all nodes.
  uint32_t Load() const { return m_inFlight + m_peerInFlight; }
  // Returns whether this node or a peer suspects the backend.
  bool IsSuspect(Millis aNow) const
  {
    return std::max(m_suspectUntil, m_peerSuspectUntil) > aNow;
  }
  // Returns how long the backend may send no bytes during an answer before it
  // is suspected.
  Millis SuspectAfter() const;
};

// The backends known to this node.
class BackendTable
{
public:
  // Backends in the node's own zone aZone are preferred when loads are similar.
  // aSeed seeds the random part of the choice; aQuota gives this node's quota
  // of cold-start limits.
  BackendTable(ZoneId aZone,
               uint32_t aSeed,
               std::shared_ptr<const FleetQuota> aQuota)
    : m_zone(std::move(aZone))
    , m_random(aSeed)
    , m_quota(aQuota)
    , m_coldStart(aQuota)
    , m_rateLimits(std::move(aQuota))
  {
  }

  // Replaces the list of backends that may receive new requests. The slots of
  // other backends are reused once no request is in flight there.
  void SetBackends(Millis aNow, const std::vector<Backend>& aBackends);
  // Replaces the load reported by one other node. Its list of suspects is not
  // used here: see RecordPeerSuspects().
  void SetPeerLoad(const PeerLoad& aLoad);
  // Returns the limit on requests to servers in cold start.
  ColdStartLimit& ColdStart() { return m_coldStart; }

  // Returns the rate limits that servers state.
  ServerRateLimits& RateLimits() { return m_rateLimits; }

  // Returns a slot that has room for the request, one of low cost by the loads
  // known and expected, or nothing if there is none. In that case it records
  // which cold servers would have room if this node had quota left.
  std::optional<size_t> Choose(Millis aNow,
                               const BackendRequirements& aRequirements);
  // Returns whether an untried backend, with or without room, can serve the
  // request and may receive requests from this node before aBefore.
  bool HasCandidate(Millis aNow,
                    const BackendRequirements& aRequirements,
                    Millis aBefore);

  // Records that a request with aPromptTokens tokens was sent.
  void RecordStarted(Millis aNow, size_t aSlot, uint32_t aPromptTokens);
  // Records that the answer to a request has started.
  void RecordAnswerStarted(Millis aNow, size_t aSlot, uint32_t aPromptTokens);
  // Records that the first bytes of the answer to a request sent at aSentAt
  // have arrived. At a cold server the time is compared with the usual time of
  // the service and model.
  void RecordResponseTime(Millis aNow, size_t aSlot, Millis aSentAt);
  // Records that a backend refused a request sent at aSentAt, or failed.
  void RecordBadResponse(Millis aSentAt, size_t aSlot);
  // Records that bytes of an answer arrived, which clears any suspicion.
  void RecordProgress(Millis aNow, size_t aSlot);
  // Records that an exchange ended. aAnswerBegan must say whether
  // RecordAnswerStarted() was called for it.
  void RecordEnded(size_t aSlot, bool aAnswerBegan, uint32_t aPromptTokens);
  // Records whether an exchange succeeded.
  void RecordResult(size_t aSlot, bool aIsGood);
  // Excludes a backend from the choice until aUntil.
  void Avoid(Millis aUntil, size_t aSlot);
  // Excludes a server, with every group that it leads, until aUntil. Used when
  // the server itself requested a pause.
  void SetBackoff(Millis aUntil, const HostId& aServer);
  // Returns the time until the first untried backend that can serve the request
  // ends its requested pause and may be sent a request within its rate limit;
  // zero if that holds for one of them now, or if there is none.
  Millis RemainingBackoff(Millis aNow,
                          const BackendRequirements& aRequirements);

  // Suspects each group that has answers in progress and has sent no bytes for
  // longer than SuspectAfter().
  void SuspectUnresponsive(Millis aNow);
  // Records that another node suspects these groups. Ignored for a group that
  // has requests of this node in flight and sent bytes here recently.
  void RecordPeerSuspects(Millis aNow, const std::vector<GroupId>& aGroups);
  // Returns whether this node or a peer suspects the backend.
  bool IsSuspect(Millis aNow, size_t aSlot) const;
  // Returns the groups that this node itself suspects, to be reported to the
  // other nodes.
  std::vector<GroupId> OwnSuspects(Millis aNow) const;
  // Returns whether requests in flight at the backend should be moved to
  // another one.
  bool ShouldFailOver(Millis aNow, size_t aSlot) const;

  const BackendSlot& Slot(size_t aSlot) const { return m_slots[aSlot]; }
  size_t SlotCount() const { return m_slots.size(); }
  // Returns this node's own load at each server, to be reported to the other
  // nodes.
  std::vector<ServerLoad> OwnLoad() const;

private:
  using Key = std::pair<HostId, GroupId>;
  using Target = std::pair<ServiceId, ModelId>;

  bool Serves(const BackendSlot& aSlot,
              const BackendRequirements& aRequirements) const;
  Millis BackoffUntil(const BackendSlot& aSlot) const;
  static bool WasTried(const BackendSlot& aSlot,
                       const BackendRequirements& aRequirements);
  bool HasRoomWhenWarm(Millis aNow, const BackendSlot& aSlot);
  double Cost(const BackendSlot& aSlot) const;
  double UnreportedRequests(Millis aNow,
                            const BackendRequirements& aRequirements) const;
  size_t SlotFor(const Backend& aBackend);
  template<typename Visitor>
  void VisitSlotsOf(const HostId& aServer, const Visitor& aVisitor);
  void AddPeerLoad(const ServerLoad& aLoad);
  void SubtractPeerLoad(const ServerLoad& aLoad);
  void RecomputePeerLoads();

  ZoneId m_zone;
  std::minstd_rand m_random;
  std::shared_ptr<const FleetQuota> m_quota;
  // Requests that this node recently sent to the backends of a model.
  std::map<Target, RecentCount> m_recentStarts;
  // Moving average of the time to the first bytes of an answer of the backends
  // of a model that are not cold, in milliseconds.
  std::map<Target, double> m_usualResponseTimes;
  ColdStartLimit m_coldStart;
  ServerRateLimits m_rateLimits;
  std::deque<BackendSlot> m_slots;
  uint64_t m_lastSerial = 0;
  std::map<Key, size_t> m_byKey;
  std::map<NodeId, std::vector<ServerLoad>> m_peerLoads;
  // Servers that requested a pause, and when it ends.
  std::map<HostId, Millis> m_backoffUntil;
};

} // namespace briarglade
