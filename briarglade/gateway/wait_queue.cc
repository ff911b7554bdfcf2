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
  const Millis expected =
    aWaiting.m_idleFirstEvent > Millis()
      ? aWaiting.m_idleFirstEvent
      : Millis(static_cast<int64_t>(m_meanTimeToFirstBytes));
  return aNow + expected > aWaiting.m_goalAt;
}

int WaitQueue::SizeStep(const WaitingRequest& aWaiting)
{
  // Each step covers twice as many tokens as the one before.
  return static_cast<int>(std::log2(1.0 + aWaiting.m_promptTokens));
}

bool WaitQueue::IsUnderserved(Millis aNow, const WaitingRequest& aWaiting) const
{
  // One that has become late does not go before those that can be on time.
  const bool isEligible = aWaiting.m_idleFirstEvent > Millis() &&
                          (aWaiting.m_isAlwaysLate || !IsLate(aNow, aWaiting));
  return isEligible && (m_byPriority.IsUnderserved(aNow, aWaiting.m_priority) ||
                        m_byAccount.IsUnderserved(aNow, aWaiting.m_account) ||
                        m_bySize.IsUnderserved(aNow, SizeStep(aWaiting)));
}

WaitQueue::Rank WaitQueue::RankOf(Millis aNow,
                                  const WaitingRequest& aWaiting) const
{
  const bool isLate = IsLate(aNow, aWaiting);
  const bool hasTimes = aWaiting.m_idleFirstEvent > Millis();
  const Millis due = isLate ? aWaiting.m_startBy : aWaiting.m_goalAt;
  return Rank(hasTimes && !IsUnderserved(aNow, aWaiting),
              hasTimes && isLate,
              aWaiting.m_priority,
              isLate,
              UsageStep(aNow, aWaiting.m_account),
              due,
              aWaiting.m_handle);
}

std::optional<WaitingRequest> WaitQueue::Next(
  Millis aNow,
  const std::set<RequestHandle>& aBlocked) const
{
  std::optional<WaitingRequest> first;
  std::optional<Rank> firstRank;
  for (const WaitingRequest& waiting : m_waiting) {
    if (aBlocked.count(waiting.m_handle) > 0) {
      continue;
    }
    const Rank rank = RankOf(aNow, waiting);
    if (!firstRank || rank < *firstRank) {
      first = waiting;
      firstRank = rank;
    }
  }
  return first;
}

bool WaitQueue::IsFirst(Millis aNow, const WaitingRequest& aWaiting) const
{
  const Rank rank = RankOf(aNow, aWaiting);
  return std::none_of(
    m_waiting.begin(), m_waiting.end(), [&](const WaitingRequest& aOther) {
      return RankOf(aNow, aOther) < rank;
    });
}

void WaitQueue::RecordArrived(Millis aNow, const WaitingRequest& aWaiting)
{
  m_byPriority.RecordArrived(aNow, aWaiting.m_priority);
  m_byAccount.RecordArrived(aNow, aWaiting.m_account);
  m_bySize.RecordArrived(aNow, SizeStep(aWaiting));
}

void WaitQueue::RecordStarted(Millis aNow, const WaitingRequest& aWaiting)
{
  m_byPriority.RecordStarted(aNow, aWaiting.m_priority);
  m_byAccount.RecordStarted(aNow, aWaiting.m_account);
  m_bySize.RecordStarted(aNow, SizeStep(aWaiting));
  if (IsLate(aNow, aWaiting)) {
    const double interval =
      std::min(kMaxFreedIntervalMillis,
               static_cast<double>((aNow - m_lastLateAt).Count()));
    m_meanLateInterval +=
      (interval - m_meanLateInterval) * kFreedIntervalWeight;
    m_lastLateAt = aNow;
  }
}

double WaitQueue::LateInterval(Millis aNow) const
{
  const Millis since = std::max(m_lastLateAt, m_waitingSince);
  const double stalled =
    m_waiting.empty() ? 0 : static_cast<double>((aNow - since).Count());
  return std::max({ FreedInterval(aNow),
                    m_meanLateInterval,
                    std::min(stalled, kMaxFreedIntervalMillis) });
}

Millis WaitQueue::ExpectedWait(Millis aNow,
                               const WaitingRequest& aWaiting) const
{
  const Rank rank = RankOf(aNow, aWaiting);
  double onTimeAhead = 0;
  double lateAhead = 0;
  for (const WaitingRequest& other : m_waiting) {
    const bool isOtherLate = IsLate(aNow, other);
    lateAhead += isOtherLate ? 1 : 0;
    onTimeAhead += !isOtherLate && RankOf(aNow, other) < rank ? 1 : 0;
  }
  const Millis wait(
    static_cast<int64_t>(FreedInterval(aNow) * (onTimeAhead + 1)));
  if (!IsLate(aNow + wait, aWaiting) || IsUnderserved(aNow, aWaiting)) {
    return wait;
  }
  return wait +
         Millis(static_cast<int64_t>(LateInterval(aNow) * (lateAhead + 1)));
}

Millis WaitQueue::ReturnAfter(Millis aNow, Millis aEarliest, Millis aLongest)
{
  const Millis at = std::max(m_nextReturnAt, aNow + aEarliest);
  // A caller without the time to wait for it takes nobody's place.
  if (at - aNow <= aLongest) {
    m_nextReturnAt =
      at + Millis(std::max<int64_t>(
             1, static_cast<int64_t>(std::ceil(m_meanFreedInterval))));
  }
  return at - aNow;
}

void WaitQueue::RecordTimeToFirstBytes(Millis aElapsed)
{
  const auto elapsed = static_cast<double>(aElapsed.Count());
  m_meanTimeToFirstBytes +=
    (elapsed - m_meanTimeToFirstBytes) * kFirstBytesWeight;
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
  const auto ahead = std::count_if(m_waiting.begin(), m_waiting.end(), isAhead);
  return Millis(
    static_cast<int64_t>(FreedInterval(aNow) * static_cast<double>(ahead + 1)));
}

double WaitQueue::FreedInterval(Millis aNow) const
{
  // If no backend has become free since requests began to wait, the mean
  // interval is out of date; the time elapsed since then is used if longer.
  const Millis stalledSince = std::max(m_lastFreedAt, m_waitingSince);
  const double stalled =
    m_waiting.empty() ? 0 : static_cast<double>((aNow - stalledSince).Count());
  return std::max(m_meanFreedInterval,
                  std::min(stalled, kMaxFreedIntervalMillis));
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
