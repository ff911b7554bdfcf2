// Watching, telling and believing.

#include "briarglade/placement/presence.h"

#include <algorithm>
#include <utility>

#include "briarglade/base/rendezvous.h"

namespace briarglade {

namespace {

constexpr Millis kProbePeriod = Millis(500);
// Probes that one node sends a second at most; more hosts are probed less
// often.
constexpr int64_t kProbesPerSecond = 12;
constexpr Millis kMaxProbePeriod = Millis(2'000);
// A probe without an answer for this long counts as failed.
constexpr Millis kProbeTimeout = Millis(1'500);
// Probes that fail in a row before a host counts as gone.
constexpr uint32_t kMaxMisses = 2;
constexpr Millis kMinHeartbeat = Millis(500);
constexpr Millis kMaxHeartbeat = Millis(1'000);
constexpr int64_t kHeartbeatsPerSecond = 20;
// Ranks that may take over watching.
constexpr uint32_t kWatcherRanks = 4;
constexpr Millis kAskPeriod = Millis(500);
// A longer time between two ticks means that the process was paused.
constexpr Millis kPauseLimit = Millis(1'000);
// After a pause, news may have waited in buffers; none is taken for so long.
constexpr Millis kResumeSettleTime = Millis(500);

Millis ProbePeriod(const PresenceState& aState)
{
  const Millis needed(int64_t{ aState.m_watching } * 1'000 / kProbesPerSecond);
  return std::clamp(needed, kProbePeriod, kMaxProbePeriod);
}

Millis HeartbeatPeriod(const PresenceState& aState)
{
  const auto peers =
    std::count_if(aState.m_feeds.begin(),
                  aState.m_feeds.end(),
                  [](const auto& aFeed) { return aFeed.second.m_isNeeded; });
  const Millis needed(peers * 1'000 / kHeartbeatsPerSecond);
  return std::clamp(needed, kMinHeartbeat, kMaxHeartbeat);
}

bool IsLive(const PresenceState& aState,
            Millis aNow,
            const Sighting& aSighting,
            Millis aLife)
{
  if (aSighting.m_watcher == aState.m_self) {
    return aSighting.m_silent ||
           aNow - aSighting.m_report.m_receivedAt < kReportLife;
  }
  const auto view = aState.m_watchers.find(aSighting.m_watcher);
  return view != aState.m_watchers.end() && view->second.m_inSync &&
         aNow - view->second.m_heardAt < aLife;
}

// Returns what the best-ranked live watcher says, or nullptr.
const Sighting* BestSighting(const PresenceState& aState,
                             Millis aNow,
                             const HostPresence& aHost)
{
  const Sighting* best = nullptr;
  for (const Sighting& sighting : aHost.m_sightings) {
    const bool isBetter = best == nullptr || sighting.m_rank < best->m_rank;
    if (isBetter && IsLive(aState, aNow, sighting, kNewsLife)) {
      best = &sighting;
    }
  }
  return best;
}

Sighting& SightingBy(HostPresence& aHost,
                     const NodeId& aWatcher,
                     const std::vector<NodeId>& aRoster)
{
  for (Sighting& sighting : aHost.m_sightings) {
    if (sighting.m_watcher == aWatcher) {
      return sighting;
    }
  }
  Sighting sighting;
  sighting.m_watcher = aWatcher;
  sighting.m_rank = RankOf(aHost.m_watched.m_unit, aWatcher, aRoster);
  aHost.m_sightings.push_back(std::move(sighting));
  return aHost.m_sightings.back();
}

void RemoveSighting(HostPresence& aHost, const NodeId& aWatcher)
{
  auto& sightings = aHost.m_sightings;
  sightings.erase(std::remove_if(sightings.begin(),
                                 sightings.end(),
                                 [&](const Sighting& aSighting) {
                                   return aSighting.m_watcher == aWatcher;
                                 }),
                  sightings.end());
}

const Sighting* OwnSighting(const PresenceState& aState,
                            const HostPresence& aHost)
{
  for (const Sighting& sighting : aHost.m_sightings) {
    if (sighting.m_watcher == aState.m_self) {
      return &sighting;
    }
  }
  return nullptr;
}

void MarkChanged(PresenceState& aState,
                 const HostId& aHost,
                 const HostPresence& aPresence)
{
  for (const NodeId& node : aPresence.m_receivers) {
    if (node != aState.m_self) {
      aState.m_feeds[node].m_changed.insert(aHost);
    }
  }
}

bool LoadMoved(uint32_t aBefore, uint32_t aAfter)
{
  const uint32_t gap = aBefore > aAfter ? aBefore - aAfter : aAfter - aBefore;
  return gap >= std::max<uint32_t>(2, aBefore / 8);
}

bool StepMoved(Millis aBefore, Millis aAfter)
{
  const int64_t gap = std::abs(aBefore.Count() - aAfter.Count());
  return gap * 4 > aBefore.Count();
}

// Tells whether others need to know.
bool IsNews(const Sighting& aBefore, const ServerReport& aAfter)
{
  const ServerReport& before = aBefore.m_report;
  return aBefore.m_silent || before.m_boot != aAfter.m_boot ||
         before.m_group != aAfter.m_group ||
         before.m_generation != aAfter.m_generation ||
         before.m_model != aAfter.m_model || before.m_phase != aAfter.m_phase ||
         LoadMoved(before.m_load, aAfter.m_load) ||
         StepMoved(before.m_stepTime, aAfter.m_stepTime);
}

// Starts all feeds again, which voids what was told before.
void RestartFeeds(PresenceState& aState)
{
  for (auto& entry : aState.m_feeds) {
    PeerFeed& feed = entry.second;
    feed.m_owesRestart = feed.m_owesRestart || feed.m_sequence > 0;
    feed.m_sequence = 0;
    feed.m_sentAt = Millis(-1'000'000);
  }
  aState.m_feedsChanged = true;
}

// Returns when a better-ranked watcher last spoke for the host.
Millis CoveredAt(const PresenceState& aState, const HostPresence& aHost)
{
  Millis latest = aHost.m_coveredAt;
  for (const Sighting& sighting : aHost.m_sightings) {
    const auto view = aState.m_watchers.find(sighting.m_watcher);
    if (sighting.m_rank < aHost.m_rank && view != aState.m_watchers.end() &&
        view->second.m_inSync) {
      latest = std::max(latest, view->second.m_heardAt);
    }
  }
  return latest;
}

// How long a host may go without a better-ranked watcher.
Millis TakeoverTime(uint32_t aRank)
{
  return aRank == 0 ? Millis()
                    : kTakeoverTime + kTakeoverStep * int64_t{ aRank - 1 };
}

// Decides whether this node probes the host. Returns true when it has stopped.
bool UpdateWatching(PresenceState& aState, Millis aNow, HostPresence& aHost)
{
  aHost.m_coveredAt = CoveredAt(aState, aHost);
  const bool shallWatch =
    aHost.m_rank < kWatcherRanks &&
    aNow - aHost.m_coveredAt >= TakeoverTime(aHost.m_rank);
  const bool hasStopped = aHost.m_isWatching && !shallWatch;
  if (shallWatch && !aHost.m_isWatching) {
    aState.m_feedsChanged = true;
    aHost.m_isProbing = false;
    aHost.m_nextProbe = aNow;
    aHost.m_misses = 0;
  }
  if (hasStopped) {
    RemoveSighting(aHost, aState.m_self);
  }
  aHost.m_isWatching = shallWatch;
  return hasStopped;
}

void ProbeIfDue(PresenceState& aState,
                Millis aNow,
                const HostId& aId,
                HostPresence& aHost,
                PlacementEffects& aEffects)
{
  if (aHost.m_isProbing && aNow - aHost.m_probeSentAt >= kProbeTimeout) {
    OnProbeFailed(aState, aNow, aId);
  }
  if (aHost.m_isProbing || aNow < aHost.m_nextProbe) {
    return;
  }
  aHost.m_isProbing = true;
  aHost.m_probeSentAt = aNow;
  aHost.m_nextProbe = aNow + ProbePeriod(aState);
  aEffects.emplace_back(ProbeServer{ aId, aHost.m_watched.m_endpoint });
}

void AddToNews(const PresenceState& aState,
               Millis aNow,
               const HostId& aHost,
               PresenceNews& aNews)
{
  const auto found = aState.m_hosts.find(aHost);
  if (found == aState.m_hosts.end()) {
    return;
  }
  const Sighting* own = OwnSighting(aState, found->second);
  if (own == nullptr) {
    return;
  }
  if (own->m_silent) {
    aNews.m_silent.push_back(aHost);
    return;
  }
  aNews.m_reports.push_back(own->m_report);
  aNews.m_reports.back().m_receivedAt = aNow - own->m_report.m_receivedAt;
}

bool Learns(const HostPresence& aHost, const NodeId& aNode)
{
  return std::find(aHost.m_receivers.begin(), aHost.m_receivers.end(), aNode) !=
         aHost.m_receivers.end();
}

void Tell(PresenceState& aState,
          Millis aNow,
          const NodeId& aNode,
          PeerFeed& aFeed,
          PlacementEffects& aEffects)
{
  PresenceNews news;
  news.m_watcher = aState.m_self;
  news.m_sequence = ++aFeed.m_sequence;
  if (news.m_sequence == 1) {
    for (const auto& [id, host] : aState.m_hosts) {
      if (host.m_isWatching && Learns(host, aNode)) {
        AddToNews(aState, aNow, id, news);
      }
    }
  } else {
    for (const HostId& host : aFeed.m_changed) {
      AddToNews(aState, aNow, host, news);
    }
  }
  aFeed.m_changed.clear();
  aFeed.m_sentAt = aNow;
  aEffects.emplace_back(SendNews{ aNode, std::move(news) });
}

void TellAll(PresenceState& aState, Millis aNow, PlacementEffects& aEffects)
{
  const Millis period = HeartbeatPeriod(aState);
  for (auto& [node, feed] : aState.m_feeds) {
    const bool isDue =
      !feed.m_changed.empty() || aNow - feed.m_sentAt >= period;
    if (feed.m_owesRestart || (feed.m_isNeeded && isDue)) {
      feed.m_owesRestart = false;
      Tell(aState, aNow, node, feed, aEffects);
    }
  }
}

// Works out which nodes learn of the hosts that this node watches.
void UpdateNeeded(PresenceState& aState)
{
  for (auto& entry : aState.m_feeds) {
    entry.second.m_isNeeded = false;
  }
  for (const auto& entry : aState.m_hosts) {
    if (!entry.second.m_isWatching) {
      continue;
    }
    for (const NodeId& node : entry.second.m_receivers) {
      if (node != aState.m_self) {
        aState.m_feeds[node].m_isNeeded = true;
      }
    }
  }
  aState.m_feedsChanged = false;
}

void AskAgain(PresenceState& aState,
              Millis aNow,
              const NodeId& aWatcher,
              WatcherView& aView,
              PlacementEffects& aEffects)
{
  aView.m_inSync = false;
  if (aNow - aView.m_askedAt < kAskPeriod) {
    return;
  }
  aView.m_askedAt = aNow;
  PresenceNews request;
  request.m_watcher = aState.m_self;
  aEffects.emplace_back(SendNews{ aWatcher, std::move(request) });
}

void ForgetNewsOf(PresenceState& aState, const NodeId& aWatcher)
{
  for (auto& entry : aState.m_hosts) {
    RemoveSighting(entry.second, aWatcher);
  }
}

// After a pause nothing is known: neither what this node saw nor what others
// told it.
void ForgetAll(PresenceState& aState, Millis aNow)
{
  for (auto& entry : aState.m_hosts) {
    entry.second.m_sightings.clear();
    entry.second.m_isProbing = false;
    entry.second.m_misses = 0;
  }
  for (auto& entry : aState.m_watchers) {
    entry.second.m_inSync = false;
  }
  RestartFeeds(aState);
  aState.m_deafUntil = aNow + kResumeSettleTime;
}

std::vector<NodeId> FirstNodes(const std::vector<NodeId>& aRanked,
                               size_t aCount)
{
  const size_t count = std::min(aCount, aRanked.size());
  return { aRanked.begin(), aRanked.begin() + static_cast<int64_t>(count) };
}

uint32_t PositionIn(const std::vector<NodeId>& aRanked, const NodeId& aNode)
{
  const auto found = std::find(aRanked.begin(), aRanked.end(), aNode);
  return static_cast<uint32_t>(found - aRanked.begin());
}

// The feeds go to every node that learns of a host this node may watch.
void KeepFeeds(PresenceState& aState)
{
  std::map<NodeId, PeerFeed> kept;
  for (const auto& entry : aState.m_hosts) {
    for (const NodeId& node : entry.second.m_receivers) {
      if (node != aState.m_self && kept.count(node) == 0) {
        kept[node] = std::move(aState.m_feeds[node]);
      }
    }
  }
  aState.m_feeds = std::move(kept);
}

} // namespace

uint32_t RankOf(const std::string& aKey,
                const NodeId& aNode,
                const std::vector<NodeId>& aRoster)
{
  const uint64_t own = RendezvousWeight(aKey, aNode.Value());
  uint32_t rank = 0;
  for (const NodeId& node : aRoster) {
    const uint64_t weight = RendezvousWeight(aKey, node.Value());
    if (weight > own || (weight == own && node < aNode)) {
      ++rank;
    }
  }
  return rank;
}

bool IsInSubset(const std::string& aUnit,
                const NodeId& aNode,
                const std::vector<NodeId>& aRoster)
{
  return aRoster.size() <= kSubsetSize ||
         RankOf(aUnit, aNode, aRoster) < kSubsetSize;
}

void SetWatchUnits(PresenceState& aState,
                   Millis aNow,
                   const std::map<HostId, WatchedHost>& aHosts,
                   const std::vector<NodeId>& aRoster)
{
  aState.m_roster = aRoster;
  std::map<std::string, std::vector<NodeId>> rankings;
  const auto ranked =
    [&](const std::string& aKey) -> const std::vector<NodeId>& {
    auto found = rankings.find(aKey);
    if (found == rankings.end()) {
      found = rankings.emplace(aKey, RankNodes(aKey, aRoster)).first;
    }
    return found->second;
  };
  std::map<HostId, HostPresence> hosts;
  for (const auto& [id, watched] : aHosts) {
    const std::vector<NodeId>& unit = ranked(watched.m_unit);
    const uint32_t rank = PositionIn(unit, aState.m_self);
    const uint32_t planner =
      PositionIn(ranked(watched.m_domain.Value()), aState.m_self);
    if (rank >= kSubsetSize && planner >= kPlannerCandidates) {
      continue;
    }
    const auto known = aState.m_hosts.find(id);
    HostPresence host;
    if (known != aState.m_hosts.end()) {
      host = std::move(known->second);
    } else {
      host.m_coveredAt = aNow;
    }
    host.m_watched = watched;
    host.m_rank = rank;
    host.m_receivers.clear();
    if (rank < kWatcherRanks) {
      host.m_receivers = FirstNodes(unit, kSubsetSize);
      for (const NodeId& node :
           FirstNodes(ranked(watched.m_domain.Value()), kPlannerCandidates)) {
        if (!Learns(host, node)) {
          host.m_receivers.push_back(node);
        }
      }
    }
    for (Sighting& sighting : host.m_sightings) {
      sighting.m_rank = PositionIn(unit, sighting.m_watcher);
    }
    hosts.emplace(id, std::move(host));
  }
  aState.m_hosts = std::move(hosts);
  KeepFeeds(aState);
  RestartFeeds(aState);
}

bool NoticePause(PresenceState& aState, Millis aNow)
{
  const bool wasPaused =
    aState.m_hasTicked && aNow - aState.m_tickedAt > kPauseLimit;
  if (wasPaused) {
    ForgetAll(aState, aNow);
  }
  aState.m_hasTicked = true;
  aState.m_tickedAt = aNow;
  return wasPaused;
}

void TickPresence(PresenceState& aState,
                  Millis aNow,
                  PlacementEffects& aEffects)
{
  NoticePause(aState, aNow);
  bool hasStopped = false;
  uint32_t watching = 0;
  for (auto& [id, host] : aState.m_hosts) {
    hasStopped = UpdateWatching(aState, aNow, host) || hasStopped;
    if (host.m_isWatching) {
      ++watching;
      ProbeIfDue(aState, aNow, id, host, aEffects);
    }
  }
  aState.m_watching = watching;
  if (hasStopped) {
    RestartFeeds(aState);
  }
  if (aState.m_feedsChanged) {
    UpdateNeeded(aState);
  }
  TellAll(aState, aNow, aEffects);
}

void OnProbeReport(PresenceState& aState,
                   Millis aNow,
                   const ServerReport& aReport)
{
  const auto found = aState.m_hosts.find(aReport.m_host);
  if (found == aState.m_hosts.end() || !found->second.m_isWatching) {
    return;
  }
  HostPresence& host = found->second;
  host.m_isProbing = false;
  host.m_misses = 0;
  const bool isFirst = OwnSighting(aState, host) == nullptr;
  Sighting& own = SightingBy(host, aState.m_self, aState.m_roster);
  const bool isNews = isFirst || IsNews(own, aReport);
  if (isNews) {
    MarkChanged(aState, aReport.m_host, host);
  }
  const uint32_t toldLoad = own.m_report.m_load;
  const Millis toldLoadAge = own.m_report.m_loadAge;
  own.m_silent = false;
  own.m_report = aReport;
  own.m_report.m_receivedAt = aNow;
  if (!isNews) {
    // Small moves of the load add up until they are news.
    own.m_report.m_load = toldLoad;
    own.m_report.m_loadAge = toldLoadAge;
  }
}

void OnProbeFailed(PresenceState& aState, Millis aNow, const HostId& aHost)
{
  const auto found = aState.m_hosts.find(aHost);
  if (found == aState.m_hosts.end() || !found->second.m_isWatching) {
    return;
  }
  HostPresence& host = found->second;
  host.m_isProbing = false;
  if (++host.m_misses < kMaxMisses) {
    host.m_nextProbe = aNow;
    return;
  }
  const bool isFirst = OwnSighting(aState, host) == nullptr;
  Sighting& own = SightingBy(host, aState.m_self, aState.m_roster);
  if (isFirst || !own.m_silent) {
    own.m_silent = true;
    MarkChanged(aState, aHost, host);
  }
}

void OnPresenceNews(PresenceState& aState,
                    Millis aNow,
                    const PresenceNews& aNews,
                    PlacementEffects& aEffects)
{
  if (aNews.m_sequence == 0) {
    const auto feed = aState.m_feeds.find(aNews.m_watcher);
    if (feed != aState.m_feeds.end()) {
      feed->second.m_sequence = 0;
      feed->second.m_owesRestart = true;
    }
    return;
  }
  WatcherView& view = aState.m_watchers[aNews.m_watcher];
  const bool isStart = aNews.m_sequence == 1;
  const bool isNext = view.m_inSync && aNow - view.m_heardAt < kNewsLife &&
                      aNews.m_sequence == view.m_sequence + 1;
  if (aNow < aState.m_deafUntil || (!isStart && !isNext)) {
    AskAgain(aState, aNow, aNews.m_watcher, view, aEffects);
    return;
  }
  if (isStart) {
    ForgetNewsOf(aState, aNews.m_watcher);
  }
  view.m_sequence = aNews.m_sequence;
  view.m_inSync = true;
  view.m_heardAt = aNow;
  for (const ServerReport& report : aNews.m_reports) {
    const auto host = aState.m_hosts.find(report.m_host);
    if (host != aState.m_hosts.end()) {
      Sighting& sighting =
        SightingBy(host->second, aNews.m_watcher, aState.m_roster);
      sighting.m_silent = false;
      sighting.m_report = report;
      sighting.m_report.m_receivedAt = aNow - report.m_receivedAt;
    }
  }
  for (const HostId& silent : aNews.m_silent) {
    const auto host = aState.m_hosts.find(silent);
    if (host != aState.m_hosts.end()) {
      SightingBy(host->second, aNews.m_watcher, aState.m_roster).m_silent =
        true;
    }
  }
}

const ServerReport* FreshReport(const PresenceState& aState,
                                Millis aNow,
                                const HostId& aHost)
{
  const auto found = aState.m_hosts.find(aHost);
  if (found == aState.m_hosts.end()) {
    return nullptr;
  }
  const Sighting* best = BestSighting(aState, aNow, found->second);
  return best != nullptr && !best->m_silent ? &best->m_report : nullptr;
}

} // namespace briarglade
