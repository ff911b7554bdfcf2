// A statement about a backend server's membership in a group, and what became
// of it.

#pragma once

#include <cstdint>
#include <optional>

#include "briarglade/base/millis.h"
#include "briarglade/grouping/group_membership.h"

namespace briarglade {

// How a node learned of a membership.
enum class UpdateSource
{
  // The server's entry in the store. Its age is unknown: it may have been
  // written long before it is read.
  Row,
  // The server's answer to this node's probe.
  Report,
  // The lease holder's news that it has opened the group.
  Announcement,
  // The server's acceptance of an order of this node.
  Order
};

// Returns the lower-case name of a source, for logs.
const char* UpdateSourceName(UpdateSource aSource);

struct MembershipUpdate
{
  UpdateSource m_source = UpdateSource::Row;
  // By this node's clock: when the report was requested, a time before which
  // the announcement was not sent, or when the row or the answer to the order
  // was received.
  Millis m_asOf;
  // Start time of the server process, in milliseconds since the Unix epoch.
  int64_t m_startedAt = 0;
  // Empty if the server is in no group.
  std::optional<GroupMembership> m_membership;
  // Number of orders that the process had accepted; only reports state it.
  std::optional<uint64_t> m_orderCount;
};

enum class UpdateOutcome
{
  // The node now believes the update.
  Applied,
  // The node believed the same already.
  Confirmed,
  // The update is older than what the node believes.
  Outdated,
  // The update may be older or newer. The node goes on with what it believed;
  // only the server itself can tell.
  Ambiguous
};

// Returns the lower-case name of an outcome, for logs.
const char* UpdateOutcomeName(UpdateOutcome aOutcome);

} // namespace briarglade
