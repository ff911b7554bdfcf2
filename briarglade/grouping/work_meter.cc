// Exponential smoothing of arrivals.

#include "briarglade/grouping/work_meter.h"

#include <algorithm>
#include <cmath>

namespace briarglade {

namespace {

// Time constant of the smoothing: the weight of a request falls to 1/e after
// this time.
constexpr double kTimeConstantMillis = 3'000;
constexpr double kMillisPerSecond = 1'000;
// No rates are stated before requests have arrived for this long: the first few
// requests do not show the shares of the models.
constexpr Millis kShortestMeasurement = Millis(2'000);
// A model with fewer requests per second than this is left out.
constexpr double kNegligibleRate = 0.001;

double WeightAfter(Millis aAge)
{
  return std::exp(-static_cast<double>(std::max<int64_t>(0, aAge.Count())) /
                  kTimeConstantMillis);
}

ModelWork Scale(const ModelWork& aWork, double aFactor)
{
  return ModelWork{ aWork.m_requests * aFactor,
                    aWork.m_promptTokens * aFactor,
                    aWork.m_answerTokens * aFactor };
}

} // namespace

void WorkMeter::Record(Millis aNow,
                       const ModelId& aModel,
                       double aPromptTokens,
                       double aAnswerTokens)
{
  if (m_since < Millis()) {
    m_since = aNow;
  }
  Entry& entry = m_entries[aModel];
  entry.m_sum = Scale(entry.m_sum, WeightAfter(aNow - entry.m_at));
  entry.m_sum += ModelWork{ 1, aPromptTokens, aAnswerTokens };
  entry.m_at = aNow;
}

WorkByModel WorkMeter::Rates(Millis aNow) const
{
  WorkByModel rates;
  if (m_since < Millis() || aNow - m_since < kShortestMeasurement) {
    return rates;
  }
  const double covered =
    kTimeConstantMillis * (1 - WeightAfter(aNow - m_since));
  const double seconds = covered / kMillisPerSecond;
  for (const auto& [model, entry] : m_entries) {
    const ModelWork rate =
      Scale(entry.m_sum, WeightAfter(aNow - entry.m_at) / seconds);
    if (rate.m_requests >= kNegligibleRate) {
      rates.emplace(model, rate);
    }
  }
  return rates;
}

} // namespace briarglade
