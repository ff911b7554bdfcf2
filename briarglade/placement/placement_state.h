// The placement part of a node's state. Nothing here outlives the process.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/unique_ids.h"
#include "briarglade/config/fleet_config.h"
#include "briarglade/placement/domain_plan.h"
#include "briarglade/placement/group.h"
#include "briarglade/placement/leased_row.h"
#include "briarglade/placement/presence.h"
#include "briarglade/placement/region_plan.h"
#include "briarglade/routing/route_table.h"

namespace briarglade {

// A domain's row as this node last saw it.
struct KnownDomain
{
  RowVersion m_version;
  DomainRow m_row;
  // Who holds the domain's lease, as the row says.
  NodeId m_holder;
};

// A group that its holder drains.
struct DrainWatch
{
  Generation m_generation;
  Millis m_since;
  // Nodes that have said that they have nothing in flight there.
  std::set<NodeId> m_clear;
};

// Whether a host is far slower than its group.
struct StragglerWatch
{
  BootId m_boot;
  bool m_isStraggler = false;
  // Since when the host has been on the other side of the threshold.
  bool m_isTurning = false;
  Millis m_turningSince;
};

// What a node keeps for a domain beside the lease, while it holds it.
struct DomainControl
{
  LeasedRow m_lease;
  std::map<HostId, Millis> m_orderedAt;
  // When each host was last present.
  std::map<HostId, Millis> m_seenAt;
  std::map<HostId, StragglerWatch> m_stragglers;
  std::map<GroupId, DrainWatch> m_drains;
  Millis m_nextStep;
  // When the weight store has handed out what was asked of it so far.
  Millis m_loadFreeAt;
};

// What this node last told a holder of its requests in flight.
struct ToldInFlight
{
  Generation m_generation;
  uint32_t m_inFlight = 0;
  Millis m_at;
};

struct PlacementState
{
  // Set by the owner before the first event. The ids must differ from those of
  // the node's other components.
  NodeId m_self;
  UniqueIds m_ids;

  FleetConfig m_fleet;
  std::map<ZoneId, ZoneState> m_zones;
  std::vector<NodeId> m_roster;
  // Hosts that the platform will take away.
  std::set<HostId> m_leaving;
  // Hosts that run a plain service, and which.
  std::map<HostId, ServiceId> m_serviceHosts;

  PresenceState m_presence;
  // The watch units have to be worked out again.
  bool m_unitsChanged = false;
  // The units as last worked out.
  std::map<HostId, WatchedHost> m_units;
  // The domain in whose row a host is a member.
  std::map<HostId, DomainId> m_memberOf;
  // The hosts, without those of plain services, that the configuration places
  // in a domain.
  std::map<DomainId, std::vector<HostId>> m_domainHosts;

  // The domains' rows, and the read that keeps them up to date.
  std::map<DomainId, KnownDomain> m_domains;
  uint64_t m_tableChange = 0;
  OperationId m_listRead;
  Millis m_listReadAt = Millis(-1'000'000);
  // The region's plan.
  RegionPlan m_regionPlan;
  RowVersion m_regionPlanVersion;
  OperationId m_planRead;
  Millis m_planReadAt = Millis(-1'000'000);

  std::map<DomainId, DomainControl> m_controls;
  LeasedRow m_regionLease;
  Millis m_nextRegionStep;

  std::map<GroupId, Route> m_routes;
  Millis m_routesToldAt = Millis(-1'000'000);
  Millis m_nextRouteCheck;

  // This node's requests in flight at draining groups, as told to it.
  std::map<GroupId, uint32_t> m_inFlight;
  std::map<GroupId, ToldInFlight> m_toldInFlight;
};

} // namespace briarglade
