// The events and effects of a caller's request in the decision core. The shell
// turns sockets into these events and carries the effects out. Answer bytes
// never pass through the core; the shell relays them and reports where an
// exchange stands.
//
// The life of one request:
//   RequestArrived -> StartAttempt -> AttemptAnswerBegan -> AttemptEnded
//                  -> FinishRequest

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/result_code.h"
#include "briarglade/routing/route_table.h"

namespace briarglade {

// A backend server's whole answer, kept where it must outlive the exchange: for
// non-idempotent calls.
struct StoredAnswer
{
  uint16_t m_status = 0;
  std::string m_contentType;
  std::string m_body;
};

// A caller's request, checked and known to be allowed.
struct RequestArrived
{
  RequestId m_request;
  AccountId m_account;
  ClassId m_class;
  RouteTarget m_target;
  // The plain service's operation; empty for a model.
  std::string m_operation;
  bool m_idempotent = true;
  // Set for every non-idempotent call.
  IdempotencyKey m_key;
  // xxhash of route and body.
  Fingerprint m_fingerprint;
  // xxhash of the first part of the prompt, for prefix affinity.
  uint64_t m_prefixHash = 0;
  bool m_streaming = false;
  Millis m_deadline;
  int32_t m_priority = 0;
};

// The first byte of a backend server's answer has come.
struct AttemptAnswerBegan
{
  AttemptId m_attempt;
};

// How an exchange with a backend server ended.
enum class ExchangeEnd
{
  // The whole answer has come, with its end marker and the right attempt id.
  Whole,
  // The connection was refused: no byte of the request left.
  ConnectRefused,
  // The connection broke before any byte of the request was written.
  ResetBeforeSend,
  // The backend server said, with its own refusal, that it didn't run.
  RefusedByServer,
  // The connection broke after the request may have left, before any answer.
  ResetBeforeAnswer,
  // The connection broke, or the answer ended, before the end marker.
  Truncated,
  // No answer, or no further part of it, within the time allowed.
  Timeout,
  // The answer carried another attempt id, or could not be parsed.
  WrongAnswer,
  // This node gave the attempt up.
  Cancelled
};

// The end of one attempt.
struct AttemptEnded
{
  AttemptId m_attempt;
  ExchangeEnd m_end = ExchangeEnd::Whole;
  // HTTP status of the backend server's answer; zero if none came.
  uint16_t m_status = 0;
  // Tokens passed to the caller so far, for resuming the stream.
  uint32_t m_tokensDelivered = 0;
  // The backend server's own Retry-After; zero if none.
  Millis m_retryAfter;
  // The answer, for a non-idempotent call whose exchange ended whole.
  std::shared_ptr<const StoredAnswer> m_answer;
};

// The caller has closed its connection.
struct CallerGone
{
  RequestId m_request;
};

using RequestEvent =
  std::variant<RequestArrived, AttemptAnswerBegan, AttemptEnded, CallerGone>;

// Send the request to a group's leader. The shell reports AttemptEnded exactly
// once for it.
struct StartAttempt
{
  RequestId m_request;
  AttemptId m_attempt;
  GroupId m_group;
  Endpoint m_leader;
  int32_t m_priority = 0;
  // Tokens the caller already has; the engine resumes after them.
  uint32_t m_resumeAfterTokens = 0;
  // The instant at which the exchange must have ended.
  Millis m_deadline;
};

// Give an attempt up: tell the engine, close the connection.
struct CancelAttempt
{
  AttemptId m_attempt;
};

// The final word on a request. When an attempt's answer is whole, the shell has
// relayed it already and m_attempt names it; otherwise the shell answers with
// the code: as a refusal if nothing was sent to the caller, as an error event
// that ends the stream if something was.
struct FinishRequest
{
  RequestId m_request;
  ResultCode m_code = ResultCode::Ok;
  AttemptId m_attempt;
  // When to come back, for refusals; zero if it makes no sense.
  Millis m_retryAfter;
  // The answer to send in place of an attempt's: the stored one of a repeat.
  std::shared_ptr<const StoredAnswer> m_replay;
};

using RequestEffect = std::variant<StartAttempt, CancelAttempt, FinishRequest>;

} // namespace briarglade
