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
  loads.OnFleet(Millis(1'000), Millis(1'000), Load(9, 700), 1);
  CHECK(InFlight(loads.FromRelay()) == 7);
  CHECK(loads.FromRelay().front().m_pendingPromptTokens == 600);
  loads.OnFleet(Millis(1'000), Millis(1'000), Load(9, 700), 2);
  CHECK(InFlight(loads.FromRelay()) == 4);
  // The relay has no report of this node.
  loads.OnFleet(Millis(1'000), Millis(1'000), Load(9, 700), std::nullopt);
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
  loads.OnFleet(Millis(1'000), Millis(1'000), Load(9), std::nullopt);
  CHECK_FALSE(loads.Expire(Millis(2'000)));
  CHECK(loads.Expire(Millis(3'100)));
  CHECK(loads.FromRelay().empty());
  CHECK_FALSE(loads.Expire(Millis(3'200)));
}

// Guards against loads of seconds ago that a link held back being used as the
// present ones.
TEST_CASE("loads that come after later ones, or too late, are not used")
{
  FleetLoads loads;
  loads.OnReport(Millis(2'000), NodeId("n1"), 2, Load(1));
  loads.OnReport(Millis(1'900), NodeId("n1"), 1, Load(3));
  CHECK(InFlight(loads.SumOfReports()) == 1);
  CHECK(loads.ReportNumber(NodeId("n1")) == 2);
  CHECK(loads.OnFleet(Millis(2'100), Millis(2'000), Load(9), std::nullopt));
  CHECK_FALSE(
    loads.OnFleet(Millis(2'100), Millis(1'900), Load(5), std::nullopt));
  CHECK(InFlight(loads.FromRelay()) == 9);
  CHECK_FALSE(
    loads.OnFleet(Millis(6'000), Millis(3'000), Load(5), std::nullopt));
}

TEST_CASE("the work by model is summed and expires like the loads")
{
  const ModelId model("m");
  const auto work = [&](double aRequests) {
    return WorkByModel{ { model, ModelWork{ aRequests, 100, 10 } } };
  };
  FleetLoads loads;
  loads.OnReport(Millis(2'000), NodeId("n1"), 1, {}, work(3));
  loads.OnReport(Millis(2'000), NodeId("n2"), 1, {}, work(2));
  loads.OnZone(Millis(1'500), ZoneId("b"), {}, work(10));
  CHECK(loads.WorkOfReports().at(model).m_requests == 5);
  CHECK(loads.WorkOfReportsAndZones().at(model).m_requests == 15);
  CHECK(loads.WorkOfReportsAndZones().at(model).m_promptTokens == 300);
  CHECK(loads.WorkOfZone(ZoneId("b")).at(model).m_requests == 10);
  CHECK(loads.WorkOfZone(ZoneId("c")).empty());
  loads.OnFleet(Millis(2'000), Millis(2'000), {}, std::nullopt, work(20));
  CHECK(loads.WorkFromRelay().at(model).m_requests == 20);
  CHECK_FALSE(loads.IncludesOwnWork());
  // Stale work would show a demand that may have shifted.
  loads.Expire(Millis(4'100));
  CHECK(loads.WorkOfReportsAndZones().empty());
  CHECK(loads.WorkFromRelay().empty());
}

} // namespace
} // namespace briarglade
