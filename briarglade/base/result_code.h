// The numbered result codes of every answer, refusal and command.
//
// docs/RESULT-CODES.md holds the same table for callers; a test keeps the two
// together. A number is never reused for another meaning.
//
// Example:
//   const ResultCodeRow& row = DescribeResultCode(ResultCode::QueueFull);
//   answer.SetStatus(row.m_httpStatus);

#pragma once

#include <cstdint>
#include <ostream>
#include <string_view>
#include <vector>

namespace briarglade {

// What is known of a request when its answer is given.
enum class Outcome
{
  // The request ran and its whole answer is known.
  Done,
  // The request certainly did not run.
  NotRun,
  // The request may have run, in part or whole.
  Unknown
};

// Returns "done", "not-run" or "unknown", as the outcome header carries it.
std::string_view OutcomeName(Outcome aOutcome);

// The number of a result. 1xx: success. 2xx: the caller's mistake. 3xx: refused
// for now. 4xx: failed while running. 5xx: operator commands.
enum class ResultCode : uint16_t
{
  Ok = 100,
  OkReplayed = 101,

  MalformedRequest = 200,
  HeaderTooLarge = 201,
  BodyTooLarge = 202,
  UnknownModel = 203,
  UnknownService = 204,
  UnknownKey = 205,
  NotAllowed = 206,
  IdempotencyKeyMissing = 207,
  IdempotencyKeyReused = 208,
  RequestTimeout = 209,
  UnknownPath = 210,
  TooManyConnections = 211,
  CallerGone = 212,

  Unconfirmed = 300,
  NoCapacity = 301,
  QueueFull = 302,
  QueueDeadline = 303,
  AccountLimit = 304,
  HarmfulRequest = 305,
  ShuttingDown = 306,
  RecordUnavailable = 307,
  BackendRefused = 308,
  RetryBudgetSpent = 309,

  BackendFailed = 400,
  StreamCut = 401,
  DeadlineExceeded = 402,
  OutcomeUnknown = 403,
  BackendAnswerInvalid = 404,

  ConfigInvalid = 500,
  ChangeRecorded = 501,
  ChangeRaced = 502,
  ChangeRefused = 503,
  TableUnavailable = 504,
  OperatorKeyWrong = 505,
  Internal = 506
};

// One row of the table in docs/RESULT-CODES.md.
struct ResultCodeRow
{
  ResultCode m_code;
  std::string_view m_name;
  uint16_t m_httpStatus;
  Outcome m_outcome;
  // What the caller should do, in a few words.
  std::string_view m_advice;
};

// Returns every row, in ascending order of number.
const std::vector<ResultCodeRow>& ResultCodeTable();

// Returns the row of one code. Every enumerator has a row.
const ResultCodeRow& DescribeResultCode(ResultCode aCode);

std::ostream& operator<<(std::ostream& aOut, ResultCode aCode);

} // namespace briarglade
