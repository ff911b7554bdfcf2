// A bounded log of survivals; the traits recorded first are dropped first.

#include "briarglade/gateway/survival_log.h"

#include <algorithm>

namespace briarglade {

namespace {

constexpr size_t kMaxTraits = 4'096;

} // namespace

void SurvivalLog::Record(const RequestTrait& aTrait, Millis aAt)
{
  const auto [entry, isNew] = m_times.try_emplace(aTrait, aAt);
  entry->second = std::max(entry->second, aAt);
  if (!isNew) {
    return;
  }
  m_order.push_back(aTrait);
  if (m_order.size() > kMaxTraits) {
    m_times.erase(m_order.front());
    m_order.pop_front();
  }
}

Millis SurvivalLog::LastSurvival(const RequestTrait& aTrait) const
{
  const auto found = m_times.find(aTrait);
  return found == m_times.end() ? Millis() : found->second;
}

} // namespace briarglade
