// The whole decision state of a node. Nothing here outlives the process.

#pragma once

#include <map>
#include <string>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/unique_ids.h"
#include "briarglade/config/fleet_config.h"
#include "briarglade/core/event.h"
#include "briarglade/routing/route_table.h"

namespace briarglade {

struct NodeState
{
  NodeId m_self;
  RegionId m_region;
  UniqueIds m_ids;

  // Configuration and zones, as the table last said.
  ConfigVersion m_configVersion;
  RowVersion m_configRow;
  FleetConfig m_fleet;
  std::map<ZoneId, ZoneState> m_zones;
  std::map<ZoneId, RowVersion> m_zoneRows;
  uint64_t m_tableChange = 0;
  Millis m_tableReadAt = Millis(-1'000'000);
  Millis m_tableAskedAt = Millis(-1'000'000);
  // Commands that wait for their write, by the write's operation id.
  std::map<OperationId, CommandId> m_commands;

  // Servers.
  std::map<HostId, ServerReport> m_reports;
  std::map<HostId, Millis> m_probedAt;
  std::map<HostId, ServerOrder> m_wanted;
  std::map<HostId, Millis> m_orderedAt;

  // Routes and requests.
  std::map<GroupId, Route> m_routes;
  std::map<GroupId, uint32_t> m_inFlight;
  struct Running
  {
    RequestArrived m_request;
    AttemptId m_attempt;
    GroupId m_group;
    bool m_began = false;
  };
  std::map<RequestId, Running> m_running;
  std::map<AttemptId, RequestId> m_attempts;
};

} // namespace briarglade
