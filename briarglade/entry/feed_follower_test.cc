// Tests of following a feed.

#include "briarglade/entry/feed_follower.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

struct World
{
  FeedFollower m_follower{
    FeedPace{ Feed::Servers, Millis(1'000), Millis(250) }
  };
  Millis m_now{ 1'000 };
  FeedCallId m_lastCall;

  // Waits for the next call.
  FeedCall NextCall()
  {
    while (true) {
      if (std::optional<FeedCall> call = m_follower.Tick(m_now)) {
        m_lastCall =
          std::visit([](const auto& aCall) { return aCall.m_call; }, *call);
        return *call;
      }
      m_now += Millis(10);
    }
  }

  void Answer(FeedCallId aCall,
              StoreStatus aStatus,
              uint64_t aVersion,
              bool aIsWhole)
  {
    FeedAnswered answer;
    answer.m_call = aCall;
    answer.m_status = aStatus;
    answer.m_version = StoreVersion(aVersion);
    answer.m_isWhole = aIsWhole;
    m_follower.OnAnswered(m_now, answer);
  }
  // Answers the last call.
  void Answer(StoreStatus aStatus, uint64_t aVersion, bool aIsWhole)
  {
    Answer(m_lastCall, aStatus, aVersion, aIsWhole);
  }
};

TEST_CASE("a feed is read whole once and then watched from there")
{
  World world;
  CHECK(std::holds_alternative<ReadFeed>(world.NextCall()));
  CHECK_FALSE(world.m_follower.Tick(world.m_now + Millis(9'999)));
  world.Answer(StoreStatus::Ok, 41, true);
  CHECK(world.m_follower.IsKnown());
  const FeedCall call = world.NextCall();
  REQUIRE(std::holds_alternative<WatchFeed>(call));
  CHECK(std::get<WatchFeed>(call).m_after == StoreVersion(41));
}

TEST_CASE("calls keep the pause between them when changes come fast")
{
  World world;
  world.NextCall();
  const Millis began = world.m_now;
  world.Answer(StoreStatus::Ok, 1, true);
  int calls = 0;
  while (world.m_now - began < Millis(5'000)) {
    world.NextCall();
    world.Answer(StoreStatus::Ok, 2, false);
    ++calls;
  }
  CHECK(calls <= 21);
}

TEST_CASE("after a gap in the history everything is read again at once")
{
  World world;
  world.NextCall();
  world.Answer(StoreStatus::Ok, 41, true);
  world.NextCall();
  const Millis now = world.m_now;
  world.Answer(StoreStatus::HistoryGone, 0, false);
  CHECK(std::holds_alternative<ReadFeed>(world.NextCall()));
  CHECK(world.m_now == now);
}

TEST_CASE("failures are retried with pauses, and the failing time is known")
{
  World world;
  world.NextCall();
  const Millis failed = world.m_now;
  int calls = 0;
  while (world.m_now - failed < Millis(4'000)) {
    world.Answer(StoreStatus::Refused, 0, false);
    world.NextCall();
    ++calls;
  }
  CHECK(calls >= 8);
  CHECK(calls <= 14);
  CHECK(world.m_follower.FailingSince() == failed);
  world.Answer(StoreStatus::Ok, 1, true);
  CHECK_FALSE(world.m_follower.FailingSince());
}

TEST_CASE("after a failure the store is asked for an answer at once, until it "
          "has given one")
{
  World world;
  world.NextCall();
  world.Answer(StoreStatus::Ok, 41, true);
  const auto nextWait = [&] {
    return std::get<WatchFeed>(world.NextCall()).m_wait;
  };
  CHECK(nextWait() == Millis(1'000));
  world.Answer(StoreStatus::Unknown, 0, false);
  CHECK(nextWait() == Millis());
  world.Answer(StoreStatus::Ok, 42, false);
  CHECK(nextWait() == Millis(1'000));
}

TEST_CASE(
  "a wait for changes that is overdue gets a second call beside it, and "
  "the end of the first is no failure")
{
  World world;
  world.NextCall();
  world.Answer(StoreStatus::Ok, 41, true);
  world.NextCall();
  const FeedCallId first = world.m_lastCall;
  const Millis began = world.m_now;
  const auto second = std::get<WatchFeed>(world.NextCall());
  CHECK(world.m_now - began == Millis(1'500));
  CHECK(second.m_wait == Millis());
  CHECK(second.m_after == StoreVersion(41));
  // There is no third one.
  CHECK_FALSE(world.m_follower.Tick(world.m_now + Millis(9'000)));
  world.Answer(StoreStatus::Ok, 42, false);
  CHECK(std::get<WatchFeed>(world.NextCall()).m_after == StoreVersion(42));
  world.Answer(first, StoreStatus::Unknown, 0, false);
  CHECK_FALSE(world.m_follower.FailingSince());
  CHECK_FALSE(world.m_follower.Tick(world.m_now + Millis(1'000)));
}

// Guards against a wait that the store accepted before it refused the check and
// that hides the refusal by its answer.
TEST_CASE("a check is made beside a wait, whose answer says nothing about the "
          "check")
{
  World world;
  CHECK_FALSE(world.m_follower.CheckNow(world.m_now));
  world.NextCall();
  world.Answer(StoreStatus::Ok, 41, true);
  world.NextCall();
  const FeedCallId wait = world.m_lastCall;
  world.m_now += Millis(300);
  const Millis checkedAt = world.m_now;
  const std::optional<FeedCall> check = world.m_follower.CheckNow(checkedAt);
  REQUIRE(check);
  CHECK(std::get<WatchFeed>(*check).m_wait == Millis());
  CHECK_FALSE(world.m_follower.CheckNow(checkedAt));
  world.Answer(
    std::get<WatchFeed>(*check).m_call, StoreStatus::Refused, 0, false);
  CHECK(world.m_follower.FailingSince() == checkedAt);
  world.m_now += Millis(50);
  world.Answer(wait, StoreStatus::Ok, 42, false);
  CHECK(world.m_follower.FailingSince() == checkedAt);
  CHECK(world.m_follower.Version() == StoreVersion(42));
  world.NextCall();
  world.Answer(StoreStatus::Ok, 42, false);
  CHECK_FALSE(world.m_follower.FailingSince());
}

TEST_CASE("an answer says when its call was made, and how long it could wait")
{
  World world;
  world.NextCall();
  world.Answer(StoreStatus::Ok, 41, true);
  world.NextCall();
  const Millis madeAt = world.m_now;
  world.m_now += Millis(400);
  FeedAnswered answer;
  answer.m_call = world.m_lastCall;
  answer.m_status = StoreStatus::Ok;
  answer.m_version = StoreVersion(42);
  const std::optional<CallTimes> call =
    world.m_follower.OnAnswered(world.m_now, answer);
  REQUIRE(call);
  CHECK(call->m_madeAt == madeAt);
  CHECK(call->m_wait == Millis(1'000));
  // The call has an answer already.
  CHECK_FALSE(world.m_follower.OnAnswered(world.m_now, answer));
}

TEST_CASE("a slow answer to an overdue call is used")
{
  World world;
  world.NextCall();
  world.Answer(StoreStatus::Ok, 41, true);
  world.NextCall();
  const FeedCallId first = world.m_lastCall;
  world.NextCall();
  world.Answer(first, StoreStatus::Ok, 43, false);
  CHECK(world.m_follower.Version() == StoreVersion(43));
  CHECK(world.m_follower.AnsweredAt() == world.m_now);
}

} // namespace
} // namespace briarglade
