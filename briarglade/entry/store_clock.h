// The store's steady clock, as far as this node knows it. Each answer of the
// store carries its time, a moment late; the least late one is the best. The
// estimate is never ahead of the store by more than two clocks drift apart.
//
// Example:
//   clock.Note(now, answer.m_storeTime);
//   Millis storeTime = clock.At(now);

#pragma once

#include <algorithm>
#include <optional>

#include "briarglade/base/millis.h"

namespace briarglade {

class StoreClock
{
public:
  // Takes a time that the store's clock has reached by now.
  void Note(Millis aNow, Millis aStoreTime)
  {
    if (!m_storeTime || aStoreTime >= At(aNow)) {
      m_storeTime = aStoreTime;
      m_notedAt = aNow;
    }
  }

  bool IsKnown() const { return m_storeTime.has_value(); }

  // Returns the store's time now.
  Millis At(Millis aNow) const
  {
    const Millis elapsed = aNow - m_notedAt;
    return m_storeTime.value_or(Millis()) + elapsed -
           Millis(elapsed.Count() / kDriftPart);
  }

private:
  // Two clocks drift apart by less than one part in so many.
  static constexpr int64_t kDriftPart = 1'000;

  std::optional<Millis> m_storeTime;
  Millis m_notedAt;
};

} // namespace briarglade
