// The table of result codes.

#include "briarglade/base/result_code.h"

#include <algorithm>

namespace briarglade {

std::string_view OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Done:
      return "done";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

const std::vector<ResultCodeRow>& ResultCodeTable()
{
  constexpr Outcome kDone = Outcome::Done;
  constexpr Outcome kNotRun = Outcome::NotRun;
  constexpr Outcome kUnknown = Outcome::Unknown;
  static const std::vector<ResultCodeRow> kTable = {
    { ResultCode::Ok, "ok", 200, kDone, "use the answer" },
    { ResultCode::OkReplayed,
      "ok-replayed",
      200,
      kDone,
      "use the answer; it is the stored one" },
    { ResultCode::MalformedRequest,
      "malformed-request",
      400,
      kNotRun,
      "mend the request" },
    { ResultCode::HeaderTooLarge,
      "header-too-large",
      431,
      kNotRun,
      "send fewer or shorter headers" },
    { ResultCode::BodyTooLarge,
      "body-too-large",
      413,
      kNotRun,
      "send a shorter body" },
    { ResultCode::UnknownModel,
      "unknown-model",
      404,
      kNotRun,
      "name a model of the fleet file" },
    { ResultCode::UnknownService,
      "unknown-service",
      404,
      kNotRun,
      "name a service and operation of the fleet file" },
    { ResultCode::UnknownKey,
      "unknown-key",
      401,
      kNotRun,
      "use a valid bearer key" },
    { ResultCode::NotAllowed,
      "not-allowed",
      403,
      kNotRun,
      "ask the operators for access" },
    { ResultCode::IdempotencyKeyMissing,
      "idempotency-key-missing",
      400,
      kNotRun,
      "send an Idempotency-Key" },
    { ResultCode::IdempotencyKeyReused,
      "idempotency-key-reused",
      422,
      kNotRun,
      "use a new key for another body" },
    { ResultCode::RequestTimeout,
      "request-timeout",
      408,
      kNotRun,
      "send the request faster" },
    { ResultCode::UnknownPath,
      "unknown-path",
      404,
      kNotRun,
      "use a documented path" },
    { ResultCode::TooManyConnections,
      "too-many-connections",
      503,
      kNotRun,
      "close idle connections, then retry after the time given" },
    { ResultCode::CallerGone,
      "caller-gone",
      499,
      kUnknown,
      "nothing: the caller has left" },
    { ResultCode::Unconfirmed,
      "unconfirmed",
      503,
      kNotRun,
      "try another address at once" },
    { ResultCode::NoCapacity,
      "no-capacity",
      503,
      kNotRun,
      "retry after the time given" },
    { ResultCode::QueueFull,
      "queue-full",
      429,
      kNotRun,
      "retry after the time given" },
    { ResultCode::QueueDeadline,
      "queue-deadline",
      503,
      kNotRun,
      "retry after the time given, or allow a longer deadline" },
    { ResultCode::AccountLimit,
      "account-limit",
      429,
      kNotRun,
      "retry after the time given; the account is over its limit" },
    { ResultCode::HarmfulRequest,
      "harmful-request",
      503,
      kNotRun,
      "do not repeat this request; backend servers failed while running it" },
    { ResultCode::ShuttingDown,
      "shutting-down",
      503,
      kNotRun,
      "try another address at once" },
    { ResultCode::RecordUnavailable,
      "record-unavailable",
      503,
      kNotRun,
      "retry with the same key after the time given" },
    { ResultCode::BackendRefused,
      "backend-refused",
      503,
      kNotRun,
      "retry after the time given" },
    { ResultCode::RetryBudgetSpent,
      "retry-budget-spent",
      503,
      kNotRun,
      "retry after the time given" },
    { ResultCode::BackendFailed,
      "backend-failed",
      502,
      kUnknown,
      "retry if the operation is idempotent" },
    { ResultCode::StreamCut,
      "stream-cut",
      502,
      kUnknown,
      "discard the partial answer and retry" },
    { ResultCode::DeadlineExceeded,
      "deadline-exceeded",
      504,
      kUnknown,
      "retry if the operation is idempotent" },
    { ResultCode::OutcomeUnknown,
      "outcome-unknown",
      504,
      kUnknown,
      "repeat with the same key to learn the outcome; it never runs twice" },
    { ResultCode::BackendAnswerInvalid,
      "backend-answer-invalid",
      502,
      kUnknown,
      "retry if the operation is idempotent" },
    { ResultCode::ConfigInvalid,
      "config-invalid",
      400,
      kNotRun,
      "mend the fleet files" },
    { ResultCode::ChangeRecorded,
      "change-recorded",
      202,
      kUnknown,
      "wait; the change is recorded and not yet confirmed" },
    { ResultCode::ChangeRaced,
      "change-raced",
      409,
      kNotRun,
      "read the other change, then apply again" },
    { ResultCode::ChangeRefused,
      "change-refused",
      409,
      kNotRun,
      "read the reason given" },
    { ResultCode::TableUnavailable,
      "table-unavailable",
      503,
      kUnknown,
      "repeat the command; it is settled by its operation id" },
    { ResultCode::OperatorKeyWrong,
      "operator-key-wrong",
      401,
      kNotRun,
      "use the operator key" },
    { ResultCode::Internal,
      "internal",
      500,
      kUnknown,
      "report the request id to the operators" },
  };
  return kTable;
}

const ResultCodeRow& DescribeResultCode(ResultCode aCode)
{
  const std::vector<ResultCodeRow>& table = ResultCodeTable();
  auto row = std::find_if(
    table.begin(), table.end(), [aCode](const ResultCodeRow& aRow) {
      return aRow.m_code == aCode;
    });
  return row == table.end() ? table.back() : *row;
}

std::ostream& operator<<(std::ostream& aOut, ResultCode aCode)
{
  return aOut << static_cast<uint16_t>(aCode);
}

} // namespace briarglade
