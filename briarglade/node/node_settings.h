// The settings of one `briarglade node` process, from flags and environment.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/log_event.h"
#include "briarglade/base/millis.h"

namespace briarglade {

struct NodeSettings
{
  NodeId m_id;
  std::string m_cluster;
  RegionId m_region;
  ZoneId m_zone;
  // Listeners. Port 0 lets the kernel choose.
  Endpoint m_callerAddress;
  Endpoint m_operatorAddress;
  Endpoint m_peerAddress;
  // Peer addresses of other nodes, asked while table and roster are unknown.
  std::vector<Endpoint> m_seeds;
  // Platform addresses.
  Endpoint m_table;
  Endpoint m_hostList;
  // Secrets.
  std::string m_clusterKey;
  std::string m_operatorKey;
  LogLevel m_logLevel = LogLevel::Info;
  // How long a caller may keep the answer of /v1/addresses.
  Millis m_addressLifetime = Millis(5'000);
  // The longest time a graceful shutdown may take.
  Millis m_shutdownLimit = Millis(120'000);
};

} // namespace briarglade
