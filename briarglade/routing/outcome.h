// Decides what is known about a request after an exchange with a backend server
// has ended. No other module makes this decision.
//
// Example:
//   const ExchangeClassification result = ClassifyExchange(facts);
//   if (result.m_mayRetry) { ... }

#pragma once

#include <cstdint>

#include "briarglade/base/result_code.h"
#include "briarglade/routing/request_event.h"

namespace briarglade {

// The facts about an exchange that has ended.
struct ExchangeFacts
{
  ExchangeEnd m_end = ExchangeEnd::Whole;
  // HTTP status of the backend server's answer; zero if none came.
  uint16_t m_status = 0;
  // Whether the request may be run more than once.
  bool m_idempotent = true;
  // Whether part of the answer has been sent to the caller.
  bool m_answerBegan = false;
  // Whether an earlier attempt of the same request may have run.
  bool m_mayHaveRunBefore = false;
};

// The classification of an exchange.
struct ExchangeClassification
{
  Outcome m_outcome = Outcome::Unknown;
  // The result code for the caller if the request is not retried.
  ResultCode m_code = ResultCode::Internal;
  // True if another attempt is safe: nothing ran, or running the request again
  // does no harm. Once part of the answer has been sent, an attempt may only
  // resume after that part. It can also be true of a complete answer: a backend
  // server's own 5xx or 429 to an idempotent call is passed on unless another
  // attempt succeeds.
  bool m_mayRetry = false;
};

// Returns the name of an exchange end for logs, such as "connect-refused".
const char* ExchangeEndName(ExchangeEnd aEnd);

// Returns whether an exchange with this end certainly ran nothing.
bool IsCertainlyNotRun(ExchangeEnd aEnd, uint16_t aStatus);

// Returns whether the server broke the exchange off before its answer was
// complete.
bool IsBrokenConnection(ExchangeEnd aEnd);

// Returns whether callers take this status as a guarantee that the request has
// not run and never will.
bool ImpliesNotRun(uint16_t aStatus);

// Classifies an exchange. The outcome is NotRun only if that is certain for the
// whole request: neither this exchange nor an earlier one can have run it.
ExchangeClassification ClassifyExchange(const ExchangeFacts& aFacts);

} // namespace briarglade
