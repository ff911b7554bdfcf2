// Questions, answers, pushes and acknowledgements between nodes.

#include "briarglade/membership/internal/partners.h"

#include <algorithm>
#include <utility>

#include "briarglade/base/overloaded.h"
#include "briarglade/membership/internal/confirmation.h"
#include "briarglade/membership/internal/fact_store.h"
#include "briarglade/membership/internal/roster.h"
#include "briarglade/membership/internal/table_polling.h"
#include "briarglade/membership/timing.h"

namespace briarglade {

namespace {

// Where a message came from and where answers go.
struct Sender
{
  NodeId m_node;
  Endpoint m_endpoint;
};

FactsAsk MakeAsk(MembershipState& aState)
{
  FactsAsk ask;
  ask.m_sequence = ++aState.m_sequence;
  ask.m_version = aState.m_held;
  ask.m_replyTo = aState.m_settings.m_endpoint;
  ask.m_wantsAllRows = IsTableUnhelpful(aState);
  ask.m_holds = ListHolds(aState);
  return ask;
}

void AskMember(MembershipState& aState,
               Millis aNow,
               Member& aMember,
               MembershipEffects& aEffects)
{
  FactsAsk ask = MakeAsk(aState);
  aMember.m_askSequence = ask.m_sequence;
  aMember.m_askedAt = aNow;
  aEffects.emplace_back(
    SendPeer{ aMember.m_node.m_id, aMember.m_node.m_endpoint, std::move(ask) });
}

bool IsAskPending(const Member& aMember, Millis aNow)
{
  return aMember.m_askSequence != 0 && aNow - aMember.m_askedAt < kAskTimeout;
}

// Asks a node that isn't known to be on the roster.
void AskStranger(MembershipState& aState,
                 Millis aNow,
                 const NodeId& aNode,
                 const Endpoint& aEndpoint,
                 MembershipEffects& aEffects)
{
  const bool isPending = aState.m_seedAsk.m_sequence != 0 &&
                         aNow - aState.m_seedAsk.m_askedAt < kRoundAskPeriod;
  if (isPending || aEndpoint == Endpoint()) {
    return;
  }
  FactsAsk ask = MakeAsk(aState);
  aState.m_seedAsk = SeedAsk{ ask.m_sequence, aNow };
  aEffects.emplace_back(SendPeer{ aNode, aEndpoint, std::move(ask) });
}

// Asks one seed after another while no roster is known.
void AskSeed(MembershipState& aState, Millis aNow, MembershipEffects& aEffects)
{
  const std::vector<Endpoint>& seeds = aState.m_settings.m_seeds;
  if (!seeds.empty()) {
    const Endpoint& seed = seeds[aState.m_askTurn++ % seeds.size()];
    AskStranger(aState, aNow, NodeId(), seed, aEffects);
  }
}

// Returns the first partners that haven't failed of late; if all have, the
// first ones.
std::vector<Member*> ListPartners(MembershipState& aState, Millis aNow)
{
  std::vector<Member*> partners;
  for (const NodeId& node : aState.m_rankedPeers) {
    Member* member = FindMember(aState, node);
    if (partners.size() < kPartnerCount && member->m_avoidUntil <= aNow) {
      partners.push_back(member);
    }
  }
  if (!partners.empty()) {
    return partners;
  }
  for (const NodeId& node : aState.m_rankedPeers) {
    if (partners.size() < kPartnerCount) {
      partners.push_back(FindMember(aState, node));
    }
  }
  return partners;
}

void AvoidSilentMembers(MembershipState& aState, Millis aNow)
{
  for (Member& member : aState.m_members) {
    if (member.m_askSequence != 0 && !IsAskPending(member, aNow)) {
      member.m_askSequence = 0;
      member.m_avoidUntil = aNow + kAvoidTime;
    }
  }
}

void PushTo(MembershipState& aState,
            Millis aNow,
            Member& aMember,
            MembershipEffects& aEffects)
{
  FactsPush push;
  push.m_sequence = ++aState.m_sequence;
  push.m_version = aState.m_held;
  push.m_replyTo = aState.m_settings.m_endpoint;
  push.m_vouches = aState.m_hasReadTable;
  push.m_rows = ListNewerRows(aState, aMember.m_holds, false);
  push.m_holds = ListHolds(aState);
  aMember.m_pushedAt = aNow;
  aEffects.emplace_back(SendPeer{
    aMember.m_node.m_id, aMember.m_node.m_endpoint, std::move(push) });
}

bool IsSelf(const MembershipState& aState, const Member& aMember)
{
  return aMember.m_node.m_id == aState.m_settings.m_self;
}

bool HoldsZones(const MembershipState& aState, const Member& aMember)
{
  for (const auto& entry : aState.m_holds) {
    if (aMember.m_zoneHolds.count(entry.second.m_hold.m_operation) == 0) {
      return false;
    }
  }
  return true;
}

bool IsLagging(const MembershipState& aState, const Member& aMember)
{
  return !aMember.m_holds.Covers(aState.m_held) || !HoldsZones(aState, aMember);
}

FactsAck MakeAck(const MembershipState& aState, uint64_t aSequence)
{
  return FactsAck{
    aSequence, aState.m_held, aState.m_hasReadTable, ListHoldOperations(aState)
  };
}

// Notes what another node holds. A member's word counts only if it vouches.
void Learn(MembershipState& aState,
           const NodeId& aFrom,
           const FactsVersion& aVersion,
           bool aVouches)
{
  aState.m_heard.Raise(aVersion);
  Member* member = FindMember(aState, aFrom);
  if (member != nullptr && aVouches) {
    member->m_holds.Raise(aVersion);
  }
}

// Fetches what another node has and this one lacks: from the table, or from
// that node if the table doesn't help.
void CatchUp(MembershipState& aState,
             Millis aNow,
             const Sender& aSender,
             MembershipEffects& aEffects)
{
  aState.m_nextTableReadAt = std::min(aState.m_nextTableReadAt, aNow);
  Member* member = FindMember(aState, aSender.m_node);
  if (!IsTableUnhelpful(aState)) {
    return;
  }
  if (member == nullptr) {
    AskStranger(aState, aNow, aSender.m_node, aSender.m_endpoint, aEffects);
  } else if (!IsAskPending(*member, aNow)) {
    AskMember(aState, aNow, *member, aEffects);
  }
}

bool AdoptAll(MembershipState& aState,
              Millis aNow,
              const std::vector<FactRow>& aRows,
              const std::vector<ZoneHold>& aHolds,
              MembershipEffects& aEffects)
{
  bool adopted = false;
  for (const FactRow& row : aRows) {
    adopted = AdoptRow(aState, row, aEffects) || adopted;
  }
  for (const ZoneHold& hold : aHolds) {
    adopted = AdoptHold(aState, aNow, hold, aEffects) || adopted;
  }
  return adopted;
}

bool OnAsk(MembershipState& aState,
           Millis aNow,
           const Sender& aSender,
           const FactsAsk& aAsk,
           MembershipEffects& aEffects)
{
  const bool adopted = AdoptAll(aState, aNow, {}, aAsk.m_holds, aEffects);
  aState.m_heard.Raise(aAsk.m_version);
  FactsAnswer answer;
  answer.m_sequence = aAsk.m_sequence;
  answer.m_version = aState.m_held;
  DescribeVouches(aState, aNow, answer);
  answer.m_rows = ListNewerRows(aState, aAsk.m_version, aAsk.m_wantsAllRows);
  answer.m_holds = ListHolds(aState);
  aEffects.emplace_back(
    SendPeer{ aSender.m_node, aSender.m_endpoint, std::move(answer) });
  if (!aState.m_held.Covers(aAsk.m_version)) {
    CatchUp(aState, aNow, aSender, aEffects);
  }
  return adopted;
}

// Returns when the question was asked, or kNever if none such is open.
Millis TakeAskTime(MembershipState& aState,
                   const NodeId& aFrom,
                   uint64_t aSequence)
{
  Member* member = FindMember(aState, aFrom);
  if (member != nullptr && member->m_askSequence == aSequence) {
    member->m_askSequence = 0;
    member->m_avoidUntil = kNever;
    return member->m_askedAt;
  }
  if (aState.m_seedAsk.m_sequence == aSequence) {
    aState.m_seedAsk.m_sequence = 0;
    return aState.m_seedAsk.m_askedAt;
  }
  return kNever;
}

bool OnAnswer(MembershipState& aState,
              Millis aNow,
              const Sender& aSender,
              const FactsAnswer& aAnswer,
              MembershipEffects& aEffects)
{
  const bool adopted =
    AdoptAll(aState, aNow, aAnswer.m_rows, aAnswer.m_holds, aEffects);
  Learn(aState, aSender.m_node, aAnswer.m_version, aAnswer.m_vouches);
  const Millis askedAt =
    TakeAskTime(aState, aSender.m_node, aAnswer.m_sequence);
  if (askedAt != kNever && aAnswer.m_sequence != 0) {
    MergeVouches(aState, aNow, aSender.m_node, askedAt, aAnswer);
  }
  if (!aState.m_held.Covers(aAnswer.m_version)) {
    CatchUp(aState, aNow, aSender, aEffects);
  }
  return adopted;
}

bool OnPush(MembershipState& aState,
            Millis aNow,
            const Sender& aSender,
            const FactsPush& aPush,
            MembershipEffects& aEffects)
{
  const bool adopted =
    AdoptAll(aState, aNow, aPush.m_rows, aPush.m_holds, aEffects);
  Learn(aState, aSender.m_node, aPush.m_version, aPush.m_vouches);
  if (aState.m_held.Covers(aPush.m_version)) {
    aEffects.emplace_back(SendPeer{
      aSender.m_node, aSender.m_endpoint, MakeAck(aState, aPush.m_sequence) });
    return adopted;
  }
  aState.m_owedAcks.push_back(OwedAck{
    aSender.m_node, aSender.m_endpoint, aPush.m_sequence, aPush.m_version });
  CatchUp(aState, aNow, aSender, aEffects);
  return adopted;
}

bool OnAck(MembershipState& aState,
           Millis aNow,
           const Sender& aSender,
           const FactsAck& aAck,
           MembershipEffects& aEffects)
{
  Learn(aState, aSender.m_node, aAck.m_version, aAck.m_vouches);
  Member* member = FindMember(aState, aSender.m_node);
  if (member != nullptr) {
    member->m_zoneHolds =
      std::set<OperationId>(aAck.m_holds.begin(), aAck.m_holds.end());
  }
  if (!aState.m_held.Covers(aAck.m_version)) {
    CatchUp(aState, aNow, aSender, aEffects);
  }
  return false;
}

// Answers go to the address on the roster, or to the one that the sender gave.
Sender MakeSender(MembershipState& aState,
                  const NodeId& aFrom,
                  const Endpoint& aReplyTo)
{
  const Member* member = FindMember(aState, aFrom);
  const bool isGiven = aReplyTo != Endpoint();
  if (isGiven || member == nullptr) {
    return Sender{ aFrom, aReplyTo };
  }
  return Sender{ aFrom, member->m_node.m_endpoint };
}

} // namespace

void AskPartners(MembershipState& aState,
                 Millis aNow,
                 MembershipEffects& aEffects)
{
  const Millis period =
    IsTableUnhelpful(aState) ? kRoundAskPeriod : kRestAskPeriod;
  aState.m_nextAskAt = std::min(aState.m_nextAskAt, aNow + period);
  if (aNow < aState.m_nextAskAt) {
    return;
  }
  aState.m_nextAskAt = aNow + period;
  AvoidSilentMembers(aState, aNow);
  const std::vector<Member*> partners = ListPartners(aState, aNow);
  if (partners.empty()) {
    AskSeed(aState, aNow, aEffects);
    return;
  }
  for (size_t i = 0; i < partners.size(); ++i) {
    Member& partner = *partners[aState.m_askTurn++ % partners.size()];
    if (!IsAskPending(partner, aNow)) {
      AskMember(aState, aNow, partner, aEffects);
      return;
    }
  }
}

void PushToLagging(MembershipState& aState,
                   Millis aNow,
                   MembershipEffects& aEffects)
{
  for (Member& member : aState.m_members) {
    const bool isDue = aNow - member.m_pushedAt >= kPushRetryPeriod;
    if (!IsSelf(aState, member) && isDue && IsLagging(aState, member)) {
      PushTo(aState, aNow, member, aEffects);
    }
  }
}

void PushToAll(MembershipState& aState,
               Millis aNow,
               MembershipEffects& aEffects)
{
  for (Member& member : aState.m_members) {
    if (!IsSelf(aState, member)) {
      PushTo(aState, aNow, member, aEffects);
    }
  }
}

void PassOn(MembershipState& aState, Millis aNow, MembershipEffects& aEffects)
{
  for (Member* partner : ListPartners(aState, aNow)) {
    if (IsLagging(aState, *partner)) {
      PushTo(aState, aNow, *partner, aEffects);
    }
  }
  std::vector<OwedAck> owed;
  for (OwedAck& ack : aState.m_owedAcks) {
    if (aState.m_held.Covers(ack.m_version)) {
      aEffects.emplace_back(SendPeer{
        ack.m_node, ack.m_endpoint, MakeAck(aState, ack.m_sequence) });
    } else {
      owed.push_back(std::move(ack));
    }
  }
  aState.m_owedAcks = std::move(owed);
}

void OnPeerMessage(MembershipState& aState,
                   Millis aNow,
                   const PeerMessageReceived& aEvent,
                   bool& aAdopted,
                   MembershipEffects& aEffects)
{
  const NodeId& from = aEvent.m_from;
  if (from == aState.m_settings.m_self) {
    return;
  }
  aAdopted = std::visit(
    Overloaded{ [&](const FactsAsk& aAsk) {
                 const Sender sender = MakeSender(aState, from, aAsk.m_replyTo);
                 return OnAsk(aState, aNow, sender, aAsk, aEffects);
               },
                [&](const FactsAnswer& aAnswer) {
                  const Sender sender = MakeSender(aState, from, Endpoint());
                  return OnAnswer(aState, aNow, sender, aAnswer, aEffects);
                },
                [&](const FactsPush& aPush) {
                  const Sender sender =
                    MakeSender(aState, from, aPush.m_replyTo);
                  return OnPush(aState, aNow, sender, aPush, aEffects);
                },
                [&](const FactsAck& aAck) {
                  const Sender sender = MakeSender(aState, from, Endpoint());
                  return OnAck(aState, aNow, sender, aAck, aEffects);
                },
                [](const auto&) { return false; } },
    aEvent.m_message);
}

void OnUnreachable(MembershipState& aState, Millis aNow, const NodeId& aNode)
{
  Member* member = FindMember(aState, aNode);
  if (member != nullptr) {
    member->m_askSequence = 0;
    member->m_avoidUntil = aNow + kAvoidTime;
  }
}

} // namespace briarglade
