// Replays of whole fleets' traffic against the choice of a backend: by the work
// that is to be done, against the number of requests alone on the same seeds.

#include <doctest/doctest.h>
#include <string>

#include "briarglade/gateway/engine_replay_test.h"

namespace briarglade {
namespace {

// What a stream may take to its first event, and pause later, to be in time.
constexpr double kFirstMillis = 300;
constexpr double kPauseMillis = 250;
constexpr uint32_t kSeeds = 8;

// What a policy came to, over all seeds.
struct Outcome
{
  double m_lateShare = 0;
  double m_firstMillis = 0;
  double m_pauseMillis = 0;
  uint32_t m_refused = 0;
};

Outcome Replay(bool aTellsTokens, Millis aDeathPeriod)
{
  constexpr double kTail = 0.95;
  Outcome outcome;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ReplayOptions options;
    options.m_seed = seed;
    options.m_length = Millis(30'000);
    options.m_groupLossPeriod = aDeathPeriod;
    options.m_reportsTokens = aTellsTokens;
    const ReplayResult result = EngineReplay({}, options).Run();
    outcome.m_lateShare +=
      result.LateShare(kFirstMillis, kPauseMillis) / kSeeds;
    outcome.m_firstMillis +=
      ReplayResult::Quantile(result.m_firstMillis, kTail) / kSeeds;
    outcome.m_pauseMillis +=
      ReplayResult::Quantile(result.m_pauseMillis, kTail) / kSeeds;
    outcome.m_refused += result.m_refused;
  }
  return outcome;
}

void Tell(const char* aName, const Outcome& aByWork, const Outcome& aByNumber)
{
  MESSAGE(std::string(aName)
          << ", by work against by number: late " << aByWork.m_lateShare
          << " against " << aByNumber.m_lateShare << ", first event p95 "
          << aByWork.m_firstMillis << " against " << aByNumber.m_firstMillis
          << " ms, longest pause p95 " << aByWork.m_pauseMillis << " against "
          << aByNumber.m_pauseMillis << " ms");
}

TEST_CASE(
  "on a calm day placement by work has fewer late streams than by number")
{
  const Outcome byWork = Replay(true, Millis());
  const Outcome byNumber = Replay(false, Millis());
  Tell("calm", byWork, byNumber);
  CHECK(byWork.m_lateShare < byNumber.m_lateShare / 2);
  CHECK(byWork.m_firstMillis < byNumber.m_firstMillis);
  CHECK(byWork.m_pauseMillis < byNumber.m_pauseMillis);
  CHECK(byWork.m_refused == 0);
}

TEST_CASE(
  "the streams of lost groups spread over the others by the work they are")
{
  const Outcome byWork = Replay(true, Millis(6'000));
  const Outcome byNumber = Replay(false, Millis(6'000));
  Tell("a group lost every 6 s", byWork, byNumber);
  CHECK(byWork.m_lateShare < byNumber.m_lateShare);
  CHECK(byWork.m_firstMillis < byNumber.m_firstMillis);
  CHECK(byWork.m_pauseMillis <= kPauseMillis);
}

// Returns the outcome of one load pattern, over some seeds.
template<typename Change>
ReplayResult ReplayPattern(const Change& aChange)
{
  ReplayResult all;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ReplayOptions options;
    options.m_seed = seed;
    options.m_length = Millis(20'000);
    aChange(options);
    const ReplayResult result = EngineReplay({}, options).Run();
    all.m_firstMillis.insert(all.m_firstMillis.end(),
                             result.m_firstMillis.begin(),
                             result.m_firstMillis.end());
    all.m_pauseMillis.insert(all.m_pauseMillis.end(),
                             result.m_pauseMillis.begin(),
                             result.m_pauseMillis.end());
    all.m_refused += result.m_refused;
  }
  return all;
}

TEST_CASE(
  "callers of one zone use the groups of the others before theirs is full")
{
  const ReplayResult result =
    ReplayPattern([](ReplayOptions& aOptions) { aOptions.m_isOneZone = true; });
  CHECK(result.m_refused == 0);
  CHECK(result.LateShare(kFirstMillis, kPauseMillis) < 0.15);
}

TEST_CASE(
  "with half of the groups gone the rest carry what they can, none idle")
{
  const ReplayResult result = ReplayPattern(
    [](ReplayOptions& aOptions) { aOptions.m_halfLostAt = Millis(5'000); });
  const double refused = result.m_refused;
  const auto served = static_cast<double>(result.m_firstMillis.size());
  CHECK(refused / (refused + served) < 0.15);
  CHECK(ReplayResult::Quantile(result.m_firstMillis, 0.5) < 400);
}

TEST_CASE("nodes that hear of each other late still spread by their own work")
{
  const ReplayResult result = ReplayPattern([](ReplayOptions& aOptions) {
    aOptions.m_peerUpdatePeriod = Millis(1'500);
  });
  CHECK(result.m_refused == 0);
  CHECK(result.LateShare(kFirstMillis, kPauseMillis) < 0.15);
}

// Guards against groups that get the requests of all nodes until the next
// reports of their load, while others idle: half of the slots are in use here.
TEST_CASE("many nodes with late reports send no bursts to single groups")
{
  const auto replay = [](bool aExpectsUnreported) {
    return ReplayPattern([&](ReplayOptions& aOptions) {
      aOptions.m_nodes = 48;
      aOptions.m_groups = 24;
      aOptions.m_requestsPerSecond = 188;
      aOptions.m_peerUpdatePeriod = Millis(400);
      aOptions.m_length = Millis(8'000);
      aOptions.m_expectsUnreported = aExpectsUnreported;
    });
  };
  const ReplayResult spread = replay(true);
  const ReplayResult byReports = replay(false);
  const double late = spread.LateShare(kFirstMillis, kPauseMillis);
  const double lateByReports = byReports.LateShare(kFirstMillis, kPauseMillis);
  MESSAGE("late " << late << ", by reported loads alone " << lateByReports);
  CHECK(spread.m_refused == 0);
  CHECK(late < lateByReports / 2);
}

} // namespace
} // namespace briarglade
