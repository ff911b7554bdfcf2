// HTTP headers as typed data, and the names of our own.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "briarglade/base/millis.h"

namespace briarglade {

struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

using HttpHeaders = std::vector<HttpHeader>;

// Returns the value of the first header of that name, compared without regard
// to case, or an empty string.
std::string FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

// Returns the idle time that the value of a Keep-Alive header states, at most
// an hour. Zero if it states none, or if the time isn't a number of seconds.
Millis StatedIdleTime(std::string_view aKeepAlive);

constexpr char kRequestIdHeader[] = "Briarglade-Request";
constexpr char kAttemptIdHeader[] = "Briarglade-Attempt";
constexpr char kOutcomeHeader[] = "Briarglade-Outcome";
constexpr char kCodeHeader[] = "Briarglade-Code";
constexpr char kClassHeader[] = "Briarglade-Class";
constexpr char kDeadlineHeader[] = "Briarglade-Deadline-Ms";
constexpr char kPriorityHeader[] = "Briarglade-Priority";
constexpr char kResumeHeader[] = "Briarglade-Resume-After-Tokens";
constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";

} // namespace briarglade
