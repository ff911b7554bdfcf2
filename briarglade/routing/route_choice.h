// The choice of a group for one request: the group that rendezvous hashing
// names for the prompt's prefix while its load is within a bound, else the best
// of three random ones by expected load, else the least loaded that has room.
//
// Example:
//   std::optional<uint32_t> slot = ChooseRoute(book, now, question, random);

#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

class RouteRegistry;

// What matters of a request for its choice of group.
struct RouteQuery
{
  uint32_t m_target = 0;
  // Zero: no prefix affinity.
  uint64_t m_prefixHash = 0;
  // The node's own availability zone, which wins a tie.
  ZoneId m_zone;
  // Slots that earlier attempts used; taken only if no other has room.
  const std::vector<uint32_t>* m_tried = nullptr;
  // The zone where the last attempt failed; others are preferred.
  ZoneId m_avoidZone;
  // Whether the node's guaranteed share of a busy group may be used.
  bool m_mayUseQuota = true;
};

using RandomEngine = std::minstd_rand;

// Returns the slot to send the request to, or nothing if no group has room.
std::optional<uint32_t> ChooseRoute(const RouteRegistry& aBook,
                                    Millis aNow,
                                    const RouteQuery& aQuery,
                                    RandomEngine& aRandom);

} // namespace briarglade
