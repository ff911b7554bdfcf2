// Reading the fact rows from the table.

#include "briarglade/membership/internal/table_polling.h"

#include <utility>

#include "briarglade/membership/internal/confirmation.h"
#include "briarglade/membership/internal/fact_store.h"
#include "briarglade/membership/timing.h"

namespace briarglade {

namespace {

void SetSilent(MembershipState& aState,
               bool aIsSilent,
               MembershipEffects& aEffects)
{
  if (aState.m_isTableSilent != aIsSilent) {
    aState.m_isTableSilent = aIsSilent;
    aEffects.emplace_back(
      LogEvent{ aIsSilent ? LogLevel::Warn : LogLevel::Info,
                aIsSilent ? "table-silent" : "table-answers",
                {} });
  }
}

void StartRead(MembershipState& aState,
               Millis aNow,
               MembershipEffects& aEffects)
{
  PendingTableRead pending;
  pending.m_operation = OperationId(aState.m_ids.Next());
  pending.m_askedAt = aNow;
  pending.m_since = aState.m_isTableSuspect ? 0 : aState.m_tableChange;
  pending.m_expected = aState.m_heard;
  TableRead read;
  read.m_operation = pending.m_operation;
  read.m_key = FactPrefix(aState.m_settings.m_region);
  read.m_isPrefix = true;
  read.m_sinceChange = pending.m_since;
  aState.m_tableRead = std::move(pending);
  aEffects.emplace_back(std::move(read));
}

// Raises the alarm. The table confirms nothing until a whole read shows at
// least what the nodes know.
void Suspect(MembershipState& aState,
             Millis aNow,
             const PendingTableRead& aRead,
             const std::string& aReason,
             MembershipEffects& aEffects)
{
  const bool wasWhole = aRead.m_since == 0;
  aState.m_nextTableReadAt = wasWhole ? aNow + kSuspectReadPeriod : aNow;
  aState.m_isTableSuspect = true;
  aEffects.emplace_back(LogEvent{
    LogLevel::Error,
    "table-shows-older-version",
    { { "reason", aReason },
      { "config", std::to_string(aState.m_tableShows.m_config) },
      { "config-known", std::to_string(aRead.m_expected.m_config) },
      { "roster", std::to_string(aState.m_tableShows.m_roster) },
      { "roster-known", std::to_string(aRead.m_expected.m_roster) } } });
}

// Tells whether the table has another row at a version that this node holds.
bool IsRewritten(const MembershipState& aState, const FactRow& aRow)
{
  const auto held = aState.m_rows.find(aRow.m_name);
  return held != aState.m_rows.end() &&
         held->second.m_version == aRow.m_version &&
         held->second.m_operation != aRow.m_operation;
}

// Takes one row as read. Returns false if it contradicts this node's.
bool TakeRow(MembershipState& aState,
             const TableRow& aRow,
             bool& aAdopted,
             MembershipEffects& aEffects)
{
  FactName name;
  if (!ParseFactKey(aState.m_settings.m_region, aRow.m_key, name)) {
    return true;
  }
  const std::optional<FactRow> row =
    aRow.m_deleted ? std::nullopt
                   : ParseFactRow(aState.m_settings.m_region, aRow);
  aState.m_tableShows.Set(name, row.has_value() ? row->m_version : 0);
  aState.m_tableRows[name] = aRow.m_deleted ? RowVersion() : aRow.m_version;
  if (!row.has_value()) {
    return true;
  }
  aAdopted = AdoptRow(aState, *row, aEffects) || aAdopted;
  return !IsRewritten(aState, *row);
}

void TakeRows(MembershipState& aState,
              Millis aNow,
              const PendingTableRead& aRead,
              const TableResult& aResult,
              bool& aAdopted,
              MembershipEffects& aEffects)
{
  if (aRead.m_since == 0) {
    aState.m_tableShows = FactsVersion();
    aState.m_tableRows.clear();
  }
  bool isConsistent = true;
  for (const TableRow& row : aResult.m_rows) {
    isConsistent = TakeRow(aState, row, aAdopted, aEffects) && isConsistent;
  }
  aState.m_tableChange = aResult.m_change;
  if (!isConsistent) {
    Suspect(
      aState, aNow, aRead, "another change at the same version", aEffects);
  } else if (!aState.m_tableShows.Covers(aRead.m_expected)) {
    Suspect(aState, aNow, aRead, "a lower version", aEffects);
  } else {
    aState.m_isTableSuspect = false;
    aState.m_hasReadTable = true;
    ConfirmAt(aState, aRead.m_askedAt);
  }
}

} // namespace

bool IsTableUnhelpful(const MembershipState& aState)
{
  return aState.m_isTableSilent || aState.m_isTableSuspect ||
         !aState.m_hasReadTable;
}

void PollTable(MembershipState& aState,
               Millis aNow,
               MembershipEffects& aEffects)
{
  if (aState.m_tableRead.has_value()) {
    const Millis waited = aNow - aState.m_tableRead->m_askedAt;
    if (waited >= kTableSlowAfter) {
      SetSilent(aState, true, aEffects);
    }
    if (waited < kTableReadTimeout) {
      return;
    }
    aState.m_tableRead.reset();
  }
  if (aNow >= aState.m_nextTableReadAt) {
    aState.m_nextTableReadAt = aNow + kTablePollPeriod;
    StartRead(aState, aNow, aEffects);
  }
}

bool OnFactsRead(MembershipState& aState,
                 Millis aNow,
                 const TableResult& aResult,
                 bool& aAdopted,
                 MembershipEffects& aEffects)
{
  if (!aState.m_tableRead.has_value() ||
      aState.m_tableRead->m_operation != aResult.m_operation) {
    return false;
  }
  const PendingTableRead read = std::move(*aState.m_tableRead);
  aState.m_tableRead.reset();
  if (aResult.m_status != TableStatus::Ok) {
    SetSilent(aState, true, aEffects);
    aState.m_nextTableReadAt = aNow + kTableRetryPeriod;
    return true;
  }
  SetSilent(aState, false, aEffects);
  if (aResult.m_change < read.m_since) {
    Suspect(aState, aNow, read, "the table's change number fell", aEffects);
    return true;
  }
  TakeRows(aState, aNow, read, aResult, aAdopted, aEffects);
  return true;
}

} // namespace briarglade
