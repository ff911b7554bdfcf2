// Processor time and memory of the planner: one fabric domain of 8 to 512
// hosts, and all 7,600 servers of the target fleet in domains of 64.
//
//   planner_cost
//
// Each plan follows the loss of one host in sixteen. Memory is what the present
// row and the plan take, counted by the allocator.
//
// Then the whole placement reducer of one node, with nothing going wrong: its
// ticks, probes, and the news of the other watchers, over a minute of virtual
// time.

#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "briarglade/base/overloaded.h"
#include "briarglade/base/rendezvous.h"
#include "briarglade/placement/domain_plan.h"
#include "briarglade/placement/placement.h"
#include "briarglade/placement/placement_state.h"

namespace {

size_t gAllocated = 0;
size_t gPeak = 0;

} // namespace

// Counts what is allocated. The size is kept in front of each block.
void* operator new(size_t aSize)
{
  auto* block = static_cast<size_t*>(std::malloc(aSize + 16));
  if (block == nullptr) {
    std::abort();
  }
  *block = aSize;
  gAllocated += aSize;
  gPeak = gAllocated > gPeak ? gAllocated : gPeak;
  return block + 2;
}

void operator delete(void* aBlock) noexcept
{
  if (aBlock != nullptr) {
    size_t* block = static_cast<size_t*>(aBlock) - 2;
    gAllocated -= *block;
    std::free(block);
  }
}

void operator delete(void* aBlock, size_t) noexcept
{
  operator delete(aBlock);
}

