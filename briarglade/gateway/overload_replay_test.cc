// Replays of a sustained overload of model groups: callers of two routes, five
// accounts and all sizes compete for what the groups can run in time.

#include <cmath>
#include <doctest/doctest.h>
#include <string>

#include "briarglade/gateway/overload_replay_test.h"

namespace briarglade {
namespace {

constexpr uint32_t kSeeds = 3;

OverloadResult Replay(double aOverload, bool aStatesTerms)
{
  OverloadResult all;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    OverloadOptions options;
    options.m_overload = aOverload;
    options.m_statesTerms = aStatesTerms;
    options.m_seed = seed;
    const OverloadResult result = OverloadReplay(options).Run();
    const auto add = [](OverloadCount& aTo, const OverloadCount& aFrom) {
      aTo.m_offered += aFrom.m_offered;
      aTo.m_onTime += aFrom.m_onTime;
      aTo.m_late += aFrom.m_late;
    };
    add(all.m_all, result.m_all);
    for (const auto& [name, count] : result.m_classes) {
      add(all.m_classes[name], count);
    }
    all.m_lateStarts += result.m_lateStarts;
    all.m_sentLate += result.m_sentLate;
    all.m_longPauses += result.m_longPauses;
    all.m_meanAtGroup += result.m_meanAtGroup / kSeeds;
    all.m_meanSquareAtGroup += result.m_meanSquareAtGroup / kSeeds;
    all.m_refusals += result.m_refusals;
    all.m_timeouts += result.m_timeouts;
    all.m_maxReturns = std::max(all.m_maxReturns, result.m_maxReturns);
    all.m_meanReturns += result.m_meanReturns / kSeeds;
  }
  return all;
}

std::string Describe(const OverloadResult& aResult)
{
  std::string text =
    "offered " + std::to_string(aResult.m_all.m_offered) + ", on time " +
    std::to_string(aResult.m_all.m_onTime) + ", late " +
    std::to_string(aResult.m_all.m_late) + " (started late " +
    std::to_string(aResult.m_lateStarts) + ", sent late " +
    std::to_string(aResult.m_sentLate) + ", long pauses " +
    std::to_string(aResult.m_longPauses) + "), at a group " +
    std::to_string(aResult.m_meanAtGroup) + " (deviation " +
    std::to_string(std::sqrt(aResult.m_meanSquareAtGroup -
                             aResult.m_meanAtGroup * aResult.m_meanAtGroup)) +
    "), refusals " + std::to_string(aResult.m_refusals) + ", timeouts " +
    std::to_string(aResult.m_timeouts) + ", returns in 100 ms: max " +
    std::to_string(aResult.m_maxReturns) + ", mean " +
    std::to_string(aResult.m_meanReturns) + "; served:";
  for (const auto& [name, count] : aResult.m_classes) {
    text += " " + name + " " + std::to_string(count.ServedFraction());
  }
  return text;
}

// Guards the measure itself: by slots and load alone, late work takes the place
// of work that could be on time.
TEST_CASE("without stated engine times an overload of 1.5 leaves fewer on time")
{
  const OverloadResult full = Replay(1, false);
  const OverloadResult over = Replay(1.5, false);
  MESSAGE("1.0 by slots and load: " << Describe(full));
  MESSAGE("1.5 by slots and load: " << Describe(over));
  CHECK(over.m_all.m_onTime < full.m_all.m_onTime * 9 / 10);
}

// Guards against groups that are given requests which start late there, against
// late work that takes the place of work on time, and against nodes that all
// take the same room.
TEST_CASE("with stated engine times an overload of 1.5 leaves as many on time")
{
  const OverloadResult bySlots = Replay(1, false);
  const OverloadResult full = Replay(1, true);
  const OverloadResult over = Replay(1.5, true);
  MESSAGE("1.0 by expected start: " << Describe(full));
  MESSAGE("1.5 by expected start: " << Describe(over));
  CHECK(full.m_all.m_onTime >= bySlots.m_all.m_onTime);
  const OverloadResult overBySlots = Replay(1.5, false);
  CHECK(over.m_all.m_onTime > overBySlots.m_all.m_onTime * 2);
  CHECK(over.m_timeouts < overBySlots.m_timeouts);
  CHECK(over.m_all.m_onTime >= full.m_all.m_onTime * 9 / 10);
  // Every kind and account is served at least a quarter as often as all
  // requests, every size half as often.
  const double served = over.m_all.ServedFraction();
  for (const auto& entry : over.m_classes) {
    const std::string& name = entry.first;
    CAPTURE(name);
    const bool isSize = name.rfind("size", 0) == 0;
    CHECK(entry.second.ServedFraction() >= served / (isSize ? 2 : 4));
  }
  // Refused callers do not return all at once.
  CHECK(over.m_maxReturns <= over.m_meanReturns * 3);
}

} // namespace
} // namespace briarglade
