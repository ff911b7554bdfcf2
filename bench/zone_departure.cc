// Service while an availability zone leaves and returns, at both users' sizes:
// this system against round robin with three blind retries, on the same seed.
// Prints one row for each scenario, policy and account.
//
//   zone_departure [--csv FILE]

#include <cstdio>
#include <string>
#include <vector>

#include "bench/baseline_routing.h"
#include "bench/fake_fleet.h"
#include "bench/table_writer.h"

namespace briarglade::bench {
namespace {

constexpr Millis kOutAt = Millis(60'000);
constexpr Millis kStoppedAt = Millis(90'000);
constexpr Millis kStartedAt = Millis(150'000);
constexpr Millis kInAt = Millis(165'000);
constexpr Millis kEnd = Millis(300'000);

struct User
{
  std::string m_name;
  FleetSpec m_fleet;
};

User Westsign()
{
  User user{ "westsign", FleetSpec() };
  user.m_fleet.m_nodes = 9;
  user.m_fleet.m_services = 3;
  return user;
}

User Kitakaze()
{
  User user{ "kitakaze", FleetSpec() };
  user.m_fleet.m_nodes = 8;
  user.m_fleet.m_services = 3;
  user.m_fleet.m_requestLimit = 24;
  user.m_fleet.m_coldLimit = 3;
  user.m_fleet.m_meanTokens = 60;
  user.m_fleet.m_prefill = Millis(50);
  return user;
}

// How the zone goes: taken out by operators first, or dark without a word.
struct Departure
{
  std::string m_name;
  bool m_planned = true;
  // Load, in parts of the capacity of the whole fleet.
  double m_load = 0.85;
};

struct PolicyRow
{
  std::string m_name;
  MakeRouting m_make;
};

// Ten accounts, three of them large; loads in proportion to the shares.
std::vector<CallerSpec> MakeCallers(const FleetSpec& aFleet, double aLoad)
{
  const uint32_t shares[] = { 8, 6, 4, 1, 1, 1, 1, 1, 1, 1 };
  constexpr double kBookings = 0.05;
  uint32_t sum = 0;
  for (const uint32_t share : shares) {
    sum += share;
  }
  std::vector<CallerSpec> callers;
  for (const uint32_t share : shares) {
    CallerSpec caller;
    caller.m_account =
      AccountId("account-" + std::to_string(callers.size() + 1));
    caller.m_share = share;
    caller.m_bookings = kBookings;
    caller.m_rate = aLoad * aFleet.Capacity() * share / sum / (1 - kBookings);
    callers.push_back(caller);
  }
  return callers;
}

struct Tally
{
  uint64_t m_sent = 0;
  uint64_t m_ok = 0;
  uint64_t m_refused = 0;
  uint64_t m_refusedWithRoom = 0;
  uint64_t m_late = 0;
  uint64_t m_lost = 0;
  uint64_t m_secondRuns = 0;
  // Time to the first token of requests that came during the event.
  std::vector<double> m_firstToken;
};

void Count(const Sample& aSample, Tally& aTally)
{
  const Outcome outcome = DescribeResultCode(aSample.m_code).m_outcome;
  const Millis took = aSample.m_finishedAt - aSample.m_arrivedAt;
  ++aTally.m_sent;
  aTally.m_secondRuns += aSample.m_booking && aSample.m_runs > 1 ? 1 : 0;
  if (outcome == Outcome::Done) {
    ++aTally.m_ok;
  } else if (outcome == Outcome::NotRun) {
    ++aTally.m_refused;
    aTally.m_refusedWithRoom += aSample.m_hadRoom ? 1 : 0;
  } else if (took >= aSample.m_timeout) {
    ++aTally.m_late;
  } else {
    ++aTally.m_lost;
  }
  if (aSample.m_firstToken >= Millis() && aSample.m_arrivedAt >= kOutAt) {
    aTally.m_firstToken.push_back(
      static_cast<double>(aSample.m_firstToken.Count()));
  }
}

void Schedule(FakeFleet& aFleet, const Departure& aDeparture)
{
  const ZoneId zone("zone-0");
  if (aDeparture.m_planned) {
    aFleet.At(kOutAt, [&aFleet, zone] {
      aFleet.SetZones({ { zone, ZoneState::Out } });
    });
    aFleet.At(kStoppedAt, [&aFleet, zone] { aFleet.StopZone(zone, false); });
  } else {
    aFleet.At(kOutAt, [&aFleet, zone] { aFleet.StopZone(zone, true); });
    aFleet.At(kStoppedAt, [&aFleet, zone] {
      aFleet.SetZones({ { zone, ZoneState::Out } });
    });
  }
  aFleet.At(kStartedAt, [&aFleet, zone] { aFleet.StartZone(zone); });
  aFleet.At(kInAt, [&aFleet, zone] {
    aFleet.SetZones({ { zone, ZoneState::In } });
  });
}

std::vector<std::string> Row(const std::vector<std::string>& aNames,
                             const Tally& aTally,
                             const std::string& aColdCrashes)
{
  std::vector<std::string> row = aNames;
  for (const uint64_t count : { aTally.m_sent,
                                aTally.m_ok,
                                aTally.m_refused,
                                aTally.m_refusedWithRoom,
                                aTally.m_late,
                                aTally.m_lost,
                                aTally.m_secondRuns }) {
    row.push_back(std::to_string(count));
  }
  for (const double part : { 0.5, 0.95, 0.99 }) {
    row.push_back(Number(Quantile(aTally.m_firstToken, part)));
  }
  row.push_back(aColdCrashes);
  return row;
}

void Measure(const User& aUser,
             const Departure& aDeparture,
             const PolicyRow& aPolicy,
             TableWriter& aTable)
{
  const std::vector<CallerSpec> callers =
    MakeCallers(aUser.m_fleet, aDeparture.m_load);
  FakeFleet fleet(aUser.m_fleet, callers, aPolicy.m_make);
  Schedule(fleet, aDeparture);
  fleet.Run(kEnd);
  std::vector<Tally> tallies(callers.size());
  Tally all;
  all.m_lost = fleet.Unfinished();
  for (const Sample& sample : fleet.Samples()) {
    Count(sample, tallies[sample.m_caller]);
    Count(sample, all);
  }
  const std::vector<std::string> names = { aUser.m_name,
                                           aDeparture.m_name,
                                           aPolicy.m_name };
  for (size_t i = 0; i < callers.size(); ++i) {
    std::vector<std::string> row = names;
    row.push_back(callers[i].m_account.Value());
    aTable.Add(Row(row, tallies[i], ""));
  }
  std::vector<std::string> row = names;
  row.emplace_back("all");
  aTable.Add(Row(row, all, std::to_string(fleet.ColdCrashes())));
}

} // namespace
} // namespace briarglade::bench

int main(int aCount, char** aArguments)
{
  using namespace briarglade::bench;
  TableWriter table({ "user",
                      "departure",
                      "policy",
                      "account",
                      "sent",
                      "ok",
                      "refused",
                      "refused-with-room",
                      "late",
                      "lost",
                      "second-runs",
                      "first-token-p50-ms",
                      "p95-ms",
                      "p99-ms",
                      "cold-crashes" });
  const std::vector<Departure> departures = {
    { "planned-load-85", true, 0.85 },
    { "dark-load-85", false, 0.85 },
    { "planned-load-55", true, 0.55 },
    { "dark-load-55", false, 0.55 },
  };
  const std::vector<PolicyRow> policies = {
    { "briarglade", MakeReducer },
    { "round-robin-3-retries", MakeBaseline(BaselinePolicy::RoundRobin) },
  };
  for (const User& user : { Westsign(), Kitakaze() }) {
    for (const Departure& departure : departures) {
      for (const PolicyRow& policy : policies) {
        Measure(user, departure, policy, table);
      }
    }
  }
  return table.Write(CsvFile(aCount, aArguments)) ? 0 : 1;
}
