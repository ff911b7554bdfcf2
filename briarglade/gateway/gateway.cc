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

BackendWish GatewayReduction::WishOf(const GatewayRequest& aRequest)
{
  return BackendWish{ aRequest.m_request.m_service,
                      aRequest.m_request.m_model,
                      &aRequest.m_tried };
}

WaitQueue& GatewayReduction::QueueOf(const GatewayRequest& aRequest)
{
  return m_state
    .m_queues[{ aRequest.m_request.m_service, aRequest.m_request.m_model }];
}

RepeatBudget& GatewayReduction::BudgetOf(const ServiceId& aService)
{
  const GatewaySettings& settings = m_state.m_settings;
  return m_state.m_repeatBudgets
    .try_emplace(
      aService, settings.m_retryShare * kBudgetFraction, settings.m_retryWindow)
    .first->second;
}

// Consumes one retry from the service's budget. Returns false if none is left.
bool GatewayReduction::TakeRepeat(const ServiceId& aService)
{
  const FleetShare& quota = *m_state.m_share;
  const double slack =
    m_state.m_settings.m_retrySlack *
    (quota.IsValid(m_now) ? kBudgetFraction : kReserveFraction);
  const uint32_t localSlack =
    quota.PartOf(aService.Value(), static_cast<uint32_t>(slack));
  return BudgetOf(aService).Take(m_now, localSlack);
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
    { { "request", aRequest.m_request.m_attemptName },
      { "age-ms", std::to_string((m_now - aRequest.m_arrivedAt).Count()) } });
  m_effects.emplace_back(std::move(event));
}

void GatewayReduction::Forget(const GatewayRequest& aRequest)
{
  m_state.m_requests.erase(aRequest.m_request.m_handle);
}

void GatewayReduction::Finish(GatewayRequest& aRequest,
                              ResultCode aCode,
                              Millis aRetryAfter)
{
  const bool claimsNotRun =
    DescribeResultCode(aCode).m_outcome == Outcome::NotRun;
  const bool mayHaveRun = aRequest.m_mayHaveRun > 0;
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
        { "service", aRequest.m_request.m_service.Value() },
        { "sends", std::to_string(aRequest.m_tried.size()) },
        { "retry-after-ms", std::to_string(answer.m_retryAfter.Count()) } });
  }
  m_effects.emplace_back(answer);
  Forget(aRequest);
}

void GatewayReduction::PassOn(GatewayRequest& aRequest,
                              const ExchangeEnded& aEnded)
{
  const Millis timeToFirstBytes =
    aRequest.m_answerBegan ? aRequest.m_firstPartAt - aRequest.m_arrivedAt
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
      { "server",
        m_state.m_book.Slot(aRequest.m_slot).m_backend.m_server.Value() },
      { "sends", std::to_string(aRequest.m_tried.size()) } });
  m_effects.emplace_back(PassAnswerOn{ aRequest.m_request.m_handle });
  Forget(aRequest);
}

// Returns how many idle connections this node may keep to a server. The roster
// need not be valid: an outdated one can only affect the server's own limit.
uint32_t GatewayReduction::MaxIdleConnections(const Backend& aBackend) const
{
  const uint32_t idle = aBackend.m_maxConnections / kIdleDivisor;
  return m_state.m_share->PartOf(aBackend.m_server.Value(), idle);
}

// Sends a request to the best backend with capacity. Returns false if there is
// none.
bool GatewayReduction::Start(GatewayRequest& aRequest)
{
  const std::optional<size_t> slot =
    m_state.m_book.Choose(m_now, WishOf(aRequest));
  if (!slot) {
    return false;
  }
  m_state.m_book.NoteStarted(m_now, *slot, aRequest.m_request.m_promptTokens);
  QueueOf(aRequest).NoteStarted(m_now, aRequest.m_request.m_account);
  aRequest.m_phase = GatewayPhase::Running;
  aRequest.m_slot = *slot;
  aRequest.m_sentAt = m_now;
  aRequest.m_exchangeBegan = false;
  aRequest.m_isMoved = false;
  const BackendSlot& chosen = m_state.m_book.Slot(*slot);
  aRequest.m_tried.push_back(chosen.m_serial);
  aRequest.m_sentTo =
    ServerRun{ chosen.m_backend.m_server, chosen.m_backend.m_run };
  SendToServer send;
  send.m_handle = aRequest.m_request.m_handle;
  send.m_server = chosen.m_backend.m_server;
  send.m_endpoint = chosen.m_backend.m_endpoint;
  send.m_account = aRequest.m_request.m_account;
  send.m_isStream = aRequest.m_request.m_kind == RouteKind::Stream;
  send.m_urgency = aRequest.m_request.m_priority;
  send.m_deadline = aRequest.m_request.m_deadline;
  send.m_answerBy = aRequest.m_request.m_answerBy;
  send.m_needsFreshConnection = !aRequest.m_request.m_mayRepeat;
  send.m_maxIdleConnections = MaxIdleConnections(chosen.m_backend);
  const Millis coldFor =
    std::max(Millis(), chosen.m_backend.m_coldUntil - m_now);
  LogRequest("request-sent",
             aRequest,
             { { "server", send.m_server.Value() },
               { "group", chosen.m_backend.m_group.Value() },
               { "load", std::to_string(chosen.Load()) },
               { "cold-ms", std::to_string(coldFor.Count()) },
               { "nodes", std::to_string(m_state.m_share->NodeCount()) },
               { "send", std::to_string(aRequest.m_tried.size()) } });
  m_effects.emplace_back(std::move(send));
  return true;
}

