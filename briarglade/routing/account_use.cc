// Activity and requests in flight of accounts.

#include "briarglade/routing/account_use.h"

#include <algorithm>

namespace briarglade {

namespace {

// An account is active for this long after its last request came.
constexpr Millis kActiveTime = Millis(10'000);

} // namespace

AccountUse::Use& AccountUse::Account(uint32_t aAccount)
{
  if (aAccount >= m_uses.size()) {
    m_uses.resize(aAccount + 1);
  }
  return m_uses[aAccount];
}

void AccountUse::NoteArrived(Millis aNow, uint32_t aAccount, uint32_t aShare)
{
  Use& use = Account(aAccount);
  use.m_lastArrival = aNow;
  if (!use.m_active) {
    use.m_active = true;
    use.m_share = aShare;
    m_active.push_back(aAccount);
    m_activeShares += aShare;
  } else if (use.m_share != aShare) {
    m_activeShares += aShare;
    m_activeShares -= use.m_share;
    use.m_share = aShare;
  }
}

void AccountUse::NoteStarted(uint32_t aAccount)
{
  ++Account(aAccount).m_inFlight;
  ++m_inFlight;
}

void AccountUse::NoteEnded(uint32_t aAccount)
{
  --Account(aAccount).m_inFlight;
  --m_inFlight;
}

void AccountUse::Expire(Millis aNow)
{
  const auto isIdle = [&](uint32_t aAccount) {
    return aNow - m_uses[aAccount].m_lastArrival > kActiveTime;
  };
  for (const uint32_t account : m_active) {
    if (isIdle(account)) {
      m_activeShares -= m_uses[account].m_share;
      m_uses[account].m_active = false;
    }
  }
  m_active.erase(std::remove_if(m_active.begin(), m_active.end(), isIdle),
                 m_active.end());
}

bool AccountUse::IsOverShare(uint32_t aAccount, uint64_t aSlots) const
{
  const Use& use = m_uses[aAccount];
  if (m_active.size() <= 1) {
    return false;
  }
  return use.m_inFlight * m_activeShares >= aSlots * use.m_share;
}

} // namespace briarglade
