// Orders the updates about a server's membership.

#include "briarglade/grouping/membership_history.h"

namespace briarglade {

namespace {

// Within a generation, a member never returns to Joining.
bool ReturnsToJoining(const MembershipUpdate& aUpdate,
                      const std::optional<GroupMembership>& aKnown)
{
  const std::optional<GroupMembership>& updated = aUpdate.m_membership;
  return updated && aKnown && updated->m_group == aKnown->m_group &&
         updated->m_generation == aKnown->m_generation &&
         updated->m_phase == GroupPhase::Joining &&
         aKnown->m_phase != GroupPhase::Joining;
}

// The holder repeats an announcement, also after the server has gone on.
bool IsRepeated(const MembershipUpdate& aUpdate,
                const std::optional<GroupMembership>& aKnown)
{
  return aUpdate.m_source == UpdateSource::Announcement && aKnown &&
         aKnown->m_generation >= aUpdate.m_membership->m_generation;
}

} // namespace

UpdateOutcome MembershipHistory::Apply(
  const MembershipUpdate& aUpdate,
  std::optional<GroupMembership>& aMembership)
{
  if (ReturnsToJoining(aUpdate, aMembership) ||
      IsRepeated(aUpdate, aMembership)) {
    return UpdateOutcome::Outdated;
  }
  const bool isSame = aUpdate.m_membership == aMembership;
  aMembership = aUpdate.m_membership;
  m_source = aUpdate.m_source;
  m_asOf = aUpdate.m_asOf;
  return isSame ? UpdateOutcome::Confirmed : UpdateOutcome::Applied;
}

} // namespace briarglade
