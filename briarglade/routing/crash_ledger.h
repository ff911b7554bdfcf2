// Finds requests that take backend servers down. Evidence against a request is
// a strike: a group was lost (a member's presence or the leader's boot id) and
// an exchange with the request broke there, at about the same time. Two strikes
// from different groups convict it: every node refuses it for a while. Losses
// of many groups of one domain or zone at once are an outage, not evidence.
//
// Example:
//   ledger.NoteBroken(now, fingerprint, group);
//   ledger.NoteLoss(now, CrashSite{ group, boot, domain }, groupsInDomain);
//   for (const CrashNotice& notice : ledger.TakeNotices()) { Send(notice); }
//   if (ledger.RefusedFor(now, fingerprint) > Millis()) { Refuse(); }

#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/routing/crash_notice.h"

namespace briarglade {

// A group that was lost, and the boot of its leader until then.
struct CrashSite
{
  GroupId m_group;
  BootId m_boot;
  DomainId m_domain;
};

class CrashLedger
{
public:
  // A group was lost without a plan. Its domain has so many groups.
  void NoteLoss(Millis aNow, const CrashSite& aSite, uint32_t aGroupsInDomain);
  // An exchange with the request broke at a group after the request had left.
  void NoteBroken(Millis aNow, Fingerprint aFingerprint, const GroupId& aGroup);
  // A request ran to its end: it takes nothing down.
  void NoteSuccess(Fingerprint aFingerprint);
  // Another node tells of a strike or of a refusal. The domain is empty if the
  // group isn't known here.
  void NoteNotice(Millis aNow,
                  const CrashNotice& aNotice,
                  const DomainId& aDomain);
  // Forgets what is out of date.
  void Expire(Millis aNow);

  // Returns for how long the request is still refused; zero: it isn't.
  Millis RefusedFor(Millis aNow, Fingerprint aFingerprint) const;
  // Tells whether the request has broken a group before and isn't cleared.
  bool IsSuspect(Fingerprint aFingerprint) const;
  // Returns the notices for the other nodes since the last call.
  std::vector<CrashNotice> TakeNotices();

private:
  struct Loss
  {
    CrashSite m_site;
    uint32_t m_groupsInDomain = 0;
    Millis m_at;
  };
  struct BrokenExchange
  {
    Fingerprint m_fingerprint;
    GroupId m_group;
    Millis m_at;
  };
  struct Strike
  {
    GroupId m_group;
    DomainId m_domain;
    Millis m_at;
  };

  void AddStrike(Millis aNow,
                 Fingerprint aFingerprint,
                 const CrashSite& aSite,
                 Millis aLostAt);
  void RefuseIfHarmful(Millis aNow,
                       Fingerprint aFingerprint,
                       const CrashSite& aSite);
  bool IsOutage(const DomainId& aDomain, Millis aAt) const;
  size_t CountGroups(const std::vector<Strike>& aStrikes) const;

  std::deque<Loss> m_losses;
  std::deque<BrokenExchange> m_brokenExchanges;
  std::unordered_map<Fingerprint, std::vector<Strike>> m_suspects;
  // Refused requests and the end of the refusal.
  std::unordered_map<Fingerprint, Millis> m_refusedUntil;
  std::vector<CrashNotice> m_notices;
};

} // namespace briarglade
