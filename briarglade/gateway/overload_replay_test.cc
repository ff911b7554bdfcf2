// Replays of an overload of model groups: callers of two routes, five accounts
// and all sizes compete for what the groups can run in time.

#include <doctest/doctest.h>
#include <sstream>
#include <string>

#include "briarglade/gateway/overload_replay_test.h"

namespace briarglade {
namespace {

// With 3 seeds, one that happens to be overloaded for long decides the result.
constexpr uint32_t kSeeds = 8;

// The load of most of the day, and of a surge, as multiples of what the groups
// can run.
constexpr double kUsualLoad = 0.9;
constexpr double kSurgeFactor = 2;

template<typename Change>
OverloadResult Replay(const Change& aChange)
{
  OverloadResult all;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    OverloadOptions options;
    options.m_seed = seed;
    aChange(options);
    const OverloadResult result = OverloadReplay(options).Run();
    all.m_all.Add(result.m_all);
    for (const auto& [name, count] : result.m_classes) {
      all.m_classes[name].Add(count);
    }
    all.m_lateStarts += result.m_lateStarts;
    all.m_longPauses += result.m_longPauses;
    all.m_samples += result.m_samples;
    all.m_running += result.m_running;
    all.m_queued += result.m_queued;
    all.m_refusals += result.m_refusals;
    all.m_maxReturns = std::max(all.m_maxReturns, result.m_maxReturns);
    all.m_meanReturns += result.m_meanReturns / kSeeds;
  }
  return all;
}

OverloadResult ReplayLoad(double aOverload, bool aStatesTimes)
{
  return Replay([&](OverloadOptions& aOptions) {
    aOptions.m_overload = aOverload;
    aOptions.m_statesTimes = aStatesTimes;
  });
}

OverloadResult ReplaySurge(bool aStatesTimes)
{
  return Replay([&](OverloadOptions& aOptions) {
    aOptions.m_overload = kUsualLoad;
    aOptions.m_surgeFactor = kSurgeFactor;
    aOptions.m_statesTimes = aStatesTimes;
  });
}

std::string Describe(const OverloadResult& aResult)
{
  const auto describe = [](std::ostream& aText, const OverloadCount& aCount) {
    aText << "on time " << aCount.m_onTime << ", late " << aCount.m_late
          << ", refused " << aCount.m_refused << ", timed out "
          << aCount.m_timedOut << " of " << aCount.m_offered << ", served "
          << aCount.ServedFraction();
  };
  std::ostringstream text;
  describe(text, aResult.m_all);
  text << "\n  served, but started late " << aResult.m_lateStarts
       << ", long pauses " << aResult.m_longPauses << "; at a group: running "
       << aResult.m_running / aResult.m_samples << ", queued "
       << aResult.m_queued / aResult.m_samples << "; refusals "
       << aResult.m_refusals << ", returns in 100 ms: max "
       << aResult.m_maxReturns << ", mean " << aResult.m_meanReturns;
  for (const auto& [name, count] : aResult.m_classes) {
    text << "\n  " << name << ": ";
    describe(text, count);
  }
  return text.str();
}

// Guards against overload in which some route, account or size is not served:
// each route and account is served at least a quarter as often as all requests,
// each size half as often.
void CheckNoneStarves(const OverloadResult& aResult)
{
  const double served = aResult.m_all.ServedFraction();
  for (const auto& entry : aResult.m_classes) {
    const std::string& name = entry.first;
    CAPTURE(name);
    const bool isSize = name.rfind("size", 0) == 0;
    CHECK(entry.second.ServedFraction() >= served / (isSize ? 2 : 4));
  }
}

// Checks the condition for each rule that applies where engine times are
// stated: at least as many on time as by slots and load, and at most 2 % fewer
// served.
void CheckNoWorse(const OverloadResult& aResult, const OverloadResult& aBase)
{
  constexpr double kServedFraction = 0.98;
  CHECK(aResult.m_all.m_onTime >= aBase.m_all.m_onTime);
  CHECK(aResult.m_all.ServedFraction() >=
        aBase.m_all.ServedFraction() * kServedFraction);
}

// Guards against groups chosen by the starts of one zone's nodes alone:
// requests then start late at some groups while others have free slots.
TEST_CASE("overload replay: at 0.7 nearly all requests are on time")
{
  const OverloadResult result = ReplayLoad(0.7, true);
  MESSAGE("0.7: " << Describe(result));
  CHECK(result.m_all.Served() == result.m_all.m_offered);
  CHECK(result.m_all.m_onTime * 10 >= result.m_all.m_offered * 9);
}

// The cases below guard against nodes that all fill the same room, and against
// late requests that make others late.
TEST_CASE("overload replay: at 1.0 stated times make nothing worse")
{
  const OverloadResult base = ReplayLoad(1, false);
  const OverloadResult result = ReplayLoad(1, true);
  MESSAGE("1.0 by slots and load: " << Describe(base));
  MESSAGE("1.0: " << Describe(result));
  CheckNoWorse(result, base);
  CheckNoneStarves(result);
}

TEST_CASE("overload replay: at 1.5 stated times make nothing worse")
{
  const OverloadResult base = ReplayLoad(1.5, false);
  const OverloadResult result = ReplayLoad(1.5, true);
  MESSAGE("1.5 by slots and load: " << Describe(base));
  MESSAGE("1.5: " << Describe(result));
  CheckNoWorse(result, base);
  // A target. Without the share of the room, or with the former Retry-After,
  // fewer are on time.
  CHECK(result.m_all.m_onTime >= base.m_all.m_onTime * 2);
  CheckNoneStarves(result);
}

TEST_CASE("overload replay: in a surge stated times make nothing worse")
{
  const OverloadResult base = ReplaySurge(false);
  const OverloadResult result = ReplaySurge(true);
  MESSAGE("surge by slots and load: " << Describe(base));
  MESSAGE("surge: " << Describe(result));
  CheckNoWorse(result, base);
  CHECK(result.m_all.m_onTime * 2 >= base.m_all.m_onTime * 3);
  CheckNoneStarves(result);
}

} // namespace
} // namespace briarglade
