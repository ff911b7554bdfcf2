// Calls a node's operator listener and waits for the answer.

#pragma once

#include <cstdint>
#include <string>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/result.h"

namespace briarglade {

// The answer of a node to an operator's call.
struct OperatorAnswer
{
  uint16_t m_status = 0;
  std::string m_body;
};

// Makes one call. Returns Internal, with the address in the detail, for a node
// that can't be reached or that cut its answer.
Result<OperatorAnswer> CallOperator(const Endpoint& aNode,
                                    const std::string& aKey,
                                    const std::string& aMethod,
                                    const std::string& aPath,
                                    const std::string& aBody);

} // namespace briarglade
