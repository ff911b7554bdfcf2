// Queue of the requests of one service and model that wait for a backend with
// room. The order is:
// 1. by priority, the most urgent first;
// 2. requests that can still meet their latency goal before those that cannot;
// 3. requests of accounts that were served clearly less in the recent past;
// 4. the request with the least time left.
// Where the engine's times are stated, 2 comes before 1. Late requests are then
// ordered by 3 and by their last times to start, whatever their priority:
// urgency no longer helps them, and less urgent ones would wait until they
// can't finish. Requests whose answer has begun precede all others.
//
// Designed for these load patterns:
// - A short burst beyond the capacity of the backends. A request that cannot
//   start in time is rejected on arrival, not when its deadline has passed. Its
//   waiting time is estimated from the rate at which backends recently became
//   free.
// - A lasting overload. In order of arrival every request would miss its goal.
//   Requests that can meet it therefore go before those that are too late.
// - A flood from one account. Requests of other accounts do not wait behind it.
//
// Example:
//   if (queue.ExpectedWait(now, priority, account) <= maxWait) {
//     queue.Add(now, waiting);
//   }
//   if (std::optional<WaitingRequest> next = queue.Next(now)) {
//     queue.Remove(*next);
//     queue.RecordStarted(now, next->m_account);
//   }

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "briarglade/base/millis.h"
#include "briarglade/gateway/gateway_event.h"

namespace briarglade {

// A queued request.
struct WaitingRequest
{
  // A lower number is more urgent.
  int32_t m_priority = 0;
  // When its answer should start.
  Millis m_goalAt;
  // The request must be started before this time.
  Millis m_startBy;
  RequestHandle m_handle;
  AccountId m_account;
  // Whether its answer has begun, at a server that was lost.
  bool m_hasBegun = false;
  // The time to its first event at an idle group, by the engine's stated times;
  // zero if they are not stated or the request has no goal.
  Millis m_idleFirstEvent = Millis();

  // Orders by priority, then by m_startBy, then by handle.
  bool operator<(const WaitingRequest& aOther) const;
};

// The queue and the rates that its estimates are based on.
class WaitQueue
{
public:
  void Add(Millis aNow, const WaitingRequest& aWaiting);
  void Remove(const WaitingRequest& aWaiting) { m_waiting.erase(aWaiting); }
  // Returns the request to start next, or nothing if the queue is empty.
  std::optional<WaitingRequest> Next(Millis aNow) const;
  // Returns whether a new request would be the next one.
  bool IsFirst(Millis aNow, const WaitingRequest& aWaiting) const;
  size_t Size() const { return m_waiting.size(); }

  // Records the time from sending a request to the start of its answer.
  void RecordTimeToFirstBytes(Millis aElapsed);
  // Records the same for a request whose time at an idle group is known.
  void RecordTimeToFirstEvent(Millis aElapsed, Millis aIdleFirstEvent);
  // Records that a request of the account was started.
  void RecordStarted(Millis aNow, const AccountId& aAccount);
  // Records that a backend became free.
  void RecordBackendFreed(Millis aNow);
  // Returns the estimated waiting time of a new request with that priority and
  // account.
  Millis ExpectedWait(Millis aNow,
                      int32_t aPriority,
                      const AccountId& aAccount) const;
  // Returns the estimated waiting time of a new request whose time at an idle
  // group is known.
  Millis ExpectedWait(Millis aNow, const WaitingRequest& aWaiting) const;
  // Returns after what time a caller that is refused now should return: one
  // caller for each interval in which a backend becomes free, in the order of
  // their refusals, and not before aMin. A caller that can't wait for longer
  // than aMax takes no place in that order.
  Millis ReturnAfter(Millis aNow, Millis aMin, Millis aMax);
  // Returns the requests that can no longer be started in time. They stay in
  // the queue until they are removed.
  std::vector<WaitingRequest> Overdue(Millis aNow) const;

  // Returns whether the request would miss its goal if it were sent now.
  bool IsLate(Millis aNow, const WaitingRequest& aWaiting) const;

private:
  using Rank =
    std::tuple<bool, bool, int32_t, bool, int, Millis, RequestHandle>;

  // Returns a value that is lower for requests that go first.
  Rank RankOf(Millis aNow, const WaitingRequest& aWaiting) const;
  // Returns the estimated time until aAhead requests and one more have started.
  Millis WaitBehind(Millis aNow, size_t aAhead) const;
  // Returns how much an account was served in the recent past, in coarse
  // logarithmic steps.
  int UsageStep(Millis aNow, const AccountId& aAccount) const;

  std::set<WaitingRequest> m_waiting;
  // Number of started requests of an account, with exponential decay.
  struct Usage
  {
    double m_requests = 0;
    Millis m_updatedAt;

    // Returns the number decayed to aNow.
    double DecayedAt(Millis aNow) const;
  };
  std::map<AccountId, Usage> m_usage;
  // Moving average of the time from sending a request to the start of its
  // answer, in milliseconds.
  double m_meanTimeToFirstBytes = 0;
  // The time to a first event beyond that at an idle group that three quarters
  // of the requests exceed, in milliseconds: the fixed delays of the servers
  // and the network, and the least that other requests add.
  double m_addedDelay = 0;
  // Moving average of the time between two backends becoming free, in
  // milliseconds.
  double m_meanFreedInterval = 20;
  Millis m_lastFreedAt;
  // When the last of the refused callers returns.
  Millis m_lastReturnAt;
  // Since when the queue has not been empty.
  Millis m_waitingSince;
};

} // namespace briarglade
