// A node's share of the room at the groups of a model, by loads that are known
// with a delay.
//
// Load pattern: a surge after which requests wait at every node. The moment the
// reported loads show room, every node would send all that waits there, many
// times what fits, and the requests would wait in the servers' queues, where
// nothing orders them. A node therefore starts as many requests as it ended,
// since only it knows of those ends yet, plus its part of the room that all
// nodes see, spread over the time that a report takes. Nodes with more requests
// in flight have a larger part, so that traffic that arrives at few nodes is
// not held up.
//
// Example:
//   share.Update(now, reportAge, loads);
//   if (share.MayStart(isLate)) {
//     share.RecordStarted();
//   }

#pragma once

#include <cstddef>
#include <cstdint>

#include "briarglade/base/millis.h"

namespace briarglade {

// The loads of all groups of a model.
struct ModelLoads
{
  // Requests in flight from this node and from all nodes.
  uint32_t m_own = 0;
  uint32_t m_all = 0;
  // Requests that may be in flight in total.
  double m_limit = 0;
  // Live nodes, this one included.
  size_t m_nodes = 1;
};

class StartShare
{
public:
  // Adds this node's part of the room, or subtracts its part of what exceeds
  // the limit, for the time since the last call. aReportAge is the time after
  // which the other nodes know of a start.
  void Update(Millis aNow, Millis aReportAge, const ModelLoads& aLoads);
  // Returns whether one more request may be started. A request that is late
  // already leaves some starts to those that are not: they would be late if
  // they had to wait for the next one. A start may exceed the share by a part
  // of a request, which the next ones wait for.
  bool MayStart(bool aIsLate) const
  {
    return m_starts > (aIsLate ? kReservedForTimely : 0);
  }
  void RecordStarted() { m_starts -= 1; }
  void RecordEnded() { m_starts += 1; }

private:
  // Starts that late requests leave to others. With none, arrivals that come
  // close together are late; more of them leave groups idle while late requests
  // wait.
  static constexpr double kReservedForTimely = 2;

  // Requests that may be started now.
  double m_starts = 0;
  Millis m_updatedAt;
};

} // namespace briarglade
