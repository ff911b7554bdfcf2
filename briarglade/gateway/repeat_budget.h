// How often this node may send requests of a service once more, so that repeats
// don't multiply the load of a fleet that is failing.
//
// The load pattern it answers: many exchanges fail at once, on every node.
// Within any window all nodes together may repeat a share of the requests, and
// so many more. The share goes by this node's own requests, counted exactly;
// what may come on top is dealt over the nodes (fleet_share.h), and is nothing
// for some nodes of a large fleet.
//
// Example:
//   budget.NoteRequest(now);
//   if (budget.Take(now, part)) { SendAgain(); }

#pragma once

#include <cstdint>

#include "briarglade/base/millis.h"
#include "briarglade/base/recent_count.h"

namespace briarglade {

class RepeatBudget
{
public:
  // Repeats are counted within a window, as a share of the requests in it.
  RepeatBudget(double aShare, Millis aWindow)
    : m_share(aShare)
    , m_requests(aWindow)
    , m_repeats(aWindow)
  {
  }

  void NoteRequest(Millis aNow) { m_requests.Note(aNow); }

  // Takes one repeat, if it is within the share of the requests and this node's
  // part of what may come on top. Returns false if it isn't.
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
