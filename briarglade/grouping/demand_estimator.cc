// Exponential smoothing of request counts.

#include "briarglade/grouping/demand_estimator.h"

#include <algorithm>
#include <cmath>

namespace briarglade {

namespace {

// Time constant of the smoothing, in milliseconds: the weight of an observation
// falls to 1/e after this time.
constexpr double kTimeConstantMillis = 3'000;

} // namespace

void DemandEstimator::RecordRequests(Millis aNow,
                                     const std::map<ModelId, double>& aRequests)
{
  const auto elapsed = static_cast<double>((aNow - m_recordedAt).Count());
  const double weight =
    1 - std::exp(-std::max(0.0, elapsed) / kTimeConstantMillis);
  m_recordedAt = aNow;
  for (const auto& [model, requests] : aRequests) {
    if (requests > 0) {
      m_smoothed.try_emplace(model, requests);
    }
  }
  for (auto& [model, smoothed] : m_smoothed) {
    const auto found = aRequests.find(model);
    const double requests = found == aRequests.end() ? 0 : found->second;
    smoothed += (requests - smoothed) * weight;
  }
}

} // namespace briarglade
