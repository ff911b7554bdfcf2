// Tests of the division of room between nodes that learn of it late.

#include "briarglade/gateway/start_allowance.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <vector>

namespace briarglade {
namespace {

TEST_CASE("without an update and with much room there is no effective bound")
{
  StartAllowance allowance;
  CHECK(allowance.MayStart(1'000));
  allowance.Update(ModelLoad{ 2, 50, 156, 24 }, 0);
  // 156 slots less 15 %, less the 50 in flight and 15 % of these.
  CHECK(allowance.MayStart(76));
}

// Guards against late work that uses up a node's part of the room.
TEST_CASE("late requests take only room that need not be divided")
{
  StartAllowance allowance;
  CHECK(allowance.MayStartLate(1'000));
  allowance.Update(ModelLoad{ 5, 120, 156, 24 }, 0.5);
  CHECK(allowance.MayStart(5));
  CHECK_FALSE(allowance.MayStartLate(5));
  allowance.Update(ModelLoad{ 5, 60, 156, 24 }, 0);
  CHECK(allowance.MayStartLate(5));
}

TEST_CASE("a node alone uses every slot")
{
  StartAllowance allowance;
  allowance.Update(ModelLoad{ 10, 10, 10, 1 }, 0);
  CHECK_FALSE(allowance.MayStart(10));
  // One of its own requests has ended.
  CHECK(allowance.MayStart(9));
}

// Guards against all nodes taking the same room, and against nodes that never
// get any because others replace their own requests for good.
TEST_CASE("nodes that all have requests waiting fill the slots evenly, without "
          "more than they hold")
{
  for (const uint32_t count : { 9U, 24U, 320U }) {
    CAPTURE(count);
    constexpr uint32_t kSlots = 156;
    std::mt19937 random(1);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<StartAllowance> nodes(count);
    std::vector<uint32_t> own(count, 0);
    std::vector<uint64_t> sum(count, 0);
    // Half of the nodes start with everything.
    for (uint32_t i = 0; i < kSlots; ++i) {
      ++own[i % (count / 2)];
    }
    uint64_t total = 0;
    constexpr int kUpdates = 1'600;
    for (int update = 0; update < kUpdates; ++update) {
      uint32_t all = 0;
      for (const uint32_t part : own) {
        all += part;
      }
      for (uint32_t i = 0; i < count; ++i) {
        nodes[i].Update(ModelLoad{ own[i], all, kSlots, count }, draw(random));
        // Requests are short: all may be replaced between two updates.
        own[i] = 0;
        while (nodes[i].MayStart(own[i])) {
          ++own[i];
        }
        sum[i] += own[i];
      }
      total += all;
      if (update > 20) {
        CHECK(all <= kSlots * 5 / 4);
      }
    }
    // What the others may have started unseen stays free.
    CHECK(total >= uint64_t{ kSlots } * kUpdates * 8 / 10);
    CHECK(total <= uint64_t{ kSlots } * kUpdates);
    const double mean = static_cast<double>(total) / count;
    CHECK(static_cast<double>(*std::min_element(sum.begin(), sum.end())) >=
          mean / 2);
  }
}

} // namespace
} // namespace briarglade
