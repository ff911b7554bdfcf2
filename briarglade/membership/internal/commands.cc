// The start of operators' commands.

#include "briarglade/membership/internal/commands.h"

#include <utility>

#include "briarglade/config/fleet_json.h"
#include "briarglade/membership/internal/command_answers.h"
#include "briarglade/membership/internal/fact_store.h"
#include "briarglade/membership/internal/zone_holds.h"

namespace briarglade {

namespace {

const FactName kConfigName{ FactKind::Config, ZoneId() };

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
  ChangeRecord record = MakeHoldRecord(hold, base + 1);
  record.m_what = aCommand.m_state == ZoneState::Out ? "out" : "in";
  PendingChange change;
  change.m_command = aCommand.m_command;
  change.m_fact = name;
  change.m_version = base + 1;
  change.m_write =
    MakeFactWrite(aState,
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
    FinishCommand(aState,
                  aCommand.m_command,
                  ResultCode::MalformedRequest,
                  "a reason is required",
                  aEffects);
    return;
  }
  const Result<FleetConfig> fleet = FleetFromJson(aCommand.m_fleetJson);
  if (const Error* error = GetError(fleet)) {
    FinishCommand(
      aState, aCommand.m_command, error->m_code, error->m_detail, aEffects);
    return;
  }
  const std::string former = HeldValue(aState, kConfigName);
  if (aCommand.m_base.Value() > aState.m_held.m_config) {
    FinishCommand(aState,
                  aCommand.m_command,
                  ResultCode::ChangeRefused,
                  "this node hasn't that version yet; repeat the command",
                  aEffects);
    return;
  }
  if (aCommand.m_base.Value() < aState.m_held.m_config) {
    FinishCommand(aState,
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
    MakeFactWrite(aState,
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
    FinishCommand(aState,
                  aCommand.m_command,
                  ResultCode::MalformedRequest,
                  "a reason is required",
                  aEffects);
    return;
  }
  const std::string objection = FindZoneObjection(aState, aCommand);
  if (!objection.empty()) {
    FinishCommand(aState,
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

} // namespace briarglade
