// Tests of the split of a limit over a roster.

#include "briarglade/base/roster_place.h"

#include <doctest/doctest.h>

#include "briarglade/base/make_roster_test.h"

namespace briarglade {
namespace {

TEST_CASE("the parts of all nodes add up to the limit, whatever its size")
{
  for (const uint32_t nodes : { 1U, 9U, 63U, 87U, 320U }) {
    for (const uint32_t limit : { 0U, 1U, 27U, 62U, 500U }) {
      CAPTURE(nodes);
      CAPTURE(limit);
      const std::vector<NodeId> roster = MakeRoster(nodes);
      uint32_t sum = 0;
      for (const NodeId& node : roster) {
        sum += DealtTo(PlaceIn(roster, "server", node), limit);
      }
      CHECK(sum == limit);
    }
  }
}

// Guards against requests for turns that go to nodes without a quota.
TEST_CASE("the first nodes by rank are those with a part of the limit")
{
  const std::vector<NodeId> roster = MakeRoster(133);
  const std::vector<NodeId> first = FirstByRank(roster, "server", 30);
  REQUIRE(first.size() == 30);
  for (uint32_t i = 0; i < first.size(); ++i) {
    CHECK(PlaceIn(roster, "server", first[i]).m_rank == i);
  }
  CHECK(FirstByRank(roster, "server", 500).size() == roster.size());
}

TEST_CASE("a longer roster gives no node more")
{
  const std::vector<NodeId> longer = MakeRoster(40);
  std::vector<NodeId> shorter = longer;
  while (shorter.size() > 1) {
    shorter.erase(shorter.begin() + static_cast<long>(shorter.size() / 2));
    for (const NodeId& node : shorter) {
      CHECK(DealtTo(PlaceIn(longer, "server", node), 27) <=
            DealtTo(PlaceIn(shorter, "server", node), 27));
    }
  }
}

TEST_CASE("a node that isn't on the roster has no part")
{
  CHECK(DealtTo(PlaceIn(MakeRoster(9), "server", NodeId("other")), 27) == 0);
  CHECK(DealtTo(PlaceIn({}, "server", NodeId("n0")), 27) == 0);
}

} // namespace
} // namespace briarglade
