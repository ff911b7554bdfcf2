// Tests of the gateway's decisions with virtual time.

#include "briarglade/gateway/gateway.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

#include "briarglade/gateway/gateway_world_test.h"

namespace briarglade {
namespace {

TEST_CASE("a server that turns a request away and says for how long gets "
          "nothing until then; others do at once")
{
  World world;
  world.Do(BackendsChanged{ { MakeServer("x", 100), MakeServer("y", 100) } });
  const Millis pause = Millis(4'000);
  const RequestHandle first = world.Arrive(RouteKind::Idempotent, 1);
  const HostId busy = world.m_sent[first][0].m_server;
  world.RefuseFor(first, pause);
  REQUIRE(world.Sends(first) == 2);
  const Millis until = world.m_now + pause;
  while (world.m_now + Millis(50) < until) {
    world.Wait(Millis(50));
    const RequestHandle next = world.Arrive(RouteKind::Idempotent, 1);
    REQUIRE(world.Sends(next) == 1);
    CHECK(world.m_sent[next][0].m_server != busy);
    world.End(next, ExchangeEnd::Whole, 200);
  }
  world.Wait(Millis(100));
  bool isUsedAgain = false;
  for (int i = 0; i < 50; ++i) {
    const RequestHandle next = world.Arrive(RouteKind::Idempotent, 1);
    isUsedAgain = isUsedAgain || world.m_sent[next][0].m_server == busy;
  }
  CHECK(isUsedAgain);
}

TEST_CASE("while every server has asked for a pause, callers are told at once "
          "when it ends")
{
  World world;
  world.Do(BackendsChanged{ { MakeServer("x") } });
  const RequestHandle first = world.Arrive(RouteKind::Idempotent, 1);
  world.RefuseFor(first, Millis(4'000));
  world.Wait(Millis(1'000));
  const RequestHandle next = world.Arrive(RouteKind::Idempotent, 1);
  CHECK(world.Sends(next) == 0);
  REQUIRE(world.m_answered.count(next) == 1);
  CHECK(world.m_answered[next].m_code == ResultCode::NoCapacity);
  CHECK(world.m_answered[next].m_retryAfter == Millis(3'000));
}

TEST_CASE("a pause that a server asked for holds also for the next group that "
          "it leads")
{
  World world;
  world.Do(BackendsChanged{ { MakeGroupLeader("x") } });
  const RequestHandle first = world.Arrive(RouteKind::Stream, 1);
  world.RefuseFor(first, Millis(2'000));
  Backend next = MakeGroupLeader("x");
  next.m_group = GroupId("another");
  world.Do(BackendsChanged{ { next } });
  world.Wait(Millis(1'000));
  CHECK(world.Sends(world.Arrive(RouteKind::Stream, 1)) == 0);
}

TEST_CASE("a server's word that it leaves is told with the run that was asked")
{
  World world;
  Backend server = MakeServer("x");
  server.m_run = BootId("1");
  world.Do(BackendsChanged{ { server } });
  const RequestHandle request = world.Arrive(RouteKind::Idempotent, 1);
  server.m_run = BootId("2");
  world.Do(BackendsChanged{ { server } });
  world.Do(ServerLeaving{ request });
  REQUIRE(world.m_leaving.size() == 1);
  CHECK(world.m_leaving[0].m_server == HostId("x"));
  CHECK(world.m_leaving[0].m_run == BootId("1"));
}

TEST_CASE("a request is sent, and its whole answer passed on")
{
  World world;
  world.Do(BackendsChanged{ { MakeServer("x") } });
  const RequestHandle request = world.Arrive(RouteKind::Idempotent);
  REQUIRE(world.Sends(request) == 1);
  CHECK(world.m_sent[request][0].m_server == HostId("x"));
  world.End(request, ExchangeEnd::Whole, 200);
  CHECK(world.m_passedOn[request]);
  CHECK(world.m_state.m_requests.empty());
}

TEST_CASE("a non-idempotent request is sent again only if it certainly "
          "did not run")
{
  struct Case
  {
    ExchangeEnd m_end;
    uint16_t m_status;
    bool m_isSentAgain;
    // How the caller is told if there is no other server.
    ResultCode m_code;
  };
  const Case cases[] = {
    { ExchangeEnd::ConnectRefused, 0, true, ResultCode::BackendRefused },
    { ExchangeEnd::ResetBeforeSend, 0, true, ResultCode::BackendRefused },
    { ExchangeEnd::RefusedByServer, 503, true, ResultCode::BackendRefused },
    { ExchangeEnd::RefusedByServer, 200, false, ResultCode::OutcomeUnknown },
    { ExchangeEnd::ResetBeforeAnswer, 0, false, ResultCode::OutcomeUnknown },
    { ExchangeEnd::Truncated, 200, false, ResultCode::OutcomeUnknown },
    { ExchangeEnd::Timeout, 0, false, ResultCode::OutcomeUnknown },
    { ExchangeEnd::WrongAnswer, 0, false, ResultCode::OutcomeUnknown },
  };
  for (const Case& entry : cases) {
    CAPTURE(static_cast<int>(entry.m_end));
    CAPTURE(entry.m_status);
    World world;
    world.Do(BackendsChanged{ { MakeServer("x"), MakeServer("y") } });
    const RequestHandle request = world.Arrive(RouteKind::NonIdempotent, 1);
    world.End(request, entry.m_end, entry.m_status);
    CHECK(world.Sends(request) == (entry.m_isSentAgain ? 2 : 1));
    if (entry.m_isSentAgain) {
      continue;
    }
    REQUIRE(world.m_answered.count(request) == 1);
    CHECK(world.m_answered[request].m_code == entry.m_code);
  }
}

TEST_CASE("a refusal that says not run is never given once a server may have "
          "run the request")
{
  World world;
  world.Do(BackendsChanged{ { MakeServer("x"), MakeServer("y") } });
  const RequestHandle request = world.Arrive(RouteKind::Idempotent);
  world.End(request, ExchangeEnd::ResetBeforeAnswer);
  REQUIRE(world.Sends(request) == 2);
  world.End(request, ExchangeEnd::ConnectRefused);
  REQUIRE(world.m_answered.count(request) == 1);
  const ResultCode code = world.m_answered[request].m_code;
  CHECK(DescribeResultCode(code).m_outcome == Outcome::Unknown);
  CHECK(world.m_answered[request].m_retryAfter == Millis());
}

TEST_CASE("a status that promises \"not run\" without the server's word for it "
          "is not passed on")
{
  for (const RouteKind kind :
       { RouteKind::NonIdempotent, RouteKind::Idempotent }) {
    World world;
    world.Do(BackendsChanged{ { MakeServer("x") } });
    const RequestHandle request = world.Arrive(kind, 1);
    world.End(request, ExchangeEnd::Whole, 503);
    CHECK(world.m_passedOn.count(request) == 0);
    REQUIRE(world.m_answered.count(request) == 1);
    CHECK(DescribeResultCode(world.m_answered[request].m_code).m_outcome ==
          Outcome::Unknown);
  }
}

TEST_CASE("a server's failure of an idempotent request is tried elsewhere, and "
          "passed on if that fails too")
{
  World world;
  world.Do(BackendsChanged{ { MakeServer("x"), MakeServer("y") } });
  const RequestHandle request = world.Arrive(RouteKind::Idempotent);
  world.End(request, ExchangeEnd::Whole, 500);
  REQUIRE(world.Sends(request) == 2);
  CHECK(world.m_sent[request][0].m_server != world.m_sent[request][1].m_server);
  world.End(request, ExchangeEnd::Whole, 500);
  CHECK(world.m_passedOn[request]);
  CHECK(world.Sends(request) == 2);
}

TEST_CASE("a burst waits as far as it can start in time; the rest is refused "
          "at once with a time to return")
{
  World world;
  world.Do(BackendsChanged{ { MakeServer("x", 4) } });
  // The server frees a slot every 20 ms.
  for (int i = 0; i < 100; ++i) {
    world.m_now += Millis(20);
    const RequestHandle request = world.Arrive(RouteKind::Idempotent);
    world.End(request, ExchangeEnd::Whole, 200);
  }
  std::vector<RequestHandle> burst;
  for (int i = 0; i < 100; ++i) {
    burst.push_back(world.Arrive(RouteKind::Idempotent));
  }
  int refused = 0;
  for (const RequestHandle request : burst) {
    const auto answer = world.m_answered.find(request);
    if (answer == world.m_answered.end()) {
      continue;
    }
    ++refused;
    const ResultCodeRow& row = DescribeResultCode(answer->second.m_code);
    CHECK(row.m_outcome == Outcome::NotRun);
    CHECK(answer->second.m_retryAfter > Millis());
  }
  CHECK(refused > 70);
  CHECK(refused < 96);
  // Nothing that waits is held beyond the time in which it could start.
  world.Wait(Millis(600));
  CHECK(world.m_state.m_requests.size() <= 5);
}

TEST_CASE("the most urgent of the waiting requests starts first")
{
  World world;
  world.Do(BackendsChanged{ { MakeServer("x", 1) } });
  std::vector<RequestHandle> running;
  while (world.m_state.m_requests.size() == running.size()) {
    running.push_back(world.Arrive(RouteKind::Idempotent));
    if (world.Sends(running.back()) == 0) {
      break;
    }
  }
  const RequestHandle ordinary = running.back();
  CallerRequestArrived urgent;
  urgent.m_handle = RequestHandle(999);
  urgent.m_service = ServiceId(kService);
  urgent.m_isRetryable = true;
  urgent.m_priority = -1;
  urgent.m_deadline = world.m_now + Millis(1'500);
  urgent.m_answerBy = world.m_now + Millis(800);
  world.Do(urgent);
  CHECK(world.Sends(urgent.m_handle) == 0);
  world.End(running.front(), ExchangeEnd::Whole, 200);
  CHECK(world.Sends(urgent.m_handle) == 1);
  CHECK(world.Sends(ordinary) == 0);
}

TEST_CASE(
  "while a model has no group, streams that have begun wait for one and "
  "new requests are refused at once")
{
  World world;
  world.Do(BackendsChanged{ { MakeGroupLeader("x") } });
  const RequestHandle begun = world.Arrive(RouteKind::Stream, 3);
  world.Do(AnswerProgressed{ begun });
  world.Do(BackendsChanged{ {} });
  world.End(begun, ExchangeEnd::Truncated, 200);
  CHECK(world.m_answered.count(begun) == 0);
  const RequestHandle fresh = world.Arrive(RouteKind::Stream, 3);
  REQUIRE(world.m_answered.count(fresh) == 1);
  CHECK(world.m_answered[fresh].m_code == ResultCode::NoCapacity);
  CHECK(world.m_answered[fresh].m_retryAfter > Millis());
  world.Wait(Millis(100));
  world.Do(BackendsChanged{ { MakeGroupLeader("y") } });
  REQUIRE(world.Sends(begun) == 2);
  CHECK(world.m_sent[begun][1].m_server == HostId("y"));
}

TEST_CASE("a stream that has begun is ended once no group has come in time")
{
  World world;
  world.Do(BackendsChanged{ { MakeGroupLeader("x") } });
  const RequestHandle begun = world.Arrive(RouteKind::Stream, 3);
  world.Do(AnswerProgressed{ begun });
  world.Do(BackendsChanged{ {} });
  world.End(begun, ExchangeEnd::Truncated, 200);
  world.Wait(Millis(800));
  CHECK(world.m_answered.count(begun) == 1);
  CHECK(world.m_state.m_requests.empty());
}

TEST_CASE("when the caller leaves, repeatable work is cancelled and a booking "
          "runs on")
{
  World world;
  world.Do(BackendsChanged{ { MakeServer("x") } });
  const RequestHandle lookup = world.Arrive(RouteKind::Idempotent);
  const RequestHandle booking = world.Arrive(RouteKind::NonIdempotent, 1);
  world.Do(CallerLeft{ lookup });
  world.Do(CallerLeft{ booking });
  CHECK(world.m_cancelled == std::vector<RequestHandle>{ lookup });
  world.End(lookup, ExchangeEnd::Cancelled);
  CHECK(world.Sends(lookup) == 1);
}

TEST_CASE("a request that takes three servers down is refused from then on, a "
          "common one that only met resets isn't")
{
  World world;
  std::vector<Backend> servers;
  for (int i = 0; i < 6; ++i) {
    servers.push_back(MakeServer("s" + std::to_string(i)));
  }
  world.Do(BackendsChanged{ servers });
  const auto runInto = [&](bool aServersEnd) {
    world.Wait(Millis(500)); // servers that failed are chosen again
    const RequestHandle request = world.Arrive(RouteKind::Idempotent, 3);
    size_t sends = 0;
    while (world.Sends(request) > sends) {
      sends = world.Sends(request);
      const HostId server = world.m_sent[request].back().m_server;
      if (aServersEnd) {
        world.Do(ServerLost{ ServerRun{ server, BootId() },
                             DomainId(server.Value()) });
      }
      world.End(request, ExchangeEnd::ResetBeforeAnswer);
    }
    return sends;
  };
  runInto(false);
  CHECK(runInto(false) > 1);
  runInto(true);
  const RequestHandle again = world.Arrive(RouteKind::Idempotent, 3);
  CHECK(world.Sends(again) == 0);
  REQUIRE(world.m_answered.count(again) == 1);
  CHECK(world.m_answered[again].m_code == ResultCode::HarmfulRequest);
}

TEST_CASE("LOST: a request that a server had long been answering when it "
          "crashed is not blamed for the crash")
{
  World world;
  std::vector<Backend> leaders;
  for (int i = 0; i < 6; ++i) {
    leaders.push_back(MakeGroupLeader("s" + std::to_string(i)));
  }
  world.Do(BackendsChanged{ leaders });
  world.m_timeout = Millis(1'500);
  // The same request comes three times and meets two crashes each time.
  for (int turn = 0; turn < 3; ++turn) {
    const RequestHandle request = world.Arrive(RouteKind::Stream, 3);
    for (size_t crash = 1; crash <= 2; ++crash) {
      REQUIRE(world.Sends(request) == crash);
      const HostId server = world.m_sent[request].back().m_server;
      world.Do(AnswerProgressed{ request });
      world.m_now += Millis(510);
      world.Do(AnswerProgressed{ request });
      world.Do(
        ServerLost{ ServerRun{ server, BootId() }, DomainId(server.Value()) });
      world.End(request, ExchangeEnd::Truncated);
    }
    world.Do(CallerLeft{ request });
    world.End(request, ExchangeEnd::Cancelled);
    world.Wait(Millis(1'500)); // servers that failed are chosen again
  }
}

TEST_CASE("a stream that ends without an event is no evidence for its request")
{
  for (const bool hasEvent : { false, true }) {
    CAPTURE(hasEvent);
    World world;
    world.Do(BackendsChanged{ { MakeGroupLeader("s") } });
    const RequestHandle request = world.Arrive(RouteKind::Stream);
    const RequestTrait trait{ TraitKind::Request, 0 };
    const ServerRun server{ HostId("crashed"), BootId("1") };
    world.m_state.m_harmDetector.OnEvidence(
      world.m_now,
      CrashEvidence{ server, DomainId(), Millis(1'000), { trait } });
    if (hasEvent) {
      world.Do(AnswerProgressed{ request });
    }
    world.End(request, ExchangeEnd::Whole, 200);
    for (const char* other : { "crashed-2", "crashed-3" }) {
      world.m_state.m_harmDetector.OnEvidence(
        world.m_now,
        CrashEvidence{
          ServerRun{ HostId(other), BootId("1") }, DomainId(), {}, { trait } });
    }
    CHECK((world.m_state.m_harmDetector.RefusedFor(world.m_now, { trait }) >
           Millis()) != hasEvent);
  }
}

TEST_CASE("all nodes together keep no more idle connections than a server "
          "accepts")
{
  for (const uint32_t nodes : { 1U, 9U, 63U, 87U, 320U }) {
    CAPTURE(nodes);
    Backend server = MakeServer("s", 100);
    server.m_maxConnections = 344;
    uint32_t idle = 0;
    const std::vector<NodeId> roster = MakeRoster(nodes);
    for (const NodeId& node : roster) {
      World world(node);
      world.SetNodes(nodes);
      world.Do(BackendsChanged{ { server } });
      const RequestHandle request = world.Arrive(RouteKind::Idempotent);
      REQUIRE(world.Sends(request) == 1);
      idle += world.m_sent[request].back().m_maxIdleConnections;
    }
    CHECK(idle == server.m_maxConnections / 2);
  }
}

TEST_CASE("repeats stay within the budget when every exchange fails")
{
  World world;
  std::vector<Backend> servers;
  for (int i = 0; i < 50; ++i) {
    servers.push_back(MakeServer("s" + std::to_string(i), 100));
  }
  world.Do(BackendsChanged{ servers });
  world.SetNodes(8);
  constexpr int kRequests = 1'000;
  size_t sends = 0;
  for (int i = 0; i < kRequests; ++i) {
    world.m_now += Millis(10);
    const RequestHandle request = world.Arrive(RouteKind::Idempotent);
    world.End(request, ExchangeEnd::ResetBeforeAnswer);
    if (world.Sends(request) > 1) {
      world.End(request, ExchangeEnd::ResetBeforeAnswer);
    }
    sends += world.Sends(request);
  }
  const GatewaySettings settings;
  const double allowed =
    kRequests * settings.m_retryShare + settings.m_retrySlack;
  CHECK(sends - kRequests > 50);
  CHECK(static_cast<double>(sends - kRequests) <= allowed);
}

TEST_CASE("over random ends no non-idempotent request is sent on after it may "
          "have run, and every request gets one final answer")
{
  constexpr ExchangeEnd kEnds[] = { ExchangeEnd::Whole,
                                    ExchangeEnd::ConnectRefused,
                                    ExchangeEnd::ResetBeforeSend,
                                    ExchangeEnd::RefusedByServer,
                                    ExchangeEnd::ResetBeforeAnswer,
                                    ExchangeEnd::Truncated,
                                    ExchangeEnd::Timeout,
                                    ExchangeEnd::WrongAnswer };
  constexpr uint16_t kStatuses[] = { 200, 404, 500, 503 };
  std::mt19937 random(20261204);
  World world;
  world.Do(BackendsChanged{
    { MakeServer("x", 50), MakeServer("y", 50), MakeServer("z", 50) } });
  for (int i = 0; i < 20'000; ++i) {
    world.m_now += Millis(random() % 40);
    const RouteKind kind =
      random() % 2 == 0 ? RouteKind::NonIdempotent : RouteKind::Idempotent;
    const RequestHandle request = world.Arrive(kind, 1 + random() % 2);
    size_t sends = 0;
    bool mayHaveRun = false;
    while (world.m_state.m_requests.count(request) > 0) {
      if (world.Sends(request) == sends) {
        world.Wait(Millis(50)); // it waits for a server
        continue;
      }
      sends = world.Sends(request);
      CHECK_FALSE((kind == RouteKind::NonIdempotent && mayHaveRun));
      const ExchangeEnd end = kEnds[random() % std::size(kEnds)];
      const uint16_t status = kStatuses[random() % std::size(kStatuses)];
      const bool isNotRun =
        end == ExchangeEnd::ConnectRefused ||
        end == ExchangeEnd::ResetBeforeSend ||
        (end == ExchangeEnd::RefusedByServer && status >= 400);
      mayHaveRun = mayHaveRun || !isNotRun;
      world.End(request, end, status);
    }
    const bool isPassed = world.m_passedOn.count(request) > 0;
    const auto answer = world.m_answered.find(request);
    CHECK(isPassed != (answer != world.m_answered.end()));
    if (answer != world.m_answered.end() && mayHaveRun) {
      CHECK(DescribeResultCode(answer->second.m_code).m_outcome !=
            Outcome::NotRun);
    }
  }
}

// Returns the last event of a name, which must have these fields.
const LogEvent* FindEvent(const World& aWorld,
                          const std::string& aName,
                          const std::vector<std::string>& aFields)
{
  const LogEvent* found = nullptr;
  for (const LogEvent& event : aWorld.m_log) {
    found = event.m_event == aName ? &event : found;
  }
  REQUIRE(found != nullptr);
  for (const std::string& name : aFields) {
    CAPTURE(name);
    CHECK(std::any_of(
      found->m_fields.begin(), found->m_fields.end(), [&](const auto& aField) {
        return aField.m_key == name && !aField.m_value.empty();
      }));
  }
  return found;
}

TEST_CASE(
  "each decision on a request is logged with its id, what decided it and "
  "what came of it")
{
  World world;
  world.Do(BackendsChanged{ { MakeServer("x", 1) } });
  const RequestHandle served = world.Arrive(RouteKind::Idempotent);
  FindEvent(world, "request-sent", { "request", "age-ms", "server", "load" });
  for (int i = 0; i < 40; ++i) {
    world.Arrive(RouteKind::Idempotent);
  }
  FindEvent(world,
            "request-turned-away",
            { "request", "priority", "wait-ms", "patience-ms", "waiting" });
  FindEvent(
    world,
    "request-failed",
    { "request", "code", "cause-code", "began", "sends", "retry-after-ms" });
  FindEvent(world, "request-failed", { "may-have-run" });
  world.End(served, ExchangeEnd::ResetBeforeAnswer);
  FindEvent(world,
            "exchange-failed",
            { "request", "server", "end", "status", "took-ms" });
  FindEvent(
    world, "exchange-failed", { "connection", "sent-bytes", "passed-over" });
  FindEvent(
    world, "request-retried", { "request", "reason", "sends", "may-have-run" });
  world.Do(BackendsChanged{ { MakeServer("y", 30) } });
  const RequestHandle next = world.Arrive(RouteKind::Idempotent);
  world.End(next, ExchangeEnd::Whole, 200);
  FindEvent(world,
            "request-done",
            { "request", "status", "first-ms", "goal-ms", "server", "sends" });
  const RequestHandle booking = world.Arrive(RouteKind::NonIdempotent, 1);
  world.End(booking, ExchangeEnd::Truncated);
  FindEvent(world,
            "request-not-retried",
            { "request", "reason", "began", "sends", "may-have-run" });
  World streams;
  streams.Do(BackendsChanged{ { MakeGroupLeader("x"), MakeGroupLeader("y") } });
  const RequestHandle stream = streams.Arrive(RouteKind::Stream, 3);
  const HostId leader = streams.m_sent[stream][0].m_server;
  streams.Do(GroupsEnded{ { GroupId("group-" + leader.Value()) } });
  FindEvent(
    streams, "request-hedged", { "request", "server", "reason", "silent-ms" });
  streams.Do(AnswerProgressed{ stream, ExchangeRole::Hedge });
  FindEvent(streams, "request-moved", { "request", "server", "to" });
}

TEST_CASE("a request for a server whose rate limit is used up waits if it gets "
          "its turn in time, and is refused as not run if it doesn't")
{
  World world;
  world.Do(BackendsChanged{ { MakeServer("s1") } });
  const RequestHandle first = world.Arrive(RouteKind::Idempotent);
  world.Do(ServerRateStated{ first, ExchangeRole::Primary, 0.5 });
  world.End(first, ExchangeEnd::Whole, 200);
  const RequestHandle second = world.Arrive(RouteKind::NonIdempotent);
  CHECK(world.Sends(second) == 0);
  REQUIRE(world.m_answered.count(second) == 1);
  const AnswerCaller& answer = world.m_answered[second];
  CHECK(DescribeResultCode(answer.m_code).m_outcome == Outcome::NotRun);
  // The window and the margin for jitter.
  CHECK(answer.m_retryAfter == Millis(2'300));
  world.Wait(Millis(2'200));
  const RequestHandle third = world.Arrive(RouteKind::Idempotent);
  CHECK(world.m_answered.count(third) == 0);
  world.Wait(Millis(200));
  CHECK(world.Sends(third) == 1);
}

} // namespace
} // namespace briarglade
