// Rate limit on loads of model weights: a sliding window over all loads from
// the weight store, counted as the platform counts them.
//
// Example:
//   budget.Configure(window, maxLoads);
//   if (budget.AllowedLoads(now) > 0) { Order(); budget.RecordLoads(now, 1); }

#pragma once

#include <cstdint>
#include <deque>

#include "briarglade/base/millis.h"

namespace briarglade {

class LoadBudget
{
public:
  // Allows at most aMaxLoads loads to start within any window of aWindow.
  void Configure(Millis aWindow, uint32_t aMaxLoads)
  {
    m_window = aWindow;
    m_maxLoads = aMaxLoads;
  }
  // Switches the limit off or on. It is off before the first traffic, when the
  // weight store serves no one else. Loads are recorded in either case.
  void SetUnbounded(bool aUnbounded) { m_unbounded = aUnbounded; }

  // Returns how many of the loads of a window staging may use. The others
  // remain for repairs.
  uint32_t StagingLoads() const { return m_maxLoads - m_maxLoads / 4; }
  // Returns whether a load for staging may start at aNow.
  bool AllowsStaging(Millis aNow);
  // Returns how many loads may start at aNow. Drops recorded loads that have
  // left the window.
  uint32_t AllowedLoads(Millis aNow);
  // Records that aLoads loads start at aNow.
  void RecordLoads(Millis aNow, uint32_t aLoads);

private:
  Millis m_window;
  uint32_t m_maxLoads = 0;
  bool m_unbounded = false;
  // Start times of the loads within the window, oldest first.
  std::deque<Millis> m_startTimes;
};

} // namespace briarglade
