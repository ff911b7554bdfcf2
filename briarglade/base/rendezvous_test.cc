// Tests of rendezvous hashing.

#include "briarglade/base/rendezvous.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

namespace briarglade {
namespace {

std::vector<NodeId> MakeNodes(int aCount)
{
  std::vector<NodeId> nodes;
  for (int i = 0; i < aCount; ++i) {
    nodes.emplace_back("node-" + std::to_string(i));
  }
  return nodes;
}

TEST_CASE("removing a node keeps the order of the others")
{
  std::vector<NodeId> nodes = MakeNodes(9);
  std::vector<NodeId> before = RankNodes("group-1", nodes);
  const NodeId removed = before[3];
  nodes.erase(std::find(nodes.begin(), nodes.end(), removed));
  before.erase(before.begin() + 3);
  CHECK(RankNodes("group-1", nodes) == before);
}

TEST_CASE("first ranks spread evenly over the nodes")
{
  const std::vector<NodeId> nodes = MakeNodes(8);
  std::map<NodeId, int> firsts;
  constexpr int kKeys = 8000;
  for (int key = 0; key < kKeys; ++key) {
    ++firsts[RankNodes("group-" + std::to_string(key), nodes).front()];
  }
  for (const NodeId& node : nodes) {
    CHECK(firsts[node] > kKeys / 8 * 8 / 10);
    CHECK(firsts[node] < kKeys / 8 * 12 / 10);
  }
}

} // namespace
} // namespace briarglade
