// Tests of repairs while servers are lost, on fake servers with virtual time.
// Hosts of lost groups must not all go over to the model with smaller groups,
// which is quicker to repair: the other model then stays below its demand,
// although the hosts suffice for both.

#include <doctest/doctest.h>

#include "briarglade/grouping/moving_world_test.h"

namespace briarglade {
namespace {

// The longest time that a model may be below its demand: a load and 5 s.
constexpr Millis kLongestShortage = kLoadTime + Millis(5'000);

// Records for how long each model has less than its demand, or no group.
struct ShortageMeter
{
  const MovingWorld& m_world;
  std::map<ModelId, Millis> m_short = {};
  std::map<ModelId, Millis> m_longestShort = {};
  std::map<ModelId, Millis> m_without = {};
  std::map<ModelId, Millis> m_longestWithout = {};
  Millis m_total = {};
  Millis m_totalShort = {};

  static void Add(Millis& aTime, Millis& aLongest, bool aIsMissing)
  {
    aTime = aIsMissing ? aTime + kTick : Millis();
    aLongest = std::max(aLongest, aTime);
  }
  void Record()
  {
    m_total += kTick;
    for (const auto& [model, demand] : m_world.m_demand) {
      const uint32_t serving = m_world.Serving(model);
      Add(m_short[model], m_longestShort[model], serving < demand);
      Add(m_without[model], m_longestWithout[model], serving == 0);
      m_totalShort += serving < demand ? kTick : Millis();
    }
  }
};

// A world with large groups, in which few domains hold many hosts.
struct LossCase
{
  WorldShape m_shape;
  double m_large = 0;
  double m_small = 0;
  // The demand while one of three zones is out.
  double m_largeWithZoneOut = 0;
  double m_smallWithZoneOut = 0;
};

std::vector<LossCase> LossCases()
{
  return { { { 6, 37, 16, 4, 8, 4, 20 }, 5, 14, 3, 9 },
           { { 6, 27, 12, 6, 8, 4, 20 }, 2.5, 7.5, 2.5, 7.5 } };
}

void CheckShortages(const ShortageMeter& aMeter)
{
  for (const ModelId& model : { kLarge, kSmall }) {
    CAPTURE(model.Value());
    const auto shortage = aMeter.m_longestShort.find(model)->second;
    const auto without = aMeter.m_longestWithout.find(model)->second;
    MESSAGE(model.Value() << " below its demand for at most "
                          << shortage.Count() << " ms, without a group for "
                          << without.Count() << " ms");
    CHECK(shortage <= kLongestShortage);
    CHECK(without <= Millis(5'000));
  }
  MESSAGE("share of time below demand: "
          << static_cast<double>(aMeter.m_totalShort.Count()) /
               static_cast<double>(2 * aMeter.m_total.Count()));
}

// Guards against groups that count as capacity although callers are no longer
// sent to their zone.
TEST_CASE("after a zone has been evacuated, no model stays below its demand")
{
  for (const LossCase& loss : LossCases()) {
    for (int zone = 0; zone < 3; ++zone) {
      CAPTURE(loss.m_shape.m_hosts);
      CAPTURE(zone);
      MovingWorld world(loss.m_shape);
      world.Run(Millis(40'000));
      world.BeginTraffic(loss.m_largeWithZoneOut, loss.m_smallWithZoneOut);
      world.Run(Millis(15'000));
      // A zone has two domains.
      for (int domain = zone * 2; domain < zone * 2 + 2; ++domain) {
        world.m_zonesOut.insert(ZoneId("zone-d" + std::to_string(domain)));
      }
      ShortageMeter meter{ world };
      for (int tick = 0; tick < 1'200; ++tick) {
        world.Step();
        meter.Record();
      }
      CheckShortages(meter);
      CHECK(world.m_servers.Violations().empty());
    }
  }
}

} // namespace
} // namespace briarglade
