// Tests of the check whether the store serves the nodes that don't follow it.

#include "briarglade/entry/store_check.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

constexpr size_t kLastRank = 300;

TEST_CASE("a node that is next to follow the store checks at once, and others "
          "only if it isn't served")
{
  const Millis now(1'000);
  StoreCheck next;
  StoreCheck last;
  next.OnRequested(now, 0);
  last.OnRequested(now, kLastRank);
  CHECK(next.TakeDue(now));
  CHECK_FALSE(next.TakeDue(now));
  CHECK_FALSE(last.TakeDue(now));
  SUBCASE("the store serves one that is ranked before")
  {
    last.OnBetterServed(Millis(100));
    CHECK_FALSE(last.TakeDue(now + Millis(1'000)));
    // Its calls of other occasions aren't announced, either.
    CHECK_FALSE(last.OnServed(now + Millis(1'010), now + Millis(1'000)));
  }
  SUBCASE("no node says that it is served")
  {
    CHECK(last.TakeDue(now + StoreCheck::DelayOf(kLastRank)));
  }
}

// Guards against checks that take so long that the gap in the store's calls
// can't be told from an outage.
TEST_CASE("the last node checks within 300 ms")
{
  CHECK(StoreCheck::DelayOf(kLastRank) <= Millis(300));
}

TEST_CASE(
  "a node that is served announces it once, and follows the store for a "
  "while")
{
  const Millis now(1'000);
  StoreCheck check;
  CHECK_FALSE(check.IsSubstituteFollower(now));
  check.OnRequested(now, 0);
  REQUIRE(check.TakeDue(now));
  // Accepted before the other node was refused.
  CHECK_FALSE(check.OnServed(now + Millis(5), now - Millis(500)));
  CHECK_FALSE(check.IsSubstituteFollower(now + Millis(5)));
  CHECK(check.OnServed(now + Millis(10), now));
  CHECK_FALSE(check.OnServed(now + Millis(300), now + Millis(100)));
  CHECK(check.IsSubstituteFollower(now + StoreCheck::kSubstituteTime));
  CHECK_FALSE(
    check.IsSubstituteFollower(now + StoreCheck::kSubstituteTime + Millis(10)));
}

TEST_CASE("a node that stands in leaves it to one that is ranked before")
{
  const Millis now(1'000);
  StoreCheck check;
  check.OnRequested(now, 2);
  REQUIRE(check.TakeDue(now));
  REQUIRE(check.OnServed(now + Millis(10), now));
  check.OnBetterServed(Millis(100));
  CHECK_FALSE(check.IsSubstituteFollower(now + Millis(20)));
}

// Guards against a check for each failed call of a node that the store refuses
// now and then.
TEST_CASE("a node requests a check once a second at most")
{
  StoreCheck check;
  const Millis now(1'000);
  CHECK(check.TakeRequest(now));
  CHECK_FALSE(check.TakeRequest(now + Millis(900)));
  CHECK(check.TakeRequest(now + StoreCheck::kRequestPeriod));
}

// Guards against a check of the store that no node makes: a link had held back
// the word of a node that was served in an earlier check.
TEST_CASE("a node that was served before the check does not end it")
{
  StoreCheck check;
  check.OnRequested(Millis(9'000), 0);
  check.OnBetterServed(Millis(5'000));
  CHECK(check.TakeDue(Millis(9'000)));
}

} // namespace
} // namespace briarglade
