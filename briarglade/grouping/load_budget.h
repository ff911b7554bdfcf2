// How many loads of weights may begin: a sliding window over the loads of the
// whole store, as the platform counts them.
//
// Example:
//   budget.Configure(window, most);
//   if (budget.Allowed(now) > 0) { Order(); budget.Note(now); }

#pragma once

#include <cstdint>
#include <deque>

#include "briarglade/base/millis.h"

namespace briarglade {

class LoadBudget
{
public:
  // At most so many loads may begin within any window.
  void Configure(Millis aWindow, uint32_t aMost)
  {
    m_window = aWindow;
    m_maxLoads = aMost;
  }
  // Lets loads begin without a bound, while the store has nobody to serve.
  void SetUnbounded(bool aUnbounded) { m_unbounded = aUnbounded; }

  // Returns how many loads may begin now.
  uint32_t AllowedLoads(Millis aNow);
  // So many loads begin now.
  void RecordLoads(Millis aNow, uint32_t aLoads);

private:
  Millis m_window;
  uint32_t m_maxLoads = 0;
  bool m_unbounded = false;
  std::deque<Millis> m_startTimes;
};

} // namespace briarglade
