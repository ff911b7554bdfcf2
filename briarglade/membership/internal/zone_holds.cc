// The recording of zones that are held out in memory.

#include "briarglade/membership/internal/zone_holds.h"

#include <algorithm>
#include <utility>

#include "briarglade/membership/internal/fact_store.h"
#include "briarglade/membership/internal/table_polling.h"
#include "briarglade/membership/timing.h"

namespace briarglade {

namespace {

bool IsWrittenByChange(const MembershipState& aState,
                       const OperationId& aOperation)
{
  return std::any_of(aState.m_changes.begin(),
                     aState.m_changes.end(),
                     [&](const PendingChange& aChange) {
                       return aChange.m_write.m_operation == aOperation;
                     });
}

} // namespace

ChangeRecord MakeHoldRecord(const ZoneHold& aHold, uint64_t aVersion)
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
      MakeHoldRecord(held.m_hold, aState.m_held.Of(name) + 1);
    held.m_isWriting = true;
    aEffects.emplace_back(MakeFactWrite(
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
