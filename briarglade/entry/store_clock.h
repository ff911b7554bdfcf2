// Estimates the store's steady clock. Each answer of the store carries the
// store's time, delayed by the transfer; the estimate uses the answer with the
// smallest delay. It is never ahead of the store's clock by more than the drift
// between the two clocks.
//
// Example:
//   clock.Update(now, answer.m_storeTime);
//   Millis storeTime = clock.At(now);

#pragma once

#include <algorithm>
#include <optional>

#include "briarglade/base/millis.h"

namespace briarglade {

// The estimate of one node.
class StoreClock
{
public:
  // Updates the estimate with a time that the store's clock has reached by now.
  void Update(Millis aNow, Millis aStoreTime)
  {
    if (!m_storeTime || aStoreTime >= At(aNow)) {
      m_storeTime = aStoreTime;
      m_notedAt = aNow;
    }
  }

  // Returns whether any time of the store has been received.
  bool IsKnown() const { return m_storeTime.has_value(); }

  // Returns the estimated time of the store's clock at aNow.
  Millis At(Millis aNow) const
  {
    const Millis elapsed = aNow - m_notedAt;
    return m_storeTime.value_or(Millis()) + elapsed -
           Millis(elapsed.Count() / kDriftPart);
  }

private:
  // Two clocks drift apart by less than 1/kDriftPart of the elapsed time.
  static constexpr int64_t kDriftPart = 1'000;

  std::optional<Millis> m_storeTime;
  Millis m_notedAt;
};

} // namespace briarglade
