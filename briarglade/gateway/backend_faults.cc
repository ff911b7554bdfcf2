// Collects evidence of requests that crash servers, and stops those that are
// refused for it.

#include "briarglade/gateway/internal/gateway_reduction.h"

#include <algorithm>
#include <sstream>
#include <string>
#include <utility>

namespace briarglade::internal {

namespace {

constexpr uint16_t kFirstFailureStatus = 300;

} // namespace

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
void GatewayReduction::RecordSurvival(const GatewayRequest& aRequest,
                                      GatewayExchange& aExchange)
{
  const bool hasSurvived = aExchange.m_began && m_now - aExchange.m_beganAt >=
                                                  HarmDetector::kProofTime;
  if (hasSurvived && !aExchange.m_hasSurvived) {
    aExchange.m_hasSurvived = true;
    m_state.m_harmDetector.OnSurvived(aExchange.m_beganAt, aRequest.m_traits);
  }
}

// Records how an exchange ended as evidence for or against the request.
void GatewayReduction::RecordCrashEvidence(const GatewayRequest& aRequest,
                                           GatewayExchange& aExchange,
                                           const ExchangeEnded& aEnded)
{
  RecordSurvival(aRequest, aExchange);
  if (aExchange.m_hasSurvived) {
    return;
  }
  // A stream without an event shows nothing: its server may be crashing.
  const bool isAnswered =
    aRequest.m_request.m_kind != RouteKind::Stream || aExchange.m_began;
  if (aEnded.m_end == ExchangeEnd::Whole &&
      aEnded.m_status < kFirstFailureStatus && isAnswered) {
    m_state.m_harmDetector.OnSurvived(aExchange.m_began ? aExchange.m_beganAt
                                                        : aExchange.m_sentAt,
                                      aRequest.m_traits);
    return;
  }
  if (!IsBrokenConnection(aEnded.m_end)) {
    return;
  }
  if (m_state.m_harmDetector.OnBroken(
        m_now, aRequest.m_traits, aExchange.m_server)) {
    m_effects.emplace_back(CheckServer{ aExchange.m_server });
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
  for (auto& [handle, request] : m_state.m_requests) {
    if (RefusedFor(request) == Millis()) {
      continue;
    }
    if (request.m_phase == GatewayPhase::Waiting) {
      queued.push_back(handle);
      continue;
    }
    Drop(request, "harmful");
    if (request.m_request.m_isRetryable && !request.m_exchange.m_began) {
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

} // namespace briarglade::internal
