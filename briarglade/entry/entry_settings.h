// The settings of one entry node, decoded. The binding to a platform makes them
// from whatever file the platform lays.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

// How long callers may keep a list of addresses; some keep it three times as
// long.
constexpr Millis kAddressLifetime = Millis(1'000);

// What the operators ask of every node, and what the platform promises.
struct EntryBounds
{
  // How long a change may take to be in force everywhere.
  Millis m_configurationTime = Millis(2'000);
  // How long a server that leaves goes on serving.
  Millis m_drainTime = Millis(2'000);
  // From the request to stop until the process is killed.
  Millis m_graceTime = Millis(8'000);
  // How long a group whose member is lost stands still until it breaks.
  Millis m_stallTime = Millis(6'000);
  // The longest time for which callers may keep a list of addresses.
  Millis m_maxAddressLifetime = Millis(5'000);
  // Repeats of requests, over all nodes and for each service: the share of its
  // requests, the window in which they are counted, and what may come on top.
  double m_retryShare = 0.2;
  Millis m_retryWindow = Millis(10'000);
  double m_retrySlack = 100;
  // What a cold server bears, in parts of the rate that it states, and on top.
  double m_coldFactor = 1.5;
  double m_coldSlack = 5;
  // Loads of weights that may begin, in parts of the stated rate, and the
  // window in which they are counted.
  double m_loadFactor = 1.1;
  Millis m_loadWindow = Millis(5'000);
  // Servers refuse orders with an old fencing token.
  bool m_serversCheckFencing = false;
};

struct EntrySettings
{
  NodeId m_node;
  ZoneId m_zone;
  RegionId m_region;
  // Listeners: for requests, for the platform's readiness checks, for questions
  // which addresses to use, and for the other nodes.
  Endpoint m_callerAddress;
  Endpoint m_readinessAddress;
  Endpoint m_directoryAddress;
  Endpoint m_peerAddress;
  // Metrics for the operators.
  Endpoint m_metricsAddress;
  Endpoint m_store;
  // How often a backend server renews its entry.
  Millis m_serverHeartbeat = Millis(1'200);
  EntryBounds m_bounds;
  uint32_t m_fileDescriptors = 4'096;
  // Thousandths of a core that the node may use.
  uint32_t m_processorShare = 1'000;
};

} // namespace briarglade
