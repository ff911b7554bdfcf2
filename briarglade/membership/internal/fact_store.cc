// Adoption of facts.

#include "briarglade/membership/internal/fact_store.h"

#include <algorithm>
#include <utility>

#include "briarglade/base/rendezvous.h"
#include "briarglade/membership/internal/roster.h"
#include "briarglade/membership/timing.h"

namespace briarglade {

namespace {

void LogAdoption(const char* aEvent,
                 const FactRow& aRow,
                 MembershipEffects& aEffects)
{
  LogEvent event{ LogLevel::Info,
                  aEvent,
                  { { "version", std::to_string(aRow.m_version) },
                    { "operation", aRow.m_operation.Value() } } };
  if (!aRow.m_name.m_zone.IsEmpty()) {
    event.m_fields.push_back({ "zone", aRow.m_name.m_zone.Value() });
  }
  const std::vector<ChangeRecord> history = ReadHistory(aRow.m_value);
  if (!history.empty()) {
    event.m_fields.push_back({ "who", history.front().m_who });
    event.m_fields.push_back({ "reason", history.front().m_why });
  }
  aEffects.emplace_back(std::move(event));
}

void PublishZones(const MembershipState& aState, MembershipEffects& aEffects)
{
  ZonesAdopted adopted;
  for (const auto& [name, row] : aState.m_rows) {
    if (name.m_kind == FactKind::Zone) {
      adopted.m_zones[name.m_zone] =
        ReadZoneFact(row.m_value).value_or(ZoneState::In);
    }
  }
  for (const auto& [zone, held] : aState.m_holds) {
    adopted.m_zones[zone] = ZoneState::Out;
  }
  aEffects.emplace_back(std::move(adopted));
}

bool IsWellFormed(const FactRow& aRow)
{
  switch (aRow.m_name.m_kind) {
    case FactKind::Config:
      return ReadConfigFact(aRow.m_value).has_value();
    case FactKind::Roster:
      return ReadRosterFact(aRow.m_value).has_value();
    default:
      return ReadZoneFact(aRow.m_value).has_value();
  }
}

void ApplyConfig(MembershipState& aState,
                 const FactRow& aRow,
                 MembershipEffects& aEffects)
{
  FleetAdopted adopted;
  adopted.m_version = ConfigVersion(aRow.m_version);
  adopted.m_fleet = *ReadConfigFact(aRow.m_value);
  aState.m_knownZones.clear();
  for (const auto& entry : adopted.m_fleet.m_zones) {
    aState.m_knownZones.insert(entry.first);
  }
  LogAdoption("config-adopted", aRow, aEffects);
  aEffects.emplace_back(std::move(adopted));
}

// A hold ends when the table has the zone out. If the table has it in by a
// change of someone who didn't know of the hold, the hold stays.
void SettleHold(MembershipState& aState,
                const FactRow& aRow,
                MembershipEffects& aEffects)
{
  const auto held = aState.m_holds.find(aRow.m_name.m_zone);
  if (held == aState.m_holds.end()) {
    return;
  }
  if (aRow.m_operation == held->second.m_hold.m_operation ||
      ReadZoneFact(aRow.m_value) == ZoneState::Out) {
    LogAdoption("zone-hold-recorded", aRow, aEffects);
    aState.m_holds.erase(held);
    return;
  }
  held->second.m_hold.m_base = aRow.m_version;
  LogAdoption("zone-hold-raced", aRow, aEffects);
}

void ApplyZone(MembershipState& aState,
               const FactRow& aRow,
               MembershipEffects& aEffects)
{
  SettleHold(aState, aRow, aEffects);
  LogAdoption("zone-adopted", aRow, aEffects);
  PublishZones(aState, aEffects);
}

// The nodes write a hold one after another, the one that took the command
// first.
Millis HoldWriteDelay(const MembershipState& aState, const ZoneHold& aHold)
{
  std::vector<NodeId> nodes;
  for (const Member& member : aState.m_members) {
    nodes.push_back(member.m_node.m_id);
  }
  nodes = RankNodes(aHold.m_operation.Value(), nodes);
  const auto self =
    std::find(nodes.begin(), nodes.end(), aState.m_settings.m_self);
  return kTablePollPeriod * (1 + (self - nodes.begin()));
}

RowVersion ExpectedRowVersion(const MembershipState& aState,
                              const FactName& aName)
{
  const auto row = aState.m_tableRows.find(aName);
  return row == aState.m_tableRows.end() ? RowVersion() : row->second;
}

} // namespace

bool AdoptRow(MembershipState& aState,
              const FactRow& aRow,
              MembershipEffects& aEffects)
{
  if (aRow.m_version <= aState.m_held.Of(aRow.m_name) || !IsWellFormed(aRow)) {
    return false;
  }
  aState.m_rows[aRow.m_name] = aRow;
  aState.m_tableRows[aRow.m_name] = aRow.m_rowVersion;
  aState.m_held.Set(aRow.m_name, aRow.m_version);
  aState.m_heard.Raise(aState.m_held);
  switch (aRow.m_name.m_kind) {
    case FactKind::Config:
      ApplyConfig(aState, aRow, aEffects);
      break;
    case FactKind::Roster:
      LogAdoption("roster-adopted", aRow, aEffects);
      ApplyRoster(aState, *ReadRosterFact(aRow.m_value), aEffects);
      break;
    case FactKind::Zone:
      ApplyZone(aState, aRow, aEffects);
      break;
  }
  return true;
}

bool AdoptHold(MembershipState& aState,
               Millis aNow,
               const ZoneHold& aHold,
               MembershipEffects& aEffects)
{
  const FactName name{ FactKind::Zone, aHold.m_zone };
  const bool isSettled = aState.m_held.Of(name) > aHold.m_base;
  if (isSettled || aState.m_holds.count(aHold.m_zone) != 0) {
    return false;
  }
  HeldZone held;
  held.m_hold = aHold;
  held.m_writeAt = aNow + HoldWriteDelay(aState, aHold);
  aState.m_holds[aHold.m_zone] = std::move(held);
  aEffects.emplace_back(
    LogEvent{ LogLevel::Warn,
              "zone-held-out",
              { { "zone", aHold.m_zone.Value() },
                { "who", aHold.m_who },
                { "reason", aHold.m_why },
                { "operation", aHold.m_operation.Value() } } });
  PublishZones(aState, aEffects);
  return true;
}

std::vector<FactRow> ListNewerRows(const MembershipState& aState,
                                   const FactsVersion& aThan,
                                   bool aWantsAll)
{
  std::vector<FactRow> rows;
  for (const auto& [name, row] : aState.m_rows) {
    const bool fits = aWantsAll || row.m_value.size() <= kMaxPushedRowBytes;
    if (fits && row.m_version > aThan.Of(name)) {
      rows.push_back(row);
    }
  }
  return rows;
}

std::vector<ZoneHold> ListHolds(const MembershipState& aState)
{
  std::vector<ZoneHold> holds;
  for (const auto& entry : aState.m_holds) {
    holds.push_back(entry.second.m_hold);
  }
  return holds;
}

std::vector<OperationId> ListHoldOperations(const MembershipState& aState)
{
  std::vector<OperationId> operations;
  for (const auto& entry : aState.m_holds) {
    operations.push_back(entry.second.m_hold.m_operation);
  }
  return operations;
}

std::string HeldValue(const MembershipState& aState, const FactName& aName)
{
  const auto row = aState.m_rows.find(aName);
  return row == aState.m_rows.end() ? std::string() : row->second.m_value;
}

TableWrite MakeFactWrite(const MembershipState& aState,
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

} // namespace briarglade
