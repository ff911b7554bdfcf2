// Tests of the order of waiting requests.

#include "briarglade/gateway/wait_queue.h"

#include <doctest/doctest.h>
#include <map>

namespace briarglade {
namespace {

WaitingRequest Make(int aPriority, int aStartBy, uint64_t aHandle)
{
  return WaitingRequest{
    aPriority, Millis(aStartBy), Millis(aStartBy), RequestHandle(aHandle), {}
  };
}

TEST_CASE("the most urgent is first, of equals the one that must start first")
{
  WaitQueue queue;
  queue.Add(Millis(0), Make(2, 10, 1));
  queue.Add(Millis(0), Make(1, 500, 2));
  queue.Add(Millis(0), Make(1, 400, 3));
  std::vector<uint64_t> order;
  while (const std::optional<WaitingRequest> next = queue.Next(Millis(0))) {
    order.push_back(next->m_handle.Value());
    queue.Remove(*next);
  }
  CHECK(order == std::vector<uint64_t>{ 3, 2, 1 });
}

TEST_CASE("what can still be in time goes before what is late already")
{
  WaitQueue queue;
  for (int i = 0; i < 200; ++i) {
    queue.RecordTimeToFirstBytes(Millis(100));
  }
  const auto add = [&](int aGoalAt, int aStartBy, uint64_t aHandle) {
    queue.Add(
      Millis(0),
      WaitingRequest{
        1, Millis(aGoalAt), Millis(aStartBy), RequestHandle(aHandle), {} });
  };
  add(300, 1'500, 1);
  add(500, 1'700, 2);
  CHECK(queue.Next(Millis(150))->m_handle == RequestHandle(1));
  // Its answer would begin at 310 now, after its goal.
  CHECK(queue.Next(Millis(210))->m_handle == RequestHandle(2));
  // Both are late: the one that may wait less goes first.
  CHECK(queue.Next(Millis(600))->m_handle == RequestHandle(1));
}

// A request whose time at an idle group is 50 ms.
WaitingRequest MakeTimed(int aPriority,
                         int aGoalAt,
                         int aStartBy,
                         uint64_t aHandle)
{
  WaitingRequest waiting;
  waiting.m_priority = aPriority;
  waiting.m_goalAt = Millis(aGoalAt);
  waiting.m_startBy = Millis(aStartBy);
  waiting.m_handle = RequestHandle(aHandle);
  waiting.m_idleFirstEvent = Millis(50);
  return waiting;
}

// Guards against late urgent requests that make less urgent ones late too, and
// against late ones that wait behind all urgent ones until they can't finish.
TEST_CASE("with stated times late requests go last, in the order of their ends")
{
  WaitQueue queue;
  queue.Add(Millis(0), MakeTimed(0, 100, 1'000, 1));
  queue.Add(Millis(0), MakeTimed(1, 90, 900, 2));
  queue.Add(Millis(0), MakeTimed(1, 500, 1'500, 3));
  queue.Add(Millis(0), MakeTimed(0, 600, 1'600, 4));
  const auto order = [&](int aNow) {
    WaitQueue copy = queue;
    std::vector<uint64_t> handles;
    while (const std::optional<WaitingRequest> next = copy.Next(Millis(aNow))) {
      handles.push_back(next->m_handle.Value());
      copy.Remove(*next);
    }
    return handles;
  };
  // None is late.
  CHECK(order(0) == std::vector<uint64_t>{ 1, 4, 2, 3 });
  // The first two are.
  CHECK(order(60) == std::vector<uint64_t>{ 4, 3, 2, 1 });
  CHECK(queue.IsFirst(Millis(60), MakeTimed(0, 160, 1'700, 5)));
  CHECK_FALSE(queue.IsFirst(Millis(60), MakeTimed(1, 700, 1'700, 5)));
  CHECK(queue.ExpectedWait(Millis(60), MakeTimed(0, 160, 1'700, 5)) <
        queue.ExpectedWait(Millis(60), MakeTimed(1, 700, 1'700, 5)));
  // An answer that has begun precedes all.
  WaitingRequest begun = MakeTimed(1, 10, 2'000, 6);
  begun.m_hasBegun = true;
  CHECK(queue.IsFirst(Millis(60), begun));
}

// Guards against requests that count as able to be on time although servers
// have a fixed delay, and against a queue at the servers that makes all count
// as late.
TEST_CASE("the delay that is added to the stated times is learned")
{
  WaitQueue queue;
  const WaitingRequest waiting = MakeTimed(0, 250, 1'000, 1);
  CHECK_FALSE(queue.IsLate(Millis(100), waiting));
  for (int i = 0; i < 400; ++i) {
    // A fixed delay of 120 ms; two of three also wait in the server's queue.
    const int queued = i % 3 * 400;
    queue.RecordTimeToFirstEvent(Millis(50 + 120 + queued), Millis(50));
  }
  CHECK_FALSE(queue.IsLate(Millis(60), waiting));
  CHECK(queue.IsLate(Millis(100), waiting));
}

TEST_CASE("under a lasting overload those that are served are in time")
{
  // One backend that takes 10 ms for each; a request every 8 ms. Goal: 100 ms.
  WaitQueue queue;
  constexpr int kRequests = 2'000;
  constexpr int kEvery = 8;
  constexpr int kTakes = 10;
  std::map<uint64_t, int> arrivedAt;
  int inTime = 0;
  int served = 0;
  int freeAt = 0;
  for (int now = 0; now < kRequests * kEvery; ++now) {
    const Millis at(now);
    if (now % kEvery == 0 &&
        queue.ExpectedWait(at, 1, AccountId()) <= Millis(1'500)) {
      const auto handle = static_cast<uint64_t>(now);
      arrivedAt[handle] = now;
      queue.Add(
        at,
        WaitingRequest{
          1, at + Millis(100), at + Millis(1'500), RequestHandle(handle), {} });
    }
    for (const WaitingRequest& overdue : queue.Overdue(at)) {
      queue.Remove(overdue);
    }
    const std::optional<WaitingRequest> next = queue.Next(at);
    if (now < freeAt || !next) {
      continue;
    }
    queue.Remove(*next);
    queue.RecordBackendFreed(at);
    queue.RecordTimeToFirstBytes(Millis(kTakes));
    freeAt = now + kTakes;
    ++served;
    inTime += freeAt - arrivedAt[next->m_handle.Value()] <= 100 ? 1 : 0;
  }
  // The backend is never idle, and nearly all that it serves is in time.
  CHECK(served >= kRequests * kEvery / kTakes - 5);
  CHECK(inTime >= served * 9 / 10);
}

TEST_CASE("the flood of one account holds up nobody else")
{
  // One backend that takes 10 ms for each. The flood comes every 2 ms, each of
  // four other accounts every 100 ms.
  WaitQueue queue;
  const AccountId flood("flood");
  constexpr int kTime = 10'000;
  constexpr int kTakes = 10;
  std::map<AccountId, int> asked;
  std::map<AccountId, int> inTime;
  std::map<uint64_t, int> arrivedAt;
  std::optional<WaitingRequest> running;
  uint64_t handle = 0;
  int freeAt = 0;
  const auto arrive = [&](int aNow, const AccountId& aAccount) {
    ++asked[aAccount];
    const Millis at(aNow);
    if (queue.ExpectedWait(at, 1, aAccount) > Millis(500)) {
      return;
    }
    arrivedAt[++handle] = aNow;
    queue.Add(at,
              WaitingRequest{ 1,
                              at + Millis(100),
                              at + Millis(500),
                              RequestHandle(handle),
                              aAccount });
  };
  int served = 0;
  for (int now = 0; now < kTime; ++now) {
    const Millis at(now);
    if (now % 2 == 0) {
      arrive(now, flood);
    }
    if (now % 25 == 0) {
      arrive(now, AccountId("small-" + std::to_string(now / 25 % 4)));
    }
    for (const WaitingRequest& overdue : queue.Overdue(at)) {
      queue.Remove(overdue);
    }
    if (now < freeAt) {
      continue;
    }
    if (running) {
      queue.RecordBackendFreed(at);
      const int took = now - arrivedAt[running->m_handle.Value()];
      inTime[running->m_account] += took <= 100 ? 1 : 0;
    }
    running = queue.Next(at);
    if (running) {
      queue.Remove(*running);
      queue.RecordStarted(at, running->m_account);
      freeAt = now + kTakes;
      ++served;
    }
  }
  CHECK(served >= kTime / kTakes - 5);
  for (const auto& [account, count] : asked) {
    if (account != flood) {
      CHECK(inTime[account] >= count - 2);
    }
  }
}

TEST_CASE("the expected wait follows how fast backends become free")
{
  WaitQueue queue;
  for (int i = 1; i <= 200; ++i) {
    queue.RecordBackendFreed(Millis(i * 10));
  }
  const Millis now(2'000);
  CHECK(queue.ExpectedWait(now, 1, AccountId()).Count() <= 12);
  for (uint64_t i = 0; i < 9; ++i) {
    queue.Add(now, Make(1, 9'000, i));
  }
  CHECK(queue.ExpectedWait(now, 1, AccountId()).Count() >= 95);
  // Nothing that is less urgent is waited for.
  CHECK(queue.ExpectedWait(now, 0, AccountId()).Count() <= 12);
  // Where nothing becomes free any more, the wait is long.
  CHECK(queue.ExpectedWait(now + Millis(3'000), 1, AccountId()).Count() >=
        5'000);
}

// Guards against refused callers that all return at once, and against places
// that are kept for callers who do not return.
TEST_CASE("refused callers return one for each free backend, in order")
{
  WaitQueue queue;
  for (int i = 1; i <= 200; ++i) {
    queue.RecordBackendFreed(Millis(i * 50));
  }
  const Millis now(10'000);
  const Millis min(100);
  const Millis max(250);
  CHECK(queue.ReturnAfter(now, min, max) == Millis(100));
  const Millis second = queue.ReturnAfter(now, min, max);
  CHECK(second >= Millis(148));
  CHECK(second <= Millis(152));
  queue.ReturnAfter(now, min, max);
  queue.ReturnAfter(now, min, max);
  // The next one would have to wait for about 300 ms.
  const Millis tooLong = queue.ReturnAfter(now, min, max);
  CHECK(tooLong > max);
  CHECK(queue.ReturnAfter(now, min, max) == tooLong);
  CHECK(queue.ReturnAfter(now + Millis(1'000), min, max) == min);
}

TEST_CASE("what can't start in time any more is found")
{
  WaitQueue queue;
  queue.Add(Millis(0), Make(1, 100, 1));
  queue.Add(Millis(0), Make(1, 200, 2));
  CHECK(queue.Overdue(Millis(99)).empty());
  REQUIRE(queue.Overdue(Millis(100)).size() == 1);
  CHECK(queue.Overdue(Millis(100))[0].m_handle == RequestHandle(1));
}

} // namespace
} // namespace briarglade
