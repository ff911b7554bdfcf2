// Decides which free hosts of one fabric domain form which groups.
//
// The load pattern it answers: several models share the hosts, and their shares
// of the work differ. The model whose groups carry most work each gets the next
// group, as long as some spare hosts remain for repairs.
//
// Example:
//   std::vector<PlannedGroup> groups = PlanGroups(input);

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/gateway/gateway_config.h"

namespace briarglade {

// A host that may become a member.
struct FreeHost
{
  HostId m_host;
  // Models whose weights lie on it.
  std::vector<ModelId> m_staged;
  // The model of the last group that it joined; it joins another one of that
  // model at once.
  ModelId m_warmModel;
  // It was lately ordered to stand by for that model, and may not have begun.
  bool m_isStandbyPending = false;
};

struct GroupPlanInput
{
  const EngineSpec* m_engine = nullptr;
  // The free hosts of the domain.
  std::vector<FreeHost> m_free;
  // Groups of each model that serve or are being formed, in all domains.
  std::map<ModelId, uint32_t> m_groups;
  // Those of them in this domain.
  std::map<ModelId, uint32_t> m_groupsInDomain;
  // The requests that each model has in flight or waiting; empty: not known
  // yet.
  std::map<ModelId, double> m_demand;
  // Loads of weights that may begin now.
  uint32_t m_loadsAllowed = 0;
  // Spares may give up the weights that they hold for others.
  bool m_maySwitchSpares = false;
};

struct PlannedGroup
{
  ModelId m_model;
  // The first is the leader.
  std::vector<HostId> m_members;
  // Members that must load the weights.
  uint32_t m_loads = 0;
};

// Hosts that a domain keeps for repairs where it can.
constexpr size_t kSpareHosts = 2;

// Plans the groups to form now. Pure: equal inputs give equal plans.
std::vector<PlannedGroup> PlanGroups(GroupPlanInput aInput);

// A spare host, and the model for which it should stand by.
struct PlannedSpare
{
  HostId m_host;
  ModelId m_model;
  bool m_needsLoad = false;
};

// Plans which of the free hosts should stand by for another model than they do.
// The load pattern it answers: one model's groups carry far more work each, so
// that the loss of one of them is felt and the loss of another model's is not.
std::vector<PlannedSpare> PlanSpares(const GroupPlanInput& aInput);

} // namespace briarglade
