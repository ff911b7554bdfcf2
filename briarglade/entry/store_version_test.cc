// Tests of versions across the store's eras.

#include "briarglade/entry/store_version.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

using Version = StrongCount<struct VersionTag>;

TEST_CASE("each version of an era is higher than all of the era before")
{
  const auto last = MakeStoreVersion<Version>(StoreEra(1), kMaxStoreNumber);
  const auto next = MakeStoreVersion<Version>(StoreEra(2), 0);
  CHECK(last < next);
  CHECK(next < MakeStoreVersion<Version>(StoreEra(2), 1));
}

TEST_CASE("a version gives back its era and its number, also the largest")
{
  const auto largest =
    MakeStoreVersion<Version>(StoreEra(kMaxStoreEra), kMaxStoreNumber);
  CHECK(EraOf(largest) == StoreEra(kMaxStoreEra));
  CHECK(NumberOf(largest) == kMaxStoreNumber);
  const auto version = MakeStoreVersion<Version>(StoreEra(5), 1'234);
  CHECK(EraOf(version) == StoreEra(5));
  CHECK(NumberOf(version) == 1'234);
}

TEST_CASE("without an era a version is the store's number")
{
  CHECK(MakeStoreVersion<Version>(StoreEra(), 77) == Version(77));
  CHECK(EraOf(Version(77)) == StoreEra());
}

} // namespace
} // namespace briarglade
