// Admission of requests, their queues, and the start of attempts.

#pragma once

#include <cstdint>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/result_code.h"
#include "briarglade/routing/routing_event.h"

namespace briarglade {
struct RoutedAccount;
struct RoutingState;
}

namespace briarglade::internal {

// Returns the number of an account, or of a class of it; new ones get one.
uint32_t AccountNumber(RoutingState& aState, const AccountId& aAccount);
uint32_t ClassNumber(RoutedAccount& aAccount, const ClassId& aClass);

// Refuses a new request, starts it or puts it in its queue.
void AdmitRequest(RoutingState& aState,
                  Millis aNow,
                  const RequestArrived& aRequest,
                  RoutingEffects& aEffects);

// Starts as many waiting requests of a target as there is room for. Finishes
// all of them if the target has no group left.
void Dispatch(RoutingState& aState,
              Millis aNow,
              uint32_t aTarget,
              RoutingEffects& aEffects);

// Finishes every waiting request with the code.
void RefuseWaiting(RoutingState& aState,
                   ResultCode aCode,
                   RoutingEffects& aEffects);

// Finishes the waiting requests that can't meet their deadline any more.
void RefuseLateRequests(RoutingState& aState,
                        Millis aNow,
                        RoutingEffects& aEffects);

// Starts another attempt at once if a group that wasn't tried has room.
bool StartElsewhere(RoutingState& aState,
                    Millis aNow,
                    uint32_t aHandle,
                    RoutingEffects& aEffects);

// Brings the accounts' use of every target up to date.
void RefreshUsage(RoutingState& aState, Millis aNow);

// Puts a request that has waited for its retry before all others.
void EnqueueRetry(RoutingState& aState, uint32_t aHandle);

// Takes a waiting request out of its queue, or out of the delayed ones.
void StopWaiting(RoutingState& aState, uint32_t aHandle);

// Finishes a request with a code. If an attempt may have run, a code that says
// "not run" is replaced by a true one.
void FinishWith(RoutingState& aState,
                uint32_t aHandle,
                ResultCode aCode,
                Millis aRetryAfter,
                RoutingEffects& aEffects);

// Returns when the caller should come back to a queue: when what its account
// has waiting now is served.
Millis RetryAfterFor(const RoutingState& aState,
                     uint32_t aTarget,
                     uint32_t aAccount);

} // namespace briarglade::internal
