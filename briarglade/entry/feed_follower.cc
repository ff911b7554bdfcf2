// Schedules the reads and watch calls of one store feed.

#include "briarglade/entry/feed_follower.h"

#include <algorithm>

namespace briarglade {

namespace {

// The delay after a failed call. It doubles with each consecutive failure, up
// to kMaxDoublings times.
constexpr Millis kInitialRetryDelay = Millis(100);
constexpr uint32_t kMaxDoublings = 2;

} // namespace

std::optional<FeedCall> FeedFollower::Tick(Millis aNow)
{
  // A full read does not wait for the gap between calls.
  const Millis allowedAt = m_mustReadAll ? m_nextAt : m_calledAt + m_pace.m_gap;
  if (m_isCalling || aNow < std::max(m_nextAt, allowedAt)) {
    return std::nullopt;
  }
  m_isCalling = true;
  m_calledAt = aNow;
  if (m_mustReadAll) {
    return ReadFeed{ m_pace.m_feed };
  }
  // After a failure the store is asked for an answer at once, so that a call
  // that gets none is given up early.
  const Millis wait = m_failures > 0 ? Millis() : m_pace.m_wait;
  return WatchFeed{ m_pace.m_feed, m_version, wait };
}

void FeedFollower::OnAnswered(Millis aNow, const FeedAnswered& aAnswer)
{
  m_isCalling = false;
  if (aAnswer.m_status == StoreStatus::Ok) {
    m_failures = 0;
    m_failingSince.reset();
    m_answeredAt = aNow;
    m_isKnown = m_isKnown || aAnswer.m_isWhole;
    m_mustReadAll = m_mustReadAll && !aAnswer.m_isWhole;
    m_version = std::max(m_version, aAnswer.m_version);
    return;
  }
  if (aAnswer.m_status == StoreStatus::HistoryGone) {
    m_mustReadAll = true;
    m_nextAt = aNow;
    return;
  }
  m_lastFailedCallAt = m_calledAt;
  if (!m_failingSince) {
    m_failingSince = m_calledAt;
  }
  const uint32_t doublings = std::min(m_failures, kMaxDoublings);
  m_nextAt = aNow + kInitialRetryDelay * (int64_t{ 1 } << doublings);
  ++m_failures;
}

} // namespace briarglade
