// Applies one event to the state of an entry node. The member functions of the
// class are implemented in one source file per concern:
//
//   reduce_entry.cc     ticks, startup and shutdown
//   store_rows.cc       rows from the store
//   server_entries.cc   the rows of backend servers
//   server_processes.cc which process of a server a statement is about
//   server_checks.cc    probes of servers that broke off exchanges
//   backends.cc         the groups and backends derived from the servers
//   update_receiving.cc messages received from other nodes
//   update_sending.cc   messages sent to other nodes, as a node or as a relay
//   bulletins.cc        changes that every node must know immediately
//   row_sharing.cc      choice of the store's followers, and forwarding of rows
//   row_checks.cc       rows that other nodes forward, and checks of the rows
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

// Within this time after the store has become available again, live servers
// write again the entries that are missing, and operators their rows.
constexpr Millis kRewriteTime = Millis(2'300);

// Returns the run of a server that a record is about.
BootId RunOf(const ServerRecord& aServer);

// What the answer to a probe of a server is about.
enum class ProbeSubject
{
  // The process that is known by the server's entry.
  KnownProcess,
  // Another one at its address: the known process has ended.
  OtherProcess,
  // Another process than the known one was asked, so that the answer shows
  // nothing of the known one.
  Unclear
};

// The process that shows that another one at its address has ended.
struct OtherProcess
{
  // Its server; empty if a report showed it, as that names none.
  HostId m_server;
  // In milliseconds since the Unix epoch.
  int64_t m_startedAt = 0;
  // "entry" or "report", and since when that holds: when the entry was read or
  // the report requested, by this node's clock.
  const char* m_shownBy = "";
  Millis m_shownAt;
};

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
    if (m_state.m_areBackendsStale &&
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
  void On(const PeerUpdateReceived& aReceived);
  void On(const RequestReceived& aReceived);
  void On(const AnswerProgressed& aProgress) { DispatchToGateway(aProgress); }
  void On(const ServerLeaving& aLeaving) { DispatchToGateway(aLeaving); }
  void On(const ServerRateStated& aStated) { DispatchToGateway(aStated); }
  void On(const ExchangeEnded& aEnded) { DispatchToGateway(aEnded); }
  void On(const CallerLeft& aLeft) { DispatchToGateway(aLeft); }
  void On(const StopRequested& aRequest);

  void DispatchToGateway(const GatewayEvent& aEvent);
  void ApplyRows(const std::vector<StoredRow>& aRows);
  void NoticeEra(RowVersion aVersion);
  void Take(const ConfigRow& aRow);
  void Take(const ZoneRow& aRow);
  void SetZoneOut(const ZoneId& aZone, bool aIsOut);
  void ReturnMissingZones();
  void Take(const ServerRow& aRow);
  void Take(const OwnRow& aRow);
  void HandleOwnNodeRow(const OwnRow& aRow,
                        const std::optional<NodeRow>& aContent);
  void Take(const BadRow& aRow);
  void UpdateBackends();
  std::vector<Backend> MakeBackends();
  EngineTimes TimesOf(const ServiceSpec& aService) const;
  Backend MakeBackend(const ServerRecord& aServer,
                      const ServiceSpec& aService) const;
  Millis ColdUntil(const ServerRecord& aServer,
                   const ServiceSpec& aService) const;

  void FollowFeeds();
  void Register();
  void OnNodeRowWritten(const OwnRowWritten& aWritten);
  std::vector<GroupId> OwnSuspects() const;
  NodeCondition OwnCondition() const;
  NodeNews MakePeerUpdate() const;
  void Send(const std::vector<NodeId>& aReceivers, NodeNews aUpdate);
  void TickPeerUpdates();
  void SendReports();
  void SendReport(const NodeId& aRelay,
                  Subscription aSubscription,
                  NodeNews aReport);
  std::vector<NodeId> NodesInRotation(const ZoneId& aZone) const;
  std::optional<NodeId> ChooseNeighbourToQuery() const;
  bool IsOwnRelay() const;
  bool IsRelay() const;
  void RemoveUnresponsive();
  void SendDigests();
  StatusDigest MakeDigest(const ZoneId& aZone) const;
  StatusDigest MakeFleetDigest(const std::vector<ServerLoad>& aOthers,
                               bool aHasAllNodes) const;
  std::vector<GroupId> ReportedSuspects() const;
  WorkByModel FleetWork() const;
  void RecordWork(const CallerRequestArrived& aRequest,
                  const EngineSpec& aEngine);
  void SendZoneDigests();
  ZoneDigest MakeOwnZone() const;
  std::vector<ZoneAge> KnownZoneAges() const;
  std::vector<ZoneDigest> ZonesMissedBy(const NodeId& aRelay,
                                        const ZoneId& aZone) const;
  std::vector<NodeId> RelaysOfZone(const ZoneId& aZone) const;
  void UseLoads(Millis aAsOf,
                std::vector<ServerLoad> aOthers,
                const std::vector<GroupId>& aSuspects);
  SendTime TimeOf(const PeerUpdateReceived& aReceived);
  void LogReturns(const SendTime& aSentAt, const NodeNews& aUpdate);
  void AnswerEchoRequest(const NodeNews& aUpdate);
  void HandleReport(const SendTime& aSentAt, const NodeNews& aUpdate);
  void HandleZoneAges(const SendTime& aSentAt, const NodeNews& aUpdate);
  void HandleFleetDigest(const SendTime& aSentAt, const NodeNews& aUpdate);
  void HandleZoneDigest(const SendTime& aSentAt, const ZoneDigest& aZone);
  void HandleStatuses(const SendTime& aSentAt,
                      const std::vector<NodeStatus>& aNodes);
  void HandleBulletin(const SendTime& aSentAt,
                      const Bulletin& aBulletin,
                      const NodeId& aSender);
  void ApplyBulletin(const Bulletin& aBulletin);
  void HandleNotices(const SendTime& aSentAt, const NodeNews& aUpdate);
  void SendBulletin();
  void ForwardBulletin(const Bulletin& aBulletin, const NodeId& aSender);
  void PublishGroupChanges();
  void RecordEndedGroups(const std::vector<GroupId>& aGroups);
  static bool IsOpenedWith(const OpenedGroup& aGroup,
                           size_t aRank,
                           const ServerRecord& aServer);
  void ApplyOpenedGroups(Millis aAsOf, const std::vector<OpenedGroup>& aGroups);
  void RemoveExpiredServers();
  void LogMissingEntry(const HostId& aHost);
  void LogRemovalBelieved(const HostId& aHost);
  void LogRemoval(const char* aEvent, const HostId& aHost);
  bool ServesAsMember(const ServerRecord& aServer) const;
  void RemoveServer(const HostId& aHost);
  bool RemoveUnlisted();
  void UpdateGroups();
  void ReportServerLost(const ServerRecord& aServer);
  void CarryOver(const ServerRecord& aKnown, ServerRecord& aEntry);
  void RecordStart(const ServerRecord& aServer);
  void EndDisplaced(const std::optional<HostId>& aServer,
                    const char* aShownBy,
                    Millis aShownAt);
  void EndProcess(ServerRecord& aServer, const OtherProcess& aOther);
  static ProbeSubject SubjectOf(const ServerProbed& aProbed,
                                const ServerRecord* aKnown);
  void ApplyReport(ServerRecord& aServer,
                   const ServerRecord& aReport,
                   Millis aRequestedAt);
  void CheckIfRunning(const ServerRun& aServer);
  void EndCheck(const ServerProbed& aProbed);
  void LogCheck(const ServerRun& aServer, const char* aOutcome);
  void PublishHarm(const HarmNotices& aNotices);
  bool RecordLeavingServer(const ServerRun& aServer);
  void ChooseFollowers();
  Millis ServersWatchTime() const;
  void ForwardRowChanges(Feed aFeed, RowVersion aAfter);
  void PublishRowChanges(Feed aFeed, RowVersion aAfter);
  void AnswerWithRows(const NodeNews& aUpdate);
  void ApplyRowChanges(const NodeId& aSender,
                       const std::vector<RowChanges>& aChanges);
  std::optional<RowVersion> LogMissedChanges(Feed aFeed,
                                             const std::string& aSource);
  void CompareRows(const NodeNews& aUpdate);
  void AuditRows();
  bool IsStoreSuspect() const;
  void SuspectStore();
  void RequestStoreCheck(Feed aFeed, const char* aReason);
  void BeginStoreCheck(const NodeId& aOrigin);
  void EndStoreCheck(const NodeId& aOrigin, Millis aAge);
  void CheckStore();
  bool IsSubstituteFollower() const;
  std::vector<NodeId> RankedFollowers() const;
  void RecordAccepted(const FeedAnswered& aAnswer, const CallTimes& aCall);
  Millis StoreUptimeNow() const;
  bool WasStoreAvailable() const;
  Millis EntryDoubt() const;
  Millis OwnEntryDoubt() const;
  Millis ForwardedEntryDoubt() const;
  void RecordReportedDoubt(Millis aDoubt);
  void HandleCondition(const NodeCondition& aCondition, Millis aAge);
  bool IsBehind(const NodeNews& aUpdate, Feed aFeed) const;
  FeedVersions OwnVersions() const;
  std::optional<Millis> ConfigBehindSince() const;
  bool MayLackConfig() const;
  void TickConfigCurrency();
  // Writes a bounded number of lines about refused requests.
  void LogRefusal(const RequestReceived& aReceived, ResultCode aCode);
  void RejectUnknown(const RequestReceived& aReceived, ResultCode aCode);
  void RecordVersions(const SendTime& aSentAt, const NodeNews& aUpdate);
  void RequestMissingRows();
  void UpdateRoster();
  Millis StoreAnsweredAt() const;
  void RecordOutage(const FeedFollower& aBefore,
                    const FeedFollower& aAfter,
                    Millis aAnsweredBefore);
  void UpdateRosterKnowledge(const NodeNews& aUpdate);
  void TickLease();
  void TickControl();
  void TickControlSoon();
  void ApplyMembership(ServerRecord& aServer, const MembershipUpdate& aUpdate);
  void LogOrderAnswered(const OrderAnswered& aAnswered);
  void RecordOrder(const OrderAnswered& aAnswered);
  void AskIfAmbiguous(const ServerRecord& aServer);
  void AskAmbiguousAgain();
  void ContinueLeaving();
  Millis ExitTime() const;
  Millis LateRequestsSince() const;
  void Deregister();
  bool IsDeregistered() const;
  bool MayOutlastThisNode(const CallerRequestArrived& aRequest) const;
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
