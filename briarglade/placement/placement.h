// Placement: which hosts form which groups, whether they are complete, and the
// routes that follow. One reducer over its events.
//
// Example:
//   PlacementState state;
//   state.m_self = self;
//   state.m_ids = UniqueIds(NodeId(self.Value() + "/placement"), incarnation);
//   for (auto& effect : ReducePlacement(state, now, PlacementTick{})) { ... }

#pragma once

#include <string>
#include <vector>

#include "briarglade/base/millis.h"
#include "briarglade/placement/placement_event.h"

namespace briarglade {

struct PlacementState;

// Applies one event and returns what the shell must do.
PlacementEffects ReducePlacement(PlacementState& aState,
                                 Millis aNow,
                                 const PlacementEvent& aEvent);

// What `briarglade status` shows of one group.
struct GroupStatus
{
  std::string m_group;
  std::string m_domain;
  std::string m_zone;
  std::string m_model;
  uint64_t m_generation = 0;
  std::string m_state;
  std::string m_reason;
  bool m_isComplete = false;
  // Whether this node is told of the group's members: it routes there.
  bool m_isTold = false;
  // Each member as "HOST=present" or what is wrong with it.
  std::vector<std::string> m_members;
};

// Returns every group of the region in order of id.
std::vector<GroupStatus> DescribeGroups(const PlacementState& aState,
                                        Millis aNow);

} // namespace briarglade
