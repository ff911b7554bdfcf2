// Activity and balances of client accounts.

#include "briarglade/routing/account_usage.h"

#include <algorithm>
#include <cmath>

namespace briarglade {

namespace {

// An account without requests in flight stays active for this long after its
// last request arrived.
constexpr Millis kActiveTime = Millis(10'000);
// The maximum credit or debt, in milliseconds of the account's part of the
// slots.
constexpr double kMaxBalanceMillis = 20'000;
// An account is far over its share if its debt exceeds this fraction of the
// maximum.
constexpr double kFarOverFraction = 0.75;
// Added to the rank for each request in flight, in slot milliseconds; divided
// by the account's share.
constexpr double kInFlightMillis = 100;
// Bursts are treated as Poisson counts and expected to stay within this number
// of standard deviations.
constexpr double kBurstDeviations = 1.65;

} // namespace

AccountUsage::Usage& AccountUsage::Account(uint32_t aAccount)
{
  if (aAccount >= m_usages.size()) {
    m_usages.resize(aAccount + 1);
  }
  return m_usages[aAccount];
}

void AccountUsage::AdvanceMean(Millis aNow)
{
  const auto elapsed = static_cast<double>((aNow - m_meanAt).Count());
  m_meanAt = aNow;
  if (m_activeShares > 0) {
    m_mean += elapsed * static_cast<double>(m_inFlight) /
              static_cast<double>(m_activeShares);
  }
}

void AccountUsage::UpdateBalance(Usage& aUsage)
{
  const auto elapsed =
    static_cast<double>((m_meanAt - aUsage.m_balancedAt).Count());
  const double used = elapsed * aUsage.m_inFlight / aUsage.m_share;
  const double balance =
    aUsage.m_balance + used - (m_mean - aUsage.m_meanAtBalance);
  aUsage.m_balance = std::clamp(balance, -m_maxBalance, m_maxBalance);
  aUsage.m_balancedAt = m_meanAt;
  aUsage.m_meanAtBalance = m_mean;
}

void AccountUsage::NoteArrived(Millis aNow, uint32_t aAccount, uint32_t aShare)
{
  Usage& usage = Account(aAccount);
  usage.m_lastArrival = aNow;
  if (usage.m_active && usage.m_share == aShare) {
    return;
  }
  AdvanceMean(aNow);
  UpdateBalance(usage);
  if (usage.m_active) {
    m_activeShares -= usage.m_share;
  } else {
    m_active.push_back(aAccount);
  }
  usage.m_active = true;
  usage.m_share = aShare;
  m_activeShares += aShare;
}

void AccountUsage::NoteStarted(Millis aNow, uint32_t aAccount)
{
  AdvanceMean(aNow);
  UpdateBalance(Account(aAccount));
  ++Account(aAccount).m_inFlight;
  ++m_inFlight;
}

void AccountUsage::NoteEnded(Millis aNow, uint32_t aAccount)
{
  AdvanceMean(aNow);
  UpdateBalance(Account(aAccount));
  --Account(aAccount).m_inFlight;
  --m_inFlight;
}

void AccountUsage::Refresh(Millis aNow, uint64_t aSlots)
{
  AdvanceMean(aNow);
  m_maxBalance = kMaxBalanceMillis * static_cast<double>(aSlots) /
                 static_cast<double>(std::max<uint64_t>(1, m_activeShares));
  m_inFlightWithinShare = 0;
  for (const uint32_t account : m_active) {
    Usage& usage = m_usages[account];
    UpdateBalance(usage);
    m_inFlightWithinShare += IsOverShare(account) ? 0 : usage.m_inFlight;
  }
  const auto isIdle = [&](uint32_t aAccount) {
    const Usage& usage = m_usages[aAccount];
    return usage.m_inFlight == 0 && aNow - usage.m_lastArrival > kActiveTime;
  };
  for (const uint32_t account : m_active) {
    if (isIdle(account)) {
      m_activeShares -= m_usages[account].m_share;
      m_usages[account].m_active = false;
    }
  }
  m_active.erase(std::remove_if(m_active.begin(), m_active.end(), isIdle),
                 m_active.end());
}

double AccountUsage::BurstSlots() const
{
  return kBurstDeviations * std::sqrt(m_inFlightWithinShare);
}

double AccountUsage::Rank(uint32_t aAccount) const
{
  const Usage& usage = m_usages[aAccount];
  return usage.m_balance + kInFlightMillis * usage.m_inFlight / usage.m_share;
}

bool AccountUsage::IsOverShare(uint32_t aAccount) const
{
  return m_active.size() > 1 && m_usages[aAccount].m_balance > 0;
}

bool AccountUsage::IsFarOverShare(uint32_t aAccount) const
{
  return m_active.size() > 1 &&
         m_usages[aAccount].m_balance > kFarOverFraction * m_maxBalance;
}

} // namespace briarglade
