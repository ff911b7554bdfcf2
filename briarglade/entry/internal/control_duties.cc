// The control lease, and the work that its holder does for the groups.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>
#include <string>

#include "briarglade/base/overloaded.h"

namespace briarglade::internal {

namespace {

// Other nodes' reports of suspected groups are valid for this long.
constexpr Millis kSuspectsLifetime = Millis(1'200);
// The shortest time between two control steps that responses trigger.
constexpr Millis kControlPeriod = Millis(20);
// A server whose membership is ambiguous is asked again after this long.
constexpr Millis kAmbiguousRetryTime = Millis(1'000);

std::string CountText(const std::optional<uint64_t>& aCount)
{
  return aCount ? std::to_string(*aCount) : "none";
}

// Returns a membership as GROUP/GENERATION/RANK/PHASE, or "none".
std::string DescribeMembership(
  const std::optional<GroupMembership>& aMembership)
{
  if (!aMembership) {
    return "none";
  }
  return aMembership->m_group.Value() + "/" +
         std::to_string(aMembership->m_generation.Value()) + "/" +
         std::to_string(aMembership->m_rank) + "/" +
         GroupPhaseName(aMembership->m_phase);
}

} // namespace

void EntryReduction::On(const OwnRowWritten& aWritten)
{
  if (aWritten.m_key == NodeRowKey(m_state.m_settings.m_node)) {
    OnNodeRowWritten(aWritten);
    return;
  }
  m_state.m_lease.OnWritten(aWritten);
}

void EntryReduction::OnNodeRowWritten(const OwnRowWritten& aWritten)
{
  if (m_state.m_deregistration &&
      m_state.m_deregistration->m_operation == aWritten.m_operation) {
    m_state.m_deregistration->m_isAnswered = true;
    return;
  }
  const bool isRegistration = m_state.m_phase == EntryPhase::Serving;
  if (aWritten.m_status != StoreStatus::Ok || !isRegistration) {
    return;
  }
  m_state.m_isRegistered = true;
  m_state.m_storeClock.Update(m_now, aWritten.m_storeTime);
  m_state.m_roster.OnRegistered(m_now, aWritten.m_version);
}

void EntryReduction::TickLease()
{
  const std::vector<NodeId> liveNodes =
    m_state.m_directory.ActiveNodeIds(m_now);
  const auto self =
    std::find(liveNodes.begin(), liveNodes.end(), m_state.m_settings.m_node);
  const LeaseRow& row = m_state.m_lease.Row();
  LeaseView view;
  view.m_storeTime = m_state.m_storeClock.At(m_now);
  view.m_storeEra = m_state.m_storeEra.value_or(StoreEra());
  // A holder that the store rejects receives no further changes.
  const bool isHolderCutOff =
    m_state.m_directory.IsStoreLost(m_now, row.m_holder) && !IsStoreLost();
  view.m_isHolderLost =
    !row.m_holder.IsEmpty() &&
    (isHolderCutOff ||
     m_state.m_directory.IsLost(m_now, row.m_holder, row.m_incarnation));
  view.m_serversCheckFencing =
    m_state.m_settings.m_bounds.m_serversCheckFencing;
  view.m_rank = static_cast<uint32_t>(self - liveNodes.begin());
  view.m_isLeaving = m_state.m_phase != EntryPhase::Serving;
  if (std::optional<WriteOwnRow> write = m_state.m_lease.Tick(m_now, view)) {
    m_effects.emplace_back(std::move(*write));
  }
}

std::set<GroupId> EntryReduction::Suspects() const
{
  const std::vector<GroupId> ownSuspects = OwnSuspects();
  std::set<GroupId> suspects(ownSuspects.begin(), ownSuspects.end());
  const PeerUpdateState& news = m_state.m_peerUpdates;
  if (m_now - news.m_suspectsAsOf <= kSuspectsLifetime) {
    suspects.insert(news.m_suspects.begin(), news.m_suspects.end());
  }
  return suspects;
}

void EntryReduction::TickControl()
{
  m_state.m_controlTickedAt = m_now;
  if (m_state.m_areBackendsStale) {
    UpdateBackends();
  }
  if (m_state.m_lease.IsUnconfirmed(m_now)) {
    // Work in progress continues once the lease is confirmed.
    return;
  }
  const bool isHeld = m_state.m_lease.IsHeld(m_now);
  if (!isHeld && m_state.m_control.IsActive()) {
    m_state.m_control.End();
    Log(LogLevel::Info, "control-lost", {});
  }
  // A new holder starts by querying the servers themselves, so it has to know
  // them.
  if (!isHeld || !m_state.m_routes ||
      !m_state.m_feeds[Feed::Servers].IsKnown()) {
    return;
  }
  if (!m_state.m_control.IsActive()) {
    m_state.m_control.Begin(m_now, m_state.m_lease.Token());
    Log(LogLevel::Info,
        "control-taken",
        { { "token", std::to_string(m_state.m_lease.Token().Value()) } });
  }
  const std::set<GroupId> suspects = Suspects();
  // Without a relay's digest only this node's own part of the work is known.
  const bool isWorkKnown =
    IsRelay() || !m_state.m_peerUpdates.m_loads.WorkFromRelay().empty();
  const ControlView view{ m_state.m_servers,
                          m_state.m_groups,
                          m_state.m_routes->Config(),
                          m_state.m_zonesOut,
                          suspects,
                          m_state.m_hasTraffic,
                          m_state.m_demand.Demand(),
                          isWorkKnown ? FleetWork() : WorkByModel() };
  for (ControlEffect& effect : m_state.m_control.Tick(m_now, view)) {
    std::visit(
      Overloaded{
        [&](ProbeHost& aProbe) {
          const auto server = m_state.m_servers.find(aProbe.m_host);
          if (server != m_state.m_servers.end()) {
            m_effects.emplace_back(ProbeServerNow{ server->second });
          }
        },
        [&](auto& aBody) { m_effects.emplace_back(std::move(aBody)); } },
      effect);
  }
  RecordEndedGroups(m_state.m_control.EndedGroups());
  PublishGroupChanges();
}

void EntryReduction::On(const OrderAnswered& aAnswered)
{
  LogOrderAnswered(aAnswered);
  RecordOrder(aAnswered);
  if (!m_state.m_control.OnOrderAnswered(m_now, aAnswered)) {
    m_state.m_lease.OnOrderRefused();
    TickLease();
  }
  TickControlSoon();
}

// Logs the outcome of an order together with what the holder knew of the server
// when it decided on the order.
void EntryReduction::LogOrderAnswered(const OrderAnswered& aAnswered)
{
  const GroupOrder& order = aAnswered.m_order;
  const OrderBasis& basis = order.m_basis;
  Log(LogLevel::Info,
      "order-answered",
      { { "order", OrderKindName(order.m_kind) },
        { "server", order.m_host.Value() },
        { "group", order.m_group.Value() },
        { "generation", std::to_string(order.m_generation.Value()) },
        { "token", std::to_string(order.m_fencing.Value()) },
        { "status", OrderStatusName(aAnswered.m_status) },
        { "expected-orders", CountText(order.m_expectedOrders) },
        { "took-ms", std::to_string((m_now - basis.m_decidedAt).Count()) },
        { "known-group", basis.m_group.Value() },
        { "known-from", UpdateSourceName(basis.m_source) },
        { "known-age-ms",
          std::to_string((basis.m_decidedAt - basis.m_knownAsOf).Count()) } });
}

// Applies what the outcome of an order shows about the server's membership. An
// order that may have been accepted outdates the server's last report.
void EntryReduction::RecordOrder(const OrderAnswered& aAnswered)
{
  const GroupOrder& order = aAnswered.m_order;
  const auto server = m_state.m_servers.find(order.m_host);
  if (server == m_state.m_servers.end()) {
    return;
  }
  ServerRecord& record = server->second;
  const bool hasLeft = order.m_kind == OrderKind::Leave &&
                       (aAnswered.m_status == OrderStatus::Accepted ||
                        aAnswered.m_status == OrderStatus::Done);
  const bool wasMember = record.m_groupMembership &&
                         record.m_groupMembership->m_group == order.m_group;
  if (hasLeft && wasMember) {
    MembershipUpdate update;
    update.m_source = UpdateSource::Order;
    update.m_asOf = m_now;
    update.m_startedAt = record.m_membershipHistory.StartedAt();
    ApplyMembership(record, update);
  }
  record.m_membershipHistory.InvalidateReport(m_now);
}

// Asks a server whose membership is ambiguous, if this node's decisions depend
// on it: the lease holder's on every server, another node's on the leader of a
// group that serves.
void EntryReduction::AskIfAmbiguous(const ServerRecord& aServer)
{
  const auto group =
    aServer.m_groupMembership && aServer.m_groupMembership->m_rank == 0
      ? m_state.m_groups.find(aServer.m_groupMembership->m_group)
      : m_state.m_groups.end();
  const bool leadsGroup =
    group != m_state.m_groups.end() && IsServing(group->second);
  if (m_state.m_control.IsActive() || leadsGroup) {
    m_state.m_ambiguousServers[aServer.m_host] = m_now;
    m_effects.emplace_back(ProbeServerNow{ aServer });
  }
}

// Asks the servers whose membership is still ambiguous again.
void EntryReduction::AskAmbiguousAgain()
{
  for (auto entry = m_state.m_ambiguousServers.begin();
       entry != m_state.m_ambiguousServers.end();) {
    const auto server = m_state.m_servers.find(entry->first);
    if (server == m_state.m_servers.end()) {
      entry = m_state.m_ambiguousServers.erase(entry);
      continue;
    }
    if (m_now - entry->second >= kAmbiguousRetryTime) {
      entry->second = m_now;
      m_effects.emplace_back(ProbeServerNow{ server->second });
    }
    ++entry;
  }
}

// Applies an update about a server's membership. Logs it if it changes or
// contradicts what this node believes.
void EntryReduction::ApplyMembership(ServerRecord& aServer,
                                     const MembershipUpdate& aUpdate)
{
  if (aServer.m_endedAt) {
    // A process that has ended is in no group; an older update may still say
    // so.
    return;
  }
  const std::optional<GroupMembership> known = aServer.m_groupMembership;
  const MembershipHistory history = aServer.m_membershipHistory;
  const UpdateOutcome outcome =
    aServer.m_membershipHistory.Apply(aUpdate, aServer.m_groupMembership);
  if (outcome == UpdateOutcome::Applied) {
    m_state.m_areBackendsStale = true;
  }
  if (outcome == UpdateOutcome::Ambiguous) {
    AskIfAmbiguous(aServer);
  } else if (outcome != UpdateOutcome::Outdated) {
    m_state.m_ambiguousServers.erase(aServer.m_host);
  }
  const bool isChange = !(known == aUpdate.m_membership);
  const bool isRepeated = aUpdate.m_source == UpdateSource::Announcement &&
                          outcome == UpdateOutcome::Outdated;
  if (!isChange || isRepeated) {
    return;
  }
  Log(LogLevel::Info,
      "server-membership",
      { { "server", aServer.m_host.Value() },
        { "from", UpdateSourceName(aUpdate.m_source) },
        { "outcome", UpdateOutcomeName(outcome) },
        { "age-ms", std::to_string((m_now - aUpdate.m_asOf).Count()) },
        { "sequence", std::to_string(aServer.m_sequence) },
        { "group", DescribeMembership(aUpdate.m_membership) },
        { "known-group", DescribeMembership(known) },
        { "known-from", UpdateSourceName(history.Source()) },
        { "known-age-ms", std::to_string((m_now - history.AsOf()).Count()) },
        { "orders", CountText(aUpdate.m_orderCount) },
        { "known-orders", CountText(history.OrderCount()) } });
}

// Runs a control step after a response. Hundreds of responses may arrive at
// once, and each step examines every server, so a step that is due too soon is
// left to the next response or the next tick.
void EntryReduction::TickControlSoon()
{
  if (m_now - m_state.m_controlTickedAt < kControlPeriod) {
    return;
  }
  TickControl();
}

} // namespace briarglade::internal
