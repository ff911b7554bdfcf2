// Every point at which an exchange can break, judged by what can have happened
// at the backend server.

#include "briarglade/routing/outcome.h"

#include <doctest/doctest.h>
#include <ostream>
#include <vector>

namespace briarglade {
namespace {

// How far the request can have come at the backend server, by the end alone.
struct EndRow
{
  ExchangeEnd m_end;
  uint16_t m_status;
  // Some byte may have reached a server that didn't take it back.
  bool m_mayHaveRun;
  // The code of an idempotent call of which nothing was sent to the caller.
  ResultCode m_code;
};

constexpr ResultCode kOk = ResultCode::Ok;
constexpr ResultCode kRefused = ResultCode::BackendRefused;
constexpr ResultCode kFailed = ResultCode::BackendFailed;
constexpr ResultCode kLate = ResultCode::DeadlineExceeded;
constexpr ResultCode kInvalid = ResultCode::BackendAnswerInvalid;

const std::vector<EndRow>& EndTable()
{
  static const std::vector<EndRow> kTable = {
    { ExchangeEnd::Whole, 200, true, kOk },
    { ExchangeEnd::Whole, 302, true, kOk },
    { ExchangeEnd::Whole, 404, true, kOk },
    { ExchangeEnd::Whole, 429, true, kOk },
    { ExchangeEnd::Whole, 500, true, kOk },
    { ExchangeEnd::Whole, 503, true, kOk },
    { ExchangeEnd::Whole, 100, true, kInvalid },
    { ExchangeEnd::Whole, 0, true, kInvalid },
    { ExchangeEnd::ConnectRefused, 0, false, kRefused },
    { ExchangeEnd::ResetBeforeSend, 0, false, kRefused },
    { ExchangeEnd::RefusedByServer, 503, false, kRefused },
    { ExchangeEnd::RefusedByServer, 429, false, kRefused },
    { ExchangeEnd::RefusedByServer, 200, true, kInvalid },
    { ExchangeEnd::ResetBeforeAnswer, 0, true, kFailed },
    { ExchangeEnd::Truncated, 200, true, kFailed },
    { ExchangeEnd::Truncated, 503, true, kFailed },
    { ExchangeEnd::Timeout, 0, true, kLate },
    { ExchangeEnd::Timeout, 200, true, kLate },
    { ExchangeEnd::WrongAnswer, 200, true, kInvalid },
    { ExchangeEnd::WrongAnswer, 503, true, kInvalid },
    { ExchangeEnd::Cancelled, 0, true, kLate },
  };
  return kTable;
}

ExchangeClassification Judge(const EndRow& aRow,
                             bool aIdempotent,
                             bool aBegan,
                             bool aBefore)
{
  return ClassifyExchange(
    ExchangeFacts{ aRow.m_end, aRow.m_status, aIdempotent, aBegan, aBefore });
}

// The code that the row, the kind of call and its past ask for.
ResultCode ExpectedCode(const EndRow& aRow,
                        bool aIdempotent,
                        bool aBegan,
                        bool aBefore)
{
  const bool ranEarlier = aBegan || aBefore;
  if (aRow.m_code == kOk || (aRow.m_code == kRefused && !ranEarlier)) {
    return aRow.m_code;
  }
  if (!aIdempotent) {
    return ResultCode::OutcomeUnknown;
  }
  if (aBegan) {
    return ResultCode::StreamCut;
  }
  return aRow.m_code == kRefused ? kFailed : aRow.m_code;
}

template<typename Check>
void ForEachCase(const Check& aCheck)
{
  for (const EndRow& row : EndTable()) {
    for (const bool idempotent : { true, false }) {
      for (const bool began : { true, false }) {
        for (const bool before : { true, false }) {
          INFO("end " << static_cast<int>(row.m_end) << " status "
                      << row.m_status << " idempotent " << idempotent
                      << " began " << began << " before " << before);
          aCheck(row, idempotent, began, before);
        }
      }
    }
  }
}

TEST_CASE("the code and the outcome of every end, kind of call and past")
{
  ForEachCase(
    [](const EndRow& aRow, bool aIdempotent, bool aBegan, bool aPast) {
      const ExchangeClassification verdict =
        Judge(aRow, aIdempotent, aBegan, aPast);
      CHECK(verdict.m_code == ExpectedCode(aRow, aIdempotent, aBegan, aPast));
      CHECK(verdict.m_outcome == DescribeResultCode(verdict.m_code).m_outcome);
    });
}

TEST_CASE("not run is said only when no byte can have run, now or before")
{
  ForEachCase(
    [](const EndRow& aRow, bool aIdempotent, bool aBegan, bool aPast) {
      const ExchangeClassification verdict =
        Judge(aRow, aIdempotent, aBegan, aPast);
      const bool mayHaveRun = aRow.m_mayHaveRun || aBegan || aPast;
      CHECK((verdict.m_outcome == Outcome::NotRun) == !mayHaveRun);
    });
}

TEST_CASE("a non-idempotent call is tried again only when it did not run")
{
  ForEachCase(
    [](const EndRow& aRow, bool aIdempotent, bool aBegan, bool aPast) {
      const ExchangeClassification verdict =
        Judge(aRow, aIdempotent, aBegan, aPast);
      const bool mayHaveRun = aRow.m_mayHaveRun || aBegan || aPast;
      if (!aIdempotent) {
        CHECK(verdict.m_mayRetry == !mayHaveRun);
      }
    });
}

TEST_CASE(
  "an idempotent call is tried again unless it was answered or given up")
{
  ForEachCase(
    [](const EndRow& aRow, bool aIdempotent, bool aBegan, bool aPast) {
      if (!aIdempotent) {
        return;
      }
      const ExchangeClassification verdict =
        Judge(aRow, aIdempotent, aBegan, aPast);
      const bool ownFailure = aRow.m_status >= 500 || aRow.m_status == 429;
      const bool expected = aRow.m_code == kOk
                              ? ownFailure && !aBegan
                              : aRow.m_end != ExchangeEnd::Cancelled;
      CHECK(verdict.m_mayRetry == expected);
    });
}

} // namespace
} // namespace briarglade
