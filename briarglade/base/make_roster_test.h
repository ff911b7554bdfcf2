// A roster of so many nodes, for tests: "n0", "n1" and so on.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "briarglade/base/ids.h"

namespace briarglade {

inline std::vector<NodeId> MakeRoster(uint32_t aNodes)
{
  std::vector<NodeId> roster;
  for (uint32_t i = 0; i < aNodes; ++i) {
    roster.emplace_back("n" + std::to_string(i));
  }
  return roster;
}

} // namespace briarglade
