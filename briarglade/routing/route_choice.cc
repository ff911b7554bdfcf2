// Choosing a group by prefix affinity and estimated load.

#include "briarglade/routing/route_choice.h"

#include <algorithm>

#include "briarglade/routing/route_book.h"

namespace briarglade {

namespace {

// Groups drawn at random, of which the least loaded is taken.
constexpr uint32_t kSamples = 3;
// A group named by prefix affinity may carry this much more than the mean load,
// in parts of the mean, and a few requests on top.
constexpr double kAffinityFactor = 1.25;
constexpr double kAffinityExtra = 1.0;

// Mixes a group's key with a request's prefix (the finalizer of MurmurHash3).
uint64_t Mix(uint64_t aValue)
{
  aValue ^= aValue >> 33;
  aValue *= 0xff51afd7ed558ccdULL;
  aValue ^= aValue >> 33;
  aValue *= 0xc4ceb9fe1a85ec53ULL;
  aValue ^= aValue >> 33;
  return aValue;
}

bool IsTried(const RouteQuestion& aQuestion, uint32_t aSlot)
{
  const std::vector<uint32_t>* tried = aQuestion.m_tried;
  return tried != nullptr &&
         std::find(tried->begin(), tried->end(), aSlot) != tried->end();
}

// Tells whether the request should rather go elsewhere because of its earlier
// attempts.
bool IsAvoided(const RouteBook& aBook,
               const RouteQuestion& aQuestion,
               uint32_t aSlot)
{
  const ZoneId& avoided = aQuestion.m_avoidZone;
  return (!avoided.IsEmpty() && aBook.Slot(aSlot).m_route.m_zone == avoided) ||
         IsTried(aQuestion, aSlot);
}

// What a choice may fall back on when the better groups have no room.
enum class Allow
{
  NothingAvoided,
  AvoidedZone,
  Everything
};

bool IsAllowed(const RouteBook& aBook,
               const RouteQuestion& aQuestion,
               uint32_t aSlot,
               Allow aAllow)
{
  switch (aAllow) {
    case Allow::NothingAvoided:
      return !IsAvoided(aBook, aQuestion, aSlot);
    case Allow::AvoidedZone:
      return !IsTried(aQuestion, aSlot);
    case Allow::Everything:
      return true;
  }
  return true;
}

bool HasRoom(const RouteSlot& aSlot, Millis aNow, bool aMayUseShare)
{
  if (aSlot.m_ejectedUntil > aNow || aSlot.m_inFlight >= aSlot.m_admission) {
    return false;
  }
  return (aSlot.m_inFlight < aSlot.m_allowance &&
          aSlot.Load() < aSlot.m_route.m_requestLimit) ||
         (aMayUseShare && aSlot.m_inFlight < aSlot.m_share);
}

// How full a group would be with one more request. For a cold group the node's
// own small limit counts.
double Fullness(const RouteSlot& aSlot)
{
  const double whole =
    (aSlot.ExpectedLoad() + 1.0) / aSlot.m_route.m_requestLimit;
  const double own = (aSlot.m_inFlight + 1.0) / aSlot.m_admission;
  return std::max(whole, own);
}

// Tells whether the first group is the better one.
bool IsBetter(const RouteSlot& aA, const RouteSlot& aB, const ZoneId& aZone)
{
  const double fullA = Fullness(aA);
  const double fullB = Fullness(aB);
  if (fullA != fullB) {
    return fullA < fullB;
  }
  return aA.m_route.m_zone == aZone && aB.m_route.m_zone != aZone;
}

// Returns the open slot that rendezvous hashing names for the prefix.
uint32_t AffineSlot(const RouteBook& aBook,
                    const std::vector<uint32_t>& aOpen,
                    uint64_t aPrefix)
{
  uint32_t best = aOpen.front();
  uint64_t bestWeight = 0;
  for (const uint32_t index : aOpen) {
    const uint64_t weight = Mix(aBook.Slot(index).m_hash ^ aPrefix);
    if (weight >= bestWeight) {
      best = index;
      bestWeight = weight;
    }
  }
  return best;
}

bool IsWithinBound(const RouteSlot& aSlot, const TargetRoutes& aTarget)
{
  const double mean =
    static_cast<double>(aTarget.m_load) / static_cast<double>(aTarget.m_limit);
  const double allowed =
    mean * kAffinityFactor * aSlot.m_route.m_requestLimit + kAffinityExtra;
  return aSlot.Load() < allowed;
}

// Returns the best of all slots with room, with a random one first in order so
// that nodes don't agree on ties.
std::optional<uint32_t> BestOfAll(const RouteBook& aBook,
                                  Millis aNow,
                                  const RouteQuestion& aQuestion,
                                  Allow aAllow,
                                  RandomEngine& aRandom)
{
  const std::vector<uint32_t>& open = aBook.Target(aQuestion.m_target).m_open;
  const size_t offset = aRandom() % open.size();
  std::optional<uint32_t> best;
  for (size_t i = 0; i < open.size(); ++i) {
    const uint32_t index = open[(i + offset) % open.size()];
    const RouteSlot& slot = aBook.Slot(index);
    if (!HasRoom(slot, aNow, aQuestion.m_mayUseShare) ||
        !IsAllowed(aBook, aQuestion, index, aAllow)) {
      continue;
    }
    if (!best || IsBetter(slot, aBook.Slot(*best), aQuestion.m_zone)) {
      best = index;
    }
  }
  return best;
}

// The fallbacks, strictest first.
constexpr Allow kFallbacks[] = { Allow::NothingAvoided,
                                 Allow::AvoidedZone,
                                 Allow::Everything };

// Tells whether a fallback could name another group than the strictest one.
bool IsUseful(const RouteQuestion& aQuestion, Allow aAllow)
{
  const bool isFirst =
    aQuestion.m_tried == nullptr || aQuestion.m_tried->empty();
  return !isFirst || aAllow == Allow::NothingAvoided;
}

} // namespace

std::optional<uint32_t> ChooseRoute(const RouteBook& aBook,
                                    Millis aNow,
                                    const RouteQuestion& aQuestion,
                                    RandomEngine& aRandom)
{
  const TargetRoutes& target = aBook.Target(aQuestion.m_target);
  const std::vector<uint32_t>& open = target.m_open;
  if (open.empty()) {
    return std::nullopt;
  }
  const auto isUsable = [&](uint32_t aSlot) {
    return HasRoom(aBook.Slot(aSlot), aNow, aQuestion.m_mayUseShare) &&
           !IsAvoided(aBook, aQuestion, aSlot);
  };
  if (aQuestion.m_prefixHash != 0) {
    const uint32_t affine = AffineSlot(aBook, open, aQuestion.m_prefixHash);
    if (isUsable(affine) && IsWithinBound(aBook.Slot(affine), target)) {
      return affine;
    }
  }
  std::optional<uint32_t> best;
  for (uint32_t sample = 0; sample < kSamples; ++sample) {
    const uint32_t index = open[aRandom() % open.size()];
    if (isUsable(index) &&
        (!best ||
         IsBetter(aBook.Slot(index), aBook.Slot(*best), aQuestion.m_zone))) {
      best = index;
    }
  }
  if (best) {
    return best;
  }
  for (const Allow allow : kFallbacks) {
    const auto best = IsUseful(aQuestion, allow)
                        ? BestOfAll(aBook, aNow, aQuestion, allow, aRandom)
                        : std::nullopt;
    if (best) {
      return best;
    }
  }
  return std::nullopt;
}

} // namespace briarglade
