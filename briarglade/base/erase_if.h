// Removes the entries of a map or set that a predicate holds for.
//
// Example:
//   EraseIf(leases, [&](const auto& aEntry) { return aEntry.second < now; });

#pragma once

#include <iterator>

namespace briarglade {

template<typename Container, typename Predicate>
void EraseIf(Container& aContainer, const Predicate& aPredicate)
{
  for (auto entry = aContainer.begin(); entry != aContainer.end();) {
    entry = aPredicate(*entry) ? aContainer.erase(entry) : std::next(entry);
  }
}

} // namespace briarglade
