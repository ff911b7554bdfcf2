// What this node tells the others, and what they tell it.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>
#include <string>

namespace briarglade::internal {

namespace {

constexpr Millis kNewsPeriod = Millis(150);
// Each so many news go to other zones too: requests mostly stay in their own,
// and bytes between zones are dear.
constexpr uint64_t kNewsForAll = 2;

} // namespace

std::vector<GroupId> EntryReduction::OwnSuspects() const
{
  return m_state.m_gateway.m_book.OwnSuspects(m_now);
}

NodeNews EntryReduction::MakeNews() const
{
  NodeNews news;
  news.m_node = m_state.m_settings.m_node;
  news.m_incarnation = m_state.m_incarnation;
  news.m_isLeaving = m_state.m_phase != EntryPhase::Serving;
  news.m_isReady = IsReady(m_state);
  news.m_hasTraffic = m_state.m_hasTraffic;
  news.m_loads = m_state.m_gateway.m_book.OwnLoad();
  news.m_suspects = OwnSuspects();
  news.m_isStoreLost = IsStoreLost();
  news.m_isStoreDisturbed =
    m_state.m_isFollower &&
    (news.m_isStoreLost || m_now < m_state.m_disturbedUntil);
  for (const auto& [feed, follower] : m_state.m_feeds) {
    news.m_complete.push_back(m_state.m_rows.CompleteUpTo(feed));
  }
  news.m_rosterKnownUpTo = m_state.m_roster.KnownUpTo();
  if (m_state.m_control.IsActive()) {
    news.m_ended = m_state.m_control.EndedGroups();
    for (const ReplicaGroup& group : m_state.m_control.OpenedGroups()) {
      news.m_opened.push_back(
        OpenedGroup{ group.m_id, group.m_generation, group.m_members });
    }
  }
  return news;
}

void EntryReduction::SendNews()
{
  const bool isUrgent = m_state.m_hasUrgentNews;
  if (m_now - m_state.m_newsSentAt < kNewsPeriod && !isUrgent) {
    return;
  }
  m_state.m_newsSentAt = m_now;
  m_state.m_hasUrgentNews = false;
  const bool isForAll = isUrgent || ++m_state.m_newsCount % kNewsForAll == 0;
  NodeNews news = MakeNews();
  news.m_crashes = std::move(m_state.m_crashNews);
  m_state.m_crashNews.clear();
  news.m_leavingServers = std::move(m_state.m_leavingNews);
  m_state.m_leavingNews.clear();
  news.m_handed = std::move(m_state.m_toHandOn);
  m_state.m_toHandOn.clear();
  for (const auto& [id, node] : m_state.m_directory.Others()) {
    if (isForAll || node.m_row.m_zone == m_state.m_settings.m_zone) {
      m_effects.emplace_back(
        SendNodeNews{ id, node.m_row.m_peerAddress, news });
    }
  }
}

void EntryReduction::UpdateRoster()
{
  for (const auto& [id, node] : m_state.m_directory.Others()) {
    if (!m_state.m_directory.IsAlive(m_now, id)) {
      m_state.m_gateway.m_book.ForgetPeer(id);
    }
  }
  m_state.m_nodeCount =
    static_cast<uint32_t>(m_state.m_directory.Alive(m_now).size());
  RosterChanged roster;
  roster.m_nodes = m_state.m_roster.Nodes(m_now);
  roster.m_validUntil =
    m_state.m_roster.ValidUntil(m_now, m_state.m_storeClock);
  const bool hasShare = m_now < roster.m_validUntil;
  if (hasShare != m_state.m_hasFleetShare) {
    m_state.m_hasFleetShare = hasShare;
    const Millis age =
      m_state.m_storeClock.At(m_now) - m_state.m_roster.KnownUpTo();
    Log(LogLevel::Info,
        hasShare ? "fleet-share-gained" : "fleet-share-lost",
        { { "nodes",
            std::to_string(roster.m_nodes ? roster.m_nodes->size() : 0) },
          { "roster-age-ms", std::to_string(age.Count()) } });
  }
  ToGateway(roster);
}

// Learns as of when the sender knows every row, if this node knows as much.
void EntryReduction::TakeRosterKnowledge(const NodeNews& aNews)
{
  m_state.m_storeClock.Note(m_now, aNews.m_rosterKnownUpTo);
  if (!IsBehind(aNews, Feed::Own)) {
    m_state.m_roster.OnKnownUpTo(aNews.m_rosterKnownUpTo);
  }
}

void EntryReduction::On(const NewsReceived& aReceived)
{
  const NodeNews& news = aReceived.m_news;
  if (news.m_node == m_state.m_settings.m_node) {
    return;
  }
  m_state.m_directory.OnNews(m_now, news);
  m_state.m_hasTraffic = m_state.m_hasTraffic || news.m_hasTraffic;
  ToGateway(PeerLoad{ news.m_node, news.m_loads, news.m_suspects });
  for (const CrashNotice& notice : news.m_crashes) {
    ToGateway(notice);
  }
  for (const ServerRun& server : news.m_leavingServers) {
    TakeLeaving(server);
  }
  TakeEnded(news.m_ended);
  TakeHanded(news);
  TakeRosterKnowledge(news);
  // The members may have been started anew, and be cold, by entries that the
  // holder knows and this node doesn't.
  if (!IsBehind(news, Feed::Servers)) {
    TakeOpened(news.m_opened);
  }
  AskIfBehind(news);
  if (news.m_wantsRows) {
    AnswerWithRows(news);
  }
}

// Takes the word of the holder of the lease on groups that the store doesn't
// show yet.
void EntryReduction::TakeOpened(const std::vector<OpenedGroup>& aGroups)
{
  for (const OpenedGroup& group : aGroups) {
    for (size_t rank = 0; rank < group.m_members.size(); ++rank) {
      const auto server = m_state.m_servers.find(group.m_members[rank]);
      const bool isNews =
        server != m_state.m_servers.end() &&
        (!server->second.m_place ||
         server->second.m_place->m_generation < group.m_generation);
      if (!isNews) {
        continue;
      }
      GroupPlace place;
      place.m_group = group.m_group;
      place.m_generation = group.m_generation;
      place.m_rank = static_cast<uint32_t>(rank);
      place.m_phase = rank == 0 ? GroupPhase::Open : GroupPhase::Ready;
      server->second.m_place = place;
      m_state.m_isBackendsStale = true;
    }
  }
}

// Stops the use of groups that the holder of the lease is ending.
void EntryReduction::TakeEnded(const std::vector<GroupId>& aGroups)
{
  std::vector<GroupId> fresh;
  for (const GroupId& group : aGroups) {
    if (m_state.m_groups.count(group) > 0 &&
        m_state.m_endedGroups.insert(group).second) {
      fresh.push_back(group);
    }
  }
  if (!fresh.empty()) {
    UpdateBackends();
    ToGateway(GroupsEnded{ std::move(fresh) });
  }
}

} // namespace briarglade::internal
