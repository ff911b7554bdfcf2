// Grants, waits and refusals.

#include "briarglade/net/caller_budget.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace briarglade {

namespace {

// A request that holds more than this is large.
constexpr size_t kLargeBytes = 64 * 1024;
// Large requests may use the bound less one part in this many.
constexpr size_t kSmallPart = 4;

} // namespace

CallerBudget::CallerBudget(size_t aMaxBytes)
  : m_maxBytes(aMaxBytes)
{
}

bool CallerBudget::Fits(const CallerHold& aHold, size_t aBytes) const
{
  const size_t others = m_heldBytes - aHold.m_bytes;
  if (aBytes <= kLargeBytes) {
    return others + aBytes <= m_maxBytes;
  }
  const size_t otherLarge =
    m_largeBytes - (aHold.m_bytes > kLargeBytes ? aHold.m_bytes : 0);
  // One large request is always served, whatever the limits allow.
  return otherLarge == 0 ||
         (others + aBytes <= m_maxBytes &&
          otherLarge + aBytes <= m_maxBytes - m_maxBytes / kSmallPart);
}

void CallerBudget::Grant(CallerHold& aHold, size_t aBytes)
{
  const auto large = [](size_t aSize) {
    return aSize > kLargeBytes ? aSize : 0;
  };
  m_heldBytes = m_heldBytes - aHold.m_bytes + aBytes;
  m_largeBytes = m_largeBytes - large(aHold.m_bytes) + large(aBytes);
  aHold.m_bytes = aBytes;
}

void CallerBudget::GrantWaiting()
{
  for (auto at = m_waiting.begin(); at != m_waiting.end();) {
    CallerHold& hold = **at;
    if (!Fits(hold, hold.m_askedBytes)) {
      ++at;
      continue;
    }
    at = m_waiting.erase(at);
    hold.m_isWaiting = false;
    Grant(hold, hold.m_askedBytes);
    hold.m_hooks.m_onGranted();
  }
}

void CallerBudget::Tick(Millis aNow)
{
  if (m_waiting.empty()) {
    return;
  }
  std::vector<CallerHold*> stalled;
  for (CallerHold* hold : m_holds) {
    if (!hold->m_isWhole && !hold->m_isRefused && hold->m_bytes > 0 &&
        aNow - hold->m_progressAt >= kStallTime) {
      stalled.push_back(hold);
    }
  }
  // Those that wait themselves come last: it is this node that does not read
  // them.
  std::sort(stalled.begin(), stalled.end(), [](const auto* aOne, auto* aOther) {
    return std::make_pair(aOne->m_isWaiting, aOther->m_bytes) <
           std::make_pair(aOther->m_isWaiting, aOne->m_bytes);
  });
  size_t freedBytes = 0;
  for (CallerHold* hold : stalled) {
    if (freedBytes >= m_waiting.front()->m_askedBytes) {
      break;
    }
    freedBytes += hold->m_bytes;
    hold->m_isRefused = true;
    ++m_refusedCount;
    hold->m_hooks.m_onRefused();
  }
}

CallerHold::CallerHold(std::shared_ptr<CallerBudget> aBudget,
                       CallerHoldHooks aHooks)
  : m_budget(std::move(aBudget))
  , m_hooks(std::move(aHooks))
{
}

CallerHold::~CallerHold()
{
  Release();
}

bool CallerHold::Ask(size_t aBytes, Millis aNow)
{
  if (aBytes <= m_bytes) {
    return true;
  }
  if (m_bytes == 0) {
    m_progressAt = aNow;
  }
  m_budget->m_holds.insert(this);
  m_askedBytes = aBytes;
  if (m_isWaiting) {
    return false;
  }
  if (m_budget->Fits(*this, aBytes)) {
    m_budget->Grant(*this, aBytes);
    return true;
  }
  m_isWaiting = true;
  m_budget->m_waiting.push_back(this);
  ++m_budget->m_waitCount;
  return false;
}

void CallerHold::StopWaiting()
{
  if (std::exchange(m_isWaiting, false)) {
    m_budget->m_waiting.remove(this);
  }
}

void CallerHold::Release()
{
  StopWaiting();
  m_budget->m_holds.erase(this);
  m_isWhole = false;
  m_isRefused = false;
  if (m_bytes > 0) {
    m_budget->Grant(*this, 0);
    m_budget->GrantWaiting();
  }
}

} // namespace briarglade
