// Computes this node's quota at a cold group by rendezvous rank.

#include "briarglade/routing/cold_start.h"

#include <algorithm>
#include <string>
#include <utility>

namespace briarglade {

namespace {

// A roster that was replaced longer than this before a group turned cold is
// ignored.
constexpr Millis kRosterWindow = kRosterSettleTime * 2;
// Maximum number of rosters kept. When the oldest one is discarded, the node
// counts as newly joined at the time when that roster was replaced.
constexpr size_t kMaxRosters = 16;

bool Contains(const std::vector<NodeId>& aRoster, const NodeId& aNode)
{
  return std::find(aRoster.begin(), aRoster.end(), aNode) != aRoster.end();
}

std::string RankKey(const Route& aRoute)
{
  return aRoute.m_group.Value() + "|" + aRoute.m_boot.Value();
}

// Returns whether the first rank never has a larger quota than the second,
// whatever the limit is.
bool HasNoLargerQuota(const RosterPlace& aFirst, const RosterPlace& aSecond)
{
  const bool isNotListed = aFirst.m_rank >= aFirst.m_nodes;
  return isNotListed ||
         (aFirst.m_nodes >= aSecond.m_nodes && aFirst.m_rank >= aSecond.m_rank);
}

// Adds a rank, and keeps only those whose quota can be the minimum.
void AddRank(std::vector<RosterPlace>& aRanks, const RosterPlace& aRank)
{
  for (const RosterPlace& known : aRanks) {
    if (HasNoLargerQuota(known, aRank)) {
      return;
    }
  }
  aRanks.erase(std::remove_if(aRanks.begin(),
                              aRanks.end(),
                              [&](const RosterPlace& aKnown) {
                                return HasNoLargerQuota(aRank, aKnown);
                              }),
               aRanks.end());
  aRanks.push_back(aRank);
}

// Adds the ranks in the rosters that the period does not include yet.
void ApplyNewRosters(const ColdStartState& aState,
                     ColdPeriod& aPeriod,
                     Millis aColdSince,
                     const Route& aRoute,
                     const NodeId& aSelf)
{
  const uint64_t last = aState.m_rosters.back().m_number;
  if (aPeriod.m_nextRoster > last) {
    return;
  }
  const std::string key = RankKey(aRoute);
  for (const RosterRecord& roster : aState.m_rosters) {
    const bool isCurrent = roster.m_number == last;
    const bool isInWindow =
      isCurrent || roster.m_replacedAt + kRosterWindow >= aColdSince;
    if (roster.m_number >= aPeriod.m_nextRoster && isInWindow) {
      AddRank(aPeriod.m_ranks, PlaceIn(roster.m_nodes, key, aSelf));
    }
  }
  aPeriod.m_nextRoster = last + 1;
}

uint32_t LocalQuota(const ColdPeriod& aPeriod, uint32_t aLimit)
{
  uint32_t quota = aLimit;
  for (const RosterPlace& rank : aPeriod.m_ranks) {
    quota = std::min(quota, DealtTo(rank, aLimit));
  }
  return quota;
}

} // namespace

void NoteRoster(ColdStartState& aState,
                Millis aNow,
                uint64_t aVersion,
                const std::vector<NodeId>& aRoster,
                const NodeId& aSelf)
{
  uint64_t number = 0;
  bool isSuccessor = false;
  if (!aState.m_rosters.empty()) {
    RosterRecord& last = aState.m_rosters.back();
    if (aVersion <= last.m_version) {
      return;
    }
    last.m_replacedAt = aNow;
    number = last.m_number + 1;
    isSuccessor = aVersion == last.m_version + 1;
  }
  const bool isListed = Contains(aRoster, aSelf);
  if (isListed && (!aState.m_joined || !isSuccessor)) {
    aState.m_joinedAt = aNow;
  }
  aState.m_joined = isListed;
  aState.m_rosters.push_back(RosterRecord{ aRoster, aVersion, number, aNow });
  if (aState.m_rosters.size() > kMaxRosters) {
    aState.m_joinedAt =
      std::max(aState.m_joinedAt, aState.m_rosters.front().m_replacedAt);
    aState.m_rosters.pop_front();
  }
}

uint32_t FleetAdmissionLimit(const Route& aRoute, Millis aSinceCold)
{
  return aSinceCold >= aRoute.m_warmUp
           ? aRoute.m_requestLimit
           : std::min(aRoute.m_coldLimit, aRoute.m_requestLimit);
}

uint32_t AdmissionLimit(ColdStartState& aState,
                        Millis aNow,
                        const Route& aRoute,
                        const NodeId& aSelf,
                        const std::vector<NodeId>& aRoster)
{
  if (aState.m_rosters.empty() || aState.m_rosters.back().m_nodes != aRoster) {
    const uint64_t version =
      aState.m_rosters.empty() ? 1 : aState.m_rosters.back().m_version + 1;
    NoteRoster(aState, aNow, version, aRoster, aSelf);
  }
  const Millis uptime =
    aRoute.m_uptime + std::max(Millis(), aNow - aRoute.m_reportedAt);
  auto found = aState.m_periods.find(aRoute.m_group);
  if (found != aState.m_periods.end() &&
      found->second.m_boot != aRoute.m_boot) {
    if (!found->second.m_boot.IsEmpty()) {
      found->second = ColdPeriod();
    }
    found->second.m_boot = aRoute.m_boot;
  }
  const bool hasSignal =
    found != aState.m_periods.end() && found->second.m_hasSignal;
  const Millis sinceSignal =
    hasSignal ? aNow - found->second.m_signalAt : aRoute.m_warmUp;
  const Millis sinceCold = std::min(uptime, sinceSignal);
  if (sinceCold >= aRoute.m_warmUp) {
    if (found != aState.m_periods.end()) {
      aState.m_periods.erase(found);
    }
    return aRoute.m_requestLimit;
  }
  const Millis coldSince =
    aNow - (uptime < aRoute.m_warmUp ? uptime : sinceSignal);
  if (!aState.m_joined || coldSince < aState.m_joinedAt + kRosterSettleTime) {
    return 0;
  }
  ColdPeriod& period = aState.m_periods[aRoute.m_group];
  period.m_boot = aRoute.m_boot;
  ApplyNewRosters(aState, period, coldSince, aRoute, aSelf);
  return LocalQuota(period, FleetAdmissionLimit(aRoute, sinceCold));
}

void NoteColdSignal(ColdStartState& aState,
                    Millis aNow,
                    const GroupId& aGroup,
                    ColdSignal aSignal)
{
  ColdPeriod& period = aState.m_periods[aGroup];
  if (aSignal == ColdSignal::NewBoot) {
    // Discards the ranks of the previous boot. The report that contains the new
    // boot id starts the period again.
    period = ColdPeriod();
  }
  period.m_hasSignal = true;
  period.m_signalAt = aNow;
}

} // namespace briarglade
