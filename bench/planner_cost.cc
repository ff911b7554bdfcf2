// Processor time and memory of the planner: one fabric domain of 8 to 512
// hosts, and all 7,600 servers of the target fleet in domains of 64.
//
//   planner_cost
//
// Each plan follows the loss of one host in sixteen. Memory is what the present
// row and the plan take, counted by the allocator.

#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "briarglade/placement/domain_plan.h"

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
  return 0;
}

} // namespace

} // namespace briarglade

int main()
{
  return briarglade::Main();
}
