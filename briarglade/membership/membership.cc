// The sub-reducer of membership: hands each event to its part.

#include "briarglade/membership/membership.h"

#include <algorithm>

#include "briarglade/base/overloaded.h"
#include "briarglade/base/rendezvous.h"
#include "briarglade/membership/internal/changes.h"
#include "briarglade/membership/internal/commands.h"
#include "briarglade/membership/internal/confirmation.h"
#include "briarglade/membership/internal/partners.h"
#include "briarglade/membership/internal/roster.h"
#include "briarglade/membership/internal/table_polling.h"
#include "briarglade/membership/internal/zone_holds.h"
#include "briarglade/membership/timing.h"

namespace briarglade {

namespace {

void OnTick(MembershipState& aState, Millis aNow, MembershipEffects& aEffects)
{
  AskPartners(aState, aNow, aEffects);
  StepHolds(aState, aNow, aEffects);
  StepRoster(aState, aNow, aEffects);
}

// Returns whether a newer fact was adopted.
bool OnTableResult(MembershipState& aState,
                   Millis aNow,
                   const TableResult& aResult,
                   MembershipEffects& aEffects)
{
  bool adopted = false;
  if (!OnFactsRead(aState, aNow, aResult, adopted, aEffects) &&
      !OnChangeResult(aState, aNow, aResult, adopted, aEffects) &&
      !OnHoldWritten(aState, aNow, aResult, adopted, aEffects)) {
    OnRosterWritten(aState, aNow, aResult, aEffects);
  }
  return adopted;
}

// A node that joined is a member once its joining is accepted.
void UpdateMember(MembershipState& aState)
{
  const FactName roster{ FactKind::Roster, ZoneId() };
  if (!aState.m_isMember && IsListed(aState) &&
      IsAccepted(aState, roster, aState.m_held.m_roster)) {
    aState.m_isMember = true;
  }
}

} // namespace

MembershipState MakeMembershipState(const MembershipSettings& aSettings)
{
  MembershipState state;
  state.m_settings = aSettings;
  state.m_ids = UniqueIds(aSettings.m_self, aSettings.m_incarnation);
  state.m_random.seed(static_cast<uint32_t>(RendezvousWeight(
    std::to_string(aSettings.m_incarnation), aSettings.m_self.Value())));
  return state;
}

std::vector<MembershipEffect> ReduceMembership(MembershipState& aState,
                                               Millis aNow,
                                               const MembershipEvent& aEvent)
{
  MembershipEffects effects;
  bool adopted = false;
  std::visit(
    Overloaded{
      [&](const MembershipTick&) { OnTick(aState, aNow, effects); },
      [&](const TableResult& aResult) {
        adopted = OnTableResult(aState, aNow, aResult, effects);
      },
      [&](const PeerMessageReceived& aReceived) {
        OnPeerMessage(aState, aNow, aReceived, adopted, effects);
      },
      [&](const PeerUnreachable& aUnreachable) {
        OnUnreachable(aState, aNow, aUnreachable.m_node);
      },
      [&](const EntryHostsRead& aRead) { NoteShownHosts(aState, aNow, aRead); },
      [&](const ApplyCommand& aCommand) {
        OnApply(aState, aNow, aCommand, effects);
      },
      [&](const ZoneCommand& aCommand) {
        OnZone(aState, aNow, aCommand, effects);
      },
      [&](const ShutdownRequested&) { BeginLeaving(aState, aNow); } },
    aEvent);
  if (adopted) {
    PassOn(aState, aNow, effects);
  }
  UpdateMember(aState);
  StepChanges(aState, aNow, effects);
  PollTable(aState, aNow, effects);
  PublishConfirmation(aState, aNow, effects);
  return effects;
}

bool IsConfirmed(const MembershipState& aState, Millis aNow)
{
  return aState.m_isMember && aNow - aState.m_confirmedAt <= kConfirmationLife;
}

bool IsAccepted(const MembershipState& aState,
                const FactName& aName,
                uint64_t aVersion)
{
  const bool isRosterKnown = aState.m_heard.m_roster <= aState.m_held.m_roster;
  if (!isRosterKnown || aState.m_held.Of(aName) < aVersion) {
    return false;
  }
  const auto holds = [&](const Member& aMember) {
    return aMember.m_holds.Of(aName) >= aVersion;
  };
  return aName.m_kind == FactKind::Roster ? HasBothMajorities(aState, holds)
                                          : HasMajority(aState, holds);
}

std::vector<ChangeRecord> ListChanges(const MembershipState& aState)
{
  std::vector<ChangeRecord> changes;
  for (const auto& entry : aState.m_rows) {
    std::vector<ChangeRecord> history = ReadHistory(entry.second.m_value);
    for (ChangeRecord& change : history) {
      if (!entry.first.m_zone.IsEmpty()) {
        change.m_what += " " + entry.first.m_zone.Value();
      }
      changes.push_back(std::move(change));
    }
  }
  std::stable_sort(changes.begin(),
                   changes.end(),
                   [](const ChangeRecord& aLeft, const ChangeRecord& aRight) {
                     return aLeft.m_whenUnixMs > aRight.m_whenUnixMs;
                   });
  return changes;
}

} // namespace briarglade
