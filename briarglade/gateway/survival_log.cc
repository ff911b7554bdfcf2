// Two maps, the recent one and the one before it: when the recent one is full
// or old, it replaces the other.

#include "briarglade/gateway/survival_log.h"

#include <algorithm>
#include <utility>

namespace briarglade {

namespace {

// Half of the traits that are remembered at most.
constexpr size_t kMaxRecent = 2'048;
// A survival is remembered for this long at least, if there is room, and for
// twice as long at most.
constexpr Millis kRecentTime = Millis(600'000);

} // namespace

void SurvivalLog::Record(const RequestTrait& aTrait, Millis aAt)
{
  const Millis last = std::max(aAt, LastSurvival(aTrait));
  m_recent[aTrait] = last;
  if (m_recent.size() >= kMaxRecent) {
    Rotate();
  }
}

Millis SurvivalLog::LastSurvival(const RequestTrait& aTrait) const
{
  for (const Times* times : { &m_recent, &m_earlier }) {
    const auto found = times->find(aTrait);
    if (found != times->end()) {
      return found->second;
    }
  }
  return Millis();
}

void SurvivalLog::Expire(Millis aNow)
{
  if (aNow - m_rotatedAt >= kRecentTime) {
    m_rotatedAt = aNow;
    Rotate();
  }
}

void SurvivalLog::Rotate()
{
  m_earlier = std::exchange(m_recent, Times());
}

} // namespace briarglade
