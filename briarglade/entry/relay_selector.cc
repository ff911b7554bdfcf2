// Ranking and selection of the relays of a zone.

#include "briarglade/entry/relay_selector.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "briarglade/base/rendezvous.h"

namespace briarglade {

namespace {

// A relay that sends no digest for longer than this is skipped. The times cover
// several of its periods, including the retransmission of a lost packet.
constexpr Millis kPrimaryTimeout = Millis(700);
constexpr Millis kBackupTimeout = Millis(2'000);
constexpr Millis kSkipTime = Millis(5'000);

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

void RelaySelector::SkipIfUnresponsive(Millis aNow,
                                       const NodeId& aSelected,
                                       Millis aTimeout)
{
  const auto awaited = m_awaitingDigestSince.find(aSelected);
  const bool isUnresponsive = aSelected != m_self &&
                              awaited != m_awaitingDigestSince.end() &&
                              aNow - awaited->second > aTimeout;
  if (isUnresponsive) {
    m_skippedUntil[aSelected] = aNow + kSkipTime;
  }
}

void RelaySelector::Update(Millis aNow, const std::vector<NodeId>& aRanked)
{
  SkipIfUnresponsive(aNow, m_primary, kPrimaryTimeout);
  SkipIfUnresponsive(aNow, m_backup, kBackupTimeout);
  std::vector<NodeId> available;
  for (const NodeId& node : aRanked) {
    const auto skipped = m_skippedUntil.find(node);
    if (skipped == m_skippedUntil.end() || skipped->second <= aNow) {
      available.push_back(node);
    }
    if (available.size() == 2) {
      break;
    }
  }
  available.resize(2);
  if (m_primary == available[0] && m_backup == available[1]) {
    return;
  }
  // The wait for a digest starts again for a relay whose role changes.
  m_primary = available[0];
  m_backup = available[1];
  m_awaitingDigestSince = { { m_primary, aNow }, { m_backup, aNow } };
}

void RelaySelector::OnDigest(Millis aSentAt, const NodeId& aRelay)
{
  const auto awaited = m_awaitingDigestSince.find(aRelay);
  if (awaited != m_awaitingDigestSince.end()) {
    awaited->second = std::max(awaited->second, aSentAt);
  }
}

} // namespace briarglade
