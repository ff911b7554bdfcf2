// The routes of this node, indexed by target, with what the node itself knows
// about each: its own requests in flight, the estimated load, recent failures
// and the number of requests that it may have in flight there.
//
// Example:
//   routes.Upsert(now, route);
//   const TargetRoutes* target = routes.Find(request.m_target);
//   routes.NoteStarted(now, slotIndex);

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/config/fleet_config.h"
#include "briarglade/routing/cold_start.h"
#include "briarglade/routing/route_table.h"

namespace briarglade {

// This node's requests in flight at a group, starting at m_at.
struct InFlightSample
{
  Millis m_at;
  uint32_t m_inFlight = 0;
};

// One route and what this node knows about it.
struct RouteSlot
{
  Route m_route;
  uint32_t m_target = 0;
  // Hash of the group id, used as its rendezvous key.
  uint64_t m_rendezvousKey = 0;
  // False once the group was removed. The slot is kept while requests run
  // there.
  bool m_known = false;
  // True if the route is complete and not draining, and its availability zone
  // is in service.
  bool m_open = false;
  // True if the group lost a member or its boot id changed while requests ran
  // there.
  bool m_lost = false;
  Millis m_lostAt;
  // The leader's boot id before the last loss.
  BootId m_lostBoot;

  // This node's requests in flight.
  uint32_t m_inFlight = 0;
  // The reported load minus this node's requests.
  uint32_t m_othersLoad = 0;
  // The expected current value of m_othersLoad. The older the report, the
  // closer it is to the mean of all groups.
  double m_expectedOthersLoad = 0;
  std::vector<InFlightSample> m_history;
  // Maximum number of this node's requests in flight, including the cold start
  // limit.
  uint32_t m_admission = 0;
  // Maximum number of requests in flight of all nodes together.
  uint32_t m_capacity = 0;
  // This node's guaranteed quota of the request limit.
  uint32_t m_quota = 0;
  // This node's rank for the group among the nodes, which decides who gets the
  // remainder of an uneven division.
  uint32_t m_rank = 0;
  // Maximum number of this node's requests in flight until the next report: the
  // number at the time of the report plus its quota of the capacity that was
  // free then.
  uint32_t m_allowance = 0;

  Millis m_ejectedUntil;
  uint32_t m_failures = 0;
  // Mean time to the first byte, in milliseconds; zero if unknown.
  double m_meanFirstByteMillis = 0;
  uint32_t m_slowAnswers = 0;

  // Returns the estimated number of requests at the group now.
  uint32_t Load() const { return m_othersLoad + m_inFlight; }
  double ExpectedLoad() const { return m_expectedOthersLoad + m_inFlight; }
};

// The routes of one model or plain service.
struct TargetRoutes
{
  RouteTarget m_target;
  // Slots of all known groups, and of those that may get new requests.
  std::vector<uint32_t> m_slots;
  std::vector<uint32_t> m_open;
  // Sums over the open slots.
  uint64_t m_load = 0;
  uint64_t m_limit = 0;
  uint64_t m_quota = 0;
  uint64_t m_allowance = 0;
  // Mean time for which a request holds its slot, in milliseconds; zero if
  // unknown.
  double m_meanHoldMillis = 0;
  // True if the sums are out of date.
  bool m_dirty = false;
};

class RouteRegistry
{
public:
  // The effect of a route change on requests in flight there.
  enum class Change
  {
    None,
    // The group lost a member, or its leader restarted.
    Lost
  };

  // Adds or updates a route. Call RebuildDirtyTargets() after the last change.
  Change Upsert(Millis aNow, const Route& aRoute);
  // Removes a group. Call RebuildDirtyTargets() after the last change.
  Change Remove(Millis aNow, const GroupId& aGroup);
  // Recomputes the sums of the changed targets.
  void RebuildDirtyTargets(Millis aNow);
  void SetZones(Millis aNow, const std::map<ZoneId, ZoneState>& aZones);
  void SetRoster(Millis aNow,
                 uint64_t aVersion,
                 const std::vector<NodeId>& aNodes,
                 const NodeId& aSelf);
  // Updates the limits of cold groups and recomputes the sums of all targets.
  void Refresh(Millis aNow);

  // Returns the index of a target, which never changes.
  uint32_t TargetIndex(const RouteTarget& aTarget);
  const TargetRoutes& Target(uint32_t aIndex) const
  {
    return m_targets[aIndex];
  }
  uint32_t TargetCount() const
  {
    return static_cast<uint32_t>(m_targets.size());
  }
  RouteSlot& Slot(uint32_t aIndex) { return m_slots[aIndex]; }
  const RouteSlot& Slot(uint32_t aIndex) const { return m_slots[aIndex]; }
  // Returns the slot of a known group, or nullptr.
  const RouteSlot* FindSlot(const GroupId& aGroup) const;
  // Returns the number of known groups in a fabric domain.
  uint32_t GroupsInDomain(const DomainId& aDomain) const;

  void NoteStarted(Millis aNow, uint32_t aSlot);
  void NoteEnded(Millis aNow, uint32_t aSlot);
  // Records how long a request held its slot.
  void RecordHoldTime(uint32_t aSlot, Millis aTime);
  // Excludes a group from routing for aTime, unless too many groups of the
  // target are excluded already. Returns whether it was excluded.
  bool Eject(Millis aNow, uint32_t aSlot, Millis aTime);
  // Marks a group as cold from now on.
  void MarkCold(Millis aNow, uint32_t aSlot, ColdSignal aSignal);

  // Returns whether requests are in flight at a group that was lost.
  bool HasLostInFlight() const;
  // Returns this node's requests in flight at a group, used to decide whether
  // the group has drained.
  uint32_t InFlightAt(const GroupId& aGroup) const;

private:
  uint32_t AllocateSlot(const GroupId& aGroup);
  void ReleaseIfUnused(uint32_t aSlot);
  void Detach(uint32_t aSlot);
  void UpdateOpen(RouteSlot& aSlot);
  // Returns this node's quota of aTotal when it is divided among the nodes of
  // the roster.
  uint32_t LocalQuota(uint32_t aTotal, uint32_t aRank) const;
  void UpdateQuota(RouteSlot& aSlot);
  void UpdateAdmission(Millis aNow, RouteSlot& aSlot);
  void UpdateOthersLoad(RouteSlot& aSlot);
  void RecordInFlight(Millis aNow, RouteSlot& aSlot);
  void Rebuild(Millis aNow, uint32_t aTarget);
  void UpdateExpectedLoads(Millis aNow, const TargetRoutes& aTarget);

  NodeId m_self;
  std::vector<NodeId> m_roster;
  std::map<ZoneId, ZoneState> m_zones;
  ColdStartState m_cold;
  std::deque<RouteSlot> m_slots;
  std::vector<uint32_t> m_freeSlots;
  std::unordered_map<GroupId, uint32_t> m_byGroup;
  std::deque<TargetRoutes> m_targets;
  std::map<RouteTarget, uint32_t> m_byTarget;
  std::unordered_map<DomainId, uint32_t> m_groupsInDomain;
};

} // namespace briarglade
