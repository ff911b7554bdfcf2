// Versions of the store across its eras. When the store comes back from an
// older copy of itself, a new era begins: versions go back and are given out
// again. A version therefore holds the era in its high bits, so that versions
// compare as a whole, and none of an earlier era equals or exceeds one of a
// later era.
//
// Example:
//   const auto version = MakeStoreVersion<RowVersion>(era, number);
//   if (EraOf(version) > EraOf(known)) { ReadAll(); }

#pragma once

#include <cstdint>

#include "briarglade/base/strong_id.h"

namespace briarglade {

// Counts the store's returns from an older copy. Zero: the platform doesn't
// tell the era.
using StoreEra = StrongCount<struct StoreEraTag>;

// The number of low bits that hold the number that the store gave.
constexpr unsigned kStoreNumberBits = 44;
constexpr unsigned kVersionBits = 64;
// The largest number and the largest era that a version can hold.
constexpr uint64_t kMaxStoreNumber = (uint64_t{ 1 } << kStoreNumberBits) - 1;
constexpr uint64_t kMaxStoreEra =
  (uint64_t{ 1 } << (kVersionBits - kStoreNumberBits)) - 1;

// Returns a version, of a row or of the store, from its era and number. Neither
// may exceed its maximum.
template<typename Version>
constexpr Version MakeStoreVersion(StoreEra aEra, uint64_t aNumber)
{
  return Version((aEra.Value() << kStoreNumberBits) | aNumber);
}

// Returns the era of a version.
template<typename Version>
constexpr StoreEra EraOf(Version aVersion)
{
  return StoreEra(aVersion.Value() >> kStoreNumberBits);
}

// Returns the number of a version as the store gave it.
template<typename Version>
constexpr uint64_t NumberOf(Version aVersion)
{
  return aVersion.Value() & kMaxStoreNumber;
}

} // namespace briarglade
