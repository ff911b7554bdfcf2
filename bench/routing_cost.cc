// The cost of one request in the routing reducer: arrival, start, first byte,
// end and finish, with the allocations it makes. Arguments: groups, accounts.
//
//   routing_cost [Google Benchmark's options]

#include <atomic>
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

#include "briarglade/routing/reduce_routing.h"

namespace {

std::atomic<uint64_t> gAllocations{ 0 };

} // namespace

// Not inlined, so that the compiler doesn't pair malloc with delete.
__attribute__((noinline)) void* operator new(size_t aSize)
{
  gAllocations.fetch_add(1, std::memory_order_relaxed);
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    std::abort();
  }
  return memory;
}
__attribute__((noinline)) void operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}
__attribute__((noinline)) void operator delete(void* aMemory, size_t) noexcept
{
  std::free(aMemory);
}

namespace briarglade::bench {
namespace {

constexpr uint32_t kNodes = 9;
constexpr uint32_t kRequestLimit = 64;
// Requests in flight at a time.
constexpr size_t kInFlight = 64;

std::vector<RequestArrived> MakeRequests(uint32_t aAccounts)
{
  std::vector<RequestArrived> requests(4096);
  for (size_t i = 0; i < requests.size(); ++i) {
    requests[i].m_request =
      RequestId("node-1.1733270000000." + std::to_string(i));
    requests[i].m_account =
      AccountId("account-" + std::to_string(i % aAccounts));
    requests[i].m_class = ClassId("interactive");
    requests[i].m_target.m_model = ModelId("model");
    requests[i].m_fingerprint = Fingerprint(i);
    requests[i].m_prefixHash = i % 512 + 1;
  }
  return requests;
}

RoutesChanged MakeRoutes(uint32_t aGroups, Millis aNow)
{
  RoutesChanged routes;
  for (uint32_t i = 0; i < aGroups; ++i) {
    Route route;
    route.m_group = GroupId("group-" + std::to_string(i));
    route.m_target.m_model = ModelId("model");
    route.m_zone = ZoneId("zone-" + std::to_string(i % 3));
    route.m_domain = DomainId("domain-" + std::to_string(i / 4));
    route.m_boot = BootId("boot");
    route.m_complete = true;
    route.m_uptime = Millis(10'000'000);
    route.m_reportedAt = aNow;
    route.m_requestLimit = kRequestLimit;
    routes.m_changed.push_back(route);
  }
  return routes;
}

void Prepare(RoutingState& aState, Millis aNow, uint32_t aGroups)
{
  std::vector<NodeId> roster;
  for (uint32_t i = 0; i < kNodes; ++i) {
    roster.emplace_back("node-" + std::to_string(i));
  }
  ReduceRouting(aState, aNow, RoutingRoster{ 1, roster });
  ReduceRouting(aState, aNow, RoutingConfirmation{ true });
  ReduceRouting(aState, aNow, MakeRoutes(aGroups, aNow));
}

// Ends an attempt whole.
void End(RoutingState& aState, Millis aNow, const AttemptId& aAttempt)
{
  ReduceRouting(aState, aNow, AttemptAnswerBegan{ aAttempt });
  AttemptEnded ended;
  ended.m_attempt = aAttempt;
  ended.m_status = 200;
  ReduceRouting(aState, aNow, ended);
}

void OneRequest(benchmark::State& aBench)
{
  const auto groups = static_cast<uint32_t>(aBench.range(0));
  const auto accounts = static_cast<uint32_t>(aBench.range(1));
  Millis now(1'000'000);
  RoutingState state(NodeId("node-1"), ZoneId("zone-1"));
  Prepare(state, now, groups);
  std::vector<RequestArrived> requests = MakeRequests(accounts);
  std::vector<AttemptId> running(kInFlight);
  size_t next = 0;
  const uint64_t before = gAllocations.load();
  for (auto unused : aBench) {
    (void)unused;
    AttemptId& slot = running[next % kInFlight];
    if (!slot.IsEmpty()) {
      End(state, now, slot);
    }
    RequestArrived& request = requests[next % requests.size()];
    request.m_deadline = now + Millis(60'000);
    const RoutingEffects effects = ReduceRouting(state, now, request);
    slot = std::get<StartAttempt>(effects.front()).m_attempt;
    ++next;
    now += Millis(next % 4 == 0 ? 1 : 0);
  }
  aBench.counters["allocations"] =
    benchmark::Counter(static_cast<double>(gAllocations.load() - before) /
                       static_cast<double>(aBench.iterations()));
}
BENCHMARK(OneRequest)->ArgsProduct({ { 10, 100, 475 }, { 10, 100, 1000 } });

// One tick and the load reports of every group that come in 50 ms, at one
// report a second.
void OneTick(benchmark::State& aBench)
{
  const auto groups = static_cast<uint32_t>(aBench.range(0));
  Millis now(1'000'000);
  RoutingState state(NodeId("node-1"), ZoneId("zone-1"));
  Prepare(state, now, groups);
  constexpr uint32_t kTicksInReport = 20;
  const RoutesChanged routes = MakeRoutes(groups, now);
  RoutesChanged part;
  for (uint32_t i = 0; i < groups; i += kTicksInReport) {
    part.m_changed.push_back(routes.m_changed[i]);
  }
  for (auto unused : aBench) {
    (void)unused;
    now += Millis(50);
    ReduceRouting(state, now, part);
    ReduceRouting(state, now, RoutingTick{});
  }
}
BENCHMARK(OneTick)->Arg(10)->Arg(100)->Arg(475);

} // namespace
} // namespace briarglade::bench

BENCHMARK_MAIN();
