// Tests of the RPC between nodes, over loopback with ports from the kernel.

#include "briarglade/net/peer_rpc.h"

#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <vector>

#include "briarglade/membership/envelope.h"
#include "briarglade/net/event_loop.h"

namespace briarglade {
namespace {

Envelope MakeEnvelope(const std::string& aPayload)
{
  Envelope envelope;
  envelope.m_cluster = "westsign";
  envelope.m_sender = NodeId("node-1");
  envelope.m_incarnation = 7;
  envelope.m_receiver = NodeId("node-2");
  envelope.m_sequence = 9;
  envelope.m_proof = std::string("\0proof", 6);
  envelope.m_payload = aPayload;
  return envelope;
}

TEST_CASE("envelopes arrive whole, each once and in order")
{
  EventLoop loop;
  PeerRpc rpc(loop);
  std::vector<std::string> received;
  rpc.SetHandler([&](const Envelope& aEnvelope) {
    CHECK(aEnvelope.m_cluster == "westsign");
    CHECK(aEnvelope.m_sender == NodeId("node-1"));
    CHECK(aEnvelope.m_incarnation == 7);
    CHECK(aEnvelope.m_receiver == NodeId("node-2"));
    CHECK(aEnvelope.m_sequence == 9);
    CHECK(aEnvelope.m_proof == std::string("\0proof", 6));
    received.push_back(aEnvelope.m_payload);
  });
  const Endpoint self{ "127.0.0.1", rpc.Listen({ "127.0.0.1", 0 }) };
  REQUIRE(self.m_port != 0);

  constexpr int kCalls = 200;
  std::vector<std::string> sent;
  std::function<void()> sendNext = [&] {
    sent.push_back("payload " + std::to_string(sent.size()));
    rpc.Send(self, MakeEnvelope(sent.back()), [&](bool aDelivered) {
      CHECK(aDelivered);
      sent.size() < kCalls ? sendNext() : loop.Stop();
    });
  };
  sendNext();
  loop.Run();
  CHECK(received == sent);
}

TEST_CASE("what an envelope returns of an earlier message arrives, and none if "
          "it returns nothing")
{
  EventLoop loop;
  PeerRpc rpc(loop);
  std::vector<std::optional<MessageEcho>> received;
  rpc.SetHandler(
    [&](const Envelope& aEnvelope) { received.push_back(aEnvelope.m_echo); });
  const Endpoint self{ "127.0.0.1", rpc.Listen({ "127.0.0.1", 0 }) };
  REQUIRE(self.m_port != 0);
  Envelope envelope = MakeEnvelope("one");
  rpc.Send(self, envelope, [](bool aDelivered) { CHECK(aDelivered); });
  envelope.m_echo = MessageEcho{ 5, Millis(6'000'000'000), Millis(-7) };
  rpc.Send(self, envelope, [&](bool aDelivered) {
    CHECK(aDelivered);
    loop.Stop();
  });
  loop.Run();
  REQUIRE(received.size() == 2);
  CHECK_FALSE(received[0].has_value());
  REQUIRE(received[1].has_value());
  CHECK(received[1]->m_incarnation == 5);
  CHECK(received[1]->m_sentAt == Millis(6'000'000'000));
  CHECK(received[1]->m_arrivedAt == Millis(-7));
}

TEST_CASE("the longest payload arrives, though messages that are not whole are "
          "bounded to less")
{
  EventLoop loop;
  PeerRpc rpc(loop);
  rpc.SetLimits(8, 1024 * 1024);
  const std::string payload(4 * 1024 * 1024, 'x');
  bool hasArrived = false;
  rpc.SetHandler([&](const Envelope& aEnvelope) {
    hasArrived = aEnvelope.m_payload == payload;
  });
  const Endpoint self{ "127.0.0.1", rpc.Listen({ "127.0.0.1", 0 }) };
  rpc.Send(self, MakeEnvelope(payload), [&](bool) { loop.Stop(); });
  loop.Run();
  CHECK(hasArrived);
}

TEST_CASE(
  "a peer that isn't there fails the call, and the next one goes through")
{
  EventLoop loop;
  PeerRpc rpc(loop);
  int received = 0;
  rpc.SetHandler([&](const Envelope&) { ++received; });
  const Endpoint self{ "127.0.0.1", rpc.Listen({ "127.0.0.1", 0 }) };
  // Port 1 is reserved; nothing listens there.
  const Endpoint closed{ "127.0.0.1", 1 };
  rpc.Send(closed, MakeEnvelope("lost"), [&](bool aDelivered) {
    CHECK_FALSE(aDelivered);
    rpc.Send(self, MakeEnvelope("kept"), [&](bool aDeliveredAgain) {
      CHECK(aDeliveredAgain);
      loop.Stop();
    });
  });
  loop.Run();
  CHECK(received == 1);
}

TEST_CASE("calls beyond the bound for one peer fail at once")
{
  EventLoop loop;
  PeerRpc rpc(loop);
  rpc.SetHandler([](const Envelope&) {});
  const Endpoint self{ "127.0.0.1", rpc.Listen({ "127.0.0.1", 0 }) };
  constexpr int kCalls = 40;
  constexpr int kBound = 16;
  int delivered = 0;
  int failed = 0;
  for (int i = 0; i < kCalls; ++i) {
    rpc.Send(self, MakeEnvelope("x"), [&](bool aDelivered) {
      aDelivered ? ++delivered : ++failed;
      if (delivered + failed == kCalls) {
        loop.Stop();
      }
    });
  }
  loop.Run();
  CHECK(delivered == kBound);
  CHECK(failed == kCalls - kBound);
}

} // namespace
} // namespace briarglade
