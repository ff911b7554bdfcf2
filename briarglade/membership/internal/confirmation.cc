// Confirmation of a node's facts.

#include "briarglade/membership/internal/confirmation.h"

#include <algorithm>
#include <functional>

#include "briarglade/membership/internal/roster.h"
#include "briarglade/membership/membership.h"

namespace briarglade {

namespace {

uint8_t AgeInUnits(Millis aAge)
{
  const int64_t unit = kVouchAgeUnit.Count();
  const int64_t units = (std::max<int64_t>(aAge.Count(), 0) + unit - 1) / unit;
  return units < kNoVouch ? static_cast<uint8_t>(units) : kNoVouch;
}

void RaiseVouch(Member& aMember, Millis aInstant)
{
  aMember.m_vouchedAt = std::max(aMember.m_vouchedAt, aInstant);
}

void MergeArrays(MembershipState& aState,
                 Millis aAskedAt,
                 const FactsAnswer& aAnswer)
{
  const size_t count = aState.m_members.size();
  for (size_t i = 0; i < count; ++i) {
    Member& member = aState.m_members[i];
    if (i < aAnswer.m_vouchAges.size() && aAnswer.m_vouchAges[i] != kNoVouch) {
      RaiseVouch(member, aAskedAt - kVouchAgeUnit * aAnswer.m_vouchAges[i]);
    }
    const bool isHolder = i / 8 < aAnswer.m_holders.size() &&
                          (aAnswer.m_holders[i / 8] >> (i % 8) & 1) != 0;
    if (isHolder) {
      member.m_holds.Raise(aAnswer.m_version);
    }
  }
}

// Confirms as of the instant since which a majority has vouched.
void ConfirmByRound(MembershipState& aState, Millis aNow)
{
  if (aState.m_members.empty() || !aState.m_held.Covers(aState.m_heard)) {
    return;
  }
  std::vector<Millis> instants;
  for (const Member& member : aState.m_members) {
    if (member.m_node.m_id != aState.m_settings.m_self) {
      instants.push_back(member.m_vouchedAt);
    } else if (aState.m_hasReadTable) {
      instants.push_back(aNow);
    }
  }
  const size_t needed = MajorityOf(aState.m_members.size());
  if (instants.size() < needed) {
    return;
  }
  const auto last = instants.begin() + static_cast<ptrdiff_t>(needed - 1);
  std::nth_element(instants.begin(), last, instants.end(), std::greater<>());
  if (*last != kNever) {
    ConfirmAt(aState, *last);
  }
}

} // namespace

void ConfirmAt(MembershipState& aState, Millis aInstant)
{
  aState.m_confirmedAt = std::max(aState.m_confirmedAt, aInstant);
}

void DescribeVouches(const MembershipState& aState,
                     Millis aNow,
                     FactsAnswer& aAnswer)
{
  const size_t count = aState.m_members.size();
  aAnswer.m_vouches = aState.m_hasReadTable;
  aAnswer.m_vouchAges.assign(count, kNoVouch);
  aAnswer.m_holders.assign((count + 7) / 8, 0);
  for (size_t i = 0; i < count; ++i) {
    const Member& member = aState.m_members[i];
    const bool isSelf = member.m_node.m_id == aState.m_settings.m_self;
    if (isSelf && !aState.m_hasReadTable) {
      continue;
    }
    aAnswer.m_vouchAges[i] = isSelf ? 0 : AgeInUnits(aNow - member.m_vouchedAt);
    if (isSelf || member.m_holds.Covers(aState.m_held)) {
      aAnswer.m_holders[i / 8] |= static_cast<uint8_t>(1U << (i % 8));
    }
  }
  if (aState.m_confirmedAt != kNever) {
    aAnswer.m_confirmedAge = aNow - aState.m_confirmedAt;
  }
}

void MergeVouches(MembershipState& aState,
                  Millis aNow,
                  const NodeId& aFrom,
                  Millis aAskedAt,
                  const FactsAnswer& aAnswer)
{
  if (!aState.m_held.Covers(aAnswer.m_version)) {
    return;
  }
  Member* sender = FindMember(aState, aFrom);
  if (sender != nullptr && aAnswer.m_vouches) {
    RaiseVouch(*sender, aAskedAt);
  }
  if (aAnswer.m_version.m_roster == aState.m_held.m_roster) {
    MergeArrays(aState, aAskedAt, aAnswer);
  }
  if (aAnswer.m_confirmedAge >= Millis()) {
    ConfirmAt(aState, aAskedAt - aAnswer.m_confirmedAge);
  }
  ConfirmByRound(aState, aNow);
}

void PublishConfirmation(MembershipState& aState,
                         Millis aNow,
                         MembershipEffects& aEffects)
{
  const bool isConfirmed = IsConfirmed(aState, aNow);
  if (isConfirmed == aState.m_wasConfirmed) {
    return;
  }
  aState.m_wasConfirmed = isConfirmed;
  aEffects.emplace_back(ConfirmationChanged{ isConfirmed });
  const Millis age = aNow - aState.m_confirmedAt;
  aEffects.emplace_back(
    LogEvent{ isConfirmed ? LogLevel::Info : LogLevel::Warn,
              isConfirmed ? "confirmation-gained" : "confirmation-lost",
              { { "age-ms", std::to_string(age.Count()) } } });
}

} // namespace briarglade
