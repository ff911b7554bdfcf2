// Reading an Endpoint from text.
//
// Example:
//   Result<Endpoint> endpoint = ParseEndpoint("10.0.0.7:8080");

#pragma once

#include <string>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/result.h"

namespace briarglade {

// Reads "IP:PORT" with an IPv4 number. Anything else is an error.
Result<Endpoint> ParseEndpoint(const std::string& aText);

} // namespace briarglade
