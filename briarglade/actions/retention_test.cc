// Rows outlive the retention and not much more, whatever happens to the nodes
// that wrote them.

#include "briarglade/actions/retention.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <vector>

#include "briarglade/actions/actions_world_test.h"

namespace briarglade::testing {
namespace {

constexpr Millis kSlowTick = Millis(2'000);
constexpr Millis kHour = Millis(3'600'000);
constexpr Millis kAllowed = Millis(10'000);
constexpr size_t kNodes = 3;
constexpr size_t kRows = 300;
// The row of the retention clock.
constexpr size_t kClockRows = 1;

// Restarts one node every hour, so that no writer of a row is there to see it
// expire.
void RunWithRestarts(World& aWorld, int aHours)
{
  for (int hour = 0; hour < aHours; ++hour) {
    aWorld.RunFor(kHour);
    aWorld.Restart(static_cast<size_t>(hour) % kNodes);
  }
}

TEST_CASE("rows of nodes long dead are kept for the retention, then deleted")
{
  World world(kNodes, kMaxInlineBytes, kSlowTick);
  std::vector<std::string> sent;
  for (size_t row = 0; row < kRows; ++row) {
    sent.push_back(
      world.Send(row % kNodes, "key-" + std::to_string(row), 1, kAllowed));
    world.RunFor(Millis(50));
  }
  world.RunFor(kAllowed);
  CHECK(world.ObjectCount() == kRows);

  const int hours = static_cast<int>(kRetentionTime.Count() / kHour.Count());
  RunWithRestarts(world, hours);
  CHECK(world.RowCount() == kRows + kClockRows);
  const std::string repeat = world.Send(1, "key-7", 1, kAllowed);
  world.RunFor(kAllowed);
  CHECK(world.Told(repeat) == ResultCode::OkReplayed);

  RunWithRestarts(world, hours);
  CHECK(world.RowCount() == kClockRows);
  CHECK(world.ObjectCount() == 0);
}

TEST_CASE("the retention clock is never faster than its epoch")
{
  World world(kNodes, 0, kSlowTick);
  int storeFault = 0;
  world.m_onClock = [&storeFault](size_t) {
    return static_cast<StoreFault>(++storeFault % (kStoreFaults - 1));
  };
  const Millis begin = world.Now();
  for (int step = 0; step < 60; ++step) {
    world.Pause(static_cast<size_t>(step) % kNodes, kHour / 3);
    world.RunFor(kHour / 2);
    if (step % 7 == 0) {
      world.Restart(static_cast<size_t>(step) % kNodes);
    }
    const auto whole =
      static_cast<uint64_t>((world.Now() - begin).Count() / kHour.Count());
    for (size_t node = 0; node < kNodes; ++node) {
      const RetentionState& retention = world.State(node).m_retention;
      CHECK(retention.m_epoch.Value() <= whole + 2);
    }
  }
  // And it does run.
  CHECK(world.State(0).m_retention.m_epoch.Value() > 10);
}

TEST_CASE("without a fresh clock nothing is recorded")
{
  World world(1, 0, kSlowTick);
  CHECK(FreshEpoch(world.State(0).m_retention, world.Now()).has_value());
  const Millis later = world.Now() + kRetentionEpochTime;
  CHECK_FALSE(FreshEpoch(world.State(0).m_retention, later).has_value());

  ActionsState state = MakeActionsState(NodeId("node-1"), 1);
  RequestArrived request;
  request.m_request = RequestId("r1");
  request.m_key = IdempotencyKey("key");
  request.m_deadline = kAllowed;
  const ActionsEffects effects = ReduceActions(state, Millis(1), request);
  REQUIRE(effects.size() == 1);
  const auto* finish = std::get_if<FinishRequest>(&effects.front());
  REQUIRE(finish != nullptr);
  CHECK(finish->m_code == ResultCode::RecordUnavailable);
}

// Lists slices of a table that holds aRows(listing) rows in all, and returns
// the rows of the largest listing once the size of the slices has settled.
size_t LargestListing(const std::function<size_t(int)>& aRows)
{
  constexpr int kListings = 200;
  constexpr int kSettling = 10;
  RetentionState state = MakeRetentionState(NodeId("node-1"), 1);
  state.m_epoch = RetentionEpoch(1);
  state.m_clockOperation = OperationId("under way");
  UniqueIds ids(NodeId("node-1"), 1);
  size_t largest = 0;
  size_t listed = 0;
  Millis settledAt;
  Millis now;
  for (int listing = 0; listing < kListings; ++listing) {
    now = std::max(now + kSweepPeriod, state.m_sweepDueAt);
    state.m_clockReadAt = now;
    settledAt = listing == kSettling ? now : settledAt;
    ActionsEffects effects;
    OnRetentionTick(state, now, ids, effects);
    REQUIRE(effects.size() == 1);
    const TableRead read = std::get<TableRead>(effects.front());
    const size_t digits = read.m_key.Value().size() - 7;
    TableResult result;
    result.m_operation = read.m_operation;
    result.m_status = TableStatus::Ok;
    const size_t rows = aRows(listing) >> (4 * digits);
    result.m_rows.resize(rows);
    if (listing >= kSettling) {
      listed += rows;
    }
    largest = listing < kSettling ? 0 : std::max(largest, rows);
    CHECK(OnRetentionResult(state, now, result));
  }
  // The pace of the sweep, give or take the last listing.
  const Millis due = kSweepRowTime * static_cast<int64_t>(listed - largest);
  CHECK(now - settledAt >= due);
  return largest;
}

TEST_CASE("listings stay small from an empty table to 20 million rows")
{
  constexpr size_t kMillion = 1'000'000;
  CHECK(LargestListing([](int) { return size_t{ 0 }; }) == 0);
  CHECK(LargestListing([](int) { return kMillion; }) <= kSliceRowsHigh);
  CHECK(LargestListing([](int) { return 20 * kMillion; }) <= kSliceRowsHigh);
}

TEST_CASE("listings stay small while a table fills")
{
  // A fifth more rows with each listing.
  const auto growing = [](int aListing) {
    return static_cast<size_t>(std::min(20'000'000.0, std::pow(1.2, aListing)));
  };
  const size_t largest = LargestListing(growing);
  CHECK(largest > 0);
  CHECK(largest <= kSliceRowsHigh * 6 / 5 + 1);
}

} // namespace
} // namespace briarglade::testing
