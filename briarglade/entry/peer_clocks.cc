// Keeps the clocks of the nodes that send messages to this one.

#include "briarglade/entry/peer_clocks.h"

namespace briarglade {

namespace {

// A clock that was not confirmed for this long may have drifted by a hundredth
// of a second.
constexpr Millis kConfirmPeriod = Millis(10'000);
// The least time between two questions to one node.
constexpr Millis kQuestionPeriod = Millis(150);

} // namespace

SendTime PeerClocks::OnMessage(Millis aNow, const MessageTimes& aMessage)
{
  if (!aMessage.m_sentAt) {
    return { aNow, aNow };
  }
  Peer& peer = m_peers[aMessage.m_sender];
  if (peer.m_incarnation != aMessage.m_incarnation) {
    peer = Peer();
    peer.m_incarnation = aMessage.m_incarnation;
  }
  if (aMessage.m_echo) {
    ApplyEcho(aNow, peer, *aMessage.m_echo);
  }
  peer.m_sentAt = *aMessage.m_sentAt;
  peer.m_arrivedAt = aNow;
  const std::optional<Millis> latest = peer.m_clock.LatestAt(aNow);
  if (!latest) {
    return { aNow, std::nullopt };
  }
  const Millis age = *latest - *aMessage.m_sentAt;
  if (age < Millis()) {
    // One of the clocks was set, or stood still.
    ++m_resetCount;
    peer.m_clock = PeerClock();
    peer.m_confirmedAt.reset();
    return { aNow, std::nullopt };
  }
  return { aNow, aNow - age };
}

void PeerClocks::ApplyEcho(Millis aNow,
                           Peer& aPeer,
                           const MessageEcho& aEcho) const
{
  // An earlier run of this node may have had another clock.
  const bool isOwn = aEcho.m_incarnation == m_incarnation;
  if (!isOwn || aEcho.m_sentAt > aNow) {
    return;
  }
  aPeer.m_clock.OnEcho(aEcho.m_sentAt, aEcho.m_arrivedAt);
  aPeer.m_confirmedAt = aNow;
}

std::optional<MessageEcho> PeerClocks::EchoFor(const NodeId& aNode) const
{
  const auto peer = m_peers.find(aNode);
  if (peer == m_peers.end()) {
    return std::nullopt;
  }
  return MessageEcho{ peer->second.m_incarnation,
                      peer->second.m_sentAt,
                      peer->second.m_arrivedAt };
}

bool PeerClocks::TakeQuestion(Millis aNow, const NodeId& aNode)
{
  const auto found = m_peers.find(aNode);
  if (found == m_peers.end()) {
    return false;
  }
  Peer& peer = found->second;
  const bool isConfirmed =
    peer.m_confirmedAt && aNow - *peer.m_confirmedAt < kConfirmPeriod;
  const bool wasJustAsked =
    peer.m_askedAt && aNow - *peer.m_askedAt < kQuestionPeriod;
  if (isConfirmed || wasJustAsked) {
    return false;
  }
  peer.m_askedAt = aNow;
  return true;
}

} // namespace briarglade
