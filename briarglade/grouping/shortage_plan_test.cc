// Tests of the choice of groups that end for a model below its demand.

#include <doctest/doctest.h>

#include "briarglade/grouping/shortage_plan.h"

namespace briarglade {
namespace {

const ModelId kLarge("large");
const ModelId kSmall("small");

EngineSpec MakeEngine()
{
  EngineSpec engine;
  ReplicaModel large;
  large.m_id = kLarge;
  large.m_size = 12;
  ReplicaModel small;
  small.m_id = kSmall;
  small.m_size = 6;
  engine.m_models = { large, small };
  return engine;
}

ShortageInput MakeInput(const EngineSpec& aEngine,
                        uint32_t aLarge,
                        uint32_t aSmall)
{
  ShortageInput input;
  input.m_engine = &aEngine;
  input.m_demand = { { kLarge, 2.5 }, { kSmall, 7.5 } };
  input.m_groups = { { kLarge, aLarge }, { kSmall, aSmall } };
  input.m_to = kLarge;
  return input;
}

TEST_CASE("the model with the smallest part of its demand is the scarcest one")
{
  const std::map<ModelId, double> demand = { { kLarge, 2.5 }, { kSmall, 7.5 } };
  CHECK(ScarcestModel(demand, { { kLarge, 3 }, { kSmall, 8 } }).IsEmpty());
  CHECK(ScarcestModel(demand, { { kLarge, 2 }, { kSmall, 8 } }) == kLarge);
  CHECK(ScarcestModel(demand, { { kLarge, 2 }, { kSmall, 2 } }) == kSmall);
  CHECK(ScarcestModel(demand, { { kSmall, 2 } }) == kLarge);
  CHECK(ScarcestModel({}, {}).IsEmpty());
}

// Guards against ending more groups than the lost one needs.
TEST_CASE("the remaining hosts of a lost group take as few others as possible")
{
  const EngineSpec engine = MakeEngine();
  ShortageInput input = MakeInput(engine, 2, 12);
  input.m_domains[DomainId("a")] = { 0, { { kSmall, { 6, 6 } } } };
  input.m_domains[DomainId("b")] = { 11, { { kSmall, { 0, 3, 2 } } } };
  const std::optional<ShortageRepair> repair = PlanShortageRepair(input);
  REQUIRE(repair);
  CHECK(repair->m_domain == DomainId("b"));
  CHECK(repair->m_from == kSmall);
  CHECK(repair->m_groups == 1);
  // No group ends if a domain's free hosts suffice.
  input.m_domains[DomainId("c")] = { 12, {} };
  CHECK(PlanShortageRepair(input)->m_domain == DomainId("c"));
  CHECK(PlanShortageRepair(input)->m_groups == 0);
}

// Guards against shortages that are passed on to the other model.
TEST_CASE("the other model keeps what its demand needs, unless the scarce one "
          "has no group")
{
  const EngineSpec engine = MakeEngine();
  ShortageInput input = MakeInput(engine, 2, 9);
  input.m_domains[DomainId("a")] = { 0, { { kSmall, { 6, 6 } } } };
  CHECK(!PlanShortageRepair(input));
  input.m_groups[kSmall] = 10;
  CHECK(PlanShortageRepair(input)->m_groups == 2);
  input.m_groups = { { kLarge, 0 }, { kSmall, 3 } };
  CHECK(PlanShortageRepair(input)->m_groups == 2);
  // Its last group stays.
  input.m_groups[kSmall] = 2;
  CHECK(!PlanShortageRepair(input));
}

TEST_CASE("groups whose members lack the weights are left alone")
{
  const EngineSpec engine = MakeEngine();
  ShortageInput input = MakeInput(engine, 0, 12);
  input.m_domains[DomainId("a")] = { 5, { { kSmall, { 3, 3 } } } };
  CHECK(!PlanShortageRepair(input));
}

} // namespace
} // namespace briarglade
