// The requests that wait for one model or plain service on this node, with one
// queue for each client account and class. The account with the lowest recent
// use relative to its share is served first. Among the classes of an account,
// the weights decide (start-time fair queuing).
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
  // The owner's handle of the request.
  uint32_t m_request = 0;
  // The latest useful start time of its attempt.
  Millis m_startBy;
};

// The queue of a request: the indices of its account and of the class within
// the account.
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

  // Return the number of waiting requests: of all accounts, of one account, or
  // of one class.
  size_t Size() const { return m_size; }
  size_t AccountSize(uint32_t aAccount) const;
  size_t ClassSize(QueueKey aKey) const;

  void PushBack(QueueKey aKey, QueuedRequest aRequest);
  // Adds a request that has already had a slot and is retried. It is served
  // before all others, regardless of its account's rank.
  void PushRetry(QueuedRequest aRequest);

  // Returns whether an account may be served now.
  using AccountFilter = std::function<bool(uint32_t aAccount)>;
  // Removes and returns the next request among the allowed accounts, or nothing
  // if there is none. Retries come first and are not filtered.
  std::optional<QueuedRequest> Pop(const AccountUsage& aUsage,
                                   const AccountFilter& aIsAllowed);
  // Removes a waiting request. Returns false if it is not queued.
  bool Remove(QueueKey aKey, uint32_t aRequest);

  // Records how long a request of the account held a slot.
  void RecordServiceTime(uint32_t aAccount, Millis aTime);
  // Returns the mean time for which an account's requests hold a slot, or zero
  // if it is not known yet.
  Millis MeanServiceTime(uint32_t aAccount) const;

  // Estimates the time until a request with aAhead requests of its account
  // before it gets one of this node's aSlots slots. Returns zero if nothing is
  // known.
  Millis EstimateWait(const AccountUsage& aUsage,
                      uint32_t aAccount,
                      size_t aAhead,
                      uint64_t aSlots) const;

  // Removes and returns every request that is not expected to start in time.
  std::vector<QueuedRequest> RemoveLateRequests(const AccountUsage& aUsage,
                                                Millis aNow,
                                                uint64_t aSlots);
  // Removes and returns all requests.
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
    // Virtual time of the class that was served last.
    double m_virtualTime = 0;
    // Mean service time in milliseconds; zero if unknown.
    double m_meanServiceMillis = 0;
    size_t m_size = 0;
    std::vector<ClassQueue> m_classes;
  };

  AccountQueue& Account(uint32_t aAccount);
  ClassQueue& Class(QueueKey aKey);
  void NoteAdded(QueueKey aKey);
  void NoteRemoved(uint32_t aAccount, size_t aCount);
  QueuedRequest PopFrom(uint32_t aAccount);
  void RemoveLateRequestsOf(const AccountUsage& aUsage,
                            Millis aNow,
                            uint64_t aSlots,
                            uint32_t aAccount,
                            std::vector<QueuedRequest>& aRemoved);

  std::list<QueuedRequest> m_retries;
  std::vector<AccountQueue> m_accounts;
  // Accounts with waiting requests, in no particular order.
  std::vector<uint32_t> m_backlogged;
  size_t m_size = 0;
  // Mean service time over all accounts, in milliseconds.
  double m_meanServiceMillis = 0;
};

} // namespace briarglade
