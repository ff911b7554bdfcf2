// How evenly load spreads over groups when load reports come late: the mean
// over time of the largest load of a group over the mean load. One row for each
// size, lateness and policy.
//
//   load_spread [--csv FILE]

#include <string>
#include <vector>

#include "bench/baseline_routing.h"
#include "bench/fake_fleet.h"
#include "bench/table_writer.h"

namespace briarglade::bench {
namespace {

constexpr double kLoad = 0.7;
constexpr Millis kEnd = Millis(180'000);

struct Policy
{
  std::string m_name;
  MakeRouting m_make;
};

void Measure(uint32_t aGroups,
             Millis aLateness,
             const Policy& aPolicy,
             TableWriter& aTable)
{
  FleetSpec spec;
  spec.m_groups = aGroups;
  spec.m_reportAge = aLateness;
  CallerSpec caller;
  caller.m_account = AccountId("account");
  caller.m_rate = kLoad * spec.Capacity();
  FakeFleet fleet(spec, { caller }, aPolicy.m_make);
  fleet.Run(kEnd);
  std::vector<double> firstToken;
  uint64_t refused = 0;
  for (const Sample& sample : fleet.Samples()) {
    if (sample.m_firstToken >= Millis()) {
      firstToken.push_back(static_cast<double>(sample.m_firstToken.Count()));
    } else {
      ++refused;
    }
  }
  aTable.Add({ std::to_string(aGroups),
               std::to_string(aLateness.Count()),
               aPolicy.m_name,
               Number(fleet.PeakToMean(), 2),
               Number(Quantile(firstToken, 0.5)),
               Number(Quantile(firstToken, 0.95)),
               Number(Quantile(firstToken, 0.99)),
               std::to_string(refused) });
}

} // namespace
} // namespace briarglade::bench

int main(int aCount, char** aArguments)
{
  using namespace briarglade;
  using namespace briarglade::bench;
  TableWriter table({ "groups",
                      "reports-late-ms",
                      "policy",
                      "peak-to-mean",
                      "first-token-p50-ms",
                      "p95-ms",
                      "p99-ms",
                      "not-served" });
  const std::vector<Policy> policies = {
    { "briarglade", MakeReducer },
    { "random", MakeBaseline(BaselinePolicy::Random) },
    { "least-reported", MakeBaseline(BaselinePolicy::LeastReported) },
    { "round-robin", MakeBaseline(BaselinePolicy::RoundRobin) },
  };
  for (const uint32_t groups : { 16U, 100U }) {
    for (const Millis lateness : { Millis(0), Millis(1'000), Millis(5'000) }) {
      for (const Policy& policy : policies) {
        Measure(groups, lateness, policy, table);
      }
    }
  }
  return table.Write(CsvFile(aCount, aArguments)) ? 0 : 1;
}
