// A histogram of latencies on a logarithmic axis, from 0.05 ms to 200 s.

#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstdint>
#include <tuple>
#include <vector>

namespace briarglade {

class LatencyHistogram
{
public:
  LatencyHistogram();

  // Adds one latency, in milliseconds.
  void Add(double aMillis);
  uint64_t Count() const { return m_count; }
  double Sum() const { return m_sum; }
  // Returns the upper edge of the bin that holds the quantile, in milliseconds.
  double Quantile(double aShare) const;

  // The number of observations up to an upper edge, in milliseconds.
  struct Bucket
  {
    double m_upperEdge;
    uint64_t m_cumulative;
  };
  std::vector<Bucket> Buckets() const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<uint32_t>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> m_histogram;
  uint64_t m_count = 0;
  double m_sum = 0;
};

} // namespace briarglade
