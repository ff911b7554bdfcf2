// Tests of the comparison between the classes of requests.

#include "briarglade/gateway/served_fraction.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

// Guards against a class that never gets its turn under a lasting overload.
TEST_CASE("a class is underserved while it is served clearly less than all are")
{
  ServedFraction<int> fraction(0.5);
  const Millis now(1'000);
  for (int i = 0; i < 10; ++i) {
    fraction.RecordArrived(now, 0);
    fraction.RecordArrived(now, 1);
    fraction.RecordStarted(now, 0);
  }
  CHECK(fraction.IsUnderserved(now, 1));
  CHECK_FALSE(fraction.IsUnderserved(now, 0));
  CHECK_FALSE(fraction.IsUnderserved(now, 2));
  for (int i = 0; i < 4; ++i) {
    fraction.RecordStarted(now, 1);
  }
  CHECK_FALSE(fraction.IsUnderserved(now, 1));
}

TEST_CASE("old arrivals no longer count")
{
  ServedFraction<int> fraction(0.5);
  for (int i = 0; i < 10; ++i) {
    fraction.RecordArrived(Millis(1'000), 1);
    fraction.RecordArrived(Millis(1'000), 0);
    fraction.RecordStarted(Millis(1'000), 0);
  }
  CHECK(fraction.IsUnderserved(Millis(2'000), 1));
  CHECK_FALSE(fraction.IsUnderserved(Millis(60'000), 1));
}

} // namespace
} // namespace briarglade
