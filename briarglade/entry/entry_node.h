// One entry node: the decision core of reduce_entry.h, the shell that performs
// its effects, and the hooks that connect it to a platform.
//
// Example:
//   EventLoop loop;
//   HttpClient client(loop, HttpClientLimits());
//   EntryNode node(loop, client, settings, MakeBinding(client));
//   if (const Error* error = GetError(node.Start())) { ... }
//   loop.Run();

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "briarglade/base/result.h"
#include "briarglade/entry/entry_event.h"
#include "briarglade/entry/entry_settings.h"
#include "briarglade/entry/reduce_entry.h"
#include "briarglade/entry/wire_codec.h"
#include "briarglade/net/http_client.h"
#include "briarglade/net/http_server.h"
#include "briarglade/net/peer_rpc.h"
#include "briarglade/telemetry/log.h"
#include "briarglade/telemetry/metrics.h"

namespace briarglade {

class CallerBudget;
class EventLoop;
class GatewayRelay;

// How a node communicates with its platform. A binding contains names, formats
// and calls, and makes no decisions.
struct PlatformBinding
{
  StoreHooks m_store;
  WireCodec m_codec;
  // Sends an order to a server. The handler is called once with the result.
  std::function<void(const GroupOrder&,
                     Millis aTimeout,
                     std::function<void(OrderAnswered)>)>
    m_sendOrder;
  // Requests a report from a server. The handler receives the report or an
  // error.
  std::function<void(const ServerRecord&,
                     Millis aTimeout,
                     std::function<void(Result<ServerRecord>)>)>
    m_probe;
};

// Owns the listeners, connections and state of one entry node. Runs on the
// thread of its event loop.
class EntryNode
{
public:
  EntryNode(EventLoop& aLoop,
            HttpClient& aClient,
            const EntrySettings& aSettings,
            PlatformBinding aBinding);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // Opens the listeners and starts the node. Returns Internal if a listener
  // cannot be opened.
  std::optional<Error> Start();
  // Returns the port of the listener for callers; 0 before Start().
  uint16_t CallerPort() const { return m_callerPort; }
  // Begins a graceful shutdown, which was asked for at aNotBefore or later,
  // by EventLoop::Now(). The loop stops when the shutdown is complete.
  void BeginShutdown(Millis aNotBefore);
  // Writes one line to the log.
  void WriteLog(const LogEvent& aEvent) { m_log.Write(aEvent); }

private:
  void Dispatch(const EntryEvent& aEvent);
  void CarryOut(EntryEffect& aEffect);
  void HandleCaller(const std::shared_ptr<HttpExchange>& aExchange);
  void HandleDirectory(const std::shared_ptr<HttpExchange>& aExchange);
  void SetCapacityGauges();
  void HandleMetrics(const std::shared_ptr<HttpExchange>& aExchange);
  void CountAnswer(const GatewayRelay& aRelay, ResultCode aCode);
  void HandleReadiness(const std::shared_ptr<HttpExchange>& aExchange);
  // Returns the handler of the result of a call to the store.
  std::function<void(FeedAnswered)> FeedHandler(FeedCallId aCall);
  void SendUpdate(const SendPeerUpdate& aSend);
  std::shared_ptr<GatewayRelay> FindRelay(RequestHandle aHandle) const;
  void SetLimits(const CallerLimits& aLimits);
  void BoundCallers();
  // Returns so many parts of the descriptors.
  size_t Descriptors(size_t aParts) const;
  // Returns the log field that names a client: its account if the head of the
  // request has a key that is known, else its address.
  LogField NameClient(const HttpExchange* aHead,
                      const std::string& aAddress) const;
  void LogRejection(const char* aListener, const HttpRejection& aRejection);
  void LogEviction(const char* aListener, const HttpEviction& aEviction);
  // Returns whether one more line about a refused client may be written.
  bool TakeRejectionLine();
  void LogLimitsReached();
  uint64_t CountEvictions() const;
  uint64_t CountClosedAtLimit() const;
  uint64_t CountAcceptFailures() const;

  EventLoop& m_loop;
  HttpClient& m_client;
  EntrySettings m_settings;
  PlatformBinding m_binding;
  uint64_t m_incarnation;
  Log m_log;
  Metrics m_metrics;
  std::shared_ptr<CallerBudget> m_callerBudget;
  HttpServer m_callerServer;
  HttpServer m_directoryServer;
  HttpServer m_readinessServer;
  HttpServer m_metricsServer;
  PeerRpc m_peers;
  EntryState m_state;
  uint16_t m_callerPort = 0;
  uint64_t m_lastHandle = 0;
  // Requests refused by the limits, and the lines about them since
  // m_limitsLoggedAt.
  uint64_t m_rejections = 0;
  uint32_t m_rejectionLines = 0;
  Millis m_limitsLoggedAt;
  // How often a limit on clients had been reached then.
  uint64_t m_limitsReached = 0;
  std::unordered_map<RequestHandle, std::shared_ptr<GatewayRelay>> m_relays;
};

} // namespace briarglade
