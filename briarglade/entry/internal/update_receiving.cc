// Handling of the peer updates that other nodes send.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>
#include <string>

#include "briarglade/entry/notice_age.h"

namespace briarglade::internal {

namespace {

// A digest of the backup relay is used once the last one of the primary relay
// is older than this.
constexpr Millis kPrimaryDigestTimeout = Millis(500);

} // namespace

std::vector<GroupId> EntryReduction::OwnSuspects() const
{
  return m_state.m_gateway.m_backendTable.OwnSuspects(m_now);
}

void EntryReduction::UpdateRoster()
{
  m_state.m_nodeCount =
    static_cast<uint32_t>(m_state.m_directory.ActiveNodeIds(m_now).size());
  RosterChanged roster;
  roster.m_nodes = m_state.m_roster.Nodes(m_now);
  roster.m_validUntil =
    m_state.m_roster.ValidUntil(m_now, m_state.m_storeClock);
  roster.m_liveNodeCount = m_state.m_nodeCount;
  const bool hasShare = m_now < roster.m_validUntil;
  if (hasShare != m_state.m_hasFleetQuota) {
    m_state.m_hasFleetQuota = hasShare;
    const Millis age =
      m_state.m_roster.KnowledgeAge(m_now, m_state.m_storeClock);
    Log(LogLevel::Info,
        hasShare ? "fleet-share-gained" : "fleet-share-lost",
        { { "nodes",
            std::to_string(roster.m_nodes ? roster.m_nodes->size() : 0) },
          { "roster-age-ms", std::to_string(age.Count()) } });
  }
  DispatchToGateway(roster);
}

// Adopts the time up to which the sender knows every node's row, if this node
// has all of the sender's changes.
void EntryReduction::UpdateRosterKnowledge(const NodeNews& aUpdate)
{
  m_state.m_storeClock.Update(m_now, aUpdate.m_rosterKnownUpTo);
  if (!IsBehind(aUpdate, Feed::Own)) {
    m_state.m_roster.OnKnownUpTo(aUpdate.m_rosterKnownUpTo);
  }
}

void EntryReduction::On(const PeerUpdateReceived& aReceived)
{
  const NodeNews& update = aReceived.m_update;
  if (update.m_node == m_state.m_settings.m_node) {
    return;
  }
  const SendTime sentAt = TimeOf(aReceived);
  m_state.m_directory.OnPeerUpdate(sentAt, update);
  if (update.m_storePeriod) {
    m_state.m_storeUptime.OnReported(*update.m_storePeriod);
  }
  HandleCondition(update.m_condition, sentAt.KnownDelay());
  for (const Bulletin& bulletin : update.m_bulletins) {
    HandleBulletin(sentAt, bulletin, update.m_node);
  }
  ApplyRowChanges(update.m_node, update.m_rowChanges);
  UpdateRosterKnowledge(update);
  if (sentAt.IsKnown()) {
    HandleNotices(sentAt, update);
    HandleReport(sentAt, update);
    HandleFleetDigest(sentAt, update);
    HandleZoneAges(sentAt, update);
    for (const ZoneDigest& zone : update.m_zones) {
      HandleZoneDigest(sentAt, zone);
    }
  }
  LogReturns(sentAt, update);
  RecordVersions(sentAt, update);
  if (update.m_requestsRows) {
    AnswerWithRows(update);
  }
  AnswerEchoRequest(update);
}

// Returns when a message was sent. Nodes whose row is not known are not
// tracked: anybody who reaches the port can send messages of any name.
SendTime EntryReduction::TimeOf(const PeerUpdateReceived& aReceived)
{
  const NodeNews& update = aReceived.m_update;
  if (m_state.m_directory.Others().count(update.m_node) == 0) {
    return { m_now, std::nullopt };
  }
  PeerClocks& clocks = m_state.m_peerClocks;
  const uint64_t resets = clocks.ResetCount();
  const SendTime sentAt = clocks.OnMessage(
    m_now,
    MessageTimes{
      update.m_node, update.m_incarnation, update.m_sentAt, aReceived.m_echo });
  if (clocks.ResetCount() != resets) {
    Log(LogLevel::Warn,
        "peer-clock-reset",
        { { "node", update.m_node.Value() },
          { "incarnation", std::to_string(update.m_incarnation) } });
  }
  return sentAt;
}

// Logs each node that a message has shown to live again: who said so, how old
// that is, and how much of that age is the way of the message.
void EntryReduction::LogReturns(const SendTime& aSentAt,
                                const NodeNews& aUpdate)
{
  for (const NodeReturn& node : m_state.m_directory.TakeReturns()) {
    Log(LogLevel::Info,
        "node-seen-again",
        { { "node", node.m_node.Value() },
          { "incarnation", std::to_string(node.m_incarnation) },
          { "by", aUpdate.m_node.Value() },
          { "age-ms", std::to_string((m_now - node.m_seenAt).Count()) },
          { "way-ms", std::to_string(aSentAt.KnownDelay().Count()) },
          { "unseen-ms", std::to_string(node.m_unseenFor.Count()) } });
  }
}

// Answers a node that asks how long its messages take, and asks in turn if this
// node does not know how long the other one's take. Any message will do.
void EntryReduction::AnswerEchoRequest(const NodeNews& aUpdate)
{
  const bool asks = m_state.m_peerClocks.TakeQuestion(m_now, aUpdate.m_node);
  if (asks || aUpdate.m_requestsEcho) {
    NodeNews answer = MakePeerUpdate();
    answer.m_requestsEcho = asks;
    Send({ aUpdate.m_node }, std::move(answer));
  }
}

// Applies what a relay's digest repeats of bulletins.
void EntryReduction::HandleNotices(const SendTime& aSentAt,
                                   const NodeNews& aUpdate)
{
  for (const TraitRefusal& refusal : aUpdate.m_refusals) {
    DispatchToGateway(AsOfReceipt(aSentAt, refusal));
  }
  for (const RateLimitNotice& notice : aUpdate.m_rateLimits) {
    DispatchToGateway(AsOfReceipt(aSentAt, notice));
  }
}

// Handles a report that is sent to this node as a relay.
void EntryReduction::HandleReport(const SendTime& aSentAt,
                                  const NodeNews& aUpdate)
{
  if (aUpdate.m_subscription == Subscription::None) {
    return;
  }
  PeerUpdateState& updates = m_state.m_peerUpdates;
  const auto [entry, isNew] = updates.m_subscribers.try_emplace(aUpdate.m_node);
  Subscriber& subscriber = entry->second;
  if (!isNew && aSentAt.NotBefore() < subscriber.m_lastReportAt) {
    return;
  }
  const bool hasMore = aUpdate.m_suspects.size() > subscriber.m_suspects.size();
  const bool beginsToLeave =
    aUpdate.m_condition.m_isLeaving && !subscriber.m_isLeaving;
  subscriber.m_lastReportAt = aSentAt.NotBefore();
  subscriber.m_subscription = aUpdate.m_subscription;
  subscriber.m_suspects = aUpdate.m_suspects;
  subscriber.m_isLeaving = aUpdate.m_condition.m_isLeaving;
  updates.m_loads.OnReport(aSentAt.NotBefore(),
                           aUpdate.m_node,
                           aUpdate.m_reportNumber,
                           aUpdate.m_loads,
                           aUpdate.m_work);
  updates.m_hasUrgentDigest =
    updates.m_hasUrgentDigest || hasMore || beginsToLeave;
}

void EntryReduction::HandleZoneAges(const SendTime& aSentAt,
                                    const NodeNews& aUpdate)
{
  if (aUpdate.m_zoneAges.empty()) {
    return;
  }
  const auto [entry, isNew] =
    m_state.m_peerUpdates.m_reportedZoneAges.try_emplace(aUpdate.m_node);
  if (isNew || aSentAt.NotBefore() >= entry->second.m_sentAt) {
    entry->second = ReportedZoneAges{ aSentAt.NotBefore(), aUpdate.m_zoneAges };
  }
}

void EntryReduction::HandleStatuses(const SendTime& aSentAt,
                                    const std::vector<NodeStatus>& aNodes)
{
  for (const NodeStatus& status : aNodes) {
    if (m_state.m_directory.OnStatus(aSentAt, status)) {
      HandleCondition(status.m_condition, aSentAt.AgeAtReceipt(status.m_age));
    }
  }
}

// Applies the parts of another node's condition, as of aAge ago, that concern
// the whole fleet. Doubt that is told in a message of unknown age counts from
// now: it keeps servers in use that may still be there.
void EntryReduction::HandleCondition(const NodeCondition& aCondition,
                                     Millis aAge)
{
  m_state.m_hasTraffic = m_state.m_hasTraffic || aCondition.m_hasTraffic;
  RecordReportedDoubt(aCondition.m_entryDoubt - aAge);
}

// Applies a relay's digest of the fleet.
void EntryReduction::HandleFleetDigest(const SendTime& aSentAt,
                                       const NodeNews& aUpdate)
{
  if (!aUpdate.m_fleet) {
    return;
  }
  PeerUpdateState& updates = m_state.m_peerUpdates;
  const StatusDigest& fleet = *aUpdate.m_fleet;
  updates.m_relays.OnDigest(aSentAt.NotBefore(), aUpdate.m_node);
  HandleStatuses(aSentAt, fleet.m_nodes);
  const bool isPrimary = aUpdate.m_node == updates.m_relays.Primary();
  if (isPrimary) {
    updates.m_primaryDigestAt =
      std::max(updates.m_primaryDigestAt, aSentAt.NotBefore());
  }
  const bool isLate = m_now - updates.m_primaryDigestAt > kPrimaryDigestTimeout;
  if (IsOwnRelay() || (!isPrimary && !isLate)) {
    return;
  }
  const NodeRunKey self =
    MakeNodeRunKey(m_state.m_settings.m_node, m_state.m_incarnation);
  std::optional<uint16_t> ownNumber;
  for (const NodeStatus& status : fleet.m_nodes) {
    if (status.m_key == self) {
      ownNumber = status.m_reportNumber;
    }
  }
  const Millis asOf = aSentAt.NotBefore();
  if (updates.m_loads.OnFleet(
        m_now, asOf, fleet.m_loads, ownNumber, fleet.m_work)) {
    UseLoads(asOf, updates.m_loads.FromRelay(), fleet.m_suspects);
  }
}

// Applies the in-flight loads and suspected groups of all other nodes, as of
// aAsOf. The holder of the control lease uses the suspected groups, too.
void EntryReduction::UseLoads(Millis aAsOf,
                              std::vector<ServerLoad> aOthers,
                              const std::vector<GroupId>& aSuspects)
{
  DispatchToGateway(PeerLoad{ NodeId(), std::move(aOthers), aSuspects });
  PeerUpdateState& updates = m_state.m_peerUpdates;
  updates.m_suspects = { aSuspects.begin(), aSuspects.end() };
  updates.m_suspectsAsOf = aAsOf;
}

// Applies the digest of a zone that a relay of another zone has sent.
void EntryReduction::HandleZoneDigest(const SendTime& aSentAt,
                                      const ZoneDigest& aZone)
{
  HandleStatuses(aSentAt, aZone.m_digest.m_nodes);
  PeerUpdateState& updates = m_state.m_peerUpdates;
  const auto [entry, isNew] = updates.m_zones.try_emplace(aZone.m_zone);
  KnownZone& zone = entry->second;
  const Millis asOf = aSentAt.At(aZone.m_age);
  const bool isOwn = aZone.m_zone == m_state.m_settings.m_zone;
  if (isOwn || (!isNew && asOf < zone.m_asOf)) {
    return;
  }
  const std::vector<GroupId>& suspects = aZone.m_digest.m_suspects;
  updates.m_hasUrgentDigest =
    updates.m_hasUrgentDigest || suspects.size() > zone.m_suspects.size();
  zone.m_asOf = asOf;
  zone.m_suspects = suspects;
  updates.m_loads.OnZone(
    asOf, aZone.m_zone, aZone.m_digest.m_loads, aZone.m_digest.m_work);
}

// Returns whether a group was opened with this process of the server, its
// member of a rank, as far as the holder of the control lease tells.
bool EntryReduction::IsOpenedWith(const OpenedGroup& aGroup,
                                  size_t aRank,
                                  const ServerRecord& aServer)
{
  return aGroup.m_starts.size() != aGroup.m_members.size() ||
         aGroup.m_starts[aRank] == aServer.m_startedAt;
}

// Applies the groups that the holder of the control lease has opened, as of
// aAsOf, and that the store does not contain yet.
void EntryReduction::ApplyOpenedGroups(Millis aAsOf,
                                       const std::vector<OpenedGroup>& aGroups)
{
  for (const OpenedGroup& group : aGroups) {
    for (size_t rank = 0; rank < group.m_members.size(); ++rank) {
      const auto server = m_state.m_servers.find(group.m_members[rank]);
      if (server == m_state.m_servers.end()) {
        continue;
      }
      if (!IsOpenedWith(group, rank, server->second)) {
        Log(LogLevel::Info,
            "opened-group-outdated",
            { { "group", group.m_group.Value() },
              { "generation", std::to_string(group.m_generation.Value()) },
              { "server", server->second.m_host.Value() },
              { "opened-with-run", std::to_string(group.m_starts[rank]) },
              { "run", RunOf(server->second).Value() } });
        continue;
      }
      GroupMembership membership;
      membership.m_group = group.m_group;
      membership.m_generation = group.m_generation;
      membership.m_rank = static_cast<uint32_t>(rank);
      membership.m_phase = rank == 0 ? GroupPhase::Open : GroupPhase::Ready;
      MembershipUpdate update;
      update.m_source = UpdateSource::Announcement;
      update.m_asOf = aAsOf;
      update.m_startedAt = server->second.m_membershipHistory.StartedAt();
      update.m_membership = membership;
      ApplyMembership(server->second, update);
    }
  }
}

// Stops using the groups that the holder of the control lease is ending.
void EntryReduction::RecordEndedGroups(const std::vector<GroupId>& aGroups)
{
  std::vector<GroupId> newlyEnded;
  for (const GroupId& group : aGroups) {
    if (m_state.m_groups.count(group) > 0 &&
        m_state.m_endedGroups.insert(group).second) {
      newlyEnded.push_back(group);
    }
  }
  if (!newlyEnded.empty()) {
    UpdateBackends();
    DispatchToGateway(GroupsEnded{ std::move(newlyEnded) });
  }
}

} // namespace briarglade::internal
