// The holder of the control lease: orders, probes and their ends. The groups
// are formed in group_forming.cc and ended in group_ending.cc.

#include "briarglade/grouping/group_control.h"

#include <algorithm>
#include <utility>

#include "briarglade/base/erase_if.h"

namespace briarglade {

namespace {

// A member of a suspect group is probed this often, and is dead after so many
// probes in a row without an answer.
constexpr Millis kProbePeriod = Millis(250);
constexpr uint32_t kDeadAfterProbes = 1;
// A host that was found dead is believed to be back once it says so; without a
// word it is tried again after this long.
constexpr Millis kDeadMemory = Millis(15'000);
// How long the other nodes are told of a group that was opened: longer than the
// store usually takes to show it.
constexpr Millis kAnnounceTime = Millis(12'000);
// How long a new holder waits for the servers' reports before it decides on
// groups: the store may hold an older word of theirs.
constexpr Millis kSurveyTime = Millis(400);
// Generations of one token.
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
  m_begunAt = aNow;
  m_formingGroups.clear();
  m_endingGroups.clear();
  m_openedGroups.clear();
  m_suspectedHosts.clear();
  m_standbys.clear();
  m_isSurveying = true;
  m_pendingReports.clear();
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
  order.m_fencing = m_token;
  m_effects.emplace_back(std::move(order));
}

bool GroupControl::IsDead(const HostId& aHost) const
{
  const auto doubt = m_suspectedHosts.find(aHost);
  return doubt != m_suspectedHosts.end() && doubt->second.m_isDead;
}

// Notes which hosts belong to groups that form or aren't ended yet. Once for
// all hosts: there are thousands of them, and hundreds of groups.
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

// Whether the host belongs to a group that serves, forms or isn't ended yet.
bool GroupControl::IsAssigned(const HostId& aHost) const
{
  if (m_assignedHosts.count(aHost) > 0) {
    return true;
  }
  const auto server = m_view->m_servers.find(aHost);
  if (server == m_view->m_servers.end() || !server->second.m_place) {
    return false;
  }
  const GroupId& group = server->second.m_place->m_group;
  const auto ending = m_endingGroups.find(group);
  const bool hasLeft =
    ending != m_endingGroups.end() &&
    (ending->second.m_isEnded || ending->second.m_left.count(aHost) > 0);
  return m_view->m_groups.count(group) > 0 && !hasLeft;
}

bool GroupControl::IsFree(const ServerRecord& aServer) const
{
  return !aServer.m_isDraining && !aServer.m_isUnlisted &&
         !aServer.m_domain.IsEmpty() &&
         m_view->m_zonesOut.count(aServer.m_zone) == 0 &&
         !IsDead(aServer.m_host) && !IsAssigned(aServer.m_host);
}

// Counts the groups that serve or are being formed, in one domain or in all.
std::map<ModelId, uint32_t> GroupControl::CountGroups(
  const ServiceId& aService,
  const DomainId& aDomain) const
{
  std::map<ModelId, uint32_t> counts;
  const auto isCounted = [&](const ReplicaGroup& aGroup) {
    return aGroup.m_service == aService &&
           (aDomain.IsEmpty() || aGroup.m_domain == aDomain);
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

// Asks every server where it stands before the first decision. Returns whether
// answers are still awaited.
bool GroupControl::SurveyServers()
{
  if (m_isSurveying && m_begunAt == m_now) {
    for (const auto& [host, server] : m_view->m_servers) {
      if (!server.m_domain.IsEmpty()) {
        m_pendingReports.insert(host);
        m_effects.emplace_back(ProbeHost{ host });
      }
    }
  }
  const bool wasSurveying = m_isSurveying;
  m_isSurveying = m_isSurveying && !m_pendingReports.empty() &&
                  m_now - m_begunAt < kSurveyTime;
  if (wasSurveying && !m_isSurveying) {
    RecordInheritedLoads();
  }
  return m_isSurveying;
}

// Counts the loads that an earlier holder may just have begun: a load takes
// longer than the window in which loads are counted, so each of them is still
// a join under way.
void GroupControl::RecordInheritedLoads()
{
  const auto isJoining = [](const auto& aEntry) {
    const std::optional<GroupPlace>& place = aEntry.second.m_place;
    return place && place->m_phase == GroupPhase::Joining;
  };
  const auto joining = std::count_if(
    m_view->m_servers.begin(), m_view->m_servers.end(), isJoining);
  m_loadBudget.RecordLoads(m_now, static_cast<uint32_t>(joining));
}

// Probes the members of groups that some node finds silent.
void GroupControl::ProbeSuspects()
{
  std::set<HostId> doubted;
  for (const GroupId& id : m_view->m_suspectedGroups) {
    const auto group = m_view->m_groups.find(id);
    if (group == m_view->m_groups.end() || m_endingGroups.count(id) > 0) {
      continue;
    }
    for (const HostId& member : group->second.m_members) {
      if (!member.IsEmpty()) {
        doubted.insert(member);
      }
    }
  }
  for (const auto& [host, server] : m_view->m_servers) {
    if (server.m_isUnlisted) {
      doubted.insert(host);
    }
  }
  for (const HostId& host : doubted) {
    SuspectedHost& doubt = m_suspectedHosts[host];
    if (!doubt.m_isDead && m_now - doubt.m_probedAt >= kProbePeriod) {
      doubt.m_probedAt = m_now;
      const auto server = m_view->m_servers.find(host);
      doubt.m_startedAt = server == m_view->m_servers.end()
                            ? doubt.m_startedAt
                            : server->second.m_startedAt;
      m_effects.emplace_back(ProbeHost{ host });
    }
  }
  for (auto entry = m_suspectedHosts.begin();
       entry != m_suspectedHosts.end();) {
    const SuspectedHost& doubt = entry->second;
    const auto server = m_view->m_servers.find(entry->first);
    const bool isReborn = server != m_view->m_servers.end() && doubt.m_isDead &&
                          server->second.m_startedAt != doubt.m_startedAt;
    const bool isOver = doubt.m_isDead
                          ? isReborn || m_now - doubt.m_deadAt > kDeadMemory
                          : doubted.count(entry->first) == 0;
    entry = isOver ? m_suspectedHosts.erase(entry) : std::next(entry);
  }
}

void GroupControl::OnProbed(Millis aNow,
                            const HostId& aHost,
                            const ServerRecord* aRecord)
{
  const auto found = m_suspectedHosts.find(aHost);
  if (found != m_suspectedHosts.end()) {
    SuspectedHost& doubt = found->second;
    doubt.m_failures = aRecord == nullptr ? doubt.m_failures + 1 : 0;
    if (aRecord != nullptr) {
      doubt.m_isDead = false;
    } else if (doubt.m_failures >= kDeadAfterProbes && !doubt.m_isDead) {
      doubt.m_isDead = true;
      doubt.m_deadAt = aNow;
    }
  }
  m_pendingReports.erase(aHost);
  if (aRecord == nullptr) {
    return;
  }
  for (auto& [id, ending] : m_endingGroups) {
    const bool isThere = aRecord->m_place && aRecord->m_place->m_group == id;
    if (ending.m_probed.erase(aHost) > 0 && !isThere) {
      MarkLeft(ending, aHost);
    }
  }
  if (!aRecord->m_place) {
    return;
  }
  const auto forming = m_formingGroups.find(aRecord->m_place->m_group);
  if (forming != m_formingGroups.end() &&
      aRecord->m_place->m_generation == forming->second.m_group.m_generation &&
      aRecord->m_place->m_phase == GroupPhase::Ready) {
    forming->second.m_ready.insert(aHost);
  }
}

bool GroupControl::OnOrderAnswered(Millis aNow, const OrderAnswered& aAnswered)
{
  const GroupOrder& order = aAnswered.m_order;
  const bool isTaken = aAnswered.m_status == OrderStatus::Accepted ||
                       aAnswered.m_status == OrderStatus::Done;
  const auto forming = m_formingGroups.find(order.m_group);
  const auto ending = m_endingGroups.find(order.m_group);
  if (order.m_kind == OrderKind::Join && isTaken &&
      forming != m_formingGroups.end()) {
    forming->second.m_joined.insert(order.m_host);
  }
  if (order.m_kind == OrderKind::Open && isTaken &&
      forming != m_formingGroups.end()) {
    forming->second.m_isOpened = true;
    forming->second.m_openedAt = aNow;
  }
  if (order.m_kind == OrderKind::Leave && ending != m_endingGroups.end()) {
    // Another server at the address shows that the member's run has ended.
    if (isTaken || aAnswered.m_status == OrderStatus::WrongServer) {
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
    UpdateAssignedHosts();
    ProbeSuspects();
    AwaitInheritedGroups();
    EndBrokenGroups();
    ProgressEndings();
    ProgressForming();
    UpdateAssignedHosts();
    FormGroups();
  }
  m_view = nullptr;
  return std::move(m_effects);
}

} // namespace briarglade
