// Fails requests over from groups that have ended or are suspected, and
// collects evidence of requests that crash servers.

#include "briarglade/gateway/internal/gateway_reduction.h"

#include <algorithm>
#include <string>

namespace briarglade::internal {

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

Millis GatewayReduction::RefusedFor(const GatewayRequest& aRequest) const
{
  return m_state.m_crashTracker.RefusedFor(m_now,
                                           aRequest.m_request.m_fingerprint);
}

// Records how an exchange ended as evidence for or against the request: if the
// server broke the exchange off, the request may have crashed it.
void GatewayReduction::RecordCrashEvidence(const GatewayRequest& aRequest,
                                           ExchangeEnd aEnd)
{
  const Fingerprint fingerprint = aRequest.m_request.m_fingerprint;
  if (aEnd == ExchangeEnd::Whole) {
    m_state.m_crashTracker.NoteSuccess(fingerprint);
    return;
  }
  if (IsBrokenConnection(aEnd) && !aRequest.m_isMoved) {
    const HostId& server =
      m_state.m_backendTable.Slot(aRequest.m_slot).m_backend.m_server;
    m_state.m_crashTracker.NoteBroken(
      m_now, fingerprint, GroupId(server.Value()));
    ReportCrashes();
  }
}

void GatewayReduction::ReportCrashes()
{
  for (const CrashNotice& notice : m_state.m_crashTracker.TakeNotices()) {
    if (notice.m_refuseFor > Millis()) {
      m_effects.emplace_back(LogEvent{
        LogLevel::Warn,
        "harmful-request-found",
        { { "fingerprint", std::to_string(notice.m_fingerprint.Value()) },
          { "server", notice.m_group.Value() } } });
    }
    m_effects.emplace_back(ReportCrash{ notice });
  }
}

void GatewayReduction::On(const ServerLost& aLost)
{
  // The crash tracker identifies a crash site by group name; the gateway passes
  // each server as a group of its own.
  m_state.m_crashTracker.NoteLoss(
    m_now,
    LostGroup{ GroupId(aLost.m_server.Value()), aLost.m_run, aLost.m_domain },
    aLost.m_serversInDomain);
  ReportCrashes();
}

void GatewayReduction::On(const CrashNotice& aNotice)
{
  m_state.m_crashTracker.NotePeerNotice(m_now, aNotice, DomainId());
  ReportCrashes();
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
