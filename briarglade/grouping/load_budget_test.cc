// Tests of the rate limit on weight loads.

#include "briarglade/grouping/load_budget.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

namespace briarglade {
namespace {

TEST_CASE("no window of the configured length has more loads than allowed")
{
  constexpr uint32_t kMaxLoads = 27;
  const Millis window(5'000);
  LoadBudget budget;
  budget.Configure(window, kMaxLoads);
  std::vector<Millis> startTimes;
  for (Millis now; now < Millis(60'000); now += Millis(70)) {
    const uint32_t loads = std::min(budget.AllowedLoads(now), 4U);
    budget.RecordLoads(now, loads);
    startTimes.insert(startTimes.end(), loads, now);
  }
  CHECK(startTimes.size() > 10 * kMaxLoads);
  for (size_t i = 0; i + kMaxLoads < startTimes.size(); ++i) {
    CHECK(startTimes[i + kMaxLoads] - startTimes[i] >= window);
  }
}

TEST_CASE("loads before any traffic are unlimited, but count afterwards")
{
  LoadBudget budget;
  budget.Configure(Millis(5'000), 3);
  budget.SetUnbounded(true);
  CHECK(budget.AllowedLoads(Millis(0)) > 1'000);
  budget.RecordLoads(Millis(0), 50);
  budget.SetUnbounded(false);
  CHECK(budget.AllowedLoads(Millis(4'999)) == 0);
  CHECK(budget.AllowedLoads(Millis(5'000)) == 3);
}

} // namespace
} // namespace briarglade
