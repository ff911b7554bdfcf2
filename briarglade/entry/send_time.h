// When a message of another node was sent, by this node's clock. The way of a
// message has no bound: its sender's link may have held it back, also after its
// sender has ended, or this process may have been paused before it read it. So
// all that a message tells is placed in time by this class, not by the time of
// its receipt.
//
// Example:
//   const SendTime sentAt = clocks.OnMessage(now, node, incarnation, times);
//   const Millis seenAt = sentAt.At(status.m_age);

#pragma once

#include <optional>

#include "briarglade/base/millis.h"
#include "briarglade/entry/told_age.h"

namespace briarglade {

class SendTime
{
public:
  // aNotBefore: a time before which the message was not sent; nothing if it may
  // have been on its way for any time.
  SendTime(Millis aReceivedAt, std::optional<Millis> aNotBefore)
    : m_receivedAt(aReceivedAt)
    , m_notBefore(aNotBefore)
  {
  }

  // Returns whether it is known for how long the message was on its way at
  // most.
  bool IsKnown() const { return m_notBefore.has_value(); }
  // Returns a time before which the message was not sent; one that is long past
  // if that is not known.
  Millis NotBefore() const
  {
    return m_notBefore.value_or(m_receivedAt - kLongAgo);
  }
  // Returns the time that was an age ago when the message was sent, or an
  // earlier one.
  Millis At(ToldAge aAge) const { return NotBefore() - aAge.WhenSent(); }
  // Returns such an age as of the message's receipt.
  Millis AgeAtReceipt(ToldAge aAge) const { return m_receivedAt - At(aAge); }
  // Returns for how long the message was on its way at most; zero if that is
  // not known.
  Millis KnownDelay() const
  {
    return m_notBefore ? m_receivedAt - *m_notBefore : Millis();
  }

private:
  // Longer than anything that a message tells counts, and short enough to be
  // told in 32 bits.
  static constexpr Millis kLongAgo = Millis(1'000'000'000);

  Millis m_receivedAt;
  std::optional<Millis> m_notBefore;
};

} // namespace briarglade
