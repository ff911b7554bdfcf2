// Joining, watching and replaying.

#include "briarglade/actions/internal/repeat.h"

#include <algorithm>
#include <utility>

#include "briarglade/actions/internal/record.h"

namespace briarglade::internal {

namespace {

const CallAnswer& OutcomeUnknown()
{
  static const CallAnswer kAnswer{ ResultCode::OutcomeUnknown,
                                   kActionRetryAfter,
                                   nullptr };
  return kAnswer;
}

void RefuseReuse(Step& aStep, const RequestId& aRequest)
{
  AnswerCall(aStep, aRequest, { ResultCode::IdempotencyKeyReused, {}, {} });
}

void Replay(Step& aStep,
            const RequestId& aRequest,
            std::shared_ptr<const StoredAnswer> aAnswer)
{
  AnswerCall(
    aStep, aRequest, { ResultCode::OkReplayed, {}, std::move(aAnswer) });
}

void JoinClosing(Step& aStep,
                 const RequestId& aRequest,
                 const ActionRow& aContent)
{
  if (aContent.m_state == ActionState::Done) {
    Replay(aStep, aRequest, aContent.m_answer);
  } else {
    AnswerCall(aStep, aRequest, OutcomeUnknown());
  }
}

// Reads again after a while, at the latest at the deadline.
void Watch(Step& aStep, const RequestId& aRequest)
{
  ActionCall& call = *FindCall(aStep, aRequest);
  const Millis next = aStep.m_now + call.m_watchPeriod;
  call.m_watchPeriod = std::min(kMaxWatchPeriod, call.m_watchPeriod * 2);
  SetCallTimer(aStep, aRequest, std::min(call.m_request.m_deadline, next));
}

void ReadBody(Step& aStep, const RequestId& aRequest)
{
  ActionCall& call = *FindCall(aStep, aRequest);
  ObjectRead read;
  read.m_operation = NewOperation(
    aStep, { PendingOperation::Kind::BodyRead, RowKey(), aRequest });
  read.m_name = call.m_found->m_object;
  call.m_operation = read.m_operation;
  aStep.m_effects.emplace_back(std::move(read));
}

void Fetch(Step& aStep, const RequestId& aRequest, ActionRow aFound)
{
  ActionCall& call = *FindCall(aStep, aRequest);
  call.m_phase = CallPhase::Fetching;
  call.m_found = std::make_shared<const ActionRow>(std::move(aFound));
  SetCallTimer(aStep, aRequest, call.m_request.m_deadline);
  ReadBody(aStep, aRequest);
}

// A row that says `started`: by a record of this node, by one that it has lost,
// or by another node.
void AwaitStarted(Step& aStep,
                  const RequestId& aRequest,
                  const ActionRow& aFound)
{
  const ActionsState& state = aStep.m_state;
  ActionCall& call = *FindCall(aStep, aRequest);
  const bool isOwn = aFound.m_node == state.m_node &&
                     aFound.m_incarnation == state.m_incarnation;
  if (!isOwn) {
    call.m_phase = CallPhase::Watching;
    Watch(aStep, aRequest);
  } else if (FindRecord(aStep, call.m_row) != nullptr) {
    JoinRecord(aStep, aRequest);
  } else {
    AnswerCall(aStep, aRequest, OutcomeUnknown());
  }
}

void TakeOver(Step& aStep, const RequestId& aRequest, RowVersion aVersion)
{
  if (FindRecord(aStep, FindCall(aStep, aRequest)->m_row) != nullptr) {
    JoinRecord(aStep, aRequest);
  } else {
    BeginRecord(aStep, aRequest, aVersion);
  }
}

void EvaluateSame(Step& aStep, const RequestId& aRequest, ActionRow aFound)
{
  switch (aFound.m_state) {
    case ActionState::Started:
      AwaitStarted(aStep, aRequest, aFound);
      return;
    case ActionState::Done:
      if (aFound.m_object.IsEmpty()) {
        Replay(aStep, aRequest, aFound.m_answer);
      } else {
        Fetch(aStep, aRequest, std::move(aFound));
      }
      return;
    case ActionState::Unknown:
    case ActionState::NotRun:
      AnswerCall(aStep, aRequest, OutcomeUnknown());
      return;
  }
}

std::shared_ptr<const StoredAnswer> WithBody(const ActionRow& aRow,
                                             const std::string& aBody)
{
  auto answer = std::make_shared<StoredAnswer>(*aRow.m_answer);
  answer->m_body = aBody;
  return answer;
}

} // namespace

void JoinRecord(Step& aStep, const RequestId& aRequest)
{
  ActionCall& call = *FindCall(aStep, aRequest);
  ActionRecord& record = *FindRecord(aStep, call.m_row);
  const bool isClosing = record.m_phase == RecordPhase::Closing;
  const bool isReleased =
    isClosing && record.m_content.m_state == ActionState::NotRun;
  if (isReleased) {
    AnswerCall(aStep,
               aRequest,
               { ResultCode::RecordUnavailable, kActionRetryAfter, {} });
  } else if (record.m_content.m_fingerprint != call.m_request.m_fingerprint) {
    RefuseReuse(aStep, aRequest);
  } else if (isClosing) {
    JoinClosing(aStep, aRequest, record.m_content);
  } else if (record.m_owner.IsEmpty()) {
    const RowKey row = call.m_row;
    AdoptRecord(aStep, row, aRequest);
  } else {
    call.m_phase = CallPhase::Waiting;
    record.m_waiters.push_back(aRequest);
    SetCallTimer(aStep, aRequest, call.m_request.m_deadline);
  }
}

void EvaluateRow(Step& aStep, const RequestId& aRequest, const TableRow& aFound)
{
  Result<ActionRow> decoded = DecodeActionRow(aFound.m_value);
  if (GetError(decoded) != nullptr) {
    AnswerCall(aStep, aRequest, OutcomeUnknown());
    return;
  }
  ActionRow& row = std::get<ActionRow>(decoded);
  if (row.m_state == ActionState::NotRun) {
    TakeOver(aStep, aRequest, aFound.m_version);
    return;
  }
  const ActionCall& call = *FindCall(aStep, aRequest);
  if (row.m_fingerprint != call.m_request.m_fingerprint) {
    RefuseReuse(aStep, aRequest);
    return;
  }
  EvaluateSame(aStep, aRequest, std::move(row));
}

void OnWatchRead(Step& aStep,
                 const RequestId& aRequest,
                 const TableResult& aResult)
{
  ActionCall* call = FindCall(aStep, aRequest);
  if (call == nullptr || call->m_operation != aResult.m_operation) {
    return;
  }
  call->m_operation = OperationId();
  if (aResult.m_status == TableStatus::Ok && !aResult.m_rows.empty()) {
    EvaluateRow(aStep, aRequest, aResult.m_rows.front());
  } else if (aResult.m_status == TableStatus::NotFound) {
    // The row was there and may have run: its end is not a licence to run.
    AnswerCall(aStep, aRequest, OutcomeUnknown());
  } else {
    Watch(aStep, aRequest);
  }
}

void OnBodyRead(Step& aStep,
                const RequestId& aRequest,
                const ObjectResult& aResult)
{
  ActionCall* call = FindCall(aStep, aRequest);
  if (call == nullptr || call->m_operation != aResult.m_operation) {
    return;
  }
  call->m_operation = OperationId();
  const bool isRead = aResult.m_status == TableStatus::Ok && aResult.m_value;
  if (!isRead && aResult.m_status != TableStatus::NotFound) {
    Watch(aStep, aRequest);
    return;
  }
  const std::shared_ptr<const ActionRow> found = call->m_found;
  if (isRead && AnswerBodyHash(*aResult.m_value) == found->m_bodyHash) {
    Replay(aStep, aRequest, WithBody(*found, *aResult.m_value));
    return;
  }
  LogRow(aStep, LogLevel::Error, "action-answer-damaged", *found);
  AnswerCall(aStep, aRequest, OutcomeUnknown());
}

void OnRepeatTimer(Step& aStep, const RequestId& aRequest)
{
  ActionCall& call = *FindCall(aStep, aRequest);
  if (aStep.m_now >= call.m_request.m_deadline) {
    AnswerCall(aStep, aRequest, OutcomeUnknown());
    return;
  }
  SetCallTimer(aStep, aRequest, call.m_request.m_deadline);
  if (call.m_phase == CallPhase::Fetching) {
    ReadBody(aStep, aRequest);
    return;
  }
  call.m_operation =
    ReadRow(aStep,
            call.m_row,
            { PendingOperation::Kind::WatchRead, RowKey(), aRequest });
}

} // namespace briarglade::internal
