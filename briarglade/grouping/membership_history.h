// Decides which of several updates about a server's membership is the newest.
// Updates arrive by several ways and out of order, and an update without a
// group does not say which group the server has left.
//
// The memberships of one server process advance: to higher generations, and
// within a generation from Joining to having left. Rows arrive in the order in
// which they were written, so a row that says "no group" ends only a group that
// an earlier row has shown. Reports are ordered by the number of orders that
// the server has accepted, and else by the time at which they were requested.
//
// Example:
//   const UpdateOutcome outcome =
//     record.m_membershipHistory.Apply(update, record.m_groupMembership);

#pragma once

#include <cstdint>
#include <optional>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/grouping/group_membership.h"
#include "briarglade/grouping/membership_update.h"

namespace briarglade {

// What this node knows of where its belief about one server comes from.
class MembershipHistory
{
public:
  // Applies an update to aMembership, the believed membership, if it is newer.
  // An update of a later process of the server discards all earlier ones.
  UpdateOutcome Apply(const MembershipUpdate& aUpdate,
                      std::optional<GroupMembership>& aMembership);
  // Records that the server has answered an order at aNow, or has not. Reports
  // that were requested before then may not show its effect.
  void InvalidateReport(Millis aNow) { m_ordersEndedAt = aNow; }

  // Returns how this node learned the believed membership, and when.
  UpdateSource Source() const { return m_source; }
  Millis AsOf() const { return m_asOf; }
  // Returns whether the believed membership is a report of the server that
  // stated its number of orders and was requested after the last order ended.
  bool IsReported() const
  {
    return m_source == UpdateSource::Report && m_orderCount.has_value() &&
           m_requestedAt >= m_ordersEndedAt;
  }
  // Returns the greatest number of accepted orders that the process has stated.
  std::optional<uint64_t> OrderCount() const { return m_orderCount; }
  int64_t StartedAt() const { return m_startedAt; }
  // Returns the last group that the process was known to be in, or an empty id.
  const GroupId& LastGroup() const { return m_lastGroup; }

private:
  // The steps that a server passes through in a group.
  enum class Stage
  {
    Joining,
    Ready,
    Open,
    Closing,
    // Ready again, after it was open.
    Closed,
    Broken,
    Left
  };
  // How far a server's memberships have advanced.
  struct Progress
  {
    Generation m_generation;
    Stage m_stage = Stage::Left;

    bool operator<(const Progress& aOther) const
    {
      return m_generation != aOther.m_generation
               ? m_generation < aOther.m_generation
               : m_stage < aOther.m_stage;
    }
  };

  static Progress ProgressOf(const std::optional<GroupMembership>& aMembership,
                             const Progress& aBefore);
  UpdateOutcome ApplyRow(const MembershipUpdate& aUpdate,
                         std::optional<GroupMembership>& aMembership);
  UpdateOutcome ApplyReport(const MembershipUpdate& aUpdate,
                            std::optional<GroupMembership>& aMembership);
  UpdateOutcome ApplyIfAdvanced(const MembershipUpdate& aUpdate,
                                std::optional<GroupMembership>& aMembership);
  UpdateOutcome Adopt(const MembershipUpdate& aUpdate,
                      const Progress& aProgress,
                      std::optional<GroupMembership>& aMembership);

  int64_t m_startedAt = 0;
  UpdateSource m_source = UpdateSource::Row;
  Millis m_asOf;
  std::optional<uint64_t> m_orderCount;
  // When the last report that was applied was requested, and when the last
  // order ended.
  Millis m_requestedAt;
  Millis m_ordersEndedAt;
  GroupId m_lastGroup;
  // Of the believed membership, and of the rows alone.
  Progress m_reached;
  Progress m_reachedByRows;
};

} // namespace briarglade
