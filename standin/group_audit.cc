// The rules on groups, checked.

#include "standin/group_audit.h"

#include <algorithm>

#include "standin/platform_member.h"

namespace briarglade::standin {

void GroupAudit::Add(const PlatformMember& aMember)
{
  m_up[aMember.Id()] = &aMember;
}

void GroupAudit::Remove(const std::string& aId)
{
  m_up.erase(aId);
}

GroupAudit::Readiness GroupAudit::ReadinessOf(const PlatformMember& aLeader,
                                              const std::string& aId)
{
  return { aId, aLeader.Group(), aLeader.Generation() };
}

void GroupAudit::BeforeJoin(const PlatformMember& aMember,
                            const std::string& aGroup)
{
  if (!aMember.IsInGroup() || aMember.Group() == aGroup) {
    return;
  }
  const auto leader = m_up.find(aMember.Members().front());
  if (leader == m_up.end()) {
    return;
  }
  const PlatformMember& head = *leader->second;
  const bool isSame = head.Group() == aMember.Group() &&
                      head.Generation() == aMember.Generation();
  const bool serves =
    head.Phase() == GroupPhase::Open || head.Phase() == GroupPhase::Closing;
  if (isSame && serves) {
    m_violations.push_back(aMember.Id() + " joins " + aGroup +
                           " while its group " + aMember.Group() + " serves");
  }
}

void GroupAudit::NoteReady(const PlatformMember& aMember)
{
  m_wasReady.insert(ReadinessOf(aMember, aMember.Id()));
}

void GroupAudit::BeforeRun(const PlatformMember& aMember)
{
  const PlatformModel* model = aMember.Model();
  const auto wasReady = [&](const std::string& aId) {
    return m_wasReady.count(ReadinessOf(aMember, aId)) > 0;
  };
  const bool isComplete =
    model != nullptr && aMember.Members().size() == model->m_size &&
    std::all_of(aMember.Members().begin(), aMember.Members().end(), wasReady);
  if (!isComplete) {
    m_violations.push_back("a request runs in incomplete " + aMember.Group());
  }
}

bool GroupAudit::IsWhole(const PlatformMember& aMember) const
{
  const auto isIn = [&](const std::string& aId) {
    const auto found = m_up.find(aId);
    return found != m_up.end() && found->second->Group() == aMember.Group() &&
           found->second->Generation() == aMember.Generation();
  };
  return std::all_of(aMember.Members().begin(), aMember.Members().end(), isIn);
}

} // namespace briarglade::standin
