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

// Two servers are lost for good in every interval, and two empty ones are added
// to the domains with the fewest.
struct Attrition
{
  MovingWorld& m_world;
  Millis m_interval{ 3'000 };
  Millis m_nextAt = m_world.m_now + m_interval;
  int m_added = 0;

  std::map<std::string, int> CountUp() const
  {
    std::map<std::string, int> counts;
    for (int domain = 0; domain < m_world.m_shape.m_domains; ++domain) {
      counts["d" + std::to_string(domain)] = 0;
    }
    for (const HostId& host : m_world.m_servers.Hosts()) {
      const ServerRecord* report = m_world.m_servers.Report(host);
      if (report != nullptr) {
        ++counts[report->m_domain.Value()];
      }
    }
    return counts;
  }
  void LoseOne()
  {
    std::vector<HostId> up;
    for (const HostId& host : m_world.m_servers.Hosts()) {
      if (m_world.m_servers.IsUp(host)) {
        up.push_back(host);
      }
    }
    m_world.m_servers.Crash(up[m_world.m_random() % up.size()]);
  }
  void AddOne()
  {
    const std::map<std::string, int> counts = CountUp();
    const auto fewest = std::min_element(
      counts.begin(), counts.end(), [](const auto& aA, const auto& aB) {
        return aA.second < aB.second;
      });
    m_world.m_servers.Add(fewest->first + "n" + std::to_string(1'000 + m_added),
                          fewest->first);
    ++m_added;
  }
  void Step()
  {
    if (m_world.m_now < m_nextAt) {
      return;
    }
    m_nextAt += m_interval;
    LoseOne();
    LoseOne();
    AddOne();
    AddOne();
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

// Guards against repairs that form smaller groups from the hosts of a lost
// large one, so that each loss of a large group is permanent.
TEST_CASE("while servers are lost and added steadily, also if the holder "
          "changes, no model stays below its demand")
{
  for (const LossCase& loss : LossCases()) {
    for (uint32_t seed = 1; seed <= 6; ++seed) {
      CAPTURE(loss.m_shape.m_hosts);
      CAPTURE(seed);
      MovingWorld world(loss.m_shape);
      world.m_random.seed(seed);
      world.Run(Millis(40'000));
      world.BeginTraffic(loss.m_large, loss.m_small);
      world.Run(Millis(15'000));
      Attrition attrition{ world };
      ShortageMeter meter{ world };
      for (int tick = 0; tick < 2'400; ++tick) {
        if (seed % 2 == 0 && tick % 500 == 499) {
          world.ReplaceHolder(20 + static_cast<uint64_t>(tick));
        }
        attrition.Step();
        world.Step();
        meter.Record();
      }
      CheckShortages(meter);
      CHECK(world.m_servers.Violations().empty());
    }
  }
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

// Guards against a model whose last group is lost with a zone, and whose hosts
// form groups of the other model because those need no load.
TEST_CASE("after all servers of a zone have restarted while another one is "
          "evacuated, each model serves again")
{
  for (const LossCase& loss : LossCases()) {
    for (int restarted = 0; restarted < 3; ++restarted) {
      CAPTURE(loss.m_shape.m_hosts);
      CAPTURE(restarted);
      MovingWorld world(loss.m_shape);
      world.Run(Millis(40'000));
      world.BeginTraffic(loss.m_largeWithZoneOut, loss.m_smallWithZoneOut);
      world.Run(Millis(15'000));
      // A zone has two domains.
      const auto zone = [](int aZone, const HostId& aHost) {
        const int domain = aHost.Value()[1] - '0';
        return domain / 2 == aZone;
      };
      for (int domain = 0; domain < 2; ++domain) {
        const int evacuated = ((restarted + 1) % 3) * 2 + domain;
        world.m_zonesOut.insert(ZoneId("zone-d" + std::to_string(evacuated)));
      }
      ShortageMeter meter{ world };
      for (const HostId& host : world.m_servers.Hosts()) {
        if (zone(restarted, host)) {
          world.m_servers.Crash(host);
        }
      }
      for (int tick = 0; tick < 60; ++tick) {
        world.Step();
        meter.Record();
      }
      // The servers come back one after the other.
      int back = 0;
      std::vector<HostId> hosts = world.m_servers.Hosts();
      std::shuffle(hosts.begin(), hosts.end(), world.m_random);
      for (const HostId& host : hosts) {
        if (zone(restarted, host)) {
          world.m_servers.Restart(host);
          if (++back % 2 == 0) {
            world.Step();
            meter.Record();
          }
        }
      }
      for (int tick = 0; tick < 1'200; ++tick) {
        world.Step();
        meter.Record();
      }
      CheckShortages(meter);
      CHECK(world.m_servers.Violations().empty());
    }
  }
}

// Guards against hosts that stay with the other model until the time in which
// no move goes back has passed, although no demand has changed.
TEST_CASE("large groups that are lost for good soon after a move come back")
{
  MovingWorld world;
  world.Run(Millis(40'000));
  world.BeginTraffic(3.6, 14);
  world.Run(Millis(10'000));
  REQUIRE(world.m_endings["capacity-moved"] > 0);
  uint32_t left = 2;
  for (const auto& [id, group] : FindGroups(world.m_view, world.m_config)) {
    if (group.m_model == kLarge && IsServing(group) && left > 0) {
      --left;
      for (const HostId& host : group.m_members) {
        world.m_servers.Crash(host);
      }
    }
  }
  world.Run(Millis(1'000));
  ShortageMeter meter{ world };
  for (int tick = 0; tick < 1'200; ++tick) {
    world.Step();
    meter.Record();
  }
  MESSAGE(world.Serving(kLarge)
          << " large and " << world.Serving(kSmall) << " small groups");
  CHECK(world.Serving(kLarge) >= 3);
  CHECK(meter.m_longestWithout[kLarge] <= Millis(5'000));
  CHECK(world.m_servers.Violations().empty());
}

} // namespace
} // namespace briarglade
