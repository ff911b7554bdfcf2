// One `briarglade node` process: the decision core in its shell.
//
// Example:
//   EventLoop loop;
//   Node node(loop, settings);
//   if (const Error* error = GetError(node.Start())) { ... }
//   loop.Run();

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "briarglade/base/result.h"
#include "briarglade/core/effect.h"
#include "briarglade/core/node_state.h"
#include "briarglade/net/http_client.h"
#include "briarglade/net/http_server.h"
#include "briarglade/node/caller_front.h"
#include "briarglade/node/node_settings.h"
#include "briarglade/node/operator_api.h"
#include "briarglade/node/peer_gateway.h"
#include "briarglade/node/server_client.h"
#include "briarglade/storage/object_store.h"
#include "briarglade/storage/table.h"
#include "briarglade/telemetry/log.h"
#include "briarglade/telemetry/metrics.h"

namespace briarglade {

class EventLoop;

// The ports that a node listens on.
struct NodePorts
{
  uint16_t m_caller = 0;
  uint16_t m_operator = 0;
  uint16_t m_peer = 0;
};

class Node
{
public:
  Node(EventLoop& aLoop, NodeSettings aSettings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Opens the listeners and starts work. Returns Internal if a listener fails.
  Result<NodePorts> Start();
  // Begins a graceful shutdown: other nodes stop giving out this one's address,
  // requests are served for as long as that answer may be kept, then those in
  // flight are finished and the roster is left. A second call, or the limit on
  // its time, stops at once.
  void BeginShutdown();

private:
  enum class Phase
  {
    Serving,
    // Callers are no longer sent here, but still served.
    Leaving,
    // New requests are refused; those in flight are finished.
    Closing,
    // The roster is being left.
    LeavingRoster
  };

  void Dispatch(EventBody aBody);
  void CarryOut(const Effect& aEffect);
  void HandleCaller(const std::shared_ptr<HttpExchange>& aExchange);
  std::string RenderMetrics();
  std::string RenderExplanation(const std::string& aSubject) const;
  OperatorHooks MakeOperatorHooks();
  void ReadHostList();
  void OnTick();
  void ContinueShutdown();
  void Stop(bool aIsGraceful);

  EventLoop& m_loop;
  NodeSettings m_settings;
  uint64_t m_incarnation;
  NodePorts m_ports;
  Log m_log;
  Metrics m_metrics;
  HttpClient m_client;
  TableService m_table;
  ObjectStoreService m_objects;
  HostListService m_hostList;
  ServerClient m_servers;
  PeerGateway m_peers;
  HttpServer m_callerServer;
  HttpServer m_operatorServer;
  CallerFront m_front;
  OperatorApi m_operatorApi;
  UniqueIds m_commandIds;
  NodeState m_state;
  ConfigVersion m_frontVersion;
  Phase m_phase = Phase::Serving;
  Millis m_shutdownBegan;
};

} // namespace briarglade
