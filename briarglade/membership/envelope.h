// The envelope of every peer message: it names the cluster, the sender's run
// and the receiver, and proves the shared cluster key.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "briarglade/base/ids.h"
#include "briarglade/base/message_echo.h"

namespace briarglade {

// The version of the protocol between nodes. Another version is refused.
constexpr uint32_t kPeerProtocol = 1;

struct Envelope
{
  std::string m_cluster;
  uint32_t m_protocol = kPeerProtocol;
  NodeId m_sender;
  // The start of the sender's process; higher than that of any earlier run.
  uint64_t m_incarnation = 0;
  // Empty: whoever listens there.
  NodeId m_receiver;
  // Counts the sender's envelopes; never used twice in one incarnation.
  uint64_t m_sequence = 0;
  // HMAC-SHA256 over all the other fields but m_echo.
  std::string m_proof;
  std::string m_payload;
  // Differs between the receivers of one payload. Only entry nodes set it, and
  // they send no proof.
  std::optional<MessageEcho> m_echo;
};

// Why an envelope was dropped.
enum class EnvelopeFault
{
  WrongCluster,
  WrongProtocol,
  WrongReceiver,
  WrongProof,
  OldIncarnation,
  Replayed
};

// Returns the name of a fault for logs and counters, such as "wrong-proof".
std::string_view EnvelopeFaultName(EnvelopeFault aFault);

// Returns the proof that belongs to the other fields of an envelope.
std::string ProveEnvelope(const Envelope& aEnvelope,
                          const std::string& aClusterKey);

} // namespace briarglade
