// Decides how many groups of each model every fabric domain of a region should
// hold. It changes seldom; the planner of each domain follows it.
//
// Groups are spread evenly over the availability zones that are in. A zone that
// is out holds none, and the others carry its groups while they have hosts.
// When it returns it comes up group by group: one more at a time than serve
// there. A group that others carried is given up only when its successor
// serves.
//
// Example:
//   RegionPlan next = PlanRegion(fleet, zones, supply, present);

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/config/fleet_config.h"

namespace briarglade {

// What one fabric domain has, as its row says.
struct DomainSupply
{
  DomainId m_domain;
  ZoneId m_zone;
  // Hosts that could be in a group.
  uint32_t m_usableHosts = 0;
  // Groups that serve, by model.
  std::map<ModelId, uint32_t> m_serving;
};

using ModelCounts = std::map<ModelId, uint32_t>;

struct RegionPlan
{
  std::map<DomainId, ModelCounts> m_counts;
  // Zones that were out and are still coming up.
  std::set<ZoneId> m_returning;

  bool operator==(const RegionPlan& aOther) const
  {
    return m_counts == aOther.m_counts && m_returning == aOther.m_returning;
  }
};

// Plans the region. Pure: equal inputs give equal plans.
RegionPlan PlanRegion(const FleetConfig& aFleet,
                      const std::map<ZoneId, ZoneState>& aZones,
                      const std::vector<DomainSupply>& aSupply,
                      const RegionPlan& aPresent);

// Returns the plan's JSON text.
std::string RegionPlanToJson(const RegionPlan& aPlan);
// Reads a plan; returns false, and leaves it empty, if the text is not one.
bool RegionPlanFromJson(const std::string& aText, RegionPlan& aPlan);

} // namespace briarglade
