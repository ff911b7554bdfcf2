// Limits how often this node may retry requests of a service, so that retries
// do not multiply the load of a failing fleet.
//
// Designed for this load pattern: many exchanges fail at once on every node.
// Within any window all nodes together may retry a fraction of the requests,
// plus a fixed number. The fraction applies to this node's own requests, which
// are counted exactly. The fixed number is distributed over the nodes
// (fleet_share.h) and is zero for some nodes of a large fleet.
//
// Example:
//   budget.NoteRequest(now);
//   if (budget.Take(now, part)) { SendAgain(); }

#pragma once

#include <cstdint>

#include "briarglade/base/millis.h"
#include "briarglade/base/recent_count.h"

namespace briarglade {

// The retry budget of one service on this node.
class RepeatBudget
{
public:
  // Allows retries up to the fraction aShare of the requests within the last
  // aWindow.
  RepeatBudget(double aShare, Millis aWindow)
    : m_share(aShare)
    , m_requests(aWindow)
    , m_repeats(aWindow)
  {
  }

  // Records a request, which increases the budget.
  void NoteRequest(Millis aNow) { m_requests.Note(aNow); }

  // Consumes one retry and returns true if the budget allows it: the fraction
  // of the requests, plus aPart, this node's quota of the fixed number. Returns
  // false otherwise.
  bool Take(Millis aNow, uint32_t aPart)
  {
    const double earned = m_share * static_cast<double>(m_requests.Count(aNow));
    const auto allowed = static_cast<size_t>(earned) + aPart;
    if (m_repeats.Count(aNow) >= allowed) {
      return false;
    }
    m_repeats.Note(aNow);
    return true;
  }

private:
  double m_share;
  RecentCount m_requests;
  RecentCount m_repeats;
};

} // namespace briarglade
