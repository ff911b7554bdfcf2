// Tests of the tracking of received bulletins.

#include "briarglade/entry/seen_bulletins.h"

#include <doctest/doctest.h>

#include "briarglade/entry/node_news.h"

namespace briarglade {
namespace {

Bulletin MakeBulletin(uint64_t aIncarnation, uint64_t aNumber)
{
  Bulletin bulletin;
  bulletin.m_origin = NodeId("n1");
  bulletin.m_incarnation = aIncarnation;
  bulletin.m_number = aNumber;
  return bulletin;
}

TEST_CASE("a bulletin is new once, in any order of arrival")
{
  SeenBulletins seen;
  CHECK(seen.Add(MakeBulletin(1, 2)));
  CHECK(seen.Add(MakeBulletin(1, 1)));
  CHECK_FALSE(seen.Add(MakeBulletin(1, 2)));
  CHECK_FALSE(seen.Add(MakeBulletin(1, 1)));
}

TEST_CASE("the bulletins of the origin's next run are new")
{
  SeenBulletins seen;
  CHECK(seen.Add(MakeBulletin(1, 1)));
  CHECK(seen.Add(MakeBulletin(2, 1)));
  CHECK_FALSE(seen.Add(MakeBulletin(2, 1)));
}

TEST_CASE("the number of bulletins kept per origin is bounded")
{
  constexpr uint64_t kMany = 10'000;
  SeenBulletins seen;
  for (uint64_t number = 1; number <= kMany; ++number) {
    CHECK(seen.Add(MakeBulletin(1, number)));
  }
  CHECK_FALSE(seen.Add(MakeBulletin(1, kMany)));
}

} // namespace
} // namespace briarglade
