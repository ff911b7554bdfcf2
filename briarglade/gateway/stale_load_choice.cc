// Chooses among backends whose loads are known with a delay.

#include "briarglade/gateway/stale_load_choice.h"

#include <algorithm>

namespace briarglade {

double FillLevel(std::vector<double> aCosts, double aRequests)
{
  std::sort(aCosts.begin(), aCosts.end());
  double level = aCosts.front() + aRequests;
  double sum = aCosts.front();
  for (size_t filled = 1; filled < aCosts.size() && aCosts[filled] < level;
       ++filled) {
    sum += aCosts[filled];
    level = (sum + aRequests) / static_cast<double>(filled + 1);
  }
  return level;
}

size_t ChooseByStaleLoad(const std::vector<double>& aCosts,
                         double aUnreportedRequests,
                         double aDraw)
{
  const double level = FillLevel(aCosts, aUnreportedRequests);
  double left = aDraw * aUnreportedRequests;
  for (size_t i = 0; i < aCosts.size(); ++i) {
    const double share = std::max(0.0, level - aCosts[i]);
    if (left < share) {
      return i;
    }
    left -= share;
  }
  const auto lowest = std::min_element(aCosts.begin(), aCosts.end());
  return static_cast<size_t>(lowest - aCosts.begin());
}

} // namespace briarglade
