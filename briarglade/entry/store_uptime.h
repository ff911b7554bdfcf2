// Tells an outage of the store from calls of some nodes that fail.
//
// A store that refuses some nodes goes on serving others. If it has accepted
// calls of any nodes one after the other without a long gap, it was available,
// so that no entry expired and a missing entry was removed. In an outage it
// accepts no call of any node.
//
// What counts is when the store accepted a call, not when it answered: a call
// that waits for changes and was accepted before an outage may be answered up
// to 1,000 ms into it. A call was accepted no earlier than it was made, and no
// later than it was answered, less the time for which it waited in vain.
//
// Load pattern: any number of nodes, but not all, are refused or get no
// response for seconds at a time, while operators and servers write to the
// store as usual.
//
// Example:
//   uptime.OnAccepted(call.m_madeAt, answer.m_storeTime);
//   uptime.OnReported(*update.m_storePeriod);
//   bool wasAvailable = uptime.At(clock.At(now)) >= Millis(2'300);

#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "briarglade/base/millis.h"

namespace briarglade {

// A time of the store's clock in which it accepted calls without a long gap.
struct StorePeriod
{
  // By when its first call was accepted, and when its last one was made; the
  // first may be later than the second.
  Millis m_since;
  Millis m_until;
};

// Collects the periods that are known to one node.
class StoreUptime
{
public:
  // The longest gap by default: a follower calls at least each 1,050 ms, a node
  // that takes its place calls up to 600 ms later, and 100 ms are for the call.
  static constexpr Millis kMaxGap = Millis(1'750);

  // aHeartbeat: the interval at which a server renews its entry, which expires
  // after three of them without renewal. An outage in which no entry expires,
  // as it is shorter than two, may count as a gap or not.
  explicit StoreUptime(Millis aHeartbeat = Millis(1'200))
    : m_maxGap(std::min(kMaxGap, aHeartbeat * 2 - kPrecision))
  {
  }

  // Records a call that the store has accepted, by the times of the store's
  // clock between which it did so.
  void OnAccepted(Millis aNotBefore, Millis aNotAfter)
  {
    OnReported(StorePeriod{ aNotAfter, aNotBefore });
  }

  // Records a period that another node knows.
  void OnReported(StorePeriod aPeriod)
  {
    // Each union may be within reach of a period that was not before.
    while (true) {
      const auto other = std::find_if(
        m_periods.begin(), m_periods.end(), [&](const StorePeriod& aKnown) {
          return IsContinuous(aKnown, aPeriod);
        });
      if (other == m_periods.end()) {
        break;
      }
      aPeriod.m_since = std::min(aPeriod.m_since, other->m_since);
      aPeriod.m_until = std::max(aPeriod.m_until, other->m_until);
      m_periods.erase(other);
    }
    const auto later = std::find_if(
      m_periods.begin(), m_periods.end(), [&](const StorePeriod& aKnown) {
        return aKnown.m_until > aPeriod.m_until;
      });
    m_periods.insert(later, aPeriod);
    if (m_periods.size() > kMaxPeriods) {
      m_periods.erase(m_periods.begin());
    }
  }

  // Returns the last period; nothing if no accepted call is known.
  std::optional<StorePeriod> Last() const
  {
    return m_periods.empty() ? std::nullopt
                             : std::optional<StorePeriod>(m_periods.back());
  }

  // Returns for how long the store has been available without a gap at a time
  // of its clock; zero if it isn't known to be available.
  Millis At(Millis aStoreTime) const
  {
    const std::optional<StorePeriod> last = Last();
    return last && aStoreTime - last->m_until <= m_maxGap
             ? std::max(Millis(), aStoreTime - last->m_since)
             : Millis();
  }

private:
  // A call between two periods may become known after the second one.
  static constexpr size_t kMaxPeriods = 4;
  // What the times of calls by the store's clock, and heartbeats, may be off.
  static constexpr Millis kPrecision = Millis(250);

  // Returns whether no long gap is between two periods, in either order.
  bool IsContinuous(const StorePeriod& aOne, const StorePeriod& aOther) const
  {
    return aOne.m_since - aOther.m_until <= m_maxGap &&
           aOther.m_since - aOne.m_until <= m_maxGap;
  }

  Millis m_maxGap;
  // Sorted by their ends.
  std::vector<StorePeriod> m_periods;
};

} // namespace briarglade
