// Whether a large account that sends ten times its share slows the small ones:
// their 95th percentiles with the large account at its share and at ten times
// it, on the same seed.
//
//   fairness [--csv FILE]

#include <string>
#include <vector>

#include "bench/baseline_routing.h"
#include "bench/fake_fleet.h"
#include "bench/table_writer.h"

namespace briarglade::bench {
namespace {

constexpr Millis kEnd = Millis(300'000);
constexpr Millis kCountFrom = Millis(30'000);
constexpr uint32_t kLargeShare = 8;
constexpr uint32_t kSmallAccounts = 9;
constexpr uint32_t kSmallShare = 2;
// The load with every account at its share, in parts of the capacity.
constexpr double kLoad = 0.85;

struct Result
{
  double m_firstTokenP95 = 0;
  double m_totalP95 = 0;
  uint64_t m_sent = 0;
  uint64_t m_refused = 0;
  uint64_t m_largeServed = 0;
  uint64_t m_largeRefused = 0;
};

std::vector<CallerSpec> MakeCallers(const FleetSpec& aSpec, double aFactor)
{
  const uint32_t shares = kLargeShare + kSmallAccounts * kSmallShare;
  const double rate = kLoad * aSpec.Capacity() / shares;
  std::vector<CallerSpec> callers;
  for (uint32_t i = 0; i <= kSmallAccounts; ++i) {
    CallerSpec caller;
    caller.m_account = AccountId("account-" + std::to_string(i));
    caller.m_share = i == 0 ? kLargeShare : kSmallShare;
    caller.m_rate = rate * caller.m_share * (i == 0 ? aFactor : 1.0);
    callers.push_back(caller);
  }
  return callers;
}

Result Run(const FleetSpec& aSpec, double aFactor, const MakeRouting& aMake)
{
  FakeFleet fleet(aSpec, MakeCallers(aSpec, aFactor), aMake);
  fleet.Run(kEnd);
  Result result;
  std::vector<double> firstToken;
  std::vector<double> total;
  for (const Sample& sample : fleet.Samples()) {
    if (sample.m_arrivedAt < kCountFrom) {
      continue;
    }
    const bool isServed = sample.m_code == ResultCode::Ok;
    if (sample.m_caller == 0) {
      result.m_largeServed += isServed ? 1 : 0;
      result.m_largeRefused += isServed ? 0 : 1;
      continue;
    }
    ++result.m_sent;
    result.m_refused += isServed ? 0 : 1;
    if (isServed) {
      firstToken.push_back(static_cast<double>(sample.m_firstToken.Count()));
      total.push_back(static_cast<double>(
        (sample.m_finishedAt - sample.m_arrivedAt).Count()));
    }
  }
  result.m_firstTokenP95 = Quantile(firstToken, 0.95);
  result.m_totalP95 = Quantile(total, 0.95);
  return result;
}

std::string Change(double aBefore, double aAfter)
{
  return Number(100.0 * (aAfter - aBefore) / aBefore, 1);
}

void Measure(uint64_t aSeed,
             const std::string& aName,
             const MakeRouting& aMake,
             TableWriter& aTable)
{
  FleetSpec spec;
  spec.m_seed = aSeed;
  const Result calm = Run(spec, 1.0, aMake);
  const Result greedy = Run(spec, 10.0, aMake);
  aTable.Add({ std::to_string(aSeed),
               aName,
               Number(calm.m_firstTokenP95),
               Number(greedy.m_firstTokenP95),
               Change(calm.m_firstTokenP95, greedy.m_firstTokenP95),
               Number(calm.m_totalP95),
               Number(greedy.m_totalP95),
               Change(calm.m_totalP95, greedy.m_totalP95),
               std::to_string(calm.m_refused),
               std::to_string(greedy.m_refused),
               std::to_string(greedy.m_sent),
               std::to_string(calm.m_largeServed),
               std::to_string(greedy.m_largeServed),
               std::to_string(greedy.m_largeRefused) });
}

} // namespace
} // namespace briarglade::bench

int main(int aCount, char** aArguments)
{
  using namespace briarglade::bench;
  TableWriter table({ "seed",
                      "policy",
                      "small-first-token-p95-ms",
                      "at-ten-times",
                      "change-%",
                      "small-total-p95-ms",
                      "at-ten-times",
                      "change-%",
                      "small-refused",
                      "at-ten-times",
                      "small-sent",
                      "large-served",
                      "at-ten-times",
                      "large-refused" });
  for (const uint64_t seed : { 1U, 2U, 3U }) {
    Measure(seed, "briarglade", MakeReducer, table);
    Measure(
      seed, "round-robin", MakeBaseline(BaselinePolicy::RoundRobin), table);
  }
  return table.Write(CsvFile(aCount, aArguments)) ? 0 : 1;
}
