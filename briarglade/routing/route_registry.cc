// Registry of the routes, with this node's own load at each group.

#include "briarglade/routing/route_registry.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

#include "briarglade/base/rendezvous.h"

namespace briarglade {

namespace {

// Changes of this node's load within this interval are merged into one sample.
constexpr Millis kMinSampleInterval = Millis(100);
// Maximum number of samples kept for each group. At one sample per
// kMinSampleInterval, they cover a report that is six seconds late.
constexpr size_t kMaxSamples = 64;
// Weight of the newest sample in a mean hold time.
constexpr double kHoldSampleWeight = 1.0 / 64;
// At any time, at least one in this many open groups of a target is not
// ejected.
constexpr size_t kEjectedGroupsDivisor = 2;

bool HasRestarted(const Route& aOld, const Route& aNew)
{
  return !aOld.m_boot.IsEmpty() && !aNew.m_boot.IsEmpty() &&
         aOld.m_boot != aNew.m_boot;
}

bool HasLostMember(const Route& aOld, const Route& aNew)
{
  const bool isPlanned = aOld.m_draining || aNew.m_draining ||
                         aOld.m_generation != aNew.m_generation;
  return aOld.m_complete && !aNew.m_complete && !isPlanned;
}

// Returns this node's requests in flight at the given time, which the samples
// must cover.
uint32_t InFlightAtInstant(const std::vector<InFlightSample>& aSamples,
                           Millis aAt)
{
  uint32_t inFlight = 0;
  for (const InFlightSample& sample : aSamples) {
    if (sample.m_at > aAt) {
      break;
    }
    inFlight = sample.m_inFlight;
  }
  return inFlight;
}

// Removes the samples that no later report can refer to. Keeps the last one at
// or before the given time, which determines the load at that time.
void DiscardSamplesBefore(std::vector<InFlightSample>& aSamples, Millis aAt)
{
  size_t discard = 0;
  while (discard + 1 < aSamples.size() && aSamples[discard + 1].m_at <= aAt) {
    ++discard;
  }
  aSamples.erase(aSamples.begin(),
                 aSamples.begin() + static_cast<ptrdiff_t>(discard));
}

} // namespace

uint32_t RouteRegistry::TargetIndex(const RouteTarget& aTarget)
{
  const auto [entry, isNew] =
    m_byTarget.try_emplace(aTarget, static_cast<uint32_t>(m_targets.size()));
  if (isNew) {
    m_targets.emplace_back().m_target = aTarget;
  }
  return entry->second;
}

const RouteSlot* RouteRegistry::FindSlot(const GroupId& aGroup) const
{
  const auto found = m_byGroup.find(aGroup);
  return found == m_byGroup.end() ? nullptr : &m_slots[found->second];
}

uint32_t RouteRegistry::GroupsInDomain(const DomainId& aDomain) const
{
  const auto found = m_groupsInDomain.find(aDomain);
  return found == m_groupsInDomain.end() ? 0 : found->second;
}

uint32_t RouteRegistry::InFlightAt(const GroupId& aGroup) const
{
  const RouteSlot* slot = FindSlot(aGroup);
  return slot == nullptr ? 0 : slot->m_inFlight;
}

bool RouteRegistry::HasLostInFlight() const
{
  return std::any_of(
    m_slots.begin(), m_slots.end(), [](const RouteSlot& aSlot) {
      return aSlot.m_lost && aSlot.m_inFlight > 0;
    });
}

uint32_t RouteRegistry::AllocateSlot(const GroupId& aGroup)
{
  uint32_t index = 0;
  if (m_freeSlots.empty()) {
    index = static_cast<uint32_t>(m_slots.size());
    m_slots.emplace_back();
  } else {
    index = m_freeSlots.back();
    m_freeSlots.pop_back();
    m_slots[index] = RouteSlot();
  }
  m_byGroup[aGroup] = index;
  m_slots[index].m_rendezvousKey =
    XXH3_64bits(aGroup.Value().data(), aGroup.Value().size());
  return index;
}

RouteRegistry::Change RouteRegistry::Upsert(Millis aNow, const Route& aRoute)
{
  const auto found = m_byGroup.find(aRoute.m_group);
  const bool isNew = found == m_byGroup.end();
  const uint32_t index = isNew ? AllocateSlot(aRoute.m_group) : found->second;
  RouteSlot& slot = m_slots[index];
  const uint32_t target = TargetIndex(aRoute.m_target);
  const bool isLost = !isNew && (HasRestarted(slot.m_route, aRoute) ||
                                 HasLostMember(slot.m_route, aRoute));
  if (!isNew &&
      (slot.m_target != target || slot.m_route.m_domain != aRoute.m_domain)) {
    Detach(index);
  }
  if (!slot.m_known) {
    slot.m_known = true;
    slot.m_target = target;
    m_targets[target].m_slots.push_back(index);
    ++m_groupsInDomain[aRoute.m_domain];
  }
  const bool sameLimit =
    !isNew && slot.m_route.m_requestLimit == aRoute.m_requestLimit;
  if (isLost) {
    slot.m_lostBoot = slot.m_route.m_boot;
  }
  slot.m_route = aRoute;
  if (isLost) {
    slot.m_lost = slot.m_inFlight > 0;
    slot.m_lostAt = aNow;
  } else if (aRoute.m_complete) {
    slot.m_lost = false;
  }
  if (!sameLimit) {
    UpdateQuota(slot);
  }
  UpdateOthersLoad(slot);
  UpdateAdmission(aNow, slot);
  UpdateOpen(slot);
  m_targets[target].m_dirty = true;
  return isLost ? Change::Lost : Change::None;
}

RouteRegistry::Change RouteRegistry::Remove(Millis aNow, const GroupId& aGroup)
{
  const auto found = m_byGroup.find(aGroup);
  if (found == m_byGroup.end()) {
    return Change::None;
  }
  const uint32_t index = found->second;
  RouteSlot& slot = m_slots[index];
  const bool isLost = slot.m_route.m_complete && !slot.m_route.m_draining;
  Detach(index);
  m_byGroup.erase(found);
  slot.m_open = false;
  slot.m_lost = isLost && slot.m_inFlight > 0;
  slot.m_lostAt = aNow;
  slot.m_lostBoot = slot.m_route.m_boot;
  ReleaseIfUnused(index);
  return isLost ? Change::Lost : Change::None;
}

void RouteRegistry::Detach(uint32_t aSlot)
{
  RouteSlot& slot = m_slots[aSlot];
  std::vector<uint32_t>& slots = m_targets[slot.m_target].m_slots;
  slots.erase(std::remove(slots.begin(), slots.end(), aSlot), slots.end());
  const auto domain = m_groupsInDomain.find(slot.m_route.m_domain);
  if (--domain->second == 0) {
    m_groupsInDomain.erase(domain);
  }
  slot.m_known = false;
  m_targets[slot.m_target].m_dirty = true;
}

void RouteRegistry::RebuildDirtyTargets(Millis aNow)
{
  for (uint32_t target = 0; target < m_targets.size(); ++target) {
    if (m_targets[target].m_dirty) {
      Rebuild(aNow, target);
    }
  }
}

void RouteRegistry::ReleaseIfUnused(uint32_t aSlot)
{
  const RouteSlot& slot = m_slots[aSlot];
  if (!slot.m_known && slot.m_inFlight == 0) {
    m_freeSlots.push_back(aSlot);
  }
}

void RouteRegistry::SetZones(Millis aNow,
                             const std::map<ZoneId, ZoneState>& aZones)
{
  m_zones = aZones;
  for (const auto& entry : m_byGroup) {
    UpdateOpen(m_slots[entry.second]);
  }
  Refresh(aNow);
}

void RouteRegistry::SetRoster(Millis aNow,
                              uint64_t aVersion,
                              const std::vector<NodeId>& aNodes,
                              const NodeId& aSelf)
{
  m_roster = aNodes;
  m_self = aSelf;
  NoteRoster(m_cold, aNow, aVersion, aNodes, aSelf);
  for (const auto& entry : m_byGroup) {
    UpdateQuota(m_slots[entry.second]);
    UpdateAdmission(aNow, m_slots[entry.second]);
  }
  Refresh(aNow);
}

void RouteRegistry::Refresh(Millis aNow)
{
  for (uint32_t target = 0; target < m_targets.size(); ++target) {
    for (const uint32_t index : m_targets[target].m_slots) {
      RouteSlot& slot = m_slots[index];
      if (slot.m_admission < slot.m_route.m_requestLimit) {
        UpdateAdmission(aNow, slot);
      }
    }
    Rebuild(aNow, target);
  }
}

void RouteRegistry::Rebuild(Millis aNow, uint32_t aTarget)
{
  TargetRoutes& target = m_targets[aTarget];
  target.m_dirty = false;
  target.m_open.clear();
  target.m_load = 0;
  target.m_limit = 0;
  target.m_quota = 0;
  target.m_allowance = 0;
  for (const uint32_t index : target.m_slots) {
    const RouteSlot& slot = m_slots[index];
    if (slot.m_open) {
      target.m_open.push_back(index);
      target.m_load += slot.Load();
      target.m_limit += slot.m_capacity;
      target.m_quota += std::min(slot.m_quota, slot.m_admission);
      target.m_allowance += std::min(slot.m_allowance, slot.m_admission);
    }
  }
  UpdateExpectedLoads(aNow, target);
}

void RouteRegistry::UpdateExpectedLoads(Millis aNow,
                                        const TargetRoutes& aTarget)
{
  double others = 0;
  for (const uint32_t index : aTarget.m_open) {
    others += m_slots[index].m_othersLoad;
  }
  const double mean =
    others / static_cast<double>(std::max<uint64_t>(1, aTarget.m_limit));
  for (const uint32_t index : aTarget.m_open) {
    RouteSlot& slot = m_slots[index];
    const Millis age =
      aNow - slot.m_route.m_reportedAt + slot.m_route.m_loadAge;
    const double known =
      aTarget.m_meanHoldMillis > 0
        ? std::exp(-static_cast<double>(age.Count()) / aTarget.m_meanHoldMillis)
        : 1.0;
    slot.m_expectedOthersLoad =
      known * slot.m_othersLoad + (1 - known) * mean * slot.m_capacity;
  }
}

void RouteRegistry::RecordHoldTime(uint32_t aSlot, Millis aTime)
{
  double& mean = m_targets[m_slots[aSlot].m_target].m_meanHoldMillis;
  const auto sample = static_cast<double>(aTime.Count());
  mean += mean == 0 ? sample : (sample - mean) * kHoldSampleWeight;
}

void RouteRegistry::UpdateOpen(RouteSlot& aSlot)
{
  const auto zone = m_zones.find(aSlot.m_route.m_zone);
  const bool isOut = zone != m_zones.end() && zone->second == ZoneState::Out;
  aSlot.m_open = aSlot.m_known && aSlot.m_route.m_complete &&
                 !aSlot.m_route.m_draining && !isOut;
}

uint32_t RouteRegistry::LocalQuota(uint32_t aTotal, uint32_t aRank) const
{
  const auto nodes = static_cast<uint32_t>(m_roster.size());
  return nodes == 0 ? 0 : aTotal / nodes + (aRank < aTotal % nodes ? 1 : 0);
}

void RouteRegistry::UpdateQuota(RouteSlot& aSlot)
{
  const std::string& group = aSlot.m_route.m_group.Value();
  const uint64_t own = RendezvousWeight(group, m_self.Value());
  uint32_t rank = 0;
  bool isMember = false;
  for (const NodeId& node : m_roster) {
    isMember = isMember || node == m_self;
    if (node != m_self && RendezvousWeight(group, node.Value()) > own) {
      ++rank;
    }
  }
  aSlot.m_rank = rank;
  aSlot.m_quota = isMember ? LocalQuota(aSlot.m_route.m_requestLimit, rank) : 0;
}

void RouteRegistry::UpdateAdmission(Millis aNow, RouteSlot& aSlot)
{
  aSlot.m_admission =
    AdmissionLimit(m_cold, aNow, aSlot.m_route, m_self, m_roster);
  const Route& route = aSlot.m_route;
  const Millis uptime = route.m_uptime + (aNow - route.m_reportedAt);
  aSlot.m_capacity = aSlot.m_admission < route.m_requestLimit
                       ? FleetAdmissionLimit(route, uptime)
                       : route.m_requestLimit;
}

void RouteRegistry::UpdateOthersLoad(RouteSlot& aSlot)
{
  const Millis at = aSlot.m_route.m_reportedAt - aSlot.m_route.m_loadAge;
  const uint32_t own = InFlightAtInstant(aSlot.m_history, at);
  const uint32_t load = aSlot.m_route.m_load;
  aSlot.m_othersLoad = load > own ? load - own : 0;
  const uint32_t limit = aSlot.m_route.m_requestLimit;
  const uint32_t excess =
    load > limit ? LocalQuota(load - limit, aSlot.m_rank) : 0;
  const uint32_t free =
    load < limit ? LocalQuota(limit - load, aSlot.m_rank) : 0;
  aSlot.m_allowance = own + free - std::min(own, excess);
  DiscardSamplesBefore(aSlot.m_history, at);
}

void RouteRegistry::RecordInFlight(Millis aNow, RouteSlot& aSlot)
{
  std::vector<InFlightSample>& history = aSlot.m_history;
  if (!history.empty() && aNow - history.back().m_at < kMinSampleInterval) {
    history.back().m_inFlight = aSlot.m_inFlight;
    return;
  }
  if (history.size() == kMaxSamples) {
    history.erase(history.begin());
  }
  history.push_back(InFlightSample{ aNow, aSlot.m_inFlight });
}

void RouteRegistry::NoteStarted(Millis aNow, uint32_t aSlot)
{
  RouteSlot& slot = m_slots[aSlot];
  ++slot.m_inFlight;
  m_targets[slot.m_target].m_load += slot.m_open ? 1 : 0;
  RecordInFlight(aNow, slot);
}

void RouteRegistry::NoteEnded(Millis aNow, uint32_t aSlot)
{
  RouteSlot& slot = m_slots[aSlot];
  --slot.m_inFlight;
  m_targets[slot.m_target].m_load -= slot.m_open ? 1 : 0;
  RecordInFlight(aNow, slot);
  if (slot.m_inFlight == 0) {
    slot.m_lost = false;
  }
  ReleaseIfUnused(aSlot);
}

bool RouteRegistry::Eject(Millis aNow, uint32_t aSlot, Millis aTime)
{
  const std::vector<uint32_t>& open = m_targets[m_slots[aSlot].m_target].m_open;
  const auto isOtherEjected = [&](uint32_t aIndex) {
    return aIndex != aSlot && m_slots[aIndex].m_ejectedUntil > aNow;
  };
  const auto ejected = static_cast<size_t>(
    std::count_if(open.begin(), open.end(), isOtherEjected));
  if ((ejected + 1) * kEjectedGroupsDivisor > open.size()) {
    return false;
  }
  m_slots[aSlot].m_ejectedUntil = aNow + aTime;
  return true;
}

void RouteRegistry::MarkCold(Millis aNow, uint32_t aSlot, ColdSignal aSignal)
{
  RouteSlot& slot = m_slots[aSlot];
  NoteColdSignal(m_cold, aNow, slot.m_route.m_group, aSignal);
  UpdateAdmission(aNow, slot);
}

} // namespace briarglade
