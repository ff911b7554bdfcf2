// Tells when other nodes sent their messages, by this node's clock, from what
// the messages say about each other's arrival (peer_clock.h). Until a message
// of this node has come back from a run of another node, it is not known for
// how long that run's messages have been on their way, and this node asks.
//
// Load pattern: a few messages a second from each of up to some hundred nodes;
// after a cut, those of several seconds at once, the oldest first.
//
// Example:
//   const SendTime sentAt = clocks.OnMessage(now, message);
//   if (clocks.TakeQuestion(now, message.m_node)) { Ask(message.m_node); }
//   send.m_echo = clocks.EchoFor(message.m_node);

#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "briarglade/base/ids.h"
#include "briarglade/base/message_echo.h"
#include "briarglade/base/millis.h"
#include "briarglade/entry/peer_clock.h"
#include "briarglade/entry/send_time.h"

namespace briarglade {

// What a message says about times.
struct MessageTimes
{
  NodeId m_sender;
  uint64_t m_incarnation = 0;
  // When it was sent, by the sender's clock. Earlier versions don't tell.
  std::optional<Millis> m_sentAt;
  std::optional<MessageEcho> m_echo;
};

class PeerClocks
{
public:
  PeerClocks() = default;
  explicit PeerClocks(uint64_t aIncarnation)
    : m_incarnation(aIncarnation)
  {
  }

  // Records a message and returns when it was sent. A message that does not
  // tell its time counts as sent when it is received.
  SendTime OnMessage(Millis aNow, const MessageTimes& aMessage);
  // Forgets a node.
  void Remove(const NodeId& aNode) { m_peers.erase(aNode); }

  // Returns what a message to a node tells of the last one from there; nothing
  // if there is none.
  std::optional<MessageEcho> EchoFor(const NodeId& aNode) const;
  // Returns whether to ask a node, from which a message has come, for an answer
  // at once: its clock is not known, or not confirmed for long. The caller must
  // do so if true is returned.
  bool TakeQuestion(Millis aNow, const NodeId& aNode);
  // Returns how often a clock was no longer believed, as a message came that it
  // had not reached yet.
  uint64_t ResetCount() const { return m_resetCount; }

private:
  // One run of another node.
  struct Peer
  {
    uint64_t m_incarnation = 0;
    PeerClock m_clock;
    // When its clock was last confirmed, and when this node last asked.
    std::optional<Millis> m_confirmedAt;
    std::optional<Millis> m_askedAt;
    // The last message from it: its time as told, and its arrival here.
    Millis m_sentAt;
    Millis m_arrivedAt;
  };

  void ApplyEcho(Millis aNow, Peer& aPeer, const MessageEcho& aEcho) const;

  uint64_t m_incarnation = 0;
  std::map<NodeId, Peer> m_peers;
  uint64_t m_resetCount = 0;
};

} // namespace briarglade
