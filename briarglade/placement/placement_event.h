// What can happen to placement, and what it asks the shell to do, as data.

#pragma once

#include <map>
#include <variant>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/log_event.h"
#include "briarglade/config/fleet_config.h"
#include "briarglade/placement/presence_news.h"
#include "briarglade/placement/server_report.h"
#include "briarglade/routing/route_table.h"
#include "briarglade/storage/table.h"

namespace briarglade {

// Time has passed; sent every 50 ms.
struct PlacementTick
{};

// A probe of a backend server got no answer, or a wrong one.
struct ProbeFailed
{
  HostId m_host;
};

// The platform's host list, as just read.
struct HostsListed
{
  HostList m_list;
};

// A configuration is in force on this node.
struct PlacementFleet
{
  FleetConfig m_fleet;
};

// The states of all availability zones, as in force on this node.
struct PlacementZones
{
  std::map<ZoneId, ZoneState> m_zones;
};

// The roster of nodes, as in force on this node.
struct PlacementRoster
{
  std::vector<NodeId> m_roster;
};

// How many requests this node has in flight at a group; sent when it changes
// for a group that is draining, and once when the group starts to drain.
struct InFlightChanged
{
  GroupId m_group;
  uint32_t m_inFlight = 0;
};

using PlacementEvent = std::variant<PlacementTick,
                                    TableResult,
                                    ServerReport,
                                    ProbeFailed,
                                    HostsListed,
                                    PresenceNews,
                                    InFlightNews,
                                    PlacementFleet,
                                    PlacementZones,
                                    PlacementRoster,
                                    InFlightChanged>;

// Ask a backend server for its state; the shell answers with a ServerReport or
// ProbeFailed.
struct ProbeServer
{
  HostId m_host;
  Endpoint m_endpoint;
};

// Send an order to a backend server, unless its deadline has passed.
struct SendOrder
{
  ServerOrder m_order;
  Endpoint m_endpoint;
};

// Tell another node.
struct SendNews
{
  NodeId m_node;
  std::variant<PresenceNews, InFlightNews> m_news;
};

// The routes of this node, all of them, when any has changed.
struct RoutesFound
{
  std::vector<Route> m_routes;
};

using PlacementEffect = std::variant<TableRead,
                                     TableWrite,
                                     SendOrder,
                                     ProbeServer,
                                     SendNews,
                                     RoutesFound,
                                     LogEvent>;

using PlacementEffects = std::vector<PlacementEffect>;

} // namespace briarglade
