// Plans which free hosts of one fabric domain form which groups.
//
// Several models with different shares of the work compete for the hosts. The
// model with the most work per group gets the next group, as long as enough
// spare hosts remain for repairs.
//
// Example:
//   std::vector<PlannedGroup> groups = PlanGroups(input);

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/gateway/gateway_config.h"

namespace briarglade {

// A host that may become a member of a group.
struct FreeHost
{
  HostId m_host;
  // Models whose weights are on the host.
  std::vector<ModelId> m_staged;
  // The model of the last group that the host joined. The host can join another
  // group of that model without delay. Empty if it has joined none.
  ModelId m_warmModel;
  // The host was recently ordered to stand by for m_warmModel and may not have
  // started to do so.
  bool m_isStandbyPending = false;
};

struct GroupPlanInput
{
  const EngineSpec* m_engine = nullptr;
  // The free hosts of the domain.
  std::vector<FreeHost> m_free;
  // Number of groups of each model that serve or are being formed, in all
  // domains.
  std::map<ModelId, uint32_t> m_groups;
  // The same, for this domain only.
  std::map<ModelId, uint32_t> m_groupsInDomain;
  // Number of requests in flight or queued for each model; empty if not known
  // yet.
  std::map<ModelId, double> m_demand;
  // The number of groups of each model that the domain should have by demand.
  // If set, only these are formed, and the hosts reserved for repairs are
  // kSpareHosts.
  std::optional<std::map<ModelId, uint32_t>> m_wanted = std::nullopt;
  // A model with less capacity than demand. Its groups may use the hosts that
  // are reserved for repairs. May be empty.
  ModelId m_scarceModel = ModelId();
  // Number of weight loads that may start now.
  uint32_t m_loadsAllowed = 0;
  // Spare hosts may replace the weights that they hold by those of another
  // model.
  bool m_maySwitchSpares = false;
};

struct PlannedGroup
{
  ModelId m_model;
  // The first is the leader.
  std::vector<HostId> m_members;
  // Number of members that must load the weights.
  uint32_t m_loads = 0;
};

// Number of spare hosts that a domain keeps for repairs if it has enough hosts.
constexpr size_t kSpareHosts = 2;

// Returns the groups to form now. A pure function of its input.
std::vector<PlannedGroup> PlanGroups(GroupPlanInput aInput);

// A spare host and the model for which it should stand by.
struct PlannedSpare
{
  HostId m_host;
  ModelId m_model;
  // The host must load the model's weights first.
  bool m_needsLoad = false;
};

// Returns the free hosts that should stand by for a different model than they
// do now. If one model has far more work per group than the others, the loss of
// one of its groups hurts most, so all spares stand by for that model.
std::vector<PlannedSpare> PlanSpares(const GroupPlanInput& aInput);

} // namespace briarglade
