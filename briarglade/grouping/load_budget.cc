// The window over begun loads.

#include "briarglade/grouping/load_budget.h"

namespace briarglade {

namespace {

// Stands for no bound.
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
  const auto begun = static_cast<uint32_t>(m_startTimes.size());
  return begun >= m_maxLoads ? 0 : m_maxLoads - begun;
}

void LoadBudget::RecordLoads(Millis aNow, uint32_t aLoads)
{
  m_startTimes.insert(m_startTimes.end(), aLoads, aNow);
}

} // namespace briarglade
