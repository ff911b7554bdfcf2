// Chooses the two relays of its own zone that a node reports to: the first of
// the candidates by rank that answer. One that stays silent is passed over for
// a while, so that a link that is cut, or a process that stands still, costs a
// moment and no agreement.
//
// Example:
//   choice.Update(now, RankRelays(zone, candidates));
//   Report(choice.First());
//   choice.OnDigest(now, sender);

#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

struct RelayCandidate
{
  NodeId m_node;
  // Thousandths of a core.
  uint32_t m_processorShare = 0;
};

// Returns the candidates of a zone in order of preference: those with more
// processor first. Equal candidates give an equal order on every node.
std::vector<NodeId> RankRelays(const ZoneId& aZone,
                               const std::vector<RelayCandidate>& aCandidates);

class RelayChoice
{
public:
  RelayChoice() = default;
  explicit RelayChoice(NodeId aSelf)
    : m_self(std::move(aSelf))
  {
  }

  // Chooses among the candidates, this node among them if it may be a relay.
  void Update(Millis aNow, const std::vector<NodeId>& aRanked);
  // A relay has sent a digest.
  void OnDigest(Millis aNow, const NodeId& aRelay);

  // Returns the relay to report to, and the one in reserve; empty: there is
  // none. Either may be this node itself.
  const NodeId& Primary() const { return m_primary; }
  const NodeId& Backup() const { return m_backup; }

private:
  void SkipIfUnresponsive(Millis aNow, const NodeId& aChosen, Millis aLongest);

  NodeId m_self;
  NodeId m_primary;
  NodeId m_backup;
  // Since when a digest of each chosen relay is awaited.
  std::map<NodeId, Millis> m_awaitingDigestSince;
  std::map<NodeId, Millis> m_skippedUntil;
};

} // namespace briarglade
