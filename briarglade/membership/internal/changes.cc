// The progress of operators' changes.

#include "briarglade/membership/internal/changes.h"

#include <algorithm>
#include <utility>

#include "briarglade/membership/internal/command_answers.h"
#include "briarglade/membership/internal/fact_store.h"
#include "briarglade/membership/internal/partners.h"
#include "briarglade/membership/membership.h"
#include "briarglade/membership/timing.h"

namespace briarglade {

namespace {

bool HasOperation(const std::string& aValue, const OperationId& aOperation)
{
  for (const ChangeRecord& change : ReadHistory(aValue)) {
    if (change.m_operation == aOperation) {
      return true;
    }
  }
  return false;
}

std::vector<NodeId> ListNotHolding(const MembershipState& aState,
                                   const PendingChange& aChange)
{
  std::vector<NodeId> missing;
  for (const Member& member : aState.m_members) {
    const bool isSelf = member.m_node.m_id == aState.m_settings.m_self;
    const bool hasFact = member.m_holds.Of(aChange.m_fact) >= aChange.m_version;
    const bool hasHold =
      aChange.m_isHeld &&
      member.m_zoneHolds.count(aChange.m_hold->m_operation) != 0;
    if (!isSelf && !hasFact && !hasHold) {
      missing.push_back(member.m_node.m_id);
    }
  }
  return missing;
}

// Answers a change whose time is up with what is known of it.
void AnswerLate(const MembershipState& aState,
                const PendingChange& aChange,
                MembershipEffects& aEffects)
{
  ResultCode code = ResultCode::ChangeRefused;
  std::string detail = "the table can't be reached; nothing was written";
  std::vector<NodeId> missing;
  if (aChange.m_stage == ChangeStage::Gathering) {
    code = ResultCode::ChangeRecorded;
    detail = "the table holds it; no majority of the nodes has acknowledged it";
    missing = ListNotHolding(aState, aChange);
  } else if (aChange.m_isHeld) {
    code = ResultCode::ChangeRecorded;
    detail = "the table can't be written; the nodes reached hold the zone out "
             "in memory and write it when the table is back";
    missing = ListNotHolding(aState, aChange);
  } else if (aChange.m_mayBeWritten ||
             aChange.m_stage == ChangeStage::Writing) {
    code = ResultCode::TableUnavailable;
    detail = "the table's answer was lost; the change may be written: see "
             "status, then repeat the command";
  }
  AnswerCommand(aState,
                aChange.m_command,
                code,
                std::move(detail),
                std::move(missing),
                aEffects);
}

void Hold(MembershipState& aState,
          Millis aNow,
          PendingChange& aChange,
          MembershipEffects& aEffects)
{
  if (!aChange.m_hold.has_value() || aChange.m_isHeld) {
    return;
  }
  AdoptHold(aState, aNow, *aChange.m_hold, aEffects);
  aChange.m_isHeld = true;
  PushToAll(aState, aNow, aEffects);
}

void Retry(PendingChange& aChange, Millis aNow, ChangeStage aStage)
{
  aChange.m_stage = aStage;
  aChange.m_retryAt = aNow + kChangeRetryPeriod;
}

void ReadBack(MembershipState& aState,
              Millis aNow,
              PendingChange& aChange,
              MembershipEffects& aEffects)
{
  aChange.m_stage = ChangeStage::ReadingBack;
  aChange.m_retryAt = aNow + kTableReadTimeout;
  aChange.m_readBack = OperationId(aState.m_ids.Next());
  TableRead read;
  read.m_operation = aChange.m_readBack;
  read.m_key = aChange.m_write.m_key;
  aEffects.emplace_back(std::move(read));
}

// What became of a change after an event.
enum class Progress
{
  Open,
  Answered
};

// Decides by the row that the table holds.
Progress SettleByRow(MembershipState& aState,
                     Millis aNow,
                     PendingChange& aChange,
                     const TableRow& aRow,
                     bool& aAdopted,
                     MembershipEffects& aEffects)
{
  const OperationId& operation = aChange.m_write.m_operation;
  const std::optional<FactRow> row =
    ParseFactRow(aState.m_settings.m_region, aRow);
  if (row.has_value()) {
    aState.m_tableRows[row->m_name] = row->m_rowVersion;
    aAdopted = AdoptRow(aState, *row, aEffects) || aAdopted;
  }
  if (aRow.m_operation == operation || HasOperation(aRow.m_value, operation)) {
    aChange.m_stage = ChangeStage::Gathering;
    PushToAll(aState, aNow, aEffects);
    return Progress::Open;
  }
  if (aRow.m_version == aChange.m_write.m_expected) {
    Retry(aChange, aNow, ChangeStage::Writing);
    return Progress::Open;
  }
  FinishCommand(aState,
                aChange.m_command,
                ResultCode::ChangeRaced,
                "raced by " + DescribeChange(aRow.m_value),
                aEffects);
  return Progress::Answered;
}

// The write certainly left no trace.
Progress OnNotWritten(MembershipState& aState,
                      Millis aNow,
                      PendingChange& aChange,
                      MembershipEffects& aEffects)
{
  if (aChange.m_hold.has_value()) {
    Hold(aState, aNow, aChange, aEffects);
  }
  if (aChange.m_isHeld || aChange.m_mayBeWritten) {
    Retry(aChange, aNow, ChangeStage::Writing);
    return Progress::Open;
  }
  FinishCommand(aState,
                aChange.m_command,
                ResultCode::ChangeRefused,
                "the table can't be reached; nothing was written",
                aEffects);
  return Progress::Answered;
}

Progress OnWritten(MembershipState& aState,
                   Millis aNow,
                   PendingChange& aChange,
                   const TableResult& aResult,
                   bool& aAdopted,
                   MembershipEffects& aEffects)
{
  switch (aResult.m_status) {
    case TableStatus::Ok:
    case TableStatus::Conflict:
      if (!aResult.m_rows.empty()) {
        return SettleByRow(
          aState, aNow, aChange, aResult.m_rows.front(), aAdopted, aEffects);
      }
      ReadBack(aState, aNow, aChange, aEffects);
      return Progress::Open;
    case TableStatus::Unknown:
      aChange.m_mayBeWritten = true;
      ReadBack(aState, aNow, aChange, aEffects);
      return Progress::Open;
    default:
      return OnNotWritten(aState, aNow, aChange, aEffects);
  }
}

Progress OnReadBack(MembershipState& aState,
                    Millis aNow,
                    PendingChange& aChange,
                    const TableResult& aResult,
                    bool& aAdopted,
                    MembershipEffects& aEffects)
{
  if (aResult.m_status == TableStatus::Ok && !aResult.m_rows.empty()) {
    return SettleByRow(
      aState, aNow, aChange, aResult.m_rows.front(), aAdopted, aEffects);
  }
  const bool isUnwritten = aResult.m_status == TableStatus::NotFound &&
                           aChange.m_write.m_expected == RowVersion();
  Retry(aChange,
        aNow,
        isUnwritten ? ChangeStage::Writing : ChangeStage::ReadingBack);
  if (!isUnwritten) {
    Hold(aState, aNow, aChange, aEffects);
  }
  return Progress::Open;
}

// The table is slow to answer: the zone goes out in memory meanwhile.
bool ShouldHold(const MembershipState& aState,
                const PendingChange& aChange,
                Millis aNow)
{
  const bool isWaiting = aNow - aChange.m_beganAt >= kHoldAfter;
  return aChange.m_hold.has_value() && !aChange.m_isHeld &&
         aChange.m_stage != ChangeStage::Gathering &&
         (isWaiting || aState.m_isTableSilent);
}

// Returns whether the change was answered.
Progress StepChange(MembershipState& aState,
                    Millis aNow,
                    PendingChange& aChange,
                    MembershipEffects& aEffects)
{
  if (aChange.m_stage == ChangeStage::Gathering &&
      IsAccepted(aState, aChange.m_fact, aChange.m_version)) {
    FinishCommand(
      aState, aChange.m_command, ResultCode::Ok, aChange.m_note, aEffects);
    return Progress::Answered;
  }
  const bool isHeldByAll = aChange.m_isHeld && aState.m_isTableSilent &&
                           aChange.m_stage != ChangeStage::Gathering &&
                           ListNotHolding(aState, aChange).empty();
  if (isHeldByAll || aNow - aChange.m_beganAt >= kCommandTimeout) {
    AnswerLate(aState, aChange, aEffects);
    return Progress::Answered;
  }
  if (ShouldHold(aState, aChange, aNow)) {
    Hold(aState, aNow, aChange, aEffects);
  }
  if (aChange.m_stage == ChangeStage::Gathering || aChange.m_isHeld) {
    PushToLagging(aState, aNow, aEffects);
  }
  const bool isRetryDue =
    aChange.m_retryAt > Millis() && aNow >= aChange.m_retryAt;
  if (isRetryDue && aChange.m_stage == ChangeStage::Writing) {
    aChange.m_retryAt = Millis();
    aEffects.emplace_back(aChange.m_write);
  } else if (isRetryDue && aChange.m_stage == ChangeStage::ReadingBack) {
    ReadBack(aState, aNow, aChange, aEffects);
  }
  return Progress::Open;
}

} // namespace

bool OnChangeResult(MembershipState& aState,
                    Millis aNow,
                    const TableResult& aResult,
                    bool& aAdopted,
                    MembershipEffects& aEffects)
{
  const auto found =
    std::find_if(aState.m_changes.begin(),
                 aState.m_changes.end(),
                 [&](const PendingChange& aChange) {
                   return aChange.m_write.m_operation == aResult.m_operation ||
                          aChange.m_readBack == aResult.m_operation;
                 });
  if (found == aState.m_changes.end() || aResult.m_operation.IsEmpty()) {
    return false;
  }
  if (found->m_stage == ChangeStage::Gathering) {
    return true;
  }
  const bool isWrite = found->m_write.m_operation == aResult.m_operation;
  const Progress progress =
    isWrite ? OnWritten(aState, aNow, *found, aResult, aAdopted, aEffects)
            : OnReadBack(aState, aNow, *found, aResult, aAdopted, aEffects);
  if (progress == Progress::Answered) {
    aState.m_changes.erase(found);
  }
  return true;
}

void StepChanges(MembershipState& aState,
                 Millis aNow,
                 MembershipEffects& aEffects)
{
  std::vector<PendingChange> open;
  for (PendingChange& change : aState.m_changes) {
    if (StepChange(aState, aNow, change, aEffects) == Progress::Open) {
      open.push_back(std::move(change));
    }
  }
  aState.m_changes = std::move(open);
}

} // namespace briarglade
