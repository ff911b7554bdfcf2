// Replays of an overload of model groups: callers of two routes, five accounts
// and all sizes compete for what the groups can run in time.

#include <doctest/doctest.h>
#include <sstream>
#include <string>

#include "briarglade/gateway/overload_replay_test.h"

namespace briarglade {
namespace {

constexpr uint32_t kSeeds = 2;

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

OverloadResult ReplayLoad(double aOverload)
{
  return Replay(
    [&](OverloadOptions& aOptions) { aOptions.m_overload = aOverload; });
}

OverloadResult ReplaySurge()
{
  return Replay([](OverloadOptions& aOptions) {
    aOptions.m_overload = kUsualLoad;
    aOptions.m_surgeFactor = kSurgeFactor;
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

TEST_CASE("overload replay: at 1.0 no route, account or size starves")
{
  const OverloadResult result = ReplayLoad(1);
  MESSAGE("1.0: " << Describe(result));
  CheckNoneStarves(result);
}

TEST_CASE("overload replay: at 1.5 no route, account or size starves")
{
  const OverloadResult result = ReplayLoad(1.5);
  MESSAGE("1.5: " << Describe(result));
  CheckNoneStarves(result);
}

TEST_CASE("overload replay: in a surge no route, account or size starves")
{
  const OverloadResult result = ReplaySurge();
  MESSAGE("surge: " << Describe(result));
  CheckNoneStarves(result);
}

} // namespace
} // namespace briarglade
