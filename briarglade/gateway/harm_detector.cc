// Weighs crashes against survivals, and decides which traits are refused.

#include "briarglade/gateway/harm_detector.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <tuple>
#include <utility>

#include "briarglade/base/erase_if.h"
#include "briarglade/gateway/internal/bounded_deque.h"

namespace briarglade {

namespace {

// A trait is refused after this many crashes.
constexpr size_t kCrashesToRefuse = 3;
// A crash counts against a shared trait only after this time, in which sound
// requests with the trait begin to be answered and survive.
constexpr Millis kSurvivalTime = Millis(800);
// Survivals of a trait with this many crashes are announced.
constexpr size_t kCrashesToAnnounce = 2;
// The shortest time between two objections to refusals by other nodes.
constexpr Millis kObjectionPeriod = Millis(1'000);
// The period at which refusals are updated.
constexpr Millis kUpdatePeriod = Millis(200);
// In a larger fleet only about this many nodes announce a survival in the same
// period.
constexpr uint32_t kAnnouncersPerPeriod = 32;
// Refusals that are younger than this may still be corrected, and are not
// reported.
constexpr Millis kReportDelay = Millis(1'500);
// Maximum sizes.
constexpr size_t kMaxSuspects = 1'024;
constexpr size_t kMaxReportedRefusals = 32;

bool Contains(const std::vector<RequestTrait>& aTraits,
              const RequestTrait& aTrait)
{
  return std::find(aTraits.begin(), aTraits.end(), aTrait) != aTraits.end();
}

bool IsAmong(const std::vector<RequestTrait>& aSorted,
             const RequestTrait& aTrait)
{
  return std::binary_search(aSorted.begin(), aSorted.end(), aTrait);
}

// Returns whether a node has its turn, one of aTurns, in the current period.
bool IsTurn(Millis aNow, uint32_t aTurns, uint32_t aTurn)
{
  const auto period =
    static_cast<uint64_t>(aNow.Count() / kUpdatePeriod.Count());
  return (period + aTurn) % aTurns == 0;
}

bool HasCrashAt(const std::vector<TraitCrash>& aCrashes,
                const ServerRun& aServer)
{
  return std::any_of(
    aCrashes.begin(), aCrashes.end(), [&](const TraitCrash& aCrash) {
      return aCrash.m_server == aServer;
    });
}

} // namespace

bool HarmDetector::OnBroken(Millis aNow,
                            const std::vector<RequestTrait>& aTraits,
                            const ServerRun& aServer)
{
  std::optional<CrashEvidence> evidence =
    m_matcher.OnBroken(aNow, aTraits, aServer);
  if (!evidence) {
    return true;
  }
  Report(aNow, std::move(*evidence));
  return false;
}

void HarmDetector::OnServerLost(Millis aNow,
                                const ServerRun& aServer,
                                const DomainId& aDomain)
{
  for (CrashEvidence& evidence :
       m_matcher.OnServerLost(aNow, aServer, aDomain)) {
    Report(aNow, std::move(evidence));
  }
}

void HarmDetector::OnServerAlive(const ServerRun& aServer)
{
  m_matcher.OnServerAlive(aServer);
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
      RecordSurvival(suspect->second, aAnswerBeganAt);
    }
  }
}

void HarmDetector::RecordSurvival(SuspectedTrait& aSuspect, Millis aAt)
{
  const bool hasCrashedSince = aSuspect.SurvivedAt() < aSuspect.LastCrashAt();
  m_isChanged = m_isChanged || hasCrashedSince;
  aSuspect.RecordSurvival(aAt);
}

void HarmDetector::OnEvidence(Millis aNow, const CrashEvidence& aEvidence)
{
  AddCrash(aNow, aEvidence);
}

void HarmDetector::OnClearance(Millis aNow, const TraitClearance& aClearance)
{
  const Millis clearedAt = aNow - aClearance.m_age;
  const auto found = m_suspects.find(aClearance.m_trait);
  if (found == m_suspects.end()) {
    m_survivals.Record(aClearance.m_trait, clearedAt);
  } else {
    RecordSurvival(found->second, clearedAt);
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
                       (known->second.Crashes().size() >= kCrashesToRefuse ||
                        known->second.RefusedUntil() > aNow);
  if (isKnown || aRefusal.m_remaining <= Millis()) {
    return;
  }
  SuspectedTrait& suspect = FindOrAdd(aRefusal.m_trait);
  suspect.RefuseAsReported(aNow, aRefusal);
  m_changes.push_back({ aRefusal.m_trait, true, suspect.Crashes().size() });
}

// Records evidence that this node found, and reports it to the other nodes.
void HarmDetector::Report(Millis aNow, CrashEvidence aEvidence)
{
  AddCrash(aNow, aEvidence);
  m_notices.m_evidence.push_back(std::move(aEvidence));
}

void HarmDetector::AddCrash(Millis aNow, const CrashEvidence& aEvidence)
{
  TraitCrash crash;
  crash.m_at = CrashTime(aEvidence.m_server, aNow - aEvidence.m_age);
  crash.m_server = aEvidence.m_server;
  crash.m_domain = aEvidence.m_domain;
  std::vector<RequestTrait> sorted = aEvidence.m_traits;
  std::sort(sorted.begin(), sorted.end());
  const auto request =
    std::make_shared<const std::vector<RequestTrait>>(std::move(sorted));
  m_isChanged = true;
  bool isUrgent = false;
  for (const RequestTrait& trait : aEvidence.m_traits) {
    SuspectedTrait& suspect = FindOrAdd(trait);
    suspect.RecordCrash(crash, request);
    const bool isRepeated = trait.m_kind == TraitKind::Request &&
                            suspect.Crashes().size() >= kCrashesToRefuse;
    isUrgent = isUrgent || isRepeated || suspect.IsRefusedHere();
  }
  // A request that comes again is refused at once, and a refusal that the crash
  // contradicts ends at once. Parts are refused at the next tick.
  if (isUrgent) {
    UpdateRefusals(aNow);
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
  internal::AppendBounded(m_crashTimes,
                          CrashedServer{ aReported, aServer },
                          CrashMatcher::kMaxEntries);
  return aReported;
}

SuspectedTrait& HarmDetector::FindOrAdd(const RequestTrait& aTrait)
{
  const auto known = m_suspects.find(aTrait);
  if (known != m_suspects.end()) {
    return known->second;
  }
  if (m_suspects.size() >= kMaxSuspects) {
    RemoveLeastSuspicious();
  }
  const SuspectedTrait suspect(aTrait, m_survivals.LastSurvival(aTrait));
  return m_suspects.emplace(aTrait, suspect).first->second;
}

// Removes the suspect with the fewest crashes, and of these the one whose last
// crash is longest ago. Refused ones go last.
void HarmDetector::RemoveLeastSuspicious()
{
  const auto rank = [](const SuspectedTrait& aSuspect) {
    return std::make_tuple(aSuspect.RefusedUntil(),
                           aSuspect.Crashes().size(),
                           aSuspect.LastCrashAt());
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
  const SuspectedTrait& aSuspect) const
{
  std::vector<RequestTrait> companions = aSuspect.Companions();
  const bool isReported = aSuspect.IsRefused() && !aSuspect.IsRefusedHere();
  const auto isCleared = [&](const RequestTrait& aTrait) {
    const auto suspect = m_suspects.find(aTrait);
    if (suspect != m_suspects.end()) {
      return suspect->second.SurvivedAt() >= suspect->second.LastCrashAt();
    }
    // The node that reported the refusal may not have reported this trait's.
    return !isReported ||
           m_survivals.LastSurvival(aTrait) >= aSuspect.LastCrashAt();
  };
  companions.erase(
    std::remove_if(companions.begin(), companions.end(), isCleared),
    companions.end());
  return companions;
}

// Returns the suspects that have enough crashes up to aUntil against them, and
// those that this node has refused.
std::vector<HarmDetector::Candidate> HarmDetector::FindCandidates(Millis aUntil)
{
  std::vector<Candidate> candidates;
  for (auto& [trait, suspect] : m_suspects) {
    if (suspect.Crashes().size() < kCrashesToRefuse &&
        !suspect.IsRefusedHere()) {
      continue;
    }
    std::vector<TraitCrash> crashes = suspect.CrashesAgainst(aUntil);
    if (crashes.size() >= kCrashesToRefuse || suspect.IsRefusedHere()) {
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
  const bool isAlwaysWithOther = IsAmong(aOne.m_companions, aOther.m_trait);
  const bool isOtherAlwaysWithIt = IsAmong(aOther.m_companions, aOne.m_trait);
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

// Returns the number of a candidate's crashes that no other one explains.
size_t HarmDetector::CountUnexplained(const Candidate& aCandidate,
                                      const std::vector<Candidate>& aAll)
{
  std::vector<const Candidate*> better;
  for (const Candidate& other : aAll) {
    if (!(other.m_trait == aCandidate.m_trait) && Explains(other, aCandidate)) {
      better.push_back(&other);
    }
  }
  const auto isUnexplained = [&](const TraitCrash& aCrash) {
    return std::none_of(better.begin(), better.end(), [&](const auto* aOther) {
      return HasCrashAt(aOther->m_crashes, aCrash.m_server);
    });
  };
  return static_cast<size_t>(std::count_if(
    aCandidate.m_crashes.begin(), aCandidate.m_crashes.end(), isUnexplained));
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
    const bool isHarmful =
      CountUnexplained(candidate, candidates) >= kCrashesToRefuse;
    SuspectedTrait& suspect = *candidate.m_suspect;
    if (!suspect.IsRefused() && isHarmful) {
      suspect.Refuse(aNow);
      m_changes.push_back(
        { candidate.m_trait, true, suspect.Crashes().size() });
    } else if (suspect.IsRefusedHere() && !isHarmful) {
      EndRefusal(candidate.m_trait, suspect);
    }
  }
}

void HarmDetector::EndRefusal(const RequestTrait& aTrait,
                              SuspectedTrait& aSuspect)
{
  aSuspect.EndRefusal();
  m_changes.push_back({ aTrait, false, 0 });
}

// Removes the crashes up to a moment, and the refusal if none is left.
void HarmDetector::ClearUpTo(Millis aMoment,
                             const RequestTrait& aTrait,
                             SuspectedTrait& aSuspect)
{
  m_survivals.Record(aTrait, aMoment);
  aSuspect.RemoveCrashes(aMoment);
  if (aSuspect.IsRefused() && aMoment >= aSuspect.LastCrashAt()) {
    EndRefusal(aTrait, aSuspect);
  }
}

void HarmDetector::Tick(Millis aNow, uint32_t aNodes, uint32_t aTurn)
{
  if (aNow - m_updatedAt < kUpdatePeriod) {
    return;
  }
  m_updatedAt = aNow;
  m_matcher.Expire(aNow);
  internal::DropOlderThan(m_crashTimes, aNow - CrashMatcher::kMatchWindow);
  m_survivals.Expire(aNow);
  if (std::exchange(m_isChanged, false)) {
    m_changedAt = aNow;
  }
  // A crash counts against a part only after some time.
  if (aNow - m_changedAt <= kSurvivalTime + kUpdatePeriod) {
    UpdateRefusals(aNow);
  }
  AnnounceSurvivals(aNow,
                    IsTurn(aNow, aNodes / kAnnouncersPerPeriod + 1, aTurn));
  EraseIf(m_suspects,
          [&](const auto& aEntry) { return aEntry.second.IsExpired(aNow); });
}

// Announces survivals of the traits that other nodes may be about to refuse.
void HarmDetector::AnnounceSurvivals(Millis aNow, bool aIsTurn)
{
  for (auto& [trait, suspect] : m_suspects) {
    if (suspect.EndRefusalIfDue(aNow, kCrashesToRefuse)) {
      m_changes.push_back({ trait, false, 0 });
    }
    const Millis survivedAt = suspect.SurvivedAt();
    const bool isSuspected = suspect.Crashes().size() >= kCrashesToAnnounce &&
                             survivedAt > suspect.Crashes().front().m_at;
    const bool isWronglyRefused =
      suspect.IsRefused() && survivedAt > suspect.LastCrashAt();
    if (aIsTurn && (isSuspected || isWronglyRefused)) {
      m_notices.m_clearances.push_back(
        TraitClearance{ trait, aNow - survivedAt });
      ClearUpTo(survivedAt, trait, suspect);
    }
  }
}

Millis HarmDetector::RefusedFor(Millis aNow,
                                const std::vector<RequestTrait>& aTraits) const
{
  for (const RequestTrait& trait : aTraits) {
    const auto found = m_suspects.find(trait);
    if (found == m_suspects.end() || found->second.RefusedUntil() <= aNow) {
      continue;
    }
    const std::vector<RequestTrait> companions = CompanionsOf(found->second);
    const bool hasAll = std::all_of(
      companions.begin(), companions.end(), [&](const RequestTrait& aOther) {
        return Contains(aTraits, aOther);
      });
    if (hasAll) {
      return found->second.RefusedUntil() - aNow;
    }
  }
  return Millis();
}

std::vector<TraitRefusal> HarmDetector::Refusals(Millis aNow) const
{
  std::vector<TraitRefusal> refusals;
  for (const auto& [trait, suspect] : m_suspects) {
    if (suspect.RefusedUntil() > aNow &&
        aNow - suspect.RefusedSince() >= kReportDelay) {
      refusals.push_back(TraitRefusal{ trait,
                                       CompanionsOf(suspect),
                                       aNow - suspect.LastCrashAt(),
                                       suspect.RefusedUntil() - aNow });
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
      return aEntry.second.RefusedUntil() > aNow;
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
