// How long the rows of non-idempotent calls are kept, and how expired ones are
// found and deleted.
//
// Time. Nodes share no clock, so a row in the table counts epochs: a node may
// raise the number only after it has seen it unchanged for a whole epoch on its
// own steady clock, by a conditional write. Epochs are therefore never shorter
// than kRetentionEpochTime, whatever the nodes' wall clocks say. A row carries
// the epoch in which it was recorded.
//
// Finding. Row names are spread evenly over hexadecimal digits. Each node walks
// the digits from a point of its own and lists one small slice at a time; no
// index is kept and nothing is handed over when a node dies.
//
// Example:
//   if (std::optional<RetentionEpoch> epoch = FreshEpoch(state, now)) { ... }

#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "briarglade/actions/action_row.h"
#include "briarglade/actions/actions_event.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/unique_ids.h"

namespace briarglade {

// The shortest time between two epochs.
constexpr Millis kRetentionEpochTime = Millis(3'600'000);
// A key is remembered for at least this long.
constexpr Millis kRetentionTime = Millis(24 * 3'600'000);
// The age of a row's epoch, in epochs, at which it is deleted: the retention,
// and three for a writer whose reading of the clock was kRetentionEpochTime old
// and stood at the end of its epoch.
constexpr uint64_t kRetentionEpochs = 24 + 3;
// How often a node reads the retention clock.
constexpr Millis kRetentionClockPeriod = Millis(300'000);
// How soon it asks again when a read failed.
constexpr Millis kRetentionClockRetry = Millis(1'000);
// The least time between two listings of a node, and the time that it waits for
// each row listed: the bound on what the sweep reads.
constexpr Millis kSweepPeriod = Millis(10'000);
constexpr Millis kSweepRowTime = Millis(500);
// Rows in one listing at which the slices are made smaller, or larger.
constexpr size_t kSliceRowsHigh = 64;
constexpr size_t kSliceRowsLow = 4;
// Time between two deletions of a node: its share of the table's writes.
constexpr Millis kDeletePeriod = Millis(600);
// Expired rows remembered at once.
constexpr size_t kMaxExpiredRows = 256;
// The longest slice prefix, in hexadecimal digits.
constexpr uint32_t kMaxSliceDigits = 5;

// The row that holds the retention clock.
constexpr char kRetentionClockRow[] = "action-clock";

// A row to delete.
struct ExpiredRow
{
  RowKey m_key;
  RowVersion m_version;
  // The object that holds the answer's body; empty if there is none.
  ObjectName m_object;
};

struct RetentionState
{
  // The clock, as last read.
  RetentionEpoch m_epoch;
  RowVersion m_clockVersion;
  // When this node first saw m_epoch, and when it last read the clock.
  Millis m_epochSeenAt;
  Millis m_clockReadAt;
  Millis m_clockDueAt;
  OperationId m_clockOperation;
  // The next operation on the clock raises it; else it is a read.
  bool m_mayRaise = false;

  // The sweep: the slice to list next, as the first digits of a row's hash.
  uint32_t m_sliceStart = 0;
  uint32_t m_sliceDigits = kMaxSliceDigits;
  Millis m_sweepDueAt;
  OperationId m_sweepOperation;

  std::deque<ExpiredRow> m_expired;
  Millis m_deleteDueAt;
  OperationId m_deleteOperation;
  // Rows deleted since the start.
  uint64_t m_deletedCount = 0;
};

// Returns a state whose sweep starts at a point of the node's own.
RetentionState MakeRetentionState(const NodeId& aNode, uint64_t aIncarnation);

// Returns the epoch for a row recorded now, or nothing while the clock has not
// been read for an epoch's time.
std::optional<RetentionEpoch> FreshEpoch(const RetentionState& aState,
                                         Millis aNow);

// Reads the clock, lists the next slice and deletes one row, where due.
void OnRetentionTick(RetentionState& aState,
                     Millis aNow,
                     UniqueIds& aIds,
                     ActionsEffects& aEffects);

// Takes the end of an operation; returns false if it isn't one of retention's.
bool OnRetentionResult(RetentionState& aState,
                       Millis aNow,
                       const TableResult& aResult);
bool OnRetentionResult(RetentionState& aState,
                       const ObjectResult& aResult,
                       UniqueIds& aIds,
                       ActionsEffects& aEffects);

} // namespace briarglade
