// Look-up of headers.

#include "briarglade/net/http_headers.h"

#include <strings.h>

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

} // namespace briarglade
