// The top-level reducer: dispatches each event to the components that handle it
// and passes the effects of one component to the others.
//
//   membership -- fleet, zones, roster, confirmation --> placement, routing
//   placement  -- routes                             --> routing
//   actions    -- a recorded call, to be run once    --> routing
//   routing    -- the outcome of that call           --> actions

#include "briarglade/core/reduce.h"

#include <utility>

#include "briarglade/actions/reduce_actions.h"
#include "briarglade/base/overloaded.h"
#include "briarglade/core/node_state.h"
#include "briarglade/membership/membership.h"
#include "briarglade/placement/placement.h"
#include "briarglade/routing/reduce_routing.h"

namespace briarglade {

namespace {

// Time after which a caller that was rejected by an unconfirmed node should
// retry.
constexpr Millis kUnconfirmedRetryAfter = Millis(1'000);

// If the last tick was longer ago than this, the process was paused.
constexpr Millis kPauseThreshold = Millis(500);

// Processes a single event.
class Reduction
{
public:
  Reduction(NodeState& aState, Millis aNow)
    : m_state(aState)
    , m_now(aNow)
  {
  }

  void Run(const EventBody& aBody)
  {
    UpdateConfirmation(IsConfirmed(m_state.m_membership, m_now));
    if (m_now - m_state.m_tickedAt > kPauseThreshold) {
      // The process was paused, and its state may be too old to act on. A tick
      // first brings it up to date.
      On(Tick{});
    }
    std::visit([this](const auto& aEvent) { On(aEvent); }, aBody);
  }

  Effects TakeEffects() { return std::move(m_effects); }

private:
  // Dispatches an event to one component and applies the effects that it
  // returns.

  void SendToMembership(const MembershipEvent& aEvent)
  {
    for (MembershipEffect& effect :
         ReduceMembership(m_state.m_membership, m_now, aEvent)) {
      std::visit([this](auto& aEffect) { Apply(std::move(aEffect)); }, effect);
    }
  }

  void SendToPlacement(const PlacementEvent& aEvent)
  {
    for (PlacementEffect& effect :
         ReducePlacement(m_state.m_placement, m_now, aEvent)) {
      std::visit([this](auto& aEffect) { Apply(std::move(aEffect)); }, effect);
    }
  }

  void SendToRouting(const RoutingEvent& aEvent)
  {
    for (RoutingEffect& effect :
         ReduceRouting(m_state.m_routing, m_now, aEvent)) {
      if (auto* finish = std::get_if<FinishRequest>(&effect)) {
        ApplyFinishRequest(std::move(*finish));
        continue;
      }
      std::visit([this](auto& aEffect) { Apply(std::move(aEffect)); }, effect);
    }
  }

  void SendToActions(const ActionsEvent& aEvent)
  {
    for (ActionsEffect& effect :
         ReduceActions(m_state.m_actions, m_now, aEvent)) {
      std::visit([this](auto& aEffect) { Apply(std::move(aEffect)); }, effect);
    }
  }

  // Event handlers.

  void On(const Tick&)
  {
    m_state.m_tickedAt = m_now;
    SendToMembership(MembershipTick{});
    UpdateConfirmation(IsConfirmed(m_state.m_membership, m_now));
    SendToPlacement(PlacementTick{});
    SendToRouting(RoutingTick{});
    SendToActions(ActionsTick{});
    ReportDraining();
  }

  void On(const TableResult& aResult)
  {
    // Each component recognises the results of its own operations.
    SendToMembership(aResult);
    SendToPlacement(aResult);
    SendToActions(aResult);
  }

  void On(const ObjectResult& aResult) { SendToActions(aResult); }
  void On(const ServerReport& aReport) { SendToPlacement(aReport); }
  void On(const ProbeFailed& aFailed) { SendToPlacement(aFailed); }

  void On(const HostsListed& aListed)
  {
    EntryHostsRead entryHosts;
    for (const ListedHost& host : aListed.m_list.m_hosts) {
      entryHosts.m_shown.emplace_back(host.m_host.Value());
    }
    SendToMembership(entryHosts);
    SendToPlacement(aListed);
  }

  void On(const PeerMessageReceived& aReceived)
  {
    if (const auto* presence =
          std::get_if<PresenceNews>(&aReceived.m_message)) {
      SendToPlacement(*presence);
    } else if (const auto* inFlight =
                 std::get_if<InFlightNews>(&aReceived.m_message)) {
      SendToPlacement(*inFlight);
    } else if (const auto* crash =
                 std::get_if<CrashNotice>(&aReceived.m_message)) {
      SendToRouting(*crash);
    } else if (const auto* news = std::get_if<NodeNews>(&aReceived.m_message)) {
      UpdateLeavingNodes(*news);
    } else {
      SendToMembership(aReceived);
    }
  }

  void On(const PeerUnreachable& aUnreachable)
  {
    SendToMembership(aUnreachable);
  }
  void On(const ApplyCommand& aCommand) { SendToMembership(aCommand); }
  void On(const ZoneCommand& aCommand) { SendToMembership(aCommand); }
  void On(const ShutdownRequested& aRequested) { SendToMembership(aRequested); }

  void On(const RequestArrived& aRequest)
  {
    if (!m_state.m_confirmed) {
      FinishRequest refusal;
      refusal.m_request = aRequest.m_request;
      refusal.m_code = ResultCode::Unconfirmed;
      refusal.m_retryAfter = kUnconfirmedRetryAfter;
      m_effects.emplace_back(std::move(refusal));
    } else if (aRequest.m_idempotent) {
      SendToRouting(aRequest);
    } else {
      SendToActions(aRequest);
    }
  }

  void On(const AttemptAnswerBegan& aBegan) { SendToRouting(aBegan); }

  void On(const AttemptEnded& aEnded)
  {
    m_endedAttempt = aEnded.m_attempt;
    m_answer = aEnded.m_answer;
    SendToRouting(aEnded);
    m_answer = nullptr;
  }

  void On(const CallerDisconnected& aGone)
  {
    // A recorded call continues, so that a retry can return its outcome.
    SendToActions(aGone);
    if (m_state.m_runningActions.count(aGone.m_request) == 0) {
      SendToRouting(aGone);
    }
  }

  void On(const LeavingBegan&)
  {
    m_state.m_leavingNodes.insert(m_state.m_self);
    SendToAllPeers(NodeNews{ m_state.m_self, true });
  }

  // Effects that are passed on to other components.

  void Apply(FleetAdopted aAdopted)
  {
    m_state.m_fleetVersion = aAdopted.m_version;
    m_state.m_fleet = std::move(aAdopted.m_fleet);
    SendToPlacement(PlacementFleet{ m_state.m_fleet });
    SendToRouting(RoutingAccounts{ m_state.m_fleet.m_accounts });
  }

  void Apply(ZonesAdopted aAdopted)
  {
    m_state.m_zones = std::move(aAdopted.m_zones);
    SendToPlacement(PlacementZones{ m_state.m_zones });
    SendToRouting(RoutingZones{ m_state.m_zones });
  }

  void Apply(RosterAdopted aAdopted)
  {
    m_state.m_roster = std::move(aAdopted.m_nodes);
    m_state.m_rosterVersion = m_state.m_membership.m_held.m_roster;
    std::vector<NodeId> ids;
    std::set<NodeId> leaving;
    for (const RosterNode& node : m_state.m_roster) {
      ids.push_back(node.m_id);
      if (m_state.m_leavingNodes.count(node.m_id) > 0) {
        leaving.insert(node.m_id);
      }
    }
    m_state.m_leavingNodes = std::move(leaving);
    SendToPlacement(PlacementRoster{ ids });
    SendToRouting(RoutingRoster{ m_state.m_rosterVersion, ids });
  }

  void Apply(ConfirmationChanged aChanged)
  {
    UpdateConfirmation(aChanged.m_confirmed);
  }

  void Apply(RoutesFound aFound)
  {
    RoutesChanged change;
    std::map<GroupId, Route> routes;
    for (Route& route : aFound.m_routes) {
      const auto before = m_state.m_routes.find(route.m_group);
      if (before == m_state.m_routes.end() || !(before->second == route)) {
        change.m_changed.push_back(route);
      }
      routes.emplace(route.m_group, std::move(route));
    }
    for (const auto& [group, route] : m_state.m_routes) {
      if (routes.count(group) == 0) {
        change.m_removed.push_back(group);
      }
    }
    m_state.m_routes = std::move(routes);
    SendToRouting(change);
  }

  void Apply(SendNews aSend)
  {
    for (const RosterNode& node : m_state.m_roster) {
      if (node.m_id == aSend.m_node) {
        std::visit(
          [&](const auto& aNews) {
            m_effects.emplace_back(
              SendPeer{ node.m_id, node.m_endpoint, aNews });
          },
          aSend.m_news);
        return;
      }
    }
  }

  void Apply(SendCrashNotice aSend) { SendToAllPeers(aSend.m_notice); }

  void Apply(RunAction aRun)
  {
    m_state.m_runningActions.insert(aRun.m_request.m_request);
    SendToRouting(aRun.m_request);
  }

  void ApplyFinishRequest(FinishRequest aFinish)
  {
    if (m_state.m_runningActions.erase(aFinish.m_request) == 0) {
      m_effects.emplace_back(std::move(aFinish));
      return;
    }
    const bool isSameAttempt = aFinish.m_attempt == m_endedAttempt;
    SendToActions(
      ActionFinished{ std::move(aFinish), isSameAttempt ? m_answer : nullptr });
  }

  // Effects that the I/O shell carries out.
  template<typename ShellEffect>
  void Apply(ShellEffect aEffect)
  {
    m_effects.emplace_back(std::move(aEffect));
  }

  // Notifies routing immediately when the confirmation has expired or was
  // renewed, also after a pause of the process.
  void UpdateConfirmation(bool aConfirmed)
  {
    if (aConfirmed == m_state.m_confirmed) {
      return;
    }
    m_state.m_confirmed = aConfirmed;
    SendToRouting(RoutingConfirmation{ aConfirmed });
    if (aConfirmed && m_state.m_leavingNodes.count(m_state.m_self) == 0) {
      // An earlier process with this node id may have announced its shutdown.
      SendToAllPeers(NodeNews{ m_state.m_self, false });
    }
  }

  // Reports this node's in-flight requests at draining groups to placement when
  // their number changes.
  void ReportDraining()
  {
    std::map<GroupId, uint32_t> reported;
    for (const auto& [group, route] : m_state.m_routes) {
      if (!route.m_draining) {
        continue;
      }
      const uint32_t count = m_state.m_routing.m_routes.InFlightAt(group);
      const auto before = m_state.m_reportedDraining.find(group);
      if (before == m_state.m_reportedDraining.end() ||
          before->second != count) {
        SendToPlacement(InFlightChanged{ group, count });
      }
      reported[group] = count;
    }
    m_state.m_reportedDraining = std::move(reported);
  }

  void UpdateLeavingNodes(const NodeNews& aNews)
  {
    if (aNews.m_leaving) {
      m_state.m_leavingNodes.insert(aNews.m_node);
    } else {
      m_state.m_leavingNodes.erase(aNews.m_node);
    }
  }

  void SendToAllPeers(const PeerMessage& aMessage)
  {
    for (const RosterNode& node : m_state.m_roster) {
      if (node.m_id != m_state.m_self) {
        m_effects.emplace_back(
          SendPeer{ node.m_id, node.m_endpoint, aMessage });
      }
    }
  }

  NodeState& m_state;
  Millis m_now;
  Effects m_effects;
  // The attempt that ends with the current event, and its answer.
  AttemptId m_endedAttempt;
  std::shared_ptr<const StoredAnswer> m_answer;
};

} // namespace

NodeState MakeNodeState(const MembershipSettings& aSettings)
{
  NodeState state;
  state.m_self = aSettings.m_self;
  state.m_membership = MakeMembershipState(aSettings);
  state.m_placement.m_self = aSettings.m_self;
  state.m_placement.m_ids = UniqueIds(
    NodeId(aSettings.m_self.Value() + ".placement"), aSettings.m_incarnation);
  state.m_routing = RoutingState(aSettings.m_self, aSettings.m_zone);
  state.m_actions = MakeActionsState(aSettings.m_self, aSettings.m_incarnation);
  return state;
}

Effects Reduce(NodeState& aState, const Event& aEvent)
{
  Reduction reduction(aState, aEvent.m_at);
  reduction.Run(aEvent.m_body);
  return reduction.TakeEffects();
}

} // namespace briarglade
