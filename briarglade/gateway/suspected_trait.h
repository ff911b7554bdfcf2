// What a node knows of a trait that was present at crashes of servers: the
// crashes, its last survival, and whether requests with it are refused.
//
// Example:
//   SuspectedTrait suspect(trait, lastSurvival);
//   suspect.RecordCrash(crash, request);
//   if (suspect.CrashesAgainst(now).size() >= kCrashesToRefuse) {
//     suspect.Refuse(now);
//   }

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/gateway/crash_evidence.h"
#include "briarglade/gateway/server_run.h"

namespace briarglade {

// All traits of one request, sorted. Shared, as each of them is suspected.
using SharedTraits = std::shared_ptr<const std::vector<RequestTrait>>;

// A crash at which a trait was present.
struct TraitCrash
{
  Millis m_at;
  ServerRun m_server;
  DomainId m_domain;
  // The requests with the trait that the server had then.
  std::vector<SharedTraits> m_requests;
};

class SuspectedTrait
{
public:
  // The number of crashes that are kept at most.
  static constexpr size_t kMaxCrashes = 16;
  // The number of requests that are kept of a crash at most.
  static constexpr size_t kMaxRequests = 16;
  // The longest refusal.
  static constexpr Millis kLongestRefusal = Millis(86'400'000);

  SuspectedTrait(const RequestTrait& aTrait, Millis aSurvivedAt)
    : m_trait(aTrait)
    , m_survivedAt(aSurvivedAt)
  {
  }

  // Records a crash, and one of the requests that had the trait there.
  void RecordCrash(const TraitCrash& aCrash, const SharedTraits& aRequest);
  // Records when a request with the trait that survived began to be answered.
  void RecordSurvival(Millis aAt);
  // Removes the crashes up to a moment.
  void RemoveCrashes(Millis aUntil);

  // Returns the crashes that count against the trait: those between its last
  // survival and aUntil, without those that have a common cause with another
  // one.
  std::vector<TraitCrash> CrashesAgainst(Millis aUntil) const;
  // Returns the traits that were present at all of its crashes, as this node
  // knows them or, if the refusal was reported to it, as reported. Sorted.
  std::vector<RequestTrait> Companions() const;

  // Refuses the trait by this node's own decision; each time for longer.
  void Refuse(Millis aNow);
  // Refuses the trait as another node reported.
  void RefuseAsReported(Millis aNow, const TraitRefusal& aRefusal);
  void EndRefusal();
  // Ends a refusal whose time is over. One more crash refuses the trait again.
  // Returns whether one ended.
  bool EndRefusalIfDue(Millis aNow, size_t aCrashesToRefuse);

  // Returns whether no refusal is in force and the evidence is too old.
  bool IsExpired(Millis aNow) const;
  bool IsRefused() const { return m_refusedUntil > Millis(); }
  // Returns whether this node refused the trait because of the crashes that it
  // knows.
  bool IsRefusedHere() const { return m_isOwnDecision; }
  Millis RefusedSince() const { return m_refusedSince; }
  // Zero if it isn't refused.
  Millis RefusedUntil() const { return m_refusedUntil; }
  Millis SurvivedAt() const { return m_survivedAt; }
  Millis LastCrashAt() const { return m_lastCrashAt; }
  const std::vector<TraitCrash>& Crashes() const { return m_crashes; }

private:
  std::vector<RequestTrait> FindCommonCompanions() const;
  void RefuseFor(Millis aNow, Millis aTime);

  RequestTrait m_trait;
  std::vector<TraitCrash> m_crashes;
  std::vector<RequestTrait> m_reportedCompanions;
  // The traits that were present at all of m_crashes; none: not worked out yet.
  mutable std::optional<std::vector<RequestTrait>> m_commonCompanions;
  Millis m_lastCrashAt;
  Millis m_survivedAt;
  Millis m_refusedSince;
  Millis m_refusedUntil;
  uint32_t m_refusals = 0;
  bool m_isOwnDecision = false;
};

} // namespace briarglade
