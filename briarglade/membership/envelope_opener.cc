// Checking of envelopes.

#include "briarglade/membership/envelope_opener.h"

#include <algorithm>
#include <openssl/crypto.h>
#include <utility>

namespace briarglade {

namespace {

constexpr uint64_t kWindow = 64;
// Senders remembered; beyond that the one heard longest ago is forgotten.
constexpr size_t kMaxSenders = 1'024;

bool IsEqualInConstantTime(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace

EnvelopeOpener::EnvelopeOpener(std::string aCluster,
                               std::string aClusterKey,
                               NodeId aSelf)
  : m_cluster(std::move(aCluster))
  , m_clusterKey(std::move(aClusterKey))
  , m_self(std::move(aSelf))
{
}

std::optional<EnvelopeFault> EnvelopeOpener::Check(const Envelope& aEnvelope)
{
  if (aEnvelope.m_cluster != m_cluster) {
    return EnvelopeFault::WrongCluster;
  }
  if (aEnvelope.m_protocol != kPeerProtocol) {
    return EnvelopeFault::WrongProtocol;
  }
  if (!aEnvelope.m_receiver.IsEmpty() && aEnvelope.m_receiver != m_self) {
    return EnvelopeFault::WrongReceiver;
  }
  if (!IsEqualInConstantTime(aEnvelope.m_proof,
                             ProveEnvelope(aEnvelope, m_clusterKey))) {
    return EnvelopeFault::WrongProof;
  }
  return CheckSequence(aEnvelope);
}

std::optional<EnvelopeFault> EnvelopeOpener::CheckSequence(
  const Envelope& aEnvelope)
{
  Received& received = m_received[aEnvelope.m_sender];
  if (aEnvelope.m_incarnation < received.m_incarnation) {
    return EnvelopeFault::OldIncarnation;
  }
  if (aEnvelope.m_incarnation > received.m_incarnation) {
    received = Received();
    received.m_incarnation = aEnvelope.m_incarnation;
  }
  received.m_lastUse = ++m_useCount;
  const uint64_t sequence = aEnvelope.m_sequence;
  if (sequence > received.m_highest) {
    const uint64_t ahead = sequence - received.m_highest;
    received.m_window = ahead < kWindow ? received.m_window << ahead : 0;
    received.m_window |= 1;
    received.m_highest = sequence;
    Forget();
    return std::nullopt;
  }
  const uint64_t behind = received.m_highest - sequence;
  if (behind >= kWindow || (received.m_window >> behind & 1) != 0) {
    return EnvelopeFault::Replayed;
  }
  received.m_window |= uint64_t{ 1 } << behind;
  return std::nullopt;
}

void EnvelopeOpener::Forget()
{
  if (m_received.size() <= kMaxSenders) {
    return;
  }
  const auto oldest =
    std::min_element(m_received.begin(),
                     m_received.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.m_lastUse < aRight.second.m_lastUse;
                     });
  m_received.erase(oldest);
}

} // namespace briarglade
