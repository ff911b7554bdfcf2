// Tests of the choice by loads that are known with a delay.

#include "briarglade/gateway/stale_load_choice.h"

#include <doctest/doctest.h>
#include <vector>

namespace briarglade {
namespace {

// Returns how often each index is chosen in kDraws evenly spaced draws.
std::vector<int> Count(const std::vector<double>& aCosts, double aUnknown)
{
  constexpr int kDraws = 1'000;
  std::vector<int> counts(aCosts.size());
  for (int i = 0; i < kDraws; ++i) {
    ++counts[ChooseByStaleLoad(aCosts, aUnknown, i / double{ kDraws })];
  }
  return counts;
}

TEST_CASE("the level is that of the lowest costs once they are filled")
{
  CHECK(FillLevel({ 4, 2, 9 }, 0) == doctest::Approx(2));
  CHECK(FillLevel({ 4, 2, 9 }, 1) == doctest::Approx(3));
  CHECK(FillLevel({ 4, 2, 9 }, 6) == doctest::Approx(6));
  CHECK(FillLevel({ 4, 2, 9 }, 15) == doctest::Approx(10));
  CHECK(FillLevel({ 7 }, 3) == doctest::Approx(10));
}

TEST_CASE("without unknown requests the lowest cost is chosen")
{
  CHECK(Count({ 4, 2, 9 }, 0) == std::vector<int>{ 0, 1'000, 0 });
}

TEST_CASE("unknown requests are spread up to the common level")
{
  // Level 6: 2 of 6 requests go to the first and 4 to the second.
  const std::vector<int> counts = Count({ 4, 2, 9 }, 6);
  CHECK(counts[0] == doctest::Approx(333).epsilon(0.01));
  CHECK(counts[1] == doctest::Approx(667).epsilon(0.01));
  CHECK(counts[2] == 0);
}

TEST_CASE("many unknown requests outweigh the differences in cost")
{
  const std::vector<int> counts = Count({ 4, 2, 9 }, 3'000);
  for (const int count : counts) {
    CHECK(count == doctest::Approx(333).epsilon(0.02));
  }
}

} // namespace
} // namespace briarglade
