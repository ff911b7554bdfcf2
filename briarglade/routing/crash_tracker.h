// Detects harmful requests: those that crash backend servers. Evidence against
// a request is a strike: a group was lost (by the presence of a member or by
// the boot id of the leader), and an exchange with the request broke there at
// about the same time. After two strikes from different groups, every node
// refuses the request for a while. The loss of many groups of one domain at
// about the same time is an outage and gives no evidence.
//
// Example:
//   tracker.NoteBroken(now, fingerprint, group);
//   tracker.NoteLoss(now, LostGroup{ group, boot, domain }, groupsInDomain);
//   for (const CrashNotice& notice : tracker.TakeNotices()) { Send(notice); }
//   if (tracker.RefusedFor(now, fingerprint) > Millis()) { Refuse(); }

#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/routing/crash_notice.h"

namespace briarglade {

// A group that was lost, and the boot id of its leader before the loss.
struct LostGroup
{
  GroupId m_group;
  BootId m_boot;
  DomainId m_domain;
};

class CrashTracker
{
public:
  // Records the unplanned loss of a group. aGroupsInDomain is the number of
  // groups in its domain.
  void NoteLoss(Millis aNow, const LostGroup& aLost, uint32_t aGroupsInDomain);
  // Records that an exchange with the request broke at a group after the
  // request had been sent.
  void NoteBroken(Millis aNow, Fingerprint aFingerprint, const GroupId& aGroup);
  // Records that a request completed, which clears its strikes.
  void NoteSuccess(Fingerprint aFingerprint);
  // Records a strike or a refusal that another node reported. aDomain is empty
  // if this node does not know the group.
  void NotePeerNotice(Millis aNow,
                      const CrashNotice& aNotice,
                      const DomainId& aDomain);
  // Removes expired entries.
  void Expire(Millis aNow);

  // Returns how much longer the request is refused, or zero if it is not
  // refused.
  Millis RefusedFor(Millis aNow, Fingerprint aFingerprint) const;
  // Returns whether the request has strikes that have not been cleared.
  bool IsSuspect(Fingerprint aFingerprint) const;
  // Returns and removes the notices that are pending for the other nodes.
  std::vector<CrashNotice> TakeNotices();

private:
  struct Loss
  {
    LostGroup m_lostGroup;
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
                 const LostGroup& aLost,
                 Millis aLostAt);
  void RefuseIfHarmful(Millis aNow,
                       Fingerprint aFingerprint,
                       const LostGroup& aLost);
  bool IsOutage(const DomainId& aDomain, Millis aAt) const;
  size_t CountGroups(const std::vector<Strike>& aStrikes) const;

  std::deque<Loss> m_losses;
  std::deque<BrokenExchange> m_brokenExchanges;
  std::unordered_map<Fingerprint, std::vector<Strike>> m_suspects;
  // Refused requests and the time when each refusal ends.
  std::unordered_map<Fingerprint, Millis> m_refusedUntil;
  std::vector<CrashNotice> m_notices;
};

} // namespace briarglade
