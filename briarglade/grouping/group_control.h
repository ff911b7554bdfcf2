// Group management by the node that holds the control lease. It forms groups,
// opens each one once every member is ready, and ends groups that have lost a
// member, so that their hosts can form new ones.
//
// If the measured work of a service's models does not fit the groups, hosts
// move from one model to another: the weights are staged while the host serves,
// and then the group ends gracefully. A move's only state is what servers
// report.
//
// Four rules ensure that a host is in at most one group, even if answers are
// lost or orders are carried out late:
//  - Each new group has a higher generation than all earlier ones, and a server
//    refuses to join a group of a lower generation.
//  - A group is opened only after every member itself has reported that it is
//    ready in that group and generation.
//  - A host of a group joins another one only after the group's leader has left
//    the group or stopped running, or the host itself has left the group.
//  - A host joins only in the state that it has itself reported to this holder:
//    the order states how many orders the server had accepted by then, and the
//    server refuses it if it has accepted another one since, from whomever and
//    however late.
//
// Example:
//   GroupControl control(self, incarnation, bounds);
//   control.Begin(now, token);
//   for (ControlEffect& effect : control.Tick(now, view)) { ... }

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <variant>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/log_event.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/unique_ids.h"
#include "briarglade/grouping/capacity_plan.h"
#include "briarglade/grouping/capacity_status.h"
#include "briarglade/grouping/group_order.h"
#include "briarglade/grouping/group_plan.h"
#include "briarglade/grouping/group_view.h"
#include "briarglade/grouping/load_budget.h"
#include "briarglade/grouping/model_work.h"
#include "briarglade/grouping/shortage_plan.h"

namespace briarglade {

// Requests a report from a server.
struct ProbeHost
{
  HostId m_host;
};

using ControlEffect = std::variant<GroupOrder, ProbeHost, LogEvent>;
using ControlEffects = std::vector<ControlEffect>;

// The state of the fleet as the lease holder sees it.
struct ControlView
{
  const ServerMap& m_servers;
  const GroupMap& m_groups;
  const GatewayConfig& m_config;
  // Zones that the operators have taken out.
  const std::set<ZoneId>& m_zonesOut;
  // Groups that at least one node has reported as unresponsive.
  const std::set<GroupId>& m_suspectedGroups;
  // Callers have started to send requests.
  bool m_hasTraffic = false;
  // Number of requests in flight or queued for each model.
  std::map<ModelId, double> m_demand = {};
  // The work per second that callers of all nodes request; empty if unknown.
  WorkByModel m_work = {};
};

// Limits on weight loads.
struct ControlBounds
{
  // Loads that may start, as a fraction of the configured rate, and the window
  // over which they are counted.
  double m_loadFactor = 1.0;
  Millis m_loadWindow = Millis(5'000);
};

class GroupControl
{
public:
  GroupControl() = default;
  GroupControl(NodeId aSelf, uint64_t aIncarnation, ControlBounds aBounds);

  // Starts to manage groups: the node has acquired the lease, with a fencing
  // token higher than all earlier ones. Discards all state of an earlier lease.
  void Begin(Millis aNow, FencingToken aToken);
  // Stops managing groups after the lease was lost: no more orders are sent.
  void End();
  bool IsActive() const { return m_isActive; }
  // Returns the groups that were opened recently.
  std::vector<ReplicaGroup> OpenedGroups() const;
  // Returns the groups that are being ended. They must get no new requests.
  std::vector<GroupId> EndedGroups() const;
  // Returns what is known of the allocation between models.
  CapacityStatus Capacity() const;

  // Advances to aNow and returns the orders, probes and log events that are
  // due. Returns nothing while the node does not hold the lease.
  ControlEffects Tick(Millis aNow, const ControlView& aView);
  // Processes the outcome of an order. Returns false if it shows that a newer
  // lease holder exists.
  bool OnOrderAnswered(Millis aNow, const OrderAnswered& aAnswered);
  // Processes the outcome of a probe; aRecord is null if the probe failed, and
  // aIsGone tells whether the failure showed that the server has ended.
  void OnProbed(Millis aNow,
                const HostId& aHost,
                const ServerRecord* aRecord,
                bool aIsGone);

private:
  // A group that is being formed.
  struct FormingGroup
  {
    ReplicaGroup m_group;
    // When the members are expected to be ready.
    Millis m_readyAt;
    // An earlier lease holder has formed the group.
    bool m_isInherited = false;
    Millis m_since;
    // When each member was last ordered to join, the members that accepted the
    // order, and those that reported that they are ready.
    std::map<HostId, Millis> m_orderedAt;
    std::set<HostId> m_joined;
    std::set<HostId> m_ready;
    // Members that have to load the weights.
    uint32_t m_loads = 0;
    Millis m_probedAt;
    Millis m_openOrderedAt;
    bool m_isOpened = false;
    Millis m_openedAt;
    Millis m_openProbedAt;
  };
  // A group that is being ended.
  struct EndingGroup
  {
    ReplicaGroup m_group;
    // Running requests are finished first.
    bool m_isGraceful = false;
    // Its hosts are to serve another model.
    bool m_isMove = false;
    Millis m_since;
    Millis m_orderedAt;
    // The leader has left the group or stopped running.
    bool m_isEnded = false;
    // Members that have left the group. Members other than the leader are
    // ordered to leave only while the leader does not answer.
    std::set<HostId> m_left;
    // Members that answered the order to leave with a conflict. A probe shows
    // whether they had already left or are busy with another order.
    std::set<HostId> m_toProbe;
    // Those of them whose probe has been sent.
    std::set<HostId> m_probed;
  };
  // A host that may be down and is being probed, or has not answered probes.
  struct SuspectedHost
  {
    Millis m_probedAt;
    // Consecutive probes without an answer.
    uint32_t m_failures = 0;
    bool m_isDead = false;
    Millis m_deadAt;
    // Start time of the server process that was found dead.
    int64_t m_startedAt = 0;
  };

