// A long seeded run of non-idempotent calls over several nodes, with every kind
// of failure at random moments, in virtual time.

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <string>

#include "briarglade/actions/actions_world_test.h"

namespace briarglade::testing {
namespace {

constexpr size_t kNodes = 5;
constexpr uint64_t kSeed = 20261204;
constexpr int kCalls = 100'000;
constexpr Millis kSettled = Millis(120'000);

// The odds, one in so many, of each failure.
constexpr uint64_t kStoreFaultOdds = 20;
constexpr uint64_t kOutageOdds = 4'000;
constexpr uint64_t kServiceFaultOdds = 8;
constexpr uint64_t kPauseOdds = 1'000;
constexpr uint64_t kRestartOdds = 2'000;
constexpr uint64_t kLeaveOdds = 30;
constexpr uint64_t kRepeatOdds = 3;
constexpr uint64_t kLargeOdds = 8;
constexpr uint64_t kOtherBodyOdds = 20;
// A repeat takes one of so many latest keys.
constexpr uint64_t kRecentKeys = 100;

class RandomRun
{
public:
  explicit RandomRun(uint64_t aSeed)
    : m_engine(aSeed)
    , m_world(kNodes, kMaxInlineBytes)
  {
    m_world.m_largeEvery = kLargeOdds;
    m_world.m_onWrite = [this](size_t, const TableWrite&) { return Store(); };
    m_world.m_onRead = [this](size_t) { return Store(); };
    m_world.m_onObject = [this](size_t) { return Store(); };
    m_world.m_onAttempt = [this](const RequestArrived&, int) {
      return OneIn(kServiceFaultOdds)
               ? static_cast<ServiceFault>(Below(kServiceFaults))
               : ServiceFault::None;
    };
    m_world.m_beforeSend = [this](size_t aNode) { MaybeStrike(aNode); };
    m_world.m_afterRun = [this](size_t aNode) { MaybeStrike(aNode); };
  }

  World& Run()
  {
    for (int call = 0; call < kCalls; ++call) {
      SendOne();
      MaybeStrike(Below(kNodes));
      m_world.RunFor(Millis(static_cast<int64_t>(Below(20))));
    }
    m_world.RunFor(kSettled);
    return m_world;
  }

private:
  uint64_t Below(uint64_t aBound) { return m_engine() % aBound; }
  bool OneIn(uint64_t aOdds) { return Below(aOdds) == 0; }

  StoreFault Store()
  {
    if (OneIn(kOutageOdds)) {
      return StoreFault::Outage;
    }
    // The last of the faults is the outage.
    return OneIn(kStoreFaultOdds)
             ? static_cast<StoreFault>(Below(kStoreFaults - 1))
             : StoreFault::None;
  }
  // Strikes in the middle of a step would not be possible, so a little later.
  void MaybeStrike(size_t aNode)
  {
    if (OneIn(kPauseOdds)) {
      const Millis time = Millis(static_cast<int64_t>(Below(20'000)));
      m_world.At(Millis(), [=] { m_world.Pause(aNode, time); });
    }
    if (OneIn(kRestartOdds)) {
      m_world.At(Millis(), [=] { m_world.Restart(aNode); });
    }
  }
  void SendOne()
  {
    const bool isRepeat = m_keys > 0 && OneIn(kRepeatOdds);
    const uint64_t back = 1 + Below(std::min(m_keys + 1, kRecentKeys));
    const uint64_t key = isRepeat && back <= m_keys ? m_keys - back : m_keys++;
    const uint64_t body = OneIn(kOtherBodyOdds) ? 2 : 1;
    const Millis allowed = Millis(200 + static_cast<int64_t>(Below(10'000)));
    const std::string id =
      m_world.Send(Below(kNodes), "key-" + std::to_string(key), body, allowed);
    if (OneIn(kLeaveOdds)) {
      const Millis after = Millis(static_cast<int64_t>(Below(1'000)));
      m_world.At(after, [=] { m_world.Leave(id); });
    }
  }

  std::mt19937_64 m_engine;
  World m_world;
  uint64_t m_keys = 0;
};

TEST_CASE("100,000 calls over five nodes: every word true, no key run twice")
{
  RandomRun run(kSeed);
  World& world = run.Run();
  world.Judge();

  std::map<ResultCode, int> told;
  for (const auto& entry : world.Sendings()) {
    ++told[world.Told(entry.first)];
  }
  // The run met every outcome, so that each was judged.
  for (const ResultCode code : { ResultCode::Ok,
                                 ResultCode::OkReplayed,
                                 ResultCode::OutcomeUnknown,
                                 ResultCode::RecordUnavailable,
                                 ResultCode::BackendRefused,
                                 ResultCode::QueueDeadline,
                                 ResultCode::IdempotencyKeyReused,
                                 ResultCode::CallerGone }) {
    INFO("code " << code);
    CHECK(told[code] > 0);
  }
  for (size_t node = 0; node < kNodes; ++node) {
    INFO("node " << node);
    const ActionsState& state = world.State(node);
    CHECK(state.m_calls.empty());
    CHECK(state.m_accountCalls.empty());
    CHECK(state.m_records.empty());
    CHECK(state.m_pending.empty());
    CHECK(state.m_callTimers.empty());
    CHECK(state.m_recordTimers.empty());
    CHECK(state.m_keptBytes == 0);
  }
}

} // namespace
} // namespace briarglade::testing
