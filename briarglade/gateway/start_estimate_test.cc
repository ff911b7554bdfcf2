// Tests of the estimated time to a first event and of the duration of passes.

#include "briarglade/gateway/start_estimate.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

// A pass takes 40 ms and 1 ms for each request; 10 ms for 1,000 prompt tokens.
EngineTimes MakeTimes()
{
  EngineTimes times;
  times.m_stepMillis = 10;
  times.m_stepMillisPerRequest = 0.25;
  times.m_prefillTokensPerMilli = 100;
  times.m_prefillChunkTokens = 1'000;
  times.m_stepsPerPass = 4;
  return times;
}

TEST_CASE("an idle group answers after its own pass and the prompt")
{
  CHECK(EstimateFirstEvent(MakeTimes(), {}, 1'000) == Millis(41 + 10));
  CHECK(EstimateFirstEvent(MakeTimes(), {}, 0) == Millis(41));
  // Two passes: one processes 4,000 tokens at most.
  CHECK(EstimateFirstEvent(MakeTimes(), {}, 4'001) == Millis(2 * 41 + 41));
}

TEST_CASE("guards against starts counted without the prompts that are ahead")
{
  const GroupWork work{ 9, 6'000 };
  // The running pass, two more passes, and 8,000 tokens.
  CHECK(EstimateFirstEvent(MakeTimes(), work, 2'000) ==
        Millis(49 + 2 * 50 + 80));
  CHECK(EstimateFirstEvent(MakeTimes(), { 9, 0 }, 2'000) ==
        Millis(49 + 50 + 20));
}

TEST_CASE("guards against prompts that stretch the pauses unnoticed")
{
  CHECK(EstimateLongestPass(MakeTimes(), { 9, 0 }, 0) == Millis(50));
  CHECK(EstimateLongestPass(MakeTimes(), { 9, 1'000 }, 1'000) ==
        Millis(50 + 20));
  // A pass processes 4,000 tokens at most.
  CHECK(EstimateLongestPass(MakeTimes(), { 9, 90'000 }, 1'000) ==
        Millis(50 + 40));
}

TEST_CASE("a model's factor applies to every duration")
{
  const EngineTimes slow = MakeTimes().MultipliedBy(2);
  CHECK(EstimateFirstEvent(slow, {}, 1'000) == Millis(2 * (41 + 10)));
  CHECK(EstimateLongestPass(slow, { 9, 0 }, 1'000) == Millis(2 * (50 + 10)));
  CHECK_FALSE(MakeTimes().MultipliedBy(0).AreKnown());
}

TEST_CASE("times with a value missing are unknown")
{
  CHECK(MakeTimes().AreKnown());
  CHECK_FALSE(EngineTimes().AreKnown());
  EngineTimes times = MakeTimes();
  times.m_prefillChunkTokens = 0;
  CHECK_FALSE(times.AreKnown());
}

} // namespace
} // namespace briarglade
