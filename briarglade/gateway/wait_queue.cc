// Orders the requests that wait for a backend and estimates their wait.

#include "briarglade/gateway/wait_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace briarglade {

namespace {

// Weights of the latest sample in the moving averages.
constexpr double kFreedIntervalWeight = 0.1;
constexpr double kFirstBytesWeight = 0.05;
// The quantile that is followed as the added delay, and the step of each sample
// in milliseconds. A low quantile, as most requests of a surge wait at the
// servers, which says nothing of a request that is sent when they have room.
constexpr double kAddedDelayQuantile = 0.25;
constexpr double kAddedDelayStep = 4;
// Time constant of the usage decay: a request started this long ago still
// counts 1/e.
constexpr double kUsageDecayMillis = 1'000;
// Longer intervals are cut to this: they show an idle period, not the rate at
// which backends become free.
constexpr double kMaxFreedIntervalMillis = 1'000;

} // namespace

bool WaitingRequest::operator<(const WaitingRequest& aOther) const
{
  return std::tie(m_priority, m_startBy, m_handle) <
         std::tie(aOther.m_priority, aOther.m_startBy, aOther.m_handle);
}

void WaitQueue::Add(Millis aNow, const WaitingRequest& aWaiting)
{
  if (m_waiting.empty()) {
    m_waitingSince = aNow;
  }
  m_waiting.insert(aWaiting);
}

bool WaitQueue::IsLate(Millis aNow, const WaitingRequest& aWaiting) const
{
  const bool isTimed = aWaiting.m_idleFirstEvent > Millis();
  const Millis expected =
    isTimed
      ? aWaiting.m_idleFirstEvent + Millis(static_cast<int64_t>(m_addedDelay))
      : Millis(static_cast<int64_t>(m_meanTimeToFirstBytes));
  return aNow + expected > aWaiting.m_goalAt;
}

WaitQueue::Rank WaitQueue::RankOf(Millis aNow,
                                  const WaitingRequest& aWaiting) const
{
  const bool isLate = IsLate(aNow, aWaiting);
  const bool isTimed = aWaiting.m_idleFirstEvent > Millis();
  return { !aWaiting.m_hasBegun,
           isTimed && isLate,
           isTimed && isLate ? 0 : aWaiting.m_priority,
           isLate,
           UsageStep(aNow, aWaiting.m_account),
           isLate ? aWaiting.m_startBy : aWaiting.m_goalAt,
           aWaiting.m_handle };
}

std::optional<WaitingRequest> WaitQueue::Next(Millis aNow) const
{
  const auto first =
    std::min_element(m_waiting.begin(),
                     m_waiting.end(),
                     [&](const WaitingRequest& aA, const WaitingRequest& aB) {
                       return RankOf(aNow, aA) < RankOf(aNow, aB);
                     });
  return first == m_waiting.end() ? std::nullopt
                                  : std::optional<WaitingRequest>(*first);
}

bool WaitQueue::IsFirst(Millis aNow, const WaitingRequest& aWaiting) const
{
  const Rank rank = RankOf(aNow, aWaiting);
  return std::all_of(
    m_waiting.begin(), m_waiting.end(), [&](const WaitingRequest& aOther) {
      return rank < RankOf(aNow, aOther);
    });
}

void WaitQueue::RecordTimeToFirstBytes(Millis aElapsed)
{
  const auto elapsed = static_cast<double>(aElapsed.Count());
  m_meanTimeToFirstBytes +=
    (elapsed - m_meanTimeToFirstBytes) * kFirstBytesWeight;
}

void WaitQueue::RecordTimeToFirstEvent(Millis aElapsed, Millis aIdleFirstEvent)
{
  const auto added =
    static_cast<double>(std::max(Millis(), aElapsed - aIdleFirstEvent).Count());
  const double below = added < m_addedDelay ? 1 : 0;
  m_addedDelay = std::max(
    0.0, m_addedDelay + kAddedDelayStep * (kAddedDelayQuantile - below));
}

double WaitQueue::Usage::DecayedAt(Millis aNow) const
{
  const auto elapsed = static_cast<double>((aNow - m_updatedAt).Count());
  return m_requests * std::exp(-std::max(0.0, elapsed) / kUsageDecayMillis);
}

int WaitQueue::UsageStep(Millis aNow, const AccountId& aAccount) const
{
  const auto found = m_usage.find(aAccount);
  // Logarithmic steps: each covers twice as much usage as the one before.
  return found == m_usage.end()
           ? 0
           : static_cast<int>(std::log2(1 + found->second.DecayedAt(aNow)));
}

void WaitQueue::RecordStarted(Millis aNow, const AccountId& aAccount)
{
  Usage& usage = m_usage[aAccount];
  usage = Usage{ usage.DecayedAt(aNow) + 1, aNow };
}

void WaitQueue::RecordBackendFreed(Millis aNow)
{
  const double interval =
    std::min(kMaxFreedIntervalMillis,
             static_cast<double>((aNow - m_lastFreedAt).Count()));
  m_meanFreedInterval +=
    (interval - m_meanFreedInterval) * kFreedIntervalWeight;
  m_lastFreedAt = aNow;
}

Millis WaitQueue::ExpectedWait(Millis aNow,
                               int32_t aPriority,
                               const AccountId& aAccount) const
{
  const int step = UsageStep(aNow, aAccount);
  const auto isAhead = [&](const WaitingRequest& aWaiting) {
    const bool isAsUrgent = aWaiting.m_priority == aPriority &&
                            UsageStep(aNow, aWaiting.m_account) <= step;
    return aWaiting.m_priority < aPriority || isAsUrgent;
  };
  return WaitBehind(aNow,
                    static_cast<size_t>(std::count_if(
                      m_waiting.begin(), m_waiting.end(), isAhead)));
}

Millis WaitQueue::ExpectedWait(Millis aNow,
                               const WaitingRequest& aWaiting) const
{
  const Rank rank = RankOf(aNow, aWaiting);
  const auto isAhead = [&](const WaitingRequest& aOther) {
    return RankOf(aNow, aOther) < rank;
  };
  return WaitBehind(aNow,
                    static_cast<size_t>(std::count_if(
                      m_waiting.begin(), m_waiting.end(), isAhead)));
}

Millis WaitQueue::WaitBehind(Millis aNow, size_t aAhead) const
{
  // If no backend has become free since requests began to wait, the mean
  // interval is out of date; the time elapsed since then is used if longer.
  const Millis stalledSince = std::max(m_lastFreedAt, m_waitingSince);
  const double stalled =
    m_waiting.empty() ? 0 : static_cast<double>((aNow - stalledSince).Count());
  const double interval =
    std::max(m_meanFreedInterval, std::min(stalled, kMaxFreedIntervalMillis));
  return Millis(
    static_cast<int64_t>(interval * static_cast<double>(aAhead + 1)));
}

Millis WaitQueue::ReturnAfter(Millis aNow, Millis aMin, Millis aMax)
{
  const Millis at = std::max(aNow + aMin, m_lastReturnAt + WaitBehind(aNow, 0));
  if (at - aNow <= aMax) {
    m_lastReturnAt = at;
  }
  return at - aNow;
}

std::vector<WaitingRequest> WaitQueue::Overdue(Millis aNow) const
{
  std::vector<WaitingRequest> overdue;
  std::copy_if(
    m_waiting.begin(),
    m_waiting.end(),
    std::back_inserter(overdue),
    [&](const WaitingRequest& aWaiting) { return aWaiting.m_startBy <= aNow; });
  return overdue;
}

} // namespace briarglade
