// The complete state of request routing on one node.

#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/routing/account_usage.h"
#include "briarglade/routing/crash_tracker.h"
#include "briarglade/routing/fair_queue.h"
#include "briarglade/routing/request_table.h"
#include "briarglade/routing/retry_budget.h"
#include "briarglade/routing/route_choice.h"
#include "briarglade/routing/route_registry.h"

namespace briarglade {

// A client account as routing sees it. Accounts are referred to by an index
// that never changes.
struct RoutedAccount
{
  uint32_t m_share = 1;
  std::vector<ClassId> m_classes;
  std::vector<uint32_t> m_classWeights;
};

// Counters for metrics. They never decrease.
struct RoutingCounts
{
  uint64_t m_started = 0;
  uint64_t m_retried = 0;
  uint64_t m_resumed = 0;
  uint64_t m_refused = 0;
  uint64_t m_retryBudgetExhausted = 0;
  // Events for an attempt that is not in flight, such as late or duplicate
  // ones.
  uint64_t m_unmatched = 0;
};

struct RoutingState
{
  RoutingState() = default;
  // Seeds the random generator with the node id, so that nodes draw different
  // random numbers.
  RoutingState(const NodeId& aSelf, const ZoneId& aZone);

  NodeId m_self;
  ZoneId m_zone;
  bool m_confirmed = false;
  RandomEngine m_random;

  RouteRegistry m_routes;
  RequestTable m_requests;
  // Indexed by target.
  std::deque<FairQueue> m_queues;
  std::deque<AccountUsage> m_usages;

  std::unordered_map<AccountId, uint32_t> m_accountNumbers;
  std::vector<RoutedAccount> m_accounts;

  RetryBudget m_retryBudget;
  CrashTracker m_crashTracker;
  RoutingCounts m_counts;
  Millis m_lastHousekeepingAt;
  // Number of requests in RequestPhase::Delayed.
  uint32_t m_delayed = 0;
};

} // namespace briarglade
