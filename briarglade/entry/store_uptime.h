// Tells an outage of the store from calls of this node alone that fail.
//
// A store that refuses some nodes goes on serving others, and they report up to
// which time of the store's clock it has served them. If these times follow
// each other without a long gap, the store was available, so that no entry
// expired and a missing entry was removed. An outage is a gap in the times of
// all nodes.
//
// Load pattern: one or more nodes are refused, or get no response, for seconds
// at a time, while operators and servers write to the store as usual.
//
// Example:
//   uptime.OnServed(answer.m_storeTime);
//   uptime.OnServed(update.m_rosterKnownUpTo);
//   bool wasAvailable = uptime.At(clock.At(now)) >= Millis(2'300);

#pragma once

#include <algorithm>
#include <optional>

#include "briarglade/base/millis.h"

namespace briarglade {

class StoreUptime
{
public:
  // A follower's wait for changes is answered after at most 1,000 ms, and nodes
  // learn of the answer up to 600 ms later; 150 ms are for the call itself.
  static constexpr Millis kMaxGap = Millis(1'750);

  // Records that the store has served some node at a time of the store's clock.
  void OnServed(Millis aStoreTime)
  {
    if (!m_servedAt || aStoreTime - *m_servedAt > kMaxGap) {
      m_since = aStoreTime;
    }
    m_servedAt = std::max(m_servedAt.value_or(aStoreTime), aStoreTime);
  }

  // Returns for how long the store has been available without a gap at a time
  // of its clock; zero if it isn't known to be available.
  Millis At(Millis aStoreTime) const
  {
    return m_servedAt && aStoreTime - *m_servedAt <= kMaxGap
             ? std::max(Millis(), aStoreTime - m_since)
             : Millis();
  }

private:
  // When the store last served a node, and since when without a gap.
  std::optional<Millis> m_servedAt;
  Millis m_since;
};

} // namespace briarglade
