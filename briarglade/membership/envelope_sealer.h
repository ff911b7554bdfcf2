// Seals the messages of one process.
//
// Example:
//   EnvelopeSealer sealer("westsign", key, NodeId("node-1"), startedAt);
//   Envelope envelope = sealer.Seal(NodeId("node-2"), EncodePeerMessage(m));

#pragma once

#include <cstdint>
#include <string>

#include "briarglade/membership/envelope.h"

namespace briarglade {

class EnvelopeSealer
{
public:
  EnvelopeSealer(std::string aCluster,
                 std::string aClusterKey,
                 NodeId aSelf,
                 uint64_t aIncarnation);

  // Returns the payload in an envelope for one receiver; empty: any.
  Envelope Seal(const NodeId& aReceiver, std::string aPayload);

private:
  std::string m_cluster;
  std::string m_clusterKey;
  NodeId m_self;
  uint64_t m_incarnation;
  uint64_t m_sequence = 0;
};

} // namespace briarglade
