// Tests of following a feed.

#include "briarglade/entry/feed_follower.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

FeedAnswered Answer(StoreStatus aStatus, uint64_t aVersion, bool aIsWhole)
{
  FeedAnswered answer;
  answer.m_status = aStatus;
  answer.m_version = StoreVersion(aVersion);
  answer.m_isWhole = aIsWhole;
  return answer;
}

struct World
{
  FeedFollower m_follower{
    FeedPace{ Feed::Servers, Millis(1'000), Millis(250) }
  };
  Millis m_now{ 1'000 };

  // Waits for the next call.
  FeedCall NextCall()
  {
    while (true) {
      if (std::optional<FeedCall> call = m_follower.Tick(m_now)) {
        return *call;
      }
      m_now += Millis(10);
    }
  }
};

TEST_CASE("a feed is read whole once and then watched from there")
{
  World world;
  CHECK(std::holds_alternative<ReadFeed>(world.NextCall()));
  CHECK_FALSE(world.m_follower.Tick(world.m_now + Millis(9'999)));
  world.m_follower.OnAnswered(world.m_now, Answer(StoreStatus::Ok, 41, true));
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
  world.m_follower.OnAnswered(world.m_now, Answer(StoreStatus::Ok, 1, true));
  int calls = 0;
  while (world.m_now - began < Millis(5'000)) {
    world.NextCall();
    world.m_follower.OnAnswered(world.m_now, Answer(StoreStatus::Ok, 2, false));
    ++calls;
  }
  CHECK(calls <= 21);
}

TEST_CASE("after a gap in the history everything is read again at once")
{
  World world;
  world.NextCall();
  world.m_follower.OnAnswered(world.m_now, Answer(StoreStatus::Ok, 41, true));
  world.NextCall();
  const Millis now = world.m_now;
  world.m_follower.OnAnswered(now, Answer(StoreStatus::HistoryGone, 0, false));
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
    world.m_follower.OnAnswered(world.m_now,
                                Answer(StoreStatus::Refused, 0, false));
    world.NextCall();
    ++calls;
  }
  CHECK(calls >= 8);
  CHECK(calls <= 14);
  CHECK(world.m_follower.FailingSince() == failed);
  world.m_follower.OnAnswered(world.m_now, Answer(StoreStatus::Ok, 1, true));
  CHECK_FALSE(world.m_follower.FailingSince());
}

TEST_CASE("after a failure the store is asked for an answer at once, until it "
          "has given one")
{
  World world;
  world.NextCall();
  world.m_follower.OnAnswered(world.m_now, Answer(StoreStatus::Ok, 41, true));
  const auto nextWait = [&] {
    return std::get<WatchFeed>(world.NextCall()).m_wait;
  };
  CHECK(nextWait() == Millis(1'000));
  world.m_follower.OnAnswered(world.m_now,
                              Answer(StoreStatus::Unknown, 0, false));
  CHECK(nextWait() == Millis());
  world.m_follower.OnAnswered(world.m_now, Answer(StoreStatus::Ok, 42, false));
  CHECK(nextWait() == Millis(1'000));
}

} // namespace
} // namespace briarglade
