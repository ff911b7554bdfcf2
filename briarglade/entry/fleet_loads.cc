// Sums of the in-flight loads and the requested work of other nodes.

#include "briarglade/entry/fleet_loads.h"

#include <algorithm>
#include <utility>

#include "briarglade/base/erase_if.h"

namespace briarglade {

namespace {

// Loads that have not been updated for this long are discarded.
constexpr Millis kLoadLifetime = Millis(2'000);
// The number of own reports to keep: those that may be on the way to a relay
// and back in its digest.
constexpr size_t kMaxOwnReports = 32;

using Sums = std::map<HostId, ServerLoad>;

void Add(Sums& aSums, const std::vector<ServerLoad>& aLoads)
{
  for (const ServerLoad& load : aLoads) {
    ServerLoad& sum = aSums[load.m_server];
    sum.m_inFlight += load.m_inFlight;
    sum.m_pendingPromptTokens += load.m_pendingPromptTokens;
  }
}

void Subtract(Sums& aSums, const std::vector<ServerLoad>& aLoads)
{
  for (const ServerLoad& load : aLoads) {
    const auto sum = aSums.find(load.m_server);
    if (sum == aSums.end()) {
      continue;
    }
    ServerLoad& rest = sum->second;
    rest.m_inFlight -= std::min(rest.m_inFlight, load.m_inFlight);
    rest.m_pendingPromptTokens -=
      std::min(rest.m_pendingPromptTokens, load.m_pendingPromptTokens);
  }
}

std::vector<ServerLoad> ToList(const Sums& aSums)
{
  std::vector<ServerLoad> list;
  list.reserve(aSums.size());
  for (const auto& [server, sum] : aSums) {
    if (sum.m_inFlight > 0) {
      list.push_back(
        ServerLoad{ server, sum.m_inFlight, sum.m_pendingPromptTokens });
    }
  }
  return list;
}

template<typename Parts>
void AddAll(Sums& aSums, const Parts& aLoadsBySource)
{
  for (const auto& [source, timed] : aLoadsBySource) {
    Add(aSums, timed.m_loads);
  }
}

template<typename Parts>
void AddAllWork(WorkByModel& aSum, const Parts& aLoadsBySource)
{
  for (const auto& [source, timed] : aLoadsBySource) {
    AddWork(aSum, timed.m_work);
  }
}

} // namespace

std::vector<ServerLoad> AddLoads(const std::vector<ServerLoad>& aOne,
                                 const std::vector<ServerLoad>& aOther)
{
  Sums sums;
  Add(sums, aOne);
  Add(sums, aOther);
  return ToList(sums);
}

void FleetLoads::OnOwnReport(uint16_t aNumber, std::vector<ServerLoad> aLoads)
{
  m_ownReports.push_back(OwnReport{ aNumber, std::move(aLoads) });
  if (m_ownReports.size() > kMaxOwnReports) {
    m_ownReports.pop_front();
  }
}

void FleetLoads::OnReport(Millis aSentAt,
                          const NodeId& aNode,
                          uint16_t aNumber,
                          std::vector<ServerLoad> aLoads,
                          WorkByModel aWork)
{
  const auto known = m_reports.find(aNode);
  if (known != m_reports.end() && aSentAt < known->second.m_at) {
    return;
  }
  m_reports[aNode] =
    TimedLoads{ aSentAt, aNumber, std::move(aLoads), std::move(aWork) };
}

void FleetLoads::OnZone(Millis aAsOf,
                        const ZoneId& aZone,
                        std::vector<ServerLoad> aLoads,
                        WorkByModel aWork)
{
  m_zones[aZone] = TimedLoads{ aAsOf, 0, std::move(aLoads), std::move(aWork) };
}

bool FleetLoads::OnFleet(Millis aNow,
                         Millis aSentAt,
                         const std::vector<ServerLoad>& aLoads,
                         std::optional<uint16_t> aOwnNumber,
                         WorkByModel aWork)
{
  if (aSentAt < m_fromRelayAt || aNow - aSentAt > kLoadLifetime) {
    return false;
  }
  m_workFromRelay = std::move(aWork);
  m_includesOwnWork = aOwnNumber.has_value();
  Sums sums;
  Add(sums, aLoads);
  for (const OwnReport& own : m_ownReports) {
    if (aOwnNumber == own.m_number) {
      Subtract(sums, own.m_loads);
    }
  }
  m_fromRelay = ToList(sums);
  m_fromRelayAt = aSentAt;
  return true;
}

bool FleetLoads::Expire(Millis aNow)
{
  const auto isExpired = [&](const auto& aEntry) {
    return aNow - aEntry.second.m_at > kLoadLifetime;
  };
  EraseIf(m_reports, isExpired);
  EraseIf(m_zones, isExpired);
  const bool isRelaySumExpired =
    !m_fromRelay.empty() && aNow - m_fromRelayAt > kLoadLifetime;
  if (aNow - m_fromRelayAt > kLoadLifetime) {
    m_workFromRelay.clear();
  }
  if (isRelaySumExpired) {
    m_fromRelay.clear();
  }
  return isRelaySumExpired;
}

uint16_t FleetLoads::ReportNumber(const NodeId& aNode) const
{
  const auto report = m_reports.find(aNode);
  return report == m_reports.end() ? uint16_t{ 0 } : report->second.m_number;
}

std::vector<ServerLoad> FleetLoads::SumOfReports() const
{
  Sums sums;
  AddAll(sums, m_reports);
  return ToList(sums);
}

std::vector<ServerLoad> FleetLoads::SumOfZone(const ZoneId& aZone) const
{
  const auto zone = m_zones.find(aZone);
  return zone == m_zones.end() ? std::vector<ServerLoad>()
                               : zone->second.m_loads;
}

WorkByModel FleetLoads::WorkOfReports() const
{
  WorkByModel sum;
  AddAllWork(sum, m_reports);
  return sum;
}

WorkByModel FleetLoads::WorkOfReportsAndZones() const
{
  WorkByModel sum;
  AddAllWork(sum, m_reports);
  AddAllWork(sum, m_zones);
  return sum;
}

WorkByModel FleetLoads::WorkOfZone(const ZoneId& aZone) const
{
  const auto zone = m_zones.find(aZone);
  return zone == m_zones.end() ? WorkByModel() : zone->second.m_work;
}

std::vector<ServerLoad> FleetLoads::SumOfReportsAndZones() const
{
  Sums sums;
  AddAll(sums, m_reports);
  AddAll(sums, m_zones);
  return ToList(sums);
}

} // namespace briarglade
