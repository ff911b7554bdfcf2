// The planner of one fabric domain.

#include "briarglade/placement/domain_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace briarglade {

namespace {

// A host that is missing for less still counts towards what the domain can
// hold.
constexpr Millis kUsableSettleTime = Millis(60'000);

// What a group's members allow.
enum class Fitness
{
  // Every member is usable.
  Intact,
  // Every member is there, but one is slow or leaving.
  Impaired,
  // A member is missing, and waiting for it pays.
  Awaiting,
  // A member is missing; the group may be formed again.
  Broken
};

class Planner
{
public:
  explicit Planner(const DomainPlanInput& aInput);
  DomainPlan Run();

private:
  const PlannerHost* Find(const HostId& aHost) const;
  bool IsUsable(const HostId& aHost) const;
  Fitness Judge(const Group& aGroup, const ModelDemand* aDemand) const;
  bool Awaits(const Group& aGroup, const ModelDemand& aDemand) const;
  uint32_t UsableMembers(const Group& aGroup) const;
  bool IsDrained(const Group& aGroup) const;

  void Note(const Group& aGroup, const HostId& aHost, MoveReason aReason);
  void Change(Group& aGroup, GroupState aState, MoveReason aReason);
  void DrainZone();
  void DropUnwanted();
  void DropSurplus(const ModelDemand& aDemand);
  void ResumeDraining(const ModelDemand& aDemand);
  void DrainImpaired(const ModelDemand& aDemand);
  void Rebuild(const ModelDemand& aDemand);
  void FormNew(const ModelDemand& aDemand, uint32_t aCount);
  void Retire(Group& aGroup, MoveReason aReason);
  void Complete(Group& aGroup, const std::set<GroupId>& aSpared);
  void CountLoad(const HostId& aHost, const ModelId& aModel);
  uint32_t CountStanding(const ModelDemand& aDemand) const;
  void ResumeUnreplaced(const ModelDemand& aDemand);
  void ReleaseDrained();
  void RemoveEmpty();
  HostId TakeHost(const ModelId& aModel, const std::set<GroupId>& aSpared);
  void RemoveMember(const HostId& aHost);
  void NoteIncomplete();

  // Groups of the model that count as its supply, whether they serve or not.
  std::vector<Group*> Supply(const ModelDemand& aDemand);
  bool MayRebuild(const Group& aGroup) const;
  std::vector<Group*> BrokenGroups(const ModelId* aModel);
  const ModelDemand* DemandOf(const ModelId& aModel) const;

  const DomainPlanInput& m_input;
  DomainPlan m_plan;
  std::unordered_map<HostId, const PlannerHost*> m_hosts;
  std::vector<ModelDemand> m_demand;
  // Usable hosts in no group, in order of id.
  std::vector<HostId> m_free;
  // Hosts that came from a dissolved group.
  std::set<HostId> m_fromDonor;
};

Planner::Planner(const DomainPlanInput& aInput)
  : m_input(aInput)
  , m_demand(aInput.m_demand)
{
  m_plan.m_next = aInput.m_present;
  std::unordered_map<HostId, bool> taken;
  for (const Group& group : m_plan.m_next.m_groups) {
    for (const HostId& host : group.m_members) {
      taken[host] = group.m_state != GroupState::Released;
    }
  }
  uint32_t usable = 0;
  for (const PlannerHost& host : aInput.m_hosts) {
    m_hosts.emplace(host.m_id, &host);
    const bool isBriefly = host.m_condition == HostCondition::Missing &&
                           host.m_missingFor < kUsableSettleTime;
    if (isBriefly) {
      ++usable;
    }
    if (host.m_condition != HostCondition::Usable) {
      continue;
    }
    ++usable;
    const auto found = taken.find(host.m_id);
    if (found == taken.end() || !found->second) {
      m_free.push_back(host.m_id);
    }
  }
  m_plan.m_next.m_usableHosts = usable;
  std::sort(m_demand.begin(),
            m_demand.end(),
            [](const ModelDemand& aA, const ModelDemand& aB) {
              return aA.m_priority != aB.m_priority
                       ? aA.m_priority > aB.m_priority
                       : aA.m_model < aB.m_model;
            });
}

const PlannerHost* Planner::Find(const HostId& aHost) const
{
  const auto found = m_hosts.find(aHost);
  return found == m_hosts.end() ? nullptr : found->second;
}

bool Planner::IsUsable(const HostId& aHost) const
{
  const PlannerHost* host = Find(aHost);
  return host != nullptr && host->m_condition == HostCondition::Usable;
}

bool Planner::Awaits(const Group& aGroup, const ModelDemand& aDemand) const
{
  uint32_t missing = 0;
  Millis longest;
  for (const HostId& id : aGroup.m_members) {
    const PlannerHost* host = Find(id);
    if (host != nullptr && host->m_condition == HostCondition::Missing) {
      ++missing;
      longest = std::max(longest, host->m_missingFor);
    }
  }
  const double gigabytes =
    double(aDemand.m_weightGigabytes) * missing / aDemand.m_members;
  const Millis load(static_cast<int64_t>(1'000 * gigabytes /
                                         std::max(m_input.m_loadRate, 0.001)));
  return ShouldAwaitReturn(m_input.m_odds, longest, load);
}

Fitness Planner::Judge(const Group& aGroup, const ModelDemand* aDemand) const
{
  bool isImpaired = false;
  bool isGone = false;
  bool isMissing = false;
  for (const HostId& id : aGroup.m_members) {
    const PlannerHost* host = Find(id);
    if (host == nullptr) {
      isGone = true;
    } else if (host->m_condition == HostCondition::Missing) {
      isMissing = true;
    } else if (host->m_condition != HostCondition::Usable) {
      isImpaired = true;
    }
  }
  if (isGone) {
    return Fitness::Broken;
  }
  if (isMissing) {
    const bool waits = aDemand != nullptr && Awaits(aGroup, *aDemand);
    return waits ? Fitness::Awaiting : Fitness::Broken;
  }
  return isImpaired ? Fitness::Impaired : Fitness::Intact;
}

uint32_t Planner::UsableMembers(const Group& aGroup) const
{
  return static_cast<uint32_t>(
    std::count_if(aGroup.m_members.begin(),
                  aGroup.m_members.end(),
                  [this](const HostId& aHost) { return IsUsable(aHost); }));
}

bool Planner::IsDrained(const Group& aGroup) const
{
  return aGroup.m_state == GroupState::Draining &&
         m_input.m_drained.count(aGroup.m_id) > 0;
}

const ModelDemand* Planner::DemandOf(const ModelId& aModel) const
{
  for (const ModelDemand& demand : m_demand) {
    if (demand.m_model == aModel) {
      return &demand;
    }
  }
  return nullptr;
}

void Planner::Note(const Group& aGroup, const HostId& aHost, MoveReason aReason)
{
  m_plan.m_moves.push_back(
    Move{ aGroup.m_id, aGroup.m_generation, aGroup.m_model, aHost, aReason });
}

void Planner::Change(Group& aGroup, GroupState aState, MoveReason aReason)
{
  aGroup.m_state = aState;
  aGroup.m_reason = aReason;
  Note(aGroup, HostId(), aReason);
}

// Gives the group up. One that may still have requests in flight drains first.
void Planner::Retire(Group& aGroup, MoveReason aReason)
{
  const bool isBroken =
    Judge(aGroup, nullptr) == Fitness::Broken || aGroup.m_members.empty();
  if (!isBroken && !IsDrained(aGroup)) {
    if (aGroup.m_state != GroupState::Draining) {
      Change(aGroup, GroupState::Draining, aReason);
    }
    return;
  }
  Change(aGroup, GroupState::Released, aReason);
  for (const HostId& host : aGroup.m_members) {
    if (IsUsable(host)) {
      m_free.push_back(host);
    }
  }
  std::sort(m_free.begin(), m_free.end());
}

void Planner::DrainZone()
{
  for (Group& group : m_plan.m_next.m_groups) {
    if (TakesWork(group)) {
      Change(group, GroupState::Draining, MoveReason::ZoneOut);
    }
  }
}

void Planner::DropUnwanted()
{
  for (Group& group : m_plan.m_next.m_groups) {
    const ModelDemand* demand = DemandOf(group.m_model);
    const bool isWanted = demand != nullptr && demand->m_groups > 0 &&
                          demand->m_members == group.m_members.size();
    if (!isWanted && group.m_state != GroupState::Released) {
      Retire(group, MoveReason::Surplus);
    }
  }
}

std::vector<Group*> Planner::Supply(const ModelDemand& aDemand)
{
  std::vector<Group*> supply;
  for (Group& group : m_plan.m_next.m_groups) {
    if (group.m_model == aDemand.m_model && TakesWork(group)) {
      supply.push_back(&group);
    }
  }
  return supply;
}

// The larger the value, the sooner a surplus group goes.
int SurplusRank(const Group& aGroup, Fitness aFitness)
{
  if (aFitness == Fitness::Broken) {
    return 4;
  }
  if (aFitness == Fitness::Awaiting) {
    return 3;
  }
  if (aGroup.m_state == GroupState::Assigned) {
    return 2;
  }
  return aGroup.m_state == GroupState::Loading ? 1 : 0;
}

void Planner::DropSurplus(const ModelDemand& aDemand)
{
  std::vector<Group*> supply = Supply(aDemand);
  if (supply.size() <= aDemand.m_groups) {
    return;
  }
  std::stable_sort(
    supply.begin(), supply.end(), [&](const Group* aA, const Group* aB) {
      return SurplusRank(*aA, Judge(*aA, &aDemand)) <
             SurplusRank(*aB, Judge(*aB, &aDemand));
    });
  for (size_t index = aDemand.m_groups; index < supply.size(); ++index) {
    Retire(*supply[index], MoveReason::Surplus);
  }
}

void Planner::ResumeDraining(const ModelDemand& aDemand)
{
  size_t count = Supply(aDemand).size();
  for (Group& group : m_plan.m_next.m_groups) {
    const bool mayResume = group.m_model == aDemand.m_model &&
                           group.m_state == GroupState::Draining &&
                           group.m_members.size() == aDemand.m_members &&
                           Judge(group, &aDemand) == Fitness::Intact;
    if (mayResume && count < aDemand.m_groups) {
      group.m_generation = group.m_generation.Next();
      Change(group, GroupState::Assigned, MoveReason::Resumed);
      ++count;
    }
  }
}

// Drains groups with a leaving member at once, and groups with a slow one when
// free hosts can replace it.
void Planner::DrainImpaired(const ModelDemand& aDemand)
{
  size_t reserve = m_free.size();
  for (Group* group : Supply(aDemand)) {
    if (Judge(*group, &aDemand) != Fitness::Impaired) {
      continue;
    }
    uint32_t slow = 0;
    uint32_t leaving = 0;
    for (const HostId& id : group->m_members) {
      const HostCondition condition = Find(id)->m_condition;
      slow += condition == HostCondition::Straggler ? 1 : 0;
      leaving += condition == HostCondition::Leaving ? 1 : 0;
    }
    if (leaving > 0) {
      Change(*group, GroupState::Draining, MoveReason::DrainLeaving);
    } else if (slow <= reserve) {
      reserve -= slow;
      Change(*group, GroupState::Draining, MoveReason::DrainStraggler);
    }
  }
}

// Tells whether the group's members may change now.
bool Planner::MayRebuild(const Group& aGroup) const
{
  if (aGroup.m_state == GroupState::Released) {
    return false;
  }
  const Fitness fitness = Judge(aGroup, DemandOf(aGroup.m_model));
  return fitness == Fitness::Broken ||
         (fitness == Fitness::Impaired && IsDrained(aGroup));
}

std::vector<Group*> Planner::BrokenGroups(const ModelId* aModel)
{
  std::vector<Group*> broken;
  for (Group& group : m_plan.m_next.m_groups) {
    if ((aModel == nullptr || group.m_model == *aModel) && MayRebuild(group)) {
      broken.push_back(&group);
    }
  }
  std::stable_sort(
    broken.begin(), broken.end(), [this](const Group* aA, const Group* aB) {
      return aA->m_members.size() - UsableMembers(*aA) <
             aB->m_members.size() - UsableMembers(*aB);
    });
  return broken;
}

void Planner::RemoveMember(const HostId& aHost)
{
  for (Group& group : m_plan.m_next.m_groups) {
    auto& members = group.m_members;
    const auto found = std::find(members.begin(), members.end(), aHost);
    if (found != members.end()) {
      members.erase(found);
    }
  }
}

// Takes a usable host for a group of the model: a free one that holds its
// weights, any free one, or one of the incomplete group that is furthest from
// complete. Groups in aSpared keep theirs.
HostId Planner::TakeHost(const ModelId& aModel,
                         const std::set<GroupId>& aSpared)
{
  if (!m_free.empty()) {
    auto chosen =
      std::find_if(m_free.begin(), m_free.end(), [&](const HostId& aHost) {
        return Find(aHost)->m_holds == aModel;
      });
    if (chosen == m_free.end()) {
      chosen = m_free.begin();
    }
    HostId host = *chosen;
    m_free.erase(chosen);
    RemoveMember(host);
    return host;
  }
  std::vector<Group*> donors = BrokenGroups(nullptr);
  for (auto donor = donors.rbegin(); donor != donors.rend(); ++donor) {
    if (aSpared.count((*donor)->m_id) > 0 || UsableMembers(**donor) == 0) {
      continue;
    }
    Change(**donor, GroupState::Released, MoveReason::Dissolved);
    for (const HostId& host : (*donor)->m_members) {
      if (IsUsable(host)) {
        m_free.push_back(host);
        m_fromDonor.insert(host);
      }
    }
    std::sort(m_free.begin(), m_free.end());
    return TakeHost(aModel, aSpared);
  }
  return HostId();
}

MoveReason ReplacementReason(const PlannerHost* aOld)
{
  if (aOld == nullptr || aOld->m_condition == HostCondition::Leaving) {
    return MoveReason::ReplacedLeaving;
  }
  return aOld->m_condition == HostCondition::Straggler
           ? MoveReason::ReplacedStraggler
           : MoveReason::ReplacedMissing;
}

// Puts usable hosts into the seats of those that are not. The caller has made
// sure that there are enough.
void Planner::Complete(Group& aGroup, const std::set<GroupId>& aSpared)
{
  aGroup.m_generation = aGroup.m_generation.Next();
  aGroup.m_state = GroupState::Assigned;
  for (HostId& seat : aGroup.m_members) {
    if (IsUsable(seat)) {
      CountLoad(seat, aGroup.m_model);
      continue;
    }
    const MoveReason replaced = ReplacementReason(Find(seat));
    const HostId host = TakeHost(aGroup.m_model, aSpared);
    CountLoad(host, aGroup.m_model);
    seat = host;
    aGroup.m_reason =
      m_fromDonor.count(host) > 0 ? MoveReason::Merged : replaced;
    Note(aGroup, host, aGroup.m_reason);
  }
}

void Planner::CountLoad(const HostId& aHost, const ModelId& aModel)
{
  if (Find(aHost)->m_holds != aModel) {
    ++m_plan.m_loads;
  }
}

void Planner::FormNew(const ModelDemand& aDemand, uint32_t aCount)
{
  for (uint32_t number = 0; number < aCount; ++number) {
    Group group;
    group.m_id =
      GroupId(m_input.m_domain.Value() + "/" + aDemand.m_model.Value() + "/" +
              std::to_string(m_plan.m_next.m_nextNumber++));
    group.m_model = aDemand.m_model;
    group.m_generation = Generation(1);
    for (uint32_t rank = 0; rank < aDemand.m_members; ++rank) {
      group.m_members.push_back(TakeHost(aDemand.m_model, {}));
      CountLoad(group.m_members.back(), aDemand.m_model);
    }
    Note(group, HostId(), MoveReason::Formed);
    m_plan.m_next.m_groups.push_back(std::move(group));
  }
}

// The groups of the model that stand, or will when they have been drained.
uint32_t Planner::CountStanding(const ModelDemand& aDemand) const
{
  uint32_t standing = 0;
  for (const Group& group : m_plan.m_next.m_groups) {
    if (group.m_model != aDemand.m_model || MayRebuild(group)) {
      continue;
    }
    const bool isPending = group.m_state == GroupState::Draining &&
                           Judge(group, &aDemand) != Fitness::Intact;
    standing += TakesWork(group) || isPending ? 1 : 0;
  }
  return standing;
}

// Forms incomplete groups again, and new ones, as far as hosts and demand go.
void Planner::Rebuild(const ModelDemand& aDemand)
{
  const uint32_t standing = CountStanding(aDemand);
  const uint32_t need =
    aDemand.m_groups > standing ? aDemand.m_groups - standing : 0;
  size_t pool = m_free.size();
  for (const Group* group : BrokenGroups(nullptr)) {
    pool += UsableMembers(*group);
  }
  const auto possible = static_cast<uint32_t>(pool / aDemand.m_members);
  const uint32_t count = std::min(need, possible);
  const std::vector<Group*> broken = BrokenGroups(&aDemand.m_model);
  std::set<GroupId> spared;
  for (size_t index = 0; index < broken.size() && index < count; ++index) {
    spared.insert(broken[index]->m_id);
  }
  for (size_t index = 0; index < spared.size(); ++index) {
    Complete(*broken[index], spared);
  }
  for (size_t index = need; index < broken.size(); ++index) {
    if (broken[index]->m_state != GroupState::Released) {
      Retire(*broken[index], MoveReason::Surplus);
    }
  }
  FormNew(aDemand, count - static_cast<uint32_t>(spared.size()));
  ResumeUnreplaced(aDemand);
}

// A slow group that was drained for a replacement which is gone serves on.
void Planner::ResumeUnreplaced(const ModelDemand& aDemand)
{
  for (Group& group : m_plan.m_next.m_groups) {
    const bool isLeaving = std::any_of(
      group.m_members.begin(),
      group.m_members.end(),
      [this](const HostId& aHost) {
        const PlannerHost* host = Find(aHost);
        return host == nullptr || host->m_condition == HostCondition::Leaving;
      });
    if (group.m_model == aDemand.m_model && MayRebuild(group) && !isLeaving &&
        Judge(group, &aDemand) == Fitness::Impaired) {
      group.m_generation = group.m_generation.Next();
      Change(group, GroupState::Assigned, MoveReason::Resumed);
    }
  }
}

// Releases groups that were given up and have no request in flight any more.
void Planner::ReleaseDrained()
{
  for (Group& group : m_plan.m_next.m_groups) {
    if (IsDrained(group) &&
        Judge(group, DemandOf(group.m_model)) == Fitness::Intact) {
      Retire(group, MoveReason::Drained);
    }
  }
}

// Says of each group that stays incomplete why it does.
void Planner::NoteIncomplete()
{
  for (Group& group : m_plan.m_next.m_groups) {
    if (!TakesWork(group)) {
      continue;
    }
    const Fitness fitness = Judge(group, DemandOf(group.m_model));
    MoveReason reason = group.m_reason;
    if (fitness == Fitness::Awaiting) {
      reason = MoveReason::AwaitingReturn;
    } else if (fitness == Fitness::Broken) {
      reason = MoveReason::TooFewHosts;
    } else if (reason == MoveReason::AwaitingReturn ||
               reason == MoveReason::TooFewHosts) {
      reason = MoveReason::Progress;
    }
    if (fitness == Fitness::Awaiting || fitness == Fitness::Broken) {
      m_plan.m_stranded += UsableMembers(group);
    }
    if (reason != group.m_reason) {
      Change(group, group.m_state, reason);
    }
  }
}

void Planner::RemoveEmpty()
{
  auto& groups = m_plan.m_next.m_groups;
  groups.erase(std::remove_if(
                 groups.begin(),
                 groups.end(),
                 [](const Group& aGroup) { return aGroup.m_members.empty(); }),
               groups.end());
}

DomainPlan Planner::Run()
{
  if (m_input.m_isZoneOut) {
    DrainZone();
    return m_plan;
  }
  DropUnwanted();
  for (const ModelDemand& demand : m_demand) {
    DropSurplus(demand);
    ResumeDraining(demand);
  }
  ReleaseDrained();
  for (const ModelDemand& demand : m_demand) {
    DrainImpaired(demand);
    Rebuild(demand);
  }
  NoteIncomplete();
  RemoveEmpty();
  return std::move(m_plan);
}

} // namespace

DomainPlan PlanDomain(const DomainPlanInput& aInput)
{
  return Planner(aInput).Run();
}

bool ShouldAwaitReturn(const ReturnOdds& aOdds,
                       Millis aMissingFor,
                       Millis aSaved)
{
  const double mean = double(aOdds.m_meanReturn.Count());
  const double returning =
    aOdds.m_returnShare * std::exp(-double(aMissingFor.Count()) / mean);
  const double lasting = 1 - aOdds.m_returnShare;
  const double hazard = returning / (returning + lasting) / mean;
  return hazard * aOdds.m_keepsWeights * double(aSaved.Count()) >= 1;
}

} // namespace briarglade
