// Plans how many groups of each model every domain of a service should have,
// and which groups should be given up for that.
//
// The load pattern: clients' requests shift between models, or their initial
// shares were estimated badly, so that one model's groups are overloaded while
// another's have capacity to spare. The plan maximizes the smallest ratio of
// capacity to demand.
//
// Pure functions of their input, without a clock or state.
//
// Example:
//   input.m_demand = DemandInGroups(config, service, work);
//   CapacityPlan plan = PlanCapacity(input);
//   if (plan.m_targetRatio > plan.m_currentRatio * 1.2) { ... }

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/gateway/gateway_config.h"
#include "briarglade/grouping/model_work.h"

namespace briarglade {

using GroupCounts = std::map<ModelId, uint32_t>;

// Returns how many groups of each model would be busy all the time with the
// work, by the engine's stated times and within the gap goals of the service's
// routes. A model without work has zero. Empty if no work is known.
std::map<ModelId, double> DemandInGroups(const GatewayConfig& aConfig,
                                         const ServiceSpec& aService,
                                         const WorkByModel& aWork);

struct DomainCapacity
{
  // Number of hosts that may be in groups, including those that are.
  uint32_t m_hosts = 0;
  // The groups that serve or are being formed.
  GroupCounts m_groups;
};

struct CapacityInput
{
  const EngineSpec* m_engine = nullptr;
  std::map<ModelId, double> m_demand;
  std::map<DomainId, DomainCapacity> m_domains;
};

struct CapacityPlan
{
  // The target number of groups.
  std::map<DomainId, GroupCounts> m_domains;
  // The smallest ratio of groups to demand over all models, now and in the
  // target.
  double m_currentRatio = 0;
  double m_targetRatio = 0;
};

CapacityPlan PlanCapacity(const CapacityInput& aInput);

// What a domain should change next: this number of groups of one model ends so
// that one or more groups of another can be formed.
struct DomainChange
{
  ModelId m_from;
  uint32_t m_groups = 0;
  ModelId m_to;
};

// Returns the next change of a domain towards the plan, or nothing. aFreeHosts
// is the number of hosts in the domain that are in no group. The model that
// gives up groups keeps a higher ratio than the other one has now, and at
// least one group.
std::optional<DomainChange> NextChange(const CapacityInput& aInput,
                                       const CapacityPlan& aPlan,
                                       const DomainId& aDomain,
                                       uint32_t aFreeHosts);

// Returns the smallest ratio of groups to demand, given the counts over all
// domains.
double SmallestRatio(const std::map<ModelId, double>& aDemand,
                     const GroupCounts& aGroups);

} // namespace briarglade
