// Tests of the sums of other nodes' in-flight loads.

#include "briarglade/entry/fleet_loads.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

std::vector<ServerLoad> Load(uint32_t aInFlight, uint32_t aTokens = 0)
{
  return { ServerLoad{ HostId("s"), aInFlight, aTokens } };
}

uint32_t InFlight(const std::vector<ServerLoad>& aLoads)
{
  return aLoads.empty() ? 0 : aLoads.front().m_inFlight;
}

TEST_CASE("this node's own report is subtracted from the relay's sum")
{
  FleetLoads loads;
  loads.OnOwnReport(1, Load(2, 100));
  loads.OnOwnReport(2, Load(5, 300));
  loads.OnFleet(Millis(1'000), Load(9, 700), 1);
  CHECK(InFlight(loads.FromRelay()) == 7);
  CHECK(loads.FromRelay().front().m_pendingPromptTokens == 600);
  loads.OnFleet(Millis(1'000), Load(9, 700), 2);
  CHECK(InFlight(loads.FromRelay()) == 4);
  // The relay has no report of this node.
  loads.OnFleet(Millis(1'000), Load(9, 700), std::nullopt);
  CHECK(InFlight(loads.FromRelay()) == 9);
}

TEST_CASE("the last reports and zone sums are added up until they expire")
{
  FleetLoads loads;
  loads.OnReport(Millis(1'000), NodeId("n1"), 1, Load(3));
  loads.OnReport(Millis(2'000), NodeId("n1"), 2, Load(1));
  loads.OnReport(Millis(2'000), NodeId("n2"), 7, Load(2));
  loads.OnZone(Millis(1'500), ZoneId("b"), Load(10));
  CHECK(InFlight(loads.SumOfReports()) == 3);
  CHECK(InFlight(loads.SumOfReportsAndZones()) == 13);
  CHECK(loads.ReportNumber(NodeId("n1")) == 2);
  CHECK(InFlight(loads.SumOfZone(ZoneId("b"))) == 10);
  CHECK_FALSE(loads.Expire(Millis(3'900)));
  CHECK(InFlight(loads.SumOfReportsAndZones()) == 3);
  loads.Expire(Millis(4'100));
  CHECK(loads.SumOfReportsAndZones().empty());
}

TEST_CASE("the relay's sum expires, which is reported once")
{
  FleetLoads loads;
  loads.OnFleet(Millis(1'000), Load(9), std::nullopt);
  CHECK_FALSE(loads.Expire(Millis(2'000)));
  CHECK(loads.Expire(Millis(3'100)));
  CHECK(loads.FromRelay().empty());
  CHECK_FALSE(loads.Expire(Millis(3'200)));
}

} // namespace
} // namespace briarglade
