// Hedges requests whose group is silent or is being ended: another server is
// sent the request while the first one keeps it, and the one that delivers
// first serves the caller.

#include "briarglade/gateway/internal/gateway_reduction.h"

#include <algorithm>
#include <string>
#include <utility>

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

bool GatewayReduction::MayHedge(const GatewayRequest& aRequest) const
{
  // The primary exchange counts as one that may have run.
  return aRequest.m_request.m_isRetryable && aRequest.m_isResumable &&
         !aRequest.m_hedge && !aRequest.m_callerLeft &&
         FindLimit(aRequest, aRequest.m_mayHaveRunCount + 1) ==
           RetryBlock::None;
}

// Each hedge takes its place at once, so that the next request finds only the
// room that is left.
void GatewayReduction::FailOverFrom(size_t aSlot, const char* aReason)
{
  for (auto& [handle, request] : m_state.m_requests) {
    const bool isRunningThere = request.m_phase == GatewayPhase::Running &&
                                request.m_exchange.m_slot == aSlot;
    if (!isRunningThere || !MayHedge(request)) {
      continue;
    }
    const std::optional<size_t> slot =
      m_state.m_backendTable.Choose(m_now, RequirementsOf(request));
    if (!slot || !TryConsumeRetry(request.m_request.m_service)) {
      continue;
    }
    LogRequest("request-hedged",
               request,
               { { "server", request.m_exchange.m_server.m_server.Value() },
                 { "reason", aReason },
                 { "silent-ms",
                   std::to_string(
                     (m_now - m_state.m_backendTable.Slot(aSlot).m_lastBytesAt)
                       .Count()) } });
    SendTo(request, *slot, ExchangeRole::Hedge);
  }
}

void GatewayReduction::Release(GatewayRequest& aRequest,
                               const GatewayExchange& aExchange)
{
  m_state.m_backendTable.RecordEnded(
    aExchange.m_slot, aExchange.m_began, aRequest.m_request.m_promptTokens);
  QueueOf(aRequest).RecordBackendFreed(m_now);
}

void GatewayReduction::Promote(GatewayRequest& aRequest,
                               const GatewayExchange& aHedge)
{
  const GatewayExchange previous = aRequest.m_exchange;
  Release(aRequest, previous);
  m_state.m_backendTable.RecordResult(previous.m_slot, false);
  ++aRequest.m_mayHaveRunCount;
  aRequest.m_exchange = aHedge;
  LogMoved(aRequest, previous.m_server.m_server);
  m_effects.emplace_back(PromoteHedge{ aRequest.m_request.m_handle });
}

void GatewayReduction::LogMoved(const GatewayRequest& aRequest,
                                const HostId& aFrom)
{
  LogRequest("request-moved",
             aRequest,
             { { "server", aFrom.Value() },
               { "to", aRequest.m_exchange.m_server.m_server.Value() } });
}

void GatewayReduction::Drop(GatewayRequest& aRequest, const char* aReason)
{
  if (!aRequest.m_hedge) {
    return;
  }
  const GatewayExchange hedge = *std::exchange(aRequest.m_hedge, std::nullopt);
  Release(aRequest, hedge);
  ++aRequest.m_mayHaveRunCount;
  LogRequest(
    "hedge-dropped",
    aRequest,
    { { "server", hedge.m_server.m_server.Value() }, { "reason", aReason } });
  m_effects.emplace_back(DropHedge{ aRequest.m_request.m_handle });
}

void GatewayReduction::OnHedgeEnded(GatewayRequest& aRequest,
                                    const ExchangeEnded& aEnded)
{
  if (!aRequest.m_hedge) {
    return;
  }
  GatewayExchange hedge = *std::exchange(aRequest.m_hedge, std::nullopt);
  Release(aRequest, hedge);
  const ExchangeClassification classification =
    RecordEnd(aRequest, hedge, aEnded);
  // Its events would have made it the primary exchange: it has had none, and
  // the caller's stream may not be complete.
  const bool mayBeShort = aRequest.m_answerBegan;
  if (IsServed(aEnded, classification) && !mayBeShort) {
    Promote(aRequest, hedge);
    FinishWithAnswer(aRequest, aEnded);
  } else {
    LogExchangeFailed(aRequest, hedge, aEnded);
  }
}

} // namespace briarglade::internal
