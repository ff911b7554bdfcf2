// Majorities and changes of the roster.

#include "briarglade/membership/internal/roster.h"

#include <algorithm>
#include <utility>

#include "briarglade/base/rendezvous.h"
#include "briarglade/membership/internal/fact_store.h"
#include "briarglade/membership/internal/partners.h"
#include "briarglade/membership/membership.h"
#include "briarglade/membership/timing.h"

namespace briarglade {

namespace {

const FactName kRosterName{ FactKind::Roster, ZoneId() };

bool PrecedesId(const Member& aMember, const NodeId& aNode)
{
  return aMember.m_node.m_id < aNode;
}

// The change of the roster that this node wants to write.
struct WantedStep
{
  RosterStep m_step = RosterStep::Join;
  RosterNode m_node;
  std::string m_why;
};

RosterNode SelfAsNode(const MembershipState& aState)
{
  return RosterNode{ aState.m_settings.m_self,
                     aState.m_settings.m_endpoint,
                     aState.m_settings.m_zone,
                     aState.m_settings.m_callerEndpoint };
}

const Member* FindListed(const MembershipState& aState, const NodeId& aNode)
{
  const auto found = std::lower_bound(
    aState.m_members.begin(), aState.m_members.end(), aNode, PrecedesId);
  const bool isListed =
    found != aState.m_members.end() && found->m_node.m_id == aNode;
  return isListed ? &*found : nullptr;
}

std::vector<NodeId> ListIds(const MembershipState& aState)
{
  std::vector<NodeId> ids;
  for (const Member& member : aState.m_members) {
    ids.push_back(member.m_node.m_id);
  }
  return ids;
}

bool CountsAs(const MembershipState& aState,
              const Member& aMember,
              const MemberPredicate& aHolds)
{
  if (aMember.m_node.m_id == aState.m_settings.m_self) {
    return aState.m_hasReadTable;
  }
  return aHolds(aMember);
}

size_t CountHolding(const MembershipState& aState,
                    const MemberPredicate& aHolds)
{
  size_t count = 0;
  for (const Member& member : aState.m_members) {
    count += CountsAs(aState, member, aHolds) ? 1 : 0;
  }
  return count;
}

// Tells whether a majority of the roster before the present one holds.
bool HasFormerMajority(const MembershipState& aState,
                       const MemberPredicate& aHolds)
{
  size_t size = aState.m_members.size();
  size_t count = CountHolding(aState, aHolds);
  if (aState.m_roster->m_step == RosterStep::Join) {
    const Member* joined = FindListed(aState, aState.m_roster->m_changed.m_id);
    size -= 1;
    count -= joined != nullptr && CountsAs(aState, *joined, aHolds) ? 1 : 0;
  } else if (aState.m_roster->m_step == RosterStep::Leave) {
    size += 1;
    const bool isHolding = aState.m_departed.has_value() &&
                           CountsAs(aState, *aState.m_departed, aHolds);
    count += isHolding ? 1 : 0;
  }
  return size == 0 || count >= MajorityOf(size);
}

// Returns a member that the host list hasn't shown for long enough.
const Member* FindGone(const MembershipState& aState, Millis aNow)
{
  for (const auto& [node, since] : aState.m_notShownSince) {
    const Member* member = FindListed(aState, node);
    if (member == nullptr || aNow - since < kHostGoneAfter) {
      continue;
    }
    const std::vector<NodeId> ranked = RankNodes(node.Value(), ListIds(aState));
    const auto self =
      std::find(ranked.begin(), ranked.end(), aState.m_settings.m_self);
    const Millis wait = kRemovalStagger * (self - ranked.begin());
    if (aNow - since >= kHostGoneAfter + wait) {
      return member;
    }
  }
  return nullptr;
}

std::optional<WantedStep> FindWantedStep(const MembershipState& aState,
                                         Millis aNow)
{
  const RosterNode self = SelfAsNode(aState);
  const Member* listed = FindListed(aState, self.m_id);
  if (aState.m_isLeaving) {
    return listed == nullptr
             ? std::nullopt
             : std::optional(
                 WantedStep{ RosterStep::Leave, self, "graceful shutdown" });
  }
  if (listed == nullptr) {
    return WantedStep{ RosterStep::Join, self, "started" };
  }
  if (!(listed->m_node == self)) {
    return WantedStep{ RosterStep::Move, self, "started elsewhere" };
  }
  if (const Member* gone = FindGone(aState, aNow)) {
    return WantedStep{ RosterStep::Leave,
                       gone->m_node,
                       "the host list no longer shows it" };
  }
  return std::nullopt;
}

RosterFact MakeRoster(const MembershipState& aState, const WantedStep& aWanted)
{
  RosterFact roster;
  roster.m_step = aWanted.m_step;
  roster.m_changed = aWanted.m_node;
  for (const Member& member : aState.m_members) {
    if (member.m_node.m_id != aWanted.m_node.m_id) {
      roster.m_nodes.push_back(member.m_node);
    }
  }
  if (aWanted.m_step != RosterStep::Leave) {
    roster.m_nodes.push_back(aWanted.m_node);
  }
  std::sort(roster.m_nodes.begin(),
            roster.m_nodes.end(),
            [](const RosterNode& aLeft, const RosterNode& aRight) {
              return aLeft.m_id < aRight.m_id;
            });
  return roster;
}

const char* StepName(RosterStep aStep)
{
  switch (aStep) {
    case RosterStep::Join:
      return "join ";
    case RosterStep::Move:
      return "move ";
    default:
      return "leave ";
  }
}

void WriteStep(MembershipState& aState,
               const WantedStep& aWanted,
               MembershipEffects& aEffects)
{
  ChangeRecord change;
  change.m_version = aState.m_held.m_roster + 1;
  change.m_who = aState.m_settings.m_self.Value();
  change.m_why = aWanted.m_why;
  change.m_operation = OperationId(aState.m_ids.Next());
  change.m_what = StepName(aWanted.m_step) + aWanted.m_node.m_id.Value();
  std::string value = WriteRosterFact(
    MakeRoster(aState, aWanted), change, HeldValue(aState, kRosterName));
  aState.m_rosterWrite = change.m_operation;
  aEffects.emplace_back(
    MakeFactWrite(aState, kRosterName, change.m_operation, std::move(value)));
}

void EndLeaving(MembershipState& aState, MembershipEffects& aEffects)
{
  aState.m_hasLeft = true;
  aEffects.emplace_back(ShutdownComplete{ !IsListed(aState) });
}

void StepLeaving(MembershipState& aState,
                 Millis aNow,
                 MembershipEffects& aEffects)
{
  const bool isAccepted =
    !IsListed(aState) &&
    (aState.m_members.empty() ||
     IsAccepted(aState, kRosterName, aState.m_held.m_roster));
  if (isAccepted || aNow - aState.m_leavingSince >= kLeaveTimeout) {
    EndLeaving(aState, aEffects);
  }
}

bool IsOwnChangeUnaccepted(const MembershipState& aState)
{
  return aState.m_roster.has_value() &&
         aState.m_roster->m_changed.m_id == aState.m_settings.m_self &&
         !IsAccepted(aState, kRosterName, aState.m_held.m_roster);
}

} // namespace

Member* FindMember(MembershipState& aState, const NodeId& aNode)
{
  const auto found = std::lower_bound(
    aState.m_members.begin(), aState.m_members.end(), aNode, PrecedesId);
  if (found != aState.m_members.end() && found->m_node.m_id == aNode) {
    return &*found;
  }
  const bool isDeparted =
    aState.m_departed.has_value() && aState.m_departed->m_node.m_id == aNode;
  return isDeparted ? &*aState.m_departed : nullptr;
}

bool IsListed(const MembershipState& aState)
{
  return FindListed(aState, aState.m_settings.m_self) != nullptr;
}

size_t MajorityOf(size_t aCount)
{
  return aCount / 2 + 1;
}

void ApplyRoster(MembershipState& aState,
                 RosterFact aRoster,
                 MembershipEffects& aEffects)
{
  std::vector<Member> members;
  for (const RosterNode& node : aRoster.m_nodes) {
    const Member* known = FindListed(aState, node.m_id);
    Member member = known == nullptr ? Member() : *known;
    member.m_node = node;
    members.push_back(std::move(member));
  }
  std::optional<Member> departed;
  if (aRoster.m_step == RosterStep::Leave) {
    const Member* known = FindListed(aState, aRoster.m_changed.m_id);
    departed = known == nullptr ? Member() : *known;
    departed->m_node = aRoster.m_changed;
  }
  aState.m_members = std::move(members);
  aState.m_departed = std::move(departed);
  const NodeId& self = aState.m_settings.m_self;
  aState.m_rankedPeers = RankNodes(self.Value(), ListIds(aState));
  aState.m_rankedPeers.erase(
    std::remove(aState.m_rankedPeers.begin(), aState.m_rankedPeers.end(), self),
    aState.m_rankedPeers.end());
  const bool hasJustJoined =
    aRoster.m_step == RosterStep::Join && aRoster.m_changed.m_id == self;
  aState.m_isMember = IsListed(aState) && !hasJustJoined;
  aEffects.emplace_back(RosterAdopted{ aRoster.m_nodes });
  aState.m_roster = std::move(aRoster);
}

bool HasMajority(const MembershipState& aState, const MemberPredicate& aHolds)
{
  return !aState.m_members.empty() &&
         CountHolding(aState, aHolds) >= MajorityOf(aState.m_members.size());
}

bool HasBothMajorities(const MembershipState& aState,
                       const MemberPredicate& aHolds)
{
  return HasMajority(aState, aHolds) && HasFormerMajority(aState, aHolds);
}

bool IsRosterSettled(const MembershipState& aState)
{
  if (!aState.m_held.Covers(aState.m_heard)) {
    return false;
  }
  if (aState.m_members.empty()) {
    return true;
  }
  return HasBothMajorities(aState, [&](const Member& aMember) {
    return aMember.m_holds.Covers(aState.m_held);
  });
}

void NoteShownHosts(MembershipState& aState,
                    Millis aNow,
                    const EntryHostsRead& aEvent)
{
  const std::set<NodeId> shown(aEvent.m_shown.begin(), aEvent.m_shown.end());
  std::map<NodeId, Millis> notShown;
  if (shown.count(aState.m_settings.m_self) != 0) {
    for (const Member& member : aState.m_members) {
      const NodeId& node = member.m_node.m_id;
      if (shown.count(node) == 0) {
        const auto since = aState.m_notShownSince.find(node);
        const bool isKnown = since != aState.m_notShownSince.end();
        notShown[node] = isKnown ? since->second : aNow;
      }
    }
  }
  aState.m_notShownSince = std::move(notShown);
}

void BeginLeaving(MembershipState& aState, Millis aNow)
{
  if (!aState.m_isLeaving) {
    aState.m_isLeaving = true;
    aState.m_leavingSince = aNow;
  }
}

void StepRoster(MembershipState& aState,
                Millis aNow,
                MembershipEffects& aEffects)
{
  if (aState.m_hasLeft) {
    return;
  }
  if (aState.m_isLeaving) {
    StepLeaving(aState, aNow, aEffects);
  }
  const std::optional<WantedStep> wanted = FindWantedStep(aState, aNow);
  if (!wanted.has_value()) {
    if (IsOwnChangeUnaccepted(aState)) {
      PushToLagging(aState, aNow, aEffects);
    }
    return;
  }
  const bool isTableUsable = aState.m_hasReadTable && !aState.m_isTableSilent;
  if (!isTableUsable || !aState.m_rosterWrite.IsEmpty()) {
    return;
  }
  if (!IsRosterSettled(aState)) {
    PushToLagging(aState, aNow, aEffects);
    return;
  }
  if (aNow >= aState.m_rosterRetryAt) {
    WriteStep(aState, *wanted, aEffects);
  }
}

bool OnRosterWritten(MembershipState& aState,
                     Millis aNow,
                     const TableResult& aResult,
                     MembershipEffects& aEffects)
{
  if (aResult.m_operation != aState.m_rosterWrite ||
      aResult.m_operation.IsEmpty()) {
    return false;
  }
  aState.m_rosterWrite = OperationId();
  const auto jitter = static_cast<int64_t>(
    aState.m_random() % static_cast<uint64_t>(kRosterRetryJitter.Count()));
  aState.m_rosterRetryAt = aNow + kRosterRetryPeriod + Millis(jitter);
  // Whatever came of a write that failed is seen in the row itself.
  aState.m_nextTableReadAt = aNow;
  if (aResult.m_status != TableStatus::Ok || aResult.m_rows.empty()) {
    return true;
  }
  const std::optional<FactRow> row =
    ParseFactRow(aState.m_settings.m_region, aResult.m_rows.front());
  if (row.has_value() && AdoptRow(aState, *row, aEffects)) {
    PushToAll(aState, aNow, aEffects);
  }
  return true;
}

} // namespace briarglade
