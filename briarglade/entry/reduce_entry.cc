// The top-level reducer of an entry node: initial state, periodic work and
// graceful shutdown.

#include "briarglade/entry/reduce_entry.h"

#include <algorithm>
#include <string>
#include <utility>

#include "briarglade/base/overloaded.h"
#include "briarglade/base/rendezvous.h"
#include "briarglade/entry/internal/entry_reduction.h"

namespace briarglade {

namespace {

// The longest time that a watch call may wait in the store for a change.
constexpr Millis kWatchTimeout = Millis(1'000);

// A write of this node's own row is retried after this long without a response.
constexpr Millis kRegisterRetryTime = Millis(1'000);
// A process that shuts down serves callers at least until those that got its
// address before the stop have a newer list.
constexpr Millis kServeTime = kAddressLifetime * kAddressCacheLifetimes;
// How long before the request to stop reached this process its sender may have
// taken the time from which callers count. How late this process notes it comes
// on top, and is known (StopRequested).
constexpr Millis kSignalTime = Millis(50);
// Callers of a process that shuts down may count on it for so many sixths of
// the time until it would be killed.
constexpr int64_t kServedSixths = 5;
constexpr int64_t kSixths = 6;
// A process that shuts down exits this long before it would be killed.
constexpr Millis kGraceMargin = Millis(500);
// A process that shuts down waits at most this long for the store to remove its
// row.
constexpr Millis kDeregisterTime = Millis(500);

} // namespace

namespace internal {

void EntryReduction::Log(LogLevel aLevel,
                         const char* aEvent,
                         std::vector<LogField> aFields)
{
  m_effects.emplace_back(LogEvent{ aLevel, aEvent, std::move(aFields) });
}

void EntryReduction::DispatchToGateway(const GatewayEvent& aEvent)
{
  for (GatewayEffect& effect :
       ReduceGateway(m_state.m_gateway, m_now, aEvent)) {
    std::visit(
      Overloaded{
        [this](ReportHarm& aReport) { PublishHarm(aReport.m_notices); },
        [this](CheckServer& aCheck) { CheckIfRunning(aCheck.m_server); },
        [this](ReportServerLeaving& aLeaving) {
          if (RecordLeavingServer(aLeaving.m_server)) {
            m_state.m_peerUpdates.m_nextBulletin.m_leavingServers.push_back(
              aLeaving.m_server);
          }
        },
        [this](ReportRateLimit& aReport) {
          m_state.m_peerUpdates.m_nextBulletin.m_rateLimits.push_back(
            std::move(aReport.m_notice));
        },
        [this](auto& aBody) { m_effects.emplace_back(std::move(aBody)); } },
      effect);
  }
}

// Periodic work.

void EntryReduction::On(const EntryTick&)
{
  TickConfigCurrency();
  ChooseFollowers();
  CheckStore();
  FollowFeeds();
  RequestMissingRows();
  AuditRows();
  RemoveExpiredServers();
  ReturnMissingZones();
  m_state.m_leavingServers.RemoveExpired(m_now);
  Register();
  UpdateRoster();
  TickLease();
  AskAmbiguousAgain();
  TickControl();
  const size_t suspects = OwnSuspects().size();
  DispatchToGateway(GatewayTick{});
  m_state.m_demand.RecordRequests(
    m_now, RequestsByModel(m_state.m_gateway, m_state.m_nodeCount));
  m_state.m_peerUpdates.m_hasUrgentReport =
    m_state.m_peerUpdates.m_hasUrgentReport || OwnSuspects().size() > suspects;
  TickPeerUpdates();
  if (m_state.m_phase != EntryPhase::Serving) {
    ContinueLeaving();
  }
}

void EntryReduction::FollowFeeds()
{
  for (auto& [feed, follower] : m_state.m_feeds) {
    const bool wasUnanswered = follower.UnansweredSince().has_value();
    if (std::optional<FeedCall> call = follower.Tick(m_now)) {
      std::visit([this](auto& aCall) { m_effects.emplace_back(aCall); }, *call);
    }
    if (!wasUnanswered && follower.UnansweredSince()) {
      RequestStoreCheck(feed, "overdue");
    }
  }
}

// Writes the row by which the other nodes find this one.
void EntryReduction::Register()
{
  const bool isDue = !m_state.m_isRegistered &&
                     m_now - m_state.m_registeredAt >= kRegisterRetryTime &&
                     m_state.m_phase == EntryPhase::Serving;
  if (!isDue) {
    return;
  }
  m_state.m_registeredAt = m_now;
  WriteOwnRow write;
  write.m_operation = OperationId(m_state.m_ids.Next());
  write.m_key = NodeRowKey(m_state.m_settings.m_node);
  write.m_value = EncodeNodeRow(NodeRow{ m_state.m_settings.m_node,
                                         m_state.m_settings.m_zone,
                                         m_state.m_settings.m_callerAddress,
                                         m_state.m_settings.m_peerAddress,
                                         m_state.m_incarnation,
                                         m_state.m_settings.m_processorShare });
  m_effects.emplace_back(std::move(write));
}

// Graceful shutdown.

void EntryReduction::On(const StopRequested& aRequest)
{
  if (m_state.m_phase != EntryPhase::Serving) {
    return;
  }
  Log(LogLevel::Info,
      "shutdown-began",
      { { "noted-within-ms",
          std::to_string((m_now - aRequest.m_notBefore).Count()) } });
  m_state.m_phase = EntryPhase::Leaving;
  m_state.m_leavingSince = m_now;
  m_state.m_stopNotBefore = aRequest.m_notBefore;
  m_state.m_directory.SetSelf(false, true);
  m_state.m_roster.OnLeaving();
  UpdateRoster();
  m_state.m_peerUpdates.m_hasUrgentReport = true;
  TickPeerUpdates();
  m_state.m_control.End();
  TickLease();
}

// Returns when this node, which is shutting down, exits at the latest: before
// it would be killed, if the request to stop came as early as it may have, but
// not in the time in which callers may count on it, if it came just now.
Millis EntryReduction::ExitTime() const
{
  const Millis grace = m_state.m_settings.m_bounds.m_graceTime;
  return std::max(m_state.m_stopNotBefore + grace - kGraceMargin,
                  m_state.m_leavingSince + grace * kServedSixths / kSixths);
}

// Returns since when a request must be able to end before this node exits.
// Callers whose lists name this node a little longer than kServeTime, because
// another node's directory learned of the stop late, are refused from then on.
// Callers count from the request to stop, however late this node noted it.
Millis EntryReduction::LateRequestsSince() const
{
  return m_state.m_stopNotBefore - kSignalTime + kServeTime;
}

// Removes the row by which the other nodes find this one. Until then they keep
// this node informed, so that its directory names nodes that live.
void EntryReduction::Deregister()
{
  if (m_state.m_deregistration) {
    return;
  }
  const OperationId operation(m_state.m_ids.Next());
  m_state.m_deregistration = Deregistration{ operation, m_now, false };
  WriteOwnRow remove;
  remove.m_operation = operation;
  remove.m_key = NodeRowKey(m_state.m_settings.m_node);
  // Spares the row of a later process of the same name.
  remove.m_expected = m_state.m_ownRowVersion;
  m_effects.emplace_back(std::move(remove));
}

// Returns whether the store has answered the removal of the row, or took too
// long.
bool EntryReduction::IsDeregistered() const
{
  const std::optional<Deregistration>& removal = m_state.m_deregistration;
  return removal && (removal->m_isAnswered ||
                     m_now - removal->m_sentAt >= kDeregisterTime);
}

void EntryReduction::ContinueLeaving()
{
  const Millis elapsed = m_now - m_state.m_leavingSince;
  if (m_state.m_phase == EntryPhase::Leaving && elapsed >= kServeTime) {
    m_state.m_phase = EntryPhase::Draining;
    m_effects.emplace_back(DrainCallers{});
  }
  const bool isIdle = m_state.m_phase == EntryPhase::Draining &&
                      m_state.m_gateway.m_requests.empty();
  if (isIdle || m_now >= ExitTime() - kDeregisterTime) {
    Deregister();
  }
  const bool isDone = isIdle && IsDeregistered();
  const bool mustExit = m_now >= ExitTime();
  if (m_state.m_phase != EntryPhase::Ended && (isDone || mustExit)) {
    m_state.m_phase = EntryPhase::Ended;
    Log(LogLevel::Info,
        "shutdown-ended",
        { { "cut", std::to_string(m_state.m_gateway.m_requests.size()) } });
    m_effects.emplace_back(ExitProcess{});
  }
}

} // namespace internal

EntryState MakeEntryState(const EntrySettings& aSettings,
                          uint64_t aIncarnation,
                          RowDecoder aDecode)
{
  EntryState state;
  state.m_settings = aSettings;
  state.m_incarnation = aIncarnation;
  state.m_decode = std::move(aDecode);
  state.m_registeredAt = Millis(-1'000'000);
  state.m_storeUptime = StoreUptime(aSettings.m_serverHeartbeat);
  for (const Feed feed : { Feed::Operator, Feed::Servers, Feed::Own }) {
    state.m_feeds.emplace(
      feed, FeedFollower(FeedPace{ feed, kWatchTimeout, Millis() }));
  }
  NodeRow self;
  self.m_node = aSettings.m_node;
  self.m_zone = aSettings.m_zone;
  self.m_callerAddress = aSettings.m_callerAddress;
  self.m_peerAddress = aSettings.m_peerAddress;
  self.m_incarnation = aIncarnation;
  self.m_processorShare = aSettings.m_processorShare;
  state.m_directory = NodeDirectory(self);
  state.m_peerClocks = PeerClocks(aIncarnation);
  state.m_peerUpdates.m_relays = RelaySelector(aSettings.m_node);
  state.m_roster =
    NodeRoster(aSettings.m_node, aSettings.m_bounds.m_retryWindow);
  state.m_configCurrency =
    ConfigCurrency(aSettings.m_bounds.m_configurationTime);
  state.m_ids = UniqueIds(aSettings.m_node, aIncarnation);
  state.m_lease = ControlLease(aSettings.m_node, aIncarnation);
  const EntryBounds& bounds = aSettings.m_bounds;
  state.m_control =
    GroupControl(aSettings.m_node,
                 aIncarnation,
                 ControlBounds{ bounds.m_loadFactor, bounds.m_loadWindow });
  GatewaySettings gateway;
  gateway.m_node = aSettings.m_node;
  gateway.m_zone = aSettings.m_zone;
  gateway.m_seed = static_cast<uint32_t>(
    RendezvousWeight("gateway", aSettings.m_node.Value()));
  gateway.m_retryShare = bounds.m_retryShare;
  gateway.m_retrySlack = bounds.m_retrySlack;
  gateway.m_retryWindow = bounds.m_retryWindow;
  gateway.m_coldFactor = bounds.m_coldFactor;
  gateway.m_coldSlack = bounds.m_coldSlack;
  state.m_gateway = GatewayState(gateway);
  return state;
}

EntryEffects ReduceEntry(EntryState& aState,
                         Millis aNow,
                         const EntryEvent& aEvent)
{
  aState.m_directory.SetSelf(IsReady(aState),
                             aState.m_phase != EntryPhase::Serving);
  internal::EntryReduction reduction(aState, aNow);
  reduction.Run(aEvent);
  return reduction.TakeEffects();
}

bool IsReady(const EntryState& aState)
{
  const bool isOutdated = aState.m_configCurrency.IsLongInDoubt() &&
                          !aState.m_directory.Others().empty();
  const bool knowsServers =
    aState.m_rows.CompleteUpTo(Feed::Servers) > RowVersion() ||
    aState.m_feeds.at(Feed::Servers).IsKnown();
  return aState.m_phase == EntryPhase::Serving && aState.m_routes != nullptr &&
         knowsServers && !isOutdated;
}

} // namespace briarglade
