// Changes that every node must know at once. They go to the relays of the own
// zone, from them to the nodes that report to them and to a relay of each other
// zone, and so on; each node passes a bulletin on once.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>
#include <set>

namespace briarglade::internal {

namespace {

// What the holder of the control lease does is told again after this long, for
// nodes that have come since.
constexpr Millis kControlRepeatTime = Millis(2'000);

} // namespace

// Lets the other nodes know which groups the holder ends and has opened.
void EntryReduction::TellControl()
{
  NewsState& news = m_state.m_news;
  if (!m_state.m_control.IsActive()) {
    return;
  }
  std::vector<GroupId> ended = m_state.m_control.EndedGroups();
  const std::vector<ReplicaGroup> opened = m_state.m_control.OpenedGroups();
  std::set<GroupId> told(ended.begin(), ended.end());
  for (const ReplicaGroup& group : opened) {
    told.insert(group.m_id);
  }
  const bool isNew = !std::includes(news.m_controlSentGroups.begin(),
                                    news.m_controlSentGroups.end(),
                                    told.begin(),
                                    told.end());
  const bool isDue = m_now - news.m_controlSentAt >= kControlRepeatTime;
  if (told.empty() || (!isNew && !isDue)) {
    return;
  }
  news.m_controlSentGroups = std::move(told);
  news.m_controlSentAt = m_now;
  news.m_next.m_endedGroups = std::move(ended);
  news.m_next.m_opened.clear();
  for (const ReplicaGroup& group : opened) {
    news.m_next.m_opened.push_back(
      OpenedGroup{ group.m_id, group.m_generation, group.m_members });
  }
}

// Sends what has come up since the last bulletin.
void EntryReduction::SendBulletin()
{
  NewsState& news = m_state.m_news;
  if (news.m_next.IsEmpty()) {
    return;
  }
  Bulletin bulletin = std::move(news.m_next);
  news.m_next = Bulletin();
  bulletin.m_origin = m_state.m_settings.m_node;
  bulletin.m_incarnation = m_state.m_incarnation;
  bulletin.m_number = ++news.m_bulletinCount;
  bulletin.m_serversComplete = m_state.m_rows.CompleteUpTo(Feed::Servers);
  bulletin.m_isStoreDisturbed = OwnCondition().m_isStoreDisturbed;
  PassOn(bulletin, m_state.m_settings.m_node);
}

void EntryReduction::PassOn(const Bulletin& aBulletin, const NodeId& aSender)
{
  const NewsState& news = m_state.m_news;
  const NodeId& self = m_state.m_settings.m_node;
  std::set<NodeId> receivers;
  if (aSender == self) {
    receivers = { news.m_relays.Primary(), news.m_relays.Backup() };
  }
  for (const auto& [id, subscriber] : news.m_subscribers) {
    receivers.insert(id);
  }
  // The first relay tells the first one of each other zone, the one in reserve
  // the one in reserve.
  const auto sender = m_state.m_directory.Others().find(aSender);
  const bool isOfZone =
    aSender == self ||
    (sender != m_state.m_directory.Others().end() &&
     sender->second.m_row.m_zone == m_state.m_settings.m_zone);
  const bool isFirst = IsRelay();
  if (isOfZone && (isFirst || news.m_relays.Backup() == self)) {
    for (const ZoneId& zone : m_state.m_directory.Zones()) {
      const std::vector<NodeId> relays = RelaysOfZone(zone);
      const size_t place = isFirst ? 0 : 1;
      if (zone != m_state.m_settings.m_zone && relays.size() > place) {
        receivers.insert(relays[place]);
      }
    }
  }
  receivers.erase(self);
  receivers.erase(aSender);
  receivers.erase(aBulletin.m_origin);
  if (receivers.empty()) {
    return;
  }
  NodeNews message = MakeNews();
  message.m_bulletins = { aBulletin };
  Send({ receivers.begin(), receivers.end() }, std::move(message));
}

void EntryReduction::TakeBulletin(const Bulletin& aBulletin,
                                  const NodeId& aSender)
{
  const bool isOwn = aBulletin.m_origin == m_state.m_settings.m_node;
  if (isOwn || !m_state.m_news.m_seenBulletins.Add(aBulletin)) {
    return;
  }
  // Others wait for it: it is passed on first.
  PassOn(aBulletin, aSender);
  for (const CrashNotice& notice : aBulletin.m_crashes) {
    ToGateway(notice);
  }
  for (const ServerRun& server : aBulletin.m_leavingServers) {
    TakeLeaving(server);
  }
  TakeEnded(aBulletin.m_endedGroups);
  if (aBulletin.m_isStoreDisturbed) {
    NoteToldDisturbed();
  }
  TakeHanded(aBulletin.m_handed);
  // The members may have been started anew, and be cold, by entries that the
  // holder knows and this node doesn't.
  if (aBulletin.m_serversComplete <=
      m_state.m_rows.CompleteUpTo(Feed::Servers)) {
    TakeOpened(aBulletin.m_opened);
  }
}

} // namespace briarglade::internal
