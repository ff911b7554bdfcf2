// Matches broken exchanges with crashed servers, and weighs crashes against
// survivals.

#include "briarglade/gateway/harm_detector.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "briarglade/base/erase_if.h"

namespace briarglade {

namespace {

// A broken exchange and the loss of its server belong together if they are at
// most this far apart.
constexpr Millis kMatchWindow = Millis(10'000);
// Crashes in one domain within this time have a common cause, such as a loss of
// power, and count as one.
constexpr Millis kSameCauseTime = Millis(300);
// A trait is refused after this many crashes.
constexpr size_t kCrashesToRefuse = 3;
// A crash counts against a shared trait only after this time, in which sound
// requests with the trait begin to be answered and survive.
constexpr Millis kSurvivalTime = Millis(800);
// Survivals of a trait with this many crashes are announced.
constexpr size_t kCrashesToAnnounce = 2;
// The shortest time between two objections to refusals by other nodes.
constexpr Millis kObjectionPeriod = Millis(1'000);
// Evidence expires after this long, and after a refusal after kMemoryTime.
constexpr Millis kEvidenceLifetime = Millis(600'000);
constexpr Millis kMemoryTime = Millis(172'800'000);
// The first refusal, and by how much each later one of the same trait is
// longer.
constexpr Millis kFirstRefusal = Millis(600'000);
constexpr int64_t kRefusalFactor = 6;
constexpr Millis kLongestRefusal = Millis(86'400'000);
// The period at which refusals are updated.
constexpr Millis kUpdatePeriod = Millis(200);
// In a larger fleet only about this many nodes announce a survival in the same
// period.
constexpr uint32_t kAnnouncersPerPeriod = 32;
// Refusals that are younger than this may still be corrected, and are not
// reported.
constexpr Millis kReportDelay = Millis(1'500);
// Maximum sizes.
constexpr size_t kMaxBrokenExchanges = 1'024;
constexpr size_t kMaxLosses = 1'024;
constexpr size_t kMaxSuspects = 1'024;
constexpr size_t kMaxCrashes = 16;
// All other traits of the longest request.
constexpr size_t kMaxCompanions = 64;
constexpr size_t kMaxReportedRefusals = 32;

template<typename Entry>
void Append(std::deque<Entry>& aEntries, Entry aEntry, size_t aMax)
{
  aEntries.push_back(std::move(aEntry));
  if (aEntries.size() > aMax) {
    aEntries.pop_front();
  }
}

template<typename Entry>
void DropOlderThan(std::deque<Entry>& aEntries, Millis aInstant)
{
  while (!aEntries.empty() && aEntries.front().m_at < aInstant) {
    aEntries.pop_front();
  }
}

bool Contains(const std::vector<RequestTrait>& aTraits,
              const RequestTrait& aTrait)
{
  return std::find(aTraits.begin(), aTraits.end(), aTrait) != aTraits.end();
}

// Returns whether a node has its turn, one of aTurns, in the current period.
bool IsTurn(Millis aNow, uint32_t aTurns, uint32_t aTurn)
{
  const auto period =
    static_cast<uint64_t>(aNow.Count() / kUpdatePeriod.Count());
  return (period + aTurn) % aTurns == 0;
}

// Returns the length of the refusal that follows a number of earlier ones.
Millis NextRefusal(uint32_t aEarlier)
{
  Millis time = kFirstRefusal;
  for (uint32_t i = 0; i < aEarlier && time < kLongestRefusal; ++i) {
    time = Millis(time.Count() * kRefusalFactor);
  }
  return std::min(time, kLongestRefusal);
}

// Returns whether two crashes have a common cause, such as a loss of power.
template<typename Crash>
bool HaveSameCause(const Crash& aOne, const Crash& aOther)
{
  const Millis distance =
    std::max(aOne.m_at, aOther.m_at) - std::min(aOne.m_at, aOther.m_at);
  return !aOne.m_domain.IsEmpty() && aOne.m_domain == aOther.m_domain &&
         distance < kSameCauseTime;
}

// Returns the companions that a trait had at each of the crashes.
template<typename Crash>
std::vector<RequestTrait> CommonCompanions(const std::vector<Crash>& aCrashes)
{
  std::vector<RequestTrait> common;
  if (aCrashes.empty()) {
    return common;
  }
  for (const RequestTrait& trait : aCrashes.front().m_companions) {
    const bool isCommon =
      std::all_of(aCrashes.begin(), aCrashes.end(), [&](const Crash& aCrash) {
        return Contains(aCrash.m_companions, trait);
      });
    if (isCommon) {
      common.push_back(trait);
    }
  }
  return common;
}

template<typename Crash>
bool HasCrashAt(const std::vector<Crash>& aCrashes, const ServerRun& aServer)
{
  return std::any_of(
    aCrashes.begin(), aCrashes.end(), [&](const Crash& aCrash) {
      return aCrash.m_server == aServer;
    });
}

} // namespace

bool HarmDetector::OnBroken(Millis aNow,
                            const std::vector<RequestTrait>& aTraits,
                            const ServerRun& aServer)
{
  BrokenExchange broken{ aNow, aServer, aTraits };
  const auto loss =
    std::find_if(m_losses.rbegin(), m_losses.rend(), [&](const Loss& aLoss) {
      return aLoss.m_server == aServer && aNow - aLoss.m_at <= kMatchWindow;
    });
  if (loss != m_losses.rend()) {
    Report(aNow, broken, *loss);
    UpdateRefusals(aNow);
    return false;
  }
  Append(m_brokenExchanges, std::move(broken), kMaxBrokenExchanges);
  return true;
}

void HarmDetector::OnServerLost(Millis aNow,
                                const ServerRun& aServer,
                                const DomainId& aDomain)
{
  const auto isSame = [&](const auto& aEntry) {
    return aEntry.m_server == aServer;
  };
  if (std::any_of(m_losses.begin(), m_losses.end(), isSame)) {
    return;
  }
  const Loss loss{ aNow, aServer, aDomain };
  Append(m_losses, loss, kMaxLosses);
  for (const BrokenExchange& broken : m_brokenExchanges) {
    if (isSame(broken) && aNow - broken.m_at <= kMatchWindow) {
      Report(aNow, broken, loss);
    }
  }
  OnServerAlive(aServer);
  UpdateRefusals(aNow);
}

void HarmDetector::OnServerAlive(const ServerRun& aServer)
{
  const auto isSame = [&](const BrokenExchange& aBroken) {
    return aBroken.m_server == aServer;
  };
  m_brokenExchanges.erase(
    std::remove_if(m_brokenExchanges.begin(), m_brokenExchanges.end(), isSame),
    m_brokenExchanges.end());
}

void HarmDetector::OnSurvived(Millis aAnswerBeganAt,
                              const std::vector<RequestTrait>& aTraits)
{
  for (const RequestTrait& trait : aTraits) {
    // A fingerprint rarely comes again.
    if (trait.m_kind == TraitKind::PromptPart) {
      m_survivals.Record(trait, aAnswerBeganAt);
    }
    const auto suspect = m_suspects.find(trait);
    if (suspect != m_suspects.end()) {
      suspect->second.m_survivedAt =
        std::max(suspect->second.m_survivedAt, aAnswerBeganAt);
    }
  }
}

void HarmDetector::OnEvidence(Millis aNow, const CrashEvidence& aEvidence)
{
  AddCrash(aNow, aEvidence);
  UpdateRefusals(aNow);
}

void HarmDetector::OnClearance(Millis aNow, const TraitClearance& aClearance)
{
  const Millis clearedAt = aNow - aClearance.m_age;
  const auto found = m_suspects.find(aClearance.m_trait);
  if (found == m_suspects.end()) {
    m_survivals.Record(aClearance.m_trait, clearedAt);
  } else {
    found->second.m_survivedAt =
      std::max(found->second.m_survivedAt, clearedAt);
    ClearUpTo(clearedAt, found->first, found->second);
  }
}

void HarmDetector::OnRefusal(Millis aNow, const TraitRefusal& aRefusal)
{
  const Millis crashedAt = aNow - aRefusal.m_crashAge;
  const Millis survivedAt = m_survivals.LastSurvival(aRefusal.m_trait);
  if (survivedAt > crashedAt) {
    // The other node missed the clearance.
    if (aNow - m_objectedAt >= kObjectionPeriod) {
      m_objectedAt = aNow;
      m_notices.m_clearances.push_back(
        TraitClearance{ aRefusal.m_trait, aNow - survivedAt });
    }
    return;
  }
  // A node that knows enough crashes decides by itself.
  const auto known = m_suspects.find(aRefusal.m_trait);
  const bool isKnown = known != m_suspects.end() &&
                       (known->second.m_crashes.size() >= kCrashesToRefuse ||
                        known->second.m_refusedUntil > aNow);
  if (isKnown || aRefusal.m_remaining <= Millis()) {
    return;
  }
  Suspect& suspect = FindOrAdd(aRefusal.m_trait);
  suspect.m_reportedCompanions = aRefusal.m_companions;
  suspect.m_lastCrashAt = std::max(suspect.m_lastCrashAt, crashedAt);
  Refuse(aNow,
         aRefusal.m_trait,
         suspect,
         std::min(aRefusal.m_remaining, kLongestRefusal));
}

// Reports a request that broke off at a crashed server to the other nodes.
void HarmDetector::Report(Millis aNow,
                          const BrokenExchange& aBroken,
                          const Loss& aLoss)
{
  CrashEvidence evidence;
  evidence.m_server = aLoss.m_server;
  evidence.m_domain = aLoss.m_domain;
  evidence.m_age = aNow - aBroken.m_at;
  evidence.m_traits = aBroken.m_traits;
  AddCrash(aNow, evidence);
  m_notices.m_evidence.push_back(std::move(evidence));
}

void HarmDetector::AddCrash(Millis aNow, const CrashEvidence& aEvidence)
{
  Crash crash;
  crash.m_at = CrashTime(aEvidence.m_server, aNow - aEvidence.m_age);
  crash.m_server = aEvidence.m_server;
  crash.m_domain = aEvidence.m_domain;
  for (const RequestTrait& trait : aEvidence.m_traits) {
    Suspect& suspect = FindOrAdd(trait);
    AddCrash(suspect, trait, crash, aEvidence.m_traits);
  }
}

// Returns when a server crashed: all evidence of a crash has the same time, as
// first reported.
Millis HarmDetector::CrashTime(const ServerRun& aServer, Millis aReported)
{
  const auto known = std::find_if(
    m_crashTimes.begin(), m_crashTimes.end(), [&](const CrashedServer& aCrash) {
      return aCrash.m_server == aServer;
    });
  if (known != m_crashTimes.end()) {
    return known->m_at;
  }
  Append(m_crashTimes, CrashedServer{ aReported, aServer }, kMaxLosses);
  return aReported;
}

void HarmDetector::AddCrash(Suspect& aSuspect,
                            const RequestTrait& aTrait,
                            const Crash& aCrash,
                            const std::vector<RequestTrait>& aTraits)
{
  std::vector<Crash>& crashes = aSuspect.m_crashes;
  auto same =
    std::find_if(crashes.begin(), crashes.end(), [&](const Crash& aKnown) {
      return aKnown.m_server == aCrash.m_server;
    });
  if (same == crashes.end()) {
    if (crashes.size() == kMaxCrashes) {
      crashes.erase(crashes.begin());
    }
    crashes.push_back(aCrash);
    same = std::prev(crashes.end());
  }
  aSuspect.m_lastCrashAt = std::max(aSuspect.m_lastCrashAt, aCrash.m_at);
  for (const RequestTrait& companion : aTraits) {
    if (same->m_companions.size() < kMaxCompanions && !(companion == aTrait) &&
        !Contains(same->m_companions, companion)) {
      same->m_companions.push_back(companion);
    }
  }
}

HarmDetector::Suspect& HarmDetector::FindOrAdd(const RequestTrait& aTrait)
{
  const auto known = m_suspects.find(aTrait);
  if (known != m_suspects.end()) {
    return known->second;
  }
  if (m_suspects.size() >= kMaxSuspects) {
    RemoveLeastSuspicious();
  }
  Suspect& suspect = m_suspects[aTrait];
  suspect.m_survivedAt = m_survivals.LastSurvival(aTrait);
  return suspect;
}

// Removes the suspect with the fewest crashes, and of these the one whose last
// crash is longest ago. Refused ones go last.
void HarmDetector::RemoveLeastSuspicious()
{
  const auto rank = [](const Suspect& aSuspect) {
    return std::make_tuple(aSuspect.m_refusedUntil,
                           aSuspect.m_crashes.size(),
                           aSuspect.m_lastCrashAt);
  };
  m_suspects.erase(std::min_element(m_suspects.begin(),
                                    m_suspects.end(),
                                    [&](const auto& aOne, const auto& aOther) {
                                      return rank(aOne.second) <
                                             rank(aOther.second);
                                    }));
}

// Returns the traits that explain the crashes as well as this one: those that
// were present at each of them and have not survived since.
std::vector<RequestTrait> HarmDetector::CompanionsOf(
  const Suspect& aSuspect) const
{
  const bool isReported =
    aSuspect.m_refusedUntil > Millis() && !aSuspect.m_isOwnDecision;
  std::vector<RequestTrait> companions = aSuspect.m_reportedCompanions;
  if (!isReported) {
    companions = CommonCompanions(aSuspect.m_crashes);
  }
  const auto isCleared = [&](const RequestTrait& aTrait) {
    const auto suspect = m_suspects.find(aTrait);
    return suspect == m_suspects.end() ||
           suspect->second.m_survivedAt >= suspect->second.m_lastCrashAt;
  };
  companions.erase(
    std::remove_if(companions.begin(), companions.end(), isCleared),
    companions.end());
  return companions;
}

// Returns the crashes that count against a trait: those between its last
// survival and aUntil, without those that have a common cause with another one.
std::vector<HarmDetector::Crash> HarmDetector::CrashesAgainst(
  Millis aUntil,
  const Suspect& aSuspect)
{
  std::vector<Crash> counted;
  for (const Crash& crash : aSuspect.m_crashes) {
    const bool hasSameCause =
      std::any_of(counted.begin(), counted.end(), [&](const Crash& aOther) {
        return HaveSameCause(crash, aOther);
      });
    if (crash.m_at > aSuspect.m_survivedAt && crash.m_at <= aUntil &&
        !hasSameCause) {
      counted.push_back(crash);
    }
  }
  return counted;
}

// Returns the suspects that have enough crashes up to aUntil against them, and
// those that this node has refused.
std::vector<HarmDetector::Candidate> HarmDetector::FindCandidates(Millis aUntil)
{
  std::vector<Candidate> candidates;
  for (auto& [trait, suspect] : m_suspects) {
    if (suspect.m_crashes.size() < kCrashesToRefuse &&
        !suspect.m_isOwnDecision) {
      continue;
    }
    std::vector<Crash> crashes = CrashesAgainst(aUntil, suspect);
    if (crashes.size() >= kCrashesToRefuse || suspect.m_isOwnDecision) {
      candidates.push_back(Candidate{
        trait, &suspect, std::move(crashes), CompanionsOf(suspect) });
    }
  }
  return candidates;
}

// Returns whether a trait explains those crashes of another one at which both
// were present. Either it is a part that never comes without the other one,
// which comes without it, too; or it is present at more crashes, and not only
// in the same requests.
bool HarmDetector::Explains(const Candidate& aOne, const Candidate& aOther)
{
  const bool isAlwaysWithOther = Contains(aOne.m_companions, aOther.m_trait);
  const bool isOtherAlwaysWithIt = Contains(aOther.m_companions, aOne.m_trait);
  if (isAlwaysWithOther || isOtherAlwaysWithIt) {
    return aOne.m_trait.m_kind == TraitKind::PromptPart && isAlwaysWithOther &&
           !isOtherAlwaysWithIt && aOne.m_crashes.size() >= kCrashesToRefuse;
  }
  return aOne.m_crashes.size() > aOther.m_crashes.size();
}

void HarmDetector::UpdateRefusals(Millis aNow)
{
  UpdateRefusals(aNow, TraitKind::Request, aNow);
  UpdateRefusals(aNow, TraitKind::PromptPart, aNow - kSurvivalTime);
}

// Refuses the traits of a kind that explain enough crashes, and no longer those
// whose crashes others explain better. All traits are compared by their crashes
// up to aUntil.
void HarmDetector::UpdateRefusals(Millis aNow, TraitKind aKind, Millis aUntil)
{
  const std::vector<Candidate> candidates = FindCandidates(aUntil);
  for (const Candidate& candidate : candidates) {
    if (candidate.m_trait.m_kind != aKind) {
      continue;
    }
    const auto isUnexplained = [&](const Crash& aCrash) {
      return std::none_of(
        candidates.begin(), candidates.end(), [&](const Candidate& aOther) {
          return !(aOther.m_trait == candidate.m_trait) &&
                 Explains(aOther, candidate) &&
                 HasCrashAt(aOther.m_crashes, aCrash.m_server);
        });
    };
    const auto unexplained = static_cast<size_t>(std::count_if(
      candidate.m_crashes.begin(), candidate.m_crashes.end(), isUnexplained));
    Suspect& suspect = *candidate.m_suspect;
    const bool isRefused = suspect.m_refusedUntil > Millis();
    if (!isRefused && unexplained >= kCrashesToRefuse) {
      Refuse(aNow, candidate.m_trait, suspect, NextRefusal(suspect.m_refusals));
      suspect.m_isOwnDecision = true;
    } else if (suspect.m_isOwnDecision && unexplained < kCrashesToRefuse) {
      EndRefusal(candidate.m_trait, suspect);
    }
  }
}

void HarmDetector::EndRefusal(const RequestTrait& aTrait, Suspect& aSuspect)
{
  aSuspect.m_refusedUntil = Millis();
  aSuspect.m_isOwnDecision = false;
  m_changes.push_back({ aTrait, false, 0 });
}

void HarmDetector::Refuse(Millis aNow,
                          const RequestTrait& aTrait,
                          Suspect& aSuspect,
                          Millis aTime)
{
  aSuspect.m_refusedSince = aNow;
  aSuspect.m_refusedUntil = aNow + aTime;
  ++aSuspect.m_refusals;
  m_changes.push_back({ aTrait, true, aSuspect.m_crashes.size() });
}

// Lets requests with the trait through after a refusal. One more crash refuses
// them again.
void HarmDetector::EndRefusalIfDue(Millis aNow, Suspect& aSuspect)
{
  if (aSuspect.m_refusedUntil == Millis() || aSuspect.m_refusedUntil > aNow) {
    return;
  }
  aSuspect.m_refusedUntil = Millis();
  aSuspect.m_isOwnDecision = false;
  std::vector<Crash>& crashes = aSuspect.m_crashes;
  while (crashes.size() >= kCrashesToRefuse) {
    crashes.erase(crashes.begin());
  }
}

// Removes the crashes up to a moment, and the refusal if none is left.
void HarmDetector::ClearUpTo(Millis aMoment,
                             const RequestTrait& aTrait,
                             Suspect& aSuspect)
{
  m_survivals.Record(aTrait, aMoment);
  std::vector<Crash>& crashes = aSuspect.m_crashes;
  crashes.erase(
    std::remove_if(crashes.begin(),
                   crashes.end(),
                   [&](const Crash& aCrash) { return aCrash.m_at <= aMoment; }),
    crashes.end());
  if (aSuspect.m_refusedUntil > Millis() && aMoment >= aSuspect.m_lastCrashAt) {
    EndRefusal(aTrait, aSuspect);
  }
}

bool HarmDetector::IsExpired(Millis aNow, const Suspect& aSuspect)
{
  if (aSuspect.m_refusedUntil > aNow) {
    return false;
  }
  const Millis lifetime =
    aSuspect.m_refusals > 0 ? kMemoryTime : kEvidenceLifetime;
  return aSuspect.m_crashes.empty() || aNow - aSuspect.m_lastCrashAt > lifetime;
}

void HarmDetector::Tick(Millis aNow, uint32_t aNodes, uint32_t aTurn)
{
  if (aNow - m_updatedAt < kUpdatePeriod) {
    return;
  }
  m_updatedAt = aNow;
  DropOlderThan(m_brokenExchanges, aNow - kMatchWindow);
  DropOlderThan(m_losses, aNow - kMatchWindow);
  DropOlderThan(m_crashTimes, aNow - kMatchWindow);
  m_survivals.Expire(aNow);
  UpdateRefusals(aNow);
  AnnounceSurvivals(aNow,
                    IsTurn(aNow, aNodes / kAnnouncersPerPeriod + 1, aTurn));
  EraseIf(m_suspects,
          [&](const auto& aEntry) { return IsExpired(aNow, aEntry.second); });
}

// Announces survivals of the traits that other nodes may be about to refuse.
void HarmDetector::AnnounceSurvivals(Millis aNow, bool aIsTurn)
{
  for (auto& [trait, suspect] : m_suspects) {
    EndRefusalIfDue(aNow, suspect);
    const bool isSuspected =
      suspect.m_crashes.size() >= kCrashesToAnnounce &&
      suspect.m_survivedAt > suspect.m_crashes.front().m_at;
    const bool isRefused = suspect.m_refusedUntil > Millis() &&
                           suspect.m_survivedAt > suspect.m_lastCrashAt;
    if (aIsTurn && (isSuspected || isRefused)) {
      m_notices.m_clearances.push_back(
        TraitClearance{ trait, aNow - suspect.m_survivedAt });
      ClearUpTo(suspect.m_survivedAt, trait, suspect);
    }
  }
}

Millis HarmDetector::RefusedFor(Millis aNow,
                                const std::vector<RequestTrait>& aTraits) const
{
  for (const RequestTrait& trait : aTraits) {
    const auto found = m_suspects.find(trait);
    if (found == m_suspects.end() || found->second.m_refusedUntil <= aNow) {
      continue;
    }
    const std::vector<RequestTrait> companions = CompanionsOf(found->second);
    const bool hasAll = std::all_of(
      companions.begin(), companions.end(), [&](const RequestTrait& aOther) {
        return Contains(aTraits, aOther);
      });
    if (hasAll) {
      return found->second.m_refusedUntil - aNow;
    }
  }
  return Millis();
}

std::vector<TraitRefusal> HarmDetector::Refusals(Millis aNow) const
{
  std::vector<TraitRefusal> refusals;
  for (const auto& [trait, suspect] : m_suspects) {
    if (suspect.m_refusedUntil > aNow &&
        aNow - suspect.m_refusedSince >= kReportDelay) {
      refusals.push_back(TraitRefusal{ trait,
                                       CompanionsOf(suspect),
                                       aNow - suspect.m_lastCrashAt,
                                       suspect.m_refusedUntil - aNow });
    }
  }
  std::sort(refusals.begin(),
            refusals.end(),
            [](const TraitRefusal& aOne, const TraitRefusal& aOther) {
              return aOne.m_crashAge < aOther.m_crashAge;
            });
  refusals.resize(std::min(refusals.size(), kMaxReportedRefusals));
  return refusals;
}

size_t HarmDetector::RefusedCount(Millis aNow) const
{
  return static_cast<size_t>(std::count_if(
    m_suspects.begin(), m_suspects.end(), [&](const auto& aEntry) {
      return aEntry.second.m_refusedUntil > aNow;
    }));
}

HarmNotices HarmDetector::TakeNotices()
{
  return std::exchange(m_notices, HarmNotices());
}

std::vector<RefusalChange> HarmDetector::TakeChanges()
{
  return std::exchange(m_changes, {});
}

} // namespace briarglade
