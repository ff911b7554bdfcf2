// Sums what the other nodes have in flight at each server, and the work that
// their callers request of each model. The sources are the nodes that report to
// this node, relays of other zones, and this node's own relay, whose sums also
// include this node's last report.
//
// Example:
//   loads.OnOwnReport(number, ownLoads);
//   loads.OnFleet(now, sentAt, digest.m_loads, numberInDigest);
//   Use(loads.FromRelay());

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/gateway/gateway_event.h"
#include "briarglade/grouping/model_work.h"

namespace briarglade {

// Returns the sum of two lists of loads, sorted by server.
std::vector<ServerLoad> AddLoads(const std::vector<ServerLoad>& aOne,
                                 const std::vector<ServerLoad>& aOther);

class FleetLoads
{
public:
  // Records the loads that this node has reported under a number.
  void OnOwnReport(uint16_t aNumber, std::vector<ServerLoad> aLoads);
  // Records a report that a node has sent to this node at aSentAt. Ignored if a
  // later one is known.
  void OnReport(Millis aSentAt,
                const NodeId& aNode,
                uint16_t aNumber,
                std::vector<ServerLoad> aLoads,
                WorkByModel aWork = {});
  // Records a zone's sum as of a time.
  void OnZone(Millis aAsOf,
              const ZoneId& aZone,
              std::vector<ServerLoad> aLoads,
              WorkByModel aWork = {});
  // Records the fleet's sum as sent by this node's relay at aSentAt. It
  // includes this node's report of the given number; nullopt if it includes
  // none. Returns whether it is in use: not if a later one is, or if it has
  // expired.
  bool OnFleet(Millis aNow,
               Millis aSentAt,
               const std::vector<ServerLoad>& aLoads,
               std::optional<uint16_t> aOwnNumber,
               WorkByModel aWork = {});
  // Removes expired loads. Returns whether the sum sent by this node's relay
  // has expired.
  bool Expire(Millis aNow);

  // Returns the number of the last report of a node; 0 if there is none.
  uint16_t ReportNumber(const NodeId& aNode) const;
  // Return the sums of the loads of the nodes that report to this node, of
  // those and all other zones, and of one other zone.
  std::vector<ServerLoad> SumOfReports() const;
  std::vector<ServerLoad> SumOfReportsAndZones() const;
  std::vector<ServerLoad> SumOfZone(const ZoneId& aZone) const;
  // Returns the loads of all other nodes as last sent by this node's relay.
  const std::vector<ServerLoad>& FromRelay() const { return m_fromRelay; }

  // Return the sums of the requested work like the sums of the loads above.
  WorkByModel WorkOfReports() const;
  WorkByModel WorkOfReportsAndZones() const;
  WorkByModel WorkOfZone(const ZoneId& aZone) const;
  // Returns the work of all nodes as last sent by this node's relay, and
  // whether it includes a report of this node. Empty if it has expired.
  const WorkByModel& WorkFromRelay() const { return m_workFromRelay; }
  bool IncludesOwnWork() const { return m_includesOwnWork; }

private:
  struct TimedLoads
  {
    Millis m_at;
    uint16_t m_number = 0;
    std::vector<ServerLoad> m_loads;
    WorkByModel m_work;
  };
  struct OwnReport
  {
    uint16_t m_number = 0;
    std::vector<ServerLoad> m_loads;
  };

  std::deque<OwnReport> m_ownReports;
  std::map<NodeId, TimedLoads> m_reports;
  std::map<ZoneId, TimedLoads> m_zones;
  Millis m_fromRelayAt = Millis(-1'000'000);
  std::vector<ServerLoad> m_fromRelay;
  WorkByModel m_workFromRelay;
  bool m_includesOwnWork = false;
};

} // namespace briarglade
