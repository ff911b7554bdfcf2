// Tests of planning the groups and spares of one domain.

#include "briarglade/grouping/group_plan.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace briarglade {
namespace {

const ModelId kBig("big");
const ModelId kSmall("small");

EngineSpec MakeEngine()
{
  EngineSpec engine;
  ReplicaModel big;
  big.m_id = kBig;
  big.m_size = 6;
  big.m_share = 0.67;
  ReplicaModel small;
  small.m_id = kSmall;
  small.m_size = 3;
  small.m_share = 0.33;
  small.m_timeFactor = 0.6;
  engine.m_models = { big, small };
  return engine;
}

FreeHost Host(int aNumber, const ModelId& aStaged, const ModelId& aWarm)
{
  FreeHost host;
  host.m_host = HostId("h" + std::to_string(aNumber));
  if (!aStaged.IsEmpty()) {
    host.m_staged = { aStaged };
  }
  host.m_warmModel = aWarm;
  return host;
}

TEST_CASE(
  "an empty domain of 11 hosts forms a group of each model, with two spares")
{
  const EngineSpec engine = MakeEngine();
  GroupPlanInput input;
  input.m_engine = &engine;
  input.m_loadsAllowed = 100;
  for (int i = 0; i < 11; ++i) {
    input.m_free.push_back(Host(i, ModelId(), ModelId()));
  }
  const std::vector<PlannedGroup> groups = PlanGroups(input);
  REQUIRE(groups.size() == 2);
  CHECK(groups[0].m_model == kBig);
  CHECK(groups[0].m_members.size() == 6);
  CHECK(groups[1].m_model == kSmall);
}

TEST_CASE("a repair uses the spare that stands by for the model")
{
  const EngineSpec engine = MakeEngine();
  GroupPlanInput input;
  input.m_engine = &engine;
  input.m_groups = { { kBig, 5 }, { kSmall, 6 } };
  for (int i = 0; i < 5; ++i) {
    input.m_free.push_back(Host(i, kBig, kBig));
  }
  input.m_free.push_back(Host(5, kSmall, kSmall));
  input.m_free.push_back(Host(6, kBig, kBig));
  const std::vector<PlannedGroup> groups = PlanGroups(input);
  REQUIRE(groups.size() == 1);
  CHECK(groups[0].m_model == kBig);
  CHECK(groups[0].m_loads == 0);
  const auto& members = groups[0].m_members;
  CHECK(std::find(members.begin(), members.end(), HostId("h6")) !=
        members.end());
}

TEST_CASE("a less busy model is repaired too if no load is needed")
{
  const EngineSpec engine = MakeEngine();
  GroupPlanInput input;
  input.m_engine = &engine;
  input.m_groups = { { kBig, 6 }, { kSmall, 5 } };
  input.m_free = { Host(0, kSmall, kSmall),
                   Host(1, kSmall, kSmall),
                   Host(2, kSmall, kSmall),
                   Host(3, kBig, kBig) };
  const std::vector<PlannedGroup> groups = PlanGroups(input);
  REQUIRE(groups.size() == 1);
  CHECK(groups[0].m_model == kSmall);
}

TEST_CASE("loads beyond the allowed number are not planned")
{
  const EngineSpec engine = MakeEngine();
  GroupPlanInput input;
  input.m_engine = &engine;
  input.m_loadsAllowed = 2;
  for (int i = 0; i < 6; ++i) {
    input.m_free.push_back(Host(i, ModelId(), ModelId()));
  }
  CHECK(PlanGroups(input).empty());
  input.m_loadsAllowed = 3;
  const std::vector<PlannedGroup> groups = PlanGroups(input);
  REQUIRE(groups.size() == 1);
  CHECK(groups[0].m_model == kSmall);
}

TEST_CASE("spares stand by for the model with far more work per group")
{
  const EngineSpec engine = MakeEngine();
  GroupPlanInput input;
  input.m_engine = &engine;
  input.m_groups = { { kBig, 6 }, { kSmall, 6 } };
  input.m_free = { Host(0, kBig, kBig), Host(1, kSmall, kSmall) };
  // Until the demand is known, there is one spare for each model.
  CHECK(PlanSpares(input).empty());
  input.m_demand = { { kBig, 5.0 }, { kSmall, 1.0 } };
  // Weights are not replaced for a demand that may be temporary.
  CHECK(PlanSpares(input).empty());
  input.m_maySwitchSpares = true;
  const std::vector<PlannedSpare> spares = PlanSpares(input);
  REQUIRE(spares.size() == 1);
  CHECK(spares[0].m_host == HostId("h1"));
  CHECK(spares[0].m_model == kBig);
  CHECK(spares[0].m_needsLoad);
  input.m_free = { Host(0, kBig, kBig), Host(1, kBig, kBig) };
  CHECK(PlanSpares(input).empty());
}

TEST_CASE("a spare that was recently ordered to stand by is not ordered again")
{
  const EngineSpec engine = MakeEngine();
  GroupPlanInput input;
  input.m_engine = &engine;
  input.m_groups = { { kBig, 6 }, { kSmall, 6 } };
  input.m_demand = { { kBig, 5.0 }, { kSmall, 1.0 } };
  input.m_free = { Host(0, ModelId(), kSmall) };
  input.m_free[0].m_isStandbyPending = true;
  CHECK(PlanSpares(input).empty());
  input.m_free[0].m_isStandbyPending = false;
  CHECK(PlanSpares(input).size() == 1);
}

TEST_CASE("if models have similar work per group, each gets one spare")
{
  EngineSpec engine = MakeEngine();
  engine.m_models[1].m_share = 1;
  GroupPlanInput input;
  input.m_engine = &engine;
  input.m_groups = { { kBig, 6 }, { kSmall, 6 } };
  input.m_free = { Host(0, kBig, kBig), Host(1, ModelId(), ModelId()) };
  const std::vector<PlannedSpare> spares = PlanSpares(input);
  REQUIRE(spares.size() == 1);
  CHECK(spares[0].m_model == kSmall);
}

TEST_CASE("other models do not use the spares of the busiest model")
{
  const EngineSpec engine = MakeEngine();
  GroupPlanInput input;
  input.m_engine = &engine;
  input.m_groups = { { kBig, 6 }, { kSmall, 5 } };
  input.m_loadsAllowed = 10;
  input.m_free = { Host(0, kSmall, kSmall),
                   Host(1, kSmall, kSmall),
                   Host(2, kBig, kBig),
                   Host(3, kBig, kBig) };
  CHECK(PlanGroups(input).empty());
}

TEST_CASE(
  "free hosts are reserved for repairs until the busiest model's groups "
  "are nearly full, then they form another group")
{
  const EngineSpec engine = MakeEngine();
  GroupPlanInput input;
  input.m_engine = &engine;
  input.m_groups = { { kBig, 6 }, { kSmall, 6 } };
  input.m_groupsInDomain = { { kBig, 1 }, { kSmall, 1 } };
  input.m_loadsAllowed = 10;
  for (int i = 0; i < 4; ++i) {
    input.m_free.push_back(Host(i, ModelId(), ModelId()));
  }
  const double slots = engine.m_slots;
  input.m_demand = { { kBig, 6 * slots * 0.3 }, { kSmall, 6 * slots * 0.5 } };
  CHECK(PlanGroups(input).empty());
  input.m_demand[kSmall] = 6 * slots * 0.8;
  const std::vector<PlannedGroup> groups = PlanGroups(input);
  REQUIRE(groups.size() == 1);
  CHECK(groups[0].m_model == kSmall);
}

} // namespace
} // namespace briarglade
