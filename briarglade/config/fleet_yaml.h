// Reads the operators' fleet files: one base and any number of site overlays.
//
// Example:
//   FleetLoad load = LoadFleet(base, { overlay });
//   for (const FleetError& error : load.m_errors) { Print(error); }

#pragma once

#include <string>
#include <vector>

#include "briarglade/config/fleet_config.h"

namespace briarglade {

// The text of one file and the name that errors give it.
struct FleetFile
{
  std::string m_name;
  std::string m_text;
};

// One fault: where it is, and what is allowed there.
struct FleetError
{
  std::string m_file;
  // Counted from 1; 0 when the fault belongs to no line.
  int m_line = 0;
  // The path of the key, such as "models.drafting.members".
  std::string m_key;
  std::string m_message;

  // Returns "file:line: key: message".
  std::string ToString() const;
};

// One value that an overlay sets, with the reason that it gives.
struct Deviation
{
  std::string m_file;
  int m_line = 0;
  std::string m_key;
  // What the base says; empty if the overlay adds the value.
  std::string m_baseValue;
  std::string m_siteValue;
  std::string m_reason;
};

// What came of reading the files. The configuration counts only without errors.
struct FleetLoad
{
  FleetConfig m_config;
  std::vector<Deviation> m_deviations;
  std::vector<FleetError> m_errors;
};

// Parses the base, applies the overlays in order and checks the whole. Reports
// every fault found in one run.
FleetLoad LoadFleet(const FleetFile& aBase,
                    const std::vector<FleetFile>& aOverlays);

} // namespace briarglade
