// Checks the envelopes that reach one process.
//
// Example:
//   EnvelopeOpener opener("westsign", key, NodeId("node-2"));
//   if (std::optional<EnvelopeFault> fault = opener.Check(envelope)) {
//     ... count it by EnvelopeFaultName(*fault) and drop the message ...
//   }

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "briarglade/membership/envelope.h"

namespace briarglade {

class EnvelopeOpener
{
public:
  EnvelopeOpener(std::string aCluster, std::string aClusterKey, NodeId aSelf);

  // Returns why the envelope must be dropped, or nothing if it is genuine and
  // new. A genuine one is remembered: the same envelope is replayed from then
  // on. Envelopes may overtake each other by up to 63.
  std::optional<EnvelopeFault> Check(const Envelope& aEnvelope);

private:
  // What was received from one sender.
  struct Received
  {
    uint64_t m_incarnation = 0;
    uint64_t m_highest = 0;
    // Bit N: the envelope N below the highest was received.
    uint64_t m_window = 0;
    uint64_t m_lastUse = 0;
  };

  std::optional<EnvelopeFault> CheckSequence(const Envelope& aEnvelope);
  void Forget();

  std::string m_cluster;
  std::string m_clusterKey;
  NodeId m_self;
  std::map<NodeId, Received> m_received;
  uint64_t m_useCount = 0;
};

} // namespace briarglade
