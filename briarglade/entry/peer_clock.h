// Estimates the steady clock of one run of another node, from above. The other
// node tells when, by its clock, a message of this node arrived: when this node
// sent that message, the other clock showed no later time. The estimate uses
// the message that was on its way for the shortest time. It is never behind the
// other clock, however long messages take.
//
// Example:
//   clock.OnEcho(echo.m_sentAt, echo.m_arrivedAt);
//   const Millis age = *clock.LatestAt(now) - update.m_sentAt;

#pragma once

#include <optional>

#include "briarglade/base/millis.h"

namespace briarglade {

class PeerClock
{
public:
  // Records that a message that this node sent at aSentAt arrived when the
  // other clock showed aArrivedAt.
  void OnEcho(Millis aSentAt, Millis aArrivedAt)
  {
    const Millis latest = aArrivedAt + kRounding;
    const bool isFirst = !m_latest;
    // What comes back of a message that is older than the one used so far is
    // from an earlier connection, and not needed.
    if (isFirst || (aSentAt >= m_notedAt && latest <= *LatestAt(aSentAt))) {
      m_latest = latest;
      m_notedAt = aSentAt;
    }
  }

  // Returns the latest time that the other clock may show at aNow; nothing if
  // no message has come back yet. aNow must not be before the last echo.
  std::optional<Millis> LatestAt(Millis aNow) const
  {
    if (!m_latest) {
      return std::nullopt;
    }
    const Millis elapsed = aNow - m_notedAt;
    return *m_latest + elapsed + Millis(elapsed.Count() / kDriftPart);
  }

private:
  // Two clocks drift apart by less than 1/kDriftPart of the elapsed time.
  static constexpr int64_t kDriftPart = 1'000;
  // Times are told in whole milliseconds, rounded down.
  static constexpr Millis kRounding = Millis(1);

  std::optional<Millis> m_latest;
  Millis m_notedAt;
};

} // namespace briarglade
