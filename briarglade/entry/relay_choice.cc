// The relays of a node's own zone.

#include "briarglade/entry/relay_choice.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "briarglade/base/rendezvous.h"

namespace briarglade {

namespace {

// A relay whose digests stay away for longer is passed over: a few of its
// periods, with a lost packet sent again.
constexpr Millis kFirstSilence = Millis(700);
constexpr Millis kReserveSilence = Millis(2'000);
constexpr Millis kPassOverTime = Millis(5'000);

} // namespace

std::vector<NodeId> RankRelays(const ZoneId& aZone,
                               const std::vector<RelayCandidate>& aCandidates)
{
  const std::string key = "relay/" + aZone.Value();
  using Rank = std::tuple<uint32_t, uint64_t, NodeId>;
  std::vector<Rank> ranks;
  ranks.reserve(aCandidates.size());
  for (const RelayCandidate& candidate : aCandidates) {
    ranks.emplace_back(candidate.m_processorShare,
                       RendezvousWeight(key, candidate.m_node.Value()),
                       candidate.m_node);
  }
  std::sort(ranks.rbegin(), ranks.rend());
  std::vector<NodeId> ranked;
  ranked.reserve(ranks.size());
  for (Rank& rank : ranks) {
    ranked.push_back(std::move(std::get<NodeId>(rank)));
  }
  return ranked;
}

void RelayChoice::SkipIfUnresponsive(Millis aNow,
                                     const NodeId& aChosen,
                                     Millis aLongest)
{
  const auto awaited = m_awaitingDigestSince.find(aChosen);
  const bool isSilent = aChosen != m_self &&
                        awaited != m_awaitingDigestSince.end() &&
                        aNow - awaited->second > aLongest;
  if (isSilent) {
    m_skippedUntil[aChosen] = aNow + kPassOverTime;
  }
}

void RelayChoice::Update(Millis aNow, const std::vector<NodeId>& aRanked)
{
  SkipIfUnresponsive(aNow, m_primary, kFirstSilence);
  SkipIfUnresponsive(aNow, m_backup, kReserveSilence);
  std::vector<NodeId> able;
  for (const NodeId& node : aRanked) {
    const auto passedOver = m_skippedUntil.find(node);
    if (passedOver == m_skippedUntil.end() || passedOver->second <= aNow) {
      able.push_back(node);
    }
    if (able.size() == 2) {
      break;
    }
  }
  able.resize(2);
  if (m_primary == able[0] && m_backup == able[1]) {
    return;
  }
  // A relay whose role changes has its time to answer anew.
  m_primary = able[0];
  m_backup = able[1];
  m_awaitingDigestSince = { { m_primary, aNow }, { m_backup, aNow } };
}

void RelayChoice::OnDigest(Millis aNow, const NodeId& aRelay)
{
  const auto awaited = m_awaitingDigestSince.find(aRelay);
  if (awaited != m_awaitingDigestSince.end()) {
    awaited->second = aNow;
  }
}

} // namespace briarglade
