// The planner of a region: spread, zones out and back.

#include "briarglade/placement/region_plan.h"

#include <doctest/doctest.h>

namespace briarglade {

namespace {

const ModelId kModel("m");

// Three zones with one domain each.
class Region
{
public:
  Region(uint32_t aWanted, uint32_t aHostsEach)
  {
    ModelConfig model;
    model.m_id = kModel;
    model.m_members = 4;
    model.m_wantedGroups = aWanted;
    m_fleet.m_models[kModel] = model;
    for (const char* name : { "a", "b", "c" }) {
      DomainSupply domain;
      domain.m_domain = DomainId(name);
      domain.m_zone = ZoneId(name);
      domain.m_usableHosts = aHostsEach;
      m_supply.push_back(domain);
    }
  }

  void Plan() { m_plan = PlanRegion(m_fleet, m_zones, m_supply, m_plan); }

  // Lets every planned group of a domain serve.
  void Serve(size_t aDomain)
  {
    m_supply[aDomain].m_serving[kModel] = Count(aDomain);
  }

  uint32_t Count(size_t aDomain)
  {
    return m_plan.m_counts[m_supply[aDomain].m_domain][kModel];
  }

  std::vector<uint32_t> Counts() { return { Count(0), Count(1), Count(2) }; }

  FleetConfig m_fleet;
  std::map<ZoneId, ZoneState> m_zones;
  std::vector<DomainSupply> m_supply;
  RegionPlan m_plan;
};

using Counts = std::vector<uint32_t>;

} // namespace

TEST_CASE("groups are spread evenly, as far as there are hosts")
{
  struct Case
  {
    uint32_t m_wanted;
    uint32_t m_hosts;
    Counts m_counts;
  };
  const std::vector<Case> cases = {
    { 3, 9, { 1, 1, 1 } },
    { 4, 9, { 2, 1, 1 } },
    { 9, 9, { 2, 2, 2 } },
    { 3, 3, { 0, 0, 0 } },
  };
  for (const Case& entry : cases) {
    Region region(entry.m_wanted, entry.m_hosts);
    region.Plan();
    CHECK(region.Counts() == entry.m_counts);
  }
}

TEST_CASE("a zone that returns comes up group by group")
{
  Region region(6, 9);
  region.m_zones[ZoneId("a")] = ZoneState::Out;
  region.Plan();
  CHECK(region.Counts() == Counts{ 0, 2, 2 });
  region.Serve(1);
  region.Serve(2);
  region.m_zones[ZoneId("a")] = ZoneState::In;
  region.Plan();
  CHECK(region.Counts() == Counts{ 1, 2, 2 });
  region.Plan();
  CHECK(region.Counts() == Counts{ 1, 2, 2 });
  region.Serve(0);
  region.Plan();
  CHECK(region.Counts() == Counts{ 2, 2, 2 });
  region.Serve(0);
  region.Plan();
  CHECK(region.m_plan.m_returning.empty());
}

TEST_CASE("a carried group is given up only when its successor serves")
{
  Region region(4, 9);
  region.m_zones[ZoneId("a")] = ZoneState::Out;
  region.Plan();
  region.Serve(1);
  region.Serve(2);
  CHECK(region.Counts() == Counts{ 0, 2, 2 });
  region.m_zones[ZoneId("a")] = ZoneState::In;
  region.Plan();
  region.Plan();
  CHECK(region.Counts() == Counts{ 1, 2, 2 });
  region.Serve(0);
  region.Plan();
  CHECK(region.Counts() == Counts{ 1, 1, 2 });
}

TEST_CASE("a plan survives its JSON form")
{
  Region region(4, 9);
  region.m_zones[ZoneId("a")] = ZoneState::Out;
  region.Plan();
  RegionPlan read;
  REQUIRE(RegionPlanFromJson(RegionPlanToJson(region.m_plan), read));
  CHECK(read == region.m_plan);
  CHECK_FALSE(RegionPlanFromJson("{\"counts\":3}", read));
}

} // namespace briarglade