  bool SurveyServers();
  void RecordInheritedLoads();
  void ConfigureLoadBudget(const EngineSpec& aEngine);
  bool MayHaveUnknownMember(const ReplicaGroup& aGroup);
  void ExpireOpenedGroups();
  void EndBrokenGroups();
  bool ShouldEndDrainingGroup(const ReplicaGroup& aGroup) const;
  void EndGroup(const ReplicaGroup& aGroup,
                const char* aReason,
                bool aIsGraceful = false);
  void LogEnding(const ReplicaGroup& aGroup, const char* aReason);
  void FillMissingMembers(ReplicaGroup& aGroup) const;
  void OrderEnd(EndingGroup& aEnding);
  void OrderMembersToLeave(const EndingGroup& aEnding);
  static void MarkLeft(EndingGroup& aEnding, const HostId& aHost);
  void EndUnconfiguredGroups();
  void ProgressEndings();
  void ProbeSuspects();
  void ProgressForming();
  bool OrderJoins(FormingGroup& aForming);
  bool CheckReady(FormingGroup& aForming);
  bool HasLostMember(const ReplicaGroup& aGroup) const;
  bool HasRestartedMember(const ReplicaGroup& aGroup) const;
  bool IsProbeDue(const FormingGroup& aForming) const;
  void OrderOpen(FormingGroup& aForming);
  void AwaitInheritedGroups();
  void FormGroups();
  void FormInDomain(const ServiceSpec& aService,
                    const std::vector<const ServerRecord*>& aFree);
  void PrepareSpares(const GroupPlanInput& aInput);
  void StartForming(const ServiceSpec& aService,
                    ReplicaGroup aGroup,
                    uint32_t aLoads);

  void AllocateHosts();
  void UpdateCapacity(const ServiceSpec& aService);
  CapacityInput SurveyCapacity(const ServiceSpec& aService) const;
  void MoveGroups(const ServiceSpec& aService);
  std::vector<const ReplicaGroup*> ChooseSources(
    const ServiceId& aService,
    const DomainId& aDomain,
    const DomainChange& aChange) const;
  bool IsDisturbed(const DomainId& aDomain) const;
  uint32_t CountMoves() const;
  bool HoldsWeights(const HostId& aHost, const ModelId& aModel) const;
  GroupCounts CountServingGroups(const ServiceId& aService) const;
  GroupCounts CountReadyGroups(const ServiceId& aService) const;
  ShortageInput SurveyShortage(const ServiceSpec& aService,
                               const ModelId& aModel) const;
  void RepairShortage(const ServiceSpec& aService);
  void BeginShortageRepair(const ServiceSpec& aService,
                           const ModelId& aModel,
                           const ShortageRepair& aRepair);
  void ExpireShortageRepairs();
  void RecordMove(const DomainId& aDomain, const ModelId& aModel);
  void ProgressMoves();
  std::vector<HostId> MembersWithout(const ReplicaGroup& aGroup,
                                     const ModelId& aModel) const;
  bool StageModel(const HostId& aHost, const ReplicaModel& aModel);
  void StageBeforeTraffic(const ServiceSpec& aService);
  void MoveHosts(const ServiceSpec& aService,
                 const DomainId& aDomain,
                 const DomainChange& aChange,
                 const std::vector<const ReplicaGroup*>& aSources);

  void RequestReport(const HostId& aHost);
  void ForgetRemovedHosts();
  OrderBasis BasisOf(const ServerRecord& aServer) const;
  bool IsDead(const HostId& aHost) const;
  void UpdateAssignedHosts();
  bool IsInUnconfiguredGroup(const ServerRecord& aServer) const;
  bool IsInLivingGroup(const ServerRecord& aServer) const;
  bool IsAssigned(const ServerRecord& aServer) const;
  bool IsFree(const ServerRecord& aServer) const;
  FreeHost MakeFreeHost(const ServerRecord& aServer) const;
  bool HasSettled(const DomainId& aDomain,
                  const std::vector<const ServerRecord*>& aFree);
  bool IsZoneOut(const ReplicaGroup& aGroup) const;
  std::map<ModelId, uint32_t> CountGroups(const ServiceId& aService,
                                          const DomainId& aDomain) const;
  const EngineSpec* EngineOf(const ServiceId& aService) const;
  Generation NextGeneration();
  void Order(OrderKind aKind, const HostId& aHost, const ReplicaGroup& aGroup);
  void Log(const char* aEvent, std::vector<LogField> aFields);

