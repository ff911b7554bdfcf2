// Classification of ended exchanges.

#include "briarglade/routing/outcome.h"

namespace briarglade {

namespace {

constexpr uint16_t kFirstSuccess = 200;
constexpr uint16_t kFirstClientError = 400;
constexpr uint16_t kRequestTimeout = 408;
constexpr uint16_t kMisdirected = 421;
constexpr uint16_t kTooManyRequests = 429;
constexpr uint16_t kFirstServerError = 500;
constexpr uint16_t kUnavailable = 503;

bool IsTransientFailure(uint16_t aStatus)
{
  return aStatus >= kFirstServerError || aStatus == kTooManyRequests;
}

// Returns whether the status of a refusal agrees with it. A refusal with a
// success or redirect status is contradictory and does not prove that the
// request did not run.
bool IsCredibleRefusal(uint16_t aStatus)
{
  return aStatus < kFirstSuccess || aStatus >= kFirstClientError;
}

// Classifies an exchange whose request may have run. A non-idempotent request
// is never retried; its caller can find out the outcome by the request's key.
ExchangeClassification ClassifyUnknown(const ExchangeFacts& aFacts,
                                       ResultCode aCode)
{
  if (!aFacts.m_idempotent) {
    return ExchangeClassification{ Outcome::Unknown,
                                   ResultCode::OutcomeUnknown,
                                   false };
  }
  const ResultCode code = aFacts.m_answerBegan ? ResultCode::StreamCut : aCode;
  return ExchangeClassification{ Outcome::Unknown, code, true };
}

// Classifies an exchange whose request did not run. The outcome is still
// unknown if an answer has begun or an earlier attempt may have run.
ExchangeClassification ClassifyNotRun(const ExchangeFacts& aFacts)
{
  if (aFacts.m_answerBegan || aFacts.m_mayHaveRunBefore) {
    return ClassifyUnknown(aFacts, ResultCode::BackendFailed);
  }
  return ExchangeClassification{ Outcome::NotRun,
                                 ResultCode::BackendRefused,
                                 true };
}

ExchangeClassification ClassifyWhole(const ExchangeFacts& aFacts)
{
  if (aFacts.m_status < kFirstSuccess) {
    return ClassifyUnknown(aFacts, ResultCode::BackendAnswerInvalid);
  }
  const bool mayRetry = aFacts.m_idempotent && !aFacts.m_answerBegan &&
                        IsTransientFailure(aFacts.m_status);
  return ExchangeClassification{ Outcome::Done, ResultCode::Ok, mayRetry };
}

ExchangeClassification ClassifyCancelled(const ExchangeFacts& aFacts)
{
  ExchangeClassification classification =
    ClassifyUnknown(aFacts, ResultCode::DeadlineExceeded);
  classification.m_mayRetry = false;
  return classification;
}

} // namespace

const char* ExchangeEndName(ExchangeEnd aEnd)
{
  switch (aEnd) {
    case ExchangeEnd::Whole:
      return "whole";
    case ExchangeEnd::ConnectRefused:
      return "connect-refused";
    case ExchangeEnd::ResetBeforeSend:
      return "reset-before-send";
    case ExchangeEnd::RefusedByServer:
      return "refused-by-server";
    case ExchangeEnd::ResetBeforeAnswer:
      return "reset-before-answer";
    case ExchangeEnd::Truncated:
      return "truncated";
    case ExchangeEnd::Timeout:
      return "timeout";
    case ExchangeEnd::WrongAnswer:
      return "wrong-answer";
    case ExchangeEnd::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

bool IsCertainlyNotRun(ExchangeEnd aEnd, uint16_t aStatus)
{
  return aEnd == ExchangeEnd::ConnectRefused ||
         aEnd == ExchangeEnd::ResetBeforeSend ||
         (aEnd == ExchangeEnd::RefusedByServer && IsCredibleRefusal(aStatus));
}

bool IsBrokenConnection(ExchangeEnd aEnd)
{
  return aEnd == ExchangeEnd::ResetBeforeAnswer ||
         aEnd == ExchangeEnd::Truncated;
}

bool ImpliesNotRun(uint16_t aStatus)
{
  return aStatus == kRequestTimeout || aStatus == kMisdirected ||
         aStatus == kTooManyRequests || aStatus == kUnavailable;
}

ExchangeClassification ClassifyExchange(const ExchangeFacts& aFacts)
{
  if (IsCertainlyNotRun(aFacts.m_end, aFacts.m_status)) {
    return ClassifyNotRun(aFacts);
  }
  switch (aFacts.m_end) {
    case ExchangeEnd::Whole:
      return ClassifyWhole(aFacts);
    case ExchangeEnd::ConnectRefused:
    case ExchangeEnd::ResetBeforeSend:
    case ExchangeEnd::RefusedByServer:
      return ClassifyUnknown(aFacts, ResultCode::BackendAnswerInvalid);
    case ExchangeEnd::ResetBeforeAnswer:
    case ExchangeEnd::Truncated:
      return ClassifyUnknown(aFacts, ResultCode::BackendFailed);
    case ExchangeEnd::Timeout:
      return ClassifyUnknown(aFacts, ResultCode::DeadlineExceeded);
    case ExchangeEnd::WrongAnswer:
      return ClassifyUnknown(aFacts, ResultCode::BackendAnswerInvalid);
    case ExchangeEnd::Cancelled:
      return ClassifyCancelled(aFacts);
  }
  return ClassifyUnknown(aFacts, ResultCode::Internal);
}

} // namespace briarglade
