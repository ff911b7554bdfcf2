// Tests of the count within a window.

#include "briarglade/base/recent_count.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

TEST_CASE("what is older than the window doesn't count")
{
  RecentCount count(Millis(1'000));
  CHECK(count.Count(Millis(0)) == 0);
  count.Note(Millis(0));
  count.Note(Millis(400));
  count.Note(Millis(400));
  CHECK(count.Count(Millis(999)) == 3);
  CHECK(count.Count(Millis(1'000)) == 2);
  count.Note(Millis(1'200));
  CHECK(count.Count(Millis(1'200)) == 3);
  CHECK(count.Count(Millis(2'199)) == 1);
  CHECK(count.Count(Millis(2'200)) == 0);
}

} // namespace
} // namespace briarglade
