// Makes ids that no other process and no earlier run of this one has used.
//
// Example:
//   UniqueIds ids(NodeId("node-1"), incarnation);
//   write.m_operation = OperationId(ids.Next());

#pragma once

#include <cstdint>
#include <string>

#include "briarglade/base/ids.h"

namespace briarglade {

// A counter behind the node's id and incarnation. Part of the decision state,
// so that equal histories give equal ids.
class UniqueIds
{
public:
  UniqueIds() = default;
  UniqueIds(const NodeId& aNode, uint64_t aIncarnation)
    : m_prefix(aNode.Value() + "." + std::to_string(aIncarnation) + ".")
  {
  }

  // Returns the next id, such as "node-1.1733270000000.42".
  std::string Next() { return m_prefix + std::to_string(++m_count); }

private:
  std::string m_prefix;
  uint64_t m_count = 0;
};

} // namespace briarglade
