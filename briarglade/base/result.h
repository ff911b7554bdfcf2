// Errors as values: a result is either a value or an Error.
//
// Example:
//   Result<FleetConfig> parsed = ParseFleet(text);
//   if (const Error* error = GetError(parsed)) { return *error; }
//   Use(std::get<FleetConfig>(parsed));

#pragma once

#include <string>
#include <variant>

#include "briarglade/base/result_code.h"

namespace briarglade {

// A failure: its numbered code and a line for a person to read.
struct Error
{
  ResultCode m_code = ResultCode::Internal;
  std::string m_detail;
};

// Either a value or an error.
template<typename T>
using Result = std::variant<T, Error>;

// Returns the error, or nullptr if the result holds a value.
template<typename T>
const Error* GetError(const Result<T>& aResult)
{
  return std::get_if<Error>(&aResult);
}

} // namespace briarglade
