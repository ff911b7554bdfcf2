// Rendezvous hashing on xxhash.

#include "briarglade/base/rendezvous.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace briarglade {

uint64_t RendezvousWeight(std::string_view aKey, std::string_view aCandidate)
{
  const uint64_t seed = XXH3_64bits(aKey.data(), aKey.size());
  return XXH3_64bits_withSeed(aCandidate.data(), aCandidate.size(), seed);
}

std::vector<NodeId> RankNodes(std::string_view aKey,
                              const std::vector<NodeId>& aNodes)
{
  std::vector<std::pair<uint64_t, NodeId>> weighted;
  weighted.reserve(aNodes.size());
  for (const NodeId& node : aNodes) {
    weighted.emplace_back(RendezvousWeight(aKey, node.Value()), node);
  }
  std::sort(
    weighted.begin(), weighted.end(), [](const auto& aA, const auto& aB) {
      return aA.first != aB.first ? aA.first > aB.first : aA.second < aB.second;
    });
  std::vector<NodeId> ranked;
  ranked.reserve(weighted.size());
  for (auto& entry : weighted) {
    ranked.push_back(std::move(entry.second));
  }
  return ranked;
}

} // namespace briarglade
