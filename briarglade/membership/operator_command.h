// The operators' commands as the decision core sees them, and their answers.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/result_code.h"
#include "briarglade/config/fleet_config.h"

namespace briarglade {

// One run of an operator's command, on the node that carries it out.
using CommandId = StrongId<struct CommandIdTag>;

// Put a new configuration in force.
struct ApplyCommand
{
  CommandId m_command;
  // The canonical JSON form, checked.
  std::string m_fleetJson;
  // The version that the operator has seen; zero: no configuration yet.
  ConfigVersion m_base;
  std::string m_who;
  std::string m_why;
  // Wall-clock time for the audit, in milliseconds since 1970; set by the
  // shell.
  uint64_t m_whenUnixMs = 0;
};

// Take an availability zone out, or bring it back.
struct ZoneCommand
{
  CommandId m_command;
  ZoneId m_zone;
  ZoneState m_state = ZoneState::Out;
  std::string m_who;
  std::string m_why;
  // Wall-clock time for the audit, in milliseconds since 1970; set by the
  // shell.
  uint64_t m_whenUnixMs = 0;
};

// The answer to a command. Ok: accepted. ChangeRecorded: not confirmed yet.
// ChangeRaced, ChangeRefused, TableUnavailable: see the detail.
struct CommandAnswer
{
  CommandId m_command;
  ResultCode m_code = ResultCode::Ok;
  std::string m_detail;
  ConfigVersion m_version;
  // Nodes that have not acknowledged the change.
  std::vector<NodeId> m_missing;
};

} // namespace briarglade
