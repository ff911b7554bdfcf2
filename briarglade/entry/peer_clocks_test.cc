// Tests of when messages of other nodes were sent.

#include "briarglade/entry/peer_clocks.h"

#include <doctest/doctest.h>
#include <optional>

namespace briarglade {
namespace {

constexpr uint64_t kOwnRun = 7;
constexpr uint64_t kPeerRun = 3;
const NodeId kPeer("b");

// A message of the peer. Its echo: that a message of this node, sent at a time
// by this node's clock, arrived at a time by the peer's.
MessageTimes Message(Millis aSentAt,
                     std::optional<Millis> aEchoSentAt = std::nullopt,
                     Millis aEchoArrivedAt = Millis())
{
  MessageTimes message{ kPeer, kPeerRun, aSentAt, std::nullopt };
  if (aEchoSentAt) {
    message.m_echo = MessageEcho{ kOwnRun, *aEchoSentAt, aEchoArrivedAt };
  }
  return message;
}

// The peer's clock is 5,000 ms ahead. A message of this node of 1,000 ms took
// 10 ms, and comes back 10 ms later.
PeerClocks KnownClocks()
{
  PeerClocks clocks(kOwnRun);
  clocks.OnMessage(Millis(1'020),
                   Message(Millis(6'010), Millis(1'000), Millis(6'010)));
  return clocks;
}

TEST_CASE("a message of a run of which nothing has come back may be of any age")
{
  PeerClocks clocks(kOwnRun);
  const SendTime sentAt =
    clocks.OnMessage(Millis(1'000), Message(Millis(6'000)));
  CHECK(!sentAt.IsKnown());
  CHECK(sentAt.NotBefore() < Millis());
  CHECK(sentAt.KnownDelay() == Millis());
  CHECK(clocks.TakeQuestion(Millis(1'000), kPeer));
  CHECK(!clocks.TakeQuestion(Millis(1'100), kPeer));
  CHECK(clocks.TakeQuestion(Millis(1'200), kPeer));
}

TEST_CASE("a message is placed before it was sent, by no more than the way of "
          "the one that came back")
{
  PeerClocks clocks = KnownClocks();
  CHECK(!clocks.TakeQuestion(Millis(1'020), kPeer));
  // Sent at 2,000 by this node's clock, 20 ms ago.
  const SendTime fast = clocks.OnMessage(Millis(2'020), Message(Millis(7'000)));
  REQUIRE(fast.IsKnown());
  CHECK(fast.NotBefore() <= Millis(2'000));
  CHECK(fast.NotBefore() >= Millis(2'000) - Millis(10) - Millis(2));
  // One that was held back for 5 s, and an older one that comes after it.
  const SendTime late = clocks.OnMessage(Millis(8'000), Message(Millis(8'000)));
  CHECK(late.NotBefore() <= Millis(3'000));
  CHECK(late.NotBefore() >= Millis(2'980));
  const SendTime older =
    clocks.OnMessage(Millis(8'000), Message(Millis(7'500)));
  CHECK(older.NotBefore() < late.NotBefore());
  CHECK(late.At(ToldAge(Millis(100))) == late.NotBefore() - Millis(100));
  CHECK(late.AgeAtReceipt(ToldAge(Millis(100))) ==
        late.KnownDelay() + Millis(100));
}

TEST_CASE("what comes back late makes no message newer than it is")
{
  PeerClocks clocks(kOwnRun);
  // This node's message of 1,000 ms arrives 4 s later. The answer is sent at
  // once, at 5,000 by this node's clock.
  const SendTime first = clocks.OnMessage(
    Millis(5'010), Message(Millis(10'000), Millis(1'000), Millis(10'000)));
  REQUIRE(first.IsKnown());
  CHECK(first.NotBefore() <= Millis(1'000));
  // A fast one corrects that at once.
  const SendTime next = clocks.OnMessage(
    Millis(5'040), Message(Millis(10'030), Millis(5'010), Millis(10'020)));
  CHECK(next.NotBefore() <= Millis(5'030));
  CHECK(next.NotBefore() >= Millis(5'015));
}

TEST_CASE("what comes back to another run of this node, or from the future, "
          "counts for nothing")
{
  PeerClocks clocks(kOwnRun);
  MessageTimes message = Message(Millis(6'010), Millis(1'000), Millis(6'010));
  message.m_echo->m_incarnation = kOwnRun + 1;
  CHECK(!clocks.OnMessage(Millis(1'020), message).IsKnown());
  CHECK(!clocks
           .OnMessage(Millis(1'020),
                      Message(Millis(6'020), Millis(1'021), Millis(6'015)))
           .IsKnown());
}

TEST_CASE("another run of a node has another clock")
{
  PeerClocks clocks = KnownClocks();
  MessageTimes message = Message(Millis(7'000));
  message.m_incarnation = kPeerRun + 1;
  CHECK(!clocks.OnMessage(Millis(2'020), message).IsKnown());
  CHECK(clocks.TakeQuestion(Millis(2'020), kPeer));
}

TEST_CASE("a clock that was set forwards is not believed until it is confirmed")
{
  PeerClocks clocks = KnownClocks();
  CHECK(!clocks.OnMessage(Millis(2'020), Message(Millis(9'000))).IsKnown());
  CHECK(clocks.ResetCount() == 1);
  CHECK(clocks.TakeQuestion(Millis(2'020), kPeer));
  CHECK(clocks
          .OnMessage(Millis(2'060),
                     Message(Millis(9'030), Millis(2'020), Millis(9'020)))
          .IsKnown());
}

TEST_CASE("a clock that stood still makes messages older until it is confirmed")
{
  PeerClocks clocks = KnownClocks();
  const SendTime before =
    clocks.OnMessage(Millis(8'020), Message(Millis(7'000)));
  CHECK(before.NotBefore() <= Millis(2'000));
  const SendTime after = clocks.OnMessage(
    Millis(8'060), Message(Millis(7'030), Millis(8'020), Millis(7'020)));
  // Times are told in whole milliseconds.
  CHECK(after.NotBefore() >= Millis(8'030) - Millis(1));
}

TEST_CASE("a clock that was not confirmed for long is asked for again, and its "
          "messages count as older by the drift")
{
  PeerClocks clocks = KnownClocks();
  CHECK(!clocks.TakeQuestion(Millis(11'000), kPeer));
  CHECK(clocks.TakeQuestion(Millis(11'020), kPeer));
  const SendTime sentAt =
    clocks.OnMessage(Millis(101'000), Message(Millis(106'000)));
  CHECK(sentAt.NotBefore() <= Millis(100'900));
  CHECK(sentAt.NotBefore() >= Millis(100'880));
}

TEST_CASE("a message of an earlier version, which tells no time, counts as "
          "sent when it comes")
{
  PeerClocks clocks(kOwnRun);
  MessageTimes message = Message(Millis());
  message.m_sentAt.reset();
  CHECK(clocks.OnMessage(Millis(1'000), message).NotBefore() == Millis(1'000));
  CHECK(!clocks.EchoFor(kPeer).has_value());
  CHECK(!clocks.TakeQuestion(Millis(1'000), kPeer));
}

TEST_CASE("a message returns the last one from its receiver, and nothing of a "
          "node that was removed")
{
  PeerClocks clocks = KnownClocks();
  const auto echo = clocks.EchoFor(kPeer);
  REQUIRE(echo.has_value());
  CHECK(echo->m_incarnation == kPeerRun);
  CHECK(echo->m_sentAt == Millis(6'010));
  CHECK(echo->m_arrivedAt == Millis(1'020));
  clocks.Remove(kPeer);
  CHECK(!clocks.EchoFor(kPeer).has_value());
}

} // namespace
} // namespace briarglade
