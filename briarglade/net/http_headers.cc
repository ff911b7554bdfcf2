// Look-up of headers, and their values.

#include "briarglade/net/http_headers.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <strings.h>
#include <system_error>

namespace briarglade {

std::string FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (header.m_name.size() == aName.size() &&
        strncasecmp(header.m_name.data(), aName.data(), aName.size()) == 0) {
      return header.m_value;
    }
  }
  return {};
}

Millis StatedIdleTime(std::string_view aKeepAlive)
{
  constexpr std::string_view kTimeout = "timeout=";
  constexpr uint64_t kMaxSeconds = 3'600;
  const size_t at = aKeepAlive.find(kTimeout);
  if (at == std::string_view::npos) {
    return Millis();
  }
  std::string_view text = aKeepAlive.substr(at + kTimeout.size());
  text = text.substr(0, text.find_first_of(", \t;"));
  uint64_t seconds = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, seconds);
  if (stop != end || error == std::errc::invalid_argument) {
    return Millis();
  }
  // A number that doesn't fit is long, too.
  const bool isLong =
    error == std::errc::result_out_of_range || seconds > kMaxSeconds;
  return Millis(1'000) * static_cast<int64_t>(isLong ? kMaxSeconds : seconds);
}

} // namespace briarglade
