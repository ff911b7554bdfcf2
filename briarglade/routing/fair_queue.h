// The requests that wait for one model or plain service on this node: a queue
// for each client account and class. The account that has lately used least in
// relation to its share is served first; among the classes of an account the
// weights decide (start-time fair queuing).
//
// Example:
//   queue.PushBack(place, entry);
//   if (const auto entry = queue.Pop(use, isAllowed)) { Start(*entry); }

#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <vector>

#include "briarglade/base/millis.h"

namespace briarglade {

class AccountUsage;

// A waiting request.
struct QueuedRequest
{
  // The caller's handle for it.
  uint32_t m_request = 0;
  // The instant by which its attempt must start to be of use.
  Millis m_startBy;
};

// Where a request waits: the numbers of its account and of its class there.
struct QueueKey
{
  uint32_t m_account = 0;
  uint32_t m_class = 0;
};

class FairQueue
{
public:
  // Sets the weights of an account's classes.
  void SetClasses(uint32_t aAccount, const std::vector<uint32_t>& aWeights);

  // Returns the number of waiting requests: all, or those of one account or
  // class.
  size_t Size() const { return m_size; }
  size_t AccountSize(uint32_t aAccount) const;
  size_t ClassSize(QueueKey aPlace) const;

  void PushBack(QueueKey aPlace, QueuedRequest aRequest);
  // For a request that has had a slot and is tried again: it goes before all
  // others, whatever its account's rank.
  void PushRetry(QueuedRequest aRequest);

  // Tells whether an account may be served now.
  using AccountFilter = std::function<bool(uint32_t aAccount)>;
  // Takes the request that is next among the allowed accounts.
  std::optional<QueuedRequest> Pop(const AccountUsage& aUse,
                                   const AccountFilter& aIsAllowed);
  // Removes a waiting request. Returns false if it isn't there.
  bool Remove(QueueKey aPlace, uint32_t aRequest);

  // Records how long a request of the account held a slot.
  void RecordServiceTime(uint32_t aAccount, Millis aTime);
  // Returns the mean time for which an account's requests hold a slot; zero if
  // it isn't known yet.
  Millis MeanServiceTime(uint32_t aAccount) const;

  // Returns the time until a request with so many of its account before it gets
  // a slot, if this node holds so many. Zero if nothing is known.
  Millis EstimateWait(const AccountUsage& aUse,
                      uint32_t aAccount,
                      size_t aAhead,
                      uint64_t aSlots) const;

  // Removes every request that can't be started in time, and returns them.
  std::vector<QueuedRequest> RemoveLateRequests(const AccountUsage& aUse,
                                                Millis aNow,
                                                uint64_t aSlots);
  // Removes and returns everything.
  std::vector<QueuedRequest> RemoveAll();

private:
  struct ClassQueue
  {
    uint32_t m_weight = 1;
    double m_virtualTime = 0;
    std::list<QueuedRequest> m_waiting;
  };
  struct AccountQueue
  {
    // Virtual time of the class served last.
    double m_virtualTime = 0;
    // In milliseconds; zero: unknown.
    double m_meanServiceMillis = 0;
    size_t m_size = 0;
    std::vector<ClassQueue> m_classes;
  };

  AccountQueue& Account(uint32_t aAccount);
  ClassQueue& Class(QueueKey aPlace);
  void NoteAdded(QueueKey aPlace);
  void NoteRemoved(uint32_t aAccount, size_t aCount);
  QueuedRequest PopFrom(uint32_t aAccount);
  void RemoveLateRequestsOf(const AccountUsage& aUse,
                            Millis aNow,
                            uint64_t aSlots,
                            uint32_t aAccount,
                            std::vector<QueuedRequest>& aTaken);

  std::list<QueuedRequest> m_retries;
  std::vector<AccountQueue> m_accounts;
  // Accounts with waiting requests, in no order.
  std::vector<uint32_t> m_backlogged;
  size_t m_size = 0;
  // Mean over all accounts, in milliseconds.
  double m_meanServiceMillis = 0;
};

} // namespace briarglade
