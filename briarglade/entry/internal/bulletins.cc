// Bulletins: changes that every node must learn at once. A node sends them to
// the relays of its own zone, which forward them to the nodes that report to
// them and to a relay of each other zone, and so on. Each node forwards a
// bulletin once.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>
#include <set>

#include "briarglade/entry/notice_age.h"

namespace briarglade::internal {

namespace {

// The holder of the control lease sends its ended and opened groups again after
// this long, for nodes that have joined since.
constexpr Millis kControlResendPeriod = Millis(2'000);

} // namespace

// Adds the groups that this node, as the holder of the control lease, is ending
// or has opened to the next bulletin.
void EntryReduction::PublishGroupChanges()
{
  PeerUpdateState& updates = m_state.m_peerUpdates;
  if (!m_state.m_control.IsActive()) {
    return;
  }
  std::vector<GroupId> ended = m_state.m_control.EndedGroups();
  const std::vector<ReplicaGroup> opened = m_state.m_control.OpenedGroups();
  std::set<GroupId> groups(ended.begin(), ended.end());
  for (const ReplicaGroup& group : opened) {
    groups.insert(group.m_id);
  }
  const bool isNew = !std::includes(updates.m_controlSentGroups.begin(),
                                    updates.m_controlSentGroups.end(),
                                    groups.begin(),
                                    groups.end());
  const bool isDue = m_now - updates.m_controlSentAt >= kControlResendPeriod;
  if (groups.empty() || (!isNew && !isDue)) {
    return;
  }
  updates.m_controlSentGroups = std::move(groups);
  updates.m_controlSentAt = m_now;
  updates.m_nextBulletin.m_endedGroups = std::move(ended);
  updates.m_nextBulletin.m_openedGroups.clear();
  for (const ReplicaGroup& group : opened) {
    updates.m_nextBulletin.m_openedGroups.push_back(OpenedGroup{
      group.m_id, group.m_generation, group.m_members, group.m_starts });
  }
}

void EntryReduction::PublishHarm(const HarmNotices& aNotices)
{
  HarmNotices& next = m_state.m_peerUpdates.m_nextBulletin.m_harm;
  next.m_evidence.insert(next.m_evidence.end(),
                         aNotices.m_evidence.begin(),
                         aNotices.m_evidence.end());
  next.m_clearances.insert(next.m_clearances.end(),
                           aNotices.m_clearances.begin(),
                           aNotices.m_clearances.end());
}

// Sends the changes that have accumulated since the last bulletin.
void EntryReduction::SendBulletin()
{
  PeerUpdateState& updates = m_state.m_peerUpdates;
  if (updates.m_nextBulletin.IsEmpty()) {
    return;
  }
  Bulletin bulletin = std::move(updates.m_nextBulletin);
  updates.m_nextBulletin = Bulletin();
  bulletin.m_origin = m_state.m_settings.m_node;
  bulletin.m_incarnation = m_state.m_incarnation;
  bulletin.m_number = ++updates.m_bulletinCount;
  bulletin.m_serversComplete = m_state.m_rows.CompleteUpTo(Feed::Servers);
  bulletin.m_entryDoubt =
    bulletin.m_rowChanges.empty() ? OwnEntryDoubt() : ForwardedEntryDoubt();
  ForwardBulletin(bulletin, m_state.m_settings.m_node);
}

void EntryReduction::ForwardBulletin(const Bulletin& aBulletin,
                                     const NodeId& aSender)
{
  const PeerUpdateState& updates = m_state.m_peerUpdates;
  const NodeId& self = m_state.m_settings.m_node;
  std::set<NodeId> receivers;
  if (aSender == self) {
    receivers = { updates.m_relays.Primary(), updates.m_relays.Backup() };
  }
  for (const auto& [id, subscriber] : updates.m_subscribers) {
    receivers.insert(id);
  }
  // The primary relay sends to the primary of each other zone, the backup to
  // the backup.
  const auto sender = m_state.m_directory.Others().find(aSender);
  const bool isFromOwnZone =
    aSender == self ||
    (sender != m_state.m_directory.Others().end() &&
     sender->second.m_row.m_zone == m_state.m_settings.m_zone);
  const bool isPrimary = IsRelay();
  if (isFromOwnZone && (isPrimary || updates.m_relays.Backup() == self)) {
    for (const ZoneId& zone : m_state.m_directory.Zones()) {
      const std::vector<NodeId> relays = RelaysOfZone(zone);
      const size_t rank = isPrimary ? 0 : 1;
      if (zone != m_state.m_settings.m_zone && relays.size() > rank) {
        receivers.insert(relays[rank]);
      }
    }
  }
  receivers.erase(self);
  receivers.erase(aSender);
  receivers.erase(aBulletin.m_origin);
  if (receivers.empty()) {
    return;
  }
  NodeNews message = MakePeerUpdate();
  message.m_bulletins = { aBulletin };
  Send({ receivers.begin(), receivers.end() }, std::move(message));
}

// Handles a bulletin of a message that was sent at aSentAt, if it is new.
void EntryReduction::HandleBulletin(const SendTime& aSentAt,
                                    const Bulletin& aBulletin,
                                    const NodeId& aSender)
{
  const bool isOwn = aBulletin.m_origin == m_state.m_settings.m_node;
  if (isOwn || !m_state.m_peerUpdates.m_seenBulletins.Add(aBulletin)) {
    return;
  }
  const Bulletin received = AsOfReceipt(aSentAt, aBulletin);
  // Forwarded before it is applied, because other nodes wait for it.
  ForwardBulletin(received, aSender);
  ApplyBulletin(received);
}

// Applies a bulletin whose ages are as of now.
void EntryReduction::ApplyBulletin(const Bulletin& aBulletin)
{
  for (const CrashEvidence& evidence : aBulletin.m_harm.m_evidence) {
    DispatchToGateway(evidence);
  }
  for (const TraitClearance& clearance : aBulletin.m_harm.m_clearances) {
    DispatchToGateway(clearance);
  }
  for (const RateLimitNotice& notice : aBulletin.m_rateLimits) {
    DispatchToGateway(notice);
  }
  for (const ServerRun& server : aBulletin.m_leavingServers) {
    RecordLeavingServer(server);
  }
  RecordEndedGroups(aBulletin.m_endedGroups);
  if (aBulletin.m_storeCheck == StoreCheckNotice::Requested) {
    BeginStoreCheck(aBulletin.m_origin);
  } else if (aBulletin.m_storeCheck == StoreCheckNotice::Served) {
    EndStoreCheck(aBulletin.m_origin, aBulletin.m_age.WhenSent());
  }
  RecordReportedDoubt(aBulletin.m_entryDoubt);
  ApplyRowChanges(aBulletin.m_origin, aBulletin.m_rowChanges);
  // The members may have restarted and be cold according to entries that the
  // holder knows and this node does not.
  if (aBulletin.m_serversComplete <=
      m_state.m_rows.CompleteUpTo(Feed::Servers)) {
    ApplyOpenedGroups(m_now - aBulletin.m_age.WhenSent(),
                      aBulletin.m_openedGroups);
  }
}

} // namespace briarglade::internal
