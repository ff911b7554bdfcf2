// Decides which of several updates about a server's membership is the newest.
// Updates arrive by several ways and out of order.
//
// Example:
//   const UpdateOutcome outcome =
//     record.m_membershipHistory.Apply(update, record.m_groupMembership);

#pragma once

#include <optional>

#include "briarglade/base/millis.h"
#include "briarglade/grouping/group_membership.h"
#include "briarglade/grouping/membership_update.h"

namespace briarglade {

// What this node knows of where its belief about one run of a server comes
// from.
class MembershipHistory
{
public:
  // Applies an update to aMembership, the believed membership, unless it is
  // outdated.
  UpdateOutcome Apply(const MembershipUpdate& aUpdate,
                      std::optional<GroupMembership>& aMembership);

  // Returns how this node learned the believed membership, and when.
  UpdateSource Source() const { return m_source; }
  Millis AsOf() const { return m_asOf; }

private:
  UpdateSource m_source = UpdateSource::Row;
  Millis m_asOf;
};

} // namespace briarglade
