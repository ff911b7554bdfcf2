// The events and effects of a caller's request in the decision core. The shell
// translates socket activity into these events and carries out the effects. The
// bytes of an answer never pass through the core; the shell relays them and
// reports the progress of each exchange.
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

// The complete answer of a backend server to a non-idempotent call, stored
// because it must outlive the exchange.
struct StoredAnswer
{
  uint16_t m_status = 0;
  std::string m_contentType;
  std::string m_body;
};

// A caller's request after validation and authorization.
struct RequestArrived
{
  RequestId m_request;
  AccountId m_account;
  ClassId m_class;
  RouteTarget m_target;
  // The operation of the plain service; empty for a model.
  std::string m_operation;
  bool m_idempotent = true;
  // Set for every non-idempotent call.
  IdempotencyKey m_key;
  // xxhash of the route and the body.
  Fingerprint m_fingerprint;
  // xxhash of the first part of the prompt, used for prefix affinity.
  uint64_t m_prefixHash = 0;
  bool m_streaming = false;
  Millis m_deadline;
  int32_t m_priority = 0;
};

// The first byte of a backend server's answer has arrived.
struct AttemptAnswerBegan
{
  AttemptId m_attempt;
};

// How an exchange with a backend server ended.
enum class ExchangeEnd
{
  // The complete answer has arrived, with its end marker and the correct
  // attempt id.
  Whole,
  // The connection was refused: no byte of the request was sent.
  ConnectRefused,
  // The connection broke before any byte of the request was written.
  ResetBeforeSend,
  // The backend server rejected the request with its own refusal and did not
  // run it.
  RefusedByServer,
  // The connection broke after the request may have been sent and before any
  // answer arrived.
  ResetBeforeAnswer,
  // The connection broke, or the answer ended, before the end marker.
  Truncated,
  // No answer, or no further part of it, arrived within the timeout.
  Timeout,
  // The answer had a different attempt id, or could not be parsed.
  WrongAnswer,
  // This node cancelled the attempt.
  Cancelled
};

// What the connection of an exchange shows about the request that it carried.
// For the log: it tells why the request counts as run or not run.
struct ExchangeTrace
{
  // Whether the connection had carried an earlier request.
  bool m_isKeptConnection = false;
  // Bytes of the request that the kernel took.
  uint64_t m_sentBytes = 0;
  // Answers to other requests that were read and dropped.
  uint32_t m_passedOverAnswers = 0;
};

// The end of one attempt.
struct AttemptEnded
{
  AttemptId m_attempt;
  ExchangeEnd m_end = ExchangeEnd::Whole;
  // HTTP status of the backend server's answer; zero if none came.
  uint16_t m_status = 0;
  // Tokens sent to the caller so far, used to resume the stream.
  uint32_t m_tokensDelivered = 0;
  // The backend server's Retry-After; zero if there was none.
  Millis m_retryAfter;
  // The answer to a non-idempotent call whose exchange completed.
  std::shared_ptr<const StoredAnswer> m_answer;
};

// The caller has closed its connection.
struct CallerDisconnected
{
  RequestId m_request;
};

using RequestEvent = std::
  variant<RequestArrived, AttemptAnswerBegan, AttemptEnded, CallerDisconnected>;

// Sends the request to the leader of a group. The shell reports AttemptEnded
// exactly once for it.
struct StartAttempt
{
  RequestId m_request;
  AttemptId m_attempt;
  GroupId m_group;
  Endpoint m_leader;
  int32_t m_priority = 0;
  // Tokens that the caller already has; the engine resumes after them.
  uint32_t m_resumeAfterTokens = 0;
  // The time by which the exchange must have ended.
  Millis m_deadline;
};

// Cancels an attempt: notifies the engine and closes the connection.
struct CancelAttempt
{
  AttemptId m_attempt;
};

// The final result of a request. If an attempt's answer is complete, the shell
// has already relayed it and m_attempt names the attempt. Otherwise the shell
// answers with the code: as a refusal if nothing was sent to the caller, or as
// an error event that ends the stream if something was.
struct FinishRequest
{
  RequestId m_request;
  ResultCode m_code = ResultCode::Ok;
  AttemptId m_attempt;
  // Retry-After time for refusals; zero if a retry makes no sense.
  Millis m_retryAfter;
  // The stored answer to replay in place of an attempt's answer when a request
  // is retried with the same key.
  std::shared_ptr<const StoredAnswer> m_replay;
};

using RequestEffect = std::variant<StartAttempt, CancelAttempt, FinishRequest>;

} // namespace briarglade
