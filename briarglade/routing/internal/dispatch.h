// Admits requests, manages their queues and starts attempts.

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

// Return the index of an account, or of a class within it. Unknown ones get a
// new index.
uint32_t AccountNumber(RoutingState& aState, const AccountId& aAccount);
uint32_t ClassNumber(RoutedAccount& aAccount, const ClassId& aClass);

// Refuses a new request, starts it or queues it.
void AdmitRequest(RoutingState& aState,
                  Millis aNow,
                  const RequestArrived& aRequest,
                  RoutingEffects& aEffects);

// Starts as many waiting requests of a target as there is room for. Finishes
// all of them with NoCapacity if no group of the target may take new requests.
void Dispatch(RoutingState& aState,
              Millis aNow,
              uint32_t aTarget,
              RoutingEffects& aEffects);

// Finishes all waiting requests with the code.
void RefuseWaiting(RoutingState& aState,
                   ResultCode aCode,
                   RoutingEffects& aEffects);

// Finishes the waiting requests that are not expected to start in time.
void RefuseLateRequests(RoutingState& aState,
                        Millis aNow,
                        RoutingEffects& aEffects);

// Starts another attempt at once if a group that has not been tried has room.
// Returns whether it did.
bool StartElsewhere(RoutingState& aState,
                    Millis aNow,
                    uint32_t aHandle,
                    RoutingEffects& aEffects);

// Updates the account usage of every target.
void RefreshUsage(RoutingState& aState, Millis aNow);

// Queues a request whose retry delay has passed before all others.
void EnqueueRetry(RoutingState& aState, uint32_t aHandle);

// Removes a waiting request from its queue or from the delayed requests.
void StopWaiting(RoutingState& aState, uint32_t aHandle);

// Finishes a request with a code. If an attempt may have run, a code whose
// outcome is NotRun is replaced by the code of the attempt.
void FinishWith(RoutingState& aState,
                uint32_t aHandle,
                ResultCode aCode,
                Millis aRetryAfter,
                RoutingEffects& aEffects);

// Returns the Retry-After time for a refused caller: the estimated time until
// the queued requests of its account have been served, within bounds.
Millis RetryAfterFor(const RoutingState& aState,
                     uint32_t aTarget,
                     uint32_t aAccount);

} // namespace briarglade::internal
