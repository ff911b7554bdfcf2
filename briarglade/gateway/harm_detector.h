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
#include "briarglade/gateway/survival_log.h"

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
  struct BrokenExchange
  {
    Millis m_at;
    ServerRun m_server;
    std::vector<RequestTrait> m_traits;
  };
  struct Loss
  {
    Millis m_at;
    ServerRun m_server;
    DomainId m_domain;
  };
  struct CrashedServer
  {
    Millis m_at;
    ServerRun m_server;
  };
  // A crash at which a trait was present.
  struct Crash
  {
    Millis m_at;
    ServerRun m_server;
    DomainId m_domain;
    // The traits that some request had there together with this one, in order.
    std::vector<RequestTrait> m_companions;
  };
  struct Suspect
  {
    std::vector<Crash> m_crashes;
    // Traits present at all crashes, as the node reported that refused it; used
    // unless this node decided by itself.
    std::vector<RequestTrait> m_reportedCompanions;
    Millis m_lastCrashAt;
    // When a request with the trait last began to be answered and survived.
    Millis m_survivedAt;
    Millis m_refusedSince;
    // Zero if it isn't refused.
    Millis m_refusedUntil;
    uint32_t m_refusals = 0;
    // Whether this node refused it because of the crashes that it knows.
    bool m_isOwnDecision = false;
  };
  // A suspect with enough crashes against it to be refused.
  struct Candidate
  {
    RequestTrait m_trait;
    Suspect* m_suspect = nullptr;
    std::vector<Crash> m_crashes;
    std::vector<RequestTrait> m_companions;
  };

  void AddCrash(Millis aNow, const CrashEvidence& aEvidence);
  Millis CrashTime(const ServerRun& aServer, Millis aReported);
  void AddCrash(Suspect& aSuspect,
                const RequestTrait& aTrait,
                const Crash& aCrash,
                const std::vector<RequestTrait>& aTraits);
  Suspect& FindOrAdd(const RequestTrait& aTrait);
  void RemoveLeastSuspicious();
  void Report(Millis aNow, const BrokenExchange& aBroken, const Loss& aLoss);
  std::vector<RequestTrait> CompanionsOf(const Suspect& aSuspect) const;
  static std::vector<Crash> CrashesAgainst(Millis aUntil,
                                           const Suspect& aSuspect);
  std::vector<Candidate> FindCandidates(Millis aUntil);
  static bool Explains(const Candidate& aOne, const Candidate& aOther);
  void UpdateRefusals(Millis aNow);
  void UpdateRefusals(Millis aNow, TraitKind aKind, Millis aUntil);
  void EndRefusal(const RequestTrait& aTrait, Suspect& aSuspect);
  void AnnounceSurvivals(Millis aNow, bool aIsTurn);
  void Refuse(Millis aNow,
              const RequestTrait& aTrait,
              Suspect& aSuspect,
              Millis aTime);
  void EndRefusalIfDue(Millis aNow, Suspect& aSuspect);
  void ClearUpTo(Millis aMoment, const RequestTrait& aTrait, Suspect& aSuspect);
  static bool IsExpired(Millis aNow, const Suspect& aSuspect);

  std::deque<BrokenExchange> m_brokenExchanges;
  std::deque<Loss> m_losses;
  std::deque<CrashedServer> m_crashTimes;
  std::map<RequestTrait, Suspect> m_suspects;
  // When prompt parts last survived here, or were cleared by another node.
  SurvivalLog m_survivals;
  Millis m_updatedAt;
  Millis m_objectedAt;
  HarmNotices m_notices;
  std::vector<RefusalChange> m_changes;
};

} // namespace briarglade
