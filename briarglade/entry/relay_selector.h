// Selects the primary and the backup relay that a node reports to: the two
// highest-ranked candidates of its own zone that send digests. An unresponsive
// candidate is skipped for a while, so that a broken link or a stalled process
// is bypassed quickly and without agreement between nodes.
//
// Example:
//   selector.Update(now, RankRelays(zone, candidates));
//   Report(selector.Primary());
//   selector.OnDigest(sentAt.NotBefore(), sender);

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

class RelaySelector
{
public:
  RelaySelector() = default;
  explicit RelaySelector(NodeId aSelf)
    : m_self(std::move(aSelf))
  {
  }

  // Selects the relays from the ranked candidates, which include this node if
  // it may be a relay.
  void Update(Millis aNow, const std::vector<NodeId>& aRanked);
  // Records that a relay has sent a digest at aSentAt.
  void OnDigest(Millis aSentAt, const NodeId& aRelay);

  // Return the primary and the backup relay; empty if there is none. Either may
  // be this node itself.
  const NodeId& Primary() const { return m_primary; }
  const NodeId& Backup() const { return m_backup; }

private:
  void SkipIfUnresponsive(Millis aNow,
                          const NodeId& aSelected,
                          Millis aTimeout);

  NodeId m_self;
  NodeId m_primary;
  NodeId m_backup;
  // The time since which each selected relay's next digest has been awaited.
  std::map<NodeId, Millis> m_awaitingDigestSince;
  std::map<NodeId, Millis> m_skippedUntil;
};

} // namespace briarglade
