// Orders the updates about a server's membership.

#include "briarglade/grouping/membership_history.h"

#include <algorithm>

namespace briarglade {

// Returns how far a server has advanced by an update whose predecessor, by the
// same way, had reached aBefore.
MembershipHistory::Progress MembershipHistory::ProgressOf(
  const std::optional<GroupMembership>& aMembership,
  const Progress& aBefore)
{
  if (!aMembership) {
    return Progress{ aBefore.m_generation, Stage::Left };
  }
  const bool wasOpen = aBefore.m_generation == aMembership->m_generation &&
                       aBefore.m_stage >= Stage::Open &&
                       aBefore.m_stage <= Stage::Closed;
  Progress progress{ aMembership->m_generation, Stage::Joining };
  switch (aMembership->m_phase) {
    case GroupPhase::Joining:
      break;
    case GroupPhase::Ready:
      progress.m_stage = wasOpen ? Stage::Closed : Stage::Ready;
      break;
    case GroupPhase::Open:
      progress.m_stage = Stage::Open;
      break;
    case GroupPhase::Closing:
      progress.m_stage = Stage::Closing;
      break;
    case GroupPhase::Broken:
      progress.m_stage = Stage::Broken;
      break;
  }
  return progress;
}

UpdateOutcome MembershipHistory::Apply(
  const MembershipUpdate& aUpdate,
  std::optional<GroupMembership>& aMembership)
{
  if (aUpdate.m_startedAt < m_startedAt) {
    return UpdateOutcome::Outdated;
  }
  if (aUpdate.m_startedAt > m_startedAt) {
    *this = MembershipHistory();
    m_startedAt = aUpdate.m_startedAt;
    aMembership.reset();
  }
  switch (aUpdate.m_source) {
    case UpdateSource::Row:
      return ApplyRow(aUpdate, aMembership);
    case UpdateSource::Report:
      return ApplyReport(aUpdate, aMembership);
    case UpdateSource::Announcement:
    case UpdateSource::Order:
      return ApplyIfAdvanced(aUpdate, aMembership);
  }
  return UpdateOutcome::Ambiguous;
}

UpdateOutcome MembershipHistory::ApplyRow(
  const MembershipUpdate& aUpdate,
  std::optional<GroupMembership>& aMembership)
{
  const Progress progress = ProgressOf(aUpdate.m_membership, m_reachedByRows);
  m_reachedByRows = progress;
  if (m_reached < progress) {
    return Adopt(aUpdate, progress, aMembership);
  }
  if (aUpdate.m_membership == aMembership) {
    return UpdateOutcome::Confirmed;
  }
  return aUpdate.m_membership ? UpdateOutcome::Outdated
                              : UpdateOutcome::Ambiguous;
}

UpdateOutcome MembershipHistory::ApplyReport(
  const MembershipUpdate& aUpdate,
  std::optional<GroupMembership>& aMembership)
{
  const bool isCounted =
    aUpdate.m_orderCount.has_value() && m_orderCount.has_value();
  if (isCounted && *aUpdate.m_orderCount < *m_orderCount) {
    return UpdateOutcome::Outdated;
  }
  const bool isLaterByCount =
    isCounted && *aUpdate.m_orderCount > *m_orderCount;
  const bool isSameCount = isCounted && !isLaterByCount;
  const bool isLater = isLaterByCount || aUpdate.m_asOf >= m_asOf;
  // Without an order in between, an open group is not closed. One that is
  // closing is closed once its last request has ended.
  const bool mayBeClosed = !isSameCount || !aUpdate.m_membership ||
                           m_reached.m_stage == Stage::Closing;
  Progress progress =
    ProgressOf(aUpdate.m_membership, mayBeClosed ? m_reached : Progress());
  if (aUpdate.m_membership == aMembership) {
    progress = m_reached;
  }
  const bool isSameGeneration = progress.m_generation == m_reached.m_generation;
  // Without an order in between, a member only advances, and it never returns
  // to Joining.
  const bool isBehind = isSameGeneration && progress < m_reached &&
                        (isSameCount || progress.m_stage == Stage::Joining);
  if (isBehind || (!isLater && progress < m_reached)) {
    return UpdateOutcome::Outdated;
  }
  return Adopt(aUpdate, progress, aMembership);
}

UpdateOutcome MembershipHistory::ApplyIfAdvanced(
  const MembershipUpdate& aUpdate,
  std::optional<GroupMembership>& aMembership)
{
  const Progress progress = ProgressOf(aUpdate.m_membership, m_reached);
  if (m_reached < progress) {
    return Adopt(aUpdate, progress, aMembership);
  }
  return aUpdate.m_membership == aMembership ? UpdateOutcome::Confirmed
                                             : UpdateOutcome::Outdated;
}

UpdateOutcome MembershipHistory::Adopt(
  const MembershipUpdate& aUpdate,
  const Progress& aProgress,
  std::optional<GroupMembership>& aMembership)
{
  const bool isSame = aUpdate.m_membership == aMembership;
  aMembership = aUpdate.m_membership;
  if (aMembership) {
    m_lastGroup = aMembership->m_group;
  }
  m_reached = aProgress;
  m_source = aUpdate.m_source;
  m_asOf = std::max(m_asOf, aUpdate.m_asOf);
  if (aUpdate.m_orderCount) {
    m_orderCount = aUpdate.m_orderCount;
  }
  if (aUpdate.m_source == UpdateSource::Report) {
    m_requestedAt = aUpdate.m_asOf;
  }
  return isSame ? UpdateOutcome::Confirmed : UpdateOutcome::Applied;
}

} // namespace briarglade
