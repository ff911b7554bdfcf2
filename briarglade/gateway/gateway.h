// The gateway's decisions: which backend gets a request, what is tried again,
// what waits and what is turned away.
//
// Example:
//   GatewayState state(settings);
//   for (GatewayEffect& effect : ReduceGateway(state, now, event)) { ... }

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "briarglade/gateway/backend_book.h"
#include "briarglade/gateway/fleet_share.h"
#include "briarglade/gateway/gateway_event.h"
#include "briarglade/gateway/repeat_budget.h"
#include "briarglade/gateway/wait_queue.h"
#include "briarglade/routing/crash_ledger.h"

namespace briarglade {

// Bounds on the gateway's decisions.
struct GatewaySettings
{
  NodeId m_node;
  ZoneId m_zone;
  // Makes nodes choose differently where backends are equal.
  uint32_t m_seed = 1;
  // Repeats over all nodes: a share of the requests, and what may come on top
  // within the window.
  double m_retryShare = 0.2;
  double m_retrySlack = 100;
  Millis m_retryWindow = Millis(10'000);
  double m_coldFactor = 1.5;
  double m_coldSlack = 5;
};

enum class GatewayPhase
{
  Waiting,
  Running
};

// A request that isn't answered yet.
struct GatewayRequest
{
  CallerRequestArrived m_request;
  GatewayPhase m_phase = GatewayPhase::Waiting;
  Millis m_arrivedAt;
  // While it waits.
  Waiting m_waiting;
  // The backend that it was sent to last.
  size_t m_slot = 0;
  // That backend's server, as it was then.
  ServerRun m_sentTo;
  Millis m_sentAt;
  // Servers that it was sent to, and the number of those that may have run it.
  std::vector<BackendSerial> m_tried;
  uint32_t m_mayHaveRun = 0;
  // A part of the present exchange's answer, and of any, has come.
  bool m_exchangeBegan = false;
  bool m_answerBegan = false;
  // When a part of the answer first came, and last, and the longest time
  // between
  // two parts.
  Millis m_firstPartAt;
  Millis m_lastPartAt;
  Millis m_longestPause;
  // The exchange was given up so that another server can go on.
  bool m_isMoved = false;
  bool m_callerLeft = false;
  // What to answer if it can't be tried again and may have run.
  ResultCode m_unknownCode = ResultCode::BackendFailed;
};

struct GatewayState
{
  explicit GatewayState(const GatewaySettings& aSettings);

  GatewaySettings m_settings;
  std::shared_ptr<FleetShare> m_share;
  BackendBook m_book;
  std::unordered_map<RequestHandle, GatewayRequest> m_requests;
  std::map<std::pair<ServiceId, ModelId>, WaitQueue> m_queues;
  std::map<ServiceId, RepeatBudget> m_repeatBudgets;
  // Requests that take servers down.
  CrashLedger m_ledger;
};

// Returns the requests in flight at each model's backends, those of the other
// nodes included, and those that wait, of which this node sees one part in so
// many.
std::map<ModelId, double> RequestsByModel(const GatewayState& aState,
                                          uint32_t aNodes);

// Applies one event and returns what the shell must do, in order.
GatewayEffects ReduceGateway(GatewayState& aState,
                             Millis aNow,
                             const GatewayEvent& aEvent);

} // namespace briarglade
