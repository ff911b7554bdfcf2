// Chooses a group by prefix affinity and estimated load.

#include "briarglade/routing/route_choice.h"

#include <algorithm>

#include "briarglade/routing/route_registry.h"

namespace briarglade {

namespace {

// Number of groups drawn at random, of which the least utilized is chosen.
constexpr uint32_t kRandomCandidates = 3;
// The group preferred by prefix affinity is chosen only while its load is below
// the mean load times kAffinityFactor, plus kAffinityExtraRequests.
constexpr double kAffinityFactor = 1.25;
constexpr double kAffinityExtraRequests = 1.0;

// Hashes a group's key combined with a request's prefix (the finalizer of
// MurmurHash3).
uint64_t Mix(uint64_t aValue)
{
  aValue ^= aValue >> 33;
  aValue *= 0xff51afd7ed558ccdULL;
  aValue ^= aValue >> 33;
  aValue *= 0xc4ceb9fe1a85ec53ULL;
  aValue ^= aValue >> 33;
  return aValue;
}

bool IsTried(const RouteQuery& aQuery, uint32_t aSlot)
{
  const std::vector<uint32_t>* tried = aQuery.m_tried;
  return tried != nullptr &&
         std::find(tried->begin(), tried->end(), aSlot) != tried->end();
}

// Returns whether another group is preferable because of the request's earlier
// attempts: this one was tried already, or is in the zone of a failed attempt.
bool IsAvoided(const RouteRegistry& aRoutes,
               const RouteQuery& aQuery,
               uint32_t aSlot)
{
  const ZoneId& avoided = aQuery.m_avoidZone;
  return (!avoided.IsEmpty() &&
          aRoutes.Slot(aSlot).m_route.m_zone == avoided) ||
         IsTried(aQuery, aSlot);
}

// Which groups a choice may include if no preferable group has capacity.
enum class Fallback
{
  NothingAvoided,
  AvoidedZone,
  Everything
};

bool IsAllowedBy(const RouteRegistry& aRoutes,
                 const RouteQuery& aQuery,
                 uint32_t aSlot,
                 Fallback aFallback)
{
  switch (aFallback) {
    case Fallback::NothingAvoided:
      return !IsAvoided(aRoutes, aQuery, aSlot);
    case Fallback::AvoidedZone:
      return !IsTried(aQuery, aSlot);
    case Fallback::Everything:
      return true;
  }
  return true;
}

bool HasCapacity(const RouteSlot& aSlot, Millis aNow, bool aMayUseQuota)
{
  if (aSlot.m_ejectedUntil > aNow || aSlot.m_inFlight >= aSlot.m_admission) {
    return false;
  }
  return (aSlot.m_inFlight < aSlot.m_allowance &&
          aSlot.Load() < aSlot.m_route.m_requestLimit) ||
         (aMayUseQuota && aSlot.m_inFlight < aSlot.m_quota);
}

// Returns the utilization of a group with one more request: that of the whole
// group, or that of this node's own limit there if it is higher. The node's
// limit is small while the group is cold.
double Utilization(const RouteSlot& aSlot)
{
  const double groupUtilization =
    (aSlot.ExpectedLoad() + 1.0) / aSlot.m_route.m_requestLimit;
  const double nodeUtilization = (aSlot.m_inFlight + 1.0) / aSlot.m_admission;
  return std::max(groupUtilization, nodeUtilization);
}

// Returns whether the first group is preferable to the second: the one with
// the lower utilization, or at equal utilization the one in the given zone.
bool IsBetter(const RouteSlot& aA, const RouteSlot& aB, const ZoneId& aZone)
{
  const double utilizationA = Utilization(aA);
  const double utilizationB = Utilization(aB);
  if (utilizationA != utilizationB) {
    return utilizationA < utilizationB;
  }
  return aA.m_route.m_zone == aZone && aB.m_route.m_zone != aZone;
}

// Returns the open slot with the highest rendezvous weight for the prefix.
uint32_t PrefixSlot(const RouteRegistry& aRoutes,
                    const std::vector<uint32_t>& aOpen,
                    uint64_t aPrefix)
{
  uint32_t best = aOpen.front();
  uint64_t bestWeight = 0;
  for (const uint32_t index : aOpen) {
    const uint64_t weight = Mix(aRoutes.Slot(index).m_rendezvousKey ^ aPrefix);
    if (weight >= bestWeight) {
      best = index;
      bestWeight = weight;
    }
  }
  return best;
}

bool IsWithinAffinityBound(const RouteSlot& aSlot, const TargetRoutes& aTarget)
{
  const double mean =
    static_cast<double>(aTarget.m_load) / static_cast<double>(aTarget.m_limit);
  const double allowed = mean * kAffinityFactor * aSlot.m_route.m_requestLimit +
                         kAffinityExtraRequests;
  return aSlot.Load() < allowed;
}

// Returns the best of all slots that have capacity and that the fallback
// allows. The search starts at a random slot, so that the nodes don't all
// choose the same one on a tie.
std::optional<uint32_t> BestOfAll(const RouteRegistry& aRoutes,
                                  Millis aNow,
                                  const RouteQuery& aQuery,
                                  Fallback aFallback,
                                  RandomEngine& aRandom)
{
  const std::vector<uint32_t>& open = aRoutes.Target(aQuery.m_target).m_open;
  const size_t offset = aRandom() % open.size();
  std::optional<uint32_t> best;
  for (size_t i = 0; i < open.size(); ++i) {
    const uint32_t index = open[(i + offset) % open.size()];
    const RouteSlot& slot = aRoutes.Slot(index);
    if (!HasCapacity(slot, aNow, aQuery.m_mayUseQuota) ||
        !IsAllowedBy(aRoutes, aQuery, index, aFallback)) {
      continue;
    }
    if (!best || IsBetter(slot, aRoutes.Slot(*best), aQuery.m_zone)) {
      best = index;
    }
  }
  return best;
}

// The fallbacks, strictest first.
constexpr Fallback kFallbacks[] = { Fallback::NothingAvoided,
                                    Fallback::AvoidedZone,
                                    Fallback::Everything };

// Returns whether a fallback can allow a group that the strictest one does not.
// On the first attempt no group is avoided, so it can't.
bool IsFallbackUseful(const RouteQuery& aQuery, Fallback aFallback)
{
  const bool isFirst = aQuery.m_tried == nullptr || aQuery.m_tried->empty();
  return !isFirst || aFallback == Fallback::NothingAvoided;
}

} // namespace

std::optional<uint32_t> ChooseRoute(const RouteRegistry& aRoutes,
                                    Millis aNow,
                                    const RouteQuery& aQuery,
                                    RandomEngine& aRandom)
{
  const TargetRoutes& target = aRoutes.Target(aQuery.m_target);
  const std::vector<uint32_t>& open = target.m_open;
  if (open.empty()) {
    return std::nullopt;
  }
  const auto isUsable = [&](uint32_t aSlot) {
    return HasCapacity(aRoutes.Slot(aSlot), aNow, aQuery.m_mayUseQuota) &&
           !IsAvoided(aRoutes, aQuery, aSlot);
  };
  if (aQuery.m_prefixHash != 0) {
    const uint32_t preferred = PrefixSlot(aRoutes, open, aQuery.m_prefixHash);
    if (isUsable(preferred) &&
        IsWithinAffinityBound(aRoutes.Slot(preferred), target)) {
      return preferred;
    }
  }
  std::optional<uint32_t> best;
  for (uint32_t sample = 0; sample < kRandomCandidates; ++sample) {
    const uint32_t index = open[aRandom() % open.size()];
    if (isUsable(index) &&
        (!best ||
         IsBetter(aRoutes.Slot(index), aRoutes.Slot(*best), aQuery.m_zone))) {
      best = index;
    }
  }
  if (best) {
    return best;
  }
  for (const Fallback fallback : kFallbacks) {
    const auto best = IsFallbackUseful(aQuery, fallback)
                        ? BestOfAll(aRoutes, aNow, aQuery, fallback, aRandom)
                        : std::nullopt;
    if (best) {
      return best;
    }
  }
  return std::nullopt;
}

} // namespace briarglade
