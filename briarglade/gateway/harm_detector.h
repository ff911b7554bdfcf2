// Detects harmful requests: those that crash the backend servers that begin to
// answer them. A harmful request is recognized by a trait: its fingerprint, if
// the same request comes again, or a part of its prompt that it shares with
// other harmful requests.
//
// Each request that breaks off at a crashed server before it has been answered
// for kProofTime is evidence against its traits. Most such requests are
// bystanders. Their traits survive elsewhere, which clears them; the traits of
// the culprit never survive. A trait is refused after some crashes without a
// survival in between, unless other traits explain these crashes better: one
// that was present at more crashes, or that some of the requests with this
// trait have and that crashes servers with it.
//
// Sound requests share some traits with harmful ones. Traits that were present
// at the same crashes, in the same requests, explain them equally well, so only
// requests that have all of them are refused. Each of these traits that
// survives without the others is cleared.
//
// Example:
//   detector.OnBroken(now, traits, server);
//   detector.OnServerLost(now, server, domain);
//   detector.Tick(now, nodes, turn);
//   if (detector.RefusedFor(now, traits) > Millis()) { Refuse(); }

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/gateway/crash_evidence.h"
#include "briarglade/gateway/crash_matcher.h"
#include "briarglade/gateway/survival_log.h"
#include "briarglade/gateway/suspected_trait.h"

namespace briarglade {

// What the other nodes must learn.
struct HarmNotices
{
  std::vector<CrashEvidence> m_evidence;
  std::vector<TraitClearance> m_clearances;

  bool IsEmpty() const { return m_evidence.empty() && m_clearances.empty(); }
};

// A trait that is refused from now on, or no longer.
struct RefusalChange
{
  RequestTrait m_trait;
  bool m_isRefused = false;
  // The number of crashes that this node knows of; zero if it was told of the
  // refusal.
  size_t m_crashes = 0;
};

class HarmDetector
{
public:
  // A server that has answered a request for this long did not crash because of
  // it.
  static constexpr Millis kProofTime = Millis(500);

  // Records that a server broke off an exchange that it had not answered for
  // kProofTime. Returns whether it is unknown if the server still runs.
  bool OnBroken(Millis aNow,
                const std::vector<RequestTrait>& aTraits,
                const ServerRun& aServer);
  // Records that a run of a server has ended without a planned shutdown.
  void OnServerLost(Millis aNow,
                    const ServerRun& aServer,
                    const DomainId& aDomain);
  // Records that a server still runs: its broken exchanges are no evidence.
  void OnServerAlive(const ServerRun& aServer);
  // Records that a request with these traits has been answered for kProofTime,
  // or completely.
  void OnSurvived(Millis aAnswerBeganAt,
                  const std::vector<RequestTrait>& aTraits);

  // Apply what other nodes report.
  void OnEvidence(Millis aNow, const CrashEvidence& aEvidence);
  void OnClearance(Millis aNow, const TraitClearance& aClearance);
  void OnRefusal(Millis aNow, const TraitRefusal& aRefusal);

  // Refuses and clears traits and removes expired entries. In a fleet of many
  // nodes each announces clearances in its turn only; aTurn differs between
  // nodes.
  void Tick(Millis aNow, uint32_t aNodes, uint32_t aTurn);

  // Returns how much longer requests with these traits are refused; zero if
  // they are not.
  Millis RefusedFor(Millis aNow,
                    const std::vector<RequestTrait>& aTraits) const;
  // Returns the latest refusals in force, a bounded number.
  std::vector<TraitRefusal> Refusals(Millis aNow) const;
  // Return the number of traits with evidence against them, and of those that
  // are refused.
  size_t SuspectCount() const { return m_suspects.size(); }
  size_t RefusedCount(Millis aNow) const;
  // Returns and removes what is to be sent to the other nodes.
  HarmNotices TakeNotices();
  // Returns and removes the changes since the last call.
  std::vector<RefusalChange> TakeChanges();

private:
  struct CrashedServer
  {
    Millis m_at;
    ServerRun m_server;
  };
  // A suspect with enough crashes against it to be refused.
  struct Candidate
  {
    RequestTrait m_trait;
    SuspectedTrait* m_suspect = nullptr;
    std::vector<TraitCrash> m_crashes;
    std::vector<RequestTrait> m_companions;
  };

  void Report(Millis aNow, CrashEvidence aEvidence);
  void AddCrash(Millis aNow, const CrashEvidence& aEvidence);
  Millis CrashTime(const ServerRun& aServer, Millis aReported);
  void RecordSurvival(SuspectedTrait& aSuspect, Millis aAt);
  SuspectedTrait& FindOrAdd(const RequestTrait& aTrait);
  void RemoveLeastSuspicious();
  std::vector<RequestTrait> CompanionsOf(const SuspectedTrait& aSuspect) const;
  std::vector<Candidate> FindCandidates(Millis aUntil);
  static bool Explains(const Candidate& aOne, const Candidate& aOther);
  static size_t CountUnexplained(const Candidate& aCandidate,
                                 const std::vector<Candidate>& aAll);
  void UpdateRefusals(Millis aNow);
  void UpdateRefusals(Millis aNow, TraitKind aKind, Millis aUntil);
  void EndRefusal(const RequestTrait& aTrait, SuspectedTrait& aSuspect);
  void AnnounceSurvivals(Millis aNow, bool aIsTurn);
  void ClearUpTo(Millis aMoment,
                 const RequestTrait& aTrait,
                 SuspectedTrait& aSuspect);

  CrashMatcher m_matcher;
  std::deque<CrashedServer> m_crashTimes;
  std::map<RequestTrait, SuspectedTrait> m_suspects;
  // When prompt parts last survived here, or were cleared by another node.
  SurvivalLog m_survivals;
  Millis m_updatedAt;
  // Whether evidence has changed since the last tick, and when it last had.
  bool m_isChanged = false;
  Millis m_changedAt;
  Millis m_objectedAt;
  HarmNotices m_notices;
  std::vector<RefusalChange> m_changes;
};

} // namespace briarglade
