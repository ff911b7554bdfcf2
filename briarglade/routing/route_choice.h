// Chooses a group for one request. The first choice is the group that
// rendezvous hashing selects for the prompt's prefix, if its load is within a
// bound. The second is the best of three random groups by expected load. The
// last is the group with the lowest utilization among all that have room.
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

// The properties of a request that affect the choice of a group.
struct RouteQuery
{
  uint32_t m_target = 0;
  // Hash of the prompt prefix. Zero means no prefix affinity.
  uint64_t m_prefixHash = 0;
  // The node's own availability zone, which is preferred in a tie.
  ZoneId m_zone;
  // Slots of earlier attempts. They are used again only if no other has room.
  const std::vector<uint32_t>* m_tried = nullptr;
  // The zone where the last attempt failed. Other zones are preferred.
  ZoneId m_avoidZone;
  // Whether the node's guaranteed quota of a busy group may be used.
  bool m_mayUseQuota = true;
};

using RandomEngine = std::minstd_rand;

// Returns the slot to send the request to, or nothing if no group has room.
std::optional<uint32_t> ChooseRoute(const RouteRegistry& aRoutes,
                                    Millis aNow,
                                    const RouteQuery& aQuery,
                                    RandomEngine& aRandom);

} // namespace briarglade
