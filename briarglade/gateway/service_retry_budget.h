// Limits how often this node may retry requests of a service, so that retries
// do not multiply the load of a failing fleet.
//
// Designed for this load pattern: many exchanges fail at once on every node.
// Within any window all nodes together may retry a fraction of the requests,
// plus a fixed number. The fraction applies to this node's own requests, which
// are counted exactly. The fixed number is distributed over the nodes
// (fleet_quota.h) and is zero for some nodes of a large fleet.
//
// Example:
//   budget.RecordRequest(now);
//   if (budget.TryConsume(now, quota)) { Retry(); }

#pragma once

#include <cstdint>

#include "briarglade/base/millis.h"
#include "briarglade/base/recent_count.h"

namespace briarglade {

// The retry budget of one service on this node.
class ServiceRetryBudget
{
public:
  // Allows retries up to the fraction aRetryRatio of the requests within the
  // last aWindow.
  ServiceRetryBudget(double aRetryRatio, Millis aWindow)
    : m_retryRatio(aRetryRatio)
    , m_requests(aWindow)
    , m_retries(aWindow)
  {
  }

  // Records a request, which increases the budget.
  void RecordRequest(Millis aNow) { m_requests.Note(aNow); }

  // Consumes one retry and returns true if the budget allows it: the fraction
  // of the requests, plus aQuota, this node's quota of the fixed number.
  // Returns false otherwise.
  bool TryConsume(Millis aNow, uint32_t aQuota)
  {
    const double earned =
      m_retryRatio * static_cast<double>(m_requests.Count(aNow));
    const auto allowed = static_cast<size_t>(earned) + aQuota;
    if (m_retries.Count(aNow) >= allowed) {
      return false;
    }
    m_retries.Note(aNow);
    return true;
  }

private:
  double m_retryRatio;
  RecentCount m_requests;
  RecentCount m_retries;
};

} // namespace briarglade
