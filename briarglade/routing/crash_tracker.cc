// Matches broken exchanges with lost groups to find harmful requests.

#include "briarglade/routing/crash_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

namespace briarglade {

namespace {

// A broken exchange and the loss of its group are attributed to each other if
// they are at most this far apart.
constexpr Millis kMatchWindow = Millis(10'000);
// Losses in one domain within this time of each other count as one outage if
// they are enough groups.
constexpr Millis kOutageWindow = Millis(3'000);
// The loss of one in this many of a domain's groups, and of at least
// kMinOutageGroups, is an outage.
constexpr size_t kOutageGroupsDivisor = 2;
constexpr size_t kMinOutageGroups = 2;
// How long a strike is valid.
constexpr Millis kStrikeLifetime = Millis(600'000);
// How long a harmful request is refused.
constexpr Millis kRefusalTime = Millis(300'000);
// A request with strikes from this many different groups is refused.
constexpr size_t kStrikesToRefuse = 2;
// Maximum sizes of the tables.
constexpr size_t kMaxLosses = 1024;
constexpr size_t kMaxBrokenExchanges = 4096;
constexpr size_t kMaxSuspects = 4096;

template<typename Entry>
void TrimToSize(std::deque<Entry>& aEntries, size_t aMax)
{
  while (aEntries.size() > aMax) {
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

} // namespace

void CrashTracker::NoteLoss(Millis aNow,
                            const LostGroup& aLost,
                            uint32_t aGroupsInDomain)
{
  m_losses.push_back(Loss{ aLost, aGroupsInDomain, aNow });
  TrimToSize(m_losses, kMaxLosses);
  const auto isOtherGroup = [&](const BrokenExchange& aBroken) {
    return aBroken.m_group != aLost.m_group;
  };
  const auto firstMatch = std::stable_partition(
    m_brokenExchanges.begin(), m_brokenExchanges.end(), isOtherGroup);
  const std::vector<BrokenExchange> matched(firstMatch,
                                            m_brokenExchanges.end());
  m_brokenExchanges.erase(firstMatch, m_brokenExchanges.end());
  for (const BrokenExchange& broken : matched) {
    if (aNow - broken.m_at <= kMatchWindow) {
      AddStrike(aNow, broken.m_fingerprint, aLost, aNow);
    }
  }
}

void CrashTracker::NoteBroken(Millis aNow,
                              Fingerprint aFingerprint,
                              const GroupId& aGroup)
{
  const auto loss =
    std::find_if(m_losses.rbegin(), m_losses.rend(), [&](const Loss& aLoss) {
      return aLoss.m_lostGroup.m_group == aGroup &&
             aNow - aLoss.m_at <= kMatchWindow;
    });
  if (loss != m_losses.rend()) {
    AddStrike(aNow, aFingerprint, loss->m_lostGroup, loss->m_at);
    return;
  }
  m_brokenExchanges.push_back(BrokenExchange{ aFingerprint, aGroup, aNow });
  TrimToSize(m_brokenExchanges, kMaxBrokenExchanges);
}

void CrashTracker::AddStrike(Millis aNow,
                             Fingerprint aFingerprint,
                             const LostGroup& aLost,
                             Millis aLostAt)
{
  if (m_suspects.size() >= kMaxSuspects && !IsSuspect(aFingerprint)) {
    return;
  }
  m_suspects[aFingerprint].push_back(
    Strike{ aLost.m_group, aLost.m_domain, aLostAt });
  if (!IsOutage(aLost.m_domain, aLostAt)) {
    CrashNotice notice;
    notice.m_fingerprint = aFingerprint;
    notice.m_group = aLost.m_group;
    notice.m_boot = aLost.m_boot;
    m_notices.push_back(std::move(notice));
  }
  RefuseIfHarmful(aNow, aFingerprint, aLost);
}

void CrashTracker::RefuseIfHarmful(Millis aNow,
                                   Fingerprint aFingerprint,
                                   const LostGroup& aLost)
{
  if (CountGroups(m_suspects[aFingerprint]) < kStrikesToRefuse) {
    return;
  }
  m_suspects.erase(aFingerprint);
  m_refusedUntil[aFingerprint] = aNow + kRefusalTime;
  CrashNotice notice;
  notice.m_fingerprint = aFingerprint;
  notice.m_group = aLost.m_group;
  notice.m_boot = aLost.m_boot;
  notice.m_refuseFor = kRefusalTime;
  m_notices.push_back(std::move(notice));
}

bool CrashTracker::IsOutage(const DomainId& aDomain, Millis aAt) const
{
  if (aDomain.IsEmpty()) {
    return false;
  }
  std::set<GroupId> groups;
  uint32_t inDomain = 0;
  for (const Loss& loss : m_losses) {
    const Millis distance = loss.m_at > aAt ? loss.m_at - aAt : aAt - loss.m_at;
    if (loss.m_lostGroup.m_domain == aDomain && distance <= kOutageWindow) {
      groups.insert(loss.m_lostGroup.m_group);
      inDomain = std::max(inDomain, loss.m_groupsInDomain);
    }
  }
  return groups.size() >= kMinOutageGroups &&
         groups.size() * kOutageGroupsDivisor >= inDomain;
}

size_t CrashTracker::CountGroups(const std::vector<Strike>& aStrikes) const
{
  std::set<GroupId> groups;
  for (const Strike& strike : aStrikes) {
    if (!IsOutage(strike.m_domain, strike.m_at)) {
      groups.insert(strike.m_group);
    }
  }
  return groups.size();
}

void CrashTracker::NoteSuccess(Fingerprint aFingerprint)
{
  m_suspects.erase(aFingerprint);
}

void CrashTracker::NotePeerNotice(Millis aNow,
                                  const CrashNotice& aNotice,
                                  const DomainId& aDomain)
{
  if (aNotice.m_refuseFor > Millis()) {
    Millis& until = m_refusedUntil[aNotice.m_fingerprint];
    until = std::max(until, aNow + std::min(aNotice.m_refuseFor, kRefusalTime));
    m_suspects.erase(aNotice.m_fingerprint);
    return;
  }
  if (m_suspects.size() >= kMaxSuspects && !IsSuspect(aNotice.m_fingerprint)) {
    return;
  }
  m_suspects[aNotice.m_fingerprint].push_back(
    Strike{ aNotice.m_group, aDomain, aNow });
  const LostGroup site{ aNotice.m_group, aNotice.m_boot, aDomain };
  RefuseIfHarmful(aNow, aNotice.m_fingerprint, site);
}

void CrashTracker::Expire(Millis aNow)
{
  DropOlderThan(m_losses, aNow - kStrikeLifetime);
  DropOlderThan(m_brokenExchanges, aNow - kMatchWindow);
  for (auto it = m_suspects.begin(); it != m_suspects.end();) {
    const bool isExpired = aNow - it->second.back().m_at > kStrikeLifetime;
    it = isExpired ? m_suspects.erase(it) : std::next(it);
  }
  for (auto it = m_refusedUntil.begin(); it != m_refusedUntil.end();) {
    it = it->second <= aNow ? m_refusedUntil.erase(it) : std::next(it);
  }
}

Millis CrashTracker::RefusedFor(Millis aNow, Fingerprint aFingerprint) const
{
  if (m_refusedUntil.empty()) {
    return Millis();
  }
  const auto found = m_refusedUntil.find(aFingerprint);
  return found == m_refusedUntil.end() || found->second <= aNow
           ? Millis()
           : found->second - aNow;
}

bool CrashTracker::IsSuspect(Fingerprint aFingerprint) const
{
  return m_suspects.count(aFingerprint) > 0;
}

std::vector<CrashNotice> CrashTracker::TakeNotices()
{
  std::vector<CrashNotice> notices;
  notices.swap(m_notices);
  return notices;
}

} // namespace briarglade
