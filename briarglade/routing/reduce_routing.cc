// Reducer of the request routing events, which calls the handler of each one.

#include "briarglade/routing/reduce_routing.h"

#include <algorithm>
#include <xxhash.h>

#include "briarglade/base/overloaded.h"
#include "briarglade/routing/internal/attempt_end.h"
#include "briarglade/routing/internal/dispatch.h"

namespace briarglade {

namespace {

constexpr Millis kHousekeepingPeriod = Millis(1'000);

void DispatchAll(RoutingState& aState, Millis aNow, RoutingEffects& aEffects)
{
  for (uint32_t target = 0; target < aState.m_queues.size(); ++target) {
    internal::Dispatch(aState, aNow, target, aEffects);
  }
}

void OnTick(RoutingState& aState, Millis aNow, RoutingEffects& aEffects)
{
  aState.m_routes.Refresh(aNow);
  if (aNow - aState.m_lastHousekeepingAt >= kHousekeepingPeriod) {
    aState.m_lastHousekeepingAt = aNow;
    aState.m_crashTracker.Expire(aNow);
    internal::RefreshUsage(aState, aNow);
  }
  internal::CancelAttemptsAtLostGroups(aState, aNow, aEffects);
  internal::QueueDueRetries(aState, aNow);
  internal::RefuseLateRequests(aState, aNow, aEffects);
  DispatchAll(aState, aNow, aEffects);
}

void NoteLoss(RoutingState& aState, Millis aNow, const RouteSlot& aSlot)
{
  const DomainId& domain = aSlot.m_route.m_domain;
  aState.m_crashTracker.NoteLoss(
    aNow,
    LostGroup{ aSlot.m_route.m_group, aSlot.m_lostBoot, domain },
    aState.m_routes.GroupsInDomain(domain));
}

void OnRoutes(RoutingState& aState,
              Millis aNow,
              const RoutesChanged& aChange,
              RoutingEffects& aEffects)
{
  RouteRegistry& routes = aState.m_routes;
  for (const Route& route : aChange.m_changed) {
    if (routes.Upsert(aNow, route) == RouteRegistry::Change::Lost) {
      NoteLoss(aState, aNow, *routes.FindSlot(route.m_group));
    }
  }
  for (const GroupId& group : aChange.m_removed) {
    routes.Remove(aNow, group);
  }
  routes.RebuildDirtyTargets(aNow);
  internal::SendNotices(aState, aEffects);
  DispatchAll(aState, aNow, aEffects);
}

void OnAccounts(RoutingState& aState, const RoutingAccounts& aAccounts)
{
  for (const auto& [id, account] : aAccounts.m_accounts) {
    const uint32_t number = internal::AccountNumber(aState, id);
    RoutedAccount& known = aState.m_accounts[number];
    known.m_share = std::max(1U, account.m_share);
    // A class keeps its index, because queued requests refer to it.
    for (const ClassConfig& config : account.m_classes) {
      const uint32_t entry = internal::ClassNumber(known, config.m_id);
      known.m_classWeights[entry] = std::max(1U, config.m_weight);
    }
  }
}

void OnCallerDisconnected(RoutingState& aState,
                          const CallerDisconnected& aDisconnect,
                          RoutingEffects& aEffects)
{
  const auto handle = aState.m_requests.Find(aDisconnect.m_request);
  if (!handle) {
    return;
  }
  RequestRecord& record = aState.m_requests.Get(*handle);
  if (record.m_phase != RequestPhase::Running) {
    internal::StopWaiting(aState, *handle);
    internal::FinishWith(
      aState, *handle, ResultCode::CallerGone, Millis(), aEffects);
    return;
  }
  // A non-idempotent request is not cancelled: a retry with the same key needs
  // its answer.
  if (record.m_request.m_idempotent && !record.m_callerDisconnected) {
    record.m_callerDisconnected = true;
    aEffects.emplace_back(CancelAttempt{ record.m_attempt });
  }
}

void OnCrashNotice(RoutingState& aState,
                   Millis aNow,
                   const CrashNotice& aNotice,
                   RoutingEffects& aEffects)
{
  const RouteSlot* slot = aState.m_routes.FindSlot(aNotice.m_group);
  aState.m_crashTracker.NotePeerNotice(
    aNow, aNotice, slot == nullptr ? DomainId() : slot->m_route.m_domain);
  internal::SendNotices(aState, aEffects);
}

void OnConfirmation(RoutingState& aState,
                    Millis aNow,
                    const RoutingConfirmation& aChange,
                    RoutingEffects& aEffects)
{
  aState.m_confirmed = aChange.m_confirmed;
  if (!aState.m_confirmed) {
    internal::RefuseWaiting(aState, ResultCode::Unconfirmed, aEffects);
  }
  DispatchAll(aState, aNow, aEffects);
}

} // namespace

RoutingState::RoutingState(const NodeId& aSelf, const ZoneId& aZone)
  : m_self(aSelf)
  , m_zone(aZone)
  , m_random(static_cast<RandomEngine::result_type>(
      XXH3_64bits(aSelf.Value().data(), aSelf.Value().size())))
{
}

RoutingEffects ReduceRouting(RoutingState& aState,
                             Millis aNow,
                             const RoutingEvent& aEvent)
{
  RoutingEffects effects;
  std::visit(
    Overloaded{
      [&](const RoutingTick&) { OnTick(aState, aNow, effects); },
      [&](const RoutesChanged& aChange) {
        OnRoutes(aState, aNow, aChange, effects);
      },
      [&](const RoutingAccounts& aAccounts) { OnAccounts(aState, aAccounts); },
      [&](const RoutingZones& aZones) {
        aState.m_routes.SetZones(aNow, aZones.m_zones);
        DispatchAll(aState, aNow, effects);
      },
      [&](const RoutingRoster& aRoster) {
        aState.m_routes.SetRoster(
          aNow, aRoster.m_version, aRoster.m_nodes, aState.m_self);
        DispatchAll(aState, aNow, effects);
      },
      [&](const RoutingConfirmation& aChange) {
        OnConfirmation(aState, aNow, aChange, effects);
      },
      [&](const CrashNotice& aNotice) {
        OnCrashNotice(aState, aNow, aNotice, effects);
      },
      [&](const RequestArrived& aRequest) {
        internal::AdmitRequest(aState, aNow, aRequest, effects);
      },
      [&](const AttemptAnswerBegan& aBegan) {
        internal::OnAnswerBegan(aState, aNow, aBegan, effects);
      },
      [&](const AttemptEnded& aEnded) {
        internal::OnAttemptEnded(aState, aNow, aEnded, effects);
      },
      [&](const CallerDisconnected& aDisconnect) {
        OnCallerDisconnected(aState, aDisconnect, effects);
      } },
    aEvent);
  return effects;
}

} // namespace briarglade
