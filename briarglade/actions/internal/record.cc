// Writing and settling `started` rows.

#include "briarglade/actions/internal/record.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "briarglade/actions/internal/closing.h"
#include "briarglade/actions/internal/repeat.h"

namespace briarglade::internal {

namespace {

CallAnswer Unrecorded()
{
  return CallAnswer{ ResultCode::RecordUnavailable, kActionRetryAfter, {} };
}

ActionRow ContentOf(Step& aStep,
                    const RequestArrived& aRequest,
                    RetentionEpoch aEpoch)
{
  ActionRow content;
  content.m_account = aRequest.m_account;
  content.m_key = aRequest.m_key;
  content.m_node = aStep.m_state.m_node;
  content.m_incarnation = aStep.m_state.m_incarnation;
  content.m_request = aRequest.m_request;
  content.m_fingerprint = aRequest.m_fingerprint;
  content.m_epoch = aEpoch;
  return content;
}

// Sends the write, or sends it again under the same operation id.
void WriteRecord(Step& aStep, const RowKey& aRow, const ActionRecord& aRecord)
{
  TableWrite write;
  write.m_operation = aRecord.m_operation;
  write.m_key = aRow;
  write.m_expected = aRecord.m_version;
  write.m_value = EncodeActionRow(aRecord.m_content);
  aStep.m_state.m_pending.emplace(
    write.m_operation,
    PendingOperation{ PendingOperation::Kind::RecordWrite, aRow, {} });
  aStep.m_effects.emplace_back(std::move(write));
}

void ReadBack(Step& aStep, const RowKey& aRow)
{
  ReadRow(
    aStep, aRow, { PendingOperation::Kind::RecordRead, aRow, RequestId() });
}

// Returns the calls of a record that have not been answered, the owner first.
std::vector<RequestId> LiveCalls(Step& aStep, const ActionRecord& aRecord)
{
  std::vector<RequestId> calls;
  if (FindCall(aStep, aRecord.m_owner) != nullptr) {
    calls.push_back(aRecord.m_owner);
  }
  for (const RequestId& waiter : aRecord.m_waiters) {
    if (FindCall(aStep, waiter) != nullptr) {
      calls.push_back(waiter);
    }
  }
  return calls;
}

// Makes a call the one that the record is for.
void SetOwner(Step& aStep, ActionRecord& aRecord, const RequestId& aRequest)
{
  ActionCall& call = *FindCall(aStep, aRequest);
  call.m_phase = CallPhase::Owner;
  aRecord.m_owner = aRequest;
  SetCallTimer(aStep,
               aRequest,
               std::min(call.m_request.m_deadline, aStep.m_now + kRecordTime));
}

// Answers the calls that have no time left, and returns the others.
std::vector<RequestId> DropLateCalls(Step& aStep,
                                     const std::vector<RequestId>& aCalls)
{
  std::vector<RequestId> inTime;
  for (const RequestId& request : aCalls) {
    if (FindCall(aStep, request)->m_request.m_deadline > aStep.m_now) {
      inTime.push_back(request);
      continue;
    }
    AnswerCall(
      aStep, request, { ResultCode::QueueDeadline, kActionRetryAfter, {} });
  }
  return inTime;
}

// Hands the call to routing: the only place from which anything is sent.
void RunOwner(Step& aStep, ActionRecord& aRecord)
{
  aRecord.m_phase = RecordPhase::Running;
  ActionCall& call = *FindCall(aStep, aRecord.m_owner);
  ClearCallTimer(aStep, aRecord.m_owner);
  LogRow(aStep, LogLevel::Debug, "action-started", aRecord.m_content);
  const AccountId account = call.m_request.m_account;
  aStep.m_effects.emplace_back(RunAction{ std::move(call.m_request) });
  call.m_request.m_account = account;
}

// The row is in the table. A call whose time has passed, perhaps because this
// node was paused, is not run any more.
void OnRecorded(Step& aStep, const RowKey& aRow, RowVersion aVersion)
{
  ActionRecord& record = *FindRecord(aStep, aRow);
  ClearRecordTimer(aStep, aRow);
  record.m_version = aVersion;
  record.m_doubtful = false;
  std::vector<RequestId> calls = DropLateCalls(aStep, LiveCalls(aStep, record));
  if (calls.empty()) {
    CloseRecord(aStep, aRow, ActionState::NotRun, nullptr);
    return;
  }
  SetOwner(aStep, record, calls.front());
  calls.erase(calls.begin());
  record.m_waiters = std::move(calls);
  RunOwner(aStep, record);
}

// The key was taken before: each call is judged by the row that stands there.
void OnTaken(Step& aStep, const RowKey& aRow, const TableRow& aFound)
{
  const std::vector<RequestId> calls =
    LiveCalls(aStep, *FindRecord(aStep, aRow));
  EraseRecord(aStep, aRow);
  for (const RequestId& request : calls) {
    EvaluateRow(aStep, request, aFound);
  }
}

void OnRowSeen(Step& aStep, const RowKey& aRow, const TableRow& aFound)
{
  if (aFound.m_operation == FindRecord(aStep, aRow)->m_operation) {
    OnRecorded(aStep, aRow, aFound.m_version);
  } else {
    OnTaken(aStep, aRow, aFound);
  }
}

// The row that was to be replaced is gone: only a new row can be made.
void ExpectNoRow(Step& aStep, ActionRecord& aRecord)
{
  aRecord.m_version = RowVersion();
  aRecord.m_operation = OperationId(aStep.m_state.m_ids.Next());
  aRecord.m_doubtful = false;
  aRecord.m_isTaken = false;
}

// Returns the record if it still waits to be recorded.
ActionRecord* FindUnrecorded(Step& aStep, const RowKey& aRow)
{
  ActionRecord* record = FindRecord(aStep, aRow);
  const bool isWaiting =
    record != nullptr && record->m_phase == RecordPhase::Recording;
  return isWaiting ? record : nullptr;
}

} // namespace

void BeginRecord(Step& aStep, const RequestId& aRequest, RowVersion aExpected)
{
  const ActionCall& call = *FindCall(aStep, aRequest);
  const std::optional<RetentionEpoch> epoch =
    FreshEpoch(aStep.m_state.m_retention, aStep.m_now);
  if (!epoch) {
    AnswerCall(aStep, aRequest, Unrecorded());
    return;
  }
  const RowKey row = call.m_row;
  ActionRecord& record = aStep.m_state.m_records[row];
  record.m_content = ContentOf(aStep, call.m_request, *epoch);
  record.m_version = aExpected;
  record.m_operation = OperationId(aStep.m_state.m_ids.Next());
  SetOwner(aStep, record, aRequest);
  WriteRecord(aStep, row, record);
}

void AdoptRecord(Step& aStep, const RowKey& aRow, const RequestId& aRequest)
{
  SetOwner(aStep, *FindRecord(aStep, aRow), aRequest);
}

void OnRecordWritten(Step& aStep,
                     const RowKey& aRow,
                     const TableResult& aResult)
{
  ActionRecord* record = FindUnrecorded(aStep, aRow);
  if (record == nullptr) {
    return;
  }
  const bool isSeen = (aResult.m_status == TableStatus::Ok ||
                       aResult.m_status == TableStatus::Conflict) &&
                      !aResult.m_rows.empty();
  if (isSeen) {
    OnRowSeen(aStep, aRow, aResult.m_rows.front());
    return;
  }
  if (aResult.m_status == TableStatus::Unreachable) {
    if (record->m_doubtful) {
      SetRecordTimer(aStep, aRow, aStep.m_now + kSettlePeriod);
      return;
    }
    AnswerCalls(aStep, LiveCalls(aStep, *record), Unrecorded());
    EraseRecord(aStep, aRow);
    return;
  }
  if (aResult.m_status == TableStatus::Conflict) {
    record->m_isTaken = true;
  } else {
    record->m_doubtful = true;
  }
  ReadBack(aStep, aRow);
}

void OnRecordRead(Step& aStep, const RowKey& aRow, const TableResult& aResult)
{
  ActionRecord* record = FindUnrecorded(aStep, aRow);
  if (record == nullptr) {
    return;
  }
  if (aResult.m_status == TableStatus::Ok && !aResult.m_rows.empty()) {
    OnRowSeen(aStep, aRow, aResult.m_rows.front());
    return;
  }
  const bool isReplacement = record->m_version != RowVersion();
  if (aResult.m_status == TableStatus::NotFound && isReplacement) {
    ExpectNoRow(aStep, *record);
  }
  SetRecordTimer(aStep, aRow, aStep.m_now + kSettlePeriod);
}

void OnRecordTimer(Step& aStep, const RowKey& aRow)
{
  ActionRecord* record = FindUnrecorded(aStep, aRow);
  if (record == nullptr) {
    return;
  }
  if (!LiveCalls(aStep, *record).empty()) {
    WriteRecord(aStep, aRow, *record);
    return;
  }
  const bool isSettled =
    !record->m_doubtful || aStep.m_now >= record->m_giveUpAt;
  if (isSettled) {
    EraseRecord(aStep, aRow);
    return;
  }
  ReadBack(aStep, aRow);
}

void RefuseRecord(Step& aStep, const RowKey& aRow)
{
  ActionRecord& record = *FindRecord(aStep, aRow);
  CallAnswer answer = Unrecorded();
  if (record.m_isTaken) {
    answer.m_code = ResultCode::OutcomeUnknown;
  }
  AnswerCalls(aStep, LiveCalls(aStep, record), answer);
  record.m_owner = RequestId();
  record.m_waiters.clear();
  record.m_giveUpAt = aStep.m_now + kSettleTime;
}

void LeaveRecord(Step& aStep, const RowKey& aRow)
{
  ActionRecord& record = *FindRecord(aStep, aRow);
  record.m_owner = RequestId();
  record.m_giveUpAt = aStep.m_now + kSettleTime;
  record.m_waiters = LiveCalls(aStep, record);
  if (!record.m_waiters.empty()) {
    const RequestId next = record.m_waiters.front();
    record.m_waiters.erase(record.m_waiters.begin());
    SetOwner(aStep, record, next);
  }
}

} // namespace briarglade::internal
