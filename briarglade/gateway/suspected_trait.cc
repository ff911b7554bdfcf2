// Keeps the crashes at which a trait was present, and its refusals.

#include "briarglade/gateway/suspected_trait.h"

#include <algorithm>
#include <iterator>

namespace briarglade {

namespace {

// Crashes in one domain within this time have a common cause, such as a loss of
// power, and count as one.
constexpr Millis kSameCauseTime = Millis(300);
// Evidence expires after this long, and after a refusal after kMemoryTime.
constexpr Millis kEvidenceLifetime = Millis(600'000);
constexpr Millis kMemoryTime = Millis(172'800'000);
// The first refusal, and by how much each later one of the same trait is
// longer.
constexpr Millis kFirstRefusal = Millis(600'000);
constexpr int64_t kRefusalFactor = 6;

bool Contains(const std::vector<RequestTrait>& aTraits,
              const RequestTrait& aTrait)
{
  return std::find(aTraits.begin(), aTraits.end(), aTrait) != aTraits.end();
}

// Returns the length of the refusal that follows a number of earlier ones.
Millis NextRefusal(uint32_t aEarlier)
{
  Millis time = kFirstRefusal;
  for (uint32_t i = 0; i < aEarlier && time < SuspectedTrait::kLongestRefusal;
       ++i) {
    time = Millis(time.Count() * kRefusalFactor);
  }
  return std::min(time, SuspectedTrait::kLongestRefusal);
}

// Returns whether two crashes have a common cause, such as a loss of power.
bool HaveSameCause(const TraitCrash& aOne, const TraitCrash& aOther)
{
  const Millis distance =
    std::max(aOne.m_at, aOther.m_at) - std::min(aOne.m_at, aOther.m_at);
  return !aOne.m_domain.IsEmpty() && aOne.m_domain == aOther.m_domain &&
         distance < kSameCauseTime;
}

// Returns the companions that a trait had at each of the crashes.
std::vector<RequestTrait> CommonCompanions(
  const std::vector<TraitCrash>& aCrashes)
{
  std::vector<RequestTrait> common;
  if (aCrashes.empty()) {
    return common;
  }
  for (const RequestTrait& trait : aCrashes.front().m_companions) {
    const auto hasIt = [&](const TraitCrash& aCrash) {
      return Contains(aCrash.m_companions, trait);
    };
    if (std::all_of(aCrashes.begin(), aCrashes.end(), hasIt)) {
      common.push_back(trait);
    }
  }
  return common;
}

} // namespace

void SuspectedTrait::RecordCrash(const TraitCrash& aCrash,
                                 const std::vector<RequestTrait>& aTraits)
{
  auto same = std::find_if(
    m_crashes.begin(), m_crashes.end(), [&](const TraitCrash& aKnown) {
      return aKnown.m_server == aCrash.m_server;
    });
  if (same == m_crashes.end()) {
    if (m_crashes.size() == kMaxCrashes) {
      m_crashes.erase(m_crashes.begin());
    }
    m_crashes.push_back(aCrash);
    same = std::prev(m_crashes.end());
  }
  m_lastCrashAt = std::max(m_lastCrashAt, aCrash.m_at);
  for (const RequestTrait& companion : aTraits) {
    if (same->m_companions.size() < kMaxCompanions && !(companion == m_trait) &&
        !Contains(same->m_companions, companion)) {
      same->m_companions.push_back(companion);
    }
  }
}

void SuspectedTrait::RecordSurvival(Millis aAt)
{
  m_survivedAt = std::max(m_survivedAt, aAt);
}

void SuspectedTrait::RemoveCrashes(Millis aUntil)
{
  const auto isEarlier = [&](const TraitCrash& aCrash) {
    return aCrash.m_at <= aUntil;
  };
  m_crashes.erase(std::remove_if(m_crashes.begin(), m_crashes.end(), isEarlier),
                  m_crashes.end());
}

std::vector<TraitCrash> SuspectedTrait::CrashesAgainst(Millis aUntil) const
{
  std::vector<TraitCrash> counted;
  for (const TraitCrash& crash : m_crashes) {
    const bool hasSameCause =
      std::any_of(counted.begin(), counted.end(), [&](const auto& aOther) {
        return HaveSameCause(crash, aOther);
      });
    if (crash.m_at > m_survivedAt && crash.m_at <= aUntil && !hasSameCause) {
      counted.push_back(crash);
    }
  }
  return counted;
}

std::vector<RequestTrait> SuspectedTrait::Companions() const
{
  const bool isReported = IsRefused() && !m_isOwnDecision;
  return isReported ? m_reportedCompanions : CommonCompanions(m_crashes);
}

void SuspectedTrait::RefuseFor(Millis aNow, Millis aTime)
{
  m_refusedSince = aNow;
  m_refusedUntil = aNow + aTime;
  ++m_refusals;
}

void SuspectedTrait::Refuse(Millis aNow)
{
  RefuseFor(aNow, NextRefusal(m_refusals));
  m_isOwnDecision = true;
}

void SuspectedTrait::RefuseAsReported(Millis aNow, const TraitRefusal& aRefusal)
{
  m_reportedCompanions = aRefusal.m_companions;
  m_lastCrashAt = std::max(m_lastCrashAt, aNow - aRefusal.m_crashAge);
  RefuseFor(aNow, std::min(aRefusal.m_remaining, kLongestRefusal));
}

void SuspectedTrait::EndRefusal()
{
  m_refusedUntil = Millis();
  m_isOwnDecision = false;
}

void SuspectedTrait::EndRefusalIfDue(Millis aNow, size_t aCrashesToRefuse)
{
  if (!IsRefused() || m_refusedUntil > aNow) {
    return;
  }
  EndRefusal();
  while (m_crashes.size() >= aCrashesToRefuse) {
    m_crashes.erase(m_crashes.begin());
  }
}

bool SuspectedTrait::IsExpired(Millis aNow) const
{
  if (m_refusedUntil > aNow) {
    return false;
  }
  const Millis lifetime = m_refusals > 0 ? kMemoryTime : kEvidenceLifetime;
  return m_crashes.empty() || aNow - m_lastCrashAt > lifetime;
}

} // namespace briarglade
