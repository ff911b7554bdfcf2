// Tests of sealing and checking envelopes.

#include "briarglade/membership/envelope_opener.h"

#include <doctest/doctest.h>
#include <vector>

#include "briarglade/membership/envelope_sealer.h"

namespace briarglade {
namespace {

const NodeId kReceiver("n2");

EnvelopeSealer MakeSealer(uint64_t aIncarnation, const char* aKey = "key")
{
  return EnvelopeSealer("west", aKey, NodeId("n1"), aIncarnation);
}

TEST_CASE("a genuine envelope is taken once")
{
  EnvelopeOpener opener("west", "key", kReceiver);
  const Envelope envelope = MakeSealer(5).Seal(kReceiver, "payload");
  CHECK(opener.Check(envelope) == std::nullopt);
  CHECK(opener.Check(envelope) == EnvelopeFault::Replayed);
}

TEST_CASE("an envelope with any field changed is dropped")
{
  struct Row
  {
    const char* m_name;
    void (*m_change)(Envelope&);
    EnvelopeFault m_fault;
  };
  const Row rows[] = {
    { "cluster",
      [](Envelope& aE) { aE.m_cluster = "kita"; },
      EnvelopeFault::WrongCluster },
    { "protocol",
      [](Envelope& aE) { ++aE.m_protocol; },
      EnvelopeFault::WrongProtocol },
    { "receiver",
      [](Envelope& aE) { aE.m_receiver = NodeId("n3"); },
      EnvelopeFault::WrongReceiver },
    { "no receiver",
      [](Envelope& aE) { aE.m_receiver = NodeId(); },
      EnvelopeFault::WrongProof },
    { "sender",
      [](Envelope& aE) { aE.m_sender = NodeId("n9"); },
      EnvelopeFault::WrongProof },
    { "incarnation",
      [](Envelope& aE) { ++aE.m_incarnation; },
      EnvelopeFault::WrongProof },
    { "sequence",
      [](Envelope& aE) { ++aE.m_sequence; },
      EnvelopeFault::WrongProof },
    { "payload",
      [](Envelope& aE) { aE.m_payload += "x"; },
      EnvelopeFault::WrongProof },
    { "proof",
      [](Envelope& aE) { aE.m_proof.pop_back(); },
      EnvelopeFault::WrongProof },
  };
  for (const Row& row : rows) {
    CAPTURE(row.m_name);
    EnvelopeOpener opener("west", "key", kReceiver);
    Envelope envelope = MakeSealer(5).Seal(kReceiver, "payload");
    row.m_change(envelope);
    CHECK(opener.Check(envelope) == row.m_fault);
  }
}

TEST_CASE("another key and an earlier run are dropped")
{
  EnvelopeOpener opener("west", "key", kReceiver);
  CHECK(opener.Check(MakeSealer(5, "other").Seal(kReceiver, "p")) ==
        EnvelopeFault::WrongProof);
  CHECK(opener.Check(MakeSealer(5).Seal(kReceiver, "p")) == std::nullopt);
  CHECK(opener.Check(MakeSealer(4).Seal(kReceiver, "p")) ==
        EnvelopeFault::OldIncarnation);
  CHECK(opener.Check(MakeSealer(6).Seal(kReceiver, "p")) == std::nullopt);
}

TEST_CASE("envelopes may overtake each other within the window")
{
  EnvelopeOpener opener("west", "key", kReceiver);
  EnvelopeSealer sealer = MakeSealer(5);
  std::vector<Envelope> sealed;
  for (int i = 0; i < 66; ++i) {
    sealed.push_back(sealer.Seal(kReceiver, "p"));
  }
  CHECK(opener.Check(sealed[64]) == std::nullopt);
  CHECK(opener.Check(sealed[1]) == std::nullopt);
  CHECK(opener.Check(sealed[1]) == EnvelopeFault::Replayed);
  CHECK(opener.Check(sealed[0]) == EnvelopeFault::Replayed);
  CHECK(opener.Check(sealed[65]) == std::nullopt);
}

} // namespace
} // namespace briarglade
