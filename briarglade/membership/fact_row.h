// The rows that hold the accepted facts: their values as JSON text.
//
// Every value has the fact's own version, which outlives a restored table, the
// latest change (who, when, why, operation) and a bounded history of changes.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/config/fleet_config.h"
#include "briarglade/membership/facts_version.h"

namespace briarglade {

// One row as the nodes hold it and pass it on.
struct FactRow
{
  FactName m_name;
  uint64_t m_version = 0;
  // The row's version in the table, for the next conditional write.
  RowVersion m_rowVersion;
  OperationId m_operation;
  std::string m_value;
};

// Who changed a fact, when and why.
struct ChangeRecord
{
  uint64_t m_version = 0;
  std::string m_who;
  std::string m_why;
  // Milliseconds since 1970, on the operator's node.
  uint64_t m_whenUnixMs = 0;
  OperationId m_operation;
  // What it changed to, in a word: "out", "in", "join node-3", "configuration".
  std::string m_what;
};

// One node on the roster.
struct RosterNode
{
  NodeId m_id;
  // Where the other nodes reach it.
  Endpoint m_endpoint;
  ZoneId m_zone;
  // Where callers reach the node.
  Endpoint m_callerEndpoint;

  bool operator==(const RosterNode& aOther) const
  {
    return m_id == aOther.m_id && m_endpoint == aOther.m_endpoint &&
           m_zone == aOther.m_zone &&
           m_callerEndpoint == aOther.m_callerEndpoint;
  }
};

enum class RosterStep
{
  Join,
  // The node is on the roster already and has another address.
  Move,
  Leave
};

// The roster and the one node by which it differs from the one before.
struct RosterFact
{
  // Sorted by id.
  std::vector<RosterNode> m_nodes;
  RosterStep m_step = RosterStep::Join;
  RosterNode m_changed;
};

// Reads what the nodes need of a table row. Returns nothing if the row holds no
// fact of the region or its value is malformed.
std::optional<FactRow> ParseFactRow(const RegionId& aRegion,
                                    const TableRow& aRow);

// Reads the body of a row. Each returns nothing if the value is malformed.
std::optional<FleetConfig> ReadConfigFact(const std::string& aValue);
std::optional<RosterFact> ReadRosterFact(const std::string& aValue);
std::optional<ZoneState> ReadZoneFact(const std::string& aValue);

// Returns the changes that a value records, the latest first.
std::vector<ChangeRecord> ReadHistory(const std::string& aValue);

// Returns the value of the next version of a row. The former value, if any,
// gives the history.
std::string WriteConfigFact(const std::string& aFleetJson,
                            const ChangeRecord& aChange,
                            const std::string& aFormerValue);
std::string WriteRosterFact(const RosterFact& aRoster,
                            const ChangeRecord& aChange,
                            const std::string& aFormerValue);
std::string WriteZoneFact(ZoneState aState,
                          const ChangeRecord& aChange,
                          const std::string& aFormerValue);

} // namespace briarglade
