// The requests that wait for one model or plain service on this node: a queue
// for each client account and class, served by weighted fair queuing (start
// time fair queuing over accounts, then over the account's classes). A request
// is charged the time for which its account's requests lately held a slot.
//
// Example:
//   queue.Push(now, account, trafficClass, item);
//   if (const auto item = queue.Pop(isAllowed)) { Start(*item); }

#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

// A waiting request.
struct QueuedRequest
{
  // The caller's handle for it.
  uint32_t m_request = 0;
  // The instant by which its attempt must start to be of use.
  Millis m_startBy;
};

// Where a request waits: the numbers of its account and of its class there.
struct QueuePlace
{
  uint32_t m_account = 0;
  uint32_t m_class = 0;
};

class FairQueue
{
public:
  // Sets an account's share and the weights of its classes.
  void SetAccount(uint32_t aAccount,
                  uint32_t aShare,
                  const std::vector<uint32_t>& aClassWeights);

  // Returns the number of waiting requests: all, or those of one account.
  size_t Size() const { return m_size; }
  size_t AccountSize(uint32_t aAccount) const;
  size_t ClassSize(QueuePlace aPlace) const;

  void PushBack(QueuePlace aPlace, QueuedRequest aRequest);
  // For a request that has waited already and is tried again.
  void PushFront(QueuePlace aPlace, QueuedRequest aRequest);

  // Tells whether an account may be served now.
  using AccountFilter = std::function<bool(uint32_t aAccount)>;
  // Takes the request that is next among the allowed accounts.
  std::optional<QueuedRequest> Pop(const AccountFilter& aIsAllowed);
  // Removes a waiting request. Returns false if it isn't there.
  bool Remove(QueuePlace aPlace, uint32_t aRequest);

  // Records how long a request of the account held a slot.
  void NoteService(uint32_t aAccount, Millis aTime);
  // Returns the mean time for which an account's requests hold a slot; zero if
  // it isn't known yet.
  Millis MeanService(uint32_t aAccount) const;

  // Returns the time until the slot for a request with so many of its account
  // before it, if this node holds so many slots. Zero if nothing is known.
  Millis EstimateWait(uint32_t aAccount, size_t aAhead, uint64_t aSlots) const;

  // Removes every request that can't be started in time, and returns them.
  std::vector<QueuedRequest> TakeHopeless(Millis aNow, uint64_t aSlots);
  // Removes and returns everything.
  std::vector<QueuedRequest> TakeAll();

private:
  struct ClassQueue
  {
    uint32_t m_weight = 1;
    double m_virtualTime = 0;
    std::list<QueuedRequest> m_waiting;
  };
  struct AccountQueue
  {
    uint32_t m_share = 1;
    double m_virtualTime = 0;
    // Virtual time of the class served last.
    double m_classTime = 0;
    double m_meanService = 0;
    size_t m_size = 0;
    std::vector<ClassQueue> m_classes;
  };

  AccountQueue& Account(uint32_t aAccount);
  ClassQueue& Class(QueuePlace aPlace);
  void NoteAdded(QueuePlace aPlace);
  void NoteRemoved(uint32_t aAccount, size_t aCount);
  QueuedRequest PopFrom(uint32_t aAccount);
  void DropHopeless(Millis aNow,
                    uint64_t aSlots,
                    uint32_t aAccount,
                    std::vector<QueuedRequest>& aTaken);

  std::vector<AccountQueue> m_accounts;
  // Accounts with waiting requests, by virtual time.
  std::set<std::pair<double, uint32_t>> m_backlogged;
  uint64_t m_backloggedShares = 0;
  size_t m_size = 0;
  double m_virtualTime = 0;
  // Mean over all accounts, in milliseconds.
  double m_meanService = 0;
};

} // namespace briarglade
