// Activity and balances of accounts.

#include "briarglade/routing/account_use.h"

#include <algorithm>
#include <cmath>

namespace briarglade {

namespace {

// An account without requests is active for this long after its last one came.
constexpr Millis kActiveTime = Millis(10'000);
// The largest credit or debt, in milliseconds of the account's part of the
// slots.
constexpr double kMaxBalanceMillis = 20'000;
// The part of the largest debt from which an account is far over its share.
constexpr double kFarOverFraction = 0.75;
// What a request in flight adds to the rank, in milliseconds.
constexpr double kInFlightMillis = 100;
// Standard deviations of a Poisson count that bursts are expected to stay
// within.
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
  const auto passed = static_cast<double>((aNow - m_meanAt).Count());
  m_meanAt = aNow;
  if (m_activeShares > 0) {
    m_mean += passed * static_cast<double>(m_inFlight) /
              static_cast<double>(m_activeShares);
  }
}

void AccountUsage::UpdateBalance(Usage& aUse)
{
  const auto passed =
    static_cast<double>((m_meanAt - aUse.m_balancedAt).Count());
  const double used = passed * aUse.m_inFlight / aUse.m_share;
  const double balance =
    aUse.m_balance + used - (m_mean - aUse.m_meanAtBalance);
  aUse.m_balance = std::clamp(balance, -m_maxBalance, m_maxBalance);
  aUse.m_balancedAt = m_meanAt;
  aUse.m_meanAtBalance = m_mean;
}

void AccountUsage::NoteArrived(Millis aNow, uint32_t aAccount, uint32_t aShare)
{
  Usage& use = Account(aAccount);
  use.m_lastArrival = aNow;
  if (use.m_active && use.m_share == aShare) {
    return;
  }
  AdvanceMean(aNow);
  UpdateBalance(use);
  if (use.m_active) {
    m_activeShares -= use.m_share;
  } else {
    m_active.push_back(aAccount);
  }
  use.m_active = true;
  use.m_share = aShare;
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
    Usage& use = m_usages[account];
    UpdateBalance(use);
    m_inFlightWithinShare += IsOverShare(account) ? 0 : use.m_inFlight;
  }
  const auto isIdle = [&](uint32_t aAccount) {
    const Usage& use = m_usages[aAccount];
    return use.m_inFlight == 0 && aNow - use.m_lastArrival > kActiveTime;
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
  const Usage& use = m_usages[aAccount];
  return use.m_balance + kInFlightMillis * use.m_inFlight / use.m_share;
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
