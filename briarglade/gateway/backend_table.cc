// Tracks the load and responsiveness of backends and chooses among them.

#include "briarglade/gateway/backend_table.h"

#include <algorithm>
#include <set>

#include "briarglade/base/erase_if.h"
#include "briarglade/gateway/stale_load_choice.h"

namespace briarglade {

namespace {

// A backend with answers in progress becomes suspect once it has sent nothing
// for its longest pass plus kSilenceMargin for network delay, and at least for
// kMinSilence, within which a lost packet is retransmitted. Its requests are
// failed over kFailoverMargin later.
constexpr Millis kMinSilence = Millis(250);
constexpr Millis kSilenceMargin = Millis(30);
constexpr Millis kFailoverMargin = Millis(100);
// How long a suspicion lasts unless bytes from the backend refute it.
constexpr Millis kSuspectDuration = Millis(2'500);
// Bytes received within this time refute another node's suspicion.
constexpr Millis kRefutationWindow = Millis(200);
// Weight of the latest exchange in the moving average of failures.
constexpr double kFailureWeight = 0.15;
// Cost of a failure rate of 1, in requests in flight.
constexpr double kFailureCost = 30;
// Requests that may wait in a backend's own queue, as a fraction of its slots.
// The margin is needed because other nodes' loads are known with a delay.
constexpr double kMaxQueuedFraction = 0.15;
// Number of pending prompt tokens that delay a group as much as one more
// request in flight.
constexpr double kPendingTokensPerRequest = 700;
// Costs as fractions of a backend's slots. Requests stay in the node's own zone
// unless loads there are higher by kOtherZoneCost. Random jitter of up to
// kCostJitter keeps nodes with the same outdated peer updates from all choosing
// the same backend.
constexpr double kOtherZoneCost = 0.15;
constexpr double kCostJitter = 0.1;
// Loads of other nodes are 150 to 600 ms old.
constexpr Millis kLoadReportAge = Millis(400);
// A response is slow if it takes longer than the usual time times this factor:
// the time also depends on the length of the prompt.
constexpr double kSlowResponseFactor = 3;
// A response within this time is never slow, however fast the usual one is.
constexpr Millis kMinSlowResponse = Millis(100);
// Weight of the latest response in the usual time.
constexpr double kResponseTimeWeight = 0.05;
// Window of the count from which this node's request rate is derived.
constexpr Millis kStartRateWindow = Millis(2'000);
// When a caller should retry if this node has no quota of the only servers'
// rate limits: another node may have one.
constexpr Millis kNoQuotaBackoff = Millis(1'000);

ServerRun RunOf(const Backend& aBackend)
{
  return ServerRun{ aBackend.m_server, aBackend.m_run };
}

} // namespace

Millis BackendSlot::SuspectAfter() const
{
  return std::max(kMinSilence, m_backend.m_maxPassTime + kSilenceMargin);
}

size_t BackendTable::SlotFor(const Backend& aBackend)
{
  const Key key(aBackend.m_server, aBackend.m_group);
  const auto known = m_byKey.find(key);
  if (known != m_byKey.end()) {
    return known->second;
  }
  const auto isFree = [](const BackendSlot& aSlot) {
    return !aSlot.m_isListed && aSlot.m_inFlight == 0;
  };
  const auto free = std::find_if(m_slots.begin(), m_slots.end(), isFree);
  const auto slot = static_cast<size_t>(free - m_slots.begin());
  if (free == m_slots.end()) {
    m_slots.emplace_back();
  } else {
    m_byKey.erase(Key(free->m_backend.m_server, free->m_backend.m_group));
    *free = BackendSlot();
  }
  m_slots[slot].m_serial = BackendSerial(++m_lastSerial);
  m_byKey[key] = slot;
  return slot;
}

void BackendTable::SetBackends(Millis aNow,
                               const std::vector<Backend>& aBackends)
{
  for (BackendSlot& slot : m_slots) {
    slot.m_isListed = false;
  }
  for (const Backend& backend : aBackends) {
    BackendSlot& slot = m_slots[SlotFor(backend)];
    const bool isNew = slot.m_backend.m_server != backend.m_server;
    slot.m_backend = backend;
    slot.m_isListed = true;
    if (isNew) {
      slot.m_lastBytesAt = aNow;
    }
  }
  RecomputePeerLoads();
  for (const Backend& backend : aBackends) {
    m_coldStart.RecordBackend(aNow, backend);
  }
  m_coldStart.RemoveIdle(aNow);
  m_rateLimits.RemoveIdle(aNow);
  EraseIf(m_backoffUntil,
          [&](const auto& aEntry) { return aEntry.second <= aNow; });
}

void BackendTable::SetPeerLoad(const PeerLoad& aLoad)
{
  std::vector<ServerLoad>& known = m_peerLoads[aLoad.m_node];
  for (const ServerLoad& load : known) {
    SubtractPeerLoad(load);
  }
  known = aLoad.m_loads;
  for (const ServerLoad& load : known) {
    AddPeerLoad(load);
  }
}

// Calls aVisitor with each slot of a server; it has one for each of its groups.
template<typename Visitor>
void BackendTable::VisitSlotsOf(const HostId& aServer, const Visitor& aVisitor)
{
  for (auto entry = m_byKey.lower_bound(Key(aServer, GroupId()));
       entry != m_byKey.end() && entry->first.first == aServer;
       ++entry) {
    aVisitor(m_slots[entry->second]);
  }
}

void BackendTable::AddPeerLoad(const ServerLoad& aLoad)
{
  VisitSlotsOf(aLoad.m_server, [&](BackendSlot& aSlot) {
    aSlot.m_peerInFlight += aLoad.m_inFlight;
    aSlot.m_peerPendingPromptTokens += aLoad.m_pendingPromptTokens;
  });
}

void BackendTable::SubtractPeerLoad(const ServerLoad& aLoad)
{
  VisitSlotsOf(aLoad.m_server, [&](BackendSlot& aSlot) {
    aSlot.m_peerInFlight -= std::min(aSlot.m_peerInFlight, aLoad.m_inFlight);
    aSlot.m_peerPendingPromptTokens -=
      std::min(aSlot.m_peerPendingPromptTokens, aLoad.m_pendingPromptTokens);
  });
}

// Recomputes the sums of the other nodes' loads.
void BackendTable::RecomputePeerLoads()
{
  for (BackendSlot& slot : m_slots) {
    slot.m_peerInFlight = 0;
    slot.m_peerPendingPromptTokens = 0;
  }
  for (const auto& [node, loads] : m_peerLoads) {
    for (const ServerLoad& load : loads) {
      AddPeerLoad(load);
    }
  }
}

bool BackendTable::Serves(const BackendSlot& aSlot,
                          const BackendRequirements& aRequirements) const
{
  return aSlot.m_isListed &&
         aSlot.m_backend.m_service == aRequirements.m_service &&
         aSlot.m_backend.m_model == aRequirements.m_model;
}

bool BackendTable::WasTried(const BackendSlot& aSlot,
                            const BackendRequirements& aRequirements)
{
  return aRequirements.m_tried != nullptr &&
         std::find(aRequirements.m_tried->begin(),
                   aRequirements.m_tried->end(),
                   aSlot.m_serial) != aRequirements.m_tried->end();
}

bool BackendTable::HasCandidate(Millis aNow,
                                const BackendRequirements& aRequirements,
                                Millis aBefore)
{
  return std::any_of(
    m_slots.begin(), m_slots.end(), [&](const BackendSlot& aSlot) {
      const Backend& backend = aSlot.m_backend;
      const bool isOutsideQuota = m_coldStart.IsCold(aNow, backend) &&
                                  backend.m_coldUntil >= aBefore &&
                                  !m_coldStart.MayGetTurns(aNow, backend);
      if (!Serves(aSlot, aRequirements) || WasTried(aSlot, aRequirements) ||
          isOutsideQuota || BackoffUntil(aSlot) >= aBefore) {
        return false;
      }
      const std::optional<Millis> next =
        m_rateLimits.NextSendAt(aNow, RunOf(backend));
      return next && (*next <= aNow || *next < aBefore);
    });
}

// Returns whether the backend has room, apart from the limit on cold servers.
bool BackendTable::HasRoomWhenWarm(Millis aNow, const BackendSlot& aSlot)
{
  const double limit = aSlot.m_backend.m_slots * (1 + kMaxQueuedFraction);
  return !aSlot.IsSuspect(aNow) && aSlot.m_avoidUntil <= aNow &&
         BackoffUntil(aSlot) <= aNow && aSlot.Load() < limit &&
         m_rateLimits.MaySend(aNow, RunOf(aSlot.m_backend));
}

double BackendTable::Cost(const BackendSlot& aSlot) const
{
  const bool isOtherZone = aSlot.m_backend.m_zone != m_zone;
  const double zoneCost = isOtherZone ? kOtherZoneCost : 0.0;
  const double pendingTokens =
    aSlot.m_pendingPromptTokens + aSlot.m_peerPendingPromptTokens;
  return aSlot.Load() + pendingTokens / kPendingTokensPerRequest +
         zoneCost * aSlot.m_backend.m_slots +
         aSlot.m_failureRate * kFailureCost;
}

std::optional<size_t> BackendTable::Choose(
  Millis aNow,
  const BackendRequirements& aRequirements)
{
  std::vector<size_t> candidates;
  std::vector<double> costs;
  std::vector<size_t> outsideQuota;
  std::uniform_real_distribution<double> jitter(0, kCostJitter);
  for (size_t i = 0; i < m_slots.size(); ++i) {
    BackendSlot& slot = m_slots[i];
    if (!Serves(slot, aRequirements) || WasTried(slot, aRequirements) ||
        !HasRoomWhenWarm(aNow, slot)) {
      continue;
    }
    if (!m_coldStart.MaySend(aNow, slot.m_backend)) {
      outsideQuota.push_back(i);
      continue;
    }
    candidates.push_back(i);
    costs.push_back(Cost(slot) + jitter(m_random) * slot.m_backend.m_slots);
  }
  if (candidates.empty()) {
    for (const size_t i : outsideQuota) {
      m_coldStart.RecordWanted(aNow, m_slots[i].m_backend.m_server);
    }
    return std::nullopt;
  }
  const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
  return candidates[ChooseByStaleLoad(
    costs, UnreportedRequests(aNow, aRequirements), draw)];
}

// Returns how many requests other nodes are expected to have sent to these
// backends since their last reports. Nodes prefer backends of their own zone,
// so that only the nodes of one zone count.
double BackendTable::UnreportedRequests(
  Millis aNow,
  const BackendRequirements& aRequirements) const
{
  const auto starts =
    m_recentStarts.find(Target(aRequirements.m_service, aRequirements.m_model));
  if (starts == m_recentStarts.end()) {
    return 0;
  }
  std::set<ZoneId> zones;
  for (const BackendSlot& slot : m_slots) {
    if (Serves(slot, aRequirements)) {
      zones.insert(slot.m_backend.m_zone);
    }
  }
  const auto others =
    static_cast<double>(std::max<size_t>(1, m_quota->LiveNodeCount()) - 1);
  const auto ownStarts = static_cast<double>(starts->second.Count(aNow));
  const double reportsPerWindow =
    static_cast<double>(kStartRateWindow.Count()) /
    static_cast<double>(kLoadReportAge.Count());
  return ownStarts / reportsPerWindow * others /
         static_cast<double>(std::max<size_t>(1, zones.size()));
}

void BackendTable::RecordStarted(Millis aNow,
                                 size_t aSlot,
                                 uint32_t aPromptTokens)
{
  BackendSlot& slot = m_slots[aSlot];
  ++slot.m_inFlight;
  slot.m_pendingPromptTokens += aPromptTokens;
  m_recentStarts
    .try_emplace(Target(slot.m_backend.m_service, slot.m_backend.m_model),
                 kStartRateWindow)
    .first->second.Note(aNow);
  m_coldStart.RecordSent(aNow, slot.m_backend.m_server);
  m_rateLimits.RecordSent(aNow, slot.m_backend.m_server);
  if (slot.m_inFlight == 1) {
    slot.m_lastBytesAt = aNow;
  }
}

void BackendTable::RecordAnswerStarted(Millis aNow,
                                       size_t aSlot,
                                       uint32_t aPromptTokens)
{
  BackendSlot& slot = m_slots[aSlot];
  ++slot.m_answering;
  slot.m_pendingPromptTokens -=
    std::min(slot.m_pendingPromptTokens, aPromptTokens);
  RecordProgress(aNow, aSlot);
}

void BackendTable::RecordResponseTime(Millis aNow, size_t aSlot, Millis aSentAt)
{
  const Backend& backend = m_slots[aSlot].m_backend;
  const auto elapsed = static_cast<double>((aNow - aSentAt).Count());
  const auto [usual, isFirst] = m_usualResponseTimes.try_emplace(
    Target(backend.m_service, backend.m_model), elapsed);
  const bool isSlow = elapsed > usual->second * kSlowResponseFactor &&
                      aNow - aSentAt > kMinSlowResponse;
  m_coldStart.RecordResponse(aSentAt, backend.m_server, !isSlow);
  if (!m_coldStart.IsCold(aNow, backend)) {
    usual->second += (elapsed - usual->second) * kResponseTimeWeight;
  } else if (isFirst) {
    m_usualResponseTimes.erase(usual);
  }
}

void BackendTable::RecordBadResponse(Millis aSentAt, size_t aSlot)
{
  m_coldStart.RecordResponse(aSentAt, m_slots[aSlot].m_backend.m_server, false);
}

void BackendTable::RecordProgress(Millis aNow, size_t aSlot)
{
  m_slots[aSlot].m_lastBytesAt = aNow;
  m_slots[aSlot].m_suspectUntil = Millis();
  m_slots[aSlot].m_peerSuspectUntil = Millis();
}

void BackendTable::RecordEnded(size_t aSlot,
                               bool aAnswerBegan,
                               uint32_t aPromptTokens)
{
  BackendSlot& slot = m_slots[aSlot];
  slot.m_inFlight -= std::min(slot.m_inFlight, 1U);
  if (aAnswerBegan) {
    slot.m_answering -= std::min(slot.m_answering, 1U);
  } else {
    slot.m_pendingPromptTokens -=
      std::min(slot.m_pendingPromptTokens, aPromptTokens);
  }
}

void BackendTable::RecordResult(size_t aSlot, bool aIsGood)
{
  double& failureRate = m_slots[aSlot].m_failureRate;
  failureRate += ((aIsGood ? 0.0 : 1.0) - failureRate) * kFailureWeight;
}

void BackendTable::Avoid(Millis aUntil, size_t aSlot)
{
  m_slots[aSlot].m_avoidUntil = std::max(m_slots[aSlot].m_avoidUntil, aUntil);
}

void BackendTable::SetBackoff(Millis aUntil, const HostId& aServer)
{
  Millis& until = m_backoffUntil[aServer];
  until = std::max(until, aUntil);
}

Millis BackendTable::BackoffUntil(const BackendSlot& aSlot) const
{
  const auto found = m_backoffUntil.find(aSlot.m_backend.m_server);
  return found == m_backoffUntil.end() ? Millis() : found->second;
}

Millis BackendTable::RemainingBackoff(Millis aNow,
                                      const BackendRequirements& aRequirements)
{
  std::optional<Millis> earliest;
  for (const BackendSlot& slot : m_slots) {
    if (Serves(slot, aRequirements) && !WasTried(slot, aRequirements)) {
      const std::optional<Millis> next =
        m_rateLimits.NextSendAt(aNow, RunOf(slot.m_backend));
      const Millis until =
        std::max(BackoffUntil(slot), next.value_or(aNow + kNoQuotaBackoff));
      earliest = std::min(earliest.value_or(until), until);
    }
  }
  return std::max(Millis(), earliest.value_or(aNow) - aNow);
}

void BackendTable::SuspectUnresponsive(Millis aNow)
{
  for (BackendSlot& slot : m_slots) {
    const bool isUnresponsive =
      !slot.m_backend.m_group.IsEmpty() && slot.m_answering > 0 &&
      aNow - slot.m_lastBytesAt >= slot.SuspectAfter();
    if (isUnresponsive) {
      slot.m_suspectUntil = aNow + kSuspectDuration;
    }
  }
}

void BackendTable::RecordPeerSuspects(Millis aNow,
                                      const std::vector<GroupId>& aGroups)
{
  for (BackendSlot& slot : m_slots) {
    const bool isNamed =
      !slot.m_backend.m_group.IsEmpty() &&
      std::find(aGroups.begin(), aGroups.end(), slot.m_backend.m_group) !=
        aGroups.end();
    const bool isRefuted =
      slot.m_inFlight > 0 && aNow - slot.m_lastBytesAt < kRefutationWindow;
    if (isNamed && !isRefuted) {
      slot.m_peerSuspectUntil =
        std::max(slot.m_peerSuspectUntil, aNow + slot.SuspectAfter());
    }
  }
}

bool BackendTable::IsSuspect(Millis aNow, size_t aSlot) const
{
  return m_slots[aSlot].IsSuspect(aNow);
}

std::vector<GroupId> BackendTable::OwnSuspects(Millis aNow) const
{
  std::vector<GroupId> suspects;
  for (size_t slot = 0; slot < m_slots.size(); ++slot) {
    const GroupId& group = m_slots[slot].m_backend.m_group;
    if (!group.IsEmpty() && m_slots[slot].m_suspectUntil > aNow) {
      suspects.push_back(group);
    }
  }
  return suspects;
}

bool BackendTable::ShouldFailOver(Millis aNow, size_t aSlot) const
{
  const BackendSlot& slot = m_slots[aSlot];
  return slot.m_inFlight > 0 && IsSuspect(aNow, aSlot) &&
         aNow - slot.m_lastBytesAt >= slot.SuspectAfter() + kFailoverMargin;
}

std::vector<ServerLoad> BackendTable::OwnLoad() const
{
  std::vector<ServerLoad> loads;
  for (const BackendSlot& slot : m_slots) {
    if (slot.m_inFlight > 0) {
      loads.push_back(ServerLoad{
        slot.m_backend.m_server, slot.m_inFlight, slot.m_pendingPromptTokens });
    }
  }
  return loads;
}

} // namespace briarglade
