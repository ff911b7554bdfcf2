// Reads the sections of a merged fleet file into the configuration.

#pragma once

#include <set>

#include "briarglade/config/fleet_config.h"

namespace briarglade {

struct ConfigNode;
class FaultLog;

// A configuration that has been read and not yet checked as a whole.
struct FleetDraft
{
  FleetConfig m_fleet;
  // The accounts whose share is a percentage.
  std::set<AccountId> m_percentShares;
};

// Reads every section. Reports each faulty key and leaves it at its default.
FleetDraft ReadSections(const ConfigNode& aRoot, FaultLog& aFaults);

} // namespace briarglade
