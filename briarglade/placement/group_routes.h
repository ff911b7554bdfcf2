// The routes that follow from groups, presence and configuration.

#pragma once

#include <map>
#include <string>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/routing/route_table.h"

namespace briarglade {

struct Group;
struct PlacementState;
struct ServerReport;

// How a member stands with its group.
enum class MemberStanding
{
  // Reports the expected group and generation, ready.
  Ready,
  // No fresh report.
  Absent,
  // Reports another group or generation, or none.
  Elsewhere,
  // Reports the expected group and generation, and loads.
  Loading,
  // Told to take nothing new.
  Draining
};

const char* MemberStandingName(MemberStanding aStanding);

MemberStanding StandingOf(const PlacementState& aState,
                          Millis aNow,
                          const Group& aGroup,
                          const HostId& aHost);

// Tells whether every member is ready.
bool IsComplete(const PlacementState& aState, Millis aNow, const Group& aGroup);

// Returns the shortest uptime among the members that are present.
Millis LeastUptime(const PlacementState& aState,
                   Millis aNow,
                   const Group& aGroup);

// Works out the routes of this node: groups and plain servers in whose subset
// it is.
std::map<GroupId, Route> BuildRoutes(const PlacementState& aState, Millis aNow);

// Tells whether two routes differ in more than how recent they are.
bool RoutesDiffer(const std::map<GroupId, Route>& aBefore,
                  const std::map<GroupId, Route>& aAfter);

} // namespace briarglade
