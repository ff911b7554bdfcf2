// What a backend server reports about itself, in its entry in the platform's
// store and in its answers to probes.

#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/grouping/group_membership.h"
#include "briarglade/grouping/membership_history.h"
#include "briarglade/grouping/server_process.h"

namespace briarglade {

struct ServerRecord
{
  HostId m_host;
  ServiceId m_service;
  Endpoint m_endpoint;
  ZoneId m_zone;
  // The fabric domain; empty if the server does not report one.
  DomainId m_domain;
  // Requests that the server runs at once.
  uint32_t m_slots = 1;
  // The server's entry in the store has expired, but the server may still run.
  // It still counts as a member of its group.
  bool m_hasEntryExpired = false;
  // When this node learned that the process which the record is about has
  // ended: another one has started at its address since. Its entry may still be
  // listed, but it is in no group and gets neither requests nor orders.
  std::optional<Millis> m_endedAt;
  // The server is shutting down and must not be given new work.
  bool m_isDraining = false;
  // Remaining duration of the server's cold start at the time of the report,
  // and its end on this node's clock.
  Millis m_coldFor;
  Millis m_coldUntil;
  // Sequence number of the report, among those that this process of the server
  // has written to the store. Reports may arrive out of order.
  int64_t m_sequence = 0;
  // Start time of the server process, in milliseconds since the Unix epoch. It
  // distinguishes a restarted server from its previous process.
  int64_t m_startedAt = 0;
  // Models whose weights are on the host.
  std::vector<ModelId> m_staged;
  // Empty if the server is in no group.
  std::optional<GroupMembership> m_groupMembership;
  // Number of orders that this process of the server had accepted; only reports
  // state it.
  std::optional<uint64_t> m_orderCount;
  // Where a node's belief about the membership comes from.
  MembershipHistory m_membershipHistory;
  // Factor by which the engine is slower than normal; 1 is normal speed.
  double m_slowdown = 1;

  // Returns the process that the record is about.
  ServerProcess Process() const
  {
    return ServerProcess{ m_endpoint, m_startedAt };
  }
  // Returns whether the weights of the model are on the host.
  bool HasStaged(const ModelId& aModel) const
  {
    for (const ModelId& model : m_staged) {
      if (model == aModel) {
        return true;
      }
    }
    return false;
  }
};

} // namespace briarglade
