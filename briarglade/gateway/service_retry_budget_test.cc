// Tests of the budget for repeats, for one node and for a whole fleet.

#include "briarglade/gateway/service_retry_budget.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

#include "briarglade/base/make_roster_test.h"
#include "briarglade/gateway/fleet_quota.h"

namespace briarglade {
namespace {

constexpr double kShare = 0.1;
constexpr Millis kWindow = Millis(10'000);

TEST_CASE("repeats are a share of the requests in the window, and a part")
{
  ServiceRetryBudget budget(kShare, kWindow);
  Millis now(1'000);
  CHECK(!budget.TryConsume(now, 0));
  CHECK(budget.TryConsume(now, 1));
  CHECK(!budget.TryConsume(now, 1));
  for (int i = 0; i < 29; ++i) {
    budget.RecordRequest(now);
  }
  CHECK(budget.TryConsume(now, 1));
  CHECK(budget.TryConsume(now, 1));
  CHECK(!budget.TryConsume(now, 1));
  // What was earned before the window isn't saved up.
  now += kWindow;
  CHECK(budget.TryConsume(now, 1));
  CHECK(!budget.TryConsume(now, 1));
}

TEST_CASE("all nodes together repeat no more than the budget of the fleet, "
          "whatever their number")
{
  constexpr uint32_t kSlack = 80;
  constexpr uint32_t kRequestsPerNode = 7;
  for (const uint32_t count : { 1U, 9U, 63U, 87U, 320U }) {
    CAPTURE(count);
    const auto nodes =
      std::make_shared<const std::vector<NodeId>>(MakeRoster(count));
    uint32_t repeats = 0;
    for (const NodeId& node : *nodes) {
      FleetQuota share(node);
      share.SetRoster(nodes, kWindow);
      ServiceRetryBudget budget(kShare, kWindow);
      for (uint32_t i = 0; i < kRequestsPerNode; ++i) {
        budget.RecordRequest(Millis(i));
      }
      const Millis now(100);
      while (budget.TryConsume(now, share.LocalQuota("service", kSlack))) {
        ++repeats;
      }
    }
    CHECK(repeats >= kSlack);
    CHECK(repeats <= kSlack + kShare * kRequestsPerNode * count);
  }
}

} // namespace
} // namespace briarglade
