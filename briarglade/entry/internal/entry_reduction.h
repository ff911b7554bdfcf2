// Applies one event to the state of an entry node. The member functions of the
// class are implemented in one source file per concern:
//
//   reduce_entry.cc     ticks, startup and shutdown
//   store_rows.cc       rows from the store, and the backends derived from them
//   peer_news.cc        messages received from other nodes
//   news_sending.cc     messages sent to other nodes, as a node or as a relay
//   bulletins.cc        changes that every node must know immediately
//   row_sharing.cc      choice of the store's followers, and forwarding of rows
//   control_duties.cc   the control lease, and group control by its holder
//   caller_requests.cc  routes and accounts of callers' requests

#pragma once

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "briarglade/entry/reduce_entry.h"

namespace briarglade::internal {

// The minimum time between two computations of the backends. Thousands of
// servers can change one after the other.
constexpr Millis kBackendsPeriod = Millis(20);

// Applies one event and collects the effects.
class EntryReduction
{
public:
  EntryReduction(EntryState& aState, Millis aNow)
    : m_state(aState)
    , m_now(aNow)
  {
  }

  // Applies the event. Also updates the backends if that is due, and sends the
  // bulletin if there is one.
  void Run(const EntryEvent& aEvent)
  {
    std::visit([this](const auto& aBody) { On(aBody); }, aEvent);
    if (m_state.m_isBackendsStale &&
        m_now - m_state.m_backendsUpdatedAt >= kBackendsPeriod) {
      UpdateBackends();
    }
    SendBulletin();
  }
  // Returns the collected effects; call it once.
  EntryEffects TakeEffects() { return std::move(m_effects); }

private:
  void On(const EntryTick&);
  void On(const FeedAnswered& aAnswer);
  void On(const OwnRowWritten& aWritten);
  void On(const OrderAnswered& aAnswered);
  void On(const ServerProbed& aProbed);
  void On(const NewsReceived& aReceived);
  void On(const RequestReceived& aReceived);
  void On(const AnswerProgressed& aProgress) { ToGateway(aProgress); }
  void On(const ServerLeaves& aLeaves) { ToGateway(aLeaves); }
  void On(const ExchangeEnded& aEnded) { ToGateway(aEnded); }
  void On(const CallerLeft& aLeft) { ToGateway(aLeft); }
  void On(const StopRequested&);

  void ToGateway(const GatewayEvent& aEvent);
  void TakeRows(const std::vector<StoredRow>& aRows);
  void Take(const ConfigRow& aRow);
  void Take(const ZoneRow& aRow);
  void Take(const ServerRow& aRow);
  void Take(const OwnRow& aRow);
  void HandleOwnNodeRow(const OwnRow& aRow,
                        const std::optional<NodeRow>& aContent);
  void Take(const BadRow& aRow);
  void UpdateBackends();
  std::vector<Backend> MakeBackends() const;
  Backend MakeBackend(const ServerRecord& aServer,
                      const ServiceSpec& aService) const;
  Millis ColdUntil(const ServerRecord& aServer,
                   const ServiceSpec& aService) const;

  void FollowFeeds();
  void Register();
  void OnNodeRowWritten(const OwnRowWritten& aWritten);
  std::vector<GroupId> OwnSuspects() const;
  NodeCondition OwnCondition() const;
  NodeNews MakeNews() const;
  void Send(const std::vector<NodeId>& aReceivers, NodeNews aNews);
  void TickNews();
  void SendReports();
  void SendReport(const NodeId& aRelay,
                  Subscription aSubscription,
                  NodeNews aReport);
  std::vector<NodeId> NodesByTurns(const ZoneId& aZone) const;
  std::optional<NodeId> NeighbourToAsk() const;
  bool IsOwnRelay() const;
  bool IsRelay() const;
  void ForgetSilent();
  void SendDigests();
  NewsDigest MakeDigest(const ZoneId& aZone) const;
  NewsDigest MakeFleetDigest(const std::vector<ServerLoad>& aOthers,
                             bool aHasAllNodes) const;
  std::vector<GroupId> ReportedSuspects() const;
  void SendZoneDigests();
  ZoneDigest MakeOwnZone() const;
  std::vector<ZoneAge> KnownZoneAges() const;
  std::vector<ZoneDigest> ZonesMissedBy(const NodeId& aRelay,
                                        const ZoneId& aZone) const;
  std::vector<NodeId> RelaysOfZone(const ZoneId& aZone) const;
  void UseLoads(std::vector<ServerLoad> aOthers,
                const std::vector<GroupId>& aSuspects);
  void TakeReport(const NodeNews& aNews);
  void TakeFleet(const NodeNews& aNews);
  void TakeZone(const ZoneDigest& aZone);
  void TakeStatuses(const std::vector<NodeStatus>& aNodes);
  void TakeBulletin(const Bulletin& aBulletin, const NodeId& aSender);
  void SendBulletin();
  void PassOn(const Bulletin& aBulletin, const NodeId& aSender);
  void TellControl();
  void TakeEnded(const std::vector<GroupId>& aGroups);
  void TakeOpened(const std::vector<OpenedGroup>& aGroups);
  void RemoveExpiredServers();
  bool ServesAsMember(const ServerRecord& aServer) const;
  void RemoveServer(const HostId& aHost);
  void RemoveUnlisted();
  void ReportServerLost(const ServerRecord& aServer);
  bool TakeLeaving(const ServerRun& aServer);
  void ChooseFollowers();
  void HandOn(Feed aFeed, RowVersion aAfter);
  void AnswerWithRows(const NodeNews& aNews);
  void TakeHanded(const std::vector<HandedRows>& aHanded);
  void NoteToldDisturbed();
  void TakeCondition(const NodeCondition& aCondition);
  bool IsBehind(const NodeNews& aNews, Feed aFeed) const;
  void AskIfBehind(const NodeNews& aNews);
  void UpdateRoster();
  Millis StoreAnsweredAt() const;
  void RecordOutage(const FeedFollower& aBefore,
                    const FeedFollower& aAfter,
                    Millis aAnsweredBefore);
  void TakeRosterKnowledge(const NodeNews& aNews);
  void TickLease();
  void TickControl();
  void TickControlSoon();
  void ContinueLeaving();
  void RejectRequest(const RequestReceived& aReceived,
                     ResultCode aCode,
                     Millis aRetryAfter);
  bool IsStoreLost() const;
  bool IsStoreDisturbed() const;
  std::set<GroupId> Suspects() const;
  void Log(LogLevel aLevel, const char* aEvent, std::vector<LogField> aFields);

  EntryState& m_state;
  const Millis m_now;
  EntryEffects m_effects;
};

} // namespace briarglade::internal
