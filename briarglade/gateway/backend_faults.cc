// Fails requests over from groups that have ended or are suspected, and
// collects evidence of requests that crash servers.

#include "briarglade/gateway/internal/gateway_reduction.h"

#include <algorithm>
#include <sstream>
#include <string>
#include <utility>

namespace briarglade::internal {

namespace {

constexpr uint16_t kFirstFailureStatus = 300;

} // namespace

void GatewayReduction::On(const GroupsEnded& aEnded)
{
  for (size_t slot = 0; slot < m_state.m_backendTable.SlotCount(); ++slot) {
    const GroupId& group = m_state.m_backendTable.Slot(slot).m_backend.m_group;
    const bool isEnded =
      !group.IsEmpty() &&
      std::find(aEnded.m_groups.begin(), aEnded.m_groups.end(), group) !=
        aEnded.m_groups.end();
    if (isEnded) {
      FailOverFrom(slot, "group-ended");
    }
  }
}

std::vector<RequestTrait> GatewayReduction::TraitsOf(
  const CallerRequestArrived& aRequest)
{
  std::vector<RequestTrait> traits;
  traits.push_back(
    RequestTrait{ TraitKind::Request, aRequest.m_fingerprint.Value() });
  for (const PromptPartId part : aRequest.m_sharedParts) {
    traits.push_back(RequestTrait{ TraitKind::PromptPart, part.Value() });
  }
  return traits;
}

Millis GatewayReduction::RefusedFor(const GatewayRequest& aRequest) const
{
  return m_state.m_harmDetector.RefusedFor(m_now, aRequest.m_traits);
}

// Records once for each exchange that its server has answered for long enough.
void GatewayReduction::RecordSurvival(GatewayRequest& aRequest)
{
  const bool hasSurvived =
    aRequest.m_exchangeBegan &&
    m_now - aRequest.m_exchangeBeganAt >= HarmDetector::kProofTime;
  if (hasSurvived && !aRequest.m_hasSurvived) {
    aRequest.m_hasSurvived = true;
    m_state.m_harmDetector.OnSurvived(aRequest.m_exchangeBeganAt,
                                      aRequest.m_traits);
  }
}

// Records how an exchange ended as evidence for or against the request.
void GatewayReduction::RecordCrashEvidence(GatewayRequest& aRequest,
                                           ExchangeEnd aEnd,
                                           uint16_t aStatus)
{
  RecordSurvival(aRequest);
  if (aRequest.m_hasSurvived || aRequest.m_isMoved) {
    return;
  }
  // A stream without an event shows nothing: its server may be crashing.
  const bool isAnswered =
    aRequest.m_request.m_kind != RouteKind::Stream || aRequest.m_exchangeBegan;
  if (aEnd == ExchangeEnd::Whole && aStatus < kFirstFailureStatus &&
      isAnswered) {
    m_state.m_harmDetector.OnSurvived(
      aRequest.m_exchangeBegan ? aRequest.m_exchangeBeganAt : aRequest.m_sentAt,
      aRequest.m_traits);
    return;
  }
  if (!IsBrokenConnection(aEnd)) {
    return;
  }
  if (m_state.m_harmDetector.OnBroken(
        m_now, aRequest.m_traits, aRequest.m_sentTo)) {
    m_effects.emplace_back(CheckServer{ aRequest.m_sentTo });
  }
  ApplyHarmFindings();
}

// Sends the detector's notices to the other nodes, logs what it has found, and
// stops the requests that are refused from now on.
void GatewayReduction::ApplyHarmFindings()
{
  HarmNotices notices = m_state.m_harmDetector.TakeNotices();
  if (!notices.IsEmpty()) {
    m_effects.emplace_back(ReportHarm{ std::move(notices) });
  }
  const std::vector<RefusalChange> changes =
    m_state.m_harmDetector.TakeChanges();
  for (const RefusalChange& change : changes) {
    const bool isPart = change.m_trait.m_kind == TraitKind::PromptPart;
    std::ostringstream value;
    value << std::hex << change.m_trait.m_value;
    m_effects.emplace_back(LogEvent{
      change.m_isRefused ? LogLevel::Warn : LogLevel::Info,
      change.m_isRefused ? "harmful-request-found" : "harmful-request-cleared",
      { { isPart ? "part" : "fingerprint", value.str() },
        { "crashes", std::to_string(change.m_crashes) } } });
  }
  if (!changes.empty()) {
    StopHarmfulRequests();
  }
}

// Ends the requests that are refused from now on: those that wait, and those
// that a server has not begun to answer.
void GatewayReduction::StopHarmfulRequests()
{
  std::vector<RequestHandle> queued;
  for (const auto& [handle, request] : m_state.m_requests) {
    if (RefusedFor(request) == Millis()) {
      continue;
    }
    if (request.m_phase == GatewayPhase::Waiting) {
      queued.push_back(handle);
    } else if (request.m_request.m_isRetryable && !request.m_exchangeBegan) {
      m_effects.emplace_back(CancelExchange{ handle });
    }
  }
  for (const RequestHandle handle : queued) {
    GatewayRequest& request = *Find(handle);
    RemoveFromQueue(request);
    Finish(request, ResultCode::HarmfulRequest, RefusedFor(request));
  }
}

void GatewayReduction::On(const ServerLost& aLost)
{
  m_state.m_harmDetector.OnServerLost(m_now, aLost.m_server, aLost.m_domain);
  ApplyHarmFindings();
}

void GatewayReduction::On(const ServerAlive& aAlive)
{
  m_state.m_harmDetector.OnServerAlive(aAlive.m_server);
}

void GatewayReduction::On(const CrashEvidence& aEvidence)
{
  m_state.m_harmDetector.OnEvidence(m_now, aEvidence);
  ApplyHarmFindings();
}

void GatewayReduction::On(const TraitClearance& aClearance)
{
  m_state.m_harmDetector.OnClearance(m_now, aClearance);
  ApplyHarmFindings();
}

void GatewayReduction::On(const TraitRefusal& aRefusal)
{
  m_state.m_harmDetector.OnRefusal(m_now, aRefusal);
  ApplyHarmFindings();
}

// Cancels the exchanges at a failed or suspected backend so that other backends
// can continue them. Leaves a request where it is if it may not be retried, no
// other backend has capacity, or no retry budget is left.
void GatewayReduction::FailOverFrom(size_t aSlot, const char* aReason)
{
  for (auto& [handle, request] : m_state.m_requests) {
    const bool isRunningThere = request.m_phase == GatewayPhase::Running &&
                                request.m_slot == aSlot && !request.m_isMoved &&
                                !request.m_callerLeft;
    const bool mayFailOver =
      request.m_request.m_isRetryable &&
      request.m_mayHaveRunCount + 1 < request.m_request.m_maxAttempts;
    if (!isRunningThere || !mayFailOver) {
      continue;
    }
    if (!m_state.m_backendTable.Choose(m_now, RequirementsOf(request)) ||
        !TryConsumeRetry(request.m_request.m_service)) {
      continue;
    }
    request.m_isMoved = true;
    LogRequest(
      "request-moved",
      request,
      { { "server",
          m_state.m_backendTable.Slot(aSlot).m_backend.m_server.Value() },
        { "reason", aReason } });
    m_effects.emplace_back(CancelExchange{ handle });
  }
}

} // namespace briarglade::internal