namespace briarglade {

namespace {

constexpr uint32_t kMembers = 8;
constexpr uint32_t kLossOneIn = 16;
constexpr uint32_t kFleetHosts = 7'600;
constexpr uint32_t kFleetDomain = 64;
constexpr int kRounds = 50;

DomainPlanInput MakeDomain(uint32_t aHosts)
{
  DomainPlanInput input;
  input.m_domain = DomainId("domain");
  input.m_loadRate = 10;
  ModelDemand demand;
  demand.m_model = ModelId("model");
  demand.m_members = kMembers;
  demand.m_groups = aHosts / kMembers;
  input.m_demand.push_back(demand);
  for (uint32_t host = 0; host < aHosts; ++host) {
    PlannerHost entry;
    char name[24];
    std::snprintf(name, sizeof(name), "host-%05u", host);
    entry.m_id = HostId(name);
    input.m_hosts.push_back(std::move(entry));
  }
  input.m_present = PlanDomain(input).m_next;
  for (Group& group : input.m_present.m_groups) {
    group.m_state = GroupState::Serving;
  }
  for (uint32_t host = 0; host < aHosts; host += kLossOneIn) {
    input.m_hosts[host].m_condition = HostCondition::Missing;
    input.m_hosts[host].m_missingFor = Millis(10'000);
  }
  return input;
}

// What one plan costs.
struct Cost
{
  double m_micros = 0;
  double m_kilobytes = 0;
};

Cost MeasurePlan(uint32_t aHosts)
{
  const size_t before = gAllocated;
  const DomainPlanInput input = MakeDomain(aHosts);
  gPeak = gAllocated;
  const auto start = std::chrono::steady_clock::now();
  size_t moves = 0;
  for (int round = 0; round < kRounds; ++round) {
    moves += PlanDomain(input).m_moves.size();
  }
  const std::chrono::duration<double, std::micro> spent =
    std::chrono::steady_clock::now() - start;
  if (moves == 0) {
    std::printf("the planner did nothing\n");
  }
  return Cost{ spent.count() / kRounds, double(gPeak - before) / 1'024 };
}

// One node among others in a region where nothing goes wrong.
class QuietNode
{
public:
  QuietNode(uint32_t aNodes,
            uint32_t aHosts,
            uint32_t aDomains,
            uint32_t aMembers)
  {
    for (uint32_t node = 0; node < aNodes; ++node) {
      m_roster.emplace_back("node-" + std::to_string(node));
    }
    ModelConfig model;
    model.m_id = ModelId("model");
    model.m_members = aMembers;
    m_fleet.m_models[model.m_id] = model;
    for (uint32_t host = 0; host < aHosts; ++host) {
      HostConfig config;
      config.m_id = HostId("host-" + std::to_string(host));
      config.m_zone = ZoneId("zone");
      config.m_domain = DomainId("domain-" + std::to_string(host % aDomains));
      m_fleet.m_hosts[config.m_id] = config;
    }
    MakeRows(aMembers);
    m_state.m_self = m_roster.front();
    m_state.m_ids = UniqueIds(m_state.m_self, 1);
    Take(PlacementFleet{ m_fleet });
    Take(PlacementRoster{ m_roster });
  }

  void Run(Millis aTime)
  {
    const Millis end = m_now + aTime;
    while (m_now < end) {
      m_now += Millis(50);
      std::vector<PlacementEvent> events;
      events.swap(m_next);
      for (const PlacementEvent& event : events) {
        Take(event);
      }
      if (m_now.Count() % 1'000 == 0) {
        Hear();
      }
      Take(PlacementTick{});
    }
  }

  double m_seconds = 0;
  uint32_t m_probes = 0;
  uint32_t m_news = 0;
  uint32_t m_reads = 0;
  uint32_t m_writes = 0;
  size_t m_routes = 0;

private:
  void MakeRows(uint32_t aMembers)
  {
    std::map<DomainId, DomainPlanInput> inputs;
    for (const auto& [id, host] : m_fleet.m_hosts) {
      PlannerHost entry;
      entry.m_id = id;
      inputs[host.m_domain].m_hosts.push_back(std::move(entry));
    }
    for (auto& [domain, input] : inputs) {
      ModelDemand demand;
      demand.m_model = ModelId("model");
      demand.m_members = aMembers;
      demand.m_groups = static_cast<uint32_t>(input.m_hosts.size()) / aMembers;
      input.m_demand.push_back(demand);
      input.m_domain = domain;
      DomainRow row = PlanDomain(input).m_next;
      for (Group& group : row.m_groups) {
        group.m_state = GroupState::Serving;
        for (const HostId& host : group.m_members) {
          m_groups[host] = group;
        }
      }
      m_rows[domain] = std::move(row);
    }
  }

  ServerReport ReportOf(const HostId& aHost) const
  {
    ServerReport report;
    report.m_host = aHost;
    report.m_boot = BootId(aHost.Value() + "-boot");
    report.m_phase = MemberPhase::Ready;
    report.m_uptime = Millis(1'000'000);
    report.m_stepTime = Millis(10);
    const auto group = m_groups.find(aHost);
    if (group != m_groups.end()) {
      report.m_group = group->second.m_id;
      report.m_generation = group->second.m_generation;
      report.m_model = group->second.m_model;
    }
    return report;
  }

  // The other watchers speak: everything first, then heartbeats.
  void Hear()
  {
    if (m_watched.empty()) {
      for (const auto& entry : m_fleet.m_hosts) {
        const auto group = m_groups.find(entry.first);
        const std::string unit = group == m_groups.end()
                                   ? entry.first.Value()
                                   : group->second.m_id.Value();
        m_watched[RankNodes(unit, m_roster).front()].push_back(entry.first);
      }
    }
    ++m_sequence;
    for (const auto& [node, hosts] : m_watched) {
      if (node == m_state.m_self) {
        continue;
      }
      PresenceNews news;
      news.m_watcher = node;
      news.m_sequence = m_sequence;
      for (size_t index = 0; m_sequence == 1 && index < hosts.size(); ++index) {
        news.m_reports.push_back(ReportOf(hosts[index]));
      }
      Take(news);
    }
  }

  void Answer(const TableRead& aRead)
  {
    TableResult result;
    result.m_operation = aRead.m_operation;
    result.m_status = TableStatus::Ok;
    result.m_change = 1;
    TableRow row;
    row.m_key = aRead.m_key;
    row.m_version = RowVersion(++m_version);
    row.m_value = Stored("");
    if (!aRead.m_isPrefix) {
      result.m_rows.push_back(row);
    }
    for (const auto& [domain, groups] : m_rows) {
      if (aRead.m_isPrefix && aRead.m_sinceChange == 0) {
        row.m_key = RowKey("domain/" + domain.Value());
        row.m_value = Stored(DomainRowToJson(groups));
        result.m_rows.push_back(row);
      }
    }
    m_next.emplace_back(std::move(result));
  }

  // A leased value that another node has written.
  static std::string Stored(const std::string& aBody)
  {
    std::string escaped;
    for (const char letter : aBody) {
      escaped += letter == '"' ? "\\\"" : std::string(1, letter);
    }
    return R"({"fencing":1,"holder":"node-1","body":")" + escaped + "\"}";
  }

  void Take(const PlacementEvent& aEvent)
  {
    const auto start = std::chrono::steady_clock::now();
    PlacementEffects effects = ReducePlacement(m_state, m_now, aEvent);
    const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - start;
    m_seconds += spent.count();
    for (const PlacementEffect& effect : effects) {
      std::visit(Overloaded{ [&](const TableRead& aRead) {
                              ++m_reads;
                              Answer(aRead);
                            },
                             [&](const TableWrite&) { ++m_writes; },
                             [&](const ProbeServer& aProbe) {
                               ++m_probes;
                               m_next.emplace_back(ReportOf(aProbe.m_host));
                             },
                             [&](const SendNews&) { ++m_news; },
                             [&](const RoutesFound& aRoutes) {
                               m_routes = aRoutes.m_routes.size();
                             },
                             [](const auto&) {} },
                 effect);
    }
  }

  std::vector<NodeId> m_roster;
  FleetConfig m_fleet;
  std::map<DomainId, DomainRow> m_rows;
  std::map<HostId, Group> m_groups;
  std::map<NodeId, std::vector<HostId>> m_watched;
  PlacementState m_state;
  std::vector<PlacementEvent> m_next;
  Millis m_now;
  uint64_t m_sequence = 0;
  uint64_t m_version = 0;
};

void MeasureNode(uint32_t aNodes,
                 uint32_t aHosts,
                 uint32_t aDomains,
                 uint32_t aMembers)
{
  constexpr double kSeconds = 60;
  const size_t before = gAllocated;
  QuietNode node(aNodes, aHosts, aDomains, aMembers);
  node.Run(Millis(10'000));
  node.m_seconds = 0;
  node.m_probes = 0;
  node.m_news = 0;
  node.m_reads = 0;
  node.Run(Millis(60'000));
  std::printf("%u nodes, %u hosts, %u domains: %.2f %% of a core, %.1f MB with "
              "the fakes, %.1f probes/s, %.1f news/s out, %.1f table reads/s, "
              "%u writes, %zu routes\n",
              aNodes,
              aHosts,
              aDomains,
              node.m_seconds / kSeconds * 100,
              double(gAllocated - before) / 1'048'576,
              node.m_probes / kSeconds,
              node.m_news / kSeconds,
              node.m_reads / kSeconds,
              node.m_writes,
              node.m_routes);
}

int Main()
{
  std::printf("%8s %12s %12s %12s\n", "hosts", "us/plan", "us/host", "KB");
  double previous = 0;
  for (uint32_t hosts = 8; hosts <= 512; hosts *= 2) {
    const Cost cost = MeasurePlan(hosts);
    std::printf("%8u %12.1f %12.2f %12.1f",
                hosts,
                cost.m_micros,
                cost.m_micros / hosts,
                cost.m_kilobytes);
    if (previous > 0) {
      std::printf("   slope %.2f", std::log2(cost.m_micros / previous));
    }
    std::printf("\n");
    previous = cost.m_micros;
  }
  const uint32_t domains = (kFleetHosts + kFleetDomain - 1) / kFleetDomain;
  const Cost one = MeasurePlan(kFleetDomain);
  std::printf(
    "%u servers: %u domains of %u hosts, %.2f ms for one plan of each, "
    "%.0f KB\n",
    kFleetHosts,
    domains,
    kFleetDomain,
    one.m_micros * domains / 1'000,
    one.m_kilobytes * domains);
  MeasureNode(9, 68, 3, 4);
  MeasureNode(20, 475, 8, 16);
  MeasureNode(40, 950, 15, 16);
  MeasureNode(80, 1'900, 30, 16);
  return 0;
}

} // namespace

} // namespace briarglade

int main()
{
  return briarglade::Main();
}
