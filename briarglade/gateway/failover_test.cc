// Tests of requests whose group has fallen silent or is being ended.

#include <doctest/doctest.h>
#include <vector>

#include "briarglade/gateway/gateway_world_test.h"

namespace briarglade {
namespace {

// Starts streams at the only group, which then falls silent.
std::vector<RequestHandle> StartStreams(World& aWorld, size_t aCount)
{
  std::vector<RequestHandle> streams;
  for (size_t i = 0; i < aCount; ++i) {
    streams.push_back(aWorld.Arrive(RouteKind::Stream));
    aWorld.Do(AnswerProgressed{ streams.back() });
  }
  return streams;
}

TEST_CASE("LOST: a silent group has more streams than there is room elsewhere, "
          "and those without a place are cut though their server still runs")
{
  World world;
  world.m_timeout = Millis(5'000);
  world.Do(BackendsChanged{ { MakeGroupLeader("x") } });
  const std::vector<RequestHandle> streams = StartStreams(world, 4);
  Backend small = MakeGroupLeader("y");
  small.m_slots = 1;
  world.Do(BackendsChanged{ { MakeGroupLeader("x"), small } });
  for (int step = 0; step < 20; ++step) {
    world.Wait(Millis(50));
    world.EndCancelled();
  }
  CHECK(world.m_answered.empty());
}

} // namespace
} // namespace briarglade