  NodeId m_self;
  ControlBounds m_bounds;
  UniqueIds m_ids;
  bool m_isActive = false;
  FencingToken m_token;
  // Generations that were issued under the current token.
  uint64_t m_generationCount = 0;
  LoadBudget m_loadBudget;

  std::map<GroupId, FormingGroup> m_formingGroups;
  std::map<GroupId, EndingGroup> m_endingGroups;
  // A recently opened group, and when it was seen to serve.
  struct OpenedGroup
  {
    ReplicaGroup m_group;
    Millis m_since;
  };
  std::map<GroupId, OpenedGroup> m_openedGroups;
  std::map<HostId, SuspectedHost> m_suspectedHosts;
  // Servers that have given this holder a report or are gone, and since when
  // the others have been asked for one.
  std::set<HostId> m_heardHosts;
  std::map<HostId, Millis> m_unheardSince;
  // When the servers of groups without a configured model were last ordered to
  // leave.
  std::map<HostId, Millis> m_unconfiguredOrderedAt;
  // When servers were last asked for a report that a decision needs.
  std::map<HostId, Millis> m_reportsRequestedAt;
  // The model for which a spare was last ordered to stand by, and when.
  struct Standby
  {
    ModelId m_model;
    Millis m_orderedAt;
  };
  std::map<HostId, Standby> m_standbys;
  Millis m_leaseAcquiredAt;
  // A new lease holder first waits for the reports of these servers.
  bool m_isSurveying = false;
  std::set<HostId> m_pendingReports;
  // The number of servers that it asked, and of those that gave no report.
  size_t m_surveyedCount = 0;
  size_t m_failedReports = 0;
  // The free hosts of a domain, and since when they have not changed.
  struct FreeHosts
  {
    std::vector<HostId> m_hosts;
    Millis m_since;
    // When a spare was last ordered to load weights.
    Millis m_switchedAt = Millis(-1'000'000);
  };
  std::map<DomainId, FreeHosts> m_freeHosts;
  // The target layout of a service, when it was planned, and whether groups are
  // moved towards it.
  struct ServiceCapacity
  {
    CapacityInput m_input;
    CapacityPlan m_plan;
    std::vector<ModelId> m_models;
    GroupCounts m_serving;
    Millis m_plannedAt = Millis(-1'000'000);
    // Since when the target has been much better than the present layout.
    std::optional<Millis> m_unfitSince;
    bool m_isActive = false;
    // Whether free hosts form only groups of the target layout: the demand is
    // known, some model has less than twice its demand, and the operators have
    // stated no mix of models.
    bool m_isLayoutBinding = false;
    // The model whose groups, not counting those that load weights, are the
    // smallest part of its demand. Empty if all have enough.
    ModelId m_scarceModel;
    // The model that last gained groups by a move, and when.
    ModelId m_lastGainer;
    Millis m_lastMoveAt;
    // How long no group moves away from that model.
    Millis m_reversalTime;
  };
  std::map<ServiceId, ServiceCapacity> m_capacity;
  // A domain's free hosts are to form a group of this model without a load,
  // once the other groups that give hosts up have ended.
  struct DomainRepair
  {
    ServiceId m_service;
    ModelId m_model;
    std::vector<GroupId> m_sources;
    // Since when all sources have ended.
    Millis m_endedAt;
  };
  std::map<DomainId, DomainRepair> m_shortageRepairs;
  // A move whose groups have been ordered to end: the model that gains hosts,
  // and when a group of the domain was last seen to end or to form for it.
  struct PendingMove
  {
    ModelId m_to;
    Millis m_progressedAt;
  };
  std::map<DomainId, PendingMove> m_pendingMoves;
  // Counts since this node took the lease; the other fields stay empty.
  CapacityStatus m_capacityCounters;
  // Since when a model has had less than its demand.
  std::map<ModelId, Millis> m_scarceSince;
  // When a group was last lost or a zone taken out or in, and the zones that
  // are out.
  std::optional<Millis> m_capacityLostAt;
  std::optional<std::set<ZoneId>> m_knownZonesOut;
  // The model that a host was last ordered to stage, and when.
  struct StageOrder
  {
    ModelId m_model;
    Millis m_orderedAt;
    // The server has refused it because its report was outdated.
    bool m_isRefused = false;
  };
  std::map<HostId, StageOrder> m_stageOrders;
  uint32_t m_stageMessagesInTick = 0;

  // Valid while Tick() runs.
  Millis m_now;
  const ControlView* m_view = nullptr;
  // Hosts of groups that are being formed or have not ended yet.
  std::unordered_set<HostId> m_assignedHosts;
  ControlEffects m_effects;
};

} // namespace briarglade
