// Deques of timed entries, bounded in size and age.
//
// Example:
//   AppendBounded(losses, Loss{ now, server }, kMaxLosses);
//   DropOlderThan(losses, now - kWindow);

#pragma once

#include <cstddef>
#include <deque>
#include <utility>

#include "briarglade/base/millis.h"

namespace briarglade::internal {

// Appends an entry and drops the first one if there are more than aMax.
template<typename Entry>
void AppendBounded(std::deque<Entry>& aEntries, Entry aEntry, size_t aMax)
{
  aEntries.push_back(std::move(aEntry));
  if (aEntries.size() > aMax) {
    aEntries.pop_front();
  }
}

// Drops the entries, which are in the order of their m_at, before an instant.
template<typename Entry>
void DropOlderThan(std::deque<Entry>& aEntries, Millis aInstant)
{
  while (!aEntries.empty() && aEntries.front().m_at < aInstant) {
    aEntries.pop_front();
  }
}

} // namespace briarglade::internal
