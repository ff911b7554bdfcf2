// Schedules the reads and watch calls of one store feed.

#include "briarglade/entry/feed_follower.h"

#include <algorithm>

namespace briarglade {

namespace {

// The delay after a failed call. It doubles with each consecutive failure, up
// to kMaxDoublings times.
constexpr Millis kInitialRetryDelay = Millis(100);
constexpr uint32_t kMaxDoublings = 2;

// A wait for changes is overdue this long after its end. A slow store answers
// within this time.
constexpr Millis kOverdueTime = Millis(500);

} // namespace

// Returns whether a wait for changes should have been answered by now. A call
// that asks for an answer at once fails soon enough by itself.
bool FeedFollower::IsOverdue(Millis aNow) const
{
  return m_call && !m_earlierCall && m_call->m_times.m_wait > Millis() &&
         aNow - m_calledAt >= m_call->m_times.m_wait + kOverdueTime;
}

FeedCall FeedFollower::MakeCall(Millis aNow, Millis aWait)
{
  m_lastCall = FeedCallId(m_lastCall.Value() + 1);
  const Millis wait = m_mustReadAll ? Millis() : aWait;
  m_call = PendingCall{ m_lastCall, CallTimes{ aNow, wait } };
  m_calledAt = aNow;
  if (m_mustReadAll) {
    return ReadFeed{ m_pace.m_feed, m_lastCall };
  }
  return WatchFeed{ m_pace.m_feed, m_version, aWait, m_lastCall };
}

std::optional<FeedCall> FeedFollower::Tick(Millis aNow)
{
  if (IsOverdue(aNow)) {
    m_earlierCall = m_call;
    m_overdueSince = m_calledAt;
    return MakeCall(aNow, Millis());
  }
  // A full read does not wait for the gap between calls.
  const Millis allowedAt =
    m_mustReadAll ? m_nextAt : std::max(m_calledAt + m_pace.m_gap, m_restUntil);
  if (m_call || aNow < std::max(m_nextAt, allowedAt)) {
    return std::nullopt;
  }
  // After a failure the store is asked for an answer at once, so that a call
  // that gets none is given up early.
  return MakeCall(aNow, m_failures > 0 ? Millis() : m_pace.m_wait);
}

std::optional<FeedCall> FeedFollower::CheckNow(Millis aNow)
{
  const bool isWaiting =
    m_call && !m_earlierCall && m_call->m_times.m_wait > Millis();
  if (m_mustReadAll || (m_call && !isWaiting)) {
    return std::nullopt;
  }
  if (m_call) {
    m_earlierCall = m_call;
  }
  return MakeCall(aNow, Millis());
}

std::optional<CallTimes> FeedFollower::OnAnswered(Millis aNow,
                                                  const FeedAnswered& aAnswer)
{
  const bool isCurrent = m_call && m_call->m_id == aAnswer.m_call;
  std::optional<PendingCall>& call = isCurrent ? m_call : m_earlierCall;
  std::optional<CallTimes> accepted;
  if (call && call->m_id == aAnswer.m_call) {
    if (aAnswer.m_status == StoreStatus::Ok) {
      accepted = call->m_times;
    }
    call.reset();
  }
  if (aAnswer.m_status == StoreStatus::Ok) {
    // A wait that began before a check that failed shows nothing about now.
    const bool isOutdated =
      !isCurrent && !m_overdueSince && m_failingSince.has_value();
    if (!isOutdated) {
      m_failures = 0;
      m_failingSince.reset();
      m_overdueSince.reset();
    }
    m_answeredAt = aNow;
    m_isKnown = m_isKnown || aAnswer.m_isWhole;
    m_mustReadAll = m_mustReadAll && !aAnswer.m_isWhole;
    m_version = std::max(m_version, aAnswer.m_version);
  } else if (isCurrent) {
    OnFailed(aNow, aAnswer.m_status);
  } else if (!m_failingSince) {
    // The call beside the overdue one has no answer yet, either.
    m_failingSince = m_overdueSince;
  }
  return accepted;
}

void FeedFollower::OnFailed(Millis aNow, StoreStatus aStatus)
{
  if (aStatus == StoreStatus::HistoryGone) {
    m_mustReadAll = true;
    m_nextAt = aNow;
    return;
  }
  m_lastFailedCallAt = m_calledAt;
  if (!m_failingSince) {
    m_failingSince = m_overdueSince.value_or(m_calledAt);
  }
  const uint32_t doublings = std::min(m_failures, kMaxDoublings);
  m_nextAt = aNow + kInitialRetryDelay * (int64_t{ 1 } << doublings);
  ++m_failures;
}

} // namespace briarglade
