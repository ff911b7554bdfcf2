// Tests of requests whose group has fallen silent or is being ended.

#include <doctest/doctest.h>
#include <iterator>
#include <random>
#include <utility>
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
  CHECK(world.InFlight("x") == 4);
  CHECK(world.InFlight("y") == 2);
  for (const RequestHandle stream : streams) {
    world.Do(AnswerProgressed{ stream });
    world.End(stream, ExchangeEnd::Whole, 200);
  }
  CHECK(world.m_passedOn.size() == streams.size());
  CHECK(world.InFlight("y") == 0);
}

// A stream at a silent group whose hedge runs at another one.
struct HedgedStream
{
  HedgedStream()
  {
    m_world.Do(BackendsChanged{ { MakeGroupLeader("x") } });
    m_stream = StartStreams(m_world, 1).front();
    m_world.Do(
      BackendsChanged{ { MakeGroupLeader("x"), MakeGroupLeader("y") } });
    m_world.Wait(Millis(550));
    REQUIRE(m_world.Sends(m_stream) == 2);
    const SendToServer& hedge = m_world.m_sent[m_stream][1];
    REQUIRE(hedge.m_server == HostId("y"));
    REQUIRE(hedge.m_role == ExchangeRole::Hedge);
    REQUIRE(m_world.m_cancelled.empty());
  }

  bool IsPassedOn() const { return m_world.m_passedOn.count(m_stream) > 0; }

  World m_world;
  RequestHandle m_stream;
};

TEST_CASE("a stream of a silent group goes on at another one once that one "
          "delivers")
{
  HedgedStream hedged;
  World& world = hedged.m_world;
  world.Do(AnswerProgressed{ hedged.m_stream, ExchangeRole::Hedge });
  CHECK(world.m_promoted == std::vector<RequestHandle>{ hedged.m_stream });
  CHECK(world.InFlight("x") == 0);
  CHECK(world.InFlight("y") == 1);
  world.End(hedged.m_stream, ExchangeEnd::Whole, 200);
  CHECK(hedged.IsPassedOn());
  CHECK(world.m_answered.empty());
  CHECK(world.InFlight("y") == 0);
}

TEST_CASE("a silent group that delivers first keeps its stream")
{
  HedgedStream hedged;
  World& world = hedged.m_world;
  world.Do(AnswerProgressed{ hedged.m_stream });
  CHECK(world.m_dropped == std::vector<RequestHandle>{ hedged.m_stream });
  CHECK(world.InFlight("x") == 1);
  CHECK(world.InFlight("y") == 0);
  world.End(hedged.m_stream, ExchangeEnd::Whole, 200);
  CHECK(hedged.IsPassedOn());
}

TEST_CASE("LOST: the server that a stream is to move to refuses it, and the "
          "stream is cut though its first server still runs")
{
  constexpr std::pair<ExchangeEnd, uint16_t> kFailures[] = {
    { ExchangeEnd::RefusedByServer, 503 },
    { ExchangeEnd::ConnectRefused, 0 },
    { ExchangeEnd::Truncated, 500 },
    { ExchangeEnd::WrongAnswer, 200 },
    { ExchangeEnd::Timeout, 0 }
  };
  for (const auto& [end, status] : kFailures) {
    HedgedStream hedged;
    World& world = hedged.m_world;
    world.End(hedged.m_stream, end, status, ExchangeRole::Hedge);
    world.Wait(Millis(200));
    CHECK(world.m_answered.empty());
    CHECK(world.m_cancelled.empty());
    CHECK(world.InFlight("x") == 1);
    CHECK(world.InFlight("y") == 0);
    world.End(hedged.m_stream, ExchangeEnd::Whole, 200);
    CHECK(hedged.IsPassedOn());
  }
}

TEST_CASE("ORDER: a hedge that ends without an event completes a stream whose "
          "first server still runs")
{
  HedgedStream hedged;
  World& world = hedged.m_world;
  world.End(hedged.m_stream, ExchangeEnd::Whole, 200, ExchangeRole::Hedge);
  CHECK_FALSE(hedged.IsPassedOn());
  CHECK(world.InFlight("x") == 1);
  world.End(hedged.m_stream, ExchangeEnd::Whole, 200);
  CHECK(hedged.IsPassedOn());
}

TEST_CASE("when a silent group breaks, its streams go on in the hedges that "
          "they have, without another send")
{
  HedgedStream hedged;
  World& world = hedged.m_world;
  world.End(hedged.m_stream, ExchangeEnd::Truncated, 200);
  CHECK(world.m_promoted == std::vector<RequestHandle>{ hedged.m_stream });
  CHECK(world.Sends(hedged.m_stream) == 2);
  CHECK(world.InFlight("x") == 0);
  world.Do(AnswerProgressed{ hedged.m_stream });
  world.End(hedged.m_stream, ExchangeEnd::Whole, 200);
  CHECK(hedged.IsPassedOn());
}

