// One `briarglade node` process: the decision core in its shell.
//
// Example:
//   EventLoop loop;
//   Node node(loop, settings);
//   if (const Error* error = GetError(node.Start())) { ... }
//   loop.Run();

#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "briarglade/base/result.h"
#include "briarglade/core/effect.h"
#include "briarglade/core/node_state.h"
#include "briarglade/net/http_client.h"
#include "briarglade/net/http_server.h"
#include "briarglade/node/caller_api.h"
#include "briarglade/node/node_settings.h"
#include "briarglade/node/operator_api.h"
#include "briarglade/node/server_client.h"
#include "briarglade/platform/table.h"
#include "briarglade/telemetry/log.h"
#include "briarglade/telemetry/metrics.h"

namespace briarglade {

class EventLoop;
class Relay;

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
  // Begins a graceful shutdown; a second call stops at once.
  void BeginShutdown();

private:
  void Dispatch(EventBody aBody);
  void CarryOut(Effect& aEffect);
  void Carry(const StartAttempt& aStart);
  void Carry(const FinishRequest& aFinish);
  void HandleCaller(const std::shared_ptr<HttpExchange>& aExchange);
  void ServeRequest(const std::shared_ptr<HttpExchange>& aExchange);
  void RefuseRequest(HttpExchange& aExchange,
                     const RequestId& aRequest,
                     const Error& aError);
  void RespondAddresses(HttpExchange& aExchange);
  std::string RenderStatus() const;
  std::string RenderExplanation(const std::string& aSubject) const;
  void OnTick();
  void ContinueShutdown();

  EventLoop& m_loop;
  NodeSettings m_settings;
  NodePorts m_ports;
  Log m_log;
  Metrics m_metrics;
  NodeState m_state;
  HttpClient m_client;
  TableService m_table;
  HostListService m_hostList;
  ServerClient m_servers;
  HttpServer m_callerServer;
  HttpServer m_operatorServer;
  CallerApi m_callerApi;
  OperatorApi m_operatorApi;
  ConfigVersion m_callerApiVersion;
  std::unordered_map<RequestId, std::unique_ptr<Relay>> m_relays;
  bool m_shuttingDown = false;
  Millis m_shutdownBegan;
};

} // namespace briarglade