void GatewayReduction::WaitOrRefuse(GatewayRequest& aRequest)
{
  const Millis maxWait =
    std::min(kMaxWait, TimeLeft(aRequest) / kMaxWaitDivisor);
  const bool hasBackend =
    m_state.m_book.HasAny(m_now, WishOf(aRequest), m_now + maxWait);
  // The caller of a stream that has begun can't be asked to retry: the request
  // waits for a group that replaces the lost one.
  if (!hasBackend && !aRequest.m_answerBegan) {
    const Millis backoff = m_state.m_book.HeldOffFor(m_now, WishOf(aRequest));
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
  aRequest.m_waiting = Waiting{ priority,
                                goalAt,
                                m_now + maxWait,
                                aRequest.m_request.m_handle,
                                aRequest.m_request.m_account };
  queue.Add(m_now, aRequest.m_waiting);
}

void GatewayReduction::StopWaiting(GatewayRequest& aRequest)
{
  QueueOf(aRequest).Remove(aRequest.m_waiting);
}

// Starts queued requests while backends have capacity.
void GatewayReduction::StartWaiting()
{
  for (auto& [target, queue] : m_state.m_queues) {
    while (const std::optional<Waiting> next = queue.First(m_now)) {
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
  request.m_arrivedAt = m_now;
  BudgetOf(aArrived.m_service).NoteRequest(m_now);
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
  if (!request->m_exchangeBegan) {
    request->m_exchangeBegan = true;
    QueueOf(*request).NoteFirstPart(m_now - request->m_sentAt);
    m_state.m_book.NoteAnswerBegan(
      m_now, request->m_slot, request->m_request.m_promptTokens);
  } else {
    m_state.m_book.NoteProgress(m_now, request->m_slot);
  }
  if (!request->m_answerBegan) {
    request->m_firstPartAt = m_now;
  } else {
    request->m_longestPause =
      std::max(request->m_longestPause, m_now - request->m_lastPartAt);
  }
  request->m_lastPartAt = m_now;
  request->m_answerBegan = true;
}

void GatewayReduction::On(const CallerLeft& aLeft)
{
  GatewayRequest* request = Find(aLeft.m_handle);
  if (request == nullptr || request->m_callerLeft) {
    return;
  }
  request->m_callerLeft = true;
  if (request->m_phase == GatewayPhase::Waiting) {
    StopWaiting(*request);
    Finish(*request, ResultCode::CallerGone, Millis());
    return;
  }
  // A request that must not be retried runs to its end.
  if (request->m_request.m_mayRepeat) {
    m_effects.emplace_back(CancelExchange{ aLeft.m_handle });
  }
}

void GatewayReduction::On(const BackendsChanged& aChange)
{
  m_state.m_book.SetBackends(m_now, aChange.m_backends);
  StartWaiting();
}

void GatewayReduction::On(const PeerLoad& aLoad)
{
  m_state.m_book.SetPeerLoad(aLoad);
  m_state.m_book.NotePeerSuspects(m_now, aLoad.m_suspects);
}

void GatewayReduction::On(const RosterChanged& aChange)
{
  m_state.m_share->SetRoster(aChange.m_nodes, aChange.m_validUntil);
}

void GatewayReduction::On(const GatewayTick&)
{
  m_state.m_ledger.Expire(m_now);
  m_state.m_book.SuspectSilent(m_now);
  for (size_t slot = 0; slot < m_state.m_book.SlotCount(); ++slot) {
    if (m_state.m_book.ShouldMoveFrom(m_now, slot)) {
      MoveFrom(slot, "silent");
    }
  }
  for (auto& [target, queue] : m_state.m_queues) {
    for (const Waiting& waiting : queue.Overdue(m_now)) {
      queue.Remove(waiting);
      if (GatewayRequest* request = Find(waiting.m_handle)) {
        Finish(*request, ResultCode::QueueDeadline, kMinRetryAfter);
      }
    }
  }
  StartWaiting();
}

} // namespace internal

GatewayState::GatewayState(const GatewaySettings& aSettings)
  : m_settings(aSettings)
  , m_share(std::make_shared<FleetShare>(aSettings.m_node))
  , m_book(aSettings.m_zone, aSettings.m_seed, m_share)
{
  m_book.ColdStart().SetBounds(aSettings.m_coldFactor, aSettings.m_coldSlack);
}

std::map<ModelId, double> RequestsByModel(const GatewayState& aState,
                                          uint32_t aNodes)
{
  std::map<ModelId, double> requests;
  for (size_t i = 0; i < aState.m_book.SlotCount(); ++i) {
    const BackendSlot& slot = aState.m_book.Slot(i);
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
  return effects;
}

} // namespace briarglade
