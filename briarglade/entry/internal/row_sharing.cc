// Who follows the store, and how its changes reach the other nodes. Calls to
// the store don't grow with the number of nodes.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>

namespace briarglade::internal {

namespace {

// A feed that fails for this long is one that the store doesn't serve to this
// node.
constexpr Millis kStoreLostTime = Millis(700);
// The time between two calls of a follower.
constexpr Millis kOperatorGap = Millis(50);
constexpr Millis kOtherGap = Millis(250);
// The other nodes look themselves now and then, before the store's history
// ends; more often while they don't know whether it turns them away.
constexpr Millis kLookGap = Millis(15'000);
// While other nodes tell a node all changes, it hardly needs to: it asks them
// for those that it lacks.
constexpr Millis kToldLookGap = Millis(300'000);
constexpr Millis kDoubtTime = Millis(1'000);
constexpr Millis kLostLookGap = Millis(2'000);
// Changes that another node has had for this long won't come by themselves.
constexpr Millis kBehindTime = Millis(100);
// Another node's word that the store is disturbed holds until after its next
// news, also if its relay changes.
constexpr Millis kDisturbedWordTime = Millis(1'500);

// What a node that doesn't follow the store goes by.
struct OwnLooks
{
  bool m_isFollower = false;
  // Other nodes' news say up to when this one knows all changes, and lately.
  bool m_isToldLately = false;
};

Millis GapOf(Millis aNow,
             const FeedFollower& aFollower,
             Feed aFeed,
             const OwnLooks& aLooks)
{
  if (aLooks.m_isFollower) {
    return aFeed == Feed::Operator ? kOperatorGap : kOtherGap;
  }
  const std::optional<Millis> failingSince = aFollower.FailingSince();
  if (!failingSince) {
    return aLooks.m_isToldLately ? kToldLookGap : kLookGap;
  }
  return aNow - *failingSince < kDoubtTime ? kOtherGap : kLostLookGap;
}

} // namespace

bool EntryReduction::IsStoreLost() const
{
  return std::any_of(
    m_state.m_feeds.begin(), m_state.m_feeds.end(), [&](const auto& aEntry) {
      const std::optional<Millis> since = aEntry.second.FailingSince();
      return since && m_now - *since >= kStoreLostTime;
    });
}

// Whether entries may be missing in the store that will be back.
bool EntryReduction::IsStoreDisturbed() const
{
  return IsStoreLost() || m_now < m_state.m_disturbedUntil ||
         m_now < m_state.m_toldDisturbedUntil;
}

void EntryReduction::ChooseFollowers()
{
  const std::vector<NodeId> followers = m_state.m_directory.Followers(
    m_now, IsStoreLost(), m_state.m_lease.Row().m_holder);
  const NodeId& self = m_state.m_settings.m_node;
  const bool wasFollower = m_state.m_isFollower;
  m_state.m_isFollower =
    std::find(followers.begin(), followers.end(), self) != followers.end();
  m_state.m_isFirstFollower = !followers.empty() && followers.front() == self;
  if (wasFollower != m_state.m_isFollower) {
    Log(LogLevel::Info,
        m_state.m_isFollower ? "store-followed" : "store-left-to-others",
        { { "first", followers.empty() ? "" : followers.front().Value() },
          { "nodes", std::to_string(m_state.m_nodeCount) } });
  }
  const StoreClock& clock = m_state.m_storeClock;
  const bool isToldLately =
    clock.IsKnown() &&
    m_state.m_roster.KnowledgeAge(m_now, clock) <= kRosterFreshTime;
  const OwnLooks looks{ m_state.m_isFollower, isToldLately };
  for (auto& [feed, follower] : m_state.m_feeds) {
    follower.SetGap(GapOf(m_now, follower, feed, looks));
  }
}

// Lets the others have what has changed in a feed since a version.
void EntryReduction::HandOn(Feed aFeed, RowVersion aAfter)
{
  const bool isFirstRead = aAfter == RowVersion();
  if (!m_state.m_isFirstFollower || isFirstRead) {
    return;
  }
  HandedRows changes = m_state.m_rows.ChangesAfter(aFeed, aAfter);
  if (!changes.m_rows.empty()) {
    m_state.m_news.m_next.m_handed.push_back(std::move(changes));
  }
}

// Another node says that entries may be missing in the store that will be back.
void EntryReduction::NoteToldDisturbed()
{
  m_state.m_toldDisturbedUntil = m_now + kDisturbedWordTime;
}

void EntryReduction::TakeHanded(const std::vector<HandedRows>& aHanded)
{
  if (!aHanded.empty()) {
    m_state.m_behindSince.reset();
  }
  for (const HandedRows& handed : aHanded) {
    TakeRows(m_state.m_rows.ApplyHanded(handed));
  }
}

// Tells whether the sender knows changes of a feed that this node lacks.
bool EntryReduction::IsBehind(const NodeNews& aNews, Feed aFeed) const
{
  return aNews.m_complete[static_cast<size_t>(aFeed)] >
         m_state.m_rows.CompleteUpTo(aFeed);
}

// Asks a node that has changes which this one lacks, if they don't come.
void EntryReduction::AskIfBehind(const NodeNews& aNews)
{
  bool isBehind = false;
  for (const auto& [feed, follower] : m_state.m_feeds) {
    isBehind = isBehind || IsBehind(aNews, feed);
  }
  const auto sender = m_state.m_directory.Others().find(aNews.m_node);
  if (!isBehind || sender == m_state.m_directory.Others().end()) {
    return;
  }
  if (!m_state.m_behindSince) {
    m_state.m_behindSince = m_now;
  }
  if (m_now - *m_state.m_behindSince < kBehindTime) {
    return;
  }
  m_state.m_behindSince.reset();
  NodeNews question = MakeNews();
  question.m_wantsRows = true;
  Send({ aNews.m_node }, std::move(question));
}

// Answers a node that lacks changes.
void EntryReduction::AnswerWithRows(const NodeNews& aNews)
{
  const auto asker = m_state.m_directory.Others().find(aNews.m_node);
  if (asker == m_state.m_directory.Others().end()) {
    return;
  }
  NodeNews answer = MakeNews();
  for (const auto& [feed, follower] : m_state.m_feeds) {
    HandedRows changes = m_state.m_rows.ChangesAfter(
      feed, aNews.m_complete[static_cast<size_t>(feed)]);
    if (!changes.m_rows.empty()) {
      answer.m_handed.push_back(std::move(changes));
    }
  }
  if (!answer.m_handed.empty()) {
    Send({ aNews.m_node }, std::move(answer));
  }
}

} // namespace briarglade::internal
