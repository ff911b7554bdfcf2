// Handles a request at the gateway from its arrival to its answer.

#include "briarglade/gateway/gateway.h"

#include <algorithm>
#include <string>

#include "briarglade/base/overloaded.h"
#include "briarglade/gateway/internal/gateway_reduction.h"

namespace briarglade {

namespace internal {

namespace {

// A request waits for a backend with capacity at most kMaxWait, and at most one
// part in kMaxWaitDivisor of its remaining time.
constexpr Millis kMaxWait = Millis(1'500);
constexpr int64_t kMaxWaitDivisor = 3;
// Queue priority of requests whose answer has begun; it precedes all others.
constexpr int32_t kAnswerBegunPriority = -1;
// A lost group is usually replaced within this time.
constexpr Millis kNoBackendRetryAfter = Millis(1'000);
// Fraction of the fleet's retry budget that its nodes use. The rest is a
// margin: a request that reaches a server twice for other reasons also counts
// there.
constexpr double kBudgetFraction = 0.6;
// The rest of the slack is reserved for nodes without a valid quota: those that
// have just started in place of an earlier node of the same name, and those cut
// off from the fleet.
constexpr double kReserveFraction = 0.4;

// One in kIdleDivisor of the connections that a server accepts may be idle; the
// others are reserved for requests.
constexpr uint32_t kIdleDivisor = 2;

} // namespace

GatewayRequest* GatewayReduction::Find(RequestHandle aHandle)
{
  const auto found = m_state.m_requests.find(aHandle);
  return found == m_state.m_requests.end() ? nullptr : &found->second;
}

BackendRequirements GatewayReduction::RequirementsOf(
  const GatewayRequest& aRequest)
{
  return BackendRequirements{ aRequest.m_request.m_service,
                              aRequest.m_request.m_model,
                              &aRequest.m_tried };
}

WaitQueue& GatewayReduction::QueueOf(const GatewayRequest& aRequest)
{
  return m_state
    .m_queues[{ aRequest.m_request.m_service, aRequest.m_request.m_model }];
}

ServiceRetryBudget& GatewayReduction::BudgetOf(const ServiceId& aService)
{
  const GatewaySettings& settings = m_state.m_settings;
  return m_state.m_retryBudgets
    .try_emplace(
      aService, settings.m_retryShare * kBudgetFraction, settings.m_retryWindow)
    .first->second;
}

// Consumes one retry from the service's budget. Returns false if none is left.
bool GatewayReduction::TryConsumeRetry(const ServiceId& aService)
{
  const FleetQuota& quota = *m_state.m_quota;
  const double slack =
    m_state.m_settings.m_retrySlack *
    (quota.IsValid(m_now) ? kBudgetFraction : kReserveFraction);
  const uint32_t localSlack =
    quota.LocalQuota(aService.Value(), static_cast<uint32_t>(slack));
  return BudgetOf(aService).TryConsume(m_now, localSlack);
}

Millis GatewayReduction::TimeLeft(const GatewayRequest& aRequest) const
{
  return std::min(aRequest.m_request.m_deadline,
                  aRequest.m_request.m_answerBy) -
         m_now;
}

void GatewayReduction::LogRequest(const char* aEvent,
                                  const GatewayRequest& aRequest,
                                  std::vector<LogField> aFields)
{
  LogEvent event;
  event.m_event = aEvent;
  event.m_fields = std::move(aFields);
  event.m_fields.insert(
    event.m_fields.begin(),
    { { "request", aRequest.m_request.m_attemptId },
      { "age-ms", std::to_string((m_now - aRequest.m_arrivedAt).Count()) } });
  m_effects.emplace_back(std::move(event));
}

void GatewayReduction::RemoveRequest(const GatewayRequest& aRequest)
{
  m_state.m_requests.erase(aRequest.m_request.m_handle);
}

void GatewayReduction::Finish(GatewayRequest& aRequest,
                              ResultCode aCode,
                              Millis aRetryAfter)
{
  const bool claimsNotRun =
    DescribeResultCode(aCode).m_outcome == Outcome::NotRun;
  const bool mayHaveRun = aRequest.m_mayHaveRunCount > 0;
  const ResultCode code =
    claimsNotRun && mayHaveRun ? aRequest.m_unknownCode : aCode;
  const bool isRejection =
    DescribeResultCode(code).m_outcome == Outcome::NotRun;
  AnswerCaller answer;
  answer.m_handle = aRequest.m_request.m_handle;
  answer.m_code = code;
  answer.m_retryAfter = isRejection ? aRetryAfter : Millis();
  if (!aRequest.m_callerLeft) {
    LogRequest(
      "request-failed",
      aRequest,
      { { "code", std::to_string(static_cast<uint16_t>(code)) },
        // The code before "not run" was ruled out.
        { "cause-code", std::to_string(static_cast<uint16_t>(aCode)) },
        { "began", aRequest.m_answerBegan ? "yes" : "no" },
        { "service", aRequest.m_request.m_service.Value() },
        { "sends", std::to_string(aRequest.m_tried.size()) },
        { "may-have-run", std::to_string(aRequest.m_mayHaveRunCount) },
        { "retry-after-ms", std::to_string(answer.m_retryAfter.Count()) } });
  }
  m_effects.emplace_back(answer);
  RemoveRequest(aRequest);
}

void GatewayReduction::FinishWithAnswer(GatewayRequest& aRequest,
                                        const ExchangeEnded& aEnded)
{
  const Millis timeToFirstBytes =
    aRequest.m_answerBegan ? aRequest.m_firstBytesAt - aRequest.m_arrivedAt
                           : m_now - aRequest.m_arrivedAt;
  LogRequest(
    "request-done",
    aRequest,
    { { "status", std::to_string(aEnded.m_status) },
      { "model", aRequest.m_request.m_model.Value() },
      { "prompt-tokens", std::to_string(aRequest.m_request.m_promptTokens) },
      { "first-ms", std::to_string(timeToFirstBytes.Count()) },
      { "pause-ms", std::to_string(aRequest.m_longestPause.Count()) },
      { "goal-ms", std::to_string(aRequest.m_request.m_goal.Count()) },
      { "server", aRequest.m_exchange.m_server.m_server.Value() },
      { "sends", std::to_string(aRequest.m_tried.size()) } });
  m_effects.emplace_back(ForwardAnswer{ aRequest.m_request.m_handle });
  RemoveRequest(aRequest);
}

// Returns how many idle connections this node may keep to a server. The roster
// need not be valid: an outdated one can only affect the server's own limit.
uint32_t GatewayReduction::MaxIdleConnections(const Backend& aBackend) const
{
  const uint32_t idle = aBackend.m_maxConnections / kIdleDivisor;
  return m_state.m_quota->LocalQuota(aBackend.m_server.Value(), idle);
}

// Sends a request to the best backend with capacity. Returns false if there is
// none.
bool GatewayReduction::Start(GatewayRequest& aRequest)
{
  const std::optional<size_t> slot =
    m_state.m_backendTable.Choose(m_now, RequirementsOf(aRequest));
  if (!slot) {
    return false;
  }
  aRequest.m_phase = GatewayPhase::Running;
  SendTo(aRequest, *slot, ExchangeRole::Primary);
  return true;
}

void GatewayReduction::SendTo(GatewayRequest& aRequest,
                              size_t aSlot,
                              ExchangeRole aRole)
{
  m_state.m_backendTable.RecordStarted(
    m_now, aSlot, aRequest.m_request.m_promptTokens);
  QueueOf(aRequest).RecordStarted(m_now, aRequest.m_request.m_account);
  const BackendSlot& chosen = m_state.m_backendTable.Slot(aSlot);
  aRequest.m_tried.push_back(chosen.m_serial);
  GatewayExchange exchange;
  exchange.m_slot = aSlot;
  exchange.m_server =
    ServerRun{ chosen.m_backend.m_server, chosen.m_backend.m_run };
  exchange.m_sentAt = m_now;
  if (aRole == ExchangeRole::Hedge) {
    aRequest.m_hedge = exchange;
  } else {
    aRequest.m_exchange = exchange;
  }
  SendToServer send;
  send.m_handle = aRequest.m_request.m_handle;
  send.m_role = aRole;
  send.m_server = chosen.m_backend.m_server;
  send.m_endpoint = chosen.m_backend.m_endpoint;
  send.m_account = aRequest.m_request.m_account;
  send.m_isStream = aRequest.m_request.m_kind == RouteKind::Stream;
  send.m_urgency = aRequest.m_request.m_priority;
  send.m_deadline = aRequest.m_request.m_deadline;
  send.m_answerBy = aRequest.m_request.m_answerBy;
  send.m_needsNewConnection = !aRequest.m_request.m_isRetryable;
  send.m_maxIdleConnections = MaxIdleConnections(chosen.m_backend);
  const Millis coldFor =
    std::max(Millis(), chosen.m_backend.m_coldUntil - m_now);
  LogRequest("request-sent",
             aRequest,
             { { "server", send.m_server.Value() },
               { "group", chosen.m_backend.m_group.Value() },
               { "load", std::to_string(chosen.Load()) },
               { "cold-ms", std::to_string(coldFor.Count()) },
               { "nodes", std::to_string(m_state.m_quota->NodeCount()) },
               { "send", std::to_string(aRequest.m_tried.size()) } });
  m_effects.emplace_back(std::move(send));
}

void GatewayReduction::WaitOrRefuse(GatewayRequest& aRequest)
{
  const Millis maxWait =
    std::min(kMaxWait, TimeLeft(aRequest) / kMaxWaitDivisor);
  const bool hasBackend = m_state.m_backendTable.HasCandidate(
    m_now, RequirementsOf(aRequest), m_now + maxWait);
  // The caller of a stream that has begun can't be asked to retry: the request
  // waits for a group that replaces the lost one.
  if (!hasBackend && !aRequest.m_answerBegan) {
    const Millis backoff =
      m_state.m_backendTable.RemainingBackoff(m_now, RequirementsOf(aRequest));
    Finish(aRequest,
           ResultCode::NoCapacity,
           backoff > Millis() ? backoff : kNoBackendRetryAfter);
    return;
  }
  WaitQueue& queue = QueueOf(aRequest);
  // Streams that have begun precede all other requests.
  const int32_t priority = aRequest.m_answerBegan
                             ? kAnswerBegunPriority
                             : aRequest.m_request.m_priority;
  const Millis wait =
    queue.ExpectedWait(m_now, priority, aRequest.m_request.m_account);
  if (hasBackend && wait > maxWait) {
    LogRequest("request-turned-away",
               aRequest,
               { { "account", aRequest.m_request.m_account.Value() },
                 { "model", aRequest.m_request.m_model.Value() },
                 { "priority", std::to_string(priority) },
                 { "wait-ms", std::to_string(wait.Count()) },
                 { "patience-ms", std::to_string(maxWait.Count()) },
                 { "waiting", std::to_string(queue.Size()) } });
    Finish(aRequest, ResultCode::QueueFull, std::max(kMinRetryAfter, wait / 2));
    return;
  }
  aRequest.m_phase = GatewayPhase::Waiting;
  const bool hasGoal = aRequest.m_request.m_goal > Millis();
  const Millis goalAt = hasGoal
                          ? aRequest.m_arrivedAt + aRequest.m_request.m_goal
                          : m_now + maxWait;
  aRequest.m_waiting = WaitingRequest{ priority,
                                       goalAt,
                                       m_now + maxWait,
                                       aRequest.m_request.m_handle,
                                       aRequest.m_request.m_account };
  queue.Add(m_now, aRequest.m_waiting);
}

void GatewayReduction::RemoveFromQueue(GatewayRequest& aRequest)
{
  QueueOf(aRequest).Remove(aRequest.m_waiting);
}

// Starts queued requests while backends have capacity.
void GatewayReduction::StartQueuedRequests()
{
  for (auto& [target, queue] : m_state.m_queues) {
    while (const std::optional<WaitingRequest> next = queue.Next(m_now)) {
      GatewayRequest* request = Find(next->m_handle);
      if (request == nullptr) {
        queue.Remove(*next);
        continue;
      }
      if (!Start(*request)) {
        break;
      }
      queue.Remove(*next);
    }
  }
}

void GatewayReduction::On(const CallerRequestArrived& aArrived)
{
  GatewayRequest& request = m_state.m_requests[aArrived.m_handle];
  request.m_request = aArrived;
  request.m_traits = TraitsOf(aArrived);
  request.m_arrivedAt = m_now;
  BudgetOf(aArrived.m_service).RecordRequest(m_now);
  if (TimeLeft(request) < kMinUsefulTime) {
    Finish(request, ResultCode::QueueDeadline, Millis());
    return;
  }
  const Millis blockedFor = RefusedFor(request);
  if (blockedFor > Millis()) {
    Finish(request, ResultCode::HarmfulRequest, blockedFor);
    return;
  }
  const bool isQueueEmpty = QueueOf(request).Size() == 0;
  if (isQueueEmpty && Start(request)) {
    return;
  }
  WaitOrRefuse(request);
}

void GatewayReduction::On(const AnswerProgressed& aProgress)
{
  GatewayRequest* request = Find(aProgress.m_handle);
  if (request == nullptr || request->m_phase != GatewayPhase::Running) {
    return;
  }
  if (aProgress.m_role == ExchangeRole::Primary) {
    // The hedge would continue after an event that is no longer the last one.
    Drop(*request, "primary-answers");
  } else if (request->m_hedge) {
    Promote(*request, *std::exchange(request->m_hedge, std::nullopt));
  } else {
    return;
  }
  GatewayExchange& exchange = request->m_exchange;
  if (!exchange.m_began) {
    exchange.m_began = true;
    exchange.m_beganAt = m_now;
    QueueOf(*request).RecordTimeToFirstBytes(m_now - exchange.m_sentAt);
    m_state.m_backendTable.RecordAnswerStarted(
      m_now, exchange.m_slot, request->m_request.m_promptTokens);
    m_state.m_backendTable.RecordResponseTime(
      m_now, exchange.m_slot, exchange.m_sentAt);
  } else {
    m_state.m_backendTable.RecordProgress(m_now, exchange.m_slot);
  }
  if (!request->m_answerBegan) {
    request->m_firstBytesAt = m_now;
  } else {
    request->m_longestPause =
      std::max(request->m_longestPause, m_now - request->m_lastBytesAt);
  }
  request->m_lastBytesAt = m_now;
  RecordSurvival(*request, exchange);
  request->m_answerBegan = true;
  request->m_isResumable = aProgress.m_isResumable;
}

void GatewayReduction::On(const CallerLeft& aLeft)
{
  GatewayRequest* request = Find(aLeft.m_handle);
  if (request == nullptr || request->m_callerLeft) {
    return;
  }
  request->m_callerLeft = true;
  if (request->m_phase == GatewayPhase::Waiting) {
    RemoveFromQueue(*request);
    Finish(*request, ResultCode::CallerGone, Millis());
    return;
  }
  Drop(*request, "caller-left");
  // A request that must not be retried runs to its end.
  if (request->m_request.m_isRetryable) {
    m_effects.emplace_back(CancelExchange{ aLeft.m_handle });
  }
}

void GatewayReduction::On(const BackendsChanged& aChange)
{
  m_state.m_backendTable.SetBackends(m_now, aChange.m_backends);
  StartQueuedRequests();
}

void GatewayReduction::On(const PeerLoad& aLoad)
{
  m_state.m_backendTable.SetPeerLoad(aLoad);
  m_state.m_backendTable.RecordPeerSuspects(m_now, aLoad.m_suspects);
}

void GatewayReduction::On(const RosterChanged& aChange)
{
  m_state.m_quota->SetRoster(aChange.m_nodes, aChange.m_validUntil);
  m_state.m_quota->SetLiveNodeCount(aChange.m_liveNodeCount);
}

void GatewayReduction::On(const ColdTurnRequested& aRequest)
{
  m_state.m_backendTable.ColdStart().OnRequest(m_now, aRequest);
}

void GatewayReduction::On(const ColdTurnGranted& aGrant)
{
  ColdStartLimit& limit = m_state.m_backendTable.ColdStart();
  if (limit.OnGrant(m_now, aGrant)) {
    StartQueuedRequests();
    limit.GiveBack(aGrant.m_turn.m_server);
  }
}

void GatewayReduction::On(const ColdTurnResponse& aResponse)
{
  m_state.m_backendTable.ColdStart().OnTurnResponse(aResponse);
}

void GatewayReduction::On(const ColdTurnEnded& aEnded)
{
  m_state.m_backendTable.ColdStart().OnEnded(m_now, aEnded);
}

void GatewayReduction::ExchangeColdTurns()
{
  ColdStartLimit& limit = m_state.m_backendTable.ColdStart();
  for (AskForColdTurn& ask : limit.NextRequests(m_now)) {
    m_effects.emplace_back(std::move(ask));
  }
  for (GrantColdTurn& grant : limit.NextGrants(m_now)) {
    LogEvent event;
    event.m_event = "cold-turn-granted";
    event.m_fields = { { "server", grant.m_turn.m_server.Value() },
                       { "to", grant.m_asker.Value() },
                       { "nodes",
                         std::to_string(m_state.m_quota->NodeCount()) } };
    m_effects.emplace_back(std::move(event));
    m_effects.emplace_back(std::move(grant));
  }
  for (ReportTurnResponse& report : limit.TakeTurnResponses()) {
    m_effects.emplace_back(std::move(report));
  }
  for (EndColdTurn& end : limit.TakeEndedTurns()) {
    m_effects.emplace_back(std::move(end));
  }
}

void GatewayReduction::On(const GatewayTick&)
{
  m_state.m_harmDetector.Tick(
    m_now, m_state.m_quota->NodeCount(), m_state.m_settings.m_seed);
  ApplyHarmFindings();
  m_state.m_backendTable.SuspectUnresponsive(m_now);
  for (size_t slot = 0; slot < m_state.m_backendTable.SlotCount(); ++slot) {
    if (m_state.m_backendTable.ShouldFailOver(m_now, slot)) {
      FailOverFrom(slot, "silent");
    }
  }
  for (auto& [target, queue] : m_state.m_queues) {
    for (const WaitingRequest& waiting : queue.Overdue(m_now)) {
      queue.Remove(waiting);
      if (GatewayRequest* request = Find(waiting.m_handle)) {
        Finish(*request, ResultCode::QueueDeadline, kMinRetryAfter);
      }
    }
  }
  StartQueuedRequests();
}

} // namespace internal

GatewayState::GatewayState(const GatewaySettings& aSettings)
  : m_settings(aSettings)
  , m_quota(std::make_shared<FleetQuota>(aSettings.m_node))
  , m_backendTable(aSettings.m_zone, aSettings.m_seed, m_quota)
{
  m_backendTable.ColdStart().SetBounds(aSettings.m_coldFactor,
                                       aSettings.m_coldSlack);
}

std::map<ModelId, double> RequestsByModel(const GatewayState& aState,
                                          uint32_t aNodes)
{
  std::map<ModelId, double> requests;
  for (size_t i = 0; i < aState.m_backendTable.SlotCount(); ++i) {
    const BackendSlot& slot = aState.m_backendTable.Slot(i);
    if (slot.m_isListed && !slot.m_backend.m_model.IsEmpty()) {
      requests[slot.m_backend.m_model] += slot.Load();
    }
  }
  for (const auto& [target, queue] : aState.m_queues) {
    if (!target.second.IsEmpty()) {
      requests[target.second] += static_cast<double>(queue.Size()) * aNodes;
    }
  }
  return requests;
}

GatewayEffects ReduceGateway(GatewayState& aState,
                             Millis aNow,
                             const GatewayEvent& aEvent)
{
  GatewayEffects effects;
  internal::GatewayReduction reduction(aState, aNow, effects);
  std::visit([&](const auto& aBody) { reduction.On(aBody); }, aEvent);
  reduction.ExchangeColdTurns();
  return effects;
}

} // namespace briarglade
