// The whole decision state of a node: that of each component, and what one
// tells another. Nothing here outlives the process.

#pragma once

#include <map>
#include <memory>
#include <set>
#include <unordered_set>
#include <vector>

#include "briarglade/actions/actions_state.h"
#include "briarglade/base/ids.h"
#include "briarglade/config/fleet_config.h"
#include "briarglade/membership/membership_state.h"
#include "briarglade/placement/placement_state.h"
#include "briarglade/routing/route_table.h"
#include "briarglade/routing/routing_state.h"

namespace briarglade {

struct NodeState
{
  NodeId m_self;
  Millis m_tickedAt;
  MembershipState m_membership;
  PlacementState m_placement;
  RoutingState m_routing;
  ActionsState m_actions;

  // What is in force on this node.
  ConfigVersion m_fleetVersion;
  FleetConfig m_fleet;
  std::map<ZoneId, ZoneState> m_zones;
  std::vector<RosterNode> m_roster;
  uint64_t m_rosterVersion = 0;
  bool m_confirmed = false;
  // The routes that routing was last told.
  std::map<GroupId, Route> m_routes;
  // What placement was last told of this node's requests at draining groups.
  std::map<GroupId, uint32_t> m_drainTold;

  // Non-idempotent requests that routing runs at the moment.
  std::unordered_set<RequestId> m_runningActions;
  // Nodes that callers should no longer be sent to, this one included.
  std::set<NodeId> m_leavingNodes;
};

// Returns the state of a node that has just started.
NodeState MakeNodeState(const MembershipSettings& aSettings);

} // namespace briarglade
