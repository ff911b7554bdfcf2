// The retention clock, the sweep and the paced deletions.

#include "briarglade/actions/retention.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarglade/base/rendezvous.h"

namespace briarglade {

namespace {

using nlohmann::json;

constexpr uint32_t kBitsPerDigit = 4;
constexpr uint32_t kHashSpace = 1U << (kBitsPerDigit * kMaxSliceDigits);

OperationId NextOperation(UniqueIds& aIds)
{
  return OperationId(aIds.Next());
}

// The clock.

RetentionEpoch EpochOf(const TableRow& aRow)
{
  const json value = json::parse(aRow.m_value, nullptr, false);
  const bool sound = value.is_object() && value.contains("epoch") &&
                     value["epoch"].is_number_unsigned();
  return RetentionEpoch(sound ? value["epoch"].get<uint64_t>() : 0);
}

void NoteClock(RetentionState& aState, Millis aNow, const TableRow& aRow)
{
  const RetentionEpoch epoch = EpochOf(aRow);
  aState.m_clockVersion = aRow.m_version;
  aState.m_clockReadAt = aNow;
  if (epoch != aState.m_epoch) {
    aState.m_epoch = epoch;
    aState.m_epochSeenAt = aNow;
  }
}

void ReadClock(RetentionState& aState, UniqueIds& aIds, ActionsEffects& aOut)
{
  TableRead read;
  read.m_operation = NextOperation(aIds);
  read.m_key = RowKey(kRetentionClockRow);
  aState.m_clockOperation = read.m_operation;
  aOut.emplace_back(std::move(read));
}

void RaiseClock(RetentionState& aState, UniqueIds& aIds, ActionsEffects& aOut)
{
  TableWrite write;
  write.m_operation = NextOperation(aIds);
  write.m_key = RowKey(kRetentionClockRow);
  write.m_expected = aState.m_clockVersion;
  write.m_value = json{ { "epoch", aState.m_epoch.Next().Value() } }.dump();
  aState.m_clockOperation = write.m_operation;
  aOut.emplace_back(std::move(write));
}

void TickClock(RetentionState& aState,
               Millis aNow,
               UniqueIds& aIds,
               ActionsEffects& aOut)
{
  if (!aState.m_clockOperation.IsEmpty() || aNow < aState.m_clockDueAt) {
    return;
  }
  if (aState.m_mayRaise) {
    RaiseClock(aState, aIds, aOut);
  } else {
    ReadClock(aState, aIds, aOut);
  }
}

void OnClockResult(RetentionState& aState,
                   Millis aNow,
                   const TableResult& aResult)
{
  aState.m_clockOperation = OperationId();
  aState.m_mayRaise = false;
  aState.m_clockDueAt = aNow + kRetentionClockRetry;
  if (aResult.m_status == TableStatus::Conflict) {
    // Another node has raised it.
    aState.m_clockDueAt = aNow;
  }
  if (aResult.m_status == TableStatus::NotFound) {
    aState.m_epoch = RetentionEpoch();
    aState.m_clockVersion = RowVersion();
    aState.m_mayRaise = true;
    aState.m_clockDueAt = aNow;
  }
  if (aResult.m_status != TableStatus::Ok || aResult.m_rows.empty()) {
    return;
  }
  NoteClock(aState, aNow, aResult.m_rows.front());
  aState.m_mayRaise = aNow - aState.m_epochSeenAt >= kRetentionEpochTime;
  aState.m_clockDueAt = aState.m_mayRaise ? aNow : aNow + kRetentionClockPeriod;
}

// The sweep.

std::string SlicePrefix(const RetentionState& aState)
{
  char digits[kMaxSliceDigits + 1];
  std::snprintf(digits, sizeof(digits), "%05x", aState.m_sliceStart);
  return kActionPrefix + std::string(digits, aState.m_sliceDigits);
}

uint32_t SliceSize(uint32_t aDigits)
{
  return 1U << (kBitsPerDigit * (kMaxSliceDigits - aDigits));
}

void AdvanceSlice(RetentionState& aState)
{
  const uint32_t size = SliceSize(aState.m_sliceDigits);
  const uint32_t start = aState.m_sliceStart / size * size;
  aState.m_sliceStart = (start + size) % kHashSpace;
}

void AdjustSlice(RetentionState& aState, size_t aRows)
{
  if (aRows > kSliceRowsHigh && aState.m_sliceDigits < kMaxSliceDigits) {
    ++aState.m_sliceDigits;
  } else if (aRows < kSliceRowsLow && aState.m_sliceDigits > 1) {
    --aState.m_sliceDigits;
  }
}

void TickSweep(RetentionState& aState,
               Millis aNow,
               UniqueIds& aIds,
               ActionsEffects& aOut)
{
  const bool isBusy =
    !aState.m_sweepOperation.IsEmpty() || !aState.m_expired.empty();
  if (isBusy || aNow < aState.m_sweepDueAt || !FreshEpoch(aState, aNow)) {
    return;
  }
  TableRead read;
  read.m_operation = NextOperation(aIds);
  read.m_key = RowKey(SlicePrefix(aState));
  read.m_isPrefix = true;
  aState.m_sweepOperation = read.m_operation;
  aState.m_sweepDueAt = aNow + kSweepPeriod;
  aOut.emplace_back(std::move(read));
}

// Returns the object that goes with a row. A call that never came to `done` may
// have left one behind.
ObjectName ObjectOf(const RowKey& aKey, const ActionRow& aRow)
{
  return aRow.m_state == ActionState::Done
           ? aRow.m_object
           : AnswerObjectName(aKey, aRow.m_request);
}

void NoteIfExpired(RetentionState& aState, const TableRow& aRow)
{
  if (aRow.m_deleted || aState.m_expired.size() >= kMaxExpiredRows) {
    return;
  }
  const Result<ActionRow> decoded = DecodeActionRow(aRow.m_value);
  const auto* row = std::get_if<ActionRow>(&decoded);
  if (row == nullptr ||
      row->m_epoch.Value() + kRetentionEpochs > aState.m_epoch.Value()) {
    return;
  }
  aState.m_expired.push_back(
    ExpiredRow{ aRow.m_key, aRow.m_version, ObjectOf(aRow.m_key, *row) });
}

void OnSweepResult(RetentionState& aState,
                   Millis aNow,
                   const TableResult& aResult)
{
  aState.m_sweepOperation = OperationId();
  if (aResult.m_status != TableStatus::Ok) {
    return;
  }
  for (const TableRow& row : aResult.m_rows) {
    NoteIfExpired(aState, row);
  }
  const auto rows = static_cast<int64_t>(aResult.m_rows.size());
  aState.m_sweepDueAt = aNow + std::max(kSweepPeriod, kSweepRowTime * rows);
  if (aState.m_expired.size() < kMaxExpiredRows) {
    AdvanceSlice(aState);
  }
  AdjustSlice(aState, aResult.m_rows.size());
}

// Deletions.

void DeleteRow(RetentionState& aState, UniqueIds& aIds, ActionsEffects& aOut)
{
  TableWrite write;
  write.m_operation = NextOperation(aIds);
  write.m_key = aState.m_expired.front().m_key;
  write.m_expected = aState.m_expired.front().m_version;
  write.m_delete = true;
  aState.m_deleteOperation = write.m_operation;
  aOut.emplace_back(std::move(write));
}

void DeleteObject(RetentionState& aState, UniqueIds& aIds, ActionsEffects& aOut)
{
  ObjectWrite write;
  write.m_operation = NextOperation(aIds);
  write.m_name = aState.m_expired.front().m_object;
  aState.m_deleteOperation = write.m_operation;
  aOut.emplace_back(std::move(write));
}

void TickDeletion(RetentionState& aState,
                  Millis aNow,
                  UniqueIds& aIds,
                  ActionsEffects& aOut)
{
  if (aState.m_expired.empty() || !aState.m_deleteOperation.IsEmpty() ||
      aNow < aState.m_deleteDueAt) {
    return;
  }
  aState.m_deleteDueAt = aNow + kDeletePeriod;
  if (aState.m_expired.front().m_object.IsEmpty()) {
    DeleteRow(aState, aIds, aOut);
  } else {
    DeleteObject(aState, aIds, aOut);
  }
}

// A deletion that failed is left to a later sweep.
void EndDeletion(RetentionState& aState)
{
  aState.m_deleteOperation = OperationId();
  aState.m_expired.pop_front();
}

} // namespace

RetentionState MakeRetentionState(const NodeId& aNode, uint64_t aIncarnation)
{
  RetentionState state;
  const uint64_t weight =
    RendezvousWeight(aNode.Value(), std::to_string(aIncarnation));
  state.m_sliceStart = static_cast<uint32_t>(weight % kHashSpace);
  return state;
}

std::optional<RetentionEpoch> FreshEpoch(const RetentionState& aState,
                                         Millis aNow)
{
  const bool isKnown = aState.m_epoch != RetentionEpoch();
  if (!isKnown || aNow - aState.m_clockReadAt >= kRetentionEpochTime) {
    return std::nullopt;
  }
  return aState.m_epoch;
}

void OnRetentionTick(RetentionState& aState,
                     Millis aNow,
                     UniqueIds& aIds,
                     ActionsEffects& aEffects)
{
  TickClock(aState, aNow, aIds, aEffects);
  TickSweep(aState, aNow, aIds, aEffects);
  TickDeletion(aState, aNow, aIds, aEffects);
}

bool OnRetentionResult(RetentionState& aState,
                       Millis aNow,
                       const TableResult& aResult)
{
  if (aResult.m_operation == aState.m_clockOperation) {
    OnClockResult(aState, aNow, aResult);
    return true;
  }
  if (aResult.m_operation == aState.m_sweepOperation) {
    OnSweepResult(aState, aNow, aResult);
    return true;
  }
  if (aResult.m_operation == aState.m_deleteOperation) {
    aState.m_deletedCount += aResult.m_status == TableStatus::Ok ? 1 : 0;
    EndDeletion(aState);
    return true;
  }
  return false;
}

bool OnRetentionResult(RetentionState& aState,
                       const ObjectResult& aResult,
                       UniqueIds& aIds,
                       ActionsEffects& aEffects)
{
  if (aResult.m_operation != aState.m_deleteOperation) {
    return false;
  }
  const bool isGone = aResult.m_status == TableStatus::Ok ||
                      aResult.m_status == TableStatus::NotFound;
  if (isGone) {
    DeleteRow(aState, aIds, aEffects);
  } else {
    EndDeletion(aState);
  }
  return true;
}

} // namespace briarglade
