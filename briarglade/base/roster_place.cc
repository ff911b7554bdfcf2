// Places by rendezvous rank.

#include "briarglade/base/roster_place.h"

#include <algorithm>
#include <utility>

#include "briarglade/base/rendezvous.h"

namespace briarglade {

RosterPlace PlaceIn(const std::vector<NodeId>& aRoster,
                    std::string_view aKey,
                    const NodeId& aSelf)
{
  RosterPlace place;
  place.m_nodes = static_cast<uint32_t>(aRoster.size());
  if (std::find(aRoster.begin(), aRoster.end(), aSelf) == aRoster.end()) {
    place.m_rank = place.m_nodes;
    return place;
  }
  const uint64_t own = RendezvousWeight(aKey, aSelf.Value());
  for (const NodeId& node : aRoster) {
    const uint64_t weight = RendezvousWeight(aKey, node.Value());
    const bool isAhead = weight != own ? weight > own : node < aSelf;
    if (isAhead) {
      ++place.m_rank;
    }
  }
  return place;
}

std::vector<NodeId> FirstByRank(const std::vector<NodeId>& aRoster,
                                std::string_view aKey,
                                size_t aCount)
{
  std::vector<std::pair<uint64_t, const NodeId*>> weights;
  weights.reserve(aRoster.size());
  for (const NodeId& node : aRoster) {
    weights.emplace_back(RendezvousWeight(aKey, node.Value()), &node);
  }
  std::sort(
    weights.begin(), weights.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.first != aOther.first ? aOne.first > aOther.first
                                        : *aOne.second < *aOther.second;
    });
  weights.resize(std::min(weights.size(), aCount));
  std::vector<NodeId> first;
  first.reserve(weights.size());
  for (const auto& [weight, node] : weights) {
    first.push_back(*node);
  }
  return first;
}

uint32_t DealtTo(const RosterPlace& aPlace, uint32_t aLimit)
{
  if (aPlace.m_rank >= aPlace.m_nodes || aLimit <= aPlace.m_rank) {
    return 0;
  }
  return (aLimit - aPlace.m_rank - 1) / aPlace.m_nodes + 1;
}

} // namespace briarglade
