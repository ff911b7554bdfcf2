// What a message returns to its receiver of an earlier message of that one, so
// that the receiver can tell how long messages take.

#pragma once

#include <cstdint>

#include "briarglade/base/millis.h"

namespace briarglade {

struct MessageEcho
{
  // The receiver's run that sent the earlier message, and when it did so, by
  // the receiver's clock.
  uint64_t m_incarnation = 0;
  Millis m_sentAt;
  // When the earlier message arrived, by the sender's clock.
  Millis m_arrivedAt;
};

} // namespace briarglade
