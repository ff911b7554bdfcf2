// What a backend server says of itself when a node probes it.

#pragma once

#include <cstdint>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

// Where a backend server stands with the group that it was ordered into.
enum class MemberPhase
{
  Idle,
  Loading,
  Ready,
  Draining
};

// One answer to a probe, from the server itself.
struct ServerReport
{
  HostId m_host;
  BootId m_boot;
  // The group and generation that the server was last ordered into, if any.
  GroupId m_group;
  Generation m_generation;
  ModelId m_model;
  MemberPhase m_phase = MemberPhase::Idle;
  // The highest fencing token the server has seen; zero if it ignores them.
  FencingToken m_fencing;
  // Requests running and waiting, as the engine last published them.
  uint32_t m_load = 0;
  // The age of that load when the report was made.
  Millis m_loadAge;
  // Time since the server started.
  Millis m_uptime;
  // Time of one decoding step, for the detection of stragglers.
  Millis m_stepTime;
  // When the report reached this node, on this node's clock.
  Millis m_receivedAt;
};

// An order to one backend server. Servers may ignore the fencing token, so
// nothing trusts that an order was obeyed: reports decide.
struct ServerOrder
{
  enum class Kind
  {
    // Join a group and load its model.
    Join,
    // Finish what is running, take nothing new.
    Drain,
    // Leave the group and unload.
    Release
  };

  OperationId m_operation;
  HostId m_host;
  Kind m_kind = Kind::Join;
  GroupId m_group;
  Generation m_generation;
  ModelId m_model;
  // The rank of the host in the group; 0 is the leader, which takes requests.
  uint32_t m_rank = 0;
  uint32_t m_members = 1;
  FencingToken m_fencing;
  // The instant after which this order must not be sent or repeated.
  Millis m_deadline;
};

} // namespace briarglade
