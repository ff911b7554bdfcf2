// What the other nodes have in flight at each server, added up from what has
// been told: by the nodes that report here, by relays of other zones, or by
// this node's own relay, whose sums hold this node's last report as well.
//
// Example:
//   loads.OnOwnReport(number, ownLoads);
//   loads.OnFleet(now, digest.m_loads, numberInDigest);
//   Use(loads.Told());

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/gateway/gateway_event.h"

namespace briarglade {

// Returns the sum of two lists of loads, in order of the servers.
std::vector<ServerLoad> AddLoads(const std::vector<ServerLoad>& aOne,
                                 const std::vector<ServerLoad>& aOther);

class FleetLoads
{
public:
  // This node has reported its own loads under a number.
  void OnOwnReport(uint16_t aNumber, std::vector<ServerLoad> aLoads);
  // A node has reported here.
  void OnReport(Millis aNow,
                const NodeId& aNode,
                uint16_t aNumber,
                std::vector<ServerLoad> aLoads);
  // A zone's sum as of a time.
  void OnZone(Millis aAsOf,
              const ZoneId& aZone,
              std::vector<ServerLoad> aLoads);
  // The fleet's sum, with this node's own report of a number in it; nothing:
  // with none.
  void OnFleet(Millis aNow,
               const std::vector<ServerLoad>& aLoads,
               std::optional<uint16_t> aOwnNumber);
  // Forgets what is too old. Returns whether that goes for what this node's
  // relay has told.
  bool Expire(Millis aNow);

  // Returns the number of the last report of a node; zero: there is none.
  uint16_t ReportNumber(const NodeId& aNode) const;
  // Return the loads of the nodes that report here, and of all other nodes as
  // their relay knows them.
  std::vector<ServerLoad> SumOfReports() const;
  std::vector<ServerLoad> SumOfReportsAndZones() const;
  std::vector<ServerLoad> SumOfZone(const ZoneId& aZone) const;
  // Returns the loads of all other nodes as this node's relay has told them.
  const std::vector<ServerLoad>& FromRelay() const { return m_fromRelay; }

private:
  struct TimedLoads
  {
    Millis m_at;
    uint16_t m_number = 0;
    std::vector<ServerLoad> m_loads;
  };
  struct OwnReport
  {
    uint16_t m_number = 0;
    std::vector<ServerLoad> m_loads;
  };

  std::deque<OwnReport> m_ownReports;
  std::map<NodeId, TimedLoads> m_reports;
  std::map<ZoneId, TimedLoads> m_zones;
  Millis m_fromRelayAt;
  std::vector<ServerLoad> m_fromRelay;
};

} // namespace briarglade
