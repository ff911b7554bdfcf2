// Reads fleet files in four steps: trees, overlays, sections, checks.

#include "briarglade/config/fleet_yaml.h"

#include "briarglade/config/internal/config_node.h"
#include "briarglade/config/internal/cross_checks.h"
#include "briarglade/config/internal/fault_log.h"
#include "briarglade/config/internal/host_ranges.h"
#include "briarglade/config/internal/overlay_merge.h"
#include "briarglade/config/internal/section_readers.h"

namespace briarglade {

namespace {

std::vector<std::string> NamesOf(const FleetFile& aBase,
                                 const std::vector<FleetFile>& aOverlays)
{
  std::vector<std::string> names = { aBase.m_name };
  for (const FleetFile& overlay : aOverlays) {
    names.push_back(overlay.m_name);
  }
  return names;
}

} // namespace

std::string FleetError::ToString() const
{
  return m_file + ":" + std::to_string(m_line) + ": " +
         (m_key.empty() ? "" : m_key + ": ") + m_message;
}

FleetLoad LoadFleet(const FleetFile& aBase,
                    const std::vector<FleetFile>& aOverlays)
{
  FaultLog faults(NamesOf(aBase, aOverlays));
  ConfigNode base = ParseConfig(aBase, faults);
  std::vector<ConfigNode> overlays;
  for (const FleetFile& overlay : aOverlays) {
    overlays.push_back(ParseConfig(overlay, faults));
  }
  FleetLoad load;
  if (faults.HasFaultIn("")) {
    load.m_errors = faults.Sorted();
    return load;
  }
  ExpandHostRanges(base, faults);
  load.m_deviations = ApplyOverlays(overlays, base, faults);
  const FleetDraft draft = ReadSections(base, faults);
  CheckFleet(draft, faults);
  load.m_config = draft.m_fleet;
  load.m_errors = faults.Sorted();
  return load;
}

} // namespace briarglade
