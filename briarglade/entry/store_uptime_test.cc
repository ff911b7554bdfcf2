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
    uptime.OnAccepted(begin + kGap * i, begin + kGap * i);
  }
  const Millis last = begin + kGap * 4;
  CHECK(uptime.At(last) == kGap * 4);
  CHECK(uptime.At(last + kGap) == kGap * 5);
  // Nothing is known of a later time.
  CHECK(uptime.At(last + kGap + Millis(1)) == Millis());
}

TEST_CASE(
  "an outage of the store begins a new period, and calls from before it that "
  "become known late don't bridge it")
{
  StoreUptime uptime;
  const Millis begin(10'000);
  uptime.OnAccepted(begin, begin);
  const Millis back = begin + kGap + Millis(1);
  uptime.OnAccepted(back, back);
  CHECK(uptime.At(back) == Millis());
  uptime.OnAccepted(begin - Millis(500), begin - Millis(500));
  CHECK(uptime.At(back + Millis(300)) == Millis(300));
}

// Guards against an outage of 2 s that is bridged by the answer, in the middle
// of it, to a wait that began before, or by a call that hung until its end.
TEST_CASE("a call counts by when it was accepted, or may have been")
{
  const Millis begin(10'000);
  const Millis outage = kGap + Millis(100);
  SUBCASE("a wait that was answered in the outage")
  {
    StoreUptime uptime;
    uptime.OnAccepted(begin - Millis(10), begin);
    uptime.OnAccepted(begin + outage, begin + outage);
    CHECK(uptime.At(begin + outage) == Millis());
  }
  SUBCASE("a call that was made in the outage, and accepted after it")
  {
    StoreUptime uptime;
    uptime.OnAccepted(begin - Millis(10), begin);
    uptime.OnAccepted(begin + Millis(500), begin + outage);
    uptime.OnAccepted(begin + outage, begin + outage + Millis(10));
    CHECK(uptime.At(begin + outage + Millis(20)) < Millis(50));
  }
}

TEST_CASE("a call between two periods that becomes known after both joins them")
{
  StoreUptime uptime;
  const Millis begin(10'000);
  uptime.OnAccepted(begin, begin);
  uptime.OnAccepted(begin + kGap * 2, begin + kGap * 2);
  CHECK(uptime.At(begin + kGap * 2) == Millis());
  uptime.OnAccepted(begin + kGap, begin + kGap);
  CHECK(uptime.At(begin + kGap * 2) == kGap * 2);
}

TEST_CASE("a node adopts a period that another node has seen if it is later or "
          "meets its own")
{
  StoreUptime uptime;
  const Millis begin(10'000);
  uptime.OnAccepted(begin, begin);
  uptime.OnReported(StorePeriod{ begin - kGap * 5, begin - Millis(100) });
  CHECK(uptime.At(begin) == kGap * 5);
  // From before a gap.
  uptime.OnReported(StorePeriod{ begin - kGap * 9, begin - kGap * 7 });
  CHECK(uptime.At(begin) == kGap * 5);
  uptime.OnReported(StorePeriod{ begin + kGap * 2, begin + kGap * 3 });
  CHECK(uptime.At(begin + kGap * 3) == kGap);
}

TEST_CASE("servers that renew their entries more often make a gap shorter")
{
  StoreUptime uptime(Millis(600));
  const Millis begin(10'000);
  uptime.OnAccepted(begin, begin);
  uptime.OnAccepted(begin + Millis(1'000), begin + Millis(1'000));
  CHECK(uptime.At(begin + Millis(1'000)) == Millis());
}

} // namespace
} // namespace briarglade
