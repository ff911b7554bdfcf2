// Admission of requests, fair queues and the start of attempts.

#include "briarglade/routing/internal/dispatch.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "briarglade/routing/routing_state.h"

namespace briarglade::internal {

namespace {

// Maximum number of waiting requests on this node for one target: of one class
// of an account, and of all accounts.
constexpr size_t kMaxClassQueue = 256;
constexpr size_t kMaxQueued = 8192;
// A request is queued only if its expected wait is at most kMaxExpectedWait. It
// is removed again if it would wait longer than kMaxQueueWait, twice that time.
constexpr Millis kMaxExpectedWait = Millis(2'000);
constexpr Millis kMaxQueueWait = Millis(4'000);
// Bounds of the Retry-After time that a refused caller gets.
constexpr Millis kMinRetryAfter = Millis(1'000);
constexpr Millis kMaxRetryAfter = Millis(60'000);
constexpr Millis kNoCapacityRetryAfter = Millis(2'000);
// At most one slot in this many is reserved for the accounts that are not far
// over their share.
constexpr uint64_t kReservedSlotDivisor = 8;

// Returns the index of a target. Creates its queue and its account usage if it
// has none yet.
uint32_t PrepareTarget(RoutingState& aState, const RouteTarget& aTarget)
{
  const uint32_t target = aState.m_routes.TargetIndex(aTarget);
  while (aState.m_queues.size() <= target) {
    aState.m_queues.emplace_back();
    aState.m_usages.emplace_back();
  }
  return target;
}

// Returns the number of slots that this node can count on at a target: its
// quota, or its requests in flight if they are more.
uint64_t LocalSlots(const RoutingState& aState, uint32_t aTarget)
{
  return std::max(aState.m_routes.Target(aTarget).m_quota,
                  aState.m_usages[aTarget].InFlight());
}

bool IsOverShare(const RoutingState& aState,
                 uint32_t aTarget,
                 uint32_t aAccount)
{
  return aState.m_usages[aTarget].IsOverShare(aAccount);
}

bool IsFarOverShare(const RoutingState& aState,
                    uint32_t aTarget,
                    uint32_t aAccount)
{
  return aState.m_usages[aTarget].IsFarOverShare(aAccount);
}

// Returns whether this node has fewer requests in flight at a target than its
// quota.
bool IsNodeBelowQuota(const RoutingState& aState, uint32_t aTarget)
{
  return aState.m_usages[aTarget].InFlight() <
         aState.m_routes.Target(aTarget).m_quota;
}

// Returns whether a target is so full that its last slots are reserved, so that
// accounts far over their share can't use them. Each node reserves its own part
// of them, so that the nodes together don't use them all at once.
bool IsReserveReached(const RoutingState& aState, uint32_t aTarget)
{
  const TargetRoutes& target = aState.m_routes.Target(aTarget);
  const auto burst =
    static_cast<uint64_t>(aState.m_usages[aTarget].BurstSlots()) + 1;
  const uint64_t reserve =
    std::min(burst, target.m_quota / kReservedSlotDivisor);
  const uint64_t needed = aState.m_usages[aTarget].InFlight() + reserve;
  const bool isFull = target.m_load * kReservedSlotDivisor >=
                      target.m_limit * (kReservedSlotDivisor - 1);
  return needed >= target.m_allowance || (isFull && needed >= target.m_quota);
}

RouteQuery MakeRouteQuery(const RoutingState& aState,
                          const RequestRecord& aRecord)
{
  RouteQuery query;
  query.m_target = aRecord.m_target;
  query.m_prefixHash = aRecord.m_request.m_prefixHash;
  query.m_zone = aState.m_zone;
  query.m_tried = &aRecord.m_tried;
  query.m_avoidZone = aRecord.m_failedZone;
  const bool isRetry = aRecord.m_attempts > 0;
  query.m_mayUseQuota =
    IsNodeBelowQuota(aState, aRecord.m_target) &&
    (isRetry ||
     !IsOverShare(aState, aRecord.m_target, aRecord.m_queueKey.m_account));
  return query;
}

void StartOn(RoutingState& aState,
             Millis aNow,
             uint32_t aHandle,
             uint32_t aSlot,
             RoutingEffects& aEffects)
{
  RequestRecord& record = aState.m_requests.Get(aHandle);
  const Route& route = aState.m_routes.Slot(aSlot).m_route;
  ++record.m_attempts;
  aState.m_requests.BindAttempt(aHandle,
                                AttemptId(record.m_request.m_request.Value() +
                                          "/" +
                                          std::to_string(record.m_attempts)));
  record.m_phase = RequestPhase::Running;
  record.m_slot = aSlot;
  record.m_startedAt = aNow;
  record.m_answerBegan = false;
  record.m_cancelledForFailover = false;
  aState.m_routes.NoteStarted(aNow, aSlot);
  aState.m_usages[record.m_target].NoteStarted(aNow,
                                               record.m_queueKey.m_account);
  ++aState.m_counts.m_started;
  aState.m_counts.m_retried += record.m_attempts > 1 ? 1 : 0;
  aState.m_counts.m_resumed += record.m_tokensDelivered > 0 ? 1 : 0;

  StartAttempt start;
  start.m_request = record.m_request.m_request;
  start.m_attempt = record.m_attempt;
  start.m_group = route.m_group;
  start.m_leader = route.m_leader;
  start.m_priority = record.m_request.m_priority;
  start.m_resumeAfterTokens = record.m_tokensDelivered;
  start.m_deadline = record.m_request.m_deadline;
  aEffects.emplace_back(std::move(start));
}

// Starts a request if it does not have to wait. Returns whether it was started.
bool StartNow(RoutingState& aState,
              Millis aNow,
              uint32_t aHandle,
              RoutingEffects& aEffects)
{
  const RequestRecord& record = aState.m_requests.Get(aHandle);
  const RouteQuery query = MakeRouteQuery(aState, record);
  const bool isFarOver =
    IsFarOverShare(aState, record.m_target, record.m_queueKey.m_account);
  if (isFarOver && IsReserveReached(aState, record.m_target)) {
    return false;
  }
  const std::optional<uint32_t> slot =
    ChooseRoute(aState.m_routes, aNow, query, aState.m_random);
  if (slot) {
    StartOn(aState, aNow, aHandle, *slot, aEffects);
  }
  return slot.has_value();
}

// Returns the time after which a request is no longer expected to meet its
// deadline if it starts.
Millis LatestStart(const RoutingState& aState, const RequestRecord& aRecord)
{
  const FairQueue& queue = aState.m_queues[aRecord.m_target];
  return aRecord.m_request.m_deadline -
         queue.MeanServiceTime(aRecord.m_queueKey.m_account);
}

// Returns the code that says why a request can't be queued, or Ok if it can.
ResultCode CheckQueue(const RoutingState& aState,
                      Millis aNow,
                      const RequestRecord& aRecord)
{
  const FairQueue& queue = aState.m_queues[aRecord.m_target];
  const uint32_t account = aRecord.m_queueKey.m_account;
  if (queue.ClassSize(aRecord.m_queueKey) >= kMaxClassQueue ||
      queue.Size() >= kMaxQueued) {
    return ResultCode::QueueFull;
  }
  const Millis wait = queue.EstimateWait(aState.m_usages[aRecord.m_target],
                                         account,
                                         queue.AccountSize(account),
                                         LocalSlots(aState, aRecord.m_target));
  if (wait > kMaxExpectedWait) {
    return ResultCode::QueueFull;
  }
  return aNow + wait > LatestStart(aState, aRecord) ? ResultCode::QueueDeadline
                                                    : ResultCode::Ok;
}

void Refuse(const RequestArrived& aRequest,
            ResultCode aCode,
            Millis aRetryAfter,
            RoutingState& aState,
            RoutingEffects& aEffects)
{
  FinishRequest finish;
  finish.m_request = aRequest.m_request;
  finish.m_code = aCode;
  finish.m_retryAfter = aRetryAfter;
  ++aState.m_counts.m_refused;
  aEffects.emplace_back(std::move(finish));
}

// The accounts whose requests Dispatch() can start now.
struct DispatchCapacity
{
  const RoutingState& m_state;
  uint32_t m_target;
  // Whether a group has capacity for any account.
  bool m_anyAccount;
  // Whether a group has capacity for accounts within their share.
  bool m_withinShare;
  // Whether accounts far over their share are excluded, because only reserved
  // slots are left.
  bool m_reserveReached;

  bool Allows(uint32_t aAccount) const
  {
    if (m_reserveReached && IsFarOverShare(m_state, m_target, aAccount)) {
      return false;
    }
    return m_anyAccount || !IsOverShare(m_state, m_target, aAccount);
  }
};

DispatchCapacity FindCapacity(RoutingState& aState,
                              Millis aNow,
                              uint32_t aTarget)
{
  RouteQuery query;
  query.m_target = aTarget;
  query.m_mayUseQuota = false;
  const bool anyAccount =
    ChooseRoute(aState.m_routes, aNow, query, aState.m_random).has_value();
  query.m_mayUseQuota = IsNodeBelowQuota(aState, aTarget);
  const bool withinShare =
    anyAccount ||
    ChooseRoute(aState.m_routes, aNow, query, aState.m_random).has_value();
  return DispatchCapacity{
    aState, aTarget, anyAccount, withinShare, IsReserveReached(aState, aTarget)
  };
}

void RefuseQueue(RoutingState& aState,
                 uint32_t aTarget,
                 ResultCode aCode,
                 RoutingEffects& aEffects)
{
  for (const QueuedRequest& entry : aState.m_queues[aTarget].RemoveAll()) {
    FinishWith(aState, entry.m_request, aCode, kNoCapacityRetryAfter, aEffects);
  }
}

} // namespace

uint32_t AccountNumber(RoutingState& aState, const AccountId& aAccount)
{
  const auto [entry, isNew] = aState.m_accountNumbers.try_emplace(
    aAccount, static_cast<uint32_t>(aState.m_accounts.size()));
  if (isNew) {
    aState.m_accounts.emplace_back();
  }
  return entry->second;
}

uint32_t ClassNumber(RoutedAccount& aAccount, const ClassId& aClass)
{
  std::vector<ClassId>& classes = aAccount.m_classes;
  const auto found = std::find(classes.begin(), classes.end(), aClass);
  const auto number = static_cast<uint32_t>(found - classes.begin());
  if (found == classes.end()) {
    classes.push_back(aClass);
    aAccount.m_classWeights.push_back(1);
  }
  return number;
}

void AdmitRequest(RoutingState& aState,
                  Millis aNow,
                  const RequestArrived& aRequest,
                  RoutingEffects& aEffects)
{
  if (!aState.m_confirmed) {
    Refuse(aRequest, ResultCode::Unconfirmed, kMinRetryAfter, aState, aEffects);
    return;
  }
  const Millis refusedFor =
    aState.m_crashTracker.RefusedFor(aNow, aRequest.m_fingerprint);
  if (refusedFor > Millis()) {
    Refuse(aRequest, ResultCode::HarmfulRequest, refusedFor, aState, aEffects);
    return;
  }
  const uint32_t target = PrepareTarget(aState, aRequest.m_target);
  if (aState.m_routes.Target(target).m_open.empty()) {
    Refuse(aRequest,
           ResultCode::NoCapacity,
           kNoCapacityRetryAfter,
           aState,
           aEffects);
    return;
  }
  if (aRequest.m_deadline <= aNow) {
    Refuse(
      aRequest, ResultCode::QueueDeadline, kMinRetryAfter, aState, aEffects);
    return;
  }
  const uint32_t number = AccountNumber(aState, aRequest.m_account);
  RoutedAccount& account = aState.m_accounts[number];
  const uint32_t handle = aState.m_requests.Add(aRequest);
  RequestRecord& record = aState.m_requests.Get(handle);
  record.m_target = target;
  record.m_queueKey =
    QueueKey{ number, ClassNumber(account, aRequest.m_class) };
  aState.m_usages[target].NoteArrived(aNow, number, account.m_share);
  FairQueue& queue = aState.m_queues[target];
  if (queue.Size() == 0 && StartNow(aState, aNow, handle, aEffects)) {
    return;
  }
  queue.SetClasses(number, account.m_classWeights);
  const ResultCode code = CheckQueue(aState, aNow, record);
  if (code != ResultCode::Ok) {
    FinishWith(
      aState, handle, code, RetryAfterFor(aState, target, number), aEffects);
    return;
  }
  const Millis startBy =
    std::min(aNow + kMaxQueueWait, LatestStart(aState, record));
  queue.PushBack(record.m_queueKey, QueuedRequest{ handle, startBy });
  Dispatch(aState, aNow, target, aEffects);
}

void Dispatch(RoutingState& aState,
              Millis aNow,
              uint32_t aTarget,
              RoutingEffects& aEffects)
{
  if (aTarget >= aState.m_queues.size()) {
    return;
  }
  FairQueue& queue = aState.m_queues[aTarget];
  if (queue.Size() > 0 && aState.m_routes.Target(aTarget).m_open.empty()) {
    RefuseQueue(aState, aTarget, ResultCode::NoCapacity, aEffects);
    return;
  }
  while (queue.Size() > 0) {
    const DispatchCapacity capacity = FindCapacity(aState, aNow, aTarget);
    const auto isAllowed = [&capacity](uint32_t aAccount) {
      return capacity.Allows(aAccount);
    };
    const auto next = capacity.m_withinShare
                        ? queue.Pop(aState.m_usages[aTarget], isAllowed)
                        : std::nullopt;
    if (!next) {
      return;
    }
    const RequestRecord& record = aState.m_requests.Get(next->m_request);
    const Millis refusedFor =
      aState.m_crashTracker.RefusedFor(aNow, record.m_request.m_fingerprint);
    if (refusedFor > Millis()) {
      FinishWith(aState,
                 next->m_request,
                 ResultCode::HarmfulRequest,
                 refusedFor,
                 aEffects);
      continue;
    }
    const auto slot = ChooseRoute(
      aState.m_routes, aNow, MakeRouteQuery(aState, record), aState.m_random);
    if (!slot) {
      queue.PushRetry(*next);
      return;
    }
    StartOn(aState, aNow, next->m_request, *slot, aEffects);
  }
}

void RefuseWaiting(RoutingState& aState,
                   ResultCode aCode,
                   RoutingEffects& aEffects)
{
  for (uint32_t target = 0; target < aState.m_queues.size(); ++target) {
    RefuseQueue(aState, target, aCode, aEffects);
  }
  for (const uint32_t handle :
       aState.m_requests.InPhase(RequestPhase::Delayed)) {
    StopWaiting(aState, handle);
    FinishWith(aState, handle, aCode, kMinRetryAfter, aEffects);
  }
}

void RefuseLateRequests(RoutingState& aState,
                        Millis aNow,
                        RoutingEffects& aEffects)
{
  for (uint32_t target = 0; target < aState.m_queues.size(); ++target) {
    FairQueue& queue = aState.m_queues[target];
    if (queue.Size() == 0) {
      continue;
    }
    const uint64_t slots = LocalSlots(aState, target);
    for (const QueuedRequest& entry :
         queue.RemoveLateRequests(aState.m_usages[target], aNow, slots)) {
      const uint32_t account =
        aState.m_requests.Get(entry.m_request).m_queueKey.m_account;
      FinishWith(aState,
                 entry.m_request,
                 ResultCode::QueueDeadline,
                 RetryAfterFor(aState, target, account),
                 aEffects);
    }
  }
}

bool StartElsewhere(RoutingState& aState,
                    Millis aNow,
                    uint32_t aHandle,
                    RoutingEffects& aEffects)
{
  const RequestRecord& record = aState.m_requests.Get(aHandle);
  const auto slot = ChooseRoute(
    aState.m_routes, aNow, MakeRouteQuery(aState, record), aState.m_random);
  const auto& tried = record.m_tried;
  if (!slot || std::find(tried.begin(), tried.end(), *slot) != tried.end()) {
    return false;
  }
  StartOn(aState, aNow, aHandle, *slot, aEffects);
  return true;
}

void RefreshUsage(RoutingState& aState, Millis aNow)
{
  for (uint32_t target = 0; target < aState.m_usages.size(); ++target) {
    aState.m_usages[target].Refresh(aNow, LocalSlots(aState, target));
  }
}

void EnqueueRetry(RoutingState& aState, uint32_t aHandle)
{
  RequestRecord& record = aState.m_requests.Get(aHandle);
  --aState.m_delayed;
  record.m_phase = RequestPhase::Queued;
  aState.m_queues[record.m_target].PushRetry(
    QueuedRequest{ aHandle, record.m_request.m_deadline });
}

void StopWaiting(RoutingState& aState, uint32_t aHandle)
{
  const RequestRecord& record = aState.m_requests.Get(aHandle);
  if (record.m_phase == RequestPhase::Delayed) {
    --aState.m_delayed;
  } else if (record.m_phase == RequestPhase::Queued) {
    aState.m_queues[record.m_target].Remove(record.m_queueKey, aHandle);
  }
}

void FinishWith(RoutingState& aState,
                uint32_t aHandle,
                ResultCode aCode,
                Millis aRetryAfter,
                RoutingEffects& aEffects)
{
  const RequestRecord& record = aState.m_requests.Get(aHandle);
  const Outcome outcome = DescribeResultCode(aCode).m_outcome;
  FinishRequest finish;
  finish.m_request = record.m_request.m_request;
  finish.m_attempt = record.m_attempt;
  finish.m_retryAfter = aRetryAfter;
  const bool isAccurate = outcome != Outcome::NotRun || !record.m_mayHaveRun;
  finish.m_code = isAccurate ? aCode : record.m_unknownCode;
  aState.m_counts.m_refused += outcome == Outcome::NotRun ? 1 : 0;
  aState.m_requests.Erase(aHandle);
  aEffects.emplace_back(std::move(finish));
}

Millis RetryAfterFor(const RoutingState& aState,
                     uint32_t aTarget,
                     uint32_t aAccount)
{
  const FairQueue& queue = aState.m_queues[aTarget];
  const Millis wait = queue.EstimateWait(aState.m_usages[aTarget],
                                         aAccount,
                                         queue.AccountSize(aAccount),
                                         LocalSlots(aState, aTarget));
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

} // namespace briarglade::internal
