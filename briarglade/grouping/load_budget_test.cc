// Tests of the bound on loads that begin.

#include "briarglade/grouping/load_budget.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

namespace briarglade {
namespace {

TEST_CASE("no window of the bound's length holds more loads than allowed")
{
  constexpr uint32_t kMost = 27;
  const Millis window(5'000);
  LoadBudget budget;
  budget.Configure(window, kMost);
  std::vector<Millis> begun;
  for (Millis now; now < Millis(60'000); now += Millis(70)) {
    const uint32_t loads = std::min(budget.AllowedLoads(now), 4U);
    budget.RecordLoads(now, loads);
    begun.insert(begun.end(), loads, now);
  }
  CHECK(begun.size() > 10 * kMost);
  for (size_t i = 0; i + kMost < begun.size(); ++i) {
    CHECK(begun[i + kMost] - begun[i] >= window);
  }
}

TEST_CASE("before any traffic loads are not bounded, and count afterwards")
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
