// The gateway's decisions: which backend receives a request, and which requests
// are retried, queued or rejected.
//
// Example:
//   GatewayState state(settings);
//   for (GatewayEffect& effect : ReduceGateway(state, now, event)) { ... }

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "briarglade/gateway/backend_table.h"
#include "briarglade/gateway/fleet_quota.h"
#include "briarglade/gateway/gateway_event.h"
#include "briarglade/gateway/harm_detector.h"
#include "briarglade/gateway/service_retry_budget.h"
#include "briarglade/gateway/wait_queue.h"

namespace briarglade {

// Limits on the gateway's decisions.
struct GatewaySettings
{
  NodeId m_node;
  ZoneId m_zone;
  // Seed of the random part of a choice, so that nodes choose differently among
  // equal backends.
  uint32_t m_seed = 1;
  // Limit on the retries of a service over all nodes within the window: this
  // fraction of the requests, plus m_retrySlack retries.
  double m_retryShare = 0.2;
  double m_retrySlack = 100;
  Millis m_retryWindow = Millis(10'000);
  // Limit on the requests per second to a cold server over all nodes: its
  // stated rate times this factor, plus m_coldSlack requests.
  double m_coldFactor = 1.5;
  double m_coldSlack = 5;
};

// Whether a request is queued or was sent to a backend.
enum class GatewayPhase
{
  Waiting,
  Running
};

// One exchange of a request with a server.
struct GatewayExchange
{
  // Slot of the backend.
  size_t m_slot = 0;
  // The server of that backend and its run, as of when the request was sent.
  ServerRun m_server;
  Millis m_sentAt;
  // Whether a part of the answer has arrived, and when the first one did.
  bool m_began = false;
  Millis m_beganAt;
  // Whether it has lasted long enough to show that the request does not crash
  // the server.
  bool m_hasSurvived = false;
};

// A request that has not been answered yet.
struct GatewayRequest
{
  CallerRequestArrived m_request;
  // By which it is recognized if it crashes servers.
  std::vector<RequestTrait> m_traits;
  GatewayPhase m_phase = GatewayPhase::Waiting;
  Millis m_arrivedAt;
  // Its queue entry; used only while it is queued.
  WaitingRequest m_waiting;
  // The primary exchange; used only while it is running.
  GatewayExchange m_exchange;
  // A second exchange beside one that may be stuck. Nothing of the primary one
  // is given up before the hedge has delivered.
  std::optional<GatewayExchange> m_hedge;
  // Backends that it was sent to, and how many of them may have run it.
  std::vector<BackendSerial> m_tried;
  uint32_t m_mayHaveRunCount = 0;
  // Whether a part of the answer has arrived, in any exchange.
  bool m_answerBegan = false;
  // Whether another server could continue behind the parts that have arrived.
  bool m_isResumable = true;
  // When the first and the last part of the answer arrived, and the longest
  // time between two parts.
  Millis m_firstBytesAt;
  Millis m_lastBytesAt;
  Millis m_longestPause;
  bool m_callerLeft = false;
  // The result code if the request may have run and cannot be retried.
  ResultCode m_unknownCode = ResultCode::BackendFailed;
};

// Everything that the gateway's decisions depend on.
struct GatewayState
{
  explicit GatewayState(const GatewaySettings& aSettings);

  GatewaySettings m_settings;
  // This node's quotas of the fleet-wide limits.
  std::shared_ptr<FleetQuota> m_quota;
  BackendTable m_backendTable;
  std::unordered_map<RequestHandle, GatewayRequest> m_requests;
  std::map<std::pair<ServiceId, ModelId>, WaitQueue> m_queues;
  std::map<ServiceId, ServiceRetryBudget> m_retryBudgets;
  // Decides which requests are refused because they crash servers.
  HarmDetector m_harmDetector;
};

// Returns the number of requests per model: those in flight at its backends,
// from all nodes, and an estimate of the queued ones. A node sees only its own
// queue, about one in aNodes of all queued requests, so the length of its queue
// is multiplied by aNodes.
std::map<ModelId, double> RequestsByModel(const GatewayState& aState,
                                          uint32_t aNodes);

// Applies one event and returns the effects that the caller must carry out, in
// order.
GatewayEffects ReduceGateway(GatewayState& aState,
                             Millis aNow,
                             const GatewayEvent& aEvent);

} // namespace briarglade
