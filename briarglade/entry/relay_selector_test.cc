// Tests of the ranking and selection of relays.

#include "briarglade/entry/relay_selector.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace briarglade {
namespace {

const std::vector<NodeId> kRanked = { NodeId("n1"),
                                      NodeId("n2"),
                                      NodeId("n3") };

TEST_CASE("nodes with more processor rank first, equally on every node")
{
  std::vector<RelayCandidate> candidates;
  for (int i = 0; i < 40; ++i) {
    candidates.push_back(RelayCandidate{ NodeId("n" + std::to_string(i)),
                                         i % 13 == 0 ? 500U : 120U });
  }
  const std::vector<NodeId> ranked = RankRelays(ZoneId("a"), candidates);
  std::reverse(candidates.begin(), candidates.end());
  CHECK(RankRelays(ZoneId("a"), candidates) == ranked);
  CHECK(RankRelays(ZoneId("b"), candidates) != ranked);
  const std::vector<NodeId> strong = {
    NodeId("n0"), NodeId("n13"), NodeId("n26"), NodeId("n39")
  };
  std::vector<NodeId> first(ranked.begin(), ranked.begin() + 4);
  std::sort(first.begin(), first.end());
  CHECK(first == strong);
}

TEST_CASE("a relay that sends no digests is skipped for a while")
{
  RelaySelector choice(NodeId("n3"));
  Millis now(10'000);
  choice.Update(now, kRanked);
  CHECK(choice.Primary() == NodeId("n1"));
  CHECK(choice.Backup() == NodeId("n2"));
  const Millis end = now + Millis(1'000);
  for (; now < end; now += Millis(50)) {
    choice.OnDigest(now, NodeId("n2"));
    choice.Update(now, kRanked);
  }
  CHECK(choice.Primary() == NodeId("n2"));
  CHECK(choice.Backup() == NodeId("n3"));
  const Millis later = now + Millis(5'000);
  for (; now < later; now += Millis(50)) {
    choice.OnDigest(now, NodeId("n2"));
    choice.Update(now, kRanked);
  }
  CHECK(choice.Primary() == NodeId("n1"));
  CHECK(choice.Backup() == NodeId("n2"));
}

// Guards against a silent relay being kept for digests that were held back.
TEST_CASE("a digest that was sent long ago does not show that a relay lives")
{
  RelaySelector choice(NodeId("n3"));
  Millis now(10'000);
  choice.Update(now, kRanked);
  const Millis sentAt = now;
  const Millis end = now + Millis(1'000);
  for (; now < end; now += Millis(50)) {
    choice.OnDigest(sentAt, NodeId("n1"));
    choice.OnDigest(now, NodeId("n2"));
    choice.Update(now, kRanked);
  }
  CHECK(choice.Primary() == NodeId("n2"));
}

TEST_CASE("a node that is the primary relay does not wait for its own digests")
{
  RelaySelector choice(NodeId("n1"));
  for (Millis now(10'000); now < Millis(20'000); now += Millis(50)) {
    choice.OnDigest(now, NodeId("n2"));
    choice.Update(now, kRanked);
    CHECK(choice.Primary() == NodeId("n1"));
  }
  choice.Update(Millis(20'000), { NodeId("n1") });
  CHECK(choice.Backup().IsEmpty());
}

} // namespace
} // namespace briarglade
