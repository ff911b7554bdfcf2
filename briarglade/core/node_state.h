// The complete decision state of a node: the state of each component, and the
// data that the components pass to each other. It is lost when the process
// ends.

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
  // Time of the last tick.
  Millis m_tickedAt;
  MembershipState m_membership;
  PlacementState m_placement;
  RoutingState m_routing;
  ActionsState m_actions;

  // The configuration, zone states and roster that are in effect on this node.
  ConfigVersion m_fleetVersion;
  FleetConfig m_fleet;
  std::map<ZoneId, ZoneState> m_zones;
  std::vector<RosterNode> m_roster;
  uint64_t m_rosterVersion = 0;
  // Whether the node is confirmed. An unconfirmed node rejects requests.
  bool m_confirmed = false;
  // The routes that were last sent to routing.
  std::map<GroupId, Route> m_routes;
  // The number of this node's in-flight requests at each draining group, as
  // last reported to placement.
  std::map<GroupId, uint32_t> m_reportedDraining;

  // Non-idempotent requests that routing is currently running.
  std::unordered_set<RequestId> m_runningActions;
  // Nodes to which callers should no longer be sent, including this one if it
  // is shutting down.
  std::set<NodeId> m_leavingNodes;
};

// Returns the initial state of a node.
NodeState MakeNodeState(const MembershipSettings& aSettings);

} // namespace briarglade
