// Operators' commands.

#include "briarglade/membership/internal/changes.h"

#include <algorithm>
#include <utility>

#include "briarglade/config/fleet_json.h"
#include "briarglade/membership/internal/fact_store.h"
#include "briarglade/membership/internal/partners.h"
#include "briarglade/membership/internal/table_polling.h"
#include "briarglade/membership/membership.h"
#include "briarglade/membership/timing.h"

namespace briarglade {

namespace {

const FactName kConfigName{ FactKind::Config, ZoneId() };

void Answer(const MembershipState& aState,
            const CommandId& aCommand,
            ResultCode aCode,
            std::string aDetail,
            std::vector<NodeId> aMissing,
            MembershipEffects& aEffects)
{
  aEffects.emplace_back(
    LogEvent{ LogLevel::Info,
              "command-answered",
              { { "command", aCommand.Value() },
                { "code", std::to_string(static_cast<uint16_t>(aCode)) },
                { "detail", aDetail } } });
  aEffects.emplace_back(CommandAnswer{ aCommand,
                                       aCode,
                                       std::move(aDetail),
                                       ConfigVersion(aState.m_held.m_config),
                                       std::move(aMissing) });
}

void Refuse(const MembershipState& aState,
            const CommandId& aCommand,
            ResultCode aCode,
            std::string aDetail,
            MembershipEffects& aEffects)
{
  Answer(aState, aCommand, aCode, std::move(aDetail), {}, aEffects);
}

// Names the change that stands in a row: its version, who made it and why.
std::string DescribeChange(const std::string& aValue)
{
  const std::vector<ChangeRecord> history = ReadHistory(aValue);
  if (history.empty()) {
    return "another change";
  }
  const ChangeRecord& change = history.front();
  return "version " + std::to_string(change.m_version) + " (" + change.m_what +
         ") by " + change.m_who + ": " + change.m_why;
}

bool HasOperation(const std::string& aValue, const OperationId& aOperation)
{
  for (const ChangeRecord& change : ReadHistory(aValue)) {
    if (change.m_operation == aOperation) {
      return true;
    }
  }
  return false;
}

ChangeRecord MakeRecord(const ZoneHold& aHold, uint64_t aVersion)
{
  ChangeRecord record;
  record.m_version = aVersion;
  record.m_who = aHold.m_who;
  record.m_why = aHold.m_why;
  record.m_whenUnixMs = aHold.m_whenUnixMs;
  record.m_operation = aHold.m_operation;
  record.m_what = "out";
  return record;
}

TableWrite MakeWrite(const MembershipState& aState,
                     const FactName& aName,
                     const OperationId& aOperation,
                     std::string aValue)
{
  TableWrite write;
  write.m_operation = aOperation;
  write.m_key = FactKey(aState.m_settings.m_region, aName);
  write.m_expected = ExpectedRowVersion(aState, aName);
  write.m_value = std::move(aValue);
  return write;
}

void BeginChange(MembershipState& aState,
                 Millis aNow,
                 PendingChange aChange,
                 MembershipEffects& aEffects)
{
  aChange.m_beganAt = aNow;
  if (aChange.m_stage == ChangeStage::Writing) {
    aEffects.emplace_back(aChange.m_write);
  }
  aState.m_changes.push_back(std::move(aChange));
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
  Answer(aState,
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
  Refuse(aState,
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
  Refuse(aState,
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
    Refuse(aState, aChange.m_command, ResultCode::Ok, aChange.m_note, aEffects);
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

bool IsWrittenByChange(const MembershipState& aState,
                       const OperationId& aOperation)
{
  return std::any_of(aState.m_changes.begin(),
                     aState.m_changes.end(),
                     [&](const PendingChange& aChange) {
                       return aChange.m_write.m_operation == aOperation;
                     });
}

ZoneHold MakeHold(MembershipState& aState,
                  const ZoneCommand& aCommand,
                  uint64_t aBase)
{
  ZoneHold hold;
  hold.m_zone = aCommand.m_zone;
  hold.m_base = aBase;
  hold.m_operation = OperationId(aState.m_ids.Next());
  hold.m_who = aCommand.m_who;
  hold.m_why = aCommand.m_why;
  hold.m_whenUnixMs = aCommand.m_whenUnixMs;
  return hold;
}

// Begins the write of a zone's next state.
void WriteZone(MembershipState& aState,
               Millis aNow,
               const ZoneCommand& aCommand,
               MembershipEffects& aEffects)
{
  const FactName name{ FactKind::Zone, aCommand.m_zone };
  const std::string former = HeldValue(aState, name);
  const uint64_t base = aState.m_held.Of(name);
  const auto held = aState.m_holds.find(aCommand.m_zone);
  const ZoneHold hold = held != aState.m_holds.end()
                          ? held->second.m_hold
                          : MakeHold(aState, aCommand, base);
  ChangeRecord record = MakeRecord(hold, base + 1);
  record.m_what = aCommand.m_state == ZoneState::Out ? "out" : "in";
  PendingChange change;
  change.m_command = aCommand.m_command;
  change.m_fact = name;
  change.m_version = base + 1;
  change.m_write = MakeWrite(aState,
                             name,
                             hold.m_operation,
                             WriteZoneFact(aCommand.m_state, record, former));
  if (aCommand.m_state == ZoneState::Out) {
    change.m_hold = hold;
  }
  BeginChange(aState, aNow, std::move(change), aEffects);
}

// The zone is as wanted already: wait only until that is accepted.
void AwaitZone(MembershipState& aState,
               Millis aNow,
               const ZoneCommand& aCommand,
               MembershipEffects& aEffects)
{
  PendingChange change;
  change.m_command = aCommand.m_command;
  change.m_fact = FactName{ FactKind::Zone, aCommand.m_zone };
  change.m_version = aState.m_held.Of(change.m_fact);
  change.m_stage = ChangeStage::Gathering;
  change.m_note = "the zone was so already";
  BeginChange(aState, aNow, std::move(change), aEffects);
}

// Returns why the command can't be carried out, or an empty text.
std::string FindZoneObjection(const MembershipState& aState,
                              const ZoneCommand& aCommand)
{
  if (aState.m_knownZones.count(aCommand.m_zone) == 0) {
    return "the configuration names no such zone";
  }
  const auto held = aState.m_holds.find(aCommand.m_zone);
  if (held != aState.m_holds.end() && aCommand.m_state == ZoneState::In) {
    return "the zone is held out in memory by " + held->second.m_hold.m_who +
           " (" + held->second.m_hold.m_why +
           "); bring it back once the table has it";
  }
  return {};
}

} // namespace

void OnApply(MembershipState& aState,
             Millis aNow,
             const ApplyCommand& aCommand,
             MembershipEffects& aEffects)
{
  if (aCommand.m_why.empty()) {
    Refuse(aState,
           aCommand.m_command,
           ResultCode::MalformedRequest,
           "a reason is required",
           aEffects);
    return;
  }
  const Result<FleetConfig> fleet = FleetFromJson(aCommand.m_fleetJson);
  if (const Error* error = GetError(fleet)) {
    Refuse(
      aState, aCommand.m_command, error->m_code, error->m_detail, aEffects);
    return;
  }
  const std::string former = HeldValue(aState, kConfigName);
  if (aCommand.m_base.Value() > aState.m_held.m_config) {
    Refuse(aState,
           aCommand.m_command,
           ResultCode::ChangeRefused,
           "this node hasn't that version yet; repeat the command",
           aEffects);
    return;
  }
  if (aCommand.m_base.Value() < aState.m_held.m_config) {
    Refuse(aState,
           aCommand.m_command,
           ResultCode::ChangeRaced,
           "raced by " + DescribeChange(former),
           aEffects);
    return;
  }
  PendingChange change;
  change.m_command = aCommand.m_command;
  change.m_fact = kConfigName;
  change.m_version = aState.m_held.m_config + 1;
  ChangeRecord record;
  record.m_version = change.m_version;
  record.m_who = aCommand.m_who;
  record.m_why = aCommand.m_why;
  record.m_whenUnixMs = aCommand.m_whenUnixMs;
  record.m_operation = OperationId(aState.m_ids.Next());
  record.m_what = "configuration";
  change.m_write =
    MakeWrite(aState,
              kConfigName,
              record.m_operation,
              WriteConfigFact(aCommand.m_fleetJson, record, former));
  BeginChange(aState, aNow, std::move(change), aEffects);
}

void OnZone(MembershipState& aState,
            Millis aNow,
            const ZoneCommand& aCommand,
            MembershipEffects& aEffects)
{
  if (aCommand.m_why.empty()) {
    Refuse(aState,
           aCommand.m_command,
           ResultCode::MalformedRequest,
           "a reason is required",
           aEffects);
    return;
  }
  const std::string objection = FindZoneObjection(aState, aCommand);
  if (!objection.empty()) {
    Refuse(aState,
           aCommand.m_command,
           ResultCode::ChangeRefused,
           objection,
           aEffects);
    return;
  }
  const FactName name{ FactKind::Zone, aCommand.m_zone };
  const std::optional<ZoneState> present =
    ReadZoneFact(HeldValue(aState, name));
  if (present == aCommand.m_state) {
    AwaitZone(aState, aNow, aCommand, aEffects);
  } else {
    WriteZone(aState, aNow, aCommand, aEffects);
  }
}

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

void StepHolds(MembershipState& aState,
               Millis aNow,
               MembershipEffects& aEffects)
{
  if (IsTableUnhelpful(aState)) {
    return;
  }
  for (auto& [zone, held] : aState.m_holds) {
    const bool isOurs = IsWrittenByChange(aState, held.m_hold.m_operation);
    if (held.m_isWriting || isOurs || aNow < held.m_writeAt) {
      continue;
    }
    const FactName name{ FactKind::Zone, zone };
    const ChangeRecord record =
      MakeRecord(held.m_hold, aState.m_held.Of(name) + 1);
    held.m_isWriting = true;
    aEffects.emplace_back(MakeWrite(
      aState,
      name,
      held.m_hold.m_operation,
      WriteZoneFact(ZoneState::Out, record, HeldValue(aState, name))));
  }
}

bool OnHoldWritten(MembershipState& aState,
                   Millis aNow,
                   const TableResult& aResult,
                   bool& aAdopted,
                   MembershipEffects& aEffects)
{
  for (auto& entry : aState.m_holds) {
    HeldZone& held = entry.second;
    if (held.m_hold.m_operation != aResult.m_operation) {
      continue;
    }
    held.m_isWriting = false;
    held.m_writeAt = aNow + kTablePollPeriod;
    aState.m_nextTableReadAt = aNow;
    if (aResult.m_status != TableStatus::Ok || aResult.m_rows.empty()) {
      return true;
    }
    const std::optional<FactRow> row =
      ParseFactRow(aState.m_settings.m_region, aResult.m_rows.front());
    if (row.has_value()) {
      aAdopted = AdoptRow(aState, *row, aEffects) || aAdopted;
    }
    return true;
  }
  return false;
}

} // namespace briarglade
