// Boost.Histogram behind the latency histogram.

#include "briarglade/telemetry/latency_histogram.h"

namespace briarglade {

namespace {

constexpr unsigned kBins = 48;
constexpr double kLowestMillis = 0.05;
constexpr double kHighestMillis = 200'000;

} // namespace

LatencyHistogram::LatencyHistogram()
  : m_histogram(boost::histogram::make_histogram_with(
      Storage(),
      Axis(kBins, kLowestMillis, kHighestMillis)))
{
}

void LatencyHistogram::Add(double aMillis)
{
  m_histogram(aMillis);
  ++m_count;
  m_sum += aMillis;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::Buckets() const
{
  std::vector<Bucket> buckets;
  uint64_t cumulative = 0;
  // Index -1 is the underflow bin; its upper edge is the lowest one.
  for (int i = -1; i < static_cast<int>(kBins); ++i) {
    cumulative += m_histogram.at(i);
    buckets.push_back(Bucket{ m_histogram.axis().value(i + 1), cumulative });
  }
  return buckets;
}

double LatencyHistogram::Quantile(double aShare) const
{
  const auto wanted = static_cast<double>(m_count) * aShare;
  for (const Bucket& bucket : Buckets()) {
    if (static_cast<double>(bucket.m_cumulative) >= wanted) {
      return bucket.m_upperEdge;
    }
  }
  return kHighestMillis;
}

} // namespace briarglade
