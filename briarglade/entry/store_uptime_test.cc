// Tests of the times at which the store has served some node.

#include "briarglade/entry/store_uptime.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

const Millis kGap = StoreUptime::kMaxGap;

TEST_CASE("a store that no node has reached isn't known to be available")
{
  const StoreUptime uptime;
  CHECK(uptime.At(Millis(5'000)) == Millis());
}

TEST_CASE("the store is available for as long as it serves some node without a "
          "long gap")
{
  StoreUptime uptime;
  const Millis begin(10'000);
  for (int i = 0; i <= 4; ++i) {
    uptime.OnServed(begin + kGap * i);
  }
  const Millis last = begin + kGap * 4;
  CHECK(uptime.At(last) == kGap * 4);
  CHECK(uptime.At(last + kGap) == kGap * 5);
  // Nothing is known of a later time.
  CHECK(uptime.At(last + kGap + Millis(1)) == Millis());
}

TEST_CASE(
  "an outage of the store begins a new time, and reports from before it "
  "that arrive late don't bridge it")
{
  StoreUptime uptime;
  uptime.OnServed(Millis(10'000));
  const Millis back = Millis(10'000) + kGap + Millis(1);
  uptime.OnServed(back);
  CHECK(uptime.At(back) == Millis());
  uptime.OnServed(Millis(10'500));
  CHECK(uptime.At(back + Millis(300)) == Millis(300));
}

} // namespace
} // namespace briarglade
