// The top reducer: hands each event to the components that it concerns and
// tells them what the others have decided.
//
//   membership -- fleet, zones, roster, confirmation --> placement, routing
//   placement  -- routes                             --> routing
//   actions    -- a recorded call, to be run once    --> routing
//   routing    -- what came of it                    --> actions

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

// When a caller refused by an unconfirmed node should come back to it.
constexpr Millis kUnconfirmedRetryAfter = Millis(1'000);

// A tick that is later than this shows that the process was paused.
constexpr Millis kLateTick = Millis(500);

// The reduction of one event.
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
    NoteConfirmation(IsConfirmed(m_state.m_membership, m_now));
    if (m_now - m_state.m_tickedAt > kLateTick) {
      // The process was paused: what it knew may be too old to act on.
      On(Tick{});
    }
    std::visit([this](const auto& aEvent) { On(aEvent); }, aBody);
  }

  Effects TakeEffects() { return std::move(m_effects); }

private:
  // Hands an event to one component and takes its effects.

  void ToMembership(const MembershipEvent& aEvent)
  {
    for (MembershipEffect& effect :
         ReduceMembership(m_state.m_membership, m_now, aEvent)) {
      std::visit([this](auto& aEffect) { Take(std::move(aEffect)); }, effect);
    }
  }

  void ToPlacement(const PlacementEvent& aEvent)
  {
    for (PlacementEffect& effect :
         ReducePlacement(m_state.m_placement, m_now, aEvent)) {
      std::visit([this](auto& aEffect) { Take(std::move(aEffect)); }, effect);
    }
  }

  void ToRouting(const RoutingEvent& aEvent)
  {
    for (RoutingEffect& effect :
         ReduceRouting(m_state.m_routing, m_now, aEvent)) {
      if (auto* finish = std::get_if<FinishRequest>(&effect)) {
        TakeFromRouting(std::move(*finish));
        continue;
      }
      std::visit([this](auto& aEffect) { Take(std::move(aEffect)); }, effect);
    }
  }

  void ToActions(const ActionsEvent& aEvent)
  {
    for (ActionsEffect& effect :
         ReduceActions(m_state.m_actions, m_now, aEvent)) {
      std::visit([this](auto& aEffect) { Take(std::move(aEffect)); }, effect);
    }
  }

  // Events.

  void On(const Tick&)
  {
    m_state.m_tickedAt = m_now;
    ToMembership(MembershipTick{});
    NoteConfirmation(IsConfirmed(m_state.m_membership, m_now));
    ToPlacement(PlacementTick{});
    ToRouting(RoutingTick{});
    ToActions(ActionsTick{});
    TellDraining();
  }

  void On(const TableResult& aResult)
  {
    // Each component knows its own operations.
    ToMembership(aResult);
    ToPlacement(aResult);
    ToActions(aResult);
  }

  void On(const ObjectResult& aResult) { ToActions(aResult); }
  void On(const ServerReport& aReport) { ToPlacement(aReport); }
  void On(const ProbeFailed& aFailed) { ToPlacement(aFailed); }

  void On(const HostsListed& aListed)
  {
    EntryHostsRead entryHosts;
    for (const ListedHost& host : aListed.m_list.m_hosts) {
      entryHosts.m_shown.emplace_back(host.m_host.Value());
    }
    ToMembership(entryHosts);
    ToPlacement(aListed);
  }

  void On(const PeerMessageReceived& aReceived)
  {
    if (const auto* presence =
          std::get_if<PresenceNews>(&aReceived.m_message)) {
      ToPlacement(*presence);
    } else if (const auto* inFlight =
                 std::get_if<InFlightNews>(&aReceived.m_message)) {
      ToPlacement(*inFlight);
    } else if (const auto* crash =
                 std::get_if<CrashNotice>(&aReceived.m_message)) {
      ToRouting(*crash);
    } else if (const auto* news = std::get_if<NodeNews>(&aReceived.m_message)) {
      NoteNodeNews(*news);
    } else {
      ToMembership(aReceived);
    }
  }

  void On(const PeerUnreachable& aUnreachable) { ToMembership(aUnreachable); }
  void On(const ApplyCommand& aCommand) { ToMembership(aCommand); }
  void On(const ZoneCommand& aCommand) { ToMembership(aCommand); }
  void On(const ShutdownRequested& aRequested) { ToMembership(aRequested); }

  void On(const RequestArrived& aRequest)
  {
    if (!m_state.m_confirmed) {
      FinishRequest refusal;
      refusal.m_request = aRequest.m_request;
      refusal.m_code = ResultCode::Unconfirmed;
      refusal.m_retryAfter = kUnconfirmedRetryAfter;
      m_effects.emplace_back(std::move(refusal));
    } else if (aRequest.m_idempotent) {
      ToRouting(aRequest);
    } else {
      ToActions(aRequest);
    }
  }

  void On(const AttemptAnswerBegan& aBegan) { ToRouting(aBegan); }

  void On(const AttemptEnded& aEnded)
  {
    m_answered = aEnded.m_attempt;
    m_answer = aEnded.m_answer;
    ToRouting(aEnded);
    m_answer = nullptr;
  }

  void On(const CallerGone& aGone)
  {
    // A recorded call goes on, so that a repeat learns what came of it.
    ToActions(aGone);
    if (m_state.m_runningActions.count(aGone.m_request) == 0) {
      ToRouting(aGone);
    }
  }

  void On(const LeavingBegan&)
  {
    m_state.m_leavingNodes.insert(m_state.m_self);
    SendToAll(NodeNews{ m_state.m_self, true });
  }

  // Effects that other components take in.

  void Take(FleetAdopted aAdopted)
  {
    m_state.m_fleetVersion = aAdopted.m_version;
    m_state.m_fleet = std::move(aAdopted.m_fleet);
    ToPlacement(PlacementFleet{ m_state.m_fleet });
    ToRouting(RoutingAccounts{ m_state.m_fleet.m_accounts });
  }

  void Take(ZonesAdopted aAdopted)
  {
    m_state.m_zones = std::move(aAdopted.m_zones);
    ToPlacement(PlacementZones{ m_state.m_zones });
    ToRouting(RoutingZones{ m_state.m_zones });
  }

  void Take(RosterAdopted aAdopted)
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
    ToPlacement(PlacementRoster{ ids });
    ToRouting(RoutingRoster{ m_state.m_rosterVersion, ids });
  }

  void Take(ConfirmationChanged aChanged)
  {
    NoteConfirmation(aChanged.m_confirmed);
  }

  void Take(RoutesFound aFound)
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
    ToRouting(change);
  }

  void Take(SendNews aSend)
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

  void Take(SendCrashNotice aSend) { SendToAll(aSend.m_notice); }

  void Take(RunAction aRun)
  {
    m_state.m_runningActions.insert(aRun.m_request.m_request);
    ToRouting(aRun.m_request);
  }

  void TakeFromRouting(FinishRequest aFinish)
  {
    if (m_state.m_runningActions.erase(aFinish.m_request) == 0) {
      m_effects.emplace_back(std::move(aFinish));
      return;
    }
    const bool isItsOwn = aFinish.m_attempt == m_answered;
    ToActions(
      ActionFinished{ std::move(aFinish), isItsOwn ? m_answer : nullptr });
  }

  // Effects for the shell.
  template<typename ShellEffect>
  void Take(ShellEffect aEffect)
  {
    m_effects.emplace_back(std::move(aEffect));
  }

  // Tells routing at once when the confirmation has lapsed or come back, also
  // after a pause of the process.
  void NoteConfirmation(bool aConfirmed)
  {
    if (aConfirmed == m_state.m_confirmed) {
      return;
    }
    m_state.m_confirmed = aConfirmed;
    ToRouting(RoutingConfirmation{ aConfirmed });
    if (aConfirmed && m_state.m_leavingNodes.count(m_state.m_self) == 0) {
      // An earlier run under this name may have been leaving.
      SendToAll(NodeNews{ m_state.m_self, false });
    }
  }

  // Tells placement of this node's requests at groups that are draining.
  void TellDraining()
  {
    std::map<GroupId, uint32_t> told;
    for (const auto& [group, route] : m_state.m_routes) {
      if (!route.m_draining) {
        continue;
      }
      const uint32_t count = m_state.m_routing.m_book.InFlightAt(group);
      const auto before = m_state.m_drainTold.find(group);
      if (before == m_state.m_drainTold.end() || before->second != count) {
        ToPlacement(InFlightChanged{ group, count });
      }
      told[group] = count;
    }
    m_state.m_drainTold = std::move(told);
  }

  void NoteNodeNews(const NodeNews& aNews)
  {
    if (aNews.m_leaving) {
      m_state.m_leavingNodes.insert(aNews.m_node);
    } else {
      m_state.m_leavingNodes.erase(aNews.m_node);
    }
  }

  void SendToAll(const PeerMessage& aMessage)
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
  // The attempt that ends with this event, and its answer.
  AttemptId m_answered;
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
