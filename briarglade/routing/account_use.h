// Who uses one model or plain service on this node: requests in flight of each
// account, and which accounts are active, so that an account beyond its share
// can leave the last slots to the others.
//
// Example:
//   use.NoteArrived(now, account, share);
//   if (use.IsOverShare(account, slots)) { ... }

#pragma once

#include <cstdint>
#include <vector>

#include "briarglade/base/millis.h"

namespace briarglade {

class AccountUse
{
public:
  // A request of the account has come; it counts as active for a while.
  void NoteArrived(Millis aNow, uint32_t aAccount, uint32_t aShare);
  void NoteStarted(uint32_t aAccount);
  void NoteEnded(uint32_t aAccount);
  // Lets accounts that sent nothing lately count as idle.
  void Expire(Millis aNow);

  // Tells whether the account holds at least its share of so many slots, shared
  // with the other active accounts. Never true for the only active account.
  bool IsOverShare(uint32_t aAccount, uint64_t aSlots) const;
  // Returns the requests in flight of all accounts.
  uint64_t InFlight() const { return m_inFlight; }

private:
  struct Use
  {
    uint32_t m_inFlight = 0;
    uint32_t m_share = 0;
    bool m_active = false;
    Millis m_lastArrival;
  };

  Use& Account(uint32_t aAccount);

  std::vector<Use> m_uses;
  std::vector<uint32_t> m_active;
  uint64_t m_activeShares = 0;
  uint64_t m_inFlight = 0;
};

} // namespace briarglade
