// Divides the room at the groups of one model between the nodes.

#include "briarglade/gateway/start_allowance.h"

#include <algorithm>
#include <cmath>

namespace briarglade {

namespace {

// The part of its requests in flight that a node returns at each update: a node
// without any has its part of the slots after about ten updates.
constexpr double kReturnedFraction = 0.1;
// Starts of the other nodes that an update does not show yet, as a fraction of
// all requests in flight: a few hundred milliseconds of requests that last
// about two seconds. As much of the slots is kept free, and room beyond it need
// not be divided.
constexpr double kUnseenFraction = 0.15;

} // namespace

void StartAllowance::Update(const ModelLoad& aLoad, double aDraw)
{
  const double own = aLoad.m_own;
  const double all = std::max(aLoad.m_all, 1U);
  // The others' loads vary by as much as the update does not show.
  const double headroom = aLoad.m_nodes > 1 ? kUnseenFraction : 0;
  const double room =
    aLoad.m_slots * (1 - headroom) - static_cast<double>(aLoad.m_all);
  const double divided = (std::max(0.0, room) + kReturnedFraction * all) /
                         std::max(1U, aLoad.m_nodes);
  // What is beyond the slots is taken back in proportion.
  const double kept =
    own * (1 - kReturnedFraction) + std::min(0.0, room) * own / all;
  const double undivided = own + room - kUnseenFraction * all;
  const double allowed = std::max(kept + divided, undivided);
  m_maxInFlight =
    static_cast<uint32_t>(std::floor(std::max(0.0, allowed + aDraw)));
  m_maxWithLate = static_cast<uint32_t>(std::max(0.0, undivided));
}

} // namespace briarglade