TEST_CASE("both exchanges of a hedged request end when its caller leaves")
{
  HedgedStream hedged;
  World& world = hedged.m_world;
  world.Do(CallerLeft{ hedged.m_stream });
  CHECK(world.m_dropped == std::vector<RequestHandle>{ hedged.m_stream });
  CHECK(world.m_cancelled == std::vector<RequestHandle>{ hedged.m_stream });
  world.End(hedged.m_stream, ExchangeEnd::Cancelled);
  CHECK(world.m_state.m_requests.empty());
  CHECK(world.InFlight("x") + world.InFlight("y") == 0);
}

TEST_CASE("streams of a group that is ended are hedged at once, also those "
          "whose answer has not begun")
{
  World world;
  world.Do(BackendsChanged{ { MakeGroupLeader("x") } });
  const RequestHandle stream = world.Arrive(RouteKind::Stream);
  world.Do(BackendsChanged{ { MakeGroupLeader("y") } });
  world.Do(GroupsEnded{ { GroupId("group-x") } });
  REQUIRE(world.Sends(stream) == 2);
  CHECK(world.m_sent[stream][1].m_server == HostId("y"));
  CHECK(world.m_cancelled.empty());
  world.End(stream, ExchangeEnd::Whole, 404, ExchangeRole::Hedge);
  CHECK(world.m_passedOn.count(stream) == 1);
  CHECK(world.InFlight("x") + world.InFlight("y") == 0);
}

TEST_CASE("no stream is hedged that may not be sent once more")
{
  World world;
  world.Do(BackendsChanged{ { MakeGroupLeader("x") } });
  const RequestHandle single = world.Arrive(RouteKind::Stream, 1);
  world.Do(AnswerProgressed{ single });
  world.Do(BackendsChanged{ { MakeGroupLeader("x"), MakeGroupLeader("y") } });
  world.Wait(Millis(550));
  CHECK(world.Sends(single) == 1);
}

TEST_CASE("LOST: over random silences and ends, no stream is cut whose server "
          "still runs it, and no place stays taken")
{
  constexpr ExchangeEnd kEnds[] = { ExchangeEnd::Whole,
                                    ExchangeEnd::ConnectRefused,
                                    ExchangeEnd::RefusedByServer,
                                    ExchangeEnd::ResetBeforeAnswer,
                                    ExchangeEnd::Truncated };
  std::mt19937 random(20261205);
  World world;
  world.m_timeout = Millis(1'400);
  world.Do(BackendsChanged{
    { MakeGroupLeader("x"), MakeGroupLeader("y"), MakeGroupLeader("z") } });
  size_t hedges = 0;
  for (int i = 0; i < 20'000; ++i) {
    world.Wait(Millis(50));
    if (random() % 4 == 0) {
      world.Arrive(RouteKind::Stream, 1 + random() % 3);
    }
    std::vector<RequestHandle> running;
    for (const auto& [handle, request] : world.m_state.m_requests) {
      if (request.m_phase == GatewayPhase::Running) {
        running.push_back(handle);
      }
    }
    const bool isSilent = random() % 4 != 0;
    if (isSilent || running.empty()) {
      continue;
    }
    const RequestHandle handle = running[random() % running.size()];
    const bool isHedged =
      world.m_state.m_requests.at(handle).m_hedge.has_value();
    hedges += isHedged ? 1 : 0;
    const ExchangeRole role = isHedged && random() % 2 == 0
                                ? ExchangeRole::Hedge
                                : ExchangeRole::Primary;
    if (random() % 3 == 0) {
      world.Do(AnswerProgressed{ handle, role });
      continue;
    }
    const ExchangeEnd end = kEnds[random() % std::size(kEnds)];
    const uint16_t status = end == ExchangeEnd::Whole ? 200 : 503;
    world.End(handle, end, status, role);
    const bool runsOn = isHedged && end != ExchangeEnd::Whole;
    CHECK_FALSE((runsOn && world.m_answered.count(handle) > 0));
    CHECK(world.m_cancelled.empty());
    CHECK((world.m_passedOn.count(handle) == 0 ||
           world.m_answered.count(handle) == 0));
  }
  CHECK(hedges > 100);
  size_t inFlight = 0;
  for (const auto& [handle, request] : world.m_state.m_requests) {
    const bool isRunning = request.m_phase == GatewayPhase::Running;
    inFlight += (isRunning ? 1 : 0) + (request.m_hedge ? 1 : 0);
  }
  CHECK(world.InFlight("x") + world.InFlight("y") + world.InFlight("z") ==
        inFlight);
}

} // namespace
} // namespace briarglade
