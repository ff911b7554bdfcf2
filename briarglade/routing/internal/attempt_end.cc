// Ends of attempts, retries and passive failure detection.

#include "briarglade/routing/internal/attempt_end.h"

#include <algorithm>
#include <string>

#include "briarglade/routing/internal/dispatch.h"
#include "briarglade/routing/outcome.h"
#include "briarglade/routing/routing_state.h"

namespace briarglade::internal {

namespace {

constexpr uint32_t kMaxAttempts = 5;
// Delay before a request is retried at a group that has already failed it.
// Doubles with each attempt.
constexpr Millis kBaseRetryDelay = Millis(100);
constexpr Millis kMinRetryAfter = Millis(1'000);
// A group that fails an attempt is ejected from the choice for this long.
// Doubles with each consecutive failure.
constexpr Millis kBaseEjectTime = Millis(500);
constexpr uint32_t kMaxEjectDoublings = 5;
// The maximum time for which a refusal by the server ejects a group.
constexpr Millis kMaxRefusalEject = Millis(2'000);
// An attempt at a lost group is cancelled for failover after this time: the
// first applies before its answer has begun, the second after.
constexpr Millis kFailoverDelay = Millis(500);
constexpr Millis kFailoverDelayAfterFirstByte = Millis(2'000);
// An answer is slow if its first byte takes longer than kSlowFactor times the
// group's mean and longer than kMinSlowMillis. kSlowAnswersForColdSignal slow
// answers in a row are a latency jump.
constexpr double kSlowFactor = 8;
constexpr double kMinSlowMillis = 2'000;
constexpr uint32_t kSlowAnswersForColdSignal = 3;
constexpr double kFirstByteSampleWeight = 1.0 / 32;

void LogGroupEvent(const RouteSlot& aSlot,
                   const char* aEvent,
                   const char* aReason,
                   RoutingEffects& aEffects)
{
  aEffects.emplace_back(LogEvent{
    LogLevel::Info,
    aEvent,
    { { "group", aSlot.m_route.m_group.Value() }, { "reason", aReason } } });
}

// Updates the failure count of a group at the end of an attempt, and ejects the
// group if the attempt failed.
void UpdateGroupHealth(RoutingState& aState,
                       Millis aNow,
                       uint32_t aSlot,
                       const AttemptEnded& aEnded,
                       ExchangeEnd aEnd,
                       bool aIsServed,
                       RoutingEffects& aEffects)
{
  RouteSlot& slot = aState.m_routes.Slot(aSlot);
  if (!slot.m_known || aEnd == ExchangeEnd::Cancelled) {
    return;
  }
  if (aIsServed) {
    slot.m_failures = 0;
    return;
  }
  Millis time = kBaseEjectTime * (int64_t{ 1 } << slot.m_failures);
  slot.m_failures = std::min(slot.m_failures + 1, kMaxEjectDoublings);
  if (aEnd == ExchangeEnd::RefusedByServer) {
    time = std::clamp(aEnded.m_retryAfter, kBaseEjectTime, kMaxRefusalEject);
  }
  if (aEnd == ExchangeEnd::ConnectRefused) {
    aState.m_routes.MarkCold(aNow, aSlot, ColdSignal::Refused);
  }
  const bool wasEjected = slot.m_ejectedUntil > aNow;
  if (aState.m_routes.Eject(aNow, aSlot, time) && !wasEjected) {
    LogGroupEvent(slot, "group-ejected", "attempt-failed", aEffects);
  }
}

// Records what the next attempt and the final answer need from this attempt.
void RecordAttemptEnd(RequestRecord& aRecord,
                      const RouteSlot& aSlot,
                      const AttemptEnded& aEnded,
                      const ExchangeClassification& aClassification)
{
  aRecord.m_tokensDelivered =
    std::max(aRecord.m_tokensDelivered, aEnded.m_tokensDelivered);
  aRecord.m_tried.push_back(aRecord.m_slot);
  aRecord.m_failedZone = aSlot.m_route.m_zone;
  if (aClassification.m_outcome != Outcome::NotRun) {
    aRecord.m_mayHaveRun = true;
  }
  if (aClassification.m_outcome == Outcome::Unknown) {
    aRecord.m_unknownCode = aClassification.m_code;
  }
}

bool IsRetryAllowed(const RoutingState& aState,
                    Millis aNow,
                    const RequestRecord& aRecord,
                    const ExchangeClassification& aClassification)
{
  const bool isSafe = aRecord.m_request.m_idempotent ||
                      aClassification.m_outcome == Outcome::NotRun;
  const Millis refusedFor =
    aState.m_crashTracker.RefusedFor(aNow, aRecord.m_request.m_fingerprint);
  return aClassification.m_mayRetry && isSafe && aState.m_confirmed &&
         aRecord.m_attempts < kMaxAttempts && refusedFor == Millis() &&
         aNow < aRecord.m_request.m_deadline &&
         !aState.m_routes.Target(aRecord.m_target).m_open.empty();
}

void ScheduleRetry(RoutingState& aState, Millis aNow, RequestRecord& aRecord)
{
  const int64_t factor = int64_t{ 1 } << (aRecord.m_attempts - 1);
  aRecord.m_phase = RequestPhase::Delayed;
  aRecord.m_notBefore = aNow + kBaseRetryDelay * factor;
  ++aState.m_delayed;
}

// Finishes a request whose attempt has ended and is not retried.
void FinishEnded(RoutingState& aState,
                 uint32_t aHandle,
                 const AttemptEnded& aEnded,
                 ResultCode aCode,
                 RoutingEffects& aEffects)
{
  const bool isDone = DescribeResultCode(aCode).m_outcome == Outcome::Done;
  const Millis retryAfter =
    isDone ? Millis() : std::max(kMinRetryAfter, aEnded.m_retryAfter);
  FinishWith(aState, aHandle, aCode, retryAfter, aEffects);
}

// Retries a request, or finishes it if it can't be retried.
void RetryOrFinish(RoutingState& aState,
                   Millis aNow,
                   uint32_t aHandle,
                   const AttemptEnded& aEnded,
                   const ExchangeClassification& aClassification,
                   RoutingEffects& aEffects)
{
  RequestRecord& record = aState.m_requests.Get(aHandle);
  if (!IsRetryAllowed(aState, aNow, record, aClassification)) {
    FinishEnded(aState, aHandle, aEnded, aClassification.m_code, aEffects);
    return;
  }
  if (!aState.m_retryBudget.TryConsume()) {
    ++aState.m_counts.m_retryBudgetExhausted;
    const ResultCode code = aClassification.m_outcome == Outcome::NotRun
                              ? ResultCode::RetryBudgetSpent
                              : aClassification.m_code;
    FinishEnded(aState, aHandle, aEnded, code, aEffects);
    return;
  }
  if (!StartElsewhere(aState, aNow, aHandle, aEffects)) {
    ScheduleRetry(aState, aNow, record);
  }
}

// Returns the end of the exchange as it is classified: an attempt that was
// cancelled for failover to another group counts as broken.
ExchangeEnd EffectiveEnd(const RequestRecord& aRecord,
                         const AttemptEnded& aEnded)
{
  const bool isFailover =
    aEnded.m_end == ExchangeEnd::Cancelled && aRecord.m_cancelledForFailover;
  return isFailover ? ExchangeEnd::ResetBeforeAnswer : aEnded.m_end;
}

ExchangeClassification Classify(const RequestRecord& aRecord,
                                const AttemptEnded& aEnded,
                                ExchangeEnd aEnd)
{
  ExchangeFacts facts;
  facts.m_end = aEnd;
  facts.m_status = aEnded.m_status;
  facts.m_idempotent = aRecord.m_request.m_idempotent;
  facts.m_answerBegan =
    aRecord.m_tokensDelivered > 0 || aEnded.m_tokensDelivered > 0;
  facts.m_mayHaveRunBefore = aRecord.m_mayHaveRun;
  return ClassifyExchange(facts);
}

} // namespace

void SendNotices(RoutingState& aState, RoutingEffects& aEffects)
{
  for (CrashNotice& notice : aState.m_crashTracker.TakeNotices()) {
    notice.m_node = aState.m_self;
    if (notice.m_refuseFor > Millis()) {
      aEffects.emplace_back(LogEvent{
        LogLevel::Warn,
        "harmful-request-found",
        { { "fingerprint", std::to_string(notice.m_fingerprint.Value()) },
          { "group", notice.m_group.Value() } } });
    }
    aEffects.emplace_back(SendCrashNotice{ notice });
  }
}

void OnAnswerBegan(RoutingState& aState,
                   Millis aNow,
                   const AttemptAnswerBegan& aBegan,
                   RoutingEffects& aEffects)
{
  const auto handle = aState.m_requests.FindAttempt(aBegan.m_attempt);
  if (!handle) {
    ++aState.m_counts.m_unmatched;
    return;
  }
  RequestRecord& record = aState.m_requests.Get(*handle);
  record.m_answerBegan = true;
  RouteSlot& slot = aState.m_routes.Slot(record.m_slot);
  const auto sample = static_cast<double>((aNow - record.m_startedAt).Count());
  const bool isSlow = slot.m_meanFirstByteMillis > 0 &&
                      sample > kMinSlowMillis &&
                      sample > slot.m_meanFirstByteMillis * kSlowFactor &&
                      slot.Load() * 2 < slot.m_route.m_requestLimit;
  if (!isSlow) {
    slot.m_slowAnswers = 0;
    slot.m_meanFirstByteMillis +=
      slot.m_meanFirstByteMillis == 0
        ? sample
        : (sample - slot.m_meanFirstByteMillis) * kFirstByteSampleWeight;
    return;
  }
  if (++slot.m_slowAnswers == kSlowAnswersForColdSignal && slot.m_known) {
    slot.m_slowAnswers = 0;
    aState.m_routes.MarkCold(aNow, record.m_slot, ColdSignal::LatencyJump);
    LogGroupEvent(slot, "group-cold", "latency-jump", aEffects);
  }
}

void OnAttemptEnded(RoutingState& aState,
                    Millis aNow,
                    const AttemptEnded& aEnded,
                    RoutingEffects& aEffects)
{
  const auto found = aState.m_requests.FindAttempt(aEnded.m_attempt);
  if (!found) {
    ++aState.m_counts.m_unmatched;
    return;
  }
  const uint32_t handle = *found;
  RequestRecord& record = aState.m_requests.Get(handle);
  const uint32_t target = record.m_target;
  const ExchangeEnd end = EffectiveEnd(record, aEnded);
  const ExchangeClassification classification = Classify(record, aEnded, end);
  const RouteSlot& slot = aState.m_routes.Slot(record.m_slot);
  const Fingerprint fingerprint = record.m_request.m_fingerprint;
  if (IsBrokenConnection(end)) {
    aState.m_crashTracker.NoteBroken(aNow, fingerprint, slot.m_route.m_group);
    SendNotices(aState, aEffects);
  }
  const bool isServed =
    classification.m_outcome == Outcome::Done && !classification.m_mayRetry;
  UpdateGroupHealth(
    aState, aNow, record.m_slot, aEnded, end, isServed, aEffects);
  RecordAttemptEnd(record, slot, aEnded, classification);
  aState.m_requests.UnbindAttempt(handle);
  aState.m_usages[target].NoteEnded(aNow, record.m_queueKey.m_account);
  aState.m_routes.NoteEnded(aNow, record.m_slot);

  if (record.m_callerDisconnected) {
    FinishWith(aState, handle, ResultCode::CallerGone, Millis(), aEffects);
  } else if (isServed) {
    aState.m_routes.RecordHoldTime(record.m_slot, aNow - record.m_startedAt);
    aState.m_queues[target].RecordServiceTime(record.m_queueKey.m_account,
                                              aNow - record.m_startedAt);
    aState.m_retryBudget.NoteSuccess();
    aState.m_crashTracker.NoteSuccess(fingerprint);
    FinishEnded(aState, handle, aEnded, classification.m_code, aEffects);
  } else {
    RetryOrFinish(aState, aNow, handle, aEnded, classification, aEffects);
  }
  Dispatch(aState, aNow, target, aEffects);
}

void CancelAttemptsAtLostGroups(RoutingState& aState,
                                Millis aNow,
                                RoutingEffects& aEffects)
{
  if (!aState.m_routes.HasLostInFlight()) {
    return;
  }
  for (const uint32_t handle :
       aState.m_requests.InPhase(RequestPhase::Running)) {
    RequestRecord& record = aState.m_requests.Get(handle);
    const RouteSlot& slot = aState.m_routes.Slot(record.m_slot);
    const Millis delay =
      record.m_answerBegan ? kFailoverDelayAfterFirstByte : kFailoverDelay;
    const bool isOverdue = slot.m_lost && record.m_startedAt <= slot.m_lostAt &&
                           aNow - slot.m_lostAt >= delay;
    const bool hasOpenGroup =
      !aState.m_routes.Target(record.m_target).m_open.empty();
    if (!isOverdue || !hasOpenGroup || !record.m_request.m_idempotent ||
        record.m_cancelledForFailover || record.m_callerDisconnected) {
      continue;
    }
    record.m_cancelledForFailover = true;
    aEffects.emplace_back(CancelAttempt{ record.m_attempt });
  }
}

void QueueDueRetries(RoutingState& aState, Millis aNow)
{
  if (aState.m_delayed == 0) {
    return;
  }
  for (const uint32_t handle :
       aState.m_requests.InPhase(RequestPhase::Delayed)) {
    if (aState.m_requests.Get(handle).m_notBefore <= aNow) {
      EnqueueRetry(aState, handle);
    }
  }
}

} // namespace briarglade::internal
