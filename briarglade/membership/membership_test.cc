// Tests of acceptance and confirmation under faults, on virtual time.

#include "briarglade/membership/membership.h"

#include <algorithm>
#include <doctest/doctest.h>

#include "briarglade/membership/fake_region_test.h"

namespace briarglade {
namespace {

// A region whose nodes have joined and hold version 1.
FakeRegion MakeRegion(size_t aCount)
{
  FakeRegion region(aCount);
  region.Run(Millis(static_cast<int64_t>(aCount) * 1'500));
  region.Apply(0, 0);
  region.Run(Millis(2'000));
  return region;
}

TEST_CASE("nodes join one by one and a change is accepted")
{
  FakeRegion region = MakeRegion(9);
  CHECK(region.CountConfirmed() == 9);
  for (const FakeNode& node : region.m_nodes) {
    CHECK(node.m_state.m_members.size() == 9);
    CHECK(node.m_adoptedVersion == 1);
  }
}

} // namespace
} // namespace briarglade
