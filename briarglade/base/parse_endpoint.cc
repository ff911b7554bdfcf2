// Reading an Endpoint from text.

#include "briarglade/base/parse_endpoint.h"

#include <arpa/inet.h>
#include <cstdlib>

namespace briarglade {

namespace {

constexpr long kHighestPort = 65'535;
constexpr size_t kMaxPortDigits = 5;

// Returns -1 if the text isn't a port.
long ParsePort(const std::string& aText)
{
  const bool isNumber =
    !aText.empty() && aText.size() <= kMaxPortDigits &&
    aText.find_first_not_of("0123456789") == std::string::npos;
  return isNumber ? std::strtol(aText.c_str(), nullptr, 10) : -1;
}

} // namespace

Result<Endpoint> ParseEndpoint(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  const std::string ip = aText.substr(0, colon);
  in_addr parsed{};
  const long port =
    colon == std::string::npos ? -1 : ParsePort(aText.substr(colon + 1));
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1 || port < 0 ||
      port > kHighestPort) {
    return Error{ ResultCode::MalformedRequest,
                  "\"" + aText + "\" is not IP:PORT with an IPv4 number" };
  }
  return Endpoint{ ip, static_cast<uint16_t>(port) };
}

} // namespace briarglade
