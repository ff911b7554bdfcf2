// What the holder of the control lease does: forms groups, opens them once
// every member is ready, and ends those that have lost a member, so that their
// hosts can form others.
//
// Three rules keep every host in one group, whatever answers are lost and
// whatever orders are carried out late:
//  - each new group has a higher generation than any before it; a server
//    refuses to join a lower one;
//  - a group is opened only after every member itself has said that it is ready
//    under that name and generation;
//  - a host of a group joins another one only after the group's leader has left
//    it, or has ended, or the host itself has left it.
//
// Example:
//   GroupControl control(bounds);
//   control.Begin(now, token, groups);
//   for (ControlEffect& effect : control.Tick(now, view)) { ... }

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <variant>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/log_event.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/unique_ids.h"
#include "briarglade/grouping/group_order.h"
#include "briarglade/grouping/group_plan.h"
#include "briarglade/grouping/group_view.h"
#include "briarglade/grouping/load_budget.h"

namespace briarglade {

// Ask a server for its report.
struct ProbeHost
{
  HostId m_host;
};

using ControlEffect = std::variant<GroupOrder, ProbeHost, LogEvent>;
using ControlEffects = std::vector<ControlEffect>;

// What the holder sees.
struct ControlView
{
  const ServerMap& m_servers;
  const GroupMap& m_groups;
  const GatewayConfig& m_config;
  // Zones that the operators have taken out.
  const std::set<ZoneId>& m_zonesOut;
  // Groups that some node finds silent.
  const std::set<GroupId>& m_suspectedGroups;
  // Callers have begun to send requests.
  bool m_hasTraffic = false;
  // The requests that each model has in flight or waiting.
  std::map<ModelId, double> m_demand = {};
};

struct ControlBounds
{
  // Loads that may begin, in parts of the stated rate, and the window in which
  // they are counted.
  double m_loadFactor = 1.0;
  Millis m_loadWindow = Millis(5'000);
};

class GroupControl
{
public:
  GroupControl() = default;
  GroupControl(NodeId aSelf, uint64_t aIncarnation, ControlBounds aBounds);

  // The lease was taken, under a token that is higher than any before.
  void Begin(Millis aNow, FencingToken aToken);
  // The lease was lost: nothing more is ordered.
  void End();
  bool IsActive() const { return m_isActive; }
  // Returns the groups that were opened lately.
  std::vector<ReplicaGroup> OpenedGroups() const;
  // Returns the groups that are being ended: they must get nothing new.
  std::vector<GroupId> EndedGroups() const;

  // Lets time pass.
  ControlEffects Tick(Millis aNow, const ControlView& aView);
  // An order has ended. Returns false if it shows a newer holder.
  bool OnOrderAnswered(Millis aNow, const OrderAnswered& aAnswered);
  // A probe has ended; no record: it failed.
  void OnProbed(Millis aNow, const HostId& aHost, const ServerRecord* aRecord);

private:
  // A group that is being formed.
  struct FormingGroup
  {
    ReplicaGroup m_group;
    // When its members should be ready.
    Millis m_readyAt;
    // An earlier holder of the lease has formed it.
    bool m_isInherited = false;
    Millis m_since;
    // When each member was last ordered to join, and whether it has agreed.
    std::map<HostId, Millis> m_orderedAt;
    std::set<HostId> m_joined;
    std::set<HostId> m_ready;
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
    // What runs there is finished first.
    bool m_isGraceful = false;
    Millis m_since;
    Millis m_orderedAt;
    // The leader has left or has ended.
    bool m_isEnded = false;
    // Other members that have left, where the leader doesn't answer.
    std::set<HostId> m_left;
    // Members that could not take the order: their reports say whether they
    // have left before, or are busy with an order.
    std::set<HostId> m_toProbe;
    std::set<HostId> m_probed;
  };
  // A host that is being probed, or doesn't answer.
  struct SuspectedHost
  {
    Millis m_probedAt;
    uint32_t m_failures = 0;
    bool m_isDead = false;
    Millis m_deadAt;
    // The run of the server that was found dead.
    int64_t m_startedAt = 0;
  };

  bool SurveyServers();
  void RecordInheritedLoads();
  void ExpireOpenedGroups();
  void EndBrokenGroups();
  bool ShouldEndDrainingGroup(const ReplicaGroup& aGroup) const;
  void EndGroup(const ReplicaGroup& aGroup,
                const char* aReason,
                bool aIsGentle = false);
  void FillMissingMembers(ReplicaGroup& aGroup) const;
  void OrderEnd(EndingGroup& aEnding);
  void OrderMembersToLeave(const EndingGroup& aEnding);
  static void MarkLeft(EndingGroup& aEnding, const HostId& aHost);
  void ProgressEndings();
  void ProbeSuspects();
  void ProgressForming();
  void OrderJoins(FormingGroup& aForming);
  bool CheckReady(FormingGroup& aForming);
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

  bool IsDead(const HostId& aHost) const;
  void UpdateAssignedHosts();
  bool IsAssigned(const HostId& aHost) const;
  bool IsFree(const ServerRecord& aServer) const;
  FreeHost MakeFreeHost(const ServerRecord& aServer) const;
  bool HasSettled(const DomainId& aDomain,
                  const std::vector<const ServerRecord*>& aFree);
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
  uint64_t m_generationCount = 0;
  LoadBudget m_loadBudget;

  std::map<GroupId, FormingGroup> m_formingGroups;
  std::map<GroupId, EndingGroup> m_endingGroups;
  // A group that was opened, and since when it serves.
  struct OpenedGroup
  {
    ReplicaGroup m_group;
    Millis m_since;
  };
  std::map<GroupId, OpenedGroup> m_openedGroups;
  std::map<HostId, SuspectedHost> m_suspectedHosts;
  // Spares that were ordered to stand by for a model, and when.
  struct Standby
  {
    ModelId m_model;
    Millis m_orderedAt;
  };
  std::map<HostId, Standby> m_standbys;
  Millis m_begunAt;
  // Servers whose reports a new holder waits for.
  bool m_isSurveying = false;
  std::set<HostId> m_pendingReports;
  // The free hosts of each domain, and since when they are the same.
  struct FreeHosts
  {
    std::vector<HostId> m_hosts;
    Millis m_since;
    // When a spare was last ordered to load other weights.
    Millis m_switchedAt = Millis(-1'000'000);
  };
  std::map<DomainId, FreeHosts> m_freeHosts;

  // Set while Tick() runs.
  Millis m_now;
  const ControlView* m_view = nullptr;
  std::unordered_set<HostId> m_assignedHosts;
  ControlEffects m_effects;
};

} // namespace briarglade
