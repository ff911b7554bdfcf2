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

bool Contains(const std::vector<RequestTrait>& aSorted,
              const RequestTrait& aTrait)
{
  return std::binary_search(aSorted.begin(), aSorted.end(), aTrait);
}

// Returns whether a request of a crash has a trait.
bool HasTrait(const TraitCrash& aCrash, const RequestTrait& aTrait)
{
  return std::any_of(
    aCrash.m_requests.begin(),
    aCrash.m_requests.end(),
    [&](const SharedTraits& aRequest) { return Contains(*aRequest, aTrait); });
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

} // namespace

void SuspectedTrait::RecordCrash(const TraitCrash& aCrash,
                                 const SharedTraits& aRequest)
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
  m_commonCompanions.reset();
  m_lastCrashAt = std::max(m_lastCrashAt, aCrash.m_at);
  if (same->m_requests.size() < kMaxRequests) {
    same->m_requests.push_back(aRequest);
  }
}

// Returns the traits that some request with this one had at each of the
// crashes.
std::vector<RequestTrait> SuspectedTrait::FindCommonCompanions() const
{
  std::vector<RequestTrait> common;
  if (m_crashes.empty()) {
    return common;
  }
  for (const SharedTraits& request : m_crashes.front().m_requests) {
    common.insert(common.end(), request->begin(), request->end());
  }
  std::sort(common.begin(), common.end());
  common.erase(std::unique(common.begin(), common.end()), common.end());
  const auto isMissing = [this](const RequestTrait& aTrait) {
    const auto hasIt = [&](const TraitCrash& aCrash) {
      return HasTrait(aCrash, aTrait);
    };
    return aTrait == m_trait ||
           !std::all_of(m_crashes.begin(), m_crashes.end(), hasIt);
  };
  common.erase(std::remove_if(common.begin(), common.end(), isMissing),
               common.end());
  return common;
}

void SuspectedTrait::RecordSurvival(Millis aAt)
{
  m_survivedAt = std::max(m_survivedAt, aAt);
}

void SuspectedTrait::RemoveCrashes(Millis aUntil)
{
  m_commonCompanions.reset();
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
  if (IsRefused() && !m_isOwnDecision) {
    return m_reportedCompanions;
  }
  if (!m_commonCompanions) {
    m_commonCompanions = FindCommonCompanions();
  }
  return *m_commonCompanions;
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
  std::sort(m_reportedCompanions.begin(), m_reportedCompanions.end());
  m_lastCrashAt = std::max(m_lastCrashAt, aNow - aRefusal.m_crashAge);
  RefuseFor(aNow, std::min(aRefusal.m_remaining, kLongestRefusal));
}

void SuspectedTrait::EndRefusal()
{
  m_refusedUntil = Millis();
  m_isOwnDecision = false;
}

bool SuspectedTrait::EndRefusalIfDue(Millis aNow, size_t aCrashesToRefuse)
{
  if (!IsRefused() || m_refusedUntil > aNow) {
    return false;
  }
  EndRefusal();
  m_commonCompanions.reset();
  while (m_crashes.size() >= aCrashesToRefuse) {
    m_crashes.erase(m_crashes.begin());
  }
  return true;
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
