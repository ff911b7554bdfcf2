// Sealing of envelopes.

#include "briarglade/membership/envelope_sealer.h"

#include <utility>

namespace briarglade {

EnvelopeSealer::EnvelopeSealer(std::string aCluster,
                               std::string aClusterKey,
                               NodeId aSelf,
                               uint64_t aIncarnation)
  : m_cluster(std::move(aCluster))
  , m_clusterKey(std::move(aClusterKey))
  , m_self(std::move(aSelf))
  , m_incarnation(aIncarnation)
{
}

Envelope EnvelopeSealer::Seal(const NodeId& aReceiver, std::string aPayload)
{
  Envelope envelope;
  envelope.m_cluster = m_cluster;
  envelope.m_sender = m_self;
  envelope.m_incarnation = m_incarnation;
  envelope.m_receiver = aReceiver;
  envelope.m_sequence = ++m_sequence;
  envelope.m_payload = std::move(aPayload);
  envelope.m_proof = ProveEnvelope(envelope, m_clusterKey);
  return envelope;
}

} // namespace briarglade
