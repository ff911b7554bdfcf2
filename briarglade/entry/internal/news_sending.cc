// What this node tells: reports to its relays and, as a relay, digests to the
// nodes that report to it and to the relays of other zones. A node's cost
// doesn't grow with the number of nodes, but for the relays'.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>
#include <memory>

#include "briarglade/base/erase_if.h"

namespace briarglade::internal {

namespace {

// Reports and digests; those to and from the relay in reserve only show that it
// lives.
constexpr Millis kNewsPeriod = Millis(150);
constexpr Millis kReservePeriod = Millis(600);
// How the nodes of other zones are is told this often.
constexpr Millis kAllNodesPeriod = Millis(450);
// Digests to the relays of other zones.
constexpr Millis kZonePeriod = Millis(150);
// A node that hasn't reported for this long gets no digests.
constexpr Millis kSubscriptionTime = Millis(1'500);
// What is known of a zone counts for this long.
constexpr Millis kZoneLifetime = Millis(2'000);
// A relay that knows a zone only as of longer ago is told of it by others.
constexpr Millis kZoneMissedTime = Millis(1'000);
// What a relay said it knows holds for this long.
constexpr Millis kToldAgesTime = Millis(2'000);

// Adds the groups that each of the sources finds silent.
template<typename Sources>
void AppendSuspects(std::vector<GroupId>& aSuspects, const Sources& aSources)
{
  for (const auto& [id, source] : aSources) {
    aSuspects.insert(
      aSuspects.end(), source.m_suspects.begin(), source.m_suspects.end());
  }
}

} // namespace

NodeCondition EntryReduction::OwnCondition() const
{
  NodeCondition condition;
  condition.m_isLeaving = m_state.m_phase != EntryPhase::Serving;
  condition.m_isReady = IsReady(m_state);
  condition.m_hasTraffic = m_state.m_hasTraffic;
  condition.m_isStoreLost = IsStoreLost();
  condition.m_isStoreDisturbed =
    m_state.m_isFollower &&
    (condition.m_isStoreLost || m_now < m_state.m_disturbedUntil);
  return condition;
}

// Returns what all news of this node begin with.
NodeNews EntryReduction::MakeNews() const
{
  NodeNews news;
  news.m_node = m_state.m_settings.m_node;
  news.m_incarnation = m_state.m_incarnation;
  news.m_condition = OwnCondition();
  for (const auto& [feed, follower] : m_state.m_feeds) {
    news.m_complete.push_back(m_state.m_rows.CompleteUpTo(feed));
  }
  news.m_rosterKnownUpTo = m_state.m_roster.KnownUpTo();
  return news;
}

void EntryReduction::Send(const std::vector<NodeId>& aReceivers, NodeNews aNews)
{
  std::vector<Endpoint> endpoints;
  for (const NodeId& receiver : aReceivers) {
    const auto node = m_state.m_directory.Others().find(receiver);
    if (node != m_state.m_directory.Others().end()) {
      endpoints.push_back(node->second.m_row.m_peerAddress);
    }
  }
  if (!endpoints.empty()) {
    m_effects.emplace_back(
      SendNodeNews{ std::move(endpoints),
                    std::make_shared<const NodeNews>(std::move(aNews)) });
  }
}

void EntryReduction::TickNews()
{
  NewsState& news = m_state.m_news;
  news.m_relays.Update(
    m_now, m_state.m_directory.RankedRelays(m_now, m_state.m_settings.m_zone));
  if (news.m_loads.Expire(m_now) && !IsOwnRelay()) {
    ToGateway(PeerLoad());
  }
  ForgetSilent();
  SendReports();
  SendDigests();
  SendZoneDigests();
  news.m_hasUrgentReport = false;
  news.m_hasUrgentDigest = false;
}

bool EntryReduction::IsOwnRelay() const
{
  return m_state.m_news.m_relays.Primary() == m_state.m_settings.m_node;
}

// Whether this node is the first relay of its zone, in its own eyes or in
// another node's.
bool EntryReduction::IsRelay() const
{
  const auto& subscribers = m_state.m_news.m_subscribers;
  return IsOwnRelay() ||
         std::any_of(
           subscribers.begin(), subscribers.end(), [](const auto& aEntry) {
             return aEntry.second.m_subscription == Subscription::All;
           });
}

// Returns the other registered nodes of a zone, heard of or not, each of them
// in front by turns.
std::vector<NodeId> EntryReduction::NodesByTurns(const ZoneId& aZone) const
{
  std::vector<NodeId> nodes;
  for (const auto& [id, node] : m_state.m_directory.Others()) {
    if (node.m_row.m_zone == aZone) {
      nodes.push_back(id);
    }
  }
  if (!nodes.empty()) {
    const int64_t turn = m_now.Count() / kReservePeriod.Count();
    const auto size = static_cast<int64_t>(nodes.size());
    std::rotate(nodes.begin(), nodes.begin() + turn % size, nodes.end());
  }
  return nodes;
}

// A node that hears of no other one of its zone asks any of them, by turns.
std::optional<NodeId> EntryReduction::NeighbourToAsk() const
{
  if (!IsOwnRelay() || !m_state.m_news.m_relays.Backup().IsEmpty()) {
    return std::nullopt;
  }
  const std::vector<NodeId> neighbours =
    NodesByTurns(m_state.m_settings.m_zone);
  return neighbours.empty() ? std::nullopt
                            : std::optional<NodeId>(neighbours.front());
}

void EntryReduction::SendReport(const NodeId& aRelay,
                                Subscription aSubscription,
                                NodeNews aReport)
{
  if (aRelay != m_state.m_settings.m_node) {
    aReport.m_subscription = aSubscription;
    Send({ aRelay }, std::move(aReport));
  }
}

void EntryReduction::SendReports()
{
  NewsState& news = m_state.m_news;
  const bool isUrgent = news.m_hasUrgentReport;
  const bool isDue = isUrgent || m_now - news.m_reportSentAt >= kNewsPeriod;
  const bool isReserveDue =
    isUrgent || m_now - news.m_backupReportSentAt >= kReservePeriod;
  if (!isDue && !isReserveDue) {
    return;
  }
  NodeNews report = MakeNews();
  report.m_reportNumber = ++news.m_reportNumber;
  report.m_loads = m_state.m_gateway.m_book.OwnLoad();
  report.m_suspects = OwnSuspects();
  news.m_loads.OnOwnReport(report.m_reportNumber, report.m_loads);
  if (isDue) {
    news.m_reportSentAt = m_now;
    SendReport(news.m_relays.Primary(), Subscription::All, report);
  }
  if (isReserveDue) {
    news.m_backupReportSentAt = m_now;
    SendReport(news.m_relays.Backup(), Subscription::Backup, report);
    if (const std::optional<NodeId> neighbour = NeighbourToAsk()) {
      SendReport(*neighbour, Subscription::Backup, report);
    }
  }
  // A relay's own report is its digest.
  news.m_hasUrgentDigest = news.m_hasUrgentDigest || isUrgent;
}

// Forgets nodes that don't report here any more, zones that nobody tells of,
// and what relays said long ago.
void EntryReduction::ForgetSilent()
{
  NewsState& news = m_state.m_news;
  EraseIf(news.m_subscribers, [&](const auto& aEntry) {
    return m_now - aEntry.second.m_lastReportAt > kSubscriptionTime;
  });
  EraseIf(news.m_zones, [&](const auto& aEntry) {
    return m_now - aEntry.second.m_asOf > kZoneLifetime;
  });
  EraseIf(news.m_reportedZoneAges, [&](const auto& aEntry) {
    return m_now - aEntry.second.m_receivedAt > kToldAgesTime;
  });
}

// Returns how the nodes of a zone are, or with no zone all nodes, this one
// included.
NewsDigest EntryReduction::MakeDigest(const ZoneId& aZone) const
{
  NewsDigest digest;
  for (const auto& [id, node] : m_state.m_directory.Living(m_now, aZone)) {
    digest.m_nodes.push_back(
      NodeStatus{ MakeNodeRunKey(id, node->m_incarnation),
                  m_now - *node->m_heardAt,
                  m_state.m_news.m_loads.ReportNumber(id),
                  node->m_condition });
  }
  if (aZone.IsEmpty() || aZone == m_state.m_settings.m_zone) {
    digest.m_nodes.push_back(NodeStatus{
      MakeNodeRunKey(m_state.m_settings.m_node, m_state.m_incarnation),
      Millis(),
      0,
      OwnCondition() });
  }
  return digest;
}

// Returns the groups that this node and those that report to it find silent.
std::vector<GroupId> EntryReduction::ReportedSuspects() const
{
  std::vector<GroupId> suspects = OwnSuspects();
  AppendSuspects(suspects, m_state.m_news.m_subscribers);
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  return suspects;
}

// Returns what is known of the fleet, with the loads of all other nodes. How
// the nodes of other zones are is said now and then: they are most of the
// bytes.
NewsDigest EntryReduction::MakeFleetDigest(
  const std::vector<ServerLoad>& aOthers,
  bool aHasAllNodes) const
{
  NewsDigest digest =
    MakeDigest(aHasAllNodes ? ZoneId() : m_state.m_settings.m_zone);
  digest.m_loads = AddLoads(m_state.m_gateway.m_book.OwnLoad(), aOthers);
  digest.m_suspects = ReportedSuspects();
  AppendSuspects(digest.m_suspects, m_state.m_news.m_zones);
  return digest;
}

void EntryReduction::SendDigests()
{
  NewsState& news = m_state.m_news;
  const bool isUrgent = news.m_hasUrgentDigest;
  const bool isDue = isUrgent || m_now - news.m_digestsSentAt >= kNewsPeriod;
  const bool isReserveDue =
    isUrgent || m_now - news.m_backupDigestsSentAt >= kReservePeriod;
  if (!isDue) {
    return;
  }
  news.m_digestsSentAt = m_now;
  if (isReserveDue) {
    news.m_backupDigestsSentAt = m_now;
  }
  std::vector<NodeId> receivers;
  for (const auto& [id, subscriber] : news.m_subscribers) {
    if (isReserveDue || subscriber.m_subscription == Subscription::All) {
      receivers.push_back(id);
    }
  }
  if (receivers.empty() && !IsOwnRelay()) {
    return;
  }
  std::vector<ServerLoad> others =
    IsRelay() ? news.m_loads.SumOfReportsAndZones() : news.m_loads.FromRelay();
  if (!receivers.empty()) {
    NodeNews digest = MakeNews();
    const bool hasAllNodes =
      isReserveDue || m_now - news.m_allNodesSentAt >= kAllNodesPeriod;
    if (hasAllNodes) {
      news.m_allNodesSentAt = m_now;
    }
    digest.m_fleet = MakeFleetDigest(others, hasAllNodes);
    Send(receivers, std::move(digest));
  }
  if (IsOwnRelay()) {
    std::vector<GroupId> suspects;
    AppendSuspects(suspects, news.m_subscribers);
    AppendSuspects(suspects, news.m_zones);
    UseLoads(std::move(others), suspects);
  }
}

ZoneDigest EntryReduction::MakeOwnZone() const
{
  const ZoneId& zone = m_state.m_settings.m_zone;
  ZoneDigest own{ zone, Millis(), MakeDigest(zone) };
  own.m_digest.m_loads = AddLoads(m_state.m_gateway.m_book.OwnLoad(),
                                  m_state.m_news.m_loads.SumOfReports());
  own.m_digest.m_suspects = ReportedSuspects();
  return own;
}

std::vector<ZoneAge> EntryReduction::KnownZoneAges() const
{
  std::vector<ZoneAge> ages;
  for (const auto& [id, zone] : m_state.m_news.m_zones) {
    ages.push_back(ZoneAge{ id, m_now - zone.m_asOf });
  }
  return ages;
}

// Returns what this node knows of zones that a relay of another zone hasn't
// heard of lately: it may be cut off from them.
std::vector<ZoneDigest> EntryReduction::ZonesMissedBy(const NodeId& aRelay,
                                                      const ZoneId& aZone) const
{
  std::vector<ZoneDigest> missed;
  const auto told = m_state.m_news.m_reportedZoneAges.find(aRelay);
  if (told == m_state.m_news.m_reportedZoneAges.end()) {
    return missed;
  }
  for (const auto& known : m_state.m_news.m_zones) {
    const ZoneId& id = known.first;
    const KnownZone& zone = known.second;
    const auto theirs =
      std::find_if(told->second.m_ages.begin(),
                   told->second.m_ages.end(),
                   [&](const ZoneAge& aAge) { return aAge.m_zone == id; });
    const bool isMissed =
      theirs == told->second.m_ages.end() || theirs->m_age > kZoneMissedTime;
    const Millis age = m_now - zone.m_asOf;
    if (id == aZone || !isMissed || age > kZoneMissedTime) {
      continue;
    }
    ZoneDigest digest{ id, age, MakeDigest(id) };
    digest.m_digest.m_loads = m_state.m_news.m_loads.SumOfZone(id);
    digest.m_digest.m_suspects = zone.m_suspects;
    missed.push_back(std::move(digest));
  }
  return missed;
}

void EntryReduction::SendZoneDigests()
{
  NewsState& news = m_state.m_news;
  const bool isDue =
    news.m_hasUrgentDigest || m_now - news.m_zoneDigestsSentAt >= kZonePeriod;
  if (!isDue || !IsRelay()) {
    return;
  }
  news.m_zoneDigestsSentAt = m_now;
  NodeNews digest = MakeNews();
  digest.m_zones.push_back(MakeOwnZone());
  digest.m_zoneAges = KnownZoneAges();
  std::vector<NodeId> receivers;
  for (const ZoneId& zone : m_state.m_directory.Zones()) {
    if (zone == m_state.m_settings.m_zone) {
      continue;
    }
    for (const NodeId& relay : RelaysOfZone(zone)) {
      std::vector<ZoneDigest> missed = ZonesMissedBy(relay, zone);
      if (missed.empty()) {
        receivers.push_back(relay);
        continue;
      }
      NodeNews longer = digest;
      longer.m_zones.insert(longer.m_zones.end(), missed.begin(), missed.end());
      Send({ relay }, std::move(longer));
    }
  }
  Send(receivers, std::move(digest));
}

// Returns the two relays of another zone that this node tells. If no node of
// the zone has been heard of, any two of them, by turns.
std::vector<NodeId> EntryReduction::RelaysOfZone(const ZoneId& aZone) const
{
  constexpr size_t kRelays = 2;
  std::vector<NodeId> relays = m_state.m_directory.RankedRelays(m_now, aZone);
  if (relays.empty()) {
    relays = NodesByTurns(aZone);
  }
  relays.resize(std::min(relays.size(), kRelays));
  return relays;
}

} // namespace briarglade::internal
