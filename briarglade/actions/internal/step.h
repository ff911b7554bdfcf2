// One step of the reducer for non-idempotent calls, and what its parts share.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "briarglade/actions/actions_event.h"
#include "briarglade/actions/actions_state.h"

namespace briarglade::internal {

// The event being applied: the state, the time and the effects so far.
struct Step
{
  ActionsState& m_state;
  Millis m_now;
  ActionsEffects& m_effects;
};

// What a caller is told.
struct CallAnswer
{
  ResultCode m_code = ResultCode::Internal;
  Millis m_retryAfter;
  std::shared_ptr<const StoredAnswer> m_replay;
};

// Returns the call or record, or nullptr.
ActionCall* FindCall(Step& aStep, const RequestId& aRequest);
ActionRecord* FindRecord(Step& aStep, const RowKey& aRow);

// Tells a caller the final word and forgets it. Nothing if it was told before.
void AnswerCall(Step& aStep,
                const RequestId& aRequest,
                const CallAnswer& aAnswer);
// The same for several callers.
void AnswerCalls(Step& aStep,
                 const std::vector<RequestId>& aRequests,
                 const CallAnswer& aAnswer);
// The same, with the final word made elsewhere.
void FinishCall(Step& aStep, const FinishRequest& aFinish);

// Sets the instant at which a call or record is looked at again.
void SetCallTimer(Step& aStep, const RequestId& aRequest, Millis aAt);
void ClearCallTimer(Step& aStep, const RequestId& aRequest);
void SetRecordTimer(Step& aStep, const RowKey& aRow, Millis aAt);
void ClearRecordTimer(Step& aStep, const RowKey& aRow);

// Forgets a record, its timer and the bytes that it kept.
void EraseRecord(Step& aStep, const RowKey& aRow);

// Makes an operation id and remembers what it is for.
OperationId NewOperation(Step& aStep, PendingOperation aPending);

// Asks for a row.
OperationId ReadRow(Step& aStep, const RowKey& aRow, PendingOperation aPending);

// Logs what became of a row.
void LogRow(Step& aStep,
            LogLevel aLevel,
            const char* aEvent,
            const ActionRow& aContent);

} // namespace briarglade::internal
