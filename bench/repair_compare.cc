// Compares the planner with a plain baseline on the same seeded histories.
//
// The baseline repairs a group only with a spare host of its fabric domain, and
// waits for the missing member otherwise. The planner's spare hosts load
// weights while no group does; the baseline's load when they are needed. Both
// see the same deaths, restarts, pauses and racks that lose power. Time is
// simulated from event to event; no node, table or server runs.
//
//   repair_compare [--csv FILE] [--seeds N] [--days N] [--rate N]
//
// Group downtime: hours in which the domain holds a group less than wanted, for
// each such group. Stranded: hours of a host that is up but in no complete
// group while its domain lacks one.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "briarglade/placement/domain_plan.h"

namespace briarglade {

namespace {

constexpr double kSecondsPerDay = 86'400;
constexpr double kSecondsPerHour = 3'600;
// A host counts as missing so many seconds after it went down.
constexpr double kDetectSeconds = 5;
constexpr double kLoadGigabytesPerSecond = 10;
constexpr uint32_t kModelGigabytes = 320;
// Events for each host and day, as the fleet of the target size has them.
constexpr double kDeathsPerHostDay = 87.0 / 7'600;
constexpr double kRestartsPerHostDay = 1'400.0 / 7'600;
// Racks that go dark, for each rack and day.
constexpr double kRackOutagesPerDay = 1.0 / 7 / (7'600.0 / 8);
constexpr uint32_t kRackHosts = 8;
constexpr double kRepairSeconds = 12 * kSecondsPerHour;
constexpr double kRestartSeconds = 60;
constexpr double kRackSeconds = 2 * kSecondsPerHour;
// The share of short absences after which a host still holds its weights.
constexpr double kKeepsWeights = 0.25;

// One user's fleet.
struct Layout
{
  const char* m_name;
  // Hosts of each fabric domain.
  std::vector<uint32_t> m_domains;
  uint32_t m_members;
  // Groups wanted in each domain.
  std::vector<uint32_t> m_groups;
};

// A host is away from m_from to m_until.
struct Absence
{
  uint32_t m_host;
  double m_from;
  double m_until;
  bool m_keepsWeights;
};

struct Outcome
{
  double m_downHours = 0;
  double m_strandedHours = 0;
  // What no repair could have avoided: the hosts that are up are too few.
  double m_downFloor = 0;
  double m_strandedFloor = 0;
};

HostId HostName(uint32_t aHost)
{
  char name[16];
  std::snprintf(name, sizeof(name), "h%03u", aHost);
  return HostId(name);
}

// Draws the absences of one domain's hosts.
std::vector<Absence> DrawHistory(uint32_t aHosts,
                                 double aDays,
                                 double aRate,
                                 std::mt19937_64& aRandom)
{
  std::vector<Absence> history;
  const auto exponential = [&](double aMean) {
    return std::exponential_distribution<double>(1 / aMean)(aRandom);
  };
  const auto draw = [&](double aPerDay, const auto& aAdd) {
    double at = exponential(kSecondsPerDay / aPerDay);
    while (at < aDays * kSecondsPerDay) {
      aAdd(at);
      at += exponential(kSecondsPerDay / aPerDay);
    }
  };
  for (uint32_t host = 0; host < aHosts; ++host) {
    draw(kDeathsPerHostDay * aRate, [&](double aAt) {
      history.push_back(
        Absence{ host, aAt, aAt + exponential(kRepairSeconds), false });
    });
    draw(kRestartsPerHostDay * aRate, [&](double aAt) {
      const bool keeps = std::bernoulli_distribution(kKeepsWeights)(aRandom);
      history.push_back(
        Absence{ host, aAt, aAt + exponential(kRestartSeconds), keeps });
    });
  }
  for (uint32_t first = 0; first < aHosts; first += kRackHosts) {
    draw(kRackOutagesPerDay * aRate, [&](double aAt) {
      const double until = aAt + exponential(kRackSeconds);
      for (uint32_t host = first; host < std::min(first + kRackHosts, aHosts);
           ++host) {
        history.push_back(Absence{ host, aAt, until, false });
      }
    });
  }
  return history;
}

// The plain baseline: a spare, or wait.
DomainRow RepairWithSpare(const DomainPlanInput& aInput)
{
  DomainRow next = aInput.m_present;
  std::set<HostId> taken;
  std::map<HostId, HostCondition> condition;
  for (const Group& group : next.m_groups) {
    taken.insert(group.m_members.begin(), group.m_members.end());
  }
  std::vector<HostId> spares;
  for (const PlannerHost& host : aInput.m_hosts) {
    condition[host.m_id] = host.m_condition;
    if (host.m_condition == HostCondition::Usable &&
        taken.count(host.m_id) == 0) {
      spares.push_back(host.m_id);
    }
  }
  for (Group& group : next.m_groups) {
    bool hasChanged = false;
    for (HostId& member : group.m_members) {
      if (condition[member] == HostCondition::Missing && !spares.empty()) {
        member = spares.front();
        spares.erase(spares.begin());
        hasChanged = true;
      }
    }
    if (hasChanged) {
      group.m_generation = group.m_generation.Next();
    }
  }
  return next;
}

// One domain over one history, under one of the two policies.
class DomainRun
{
public:
  DomainRun(uint32_t aHosts,
            uint32_t aMembers,
            uint32_t aGroups,
            bool aIsBaseline)
    : m_hosts(aHosts)
    , m_groups(aGroups)
    , m_isBaseline(aIsBaseline)
  {
    m_input.m_domain = DomainId("d");
    m_input.m_loadRate = kLoadGigabytesPerSecond;
    ModelDemand demand;
    demand.m_model = ModelId("m");
    demand.m_members = aMembers;
    demand.m_groups = aGroups;
    demand.m_weightGigabytes = kModelGigabytes;
    m_input.m_demand.push_back(demand);
    for (uint32_t host = 0; host < aHosts; ++host) {
      m_hosts[host].m_id = HostName(host);
      m_index[m_hosts[host].m_id] = host;
    }
    m_row = PlanDomain(Input(0)).m_next;
    for (const Group& group : m_row.m_groups) {
      for (const HostId& host : group.m_members) {
        m_hosts[m_index[host]].m_isLoaded = true;
      }
    }
  }

  Outcome Run(const std::vector<Absence>& aHistory, double aEnd)
  {
    for (size_t index = 0; index < aHistory.size(); ++index) {
      m_events.push({ aHistory[index].m_from, Kind::Leave, index });
      m_events.push({ aHistory[index].m_until, Kind::Return, index });
    }
    double now = 0;
    while (!m_events.empty() && m_events.top().m_at < aEnd) {
      const Event event = m_events.top();
      m_events.pop();
      Account(event.m_at - now);
      now = event.m_at;
      Take(event, aHistory);
      Plan(now);
      UpdateServing(now);
      if (!m_isBaseline) {
        LoadSpares(now);
      }
    }
    Account(aEnd - now);
    return m_outcome;
  }

private:
  enum class Kind
  {
    Leave,
    Return,
    Check
  };
  struct Event
  {
    double m_at;
    Kind m_kind;
    size_t m_index;
    bool operator<(const Event& aOther) const { return m_at > aOther.m_at; }
  };
  struct Host
  {
    HostId m_id;
    // Absences that cover the present time.
    uint32_t m_absences = 0;
    double m_awaySince = 0;
    bool m_isLoaded = false;
  };
  struct Load
  {
    Generation m_generation;
    double m_doneAt = 0;
  };

  void Take(const Event& aEvent, const std::vector<Absence>& aHistory)
  {
    if (aEvent.m_kind == Kind::Check) {
      return;
    }
    const Absence& absence = aHistory[aEvent.m_index];
    Host& host = m_hosts[absence.m_host];
    if (aEvent.m_kind == Kind::Leave) {
      if (host.m_absences++ == 0) {
        host.m_awaySince = aEvent.m_at;
      }
      m_events.push({ aEvent.m_at + kDetectSeconds, Kind::Check, 0 });
      for (const double later : { 30.0, 60.0, 120.0, 300.0 }) {
        m_events.push({ aEvent.m_at + later, Kind::Check, 0 });
      }
    } else {
      --host.m_absences;
    }
    host.m_isLoaded = host.m_isLoaded && absence.m_keepsWeights;
    if (m_loadingSpare == &host) {
      m_loadingSpare = nullptr;
    }
  }

  const DomainPlanInput& Input(double aNow)
  {
    m_input.m_hosts.clear();
    for (const Host& host : m_hosts) {
      PlannerHost entry;
      entry.m_id = host.m_id;
      const bool isMissing =
        host.m_absences > 0 && aNow - host.m_awaySince >= kDetectSeconds;
      entry.m_condition =
        isMissing ? HostCondition::Missing : HostCondition::Usable;
      entry.m_missingFor =
        Millis(static_cast<int64_t>(1'000 * (aNow - host.m_awaySince)));
      entry.m_holds = host.m_isLoaded ? ModelId("m") : ModelId();
      m_input.m_hosts.push_back(std::move(entry));
    }
    m_input.m_present = m_row;
    return m_input;
  }

  void Plan(double aNow)
  {
    const DomainPlanInput& input = Input(aNow);
    DomainRow next =
      m_isBaseline ? RepairWithSpare(input) : PlanDomain(input).m_next;
    m_row = std::move(next);
    auto& groups = m_row.m_groups;
    groups.erase(std::remove_if(groups.begin(),
                                groups.end(),
                                [](const Group& aGroup) {
                                  return aGroup.m_state == GroupState::Released;
                                }),
                 groups.end());
    for (Group& group : groups) {
      group.m_state = GroupState::Serving;
    }
  }

  void UpdateServing(double aNow)
  {
    m_serving = 0;
    m_busy.clear();
    std::map<GroupId, Load> loads;
    for (const Group& group : m_row.m_groups) {
      uint32_t toLoad = 0;
      bool isPresent = true;
      for (const HostId& id : group.m_members) {
        const Host& host = m_hosts[m_index[id]];
        isPresent = isPresent && host.m_absences == 0;
        toLoad += host.m_isLoaded ? 0 : 1;
      }
      if (!isPresent) {
        continue;
      }
      if (toLoad > 0 && !IsLoadDone(group, toLoad, aNow, loads)) {
        continue;
      }
      ++m_serving;
      for (const HostId& id : group.m_members) {
        m_hosts[m_index[id]].m_isLoaded = true;
        m_busy.insert(id);
      }
    }
    m_loads = std::move(loads);
  }

  bool IsLoadDone(const Group& aGroup,
                  uint32_t aToLoad,
                  double aNow,
                  std::map<GroupId, Load>& aLoads)
  {
    const auto known = m_loads.find(aGroup.m_id);
    if (known != m_loads.end() &&
        known->second.m_generation == aGroup.m_generation) {
      aLoads[aGroup.m_id] = known->second;
      return aNow >= known->second.m_doneAt;
    }
    const double seconds = double(kModelGigabytes) * aToLoad /
                           aGroup.m_members.size() / kLoadGigabytesPerSecond;
    aLoads[aGroup.m_id] = Load{ aGroup.m_generation, aNow + seconds };
    m_events.push({ aNow + seconds, Kind::Check, 0 });
    return false;
  }

  // What a planner with instant knowledge and loads would still lose.
  void AccountFloor(double aHours)
  {
    uint32_t present = 0;
    for (const Host& host : m_hosts) {
      present += host.m_absences == 0 ? 1 : 0;
    }
    const uint32_t members = m_input.m_demand.front().m_members;
    const uint32_t possible = present / members;
    if (possible < m_groups) {
      m_outcome.m_downFloor += aHours * (m_groups - possible);
      m_outcome.m_strandedFloor += aHours * (present % members);
    }
  }

  // Spare hosts load in turn while no group loads, as the domain's holder has
  // them do.
  void LoadSpares(double aNow)
  {
    if (m_loadingSpare != nullptr && aNow >= m_spareDoneAt) {
      const bool isThere = m_loadingSpare->m_absences == 0;
      m_loadingSpare->m_isLoaded = m_loadingSpare->m_isLoaded || isThere;
      m_loadingSpare = nullptr;
    }
    if (m_loadingSpare != nullptr || !m_loads.empty()) {
      return;
    }
    for (Host& host : m_hosts) {
      const bool isSpare = host.m_absences == 0 && !host.m_isLoaded &&
                           m_busy.count(host.m_id) == 0;
      if (isSpare) {
        m_loadingSpare = &host;
        m_spareDoneAt = aNow + double(kModelGigabytes) /
                                 m_input.m_demand.front().m_members /
                                 kLoadGigabytesPerSecond;
        m_events.push({ m_spareDoneAt, Kind::Check, 0 });
        return;
      }
    }
  }

  void Account(double aSeconds)
  {
    AccountFloor(aSeconds / kSecondsPerHour);
    if (m_serving >= m_groups || !m_hasStarted) {
      m_hasStarted = true;
      return;
    }
    const double hours = aSeconds / kSecondsPerHour;
    m_outcome.m_downHours += hours * (m_groups - m_serving);
    for (const Host& host : m_hosts) {
      const bool isIdle = host.m_absences == 0 && m_busy.count(host.m_id) == 0;
      m_outcome.m_strandedHours += isIdle ? hours : 0;
    }
  }

  std::vector<Host> m_hosts;
  std::map<HostId, uint32_t> m_index;
  uint32_t m_groups;
  bool m_isBaseline;
  DomainPlanInput m_input;
  DomainRow m_row;
  std::priority_queue<Event> m_events;
  std::map<GroupId, Load> m_loads;
  Host* m_loadingSpare = nullptr;
  double m_spareDoneAt = 0;
  uint32_t m_serving = 0;
  bool m_hasStarted = false;
  std::set<HostId> m_busy;
  Outcome m_outcome;
};

// The mean and the 95th percentile of a measure over all seeds.
struct Summary
{
  double m_mean = 0;
  double m_p95 = 0;
};

Summary Summarize(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  Summary summary;
  for (const double value : aValues) {
    summary.m_mean += value / double(aValues.size());
  }
  summary.m_p95 = aValues[(aValues.size() * 95 + 99) / 100 - 1];
  return summary;
}

struct Options
{
  const char* m_csv = nullptr;
  uint32_t m_seeds = 50;
  double m_days = 30;
  double m_rate = 1;
};

void Report(const Layout& aLayout,
            const char* aMeasure,
            const std::vector<double>& aPlanner,
            const std::vector<double>& aBaseline,
            const std::vector<double>& aFloor,
            std::FILE* aCsv)
{
  const Summary planner = Summarize(aPlanner);
  const Summary baseline = Summarize(aBaseline);
  const Summary floor = Summarize(aFloor);
  const auto ratio = [](double aA, double aB) { return aB > 0 ? aA / aB : 1; };
  std::printf(
    "%-10s %7u  %-20s %9.2f %9.2f %9.2f %6.2f %6.2f %9.2f %9.2f "
    "%6.2f\n",
    aLayout.m_name,
    aLayout.m_members,
    aMeasure,
    planner.m_mean,
    baseline.m_mean,
    floor.m_mean,
    ratio(planner.m_mean, baseline.m_mean),
    ratio(planner.m_mean - floor.m_mean, baseline.m_mean - floor.m_mean),
    planner.m_p95,
    baseline.m_p95,
    ratio(planner.m_p95, baseline.m_p95));
  if (aCsv != nullptr) {
    std::fprintf(aCsv,
                 "%s,%u,%s,%.4f,%.4f,%.4f,%.4f,%.4f\n",
                 aLayout.m_name,
                 aLayout.m_members,
                 aMeasure,
                 planner.m_mean,
                 baseline.m_mean,
                 floor.m_mean,
                 planner.m_p95,
                 baseline.m_p95);
  }
}

void Compare(const Layout& aLayout, const Options& aOptions, std::FILE* aCsv)
{
  std::vector<double> down[2];
  std::vector<double> stranded[2];
  std::vector<double> floor[2];
  for (uint32_t seed = 1; seed <= aOptions.m_seeds; ++seed) {
    Outcome total[2];
    std::mt19937_64 random(seed);
    for (size_t domain = 0; domain < aLayout.m_domains.size(); ++domain) {
      const std::vector<Absence> history = DrawHistory(
        aLayout.m_domains[domain], aOptions.m_days, aOptions.m_rate, random);
      for (int policy = 0; policy < 2; ++policy) {
        DomainRun run(aLayout.m_domains[domain],
                      aLayout.m_members,
                      aLayout.m_groups[domain],
                      policy == 1);
        const Outcome outcome =
          run.Run(history, aOptions.m_days * kSecondsPerDay);
        total[policy].m_downHours += outcome.m_downHours;
        total[policy].m_strandedHours += outcome.m_strandedHours;
        total[policy].m_downFloor += outcome.m_downFloor;
        total[policy].m_strandedFloor += outcome.m_strandedFloor;
      }
    }
    floor[0].push_back(total[0].m_downFloor);
    floor[1].push_back(total[0].m_strandedFloor);
    for (int policy = 0; policy < 2; ++policy) {
      down[policy].push_back(total[policy].m_downHours);
      stranded[policy].push_back(total[policy].m_strandedHours);
    }
  }
  Report(aLayout, "group downtime h", down[0], down[1], floor[0], aCsv);
  Report(
    aLayout, "stranded host-hours", stranded[0], stranded[1], floor[1], aCsv);
}

Options ParseOptions(int aCount, char** aArguments)
{
  Options options;
  for (int index = 1; index + 1 < aCount; index += 2) {
    const std::string name = aArguments[index];
    const char* value = aArguments[index + 1];
    if (name == "--csv") {
      options.m_csv = value;
    } else if (name == "--seeds") {
      options.m_seeds = static_cast<uint32_t>(std::max(1, std::atoi(value)));
    } else if (name == "--days") {
      options.m_days = std::atof(value);
    } else if (name == "--rate") {
      options.m_rate = std::atof(value);
    }
  }
  return options;
}

int Main(int aCount, char** aArguments)
{
  const Options options = ParseOptions(aCount, aArguments);
  std::FILE* csv =
    options.m_csv == nullptr ? nullptr : std::fopen(options.m_csv, "w");
  if (csv != nullptr) {
    std::fprintf(csv,
                 "user,members,measure,planner_mean,baseline_mean,"
                 "floor_mean,planner_p95,baseline_p95\n");
  }
  std::printf("%u seeds, %.0f days, %.1f times the failure rate of the target "
              "fleet\n",
              options.m_seeds,
              options.m_days,
              options.m_rate);
  std::printf("%-10s %7s  %-20s %9s %9s %9s %6s %6s %9s %9s %6s\n",
              "user",
              "members",
              "measure",
              "planner",
              "baseline",
              "floor",
              "ratio",
              "avoid",
              "p95 plan",
              "p95 base",
              "ratio");
  const std::vector<Layout> layouts = {
    { "westsign", { 22, 22, 21 }, 4, { 5, 5, 5 } },
    { "westsign", { 22, 22, 21 }, 2, { 11, 11, 10 } },
    { "kitakaze", { 11, 11, 11, 11, 11, 10 }, 4, { 2, 2, 2, 2, 2, 2 } },
    { "kitakaze", { 11, 11, 11, 11, 11, 10 }, 2, { 5, 5, 5, 5, 5, 5 } },
  };
  for (const Layout& layout : layouts) {
    Compare(layout, options, csv);
  }
  if (csv != nullptr) {
    std::fclose(csv);
  }
  return 0;
}

} // namespace

} // namespace briarglade

int main(int aCount, char** aArguments)
{
  return briarglade::Main(aCount, aArguments);
}
