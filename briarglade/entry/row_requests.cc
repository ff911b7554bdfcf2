// Choice of the time and the receiver of requests for missing changes.

#include "briarglade/entry/row_requests.h"

#include <algorithm>
#include <utility>

#include "briarglade/base/erase_if.h"

namespace briarglade {

namespace {

// A node that has lacked another node's changes for this long requests them;
// they are not expected to arrive unrequested.
constexpr Millis kBehindTimeout = Millis(100);
// The least time between two requests.
constexpr Millis kRequestGap = Millis(100);
// A request that was not answered for this long goes to another node. Within
// this time a link of 14 Mbit/s transfers 800 KB; earlier requests would fill
// it with copies of the same answer.
constexpr Millis kAnswerTimeout = Millis(500);
// A node that was last heard of longer ago is not asked.
constexpr Millis kSourceLifetime = Millis(2'000);

} // namespace

void RowRequests::OnVersions(Millis aNow,
                             Millis aSentAt,
                             const NodeId& aNode,
                             const std::vector<RowVersion>& aTheirs,
                             const FeedVersions& aOwn)
{
  bool isAhead = false;
  for (size_t feed = 0; feed < std::min(aTheirs.size(), kFeedCount); ++feed) {
    if (m_latest[feed] <= aOwn[feed]) {
      m_behindSince[feed].reset();
    }
    m_latest[feed] = std::max(m_latest[feed], aTheirs[feed]);
    if (aTheirs[feed] > aOwn[feed]) {
      isAhead = true;
      m_behindSince[feed] = m_behindSince[feed].value_or(aNow);
    }
  }
  if (!isAhead) {
    m_sources.erase(aNode);
    return;
  }
  const auto [source, isNew] = m_sources.try_emplace(aNode);
  Millis& heardAt = source->second.m_heardAt;
  heardAt = isNew ? aSentAt : std::max(heardAt, aSentAt);
}

void RowRequests::OnAnswer(const NodeId& aNode)
{
  if (m_asked == aNode) {
    m_asked.reset();
  }
}

std::optional<Millis> RowRequests::BehindSince(Feed aFeed,
                                               const FeedVersions& aOwn) const
{
  const auto feed = static_cast<size_t>(aFeed);
  return m_latest[feed] > aOwn[feed] ? m_behindSince[feed] : std::nullopt;
}

bool RowRequests::IsDue(Millis aNow, const FeedVersions& aOwn) const
{
  const Millis gap = m_asked ? kAnswerTimeout : kRequestGap;
  if (aNow - m_askedAt < gap) {
    return false;
  }
  for (const Feed feed : { Feed::Operator, Feed::Servers, Feed::Own }) {
    const std::optional<Millis> since = BehindSince(feed, aOwn);
    if (since && aNow - *since >= kBehindTimeout) {
      return true;
    }
  }
  return false;
}

std::optional<NodeId> RowRequests::Next(Millis aNow, const FeedVersions& aOwn)
{
  if (!IsDue(aNow, aOwn)) {
    return std::nullopt;
  }
  EraseIf(m_sources, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_heardAt > kSourceLifetime;
  });
  // The node that was asked longest ago, and among those that were not asked
  // the one heard last: it is the most likely to answer.
  const auto next = std::min_element(
    m_sources.begin(), m_sources.end(), [](const auto& aA, const auto& aB) {
      return std::make_pair(aA.second.m_askedAt, aB.second.m_heardAt) <
             std::make_pair(aB.second.m_askedAt, aA.second.m_heardAt);
    });
  if (next == m_sources.end()) {
    return std::nullopt;
  }
  m_asked = next->first;
  m_askedAt = aNow;
  next->second.m_askedAt = aNow;
  return m_asked;
}

} // namespace briarglade
