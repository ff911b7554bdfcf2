// The sliding window of load start times.

#include "briarglade/grouping/load_budget.h"

namespace briarglade {

namespace {

// Returned as the number of allowed loads while the limit is off.
constexpr uint32_t kUnbounded = 1'000'000;

} // namespace

uint32_t LoadBudget::AllowedLoads(Millis aNow)
{
  while (!m_startTimes.empty() && aNow - m_startTimes.front() >= m_window) {
    m_startTimes.pop_front();
  }
  if (m_unbounded) {
    return kUnbounded;
  }
  const auto started = static_cast<uint32_t>(m_startTimes.size());
  return started >= m_maxLoads ? 0 : m_maxLoads - started;
}

bool LoadBudget::AllowsStaging(Millis aNow)
{
  return AllowedLoads(aNow) > 0 &&
         (m_unbounded || m_startTimes.size() < StagingLoads());
}

void LoadBudget::RecordLoads(Millis aNow, uint32_t aLoads)
{
  m_startTimes.insert(m_startTimes.end(), aLoads, aNow);
}

} // namespace briarglade
