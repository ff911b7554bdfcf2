// Tests of request routing: choice, limits, retries and final answers.

#include "briarglade/routing/reduce_routing.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

namespace briarglade {
namespace {

const ModelId kModel("drafting");
const NodeId kSelf("node-1");

Route MakeRoute(const std::string& aGroup, const std::string& aZone)
{
  Route route;
  route.m_group = GroupId(aGroup);
  route.m_target.m_model = kModel;
  route.m_zone = ZoneId(aZone);
  route.m_domain = DomainId(aZone + "-" + aGroup);
  route.m_leader = Endpoint{ "127.0.0.1", 1 };
  route.m_boot = BootId("boot-" + aGroup);
  route.m_complete = true;
  route.m_uptime = Millis(1'000'000);
  route.m_requestLimit = 4;
  route.m_coldLimit = 1;
  route.m_warmUp = Millis(1'000);
  return route;
}

// One node's routing with two groups in two zones, and what it asked for.
struct Node
{
  RoutingState m_state{ kSelf, ZoneId("z1") };
  Millis m_now = Millis(1'000'000);
  std::vector<StartAttempt> m_starts;
  std::vector<CancelAttempt> m_cancels;
  std::map<RequestId, std::vector<FinishRequest>> m_finishes;
  std::vector<CrashNotice> m_notices;
  int m_count = 0;

  explicit Node(int aGroups = 2)
  {
    Send(RoutingRoster{ 1, { kSelf } });
    Send(RoutingConfirmation{ true });
    RoutesChanged routes;
    for (int i = 1; i <= aGroups; ++i) {
      const std::string number = std::to_string(i);
      routes.m_changed.push_back(
        MakeRoute("g" + number, "z" + std::to_string(1 + (i - 1) % 2)));
    }
    Send(routes);
  }

  void Send(const RoutingEvent& aEvent)
  {
    for (const RoutingEffect& effect : ReduceRouting(m_state, m_now, aEvent)) {
      if (const auto* start = std::get_if<StartAttempt>(&effect)) {
        m_starts.push_back(*start);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
        m_cancels.push_back(*cancel);
      } else if (const auto* finish = std::get_if<FinishRequest>(&effect)) {
        m_finishes[finish->m_request].push_back(*finish);
      } else if (const auto* notice = std::get_if<SendCrashNotice>(&effect)) {
        m_notices.push_back(notice->m_notice);
      }
    }
  }

  void Advance(Millis aTime)
  {
    m_now += aTime;
    Send(RoutingTick{});
  }

  RequestArrived MakeRequest(const std::string& aAccount = "a")
  {
    RequestArrived request;
    request.m_request = RequestId("r" + std::to_string(++m_count));
    request.m_account = AccountId(aAccount);
    request.m_class = ClassId("interactive");
    request.m_target.m_model = kModel;
    request.m_fingerprint = Fingerprint(static_cast<uint64_t>(m_count));
    request.m_streaming = true;
    request.m_deadline = m_now + Millis(30'000);
    return request;
  }

  RequestId Arrive(const std::string& aAccount = "a")
  {
    const RequestArrived request = MakeRequest(aAccount);
    Send(request);
    return request.m_request;
  }

  void End(const StartAttempt& aStart,
           ExchangeEnd aEnd,
           uint32_t aTokens = 0,
           uint16_t aStatus = 200)
  {
    AttemptEnded ended;
    ended.m_attempt = aStart.m_attempt;
    ended.m_end = aEnd;
    ended.m_status = aEnd == ExchangeEnd::RefusedByServer ? 503 : aStatus;
    ended.m_tokensDelivered = aTokens;
    Send(ended);
  }

  // Returns the code a request was finished with, once; Internal if it wasn't.
  ResultCode CodeOf(const RequestId& aRequest)
  {
    const auto& finishes = m_finishes[aRequest];
    REQUIRE(finishes.size() <= 1);
    return finishes.empty() ? ResultCode::Internal : finishes.front().m_code;
  }

  // Fills every slot and returns the starts.
  std::vector<StartAttempt> FillUp(const std::string& aAccount = "a")
  {
    const size_t before = m_starts.size();
    for (int i = 0; i < 8; ++i) {
      Arrive(aAccount);
    }
    REQUIRE(m_starts.size() == before + 8);
    return { m_starts.begin() + static_cast<ptrdiff_t>(before),
             m_starts.end() };
  }

  // The group loses a member, or comes back with a new boot.
  void Lose(const GroupId& aGroup)
  {
    const RouteSlot* slot = m_state.m_routes.FindSlot(aGroup);
    if (slot == nullptr) {
      return;
    }
    Route route = slot->m_route;
    route.m_complete = false;
    Send(RoutesChanged{ { route }, {} });
  }
};

TEST_CASE("a request is refused at once when it can't be served")
{
  struct Row
  {
    const char* m_name;
    std::function<void(Node&)> m_prepare;
    ResultCode m_code;
  };
  const Row rows[] = {
    { "unconfirmed",
      [](Node& aNode) { aNode.Send(RoutingConfirmation{ false }); },
      ResultCode::Unconfirmed },
    { "every zone out",
      [](Node& aNode) {
        aNode.Send(RoutingZones{ { { ZoneId("z1"), ZoneState::Out },
                                   { ZoneId("z2"), ZoneState::Out } } });
      },
      ResultCode::NoCapacity },
    { "groups incomplete",
      [](Node& aNode) {
        aNode.Lose(GroupId("g1"));
        aNode.Lose(GroupId("g2"));
      },
      ResultCode::NoCapacity },
    { "groups removed",
      [](Node& aNode) {
        aNode.Send(RoutesChanged{ {}, { GroupId("g1"), GroupId("g2") } });
      },
      ResultCode::NoCapacity },
    { "refused by another node's notice",
      [](Node& aNode) {
        CrashNotice notice;
        notice.m_fingerprint = Fingerprint(1);
        notice.m_refuseFor = Millis(1'000);
        aNode.Send(notice);
      },
      ResultCode::HarmfulRequest },
  };
  for (const Row& row : rows) {
    CAPTURE(row.m_name);
    Node node;
    row.m_prepare(node);
    const RequestId request = node.Arrive();
    CHECK(node.CodeOf(request) == row.m_code);
    CHECK(node.m_finishes[request].front().m_retryAfter > Millis());
    CHECK(node.m_starts.empty());
  }
}

TEST_CASE("new work goes only to groups that may take it")
{
  struct Row
  {
    const char* m_name;
    std::function<void(Node&)> m_prepare;
  };
  const Row rows[] = {
    { "zone out",
      [](Node& aNode) {
        aNode.Send(RoutingZones{ { { ZoneId("z1"), ZoneState::Out } } });
      } },
    { "draining",
      [](Node& aNode) {
        Route route = MakeRoute("g1", "z1");
        route.m_draining = true;
        aNode.Send(RoutesChanged{ { route }, {} });
      } },
    { "incomplete", [](Node& aNode) { aNode.Lose(GroupId("g1")); } },
    { "just refused a request",
      [](Node& aNode) {
        aNode.Arrive();
        while (aNode.m_starts.back().m_group != GroupId("g1")) {
          aNode.End(aNode.m_starts.back(), ExchangeEnd::Whole);
          aNode.Arrive();
        }
        aNode.End(aNode.m_starts.back(), ExchangeEnd::RefusedByServer);
      } },
  };
  for (const Row& row : rows) {
    CAPTURE(row.m_name);
    Node node;
    row.m_prepare(node);
    node.m_starts.clear();
    for (int i = 0; i < 3; ++i) {
      node.Arrive();
    }
    CHECK(node.m_starts.size() >= 2);
    for (const StartAttempt& start : node.m_starts) {
      CHECK(start.m_group == GroupId("g2"));
    }
  }
}

TEST_CASE("a cold group gets no more than the node's share")
{
  Node node(1);
  Route route = MakeRoute("g1", "z1");
  route.m_boot = BootId("second");
  route.m_uptime = Millis(0);
  route.m_warmUp = Millis(100'000);
  node.m_now += Millis(10'000);
  route.m_reportedAt = node.m_now;
  node.Send(RoutesChanged{ { route }, {} });
  node.Arrive();
  node.Arrive();
  CHECK(node.m_starts.size() == 1);
}

TEST_CASE("an ended exchange leads to the true answer or to another attempt")
{
  struct Row
  {
    ExchangeEnd m_end;
    bool m_idempotent;
    uint32_t m_tokens;
    bool m_retried;
    ResultCode m_code;
  };
  const Row rows[] = {
    { ExchangeEnd::Whole, true, 9, false, ResultCode::Ok },
    { ExchangeEnd::ConnectRefused, true, 0, true, {} },
    { ExchangeEnd::ConnectRefused, false, 0, true, {} },
    { ExchangeEnd::RefusedByServer, false, 0, true, {} },
    { ExchangeEnd::ResetBeforeSend, false, 0, true, {} },
    { ExchangeEnd::ResetBeforeAnswer, true, 0, true, {} },
    { ExchangeEnd::ResetBeforeAnswer,
      false,
      0,
      false,
      ResultCode::OutcomeUnknown },
    { ExchangeEnd::Truncated, true, 7, true, {} },
    { ExchangeEnd::Truncated, false, 0, false, ResultCode::OutcomeUnknown },
    { ExchangeEnd::WrongAnswer, true, 0, true, {} },
    { ExchangeEnd::Timeout, false, 0, false, ResultCode::OutcomeUnknown },
  };
  for (const Row& row : rows) {
    CAPTURE(static_cast<int>(row.m_end));
    CAPTURE(row.m_idempotent);
    Node node;
    RequestArrived request = node.MakeRequest();
    request.m_idempotent = row.m_idempotent;
    node.Send(request);
    const StartAttempt first = node.m_starts.front();
    node.End(first, row.m_end, row.m_tokens);
    CHECK(node.m_starts.size() == (row.m_retried ? 2 : 1));
    if (row.m_retried) {
      CHECK(node.m_starts[1].m_group != first.m_group);
      CHECK(node.m_starts[1].m_attempt != first.m_attempt);
      CHECK(node.m_starts[1].m_resumeAfterTokens == row.m_tokens);
    } else {
      CHECK(node.CodeOf(request.m_request) == row.m_code);
    }
  }
}

TEST_CASE("not run is never said once an attempt may have run")
{
  Node node;
  const RequestId request = node.Arrive();
  node.End(node.m_starts[0], ExchangeEnd::ResetBeforeAnswer);
  node.Send(RoutingZones{
    { { ZoneId("z1"), ZoneState::Out }, { ZoneId("z2"), ZoneState::Out } } });
  node.End(node.m_starts[1], ExchangeEnd::ConnectRefused);
  CHECK(node.CodeOf(request) == ResultCode::BackendFailed);
}

TEST_CASE("not run is not said either when a waiting retry is given up")
{
  Node node;
  const StartAttempt first = node.FillUp().front();
  node.End(first, ExchangeEnd::ResetBeforeAnswer);
  CHECK(node.CodeOf(first.m_request) == ResultCode::Internal);
  node.Send(RoutingZones{
    { { ZoneId("z1"), ZoneState::Out }, { ZoneId("z2"), ZoneState::Out } } });
  node.Advance(Millis(1'000));
  CHECK(node.CodeOf(first.m_request) == ResultCode::BackendFailed);
}

TEST_CASE("a node takes only its part of the room that a report shows")
{
  Node node(1);
  node.Send(RoutingRoster{
    2, { kSelf, NodeId("node-2"), NodeId("node-3"), NodeId("node-4") } });
  Route route = MakeRoute("g1", "z1");
  route.m_requestLimit = 16;
  route.m_load = 4;
  route.m_reportedAt = node.m_now;
  node.Send(RoutesChanged{ { route }, {} });
  for (int i = 0; i < 12; ++i) {
    node.Arrive();
  }
  // A quarter of the limit is guaranteed; a quarter of the room would be less.
  CHECK(node.m_starts.size() == 4);
}

TEST_CASE("the last slots are kept from an account far over its share")
{
  Node node;
  const RequestId small = node.Arrive("small");
  for (int i = 0; i < 7; ++i) {
    node.Arrive("large");
  }
  node.End(node.m_starts.front(), ExchangeEnd::Whole);
  CHECK(node.CodeOf(small) == ResultCode::Ok);
  for (int second = 0; second < 40; second += 5) {
    node.Arrive("small");
    node.End(node.m_starts.back(), ExchangeEnd::Whole);
    node.Advance(Millis(5'000));
  }
  const size_t before = node.m_starts.size();
  node.Arrive("large");
  CHECK(node.m_starts.size() == before);
  node.Arrive("small");
  CHECK(node.m_starts.size() == before + 1);
}

TEST_CASE("retries stop with the budget, and come back with successes")
{
  Node node;
  int retried = 0;
  for (int i = 0; i < 400; ++i) {
    const size_t before = node.m_starts.size();
    RequestArrived request = node.MakeRequest();
    request.m_idempotent = false;
    node.Send(request);
    node.End(node.m_starts.back(), ExchangeEnd::RefusedByServer);
    if (node.m_starts.size() == before + 2) {
      ++retried;
      node.End(node.m_starts.back(), ExchangeEnd::Timeout);
    }
    node.Advance(Millis(5'000));
  }
  CHECK(retried < 200);
  CHECK(node.m_state.m_counts.m_retryBudgetExhausted > 0);
  for (int i = 0; i < 10; ++i) {
    node.Arrive();
    node.End(node.m_starts.back(), ExchangeEnd::Whole);
  }
  const size_t before = node.m_starts.size();
  node.Arrive();
  node.End(node.m_starts.back(), ExchangeEnd::RefusedByServer);
  CHECK(node.m_starts.size() == before + 2);
}

TEST_CASE("no retry is started after the deadline or while unconfirmed")
{
  for (const bool isLate : { true, false }) {
    CAPTURE(isLate);
    Node node;
    const RequestId request = node.Arrive();
    if (isLate) {
      node.m_now += Millis(30'000);
    } else {
      node.Send(RoutingConfirmation{ false });
    }
    node.End(node.m_starts[0], ExchangeEnd::ConnectRefused);
    CHECK(node.CodeOf(request) == ResultCode::BackendRefused);
    CHECK(node.m_starts.size() == 1);
  }
}

TEST_CASE("attempts at a lost group are taken over elsewhere")
{
  Node node;
  const RequestId request = node.Arrive();
  const StartAttempt first = node.m_starts.front();
  node.Lose(first.m_group);
  node.Advance(Millis(1'000));
  REQUIRE(node.m_cancels.size() == 1);
  node.End(first, ExchangeEnd::Cancelled);
  REQUIRE(node.m_starts.size() == 2);
  node.End(node.m_starts.back(), ExchangeEnd::Whole);
  CHECK(node.CodeOf(request) == ResultCode::Ok);
}

TEST_CASE("a caller that has gone is cancelled and finished once")
{
  Node node;
  const RequestId running = node.Arrive();
  node.Send(CallerDisconnected{ running });
  CHECK(node.CodeOf(running) == ResultCode::Internal);
  REQUIRE(node.m_cancels.size() == 1);
  node.End(node.m_starts.back(), ExchangeEnd::Cancelled);
  CHECK(node.CodeOf(running) == ResultCode::CallerGone);

  node.FillUp();
  const RequestId waiting = node.Arrive();
  node.Send(CallerDisconnected{ waiting });
  CHECK(node.CodeOf(waiting) == ResultCode::CallerGone);
}

TEST_CASE("a wait that would pass the deadline is refused at once")
{
  Node node;
  for (const StartAttempt& start : node.FillUp()) {
    node.m_now += Millis(1'000);
    node.End(start, ExchangeEnd::Whole);
  }
  node.FillUp();
  RequestArrived hopeless = node.MakeRequest();
  hopeless.m_deadline = node.m_now + Millis(500);
  node.Send(hopeless);
  CHECK(node.CodeOf(hopeless.m_request) == ResultCode::QueueDeadline);

  const RequestId waiting = node.Arrive();
  CHECK(node.CodeOf(waiting) == ResultCode::Internal);
  node.Advance(Millis(29'000));
  CHECK(node.CodeOf(waiting) == ResultCode::QueueDeadline);
  CHECK(node.m_finishes[waiting].front().m_retryAfter >= Millis(1'000));
}

TEST_CASE("queues are bounded and empty when work must stop")
{
  Node node;
  node.FillUp();
  for (int i = 0; i < 300; ++i) {
    node.Arrive();
  }
  CHECK(node.CodeOf(RequestId("r308")) == ResultCode::QueueFull);
  CHECK(node.CodeOf(RequestId("r9")) == ResultCode::Internal);
  node.Send(RoutingConfirmation{ false });
  CHECK(node.CodeOf(RequestId("r9")) == ResultCode::Unconfirmed);
}

TEST_CASE("accounts are served by share, also against a longer queue")
{
  Node node;
  RoutingAccounts accounts;
  accounts.m_accounts[AccountId("large")].m_share = 3;
  accounts.m_accounts[AccountId("small")].m_share = 1;
  node.Send(accounts);
  std::vector<StartAttempt> running = node.FillUp("large");
  for (int i = 0; i < 100; ++i) {
    node.Arrive("large");
  }
  std::set<RequestId> small;
  for (int i = 0; i < 20; ++i) {
    small.insert(node.Arrive("small"));
  }
  node.m_starts.clear();
  for (size_t i = 0; i < 40; ++i) {
    const StartAttempt next =
      i < running.size() ? running[i] : node.m_starts[i - 8];
    node.End(next, ExchangeEnd::Whole);
  }
  int smallStarts = 0;
  for (const StartAttempt& start : node.m_starts) {
    smallStarts += small.count(start.m_request) > 0 ? 1 : 0;
  }
  CHECK(smallStarts >= 9);
  CHECK(smallStarts <= 12);
}

TEST_CASE("equal prefixes go to one group until it is loaded beyond the bound")
{
  Node node(6);
  std::set<GroupId> groups;
  for (int i = 0; i < 20; ++i) {
    RequestArrived request = node.MakeRequest();
    request.m_prefixHash = 77;
    node.Send(request);
    groups.insert(node.m_starts.back().m_group);
    node.End(node.m_starts.back(), ExchangeEnd::Whole);
  }
  CHECK(groups.size() == 1);
  for (int i = 0; i < 4; ++i) {
    RequestArrived request = node.MakeRequest();
    request.m_prefixHash = 77;
    node.Send(request);
    groups.insert(node.m_starts.back().m_group);
  }
  CHECK(groups.size() > 1);
}

TEST_CASE("a reported load is corrected by the own requests at its instant")
{
  Node node(1);
  const Millis before = node.m_now;
  node.m_now += Millis(1'000);
  node.Arrive();
  node.Arrive();
  Route route = MakeRoute("g1", "z1");
  route.m_load = 2;
  route.m_reportedAt = node.m_now + Millis(500);
  SUBCASE("the report is younger than the requests")
  {
    node.Send(RoutesChanged{ { route }, {} });
    CHECK(node.m_state.m_routes.FindSlot(route.m_group)->Load() == 2);
  }
  SUBCASE("the report is older than the requests")
  {
    route.m_loadAge = route.m_reportedAt - before;
    node.Send(RoutesChanged{ { route }, {} });
    CHECK(node.m_state.m_routes.FindSlot(route.m_group)->Load() == 4);
  }
}

TEST_CASE("a request that takes two groups down is refused, then released")
{
  Node node(6);
  RequestArrived request = node.MakeRequest();
  request.m_fingerprint = Fingerprint(99);
  node.Send(request);
  for (int crash = 0; crash < 2; ++crash) {
    const StartAttempt start = node.m_starts.back();
    node.End(start, ExchangeEnd::ResetBeforeAnswer);
    node.Lose(start.m_group);
    node.Advance(Millis(100));
  }
  // The third attempt was started before the second loss was known.
  REQUIRE(node.m_starts.size() == 3);
  CHECK(node.m_notices.back().m_refuseFor > Millis());
  RequestArrived again = node.MakeRequest();
  again.m_fingerprint = Fingerprint(99);
  node.Send(again);
  CHECK(node.CodeOf(again.m_request) == ResultCode::HarmfulRequest);
  node.End(node.m_starts.back(), ExchangeEnd::ResetBeforeAnswer);
  CHECK(node.CodeOf(request.m_request) == ResultCode::BackendFailed);

  node.m_now += Millis(300'000);
  again = node.MakeRequest();
  again.m_fingerprint = Fingerprint(99);
  node.Send(again);
  CHECK(node.CodeOf(again.m_request) == ResultCode::Internal);
}

TEST_CASE("every request is finished exactly once, whatever happens")
{
  CHECK(rc::check([] {
    Node node(4);
    std::vector<RequestId> requests;
    size_t ended = 0;
    const auto steps =
      *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100));
    for (const int step : steps) {
      const size_t open = node.m_starts.size() - ended;
      if (step < 45) {
        requests.push_back(node.Arrive(step % 2 == 0 ? "a" : "b"));
      } else if (step < 80 && open > 0) {
        const auto end = static_cast<ExchangeEnd>((step - 45) % 8);
        node.End(node.m_starts[ended++], end, step % 3);
      } else if (step < 85 && !requests.empty()) {
        node.Send(CallerDisconnected{ requests[requests.size() / 2] });
      } else if (step < 90) {
        node.Lose(GroupId("g" + std::to_string(1 + step % 4)));
      } else if (step < 95) {
        node.Send(
          RoutesChanged{ { MakeRoute("g1", "z1"), MakeRoute("g3", "z1") },
                         { GroupId("g4") } });
      } else {
        node.Advance(Millis(700));
      }
    }
    while (ended < node.m_starts.size()) {
      node.End(node.m_starts[ended++], ExchangeEnd::Whole);
      node.Advance(Millis(50));
    }
    node.Advance(Millis(60'000));
    for (const RequestId& request : requests) {
      RC_ASSERT(node.m_finishes[request].size() == 1U);
    }
    RC_ASSERT(node.m_state.m_requests.Size() == 0U);
  }));
}

} // namespace
} // namespace briarglade
