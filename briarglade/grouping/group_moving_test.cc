// Tests of moves between models by the lease holder, on fake servers with
// virtual time. The demand shifts between two models; the groups must follow
// within a load time, without oscillation and without violating the rules of
// groups.

#include <algorithm>
#include <doctest/doctest.h>

#include "briarglade/grouping/moving_world_test.h"

namespace briarglade {
namespace {

TEST_CASE("before traffic, members of open groups stage the other model, so "
          "that the first correction needs no load")
{
  MovingWorld world;
  world.Run(Millis(40'000));
  CHECK(world.m_servers.StageCount() > 40);
  const size_t staged = world.m_servers.StageCount();
  // The prior gave the small model far too little.
  world.BeginTraffic(1.8, 20);
  REQUIRE(world.Served() < 0.8 * 21.8);
  const Millis time = world.RunUntilServed(0.9, Millis(60'000));
  MESSAGE("served again after " << time.Count() << " ms");
  CHECK(time <= Millis(10'000));
  CHECK(world.m_servers.StageCount() == staged);
  CHECK(world.m_servers.Violations().empty());
}

// Guards against a layout that stays as it was first guessed because the lease
// holder dies early: nothing but the reports is needed to correct it.
TEST_CASE("a new lease holder makes the first correction as fast")
{
  MovingWorld world;
  world.Run(Millis(40'000));
  world.BeginTraffic(1.8, 20);
  world.Run(Millis(1'000));
  world.ReplaceHolder(20);
  REQUIRE(world.Served() < 0.8 * 21.8);
  const Millis time = world.RunUntilServed(0.9, Millis(60'000));
  MESSAGE("served again after " << time.Count() << " ms");
  CHECK(time <= Millis(10'000));
  CHECK(world.m_servers.Violations().empty());
}

TEST_CASE("a service whose models have different stated shares stages nothing "
          "before traffic, so that restarted hosts still hold their weights")
{
  MovingWorld world;
  world.m_config.m_services.begin()->second.m_engine->m_models[0].m_share = 0.7;
  world.Run(Millis(40'000));
  CHECK(world.Serving(kLarge) > 0);
  CHECK(world.Serving(kSmall) > 0);
  CHECK(world.m_servers.StageCount() == 0);
}

TEST_CASE(
  "after a shift of demand, nine tenths of it is served within one load "
  "time plus 5 s")
{
  MovingWorld world;
  world.Run(Millis(40'000));
  world.BeginTraffic(1.8, 20);
  world.Run(Millis(60'000));
  REQUIRE(world.Served() > 0.9 * 21.8);
  const int moved = world.m_endings["capacity-moved"];
  CHECK(moved > 0);
  const CapacityStatus status = world.m_control.Capacity();
  CHECK(status.m_movesBegun > 0);
  CHECK(status.m_movesCompleted == status.m_movesBegun);
  CHECK(status.m_movesAbandoned == 0);
  CHECK(status.m_stageOrders >= world.m_servers.StageCount());
  REQUIRE(status.m_models.size() == 2);
  CHECK(status.m_models[0].m_model == kLarge);
  CHECK(status.m_models[1].m_demand == doctest::Approx(20).epsilon(0.1));
  CHECK(status.m_models[1].m_servingGroups == world.Serving(kSmall));
  CHECK(status.m_models[1].m_targetGroups >= 18);
  // Back to the large model. Its hosts hold other weights now.
  world.m_demand = { { kLarge, 6 }, { kSmall, 8 } };
  REQUIRE(world.Served() < 0.8 * 14);
  const Millis time = world.RunUntilServed(0.9, Millis(120'000));
  MESSAGE("served again after " << time.Count() << " ms");
  CHECK(time <= kLoadTime + Millis(5'000));
  // All loads stay within the platform's limit.
  CHECK(world.m_servers.MaxLoadsInWindow() <= 8 * 5 * 1.1 + 3);
  CHECK(world.m_servers.Violations().empty());
}

TEST_CASE("the same holds if no host has the other model's weights")
{
  MovingWorld world;
  world.Run(Millis(40'000));
  world.BeginTraffic(1.8, 20);
  world.Run(Millis(60'000));
  for (const auto& [id, group] : FindGroups(world.m_view, world.m_config)) {
    for (const HostId& host : group.m_members) {
      world.m_servers.ClearWeights(host);
    }
  }
  const size_t staged = world.m_servers.StageCount();
  world.m_demand = { { kLarge, 6 }, { kSmall, 8 } };
  REQUIRE(world.Served() < 0.8 * 14);
  const Millis time = world.RunUntilServed(0.9, Millis(120'000));
  MESSAGE("served again after " << time.Count() << " ms");
  CHECK(world.m_servers.StageCount() > staged);
  CHECK(time <= kLoadTime + Millis(5'000));
  CHECK(world.m_servers.MaxLoadsInWindow() <= 8 * 5 * 1.1 + 3);
  CHECK(world.m_servers.Violations().empty());
}

TEST_CASE("a steady demand that the groups serve causes no move, and demand "
          "that stays shifted causes one round of moves")
{
  MovingWorld world;
  world.Run(Millis(40'000));
  const double large = world.Serving(kLarge);
  const double small = world.Serving(kSmall);
  world.BeginTraffic(large * 0.8, small * 0.7);
  world.Run(Millis(300'000));
  CHECK(world.m_endings["capacity-moved"] == 0);
  world.m_demand = { { kLarge, 1.8 }, { kSmall, 20 } };
  world.Run(Millis(60'000));
  const int moved = world.m_endings["capacity-moved"];
  CHECK(moved > 0);
  world.Run(Millis(600'000));
  CHECK(world.m_endings["capacity-moved"] == moved);
  CHECK(world.m_servers.Violations().empty());
}

TEST_CASE("demand that swings faster than a load causes few moves")
{
  MovingWorld world;
  world.Run(Millis(40'000));
  world.BeginTraffic(1.8, 20);
  constexpr int kSwings = 60;
  for (int swing = 0; swing < kSwings; ++swing) {
    world.m_demand =
      swing % 2 == 0
        ? std::map<ModelId, double>{ { kLarge, 1.8 }, { kSmall, 20 } }
        : std::map<ModelId, double>{ { kLarge, 8 }, { kSmall, 5 } };
    world.Run(Millis(5'000));
  }
  // Five minutes. Moves away from the gaining model are at least 30 s apart.
  MESSAGE("moves: " << world.m_endings["capacity-moved"]);
  CHECK(world.m_endings["capacity-moved"] <= 30);
  CHECK(world.Serving(kLarge) >= 1);
  CHECK(world.Serving(kSmall) >= 1);
  CHECK(world.m_servers.Violations().empty());
}

TEST_CASE("no group moves while the work is unknown or there is no traffic")
{
  MovingWorld world;
  world.m_isWorkReported = false;
  world.Run(Millis(40'000));
  world.BeginTraffic(1.8, 20);
  world.Run(Millis(60'000));
  CHECK(world.m_endings["capacity-moved"] == 0);
  CHECK(world.m_plansBegun == 0);
}

TEST_CASE("when a model loses half of its groups, neither model starves")
{
  for (const ModelId& victim : { kLarge, kSmall }) {
    CAPTURE(victim.Value());
    MovingWorld world;
    world.Run(Millis(40'000));
    world.BeginTraffic(3, 12);
    world.Run(Millis(60'000));
    const uint32_t before = world.Serving(victim);
    uint32_t lost = 0;
    for (const auto& [id, group] : FindGroups(world.m_view, world.m_config)) {
      if (group.m_model == victim && IsServing(group) && lost < before / 2) {
        ++lost;
        for (const HostId& host : group.m_members) {
          world.m_servers.Crash(host);
        }
      }
    }
    world.Run(Millis(40'000));
    // What remains serves at least three quarters of each model's demand.
    CHECK(world.Serving(kLarge) >= 3 * 0.75);
    CHECK(world.Serving(kSmall) >= 12 * 0.75);
    CHECK(world.m_servers.Violations().empty());
  }
}

TEST_CASE(
  "a lease holder that dies at any moment of a move leaves one that its "
  "successor completes")
{
  for (int seconds = 1; seconds <= 24; ++seconds) {
    CAPTURE(seconds);
    MovingWorld world;
    world.Run(Millis(40'000));
    world.BeginTraffic(1.8, 20);
    world.Run(Millis(60'000));
    world.m_demand = { { kLarge, 8.5 }, { kSmall, 5 } };
    world.Run(Millis(1'000 * seconds));
    world.ReplaceHolder(20);
    world.Run(Millis(60'000));
    CHECK(world.Served() >= 0.9 * 13.5);
    CHECK(world.m_servers.MaxLoadsInWindow() <= 8 * 5 * 1.1 + 3);
    CHECK(world.m_servers.Violations().empty());
  }
}

TEST_CASE(
  "TWO and PARTIAL hold if orders are late, servers crash and the holder "
  "changes during moves")
{
  for (uint32_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    MovingWorld world;
    world.m_random.seed(seed);
    world.m_lateOrderPercent = 15;
    world.Run(Millis(60'000));
    world.BeginTraffic(1.8, 20);
    std::map<HostId, Millis> restarts;
    for (int tick = 0; tick < 4'000; ++tick) {
      if (tick % 800 == 400) {
        const bool isSmall = tick % 1'600 == 400;
        world.m_demand = { { kLarge, isSmall ? 1.8 : 8.5 },
                           { kSmall, isSmall ? 20.0 : 5.0 } };
      }
      if (tick % 900 == 899) {
        world.ReplaceHolder(20 + static_cast<uint64_t>(tick));
      }
      if (world.m_random() % 100 < 2) {
        const std::vector<HostId> hosts = world.m_servers.Hosts();
        const HostId& victim = hosts[world.m_random() % hosts.size()];
        if (restarts.count(victim) == 0) {
          world.m_servers.Crash(victim);
          restarts[victim] = world.m_now + Millis(3'000);
        }
      }
      for (auto restart = restarts.begin(); restart != restarts.end();) {
        if (restart->second <= world.m_now) {
          world.m_servers.Restart(restart->first);
          restart = restarts.erase(restart);
        } else {
          ++restart;
        }
      }
      world.Step();
    }
    CHECK(world.Serving(kLarge) >= 1);
    CHECK(world.Serving(kSmall) >= 1);
    CHECK(world.m_servers.Violations().empty());
  }
}

} // namespace
} // namespace briarglade
