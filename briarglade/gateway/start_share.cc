// Computes a node's share of the room at the groups of a model.

#include "briarglade/gateway/start_share.h"

#include <algorithm>

namespace briarglade {

namespace {

// Starts beyond the share that are subtracted from later ones at most. More
// would hold a node back for long after a retry of many lost requests.
constexpr double kMaxDebt = 3;
// A node without room of its own may start one late request once it has saved
// the starts that are left to others.
constexpr double kMinBurst = 1;

} // namespace

void StartShare::Update(Millis aNow,
                        Millis aReportAge,
                        const ModelLoads& aLoads)
{
  const double part = std::max(
    1.0 / static_cast<double>(std::max<size_t>(1, aLoads.m_nodes)),
    static_cast<double>(aLoads.m_own) / std::max<uint32_t>(1, aLoads.m_all));
  const double room = (aLoads.m_limit - aLoads.m_all) * part;
  const double elapsed = static_cast<double>((aNow - m_updatedAt).Count()) /
                         static_cast<double>(aReportAge.Count());
  m_starts += std::min(1.0, elapsed) * room;
  m_starts = std::clamp(
    m_starts, -kMaxDebt, kReservedForTimely + kMinBurst + std::max(0.0, room));
  m_updatedAt = aNow;
}

} // namespace briarglade
