// Tracks how client accounts use one model or plain service on this node: the
// requests in flight of each account, and its balance. The balance is the slot
// time that the account has used per unit of its share, minus the average of
// the active accounts. Credit (a negative balance) and debt (a positive one)
// are bounded. The balances decide which account is served first and which
// accounts may not use the last free slots.
//
// Example:
//   usage.NoteArrived(now, account, share);
//   usage.NoteStarted(now, account);
//   usage.Refresh(now, slots);
//   if (usage.Rank(a) < usage.Rank(b)) { ... }

#pragma once

#include <cstdint>
#include <vector>

#include "briarglade/base/millis.h"

namespace briarglade {

class AccountUsage
{
public:
  // Records the arrival of a request. The account counts as active for a while.
  void NoteArrived(Millis aNow, uint32_t aAccount, uint32_t aShare);
  void NoteStarted(Millis aNow, uint32_t aAccount);
  void NoteEnded(Millis aNow, uint32_t aAccount);
  // Updates every balance and marks accounts without recent requests as idle.
  // aSlots is the number of slots that this node can use. Call it about once a
  // second.
  void Refresh(Millis aNow, uint64_t aSlots);

  // Returns the account's balance plus a term for its requests in flight. The
  // account with the lowest rank is served first.
  double Rank(uint32_t aAccount) const;
  // Returns whether the account is in debt.
  bool IsOverShare(uint32_t aAccount) const;
  // Returns whether the account is so far in debt that the last free slots are
  // reserved for others.
  bool IsFarOverShare(uint32_t aAccount) const;
  // Returns the number of requests in flight of all accounts.
  uint64_t InFlight() const { return m_inFlight; }
  // Returns the number of requests in flight of the accounts that are not in
  // debt, as of the last Refresh().
  double InFlightWithinShare() const { return m_inFlightWithinShare; }
  // Returns how many more slots the accounts that are not in debt may need for
  // a short burst.
  double BurstSlots() const;

private:
  struct Usage
  {
    uint32_t m_inFlight = 0;
    uint32_t m_share = 1;
    bool m_active = false;
    Millis m_lastArrival;
    // Slot milliseconds per unit of the share, as of m_balancedAt.
    double m_balance = 0;
    Millis m_balancedAt;
    double m_meanAtBalance = 0;
  };

  Usage& Account(uint32_t aAccount);
  // Advances the mean use to aNow.
  void AdvanceMean(Millis aNow);
  // Updates one balance. Call AdvanceMean() first.
  void UpdateBalance(Usage& aUsage);

  std::vector<Usage> m_usages;
  std::vector<uint32_t> m_active;
  uint64_t m_activeShares = 0;
  uint64_t m_inFlight = 0;
  // Slot milliseconds per unit of the active shares, as of m_meanAt.
  double m_mean = 0;
  Millis m_meanAt;
  // The bound of credit and debt, in slot milliseconds per unit of a share.
  double m_maxBalance = 0;
  double m_inFlightWithinShare = 0;
};

} // namespace briarglade
