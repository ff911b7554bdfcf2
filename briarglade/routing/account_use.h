// Who uses one model or plain service on this node: the requests in flight of
// each account, and its balance: the slot time it has used for each unit of its
// share, less what the active accounts used on average. Credit and debt are
// bounded. Decides who is served first and who leaves the last slots to others.
//
// Example:
//   use.NoteArrived(now, account, share);
//   use.NoteStarted(now, account);
//   use.Refresh(now, slots);
//   if (use.Rank(a) < use.Rank(b)) { ... }

#pragma once

#include <cstdint>
#include <vector>

#include "briarglade/base/millis.h"

namespace briarglade {

class AccountUsage
{
public:
  // A request of the account has come; it counts as active for a while.
  void NoteArrived(Millis aNow, uint32_t aAccount, uint32_t aShare);
  void NoteStarted(Millis aNow, uint32_t aAccount);
  void NoteEnded(Millis aNow, uint32_t aAccount);
  // Brings every balance up to date, and lets accounts that sent nothing lately
  // count as idle. This node holds so many slots. Call it about once a second.
  void Refresh(Millis aNow, uint64_t aSlots);

  // Returns the account's balance with its requests in flight; the account with
  // the lowest is served first.
  double Rank(uint32_t aAccount) const;
  // Tells whether the account is in debt.
  bool IsOverShare(uint32_t aAccount) const;
  // Tells whether the account is so far in debt that the last slots are kept
  // from it.
  bool IsFarOverShare(uint32_t aAccount) const;
  // Returns the requests in flight of all accounts.
  uint64_t InFlight() const { return m_inFlight; }
  // Returns the requests in flight of the accounts that are not in debt.
  double InFlightWithinShare() const { return m_inFlightWithinShare; }
  // Returns the slots by which those may briefly exceed their present use.
  double BurstSlots() const;

private:
  struct Usage
  {
    uint32_t m_inFlight = 0;
    uint32_t m_share = 1;
    bool m_active = false;
    Millis m_lastArrival;
    // Slot milliseconds for each unit of the share, as of m_balancedAt.
    double m_balance = 0;
    Millis m_balancedAt;
    double m_meanAtBalance = 0;
  };

  Usage& Account(uint32_t aAccount);
  // Lets the mean use grow until now.
  void AdvanceMean(Millis aNow);
  // Brings one balance up to date; the mean must be.
  void UpdateBalance(Usage& aUse);

  std::vector<Usage> m_usages;
  std::vector<uint32_t> m_active;
  uint64_t m_activeShares = 0;
  uint64_t m_inFlight = 0;
  // Slot milliseconds for each unit of the active shares, as of m_meanAt.
  double m_mean = 0;
  Millis m_meanAt;
  // The largest credit or debt.
  double m_maxBalance = 0;
  double m_inFlightWithinShare = 0;
};

} // namespace briarglade
