// What a watcher tells the nodes that route to its groups.

#pragma once

#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/placement/server_report.h"

namespace briarglade {

// Changes in what members report. Also the watcher's heartbeat: news without
// reports says that nothing has changed since the last one.
struct PresenceNews
{
  NodeId m_watcher;
  // Counts the watcher's news to one receiver; a gap means that news was lost.
  // 1 carries everything the watcher knows and voids what it said before. 0
  // asks the receiver to start again with 1, and carries nothing.
  uint64_t m_sequence = 0;
  // The report's m_receivedAt is replaced by its age at sending.
  std::vector<ServerReport> m_reports;
  // Members that no longer answer.
  std::vector<HostId> m_silent;
};

// How many requests a node has in flight at a draining group.
struct InFlightNews
{
  NodeId m_node;
  GroupId m_group;
  Generation m_generation;
  uint32_t m_inFlight = 0;
};

} // namespace briarglade
