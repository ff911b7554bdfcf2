// Tests of the allocation of hosts to models.

#include "briarglade/grouping/capacity_plan.h"

#include <doctest/doctest.h>
#include <random>

#include "briarglade/grouping/group_plan.h"

namespace briarglade {
namespace {

const ModelId kLarge("large");
const ModelId kSmall("small");

GatewayConfig MakeConfig()
{
  EngineSpec engine;
  engine.m_slots = 20;
  engine.m_stepMillis = 10;
  engine.m_stepMillisPerRequest = 0.5;
  engine.m_prefillTokensPerSecond = 20'000;
  ReplicaModel large;
  large.m_id = kLarge;
  large.m_size = 8;
  ReplicaModel small;
  small.m_id = kSmall;
  small.m_size = 4;
  small.m_timeFactor = 0.5;
  engine.m_models = { large, small };
  ServiceSpec service;
  service.m_id = ServiceId("models");
  service.m_engine = engine;
  GatewayConfig config;
  config.m_services.emplace(service.m_id, service);
  return config;
}

struct Layout
{
  GatewayConfig m_config = MakeConfig();
  CapacityInput m_input;

  Layout(uint32_t aDomains, uint32_t aHosts)
  {
    m_input.m_engine = &*m_config.m_services.begin()->second.m_engine;
    for (uint32_t i = 0; i < aDomains; ++i) {
      m_input.m_domains[DomainId("d" + std::to_string(i))].m_hosts = aHosts;
    }
  }
  void SetGroups(uint32_t aLarge, uint32_t aSmall)
  {
    for (auto& [id, domain] : m_input.m_domains) {
      domain.m_groups = { { kLarge, aLarge }, { kSmall, aSmall } };
    }
  }
  static uint32_t Count(const CapacityPlan& aPlan, const ModelId& aModel)
  {
    uint32_t count = 0;
    for (const auto& [id, counts] : aPlan.m_domains) {
      const auto found = counts.find(aModel);
      count += found == counts.end() ? 0 : found->second;
    }
    return count;
  }
};

TEST_CASE("demand in groups follows from the engine's stated times")
{
  GatewayConfig config = MakeConfig();
  const ServiceSpec& service = config.m_services.begin()->second;
  CHECK(DemandInGroups(config, service, {}).empty());
  const WorkByModel work = { { kLarge, { 10, 20'000, 1'000 } },
                             { kSmall, { 10, 20'000, 1'000 } } };
  // One second of prompts and 1,000 tokens of 10 / 20 + 0.5 ms.
  const auto demand = DemandInGroups(config, service, work);
  CHECK(demand.at(kLarge) == doctest::Approx(2.0));
  CHECK(demand.at(kSmall) == doctest::Approx(1.0));
  // A gap goal of 12 ms allows only four requests at once.
  RouteRule route;
  route.m_services = { { ServiceId("models"), 1 } };
  route.m_kind = RouteKind::Stream;
  route.m_gapGoal = Millis(12);
  config.m_routes = { route };
  CHECK(DemandInGroups(config, service, work).at(kLarge) ==
        doctest::Approx(4.0));
}

TEST_CASE("hosts follow the demand rather than the initial shares")
{
  Layout layout(9, 19);
  layout.SetGroups(1, 1);
  layout.m_input.m_demand = { { kLarge, 4 }, { kSmall, 13 } };
  const CapacityPlan plan = PlanCapacity(layout.m_input);
  CHECK(plan.m_currentRatio == doctest::Approx(9.0 / 13));
  CHECK(plan.m_targetRatio >= 1.5);
  for (const auto& [id, counts] : plan.m_domains) {
    uint32_t hosts = 0;
    for (const auto& [model, count] : counts) {
      hosts += count * layout.m_input.m_engine->FindModel(model)->m_size;
    }
    CHECK(hosts + kSpareHosts <= 19);
  }
}

// Guards against a lost group that is planned into a domain whose hosts are all
// in use, while the hosts of the lost one remain.
TEST_CASE("a lost group is planned where its remaining hosts are")
{
  Layout layout(6, 18);
  layout.SetGroups(1, 2);
  layout.m_input.m_demand = { { kLarge, 5 }, { kSmall, 10 } };
  layout.m_input.m_domains[DomainId("d4")].m_groups[kLarge] = 0;
  const CapacityPlan plan = PlanCapacity(layout.m_input);
  for (const auto& [domain, counts] : plan.m_domains) {
    const std::string& name = domain.Value();
    CAPTURE(name);
    CHECK(counts.at(kLarge) == 1);
    CHECK(counts.at(kSmall) == 2);
  }
}

// Guards against hosts that stay idle because the model with the smallest ratio
// can't use them.
TEST_CASE("a lost group of a model with enough capacity is planned as well")
{
  Layout layout(6, 18);
  layout.SetGroups(1, 2);
  layout.m_input.m_demand = { { kLarge, 6 }, { kSmall, 10.5 } };
  layout.m_input.m_domains[DomainId("d4")].m_groups[kSmall] = 1;
  const CapacityPlan plan = PlanCapacity(layout.m_input);
  CHECK(plan.m_targetRatio == doctest::Approx(plan.m_currentRatio));
  CHECK(Layout::Count(plan, kSmall) == 12);
  CHECK(Layout::Count(plan, kLarge) == 6);
}

TEST_CASE("a layout that fits its demand stays as it is")
{
  Layout layout(6, 18);
  layout.SetGroups(1, 2);
  layout.m_input.m_demand = { { kLarge, 3 }, { kSmall, 6 } };
  const CapacityPlan plan = PlanCapacity(layout.m_input);
  CHECK(plan.m_targetRatio == doctest::Approx(plan.m_currentRatio));
  for (const auto& [id, domain] : layout.m_input.m_domains) {
    CHECK_FALSE(NextChange(layout.m_input, plan, id, 2));
  }
}

TEST_CASE("each model keeps groups, however little work it has")
{
  Layout layout(3, 18);
  layout.SetGroups(2, 0);
  layout.m_input.m_domains.begin()->second.m_groups = { { kLarge, 1 },
                                                        { kSmall, 2 } };
  layout.m_input.m_demand = { { kLarge, 0 }, { kSmall, 30 } };
  const CapacityPlan plan = PlanCapacity(layout.m_input);
  CHECK(Layout::Count(plan, kLarge) == 2);
  CHECK(Layout::Count(plan, kSmall) == 8);
}

TEST_CASE("a small group's hosts join to make room for a large one")
{
  Layout layout(2, 18);
  layout.SetGroups(0, 4);
  layout.m_input.m_domains.begin()->second.m_groups = { { kLarge, 1 },
                                                        { kSmall, 2 } };
  layout.m_input.m_demand = { { kLarge, 3 }, { kSmall, 1 } };
  const CapacityPlan plan = PlanCapacity(layout.m_input);
  const auto change = NextChange(layout.m_input, plan, DomainId("d1"), 2);
  REQUIRE(change);
  CHECK(change->m_from == kSmall);
  CHECK(change->m_groups == 2);
  CHECK(change->m_to == kLarge);
}

TEST_CASE("following the changes one by one comes to an end")
{
  std::mt19937 random(7);
  for (int round = 0; round < 200; ++round) {
    Layout layout(1 + random() % 8, 8 + random() % 20);
    for (auto& [id, domain] : layout.m_input.m_domains) {
      const uint32_t usable = domain.m_hosts - 2;
      const uint32_t large = random() % (usable / 8 + 1);
      domain.m_groups = { { kLarge, large },
                          { kSmall, (usable - large * 8) / 4 } };
    }
    layout.m_input.m_demand = { { kLarge, 0.1 + random() % 10 },
                                { kSmall, 0.1 + random() % 20 } };
    int changes = 0;
    bool hasChanged = true;
    while (hasChanged && changes < 200) {
      hasChanged = false;
      for (auto& [id, domain] : layout.m_input.m_domains) {
        const CapacityPlan plan = PlanCapacity(layout.m_input);
        CHECK(plan.m_targetRatio >= plan.m_currentRatio - 1e-9);
        uint32_t used = 0;
        for (const auto& [model, count] : domain.m_groups) {
          used += count * layout.m_input.m_engine->FindModel(model)->m_size;
        }
        const auto change =
          NextChange(layout.m_input, plan, id, domain.m_hosts - used);
        if (!change) {
          continue;
        }
        const auto& engine = *layout.m_input.m_engine;
        const uint32_t given =
          change->m_groups * engine.FindModel(change->m_from)->m_size +
          domain.m_hosts - used - 2;
        domain.m_groups[change->m_from] -= change->m_groups;
        domain.m_groups[change->m_to] +=
          std::max(1U, given / engine.FindModel(change->m_to)->m_size);
        hasChanged = true;
        ++changes;
      }
    }
    CHECK(changes < 100);
  }
}

} // namespace
} // namespace briarglade
