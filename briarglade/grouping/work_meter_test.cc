// Tests of the measurement of requested work.

#include "briarglade/grouping/work_meter.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

// Records one request every aPeriod from aFrom until aTo.
void Feed(WorkMeter& aMeter,
          const char* aModel,
          Millis aFrom,
          Millis aTo,
          Millis aPeriod)
{
  for (Millis now = aFrom; now < aTo; now += aPeriod) {
    aMeter.Record(now, ModelId(aModel), 100, 40);
  }
}

TEST_CASE(
  "a steady rate is measured within 5 %, once requests have arrived for 2 s")
{
  WorkMeter meter;
  CHECK(meter.Rates(Millis(5'000)).empty());
  Feed(meter, "a", Millis(10'000), Millis(12'000), Millis(20));
  // Fewer seconds of requests do not show the shares of the models yet.
  CHECK(meter.Rates(Millis(11'999)).empty());
  CHECK(meter.Rates(Millis(12'000))[ModelId("a")].m_requests ==
        doctest::Approx(50).epsilon(0.05));
  Feed(meter, "a", Millis(12'000), Millis(30'000), Millis(20));
  const ModelWork work = meter.Rates(Millis(30'000))[ModelId("a")];
  CHECK(work.m_requests == doctest::Approx(50).epsilon(0.05));
  CHECK(work.m_promptTokens == doctest::Approx(5'000).epsilon(0.05));
  CHECK(work.m_answerTokens == doctest::Approx(2'000).epsilon(0.05));
}

TEST_CASE("a shift between models shows within the smoothing time")
{
  WorkMeter meter;
  Feed(meter, "a", Millis(0), Millis(20'000), Millis(10));
  Feed(meter, "b", Millis(20'000), Millis(23'000), Millis(10));
  const WorkByModel rates = meter.Rates(Millis(23'000));
  CHECK(rates.at(ModelId("a")).m_requests < 40);
  CHECK(rates.at(ModelId("b")).m_requests > 60);
  // A model without requests disappears.
  CHECK(meter.Rates(Millis(90'000)).empty());
}

} // namespace
} // namespace briarglade
