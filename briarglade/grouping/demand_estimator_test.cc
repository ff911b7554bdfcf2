// Tests of the smoothed request counts.

#include "briarglade/grouping/demand_estimator.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

const ModelId kA("a");
const ModelId kB("b");

TEST_CASE("the estimate follows shifting traffic within some seconds")
{
  DemandEstimator pressure;
  CHECK(pressure.Demand().empty());
  Millis now(1'000);
  const auto run = [&](double aA, double aB, Millis aTime) {
    for (Millis passed; passed < aTime; passed += Millis(50)) {
      now += Millis(50);
      pressure.RecordRequests(now, { { kA, aA }, { kB, aB } });
    }
  };
  run(60, 20, Millis(1'000));
  CHECK(pressure.Demand().at(kA) == doctest::Approx(60));
  run(20, 60, Millis(1'000));
  CHECK(pressure.Demand().at(kA) > 40);
  run(20, 60, Millis(12'000));
  CHECK(pressure.Demand().at(kA) == doctest::Approx(20).epsilon(0.1));
  CHECK(pressure.Demand().at(kB) == doctest::Approx(60).epsilon(0.1));
}

TEST_CASE("the estimate of a model without requests decays")
{
  DemandEstimator pressure;
  pressure.RecordRequests(Millis(1'000), { { kA, 10 } });
  pressure.RecordRequests(Millis(21'000), {});
  CHECK(pressure.Demand().at(kA) < 0.1);
}

} // namespace
} // namespace briarglade
