// The decoded settings of one entry node. The binding to a platform reads them
// from the file that the platform provides.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

// How long callers may cache a list of addresses. Some callers keep it three
// times as long.
constexpr Millis kAddressLifetime = Millis(1'000);
// Some callers keep using an address list for this many of its lifetimes.
constexpr int64_t kAddressCacheLifetimes = 3;

// Bounds that the operators require of every node or the platform guarantees.
struct EntryBounds
{
  // The longest time until a configuration change is in effect on every node.
  Millis m_configurationTime = Millis(2'000);
  // How long a server keeps serving after it has started to shut down.
  Millis m_drainTime = Millis(2'000);
  // The time from the request to stop until the platform kills the process.
  Millis m_graceTime = Millis(8'000);
  // How long a group that has lost a member stalls before it breaks.
  Millis m_stallTime = Millis(6'000);
  // The longest time for which callers may cache a list of addresses.
  Millis m_maxAddressLifetime = Millis(5'000);
  // Limit on retries for each service, over all nodes: the fraction of the
  // service's requests that may be retried, the window in which they are
  // counted, and the number of retries allowed in addition.
  double m_retryShare = 0.2;
  Millis m_retryWindow = Millis(10'000);
  double m_retrySlack = 100;
  // Limit on requests to a cold server: a multiple of the server's stated rate,
  // and the number of requests allowed in addition.
  double m_coldFactor = 1.5;
  double m_coldSlack = 5;
  // Limit on the weight loads that may be started: a multiple of the stated
  // rate, and the window in which they are counted.
  double m_loadFactor = 1.1;
  Millis m_loadWindow = Millis(5'000);
  // Whether servers refuse orders with an outdated fencing token.
  bool m_serversCheckFencing = false;
};

// The settings of one node.
struct EntrySettings
{
  NodeId m_node;
  ZoneId m_zone;
  RegionId m_region;
  // Listeners: for callers' requests, for the platform's readiness checks, for
  // address list queries, and for messages from other nodes.
  Endpoint m_callerAddress;
  Endpoint m_readinessAddress;
  Endpoint m_directoryAddress;
  Endpoint m_peerAddress;
  // The listener that serves metrics to the operators.
  Endpoint m_metricsAddress;
  // The address of the platform's store.
  Endpoint m_store;
  // The interval at which a backend server renews its entry in the store.
  Millis m_serverHeartbeat = Millis(1'200);
  EntryBounds m_bounds;
  // The process's limit on open file descriptors.
  uint32_t m_fileDescriptors = 4'096;
  // The memory that the process may use, in bytes.
  uint64_t m_memoryBytes = 256ULL * 1024 * 1024;
  // The processor time that the node may use, in thousandths of a core.
  uint32_t m_processorShare = 1'000;
};

} // namespace briarglade
