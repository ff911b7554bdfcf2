// Computes the weights of the node addresses that callers receive.

#include "briarglade/routing/address_list.h"

#include <algorithm>

namespace briarglade {

namespace {

// How long callers may cache the answer.
constexpr Millis kLifetime = Millis(10'000);
// The same while a node is omitted, because it may return soon.
constexpr Millis kShortLifetime = Millis(2'000);
// Bounds of a weight, because loads are out of date by the time callers act on
// them.
constexpr uint32_t kMinWeight = 50;
constexpr uint32_t kMaxWeight = 150;

double MeanInFlight(const std::vector<AddressCandidate>& aCandidates)
{
  uint64_t sum = 0;
  uint64_t count = 0;
  for (const AddressCandidate& candidate : aCandidates) {
    if (candidate.m_confirmed && !candidate.m_leaving && candidate.m_inFlight) {
      sum += *candidate.m_inFlight;
      ++count;
    }
  }
  return count == 0 ? 0 : static_cast<double>(sum) / static_cast<double>(count);
}

uint32_t WeightOf(const AddressCandidate& aCandidate, double aMean)
{
  if (aCandidate.m_leaving) {
    return 0;
  }
  if (!aCandidate.m_inFlight || aMean == 0) {
    return kMeanAddressWeight;
  }
  const double relativeExcess = *aCandidate.m_inFlight / aMean - 1;
  const double weight = kMeanAddressWeight * (1 - relativeExcess);
  return static_cast<uint32_t>(std::clamp(
    weight, static_cast<double>(kMinWeight), static_cast<double>(kMaxWeight)));
}

} // namespace

AddressList BuildAddressList(const std::vector<AddressCandidate>& aCandidates)
{
  const double mean = MeanInFlight(aCandidates);
  AddressList list;
  for (const AddressCandidate& candidate : aCandidates) {
    if (candidate.m_confirmed) {
      list.m_entries.push_back(AddressEntry{ candidate.m_node,
                                             candidate.m_endpoint,
                                             candidate.m_zone,
                                             WeightOf(candidate, mean) });
    }
  }
  std::stable_partition(
    list.m_entries.begin(),
    list.m_entries.end(),
    [](const AddressEntry& aEntry) { return aEntry.m_weight > 0; });
  const bool isComplete = list.m_entries.size() == aCandidates.size();
  list.m_lifetime = isComplete ? kLifetime : kShortLifetime;
  return list;
}

} // namespace briarglade
