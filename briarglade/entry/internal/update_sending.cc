// Sends peer updates: reports to this node's relays and, as a relay, digests to
// the nodes that report to it and to the relays of other zones. The cost per
// node does not grow with the number of nodes, except for relays.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>
#include <memory>

#include "briarglade/base/erase_if.h"

namespace briarglade::internal {

namespace {

// The periods of reports and digests. Those to and from the backup relay only
// show that it is alive.
constexpr Millis kUpdatePeriod = Millis(150);
constexpr Millis kBackupPeriod = Millis(600);
// The period at which digests include the nodes of other zones.
constexpr Millis kAllNodesPeriod = Millis(450);
// The period of digests to the relays of other zones.
constexpr Millis kZoneDigestPeriod = Millis(150);
// A node that hasn't reported for this long gets no digests.
constexpr Millis kSubscriptionLifetime = Millis(1'500);
// Information on a zone expires after this long.
constexpr Millis kZoneLifetime = Millis(2'000);
// A relay whose information on a zone is older than this gets it from relays of
// other zones.
constexpr Millis kZoneStaleTime = Millis(1'000);
// The zone ages that a relay reported expire after this long.
constexpr Millis kZoneAgesLifetime = Millis(2'000);

bool HasPackedRows(const std::vector<RowChanges>& aChanges)
{
  return std::any_of(
    aChanges.begin(), aChanges.end(), [](const RowChanges& aOfFeed) {
      return std::any_of(
        aOfFeed.m_rows.begin(),
        aOfFeed.m_rows.end(),
        [](const StoredRow& aRow) { return aRow.m_packed != nullptr; });
    });
}

bool HasPackedRows(const NodeNews& aUpdate)
{
  return HasPackedRows(aUpdate.m_rowChanges) ||
         std::any_of(aUpdate.m_bulletins.begin(),
                     aUpdate.m_bulletins.end(),
                     [](const Bulletin& aBulletin) {
                       return HasPackedRows(aBulletin.m_rowChanges);
                     });
}

void RemovePacked(std::vector<RowChanges>& aChanges)
{
  for (RowChanges& changes : aChanges) {
    for (StoredRow& row : changes.m_rows) {
      row.m_packed.reset();
    }
  }
}

// Returns an update for nodes that cannot read compressed values.
NodeNews WithoutPackedRows(NodeNews aUpdate)
{
  RemovePacked(aUpdate.m_rowChanges);
  for (Bulletin& bulletin : aUpdate.m_bulletins) {
    RemovePacked(bulletin.m_rowChanges);
  }
  return aUpdate;
}

// Appends the groups that each of the sources suspects.
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
  condition.m_entryDoubt = OwnEntryDoubt();
  return condition;
}

// Returns a peer update with the fields that every update of this node has.
NodeNews EntryReduction::MakePeerUpdate() const
{
  NodeNews update;
  update.m_node = m_state.m_settings.m_node;
  update.m_incarnation = m_state.m_incarnation;
  update.m_sentAt = m_now;
  update.m_condition = OwnCondition();
  bool hasParts = false;
  for (const auto& [feed, follower] : m_state.m_feeds) {
    const RowCache& rows = m_state.m_rows;
    update.m_completeUpTo.push_back(rows.CompleteUpTo(feed));
    update.m_resumesAfter.push_back(rows.ResumesAfter(feed));
    update.m_checksums.push_back(rows.Checksum(feed).value_or(RowsChecksum()));
    hasParts = hasParts || rows.ResumesAfter(feed) > rows.CompleteUpTo(feed);
  }
  if (!hasParts) {
    update.m_resumesAfter.clear();
  }
  update.m_rosterKnownUpTo = m_state.m_roster.KnownUpTo();
  update.m_storePeriod = m_state.m_storeUptime.Last();
  return update;
}

void EntryReduction::Send(const std::vector<NodeId>& aReceivers,
                          NodeNews aUpdate)
{
  const bool hasPacked = HasPackedRows(aUpdate);
  std::vector<UpdateReceiver> receivers;
  std::vector<UpdateReceiver> unpackedReceivers;
  for (const NodeId& receiver : aReceivers) {
    const auto node = m_state.m_directory.Others().find(receiver);
    if (node == m_state.m_directory.Others().end()) {
      continue;
    }
    const bool canRead = !hasPacked || node->second.m_readsPacked;
    (canRead ? receivers : unpackedReceivers)
      .push_back(UpdateReceiver{ node->second.m_row.m_peerAddress,
                                 m_state.m_peerClocks.EchoFor(receiver) });
  }
  if (!unpackedReceivers.empty()) {
    m_effects.emplace_back(SendPeerUpdate{
      std::move(unpackedReceivers),
      std::make_shared<const NodeNews>(WithoutPackedRows(aUpdate)) });
  }
  if (!receivers.empty()) {
    m_effects.emplace_back(
      SendPeerUpdate{ std::move(receivers),
                      std::make_shared<const NodeNews>(std::move(aUpdate)) });
  }
}

void EntryReduction::TickPeerUpdates()
{
  PeerUpdateState& updates = m_state.m_peerUpdates;
  updates.m_relays.Update(
    m_now, m_state.m_directory.RankedRelays(m_now, m_state.m_settings.m_zone));
  if (updates.m_loads.Expire(m_now) && !IsOwnRelay()) {
    DispatchToGateway(PeerLoad());
  }
  RemoveUnresponsive();
  SendReports();
  SendDigests();
  SendZoneDigests();
  updates.m_hasUrgentReport = false;
  updates.m_hasUrgentDigest = false;
}

bool EntryReduction::IsOwnRelay() const
{
  return m_state.m_peerUpdates.m_relays.Primary() == m_state.m_settings.m_node;
}

// Returns whether this node or another one has selected this node as the
// primary relay of the zone.
bool EntryReduction::IsRelay() const
{
  const auto& subscribers = m_state.m_peerUpdates.m_subscribers;
  return IsOwnRelay() ||
         std::any_of(
           subscribers.begin(), subscribers.end(), [](const auto& aEntry) {
             return aEntry.second.m_subscription == Subscription::All;
           });
}

// Returns the other registered nodes of a zone, whether or not they have been
// seen, rotated by time so that each comes first in turn.
std::vector<NodeId> EntryReduction::NodesInRotation(const ZoneId& aZone) const
{
  std::vector<NodeId> nodes;
  for (const auto& [id, node] : m_state.m_directory.Others()) {
    if (node.m_row.m_zone == aZone) {
      nodes.push_back(id);
    }
  }
  if (!nodes.empty()) {
    const int64_t turn = m_now.Count() / kBackupPeriod.Count();
    const auto size = static_cast<int64_t>(nodes.size());
    std::rotate(nodes.begin(), nodes.begin() + turn % size, nodes.end());
  }
  return nodes;
}

// Returns another node of the zone to report to, in rotation, if this node sees
// no other live node there.
std::optional<NodeId> EntryReduction::ChooseNeighbourToQuery() const
{
  if (!IsOwnRelay() || !m_state.m_peerUpdates.m_relays.Backup().IsEmpty()) {
    return std::nullopt;
  }
  const std::vector<NodeId> neighbours =
    NodesInRotation(m_state.m_settings.m_zone);
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
  PeerUpdateState& updates = m_state.m_peerUpdates;
  const bool isUrgent = updates.m_hasUrgentReport;
  const bool isDue =
    isUrgent || m_now - updates.m_reportSentAt >= kUpdatePeriod;
  const bool isBackupDue =
    isUrgent || m_now - updates.m_backupReportSentAt >= kBackupPeriod;
  if (!isDue && !isBackupDue) {
    return;
  }
  NodeNews report = MakePeerUpdate();
  report.m_reportNumber = ++updates.m_reportNumber;
  report.m_loads = m_state.m_gateway.m_backendTable.OwnLoad();
  report.m_suspects = OwnSuspects();
  report.m_work = m_state.m_workMeter.Rates(m_now);
  updates.m_loads.OnOwnReport(report.m_reportNumber, report.m_loads);
  if (isDue) {
    updates.m_reportSentAt = m_now;
    SendReport(updates.m_relays.Primary(), Subscription::All, report);
  }
  if (isBackupDue) {
    updates.m_backupReportSentAt = m_now;
    SendReport(updates.m_relays.Backup(), Subscription::Backup, report);
    if (const std::optional<NodeId> neighbour = ChooseNeighbourToQuery()) {
      // Answered at once, unlike a report.
      report.m_requestsRows = true;
      SendReport(*neighbour, Subscription::Backup, report);
    }
  }
  // A relay sends its own report as part of its digest.
  updates.m_hasUrgentDigest = updates.m_hasUrgentDigest || isUrgent;
}

// Removes nodes that no longer report to this node, and expired information on
// zones and from relays.
void EntryReduction::RemoveUnresponsive()
{
  PeerUpdateState& updates = m_state.m_peerUpdates;
  EraseIf(updates.m_subscribers, [&](const auto& aEntry) {
    return m_now - aEntry.second.m_lastReportAt > kSubscriptionLifetime;
  });
  EraseIf(updates.m_zones, [&](const auto& aEntry) {
    return m_now - aEntry.second.m_asOf > kZoneLifetime;
  });
  EraseIf(updates.m_reportedZoneAges, [&](const auto& aEntry) {
    return m_now - aEntry.second.m_sentAt > kZoneAgesLifetime;
  });
}

// Returns the status of the nodes of a zone, or of all nodes if the zone is
// empty, including this node.
StatusDigest EntryReduction::MakeDigest(const ZoneId& aZone) const
{
  StatusDigest digest;
  for (const auto& [id, node] : m_state.m_directory.LiveNodes(m_now, aZone)) {
    digest.m_nodes.push_back(
      NodeStatus{ MakeNodeRunKey(id, node->m_incarnation),
                  ToldAge(m_now - *node->m_lastSeenAt),
                  m_state.m_peerUpdates.m_loads.ReportNumber(id),
                  node->m_condition });
  }
  if (aZone.IsEmpty() || aZone == m_state.m_settings.m_zone) {
    digest.m_nodes.push_back(NodeStatus{
      MakeNodeRunKey(m_state.m_settings.m_node, m_state.m_incarnation),
      ToldAge(),
      0,
      OwnCondition() });
  }
  return digest;
}

// Returns the groups that this node and the nodes that report to it suspect.
std::vector<GroupId> EntryReduction::ReportedSuspects() const
{
  std::vector<GroupId> suspects = OwnSuspects();
  AppendSuspects(suspects, m_state.m_peerUpdates.m_subscribers);
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  return suspects;
}

// Returns the work that the callers of all nodes request, as far as this node
// knows.
WorkByModel EntryReduction::FleetWork() const
{
  const FleetLoads& loads = m_state.m_peerUpdates.m_loads;
  WorkByModel work =
    IsRelay() ? loads.WorkOfReportsAndZones() : loads.WorkFromRelay();
  if (IsRelay() || !loads.IncludesOwnWork() || work.empty()) {
    AddWork(work, m_state.m_workMeter.Rates(m_now));
  }
  return work;
}

// Returns a digest of the fleet, given the loads of all other nodes. The nodes
// of other zones are included only from time to time, because they make up most
// of the bytes.
StatusDigest EntryReduction::MakeFleetDigest(
  const std::vector<ServerLoad>& aOthers,
  bool aHasAllNodes) const
{
  StatusDigest digest =
    MakeDigest(aHasAllNodes ? ZoneId() : m_state.m_settings.m_zone);
  digest.m_loads =
    AddLoads(m_state.m_gateway.m_backendTable.OwnLoad(), aOthers);
  digest.m_work = FleetWork();
  digest.m_suspects = ReportedSuspects();
  AppendSuspects(digest.m_suspects, m_state.m_peerUpdates.m_zones);
  return digest;
}

void EntryReduction::SendDigests()
{
  PeerUpdateState& updates = m_state.m_peerUpdates;
  const bool isUrgent = updates.m_hasUrgentDigest;
  const bool isDue =
    isUrgent || m_now - updates.m_digestsSentAt >= kUpdatePeriod;
  const bool isBackupDue =
    isUrgent || m_now - updates.m_backupDigestsSentAt >= kBackupPeriod;
  if (!isDue) {
    return;
  }
  updates.m_digestsSentAt = m_now;
  if (isBackupDue) {
    updates.m_backupDigestsSentAt = m_now;
  }
  std::vector<NodeId> receivers;
  for (const auto& [id, subscriber] : updates.m_subscribers) {
    if (isBackupDue || subscriber.m_subscription == Subscription::All) {
      receivers.push_back(id);
    }
  }
  if (receivers.empty() && !IsOwnRelay()) {
    return;
  }
  std::vector<ServerLoad> others = IsRelay()
                                     ? updates.m_loads.SumOfReportsAndZones()
                                     : updates.m_loads.FromRelay();
  if (!receivers.empty()) {
    NodeNews digest = MakePeerUpdate();
    const bool hasAllNodes =
      isBackupDue || m_now - updates.m_allNodesSentAt >= kAllNodesPeriod;
    if (hasAllNodes) {
      updates.m_allNodesSentAt = m_now;
    }
    digest.m_fleet = MakeFleetDigest(others, hasAllNodes);
    digest.m_refusals = m_state.m_gateway.m_harmDetector.Refusals(m_now);
    digest.m_rateLimits =
      m_state.m_gateway.m_backendTable.RateLimits().NextNotices(
        m_now, updates.m_lastLimitInDigests);
    Send(receivers, std::move(digest));
  }
  if (IsOwnRelay()) {
    std::vector<GroupId> suspects;
    AppendSuspects(suspects, updates.m_subscribers);
    AppendSuspects(suspects, updates.m_zones);
    UseLoads(m_now, std::move(others), suspects);
  }
}

ZoneDigest EntryReduction::MakeOwnZone() const
{
  const ZoneId& zone = m_state.m_settings.m_zone;
  ZoneDigest own{ zone, ToldAge(), MakeDigest(zone) };
  own.m_digest.m_loads = AddLoads(m_state.m_gateway.m_backendTable.OwnLoad(),
                                  m_state.m_peerUpdates.m_loads.SumOfReports());
  own.m_digest.m_work = m_state.m_workMeter.Rates(m_now);
  AddWork(own.m_digest.m_work, m_state.m_peerUpdates.m_loads.WorkOfReports());
  own.m_digest.m_suspects = ReportedSuspects();
  return own;
}

std::vector<ZoneAge> EntryReduction::KnownZoneAges() const
{
  std::vector<ZoneAge> ages;
  for (const auto& [id, zone] : m_state.m_peerUpdates.m_zones) {
    ages.push_back(ZoneAge{ id, ToldAge(m_now - zone.m_asOf) });
  }
  return ages;
}

// Returns digests of the zones on which a relay of another zone has no recent
// information; the relay may be partitioned from them.
std::vector<ZoneDigest> EntryReduction::ZonesMissedBy(const NodeId& aRelay,
                                                      const ZoneId& aZone) const
{
  std::vector<ZoneDigest> missed;
  const auto reported = m_state.m_peerUpdates.m_reportedZoneAges.find(aRelay);
  if (reported == m_state.m_peerUpdates.m_reportedZoneAges.end()) {
    return missed;
  }
  for (const auto& known : m_state.m_peerUpdates.m_zones) {
    const ZoneId& id = known.first;
    const KnownZone& zone = known.second;
    const auto theirAge =
      std::find_if(reported->second.m_ages.begin(),
                   reported->second.m_ages.end(),
                   [&](const ZoneAge& aAge) { return aAge.m_zone == id; });
    const bool isMissed = theirAge == reported->second.m_ages.end() ||
                          theirAge->m_age.WhenSent() > kZoneStaleTime;
    const Millis age = m_now - zone.m_asOf;
    if (id == aZone || !isMissed || age > kZoneStaleTime) {
      continue;
    }
    ZoneDigest digest{ id, ToldAge(age), MakeDigest(id) };
    digest.m_digest.m_loads = m_state.m_peerUpdates.m_loads.SumOfZone(id);
    digest.m_digest.m_work = m_state.m_peerUpdates.m_loads.WorkOfZone(id);
    digest.m_digest.m_suspects = zone.m_suspects;
    missed.push_back(std::move(digest));
  }
  return missed;
}

void EntryReduction::SendZoneDigests()
{
  PeerUpdateState& updates = m_state.m_peerUpdates;
  const bool isDue = updates.m_hasUrgentDigest ||
                     m_now - updates.m_zoneDigestsSentAt >= kZoneDigestPeriod;
  if (!isDue || !IsRelay()) {
    return;
  }
  updates.m_zoneDigestsSentAt = m_now;
  NodeNews digest = MakePeerUpdate();
  digest.m_zones.push_back(MakeOwnZone());
  digest.m_zoneAges = KnownZoneAges();
  digest.m_refusals = m_state.m_gateway.m_harmDetector.Refusals(m_now);
  digest.m_rateLimits =
    m_state.m_gateway.m_backendTable.RateLimits().NextNotices(
      m_now, updates.m_lastLimitInZoneDigests);
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
      NodeNews extended = digest;
      extended.m_zones.insert(
        extended.m_zones.end(), missed.begin(), missed.end());
      Send({ relay }, std::move(extended));
    }
  }
  Send(receivers, std::move(digest));
}

// Returns the two relays of another zone that this node sends updates to, or,
// if no node of the zone has been seen, any two of its nodes in rotation.
std::vector<NodeId> EntryReduction::RelaysOfZone(const ZoneId& aZone) const
{
  constexpr size_t kRelays = 2;
  std::vector<NodeId> relays = m_state.m_directory.RankedRelays(m_now, aZone);
  if (relays.empty()) {
    relays = NodesInRotation(aZone);
  }
  relays.resize(std::min(relays.size(), kRelays));
  return relays;
}

} // namespace briarglade::internal
