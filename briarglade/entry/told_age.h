// An age as a message tells it: as of when the message was sent. The time that
// the message has been on its way is not in it; SendTime adds that.

#pragma once

#include "briarglade/base/millis.h"

namespace briarglade {

class ToldAge
{
public:
  constexpr ToldAge() = default;
  constexpr explicit ToldAge(Millis aWhenSent)
    : m_whenSent(aWhenSent)
  {
  }

  // Returns the age when the message was sent.
  constexpr Millis WhenSent() const { return m_whenSent; }

private:
  Millis m_whenSent;
};

} // namespace briarglade
