// Calls, records, timers and operations of one step.

#include "briarglade/actions/internal/step.h"

#include <utility>

namespace briarglade::internal {

ActionCall* FindCall(Step& aStep, const RequestId& aRequest)
{
  const auto found = aStep.m_state.m_calls.find(aRequest);
  return found == aStep.m_state.m_calls.end() ? nullptr : &found->second;
}

ActionRecord* FindRecord(Step& aStep, const RowKey& aRow)
{
  const auto found = aStep.m_state.m_records.find(aRow);
  return found == aStep.m_state.m_records.end() ? nullptr : &found->second;
}

void FinishCall(Step& aStep, const FinishRequest& aFinish)
{
  const ActionCall* call = FindCall(aStep, aFinish.m_request);
  if (call == nullptr) {
    return;
  }
  const auto count =
    aStep.m_state.m_accountCalls.find(call->m_request.m_account);
  if (--count->second == 0) {
    aStep.m_state.m_accountCalls.erase(count);
  }
  ClearCallTimer(aStep, aFinish.m_request);
  aStep.m_state.m_calls.erase(aFinish.m_request);
  aStep.m_effects.emplace_back(aFinish);
}

void AnswerCall(Step& aStep,
                const RequestId& aRequest,
                const CallAnswer& aAnswer)
{
  FinishRequest finish;
  finish.m_request = aRequest;
  finish.m_code = aAnswer.m_code;
  finish.m_retryAfter = aAnswer.m_retryAfter;
  finish.m_replay = aAnswer.m_replay;
  FinishCall(aStep, finish);
}

void AnswerCalls(Step& aStep,
                 const std::vector<RequestId>& aRequests,
                 const CallAnswer& aAnswer)
{
  for (const RequestId& request : aRequests) {
    AnswerCall(aStep, request, aAnswer);
  }
}

void SetCallTimer(Step& aStep, const RequestId& aRequest, Millis aAt)
{
  ActionCall& call = aStep.m_state.m_calls.at(aRequest);
  ClearCallTimer(aStep, aRequest);
  call.m_timerAt = aAt;
  aStep.m_state.m_callTimers.emplace(aAt, aRequest);
}

void ClearCallTimer(Step& aStep, const RequestId& aRequest)
{
  const ActionCall& call = aStep.m_state.m_calls.at(aRequest);
  aStep.m_state.m_callTimers.erase({ call.m_timerAt, aRequest });
}

void SetRecordTimer(Step& aStep, const RowKey& aRow, Millis aAt)
{
  ClearRecordTimer(aStep, aRow);
  ActionRecord& record = aStep.m_state.m_records.at(aRow);
  record.m_timerAt = aAt;
  record.m_hasTimer = true;
  aStep.m_state.m_recordTimers.emplace(aAt, aRow);
}

void ClearRecordTimer(Step& aStep, const RowKey& aRow)
{
  ActionRecord& record = aStep.m_state.m_records.at(aRow);
  if (record.m_hasTimer) {
    aStep.m_state.m_recordTimers.erase({ record.m_timerAt, aRow });
    record.m_hasTimer = false;
  }
}

void EraseRecord(Step& aStep, const RowKey& aRow)
{
  ClearRecordTimer(aStep, aRow);
  const auto found = aStep.m_state.m_records.find(aRow);
  if (found->second.m_content.m_answer) {
    aStep.m_state.m_keptBytes -=
      found->second.m_content.m_answer->m_body.size();
  }
  aStep.m_state.m_records.erase(found);
}

OperationId NewOperation(Step& aStep, PendingOperation aPending)
{
  OperationId operation(aStep.m_state.m_ids.Next());
  aStep.m_state.m_pending.emplace(operation, std::move(aPending));
  return operation;
}

OperationId ReadRow(Step& aStep, const RowKey& aRow, PendingOperation aPending)
{
  TableRead read;
  read.m_operation = NewOperation(aStep, std::move(aPending));
  read.m_key = aRow;
  OperationId operation = read.m_operation;
  aStep.m_effects.emplace_back(std::move(read));
  return operation;
}

void LogRow(Step& aStep,
            LogLevel aLevel,
            const char* aEvent,
            const ActionRow& aContent)
{
  aStep.m_effects.emplace_back(
    LogEvent{ aLevel,
              aEvent,
              { { "request", aContent.m_request.Value() },
                { "account", aContent.m_account.Value() },
                { "key", aContent.m_key.Value() } } });
}

} // namespace briarglade::internal
