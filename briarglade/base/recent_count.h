// Counts what has happened within the last while, exactly.
//
// Example:
//   RecentCount sent(Millis(1'000));
//   if (sent.Count(now) < limit) { sent.Note(now); Send(); }

#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "briarglade/base/millis.h"

namespace briarglade {

class RecentCount
{
public:
  RecentCount() = default;
  explicit RecentCount(Millis aWindow)
    : m_window(aWindow)
  {
  }

  // Notes that it has happened now. Instants never go back.
  void Note(Millis aNow)
  {
    Forget(aNow);
    m_at.push_back(aNow);
  }

  // Returns how often it has happened since a window ago.
  size_t Count(Millis aNow) const
  {
    const auto first =
      std::upper_bound(m_at.begin(), m_at.end(), aNow - m_window);
    return static_cast<size_t>(m_at.end() - first);
  }

  // Returns when the count is below aLimit, which must not be zero, if it
  // happens no more until then.
  Millis BelowAt(Millis aNow, size_t aLimit) const
  {
    const size_t count = Count(aNow);
    return count < aLimit ? aNow : m_at[m_at.size() - aLimit] + m_window;
  }

private:
  void Forget(Millis aNow)
  {
    while (!m_at.empty() && m_at.front() <= aNow - m_window) {
      m_at.pop_front();
    }
  }

  Millis m_window = Millis(1'000);
  std::deque<Millis> m_at;
};

} // namespace briarglade
