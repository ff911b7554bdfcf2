// Final writes, with a window that shrinks while the table fails.

#include "briarglade/actions/internal/closing.h"

#include <algorithm>
#include <utility>

#include "briarglade/base/rendezvous.h"

namespace briarglade::internal {

namespace {

const char* ClosingEvent(ActionState aState)
{
  switch (aState) {
    case ActionState::Done:
      return "action-done";
    case ActionState::NotRun:
      return "action-not-run";
    case ActionState::Started:
    case ActionState::Unknown:
      return "action-unknown";
  }
  return "action-unknown";
}

bool IsInObject(const ActionRow& aContent)
{
  return aContent.m_state == ActionState::Done &&
         aContent.m_answer->m_body.size() > kMaxInlineBytes;
}

void WriteBody(Step& aStep, const RowKey& aRow, const ActionRecord& aRecord)
{
  const std::shared_ptr<const StoredAnswer>& answer =
    aRecord.m_content.m_answer;
  ObjectWrite write;
  write.m_operation = NewOperation(
    aStep, { PendingOperation::Kind::BodyWrite, aRow, RequestId() });
  write.m_name = aRecord.m_content.m_object;
  write.m_value = std::shared_ptr<const std::string>(answer, &answer->m_body);
  aStep.m_effects.emplace_back(std::move(write));
}

void WriteFinal(Step& aStep, const RowKey& aRow, const ActionRecord& aRecord)
{
  TableWrite write;
  write.m_operation = NewOperation(
    aStep, { PendingOperation::Kind::FinalWrite, aRow, RequestId() });
  write.m_key = aRow;
  write.m_expected = aRecord.m_version;
  write.m_value = EncodeActionRow(aRecord.m_content);
  aStep.m_effects.emplace_back(std::move(write));
}

// Pauses the writes to a store. Nodes that failed together come back apart.
void NoteFailure(Step& aStep,
                 WriteQueue& aQueue,
                 const RowKey& aRow,
                 const OperationId& aOperation)
{
  const Millis half = aQueue.m_backoff / 2;
  const uint64_t spread = RendezvousWeight("backoff", aOperation.Value());
  const auto jitter =
    static_cast<int64_t>(spread % static_cast<uint64_t>(half.Count()));
  aQueue.m_resumeAt = aStep.m_now + half + Millis(jitter);
  aQueue.m_backoff = std::min(kMaxClosingBackoff, aQueue.m_backoff * 2);
  aQueue.m_window = 1;
  aQueue.m_rows.push_back(aRow);
}

void NoteSuccess(WriteQueue& aQueue)
{
  aQueue.m_backoff = kClosingBackoff;
  aQueue.m_window = std::min(kMaxClosingWindow, aQueue.m_window + 1);
}

bool MayWrite(const Step& aStep, const WriteQueue& aQueue)
{
  return !aQueue.m_rows.empty() && aQueue.m_inFlight < aQueue.m_window &&
         aStep.m_now >= aQueue.m_resumeAt;
}

RowKey TakeNext(WriteQueue& aQueue)
{
  RowKey row = std::move(aQueue.m_rows.front());
  aQueue.m_rows.pop_front();
  ++aQueue.m_inFlight;
  return row;
}

} // namespace

void CloseRecord(Step& aStep,
                 const RowKey& aRow,
                 ActionState aState,
                 std::shared_ptr<const StoredAnswer> aAnswer)
{
  ActionsState& state = aStep.m_state;
  ActionRecord& record = *FindRecord(aStep, aRow);
  ActionRow& content = record.m_content;
  record.m_phase = RecordPhase::Closing;
  record.m_owner = RequestId();
  record.m_waiters.clear();
  content.m_state = aState;
  const bool isKept =
    aAnswer && state.m_keptBytes + aAnswer->m_body.size() <= kMaxKeptBytes;
  if (isKept) {
    state.m_keptBytes += aAnswer->m_body.size();
    content.m_bodyHash = AnswerBodyHash(aAnswer->m_body);
    content.m_answer = std::move(aAnswer);
  } else if (aState == ActionState::Done) {
    content.m_state = ActionState::Unknown;
    LogRow(aStep, LogLevel::Warn, "action-answer-dropped", content);
  }
  LogRow(aStep, LogLevel::Info, ClosingEvent(content.m_state), content);
  if (IsInObject(content)) {
    content.m_object = AnswerObjectName(aRow, content.m_request);
    state.m_bodyWrites.m_rows.push_back(aRow);
  } else {
    state.m_finalWrites.m_rows.push_back(aRow);
  }
}

void PumpClosing(Step& aStep)
{
  ActionsState& state = aStep.m_state;
  while (MayWrite(aStep, state.m_bodyWrites)) {
    const RowKey row = TakeNext(state.m_bodyWrites);
    WriteBody(aStep, row, *FindRecord(aStep, row));
  }
  while (MayWrite(aStep, state.m_finalWrites)) {
    const RowKey row = TakeNext(state.m_finalWrites);
    WriteFinal(aStep, row, *FindRecord(aStep, row));
  }
}

// After a conflict the row is no longer the `started` one of this record, and
// only an earlier, lost-answer final write of this node can have moved it on.
void OnFinalWritten(Step& aStep, const RowKey& aRow, const TableResult& aResult)
{
  WriteQueue& queue = aStep.m_state.m_finalWrites;
  --queue.m_inFlight;
  if (aResult.m_status == TableStatus::Ok ||
      aResult.m_status == TableStatus::Conflict) {
    NoteSuccess(queue);
    EraseRecord(aStep, aRow);
    return;
  }
  NoteFailure(aStep, queue, aRow, aResult.m_operation);
}

void OnBodyWritten(Step& aStep, const RowKey& aRow, const ObjectResult& aResult)
{
  WriteQueue& queue = aStep.m_state.m_bodyWrites;
  --queue.m_inFlight;
  if (aResult.m_status == TableStatus::Ok) {
    NoteSuccess(queue);
    aStep.m_state.m_finalWrites.m_rows.push_back(aRow);
    return;
  }
  NoteFailure(aStep, queue, aRow, aResult.m_operation);
}

} // namespace briarglade::internal
