// Ends groups that can no longer serve.

#include "briarglade/grouping/group_control.h"

#include <algorithm>
#include <utility>

#include "briarglade/grouping/internal/order_timing.h"

namespace briarglade {

using internal::kOrderRetryTime;

namespace {

// Time that a group with a draining member has to finish its running requests.
constexpr Millis kFinishTime = Millis(6'000);
// The same for a group whose hosts move to another model. All of its requests
// are to finish, so this only limits a leader that does not close.
constexpr Millis kMoveFinishTime = Millis(30'000);
// A server that has given a new holder no report for this long is not waited
// for any longer.
constexpr Millis kReportTimeout = Millis(2'000);

// Returns whether the leader's process has ended, or its own report shows that
// it no longer leads the group. A report of no group or of an older one may be
// outdated and shows nothing.
bool HasLeft(const ServerRecord& aLeader, const ReplicaGroup& aGroup)
{
  if (aLeader.m_endedAt) {
    return true;
  }
  if (!aLeader.m_groupMembership) {
    return false;
  }
  const GroupMembership& membership = *aLeader.m_groupMembership;
  const bool isCurrent = membership.m_group == aGroup.m_id &&
                         membership.m_generation == aGroup.m_generation;
  return isCurrent ? membership.m_phase == GroupPhase::Broken
                   : membership.m_generation > aGroup.m_generation;
}

} // namespace

void GroupControl::EndGroup(const ReplicaGroup& aGroup,
                            const char* aReason,
                            bool aIsGraceful)
{
  if (m_endingGroups.count(aGroup.m_id) > 0) {
    return;
  }
  m_formingGroups.erase(aGroup.m_id);
  m_openedGroups.erase(aGroup.m_id);
  EndingGroup ending;
  ending.m_group = aGroup;
  ending.m_isGraceful = aIsGraceful;
  ending.m_since = m_now;
  ending.m_orderedAt = m_now - kOrderRetryTime;
  m_endingGroups.emplace(aGroup.m_id, std::move(ending));
  LogEnding(aGroup, aReason);
}

// Logs the end of a group together with what is known of its leader.
void GroupControl::LogEnding(const ReplicaGroup& aGroup, const char* aReason)
{
  const auto leader = m_view->m_servers.find(aGroup.Leader());
  const bool isKnown = leader != m_view->m_servers.end();
  const OrderBasis basis = isKnown ? BasisOf(leader->second) : OrderBasis();
  Log("group-ending",
      { { "group", aGroup.m_id.Value() },
        { "reason", aReason },
        { "token", std::to_string(m_token.Value()) },
        { "leader", aGroup.Leader().Value() },
        { "leader-phase",
          isKnown ? GroupPhaseName(aGroup.m_leaderPhase) : "unknown" },
        { "known-from", isKnown ? UpdateSourceName(basis.m_source) : "none" },
        { "known-age-ms",
          isKnown ? std::to_string((m_now - basis.m_knownAsOf).Count())
                  : "none" },
        { "members", JoinIds(aGroup.m_members) } });
}

// Returns whether a group with a draining member should end now. A draining
// member stays for a while, and the group serves in that time. The group ends
// early if its leader is draining, or if enough free hosts that hold the
// weights can replace the draining members.
bool GroupControl::ShouldEndDrainingGroup(const ReplicaGroup& aGroup) const
{
  const auto isLeaving = [&](const HostId& aHost) {
    const auto server = m_view->m_servers.find(aHost);
    return server != m_view->m_servers.end() && server->second.m_isDraining;
  };
  if (isLeaving(aGroup.Leader())) {
    return true;
  }
  const auto isReady = [&](const auto& aEntry) {
    const ServerRecord& server = aEntry.second;
    return server.m_domain == aGroup.m_domain &&
           server.m_service == aGroup.m_service &&
           server.HasStaged(aGroup.m_model) && IsFree(server);
  };
  const auto leaving =
    std::count_if(aGroup.m_members.begin(), aGroup.m_members.end(), isLeaving);
  const auto ready =
    std::count_if(m_view->m_servers.begin(), m_view->m_servers.end(), isReady);
  return ready >= leaving;
}

// Returns whether a rank of the group that no server is known to hold may be
// held by a server that has given this holder no report yet. Asks these
// servers.
bool GroupControl::MayHaveUnknownMember(const ReplicaGroup& aGroup)
{
  const auto isEmpty = [](const HostId& aMember) { return aMember.IsEmpty(); };
  if (std::none_of(aGroup.m_members.begin(), aGroup.m_members.end(), isEmpty)) {
    return false;
  }
  bool isAwaited = false;
  for (const auto& [host, server] : m_view->m_servers) {
    const bool mayBeMember = server.m_domain == aGroup.m_domain &&
                             server.m_service == aGroup.m_service &&
                             m_heardHosts.count(host) == 0 && !IsDead(host);
    if (!mayBeMember) {
      continue;
    }
    const Millis since = m_unheardSince.try_emplace(host, m_now).first->second;
    if (m_now - since < kReportTimeout) {
      RequestReport(host);
      isAwaited = true;
    }
  }
  return isAwaited;
}

// Ends groups that have been abandoned or lost a member, and groups with a
// draining member that should be replaced now.
void GroupControl::EndBrokenGroups()
{
  for (const auto& [id, group] : m_view->m_groups) {
    if (m_formingGroups.count(id) > 0 || m_endingGroups.count(id) > 0 ||
        MayHaveUnknownMember(group)) {
      continue;
    }
    const auto isLost = [&](const HostId& aMember) {
      return aMember.IsEmpty() || IsDead(aMember);
    };
    const bool hasLost =
      std::any_of(group.m_members.begin(), group.m_members.end(), isLost);
    if (group.m_leaderPhase == GroupPhase::Broken) {
      m_capacityLostAt = m_now;
      EndGroup(group, "broken");
    } else if (hasLost) {
      m_capacityLostAt = m_now;
      EndGroup(group, "member-lost");
    } else if (group.m_isLeaving && ShouldEndDrainingGroup(group)) {
      EndGroup(group, "member-leaving", true);
    }
  }
}

// Orders the leader to leave. In a graceful end it is first ordered to close
// and has kFinishTime to finish its running requests.
void GroupControl::OrderEnd(EndingGroup& aEnding)
{
  aEnding.m_orderedAt = m_now;
  const auto seen = m_view->m_groups.find(aEnding.m_group.m_id);
  const bool isServing = seen != m_view->m_groups.end() &&
                         (seen->second.m_leaderPhase == GroupPhase::Open ||
                          seen->second.m_leaderPhase == GroupPhase::Closing);
  const bool isWithinTime = m_now - aEnding.m_since <
                            (aEnding.m_isMove ? kMoveFinishTime : kFinishTime);
  const bool shouldClose = aEnding.m_isGraceful && isServing && isWithinTime;
  Order(shouldClose ? OrderKind::Close : OrderKind::Leave,
        aEnding.m_group.Leader(),
        aEnding.m_group);
}

// Orders the members other than the leader to leave.
void GroupControl::OrderMembersToLeave(const EndingGroup& aEnding)
{
  for (const HostId& member : aEnding.m_group.m_members) {
    const bool isOther =
      !member.IsEmpty() && member != aEnding.m_group.Leader();
    if (isOther && !IsDead(member) && aEnding.m_left.count(member) == 0) {
      Order(OrderKind::Leave, member, aEnding.m_group);
    }
  }
}

// Fills in missing members that have reported again.
void GroupControl::FillMissingMembers(ReplicaGroup& aGroup) const
{
  const auto seen = m_view->m_groups.find(aGroup.m_id);
  if (seen == m_view->m_groups.end()) {
    return;
  }
  for (size_t rank = 0; rank < aGroup.m_members.size(); ++rank) {
    if (aGroup.m_members[rank].IsEmpty()) {
      aGroup.m_members[rank] = seen->second.m_members[rank];
    }
  }
}

// Records that a host has left. The group ends once its leader has left.
void GroupControl::MarkLeft(EndingGroup& aEnding, const HostId& aHost)
{
  aEnding.m_left.insert(aHost);
  aEnding.m_isEnded = aEnding.m_isEnded || aHost == aEnding.m_group.Leader();
}

// Orders the servers of groups whose model is no longer in the configuration to
// leave. They are free once they have left.
void GroupControl::EndUnconfiguredGroups()
{
  for (const auto& [host, server] : m_view->m_servers) {
    if (!IsInUnconfiguredGroup(server) || IsDead(host)) {
      m_unconfiguredOrderedAt.erase(host);
      continue;
    }
    const auto [ordered, isFirst] =
      m_unconfiguredOrderedAt.try_emplace(host, m_now);
    if (!isFirst && m_now - ordered->second < kOrderRetryTime) {
      continue;
    }
    ordered->second = m_now;
    if (isFirst) {
      Log("group-unconfigured",
          { { "group", server.m_groupMembership->m_group.Value() },
            { "server", host.Value() },
            { "token", std::to_string(m_token.Value()) } });
    }
    ReplicaGroup group;
    group.m_id = server.m_groupMembership->m_group;
    group.m_generation = server.m_groupMembership->m_generation;
    Order(OrderKind::Leave, host, group);
  }
}

// Retries orders and collects reports until the hosts of each ending group may
// be used again.
void GroupControl::ProgressEndings()
{
  for (auto entry = m_endingGroups.begin(); entry != m_endingGroups.end();) {
    EndingGroup& ending = entry->second;
    FillMissingMembers(ending.m_group);
    const ReplicaGroup& group = ending.m_group;
    const auto leader = m_view->m_servers.find(group.Leader());
    const bool isKnown = leader != m_view->m_servers.end();
    if (isKnown && HasLeft(leader->second, group)) {
      ending.m_isEnded = true;
    }
    for (const HostId& host : ending.m_toProbe) {
      ending.m_probed.insert(host);
      m_effects.emplace_back(ProbeHost{ host });
    }
    ending.m_toProbe.clear();
    const bool isReachable = isKnown && !IsDead(group.Leader());
    const bool isDue = m_now - ending.m_orderedAt >= kOrderRetryTime;
    if (!ending.m_isEnded && isDue && isReachable) {
      OrderEnd(ending);
    } else if (!ending.m_isEnded && isDue) {
      // The leader may still run but be unreachable from this node. Without its
      // members it makes no progress, so they may leave.
      ending.m_orderedAt = m_now;
      OrderMembersToLeave(ending);
    }
    const bool isOver = ending.m_isEnded || group.Leader().IsEmpty();
    const bool isRemoved = isOver && m_view->m_groups.count(group.m_id) == 0;
    if (isRemoved) {
      entry = m_endingGroups.erase(entry);
    } else {
      ++entry;
    }
  }
}

} // namespace briarglade
