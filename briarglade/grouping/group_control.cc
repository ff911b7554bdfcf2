// Orders, probes and their outcomes. Groups are formed in group_forming.cc and
// ended in group_ending.cc.

#include "briarglade/grouping/group_control.h"

#include <algorithm>
#include <utility>

#include "briarglade/base/erase_if.h"

namespace briarglade {

namespace {

// Interval at which a member of a suspected group is probed, and the number of
// consecutive unanswered probes after which it is considered dead.
constexpr Millis kProbePeriod = Millis(250);
constexpr uint32_t kDeadAfterProbes = 1;
// A server that owes a report which a decision needs is asked again after this
// long.
constexpr Millis kReportRetryTime = Millis(100);
// A dead host counts as alive again once its server reports a restart, or else
// after this time, when it is tried again.
constexpr Millis kDeadHostTimeout = Millis(15'000);
// How long an opened group is announced to the other nodes: longer than the
// store usually takes to show it.
constexpr Millis kAnnounceTime = Millis(12'000);
// Longest time that a new lease holder waits for the servers' reports before it
// makes decisions, because the reports in the store may be outdated.
constexpr Millis kSurveyTime = Millis(400);
// Number of generations reserved for each fencing token.
constexpr uint64_t kGenerationsPerToken = 4'096;

} // namespace

GroupControl::GroupControl(NodeId aSelf,
                           uint64_t aIncarnation,
                           ControlBounds aBounds)
  : m_self(std::move(aSelf))
  , m_bounds(aBounds)
  , m_ids(NodeId(m_self.Value() + ".order"), aIncarnation)
{
}

void GroupControl::Begin(Millis aNow, FencingToken aToken)
{
  m_isActive = true;
  m_token = aToken;
  m_generationCount = 0;
  m_leaseAcquiredAt = aNow;
  m_formingGroups.clear();
  m_endingGroups.clear();
  m_openedGroups.clear();
  m_suspectedHosts.clear();
  m_standbys.clear();
  m_capacity.clear();
  m_shortageRepairs.clear();
  m_pendingMoves.clear();
  m_scarceSince.clear();
  m_capacityLostAt.reset();
  m_knownZonesOut.reset();
  m_stageOrders.clear();
  m_reportsRequestedAt.clear();
  m_heardHosts.clear();
  m_unheardSince.clear();
  m_unconfiguredOrderedAt.clear();
  m_isSurveying = true;
  m_pendingReports.clear();
  m_surveyedCount = 0;
  m_failedReports = 0;
}

std::vector<ReplicaGroup> GroupControl::OpenedGroups() const
{
  std::vector<ReplicaGroup> opened;
  for (const auto& [id, entry] : m_openedGroups) {
    opened.push_back(entry.m_group);
  }
  return opened;
}

void GroupControl::ExpireOpenedGroups()
{
  EraseIf(m_openedGroups, [&](const auto& aEntry) {
    return m_now - aEntry.second.m_since > kAnnounceTime;
  });
}

std::vector<GroupId> GroupControl::EndedGroups() const
{
  std::vector<GroupId> ended;
  for (const auto& [id, ending] : m_endingGroups) {
    ended.push_back(id);
  }
  return ended;
}

void GroupControl::End()
{
  m_isActive = false;
}

Generation GroupControl::NextGeneration()
{
  return Generation(m_token.Value() * kGenerationsPerToken +
                    ++m_generationCount);
}

void GroupControl::Log(const char* aEvent, std::vector<LogField> aFields)
{
  m_effects.emplace_back(
    LogEvent{ LogLevel::Info, aEvent, std::move(aFields) });
}

const EngineSpec* GroupControl::EngineOf(const ServiceId& aService) const
{
  const auto found = m_view->m_config.m_services.find(aService);
  const bool hasEngine = found != m_view->m_config.m_services.end() &&
                         found->second.m_engine.has_value();
  return hasEngine ? &*found->second.m_engine : nullptr;
}

void GroupControl::Order(OrderKind aKind,
                         const HostId& aHost,
                         const ReplicaGroup& aGroup)
{
  const auto server = m_view->m_servers.find(aHost);
  if (server == m_view->m_servers.end()) {
    return;
  }
  GroupOrder order;
  order.m_operation = OperationId(m_ids.Next());
  order.m_kind = aKind;
  order.m_host = aHost;
  order.m_endpoint = server->second.m_endpoint;
  order.m_group = aGroup.m_id;
  order.m_generation = aGroup.m_generation;
  order.m_model = aGroup.m_model;
  if (aKind == OrderKind::Join) {
    order.m_members = aGroup.m_members;
  }
  if (aKind == OrderKind::Join || aKind == OrderKind::Stage) {
    order.m_expectedOrders = server->second.m_membershipHistory.OrderCount();
  }
  order.m_fencing = m_token;
  order.m_basis = BasisOf(server->second);
  m_effects.emplace_back(std::move(order));
}

// Asks a server for a report, unless that was done a moment ago.
void GroupControl::RequestReport(const HostId& aHost)
{
  const auto [entry, isNew] = m_reportsRequestedAt.try_emplace(aHost, m_now);
  if (isNew || m_now - entry->second >= kReportRetryTime) {
    entry->second = m_now;
    m_effects.emplace_back(ProbeHost{ aHost });
  }
}

// Drops what is kept of servers that are no longer listed, once there are any.
void GroupControl::ForgetRemovedHosts()
{
  const size_t listed = m_view->m_servers.size();
  if (m_heardHosts.size() <= listed && m_reportsRequestedAt.size() <= listed &&
      m_unheardSince.size() <= listed &&
      m_unconfiguredOrderedAt.size() <= listed &&
      m_stageOrders.size() <= listed) {
    return;
  }
  const auto isRemoved = [this](const auto& aEntry) {
    return m_view->m_servers.count(aEntry.first) == 0;
  };
  EraseIf(m_reportsRequestedAt, isRemoved);
  EraseIf(m_unheardSince, isRemoved);
  EraseIf(m_unconfiguredOrderedAt, isRemoved);
  EraseIf(m_stageOrders, isRemoved);
  EraseIf(m_heardHosts, [this](const HostId& aHost) {
    return m_view->m_servers.count(aHost) == 0;
  });
}

OrderBasis GroupControl::BasisOf(const ServerRecord& aServer) const
{
  OrderBasis basis;
  basis.m_decidedAt = m_now;
  if (aServer.m_groupMembership) {
    basis.m_group = aServer.m_groupMembership->m_group;
  }
  basis.m_source = aServer.m_membershipHistory.Source();
  basis.m_knownAsOf = aServer.m_membershipHistory.AsOf();
  return basis;
}

// Returns whether the server does not answer, or its process has ended.
bool GroupControl::IsDead(const HostId& aHost) const
{
  const auto server = m_view->m_servers.find(aHost);
  if (server != m_view->m_servers.end() && server->second.m_endedAt) {
    return true;
  }
  const auto suspect = m_suspectedHosts.find(aHost);
  return suspect != m_suspectedHosts.end() && suspect->second.m_isDead;
}

// Collects the hosts of groups that are being formed or have not ended yet. It
// does so once for all hosts, as there are thousands of hosts and hundreds of
// groups.
void GroupControl::UpdateAssignedHosts()
{
  m_assignedHosts.clear();
  for (const auto& [id, forming] : m_formingGroups) {
    m_assignedHosts.insert(forming.m_group.m_members.begin(),
                           forming.m_group.m_members.end());
  }
  for (const auto& [id, ending] : m_endingGroups) {
    for (const HostId& member : ending.m_group.m_members) {
      if (!ending.m_isEnded && ending.m_left.count(member) == 0) {
        m_assignedHosts.insert(member);
      }
    }
  }
}

// Returns whether the server is in a group, not a standby one, of a model that
// is not in the configuration. The group may still be open.
bool GroupControl::IsInUnconfiguredGroup(const ServerRecord& aServer) const
{
  return aServer.m_groupMembership &&
         aServer.m_groupMembership->m_phase != GroupPhase::Broken &&
         !IsStandby(aServer.m_groupMembership->m_group) &&
         m_view->m_groups.count(aServer.m_groupMembership->m_group) == 0;
}

// Returns whether the server is in a group that may serve: one that has not
// ended, and that the server has not left.
bool GroupControl::IsInLivingGroup(const ServerRecord& aServer) const
{
  if (!aServer.m_groupMembership) {
    return false;
  }
  const GroupId& group = aServer.m_groupMembership->m_group;
  const auto ending = m_endingGroups.find(group);
  const bool hasLeft = ending != m_endingGroups.end() &&
                       (ending->second.m_isEnded ||
                        ending->second.m_left.count(aServer.m_host) > 0);
  const bool isKnown = m_view->m_groups.count(group) > 0;
  return !hasLeft && (isKnown || IsInUnconfiguredGroup(aServer));
}

// Returns whether the server is in a group that may serve, or belongs to one
// that is being formed or has not ended yet.
bool GroupControl::IsAssigned(const ServerRecord& aServer) const
{
  return m_assignedHosts.count(aServer.m_host) > 0 || IsInLivingGroup(aServer);
}

bool GroupControl::IsFree(const ServerRecord& aServer) const
{
  return !aServer.m_isDraining && !aServer.m_hasEntryExpired &&
         !aServer.m_domain.IsEmpty() &&
         m_view->m_zonesOut.count(aServer.m_zone) == 0 &&
         !IsDead(aServer.m_host) && !IsAssigned(aServer);
}

// Returns whether the group's zone has been taken out by the operators. Callers
// are not sent to such a group, so it gives no capacity.
bool GroupControl::IsZoneOut(const ReplicaGroup& aGroup) const
{
  const auto leader = m_view->m_servers.find(aGroup.Leader());
  return leader != m_view->m_servers.end() &&
         m_view->m_zonesOut.count(leader->second.m_zone) > 0;
}

// Counts the groups of each model that serve or are being formed, in one domain
// or, if aDomain is empty, in all. Zones that are out are left out.
std::map<ModelId, uint32_t> GroupControl::CountGroups(
  const ServiceId& aService,
  const DomainId& aDomain) const
{
  std::map<ModelId, uint32_t> counts;
  const auto isCounted = [&](const ReplicaGroup& aGroup) {
    return aGroup.m_service == aService &&
           (aDomain.IsEmpty() || aGroup.m_domain == aDomain) &&
           !IsZoneOut(aGroup);
  };
  for (const auto& [id, group] : m_view->m_groups) {
    const bool serves = IsServing(group) && m_endingGroups.count(id) == 0 &&
                        m_formingGroups.count(id) == 0;
    counts[group.m_model] += serves && isCounted(group) ? 1 : 0;
  }
  for (const auto& [id, forming] : m_formingGroups) {
    counts[forming.m_group.m_model] += isCounted(forming.m_group) ? 1 : 0;
  }
  return counts;
}

// Queries the state of every server before the first decision. Returns whether
// reports are still pending.
bool GroupControl::SurveyServers()
{
  if (m_isSurveying && m_leaseAcquiredAt == m_now) {
    for (const auto& [host, server] : m_view->m_servers) {
      if (!server.m_domain.IsEmpty()) {
        m_pendingReports.insert(host);
        ++m_surveyedCount;
        m_effects.emplace_back(ProbeHost{ host });
      }
    }
  }
  const bool wasSurveying = m_isSurveying;
  m_isSurveying = m_isSurveying && !m_pendingReports.empty() &&
                  m_now - m_leaseAcquiredAt < kSurveyTime;
  if (wasSurveying && !m_isSurveying) {
    Log("survey-ended",
        { { "token", std::to_string(m_token.Value()) },
          { "asked", std::to_string(m_surveyedCount) },
          { "unanswered", std::to_string(m_pendingReports.size()) },
          { "failed", std::to_string(m_failedReports) },
          { "took-ms", std::to_string((m_now - m_leaseAcquiredAt).Count()) } });
    RecordInheritedLoads();
  }
  return m_isSurveying;
}

// Records the loads that an earlier lease holder may recently have started. A
// load takes longer than the window over which loads are counted, so each such
// load shows as a member that is still joining.
void GroupControl::RecordInheritedLoads()
{
  const auto isJoining = [](const auto& aEntry) {
    const std::optional<GroupMembership>& membership =
      aEntry.second.m_groupMembership;
    return membership && membership->m_phase == GroupPhase::Joining;
  };
  const auto joining = std::count_if(
    m_view->m_servers.begin(), m_view->m_servers.end(), isJoining);
  m_loadBudget.RecordLoads(m_now, static_cast<uint32_t>(joining));
  // Servers do not report what they are staging, so the earlier holder may have
  // used all loads that staging may use.
  for (const auto& [id, service] : m_view->m_config.m_services) {
    if (m_view->m_hasTraffic && service.m_engine &&
        service.m_engine->m_models.size() > 1) {
      ConfigureLoadBudget(*service.m_engine);
      m_loadBudget.RecordLoads(m_now, m_loadBudget.StagingLoads());
    }
  }
}

// Probes the members of groups that were reported as unresponsive, and servers
// whose entry in the store has expired. Removes suspected hosts that need no
// more attention.
void GroupControl::ProbeSuspects()
{
  std::set<HostId> suspected;
  for (const GroupId& id : m_view->m_suspectedGroups) {
    const auto group = m_view->m_groups.find(id);
    if (group == m_view->m_groups.end() || m_endingGroups.count(id) > 0) {
      continue;
    }
    for (const HostId& member : group->second.m_members) {
      if (!member.IsEmpty()) {
        suspected.insert(member);
      }
    }
  }
  for (const auto& [host, server] : m_view->m_servers) {
    if (server.m_hasEntryExpired && !server.m_endedAt) {
      suspected.insert(host);
    }
  }
  for (const HostId& host : suspected) {
    SuspectedHost& suspect = m_suspectedHosts[host];
    if (!suspect.m_isDead && m_now - suspect.m_probedAt >= kProbePeriod) {
      suspect.m_probedAt = m_now;
      const auto server = m_view->m_servers.find(host);
      suspect.m_startedAt = server == m_view->m_servers.end()
                              ? suspect.m_startedAt
                              : server->second.m_startedAt;
      m_effects.emplace_back(ProbeHost{ host });
    }
  }
  for (auto entry = m_suspectedHosts.begin();
       entry != m_suspectedHosts.end();) {
    const SuspectedHost& suspect = entry->second;
    const auto server = m_view->m_servers.find(entry->first);
    const bool hasRestarted = server != m_view->m_servers.end() &&
                              suspect.m_isDead &&
                              server->second.m_startedAt != suspect.m_startedAt;
    const bool isOver =
      suspect.m_isDead
        ? hasRestarted || m_now - suspect.m_deadAt > kDeadHostTimeout
        : suspected.count(entry->first) == 0;
    entry = isOver ? m_suspectedHosts.erase(entry) : std::next(entry);
  }
}

void GroupControl::OnProbed(Millis aNow,
                            const HostId& aHost,
                            const ServerRecord* aRecord,
                            bool aIsGone)
{
  if (aRecord != nullptr || aIsGone) {
    m_heardHosts.insert(aHost);
    m_unheardSince.erase(aHost);
  }
  const auto found = m_suspectedHosts.find(aHost);
  if (found != m_suspectedHosts.end()) {
    SuspectedHost& suspect = found->second;
    suspect.m_failures = aRecord == nullptr ? suspect.m_failures + 1 : 0;
    if (aRecord != nullptr) {
      suspect.m_isDead = false;
    } else if (suspect.m_failures >= kDeadAfterProbes && !suspect.m_isDead) {
      suspect.m_isDead = true;
      suspect.m_deadAt = aNow;
    }
  }
  const bool isSurveyed = m_pendingReports.erase(aHost) > 0;
  if (aRecord == nullptr) {
    m_failedReports += isSurveyed ? 1 : 0;
    return;
  }
  for (auto& [id, ending] : m_endingGroups) {
    const bool isMember =
      aRecord->m_groupMembership && aRecord->m_groupMembership->m_group == id;
    if (ending.m_probed.erase(aHost) > 0 && !isMember) {
      MarkLeft(ending, aHost);
    }
  }
  if (!aRecord->m_groupMembership) {
    return;
  }
  const auto forming =
    m_formingGroups.find(aRecord->m_groupMembership->m_group);
  if (forming != m_formingGroups.end() &&
      aRecord->m_groupMembership->m_generation ==
        forming->second.m_group.m_generation &&
      aRecord->m_groupMembership->m_phase == GroupPhase::Ready) {
    forming->second.m_ready.insert(aHost);
  }
}

bool GroupControl::OnOrderAnswered(Millis aNow, const OrderAnswered& aAnswered)
{
  const GroupOrder& order = aAnswered.m_order;
  const bool isAccepted = aAnswered.m_status == OrderStatus::Accepted ||
                          aAnswered.m_status == OrderStatus::Done;
  const auto forming = m_formingGroups.find(order.m_group);
  const auto ending = m_endingGroups.find(order.m_group);
  if (order.m_kind == OrderKind::Join && isAccepted &&
      forming != m_formingGroups.end()) {
    forming->second.m_joined.insert(order.m_host);
  }
  if (order.m_kind == OrderKind::Open && isAccepted &&
      forming != m_formingGroups.end()) {
    forming->second.m_isOpened = true;
    forming->second.m_openedAt = aNow;
  }
  const auto staging = m_stageOrders.find(order.m_host);
  if (order.m_kind == OrderKind::Stage && staging != m_stageOrders.end()) {
    staging->second.m_isRefused = aAnswered.m_status == OrderStatus::Conflict;
  }
  if (order.m_kind == OrderKind::Leave && ending != m_endingGroups.end()) {
    // A different server at the address shows that the member's process has
    // ended.
    if (isAccepted || aAnswered.m_status == OrderStatus::WrongServer) {
      MarkLeft(ending->second, order.m_host);
    } else if (aAnswered.m_status == OrderStatus::Conflict) {
      ending->second.m_toProbe.insert(order.m_host);
    }
  }
  return aAnswered.m_status != OrderStatus::Fenced ||
         order.m_fencing != m_token;
}

ControlEffects GroupControl::Tick(Millis aNow, const ControlView& aView)
{
  m_effects.clear();
  if (!m_isActive) {
    return {};
  }
  m_now = aNow;
  m_view = &aView;
  if (!SurveyServers()) {
    ExpireOpenedGroups();
    ForgetRemovedHosts();
    UpdateAssignedHosts();
    ProbeSuspects();
    AwaitInheritedGroups();
    EndBrokenGroups();
    EndUnconfiguredGroups();
    ProgressEndings();
    ProgressForming();
    ProgressMoves();
    UpdateAssignedHosts();
    AllocateHosts();
    UpdateAssignedHosts();
    FormGroups();
  }
  m_view = nullptr;
  return std::move(m_effects);
}

} // namespace briarglade
