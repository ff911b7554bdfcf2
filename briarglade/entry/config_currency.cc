// When a node may lack a version of the configuration.

#include "briarglade/entry/config_currency.h"

#include <algorithm>

namespace briarglade {

namespace {

// A node that may confirm the version has itself learned of the last change up
// to this long after the store acknowledged it.
constexpr Millis kPeerLag = Millis(1'000);
// A lone node hears of the store only when a call that waits for changes ends,
// which takes up to 1,500 ms.
constexpr Millis kLeastMaxAge = Millis(1'600);
// A process whose last tick is longer ago than this has been paused.
constexpr Millis kPauseTime = Millis(500);
// Messages that arrived during a pause are handled within this time after it.
constexpr Millis kBacklogTime = Millis(200);

} // namespace

bool ConfigCurrency::IsPaused(Millis aNow) const
{
  return m_tickedAt && aNow - *m_tickedAt > kPauseTime;
}

void ConfigCurrency::OnConfirmed(Millis aNow, Millis aSentAt)
{
  const bool mayBeOld = IsPaused(aNow) || aNow < m_resumedAt + kBacklogTime;
  if (!mayBeOld) {
    m_confirmedAt = std::max(m_confirmedAt.value_or(aSentAt), aSentAt);
  }
}

bool ConfigCurrency::MayLackVersion(Millis aNow,
                                    std::optional<Millis> aBehindSince) const
{
  const Millis maxAge = std::max(kLeastMaxAge, m_bound - kPeerLag);
  return aBehindSince || !m_confirmedAt || aNow - *m_confirmedAt > maxAge;
}

void ConfigCurrency::OnTick(Millis aNow, std::optional<Millis> aBehindSince)
{
  if (IsPaused(aNow)) {
    m_resumedAt = aNow;
  }
  m_tickedAt = aNow;
  if (MayLackVersion(aNow, aBehindSince)) {
    m_doubtSince = m_doubtSince.value_or(aNow);
  } else {
    m_doubtSince.reset();
  }
  m_isLongInDoubt = m_doubtSince && aNow - *m_doubtSince >= m_bound;
}

} // namespace briarglade
