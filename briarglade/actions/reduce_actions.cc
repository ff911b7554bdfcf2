// The reducer for non-idempotent calls: each event goes to the part that it
// concerns.

#include "briarglade/actions/reduce_actions.h"

#include <algorithm>
#include <utility>

#include "briarglade/actions/actions_state.h"
#include "briarglade/actions/internal/closing.h"
#include "briarglade/actions/internal/record.h"
#include "briarglade/actions/internal/repeat.h"
#include "briarglade/actions/internal/step.h"
#include "briarglade/base/overloaded.h"

namespace briarglade {

namespace {

using internal::CallAnswer;
using internal::Step;

bool HasRoom(const ActionsState& aState)
{
  return aState.m_calls.size() < kMaxActionCalls &&
         aState.m_records.size() < kMaxActionRecords &&
         aState.m_keptBytes < kMaxKeptBytes;
}

void RefuseArrival(Step& aStep,
                   const RequestArrived& aRequest,
                   ResultCode aCode)
{
  FinishRequest finish;
  finish.m_request = aRequest.m_request;
  finish.m_code = aCode;
  finish.m_retryAfter = kActionRetryAfter;
  aStep.m_effects.emplace_back(std::move(finish));
}

void OnArrived(Step& aStep, const RequestArrived& aRequest)
{
  ActionsState& state = aStep.m_state;
  if (aRequest.m_deadline <= aStep.m_now) {
    RefuseArrival(aStep, aRequest, ResultCode::QueueDeadline);
    return;
  }
  if (!HasRoom(state)) {
    RefuseArrival(aStep, aRequest, ResultCode::RecordUnavailable);
    return;
  }
  const auto count = state.m_accountCalls.find(aRequest.m_account);
  if (count != state.m_accountCalls.end() &&
      count->second >= kMaxAccountCalls) {
    RefuseArrival(aStep, aRequest, ResultCode::AccountLimit);
    return;
  }
  ++state.m_accountCalls[aRequest.m_account];
  ActionCall call;
  call.m_request = aRequest;
  call.m_row = ActionRowKey(aRequest.m_account, aRequest.m_key);
  const RowKey row = call.m_row;
  state.m_calls.emplace(aRequest.m_request, std::move(call));
  if (internal::FindRecord(aStep, row) != nullptr) {
    internal::JoinRecord(aStep, aRequest.m_request);
  } else {
    internal::BeginRecord(aStep, aRequest.m_request, RowVersion());
  }
}

// What the callers that waited for a call of the same key are told.
CallAnswer WaiterAnswer(const ActionFinished& aFinished, Outcome aOutcome)
{
  CallAnswer answer;
  answer.m_retryAfter = kActionRetryAfter;
  if (aOutcome == Outcome::NotRun) {
    answer.m_code = aFinished.m_finish.m_code;
    answer.m_retryAfter = aFinished.m_finish.m_retryAfter;
  } else if (aOutcome == Outcome::Done && aFinished.m_answer) {
    answer.m_code = ResultCode::OkReplayed;
    answer.m_replay = aFinished.m_answer;
  } else {
    answer.m_code = ResultCode::OutcomeUnknown;
  }
  return answer;
}

ActionState FinalState(const ActionFinished& aFinished, Outcome aOutcome)
{
  if (aOutcome == Outcome::NotRun) {
    return ActionState::NotRun;
  }
  const bool isWhole = aOutcome == Outcome::Done && aFinished.m_answer;
  return isWhole ? ActionState::Done : ActionState::Unknown;
}

// The caller is answered in the same step in which the final row is written:
// neither waits for the other.
void OnFinished(Step& aStep, const ActionFinished& aFinished)
{
  const RequestId request = aFinished.m_finish.m_request;
  const ActionCall* call = internal::FindCall(aStep, request);
  if (call == nullptr) {
    return;
  }
  const RowKey row = call->m_row;
  const ActionRecord* record = internal::FindRecord(aStep, row);
  if (record == nullptr || record->m_phase != RecordPhase::Running ||
      record->m_owner != request) {
    return;
  }
  const Outcome outcome =
    DescribeResultCode(aFinished.m_finish.m_code).m_outcome;
  FinishRequest finish = aFinished.m_finish;
  if (outcome == Outcome::Unknown) {
    finish.m_code = ResultCode::OutcomeUnknown;
  }
  const std::vector<RequestId> waiters = record->m_waiters;
  internal::FinishCall(aStep, finish);
  internal::AnswerCalls(aStep, waiters, WaiterAnswer(aFinished, outcome));
  const ActionState state = FinalState(aFinished, outcome);
  internal::CloseRecord(aStep,
                        row,
                        state,
                        state == ActionState::Done ? aFinished.m_answer
                                                   : nullptr);
}

// Takes a call off the list of those that wait for a record.
void ForgetWaiter(Step& aStep, const RowKey& aRow, const RequestId& aRequest)
{
  std::vector<RequestId>& waiters =
    internal::FindRecord(aStep, aRow)->m_waiters;
  waiters.erase(std::remove(waiters.begin(), waiters.end(), aRequest),
                waiters.end());
}

void OnCallerGone(Step& aStep, const RequestId& aRequest)
{
  const ActionCall* call = internal::FindCall(aStep, aRequest);
  if (call == nullptr) {
    return;
  }
  const RowKey row = call->m_row;
  const bool isOwner = call->m_phase == CallPhase::Owner;
  const bool isWaiter = call->m_phase == CallPhase::Waiting;
  const bool isRunning = isOwner && internal::FindRecord(aStep, row)->m_phase ==
                                      RecordPhase::Running;
  if (isRunning) {
    return;
  }
  internal::AnswerCall(aStep, aRequest, { ResultCode::CallerGone, {}, {} });
  if (isOwner) {
    internal::LeaveRecord(aStep, row);
  } else if (isWaiter) {
    ForgetWaiter(aStep, row, aRequest);
  }
}

void OnCallTimer(Step& aStep, const RequestId& aRequest)
{
  const ActionCall& call = *internal::FindCall(aStep, aRequest);
  const RowKey row = call.m_row;
  if (call.m_phase == CallPhase::Owner) {
    internal::RefuseRecord(aStep, row);
    return;
  }
  if (call.m_phase == CallPhase::Waiting) {
    internal::AnswerCall(
      aStep, aRequest, { ResultCode::OutcomeUnknown, kActionRetryAfter, {} });
    ForgetWaiter(aStep, row, aRequest);
    return;
  }
  internal::OnRepeatTimer(aStep, aRequest);
}

void RunTimers(Step& aStep)
{
  ActionsState& state = aStep.m_state;
  while (!state.m_callTimers.empty() &&
         state.m_callTimers.begin()->first <= aStep.m_now) {
    const RequestId request = state.m_callTimers.begin()->second;
    state.m_callTimers.erase(state.m_callTimers.begin());
    OnCallTimer(aStep, request);
  }
  while (!state.m_recordTimers.empty() &&
         state.m_recordTimers.begin()->first <= aStep.m_now) {
    const RowKey row = state.m_recordTimers.begin()->second;
    internal::ClearRecordTimer(aStep, row);
    internal::OnRecordTimer(aStep, row);
  }
}

// Returns what the operation was for, and forgets it; nothing for one that is
// not known.
std::optional<PendingOperation> TakePending(ActionsState& aState,
                                            const OperationId& aOperation)
{
  const auto found = aState.m_pending.find(aOperation);
  if (found == aState.m_pending.end()) {
    return std::nullopt;
  }
  PendingOperation pending = std::move(found->second);
  aState.m_pending.erase(found);
  return pending;
}

void OnTableResult(Step& aStep, const TableResult& aResult)
{
  if (OnRetentionResult(aStep.m_state.m_retention, aStep.m_now, aResult)) {
    return;
  }
  const std::optional<PendingOperation> pending =
    TakePending(aStep.m_state, aResult.m_operation);
  if (!pending) {
    return;
  }
  switch (pending->m_kind) {
    case PendingOperation::Kind::RecordWrite:
      internal::OnRecordWritten(aStep, pending->m_row, aResult);
      return;
    case PendingOperation::Kind::RecordRead:
      internal::OnRecordRead(aStep, pending->m_row, aResult);
      return;
    case PendingOperation::Kind::WatchRead:
      internal::OnWatchRead(aStep, pending->m_call, aResult);
      return;
    case PendingOperation::Kind::FinalWrite:
      internal::OnFinalWritten(aStep, pending->m_row, aResult);
      return;
    case PendingOperation::Kind::BodyRead:
    case PendingOperation::Kind::BodyWrite:
      return;
  }
}

void OnObjectResult(Step& aStep, const ObjectResult& aResult)
{
  ActionsState& state = aStep.m_state;
  if (OnRetentionResult(
        state.m_retention, aResult, state.m_ids, aStep.m_effects)) {
    return;
  }
  const std::optional<PendingOperation> pending =
    TakePending(state, aResult.m_operation);
  if (!pending) {
    return;
  }
  if (pending->m_kind == PendingOperation::Kind::BodyRead) {
    internal::OnBodyRead(aStep, pending->m_call, aResult);
  } else if (pending->m_kind == PendingOperation::Kind::BodyWrite) {
    internal::OnBodyWritten(aStep, pending->m_row, aResult);
  }
}

} // namespace

ActionsState MakeActionsState(const NodeId& aNode, uint64_t aIncarnation)
{
  ActionsState state;
  state.m_node = aNode;
  state.m_incarnation = aIncarnation;
  state.m_ids = UniqueIds(NodeId(aNode.Value() + ".action"), aIncarnation);
  state.m_retention = MakeRetentionState(aNode, aIncarnation);
  return state;
}

ActionsEffects ReduceActions(ActionsState& aState,
                             Millis aNow,
                             const ActionsEvent& aEvent)
{
  ActionsEffects effects;
  Step step{ aState, aNow, effects };
  std::visit(
    Overloaded{
      [&](const ActionsTick&) {
        RunTimers(step);
        OnRetentionTick(aState.m_retention, aNow, aState.m_ids, effects);
      },
      [&](const RequestArrived& aRequest) { OnArrived(step, aRequest); },
      [&](const TableResult& aResult) { OnTableResult(step, aResult); },
      [&](const ObjectResult& aResult) { OnObjectResult(step, aResult); },
      [&](const ActionFinished& aFinished) { OnFinished(step, aFinished); },
      [&](const CallerDisconnected& aGone) {
        OnCallerGone(step, aGone.m_request);
      } },
    aEvent);
  internal::PumpClosing(step);
  return effects;
}

} // namespace briarglade
