// The proof of an envelope.

#include "briarglade/membership/envelope.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace briarglade {

namespace {

void AppendNumber(std::string& aText, uint64_t aNumber)
{
  for (int shift = 56; shift >= 0; shift -= 8) {
    aText.push_back(static_cast<char>(aNumber >> shift & 0xFF));
  }
}

// Each text is preceded by its length, so that no two envelopes read alike.
void AppendText(std::string& aText, const std::string& aPart)
{
  AppendNumber(aText, aPart.size());
  aText += aPart;
}

std::string ProvenBytes(const Envelope& aEnvelope)
{
  std::string bytes;
  AppendText(bytes, aEnvelope.m_cluster);
  AppendNumber(bytes, aEnvelope.m_protocol);
  AppendText(bytes, aEnvelope.m_sender.Value());
  AppendNumber(bytes, aEnvelope.m_incarnation);
  AppendText(bytes, aEnvelope.m_receiver.Value());
  AppendNumber(bytes, aEnvelope.m_sequence);
  AppendText(bytes, aEnvelope.m_payload);
  return bytes;
}

} // namespace

std::string_view EnvelopeFaultName(EnvelopeFault aFault)
{
  switch (aFault) {
    case EnvelopeFault::WrongCluster:
      return "wrong-cluster";
    case EnvelopeFault::WrongProtocol:
      return "wrong-protocol";
    case EnvelopeFault::WrongReceiver:
      return "wrong-receiver";
    case EnvelopeFault::WrongProof:
      return "wrong-proof";
    case EnvelopeFault::OldIncarnation:
      return "old-incarnation";
    default:
      return "replayed";
  }
}

std::string ProveEnvelope(const Envelope& aEnvelope,
                          const std::string& aClusterKey)
{
  const std::string bytes = ProvenBytes(aEnvelope);
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aClusterKey.data(),
       static_cast<int>(aClusterKey.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()),
       bytes.size(),
       digest,
       &length);
  return std::string(reinterpret_cast<const char*>(digest), length);
}

} // namespace briarglade
