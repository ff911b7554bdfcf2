// Fact rows as JSON text.

#include "briarglade/membership/fact_row.h"

#include <nlohmann/json.hpp>

#include "briarglade/config/fleet_json.h"
#include "briarglade/membership/timing.h"

namespace briarglade {

namespace {

using nlohmann::json;

json ParseObject(const std::string& aValue)
{
  json value = json::parse(aValue, nullptr, false);
  return value.is_object() ? value : json::object();
}

json ChangeToJson(const ChangeRecord& aChange)
{
  return json{ { "version", aChange.m_version },
               { "who", aChange.m_who },
               { "why", aChange.m_why },
               { "when", aChange.m_whenUnixMs },
               { "operation", aChange.m_operation.Value() },
               { "what", aChange.m_what } };
}

ChangeRecord ChangeFromJson(const json& aValue)
{
  ChangeRecord change;
  change.m_version = aValue.value("version", uint64_t{ 0 });
  change.m_who = aValue.value("who", "");
  change.m_why = aValue.value("why", "");
  change.m_whenUnixMs = aValue.value("when", uint64_t{ 0 });
  change.m_operation = OperationId(aValue.value("operation", ""));
  change.m_what = aValue.value("what", "");
  return change;
}

std::string WriteFact(json aBody,
                      const ChangeRecord& aChange,
                      const std::string& aFormerValue)
{
  json history = json::array({ ChangeToJson(aChange) });
  for (const ChangeRecord& former : ReadHistory(aFormerValue)) {
    if (history.size() < kHistoryLength) {
      history.push_back(ChangeToJson(former));
    }
  }
  aBody["version"] = aChange.m_version;
  aBody["history"] = std::move(history);
  return aBody.dump(-1, ' ', false, json::error_handler_t::replace);
}

json NodeToJson(const RosterNode& aNode)
{
  return json{ { "id", aNode.m_id.Value() },
               { "ip", aNode.m_endpoint.m_ip },
               { "port", aNode.m_endpoint.m_port },
               { "zone", aNode.m_zone.Value() },
               { "caller_ip", aNode.m_callerEndpoint.m_ip },
               { "caller_port", aNode.m_callerEndpoint.m_port } };
}

RosterNode NodeFromJson(const json& aValue)
{
  RosterNode node;
  node.m_id = NodeId(aValue.value("id", ""));
  node.m_endpoint =
    Endpoint{ aValue.value("ip", ""), aValue.value("port", uint16_t{ 0 }) };
  node.m_zone = ZoneId(aValue.value("zone", ""));
  node.m_callerEndpoint =
    Endpoint{ aValue.value("caller_ip", ""),
              aValue.value("caller_port", uint16_t{ 0 }) };
  return node;
}

} // namespace

std::optional<FactRow> ParseFactRow(const RegionId& aRegion,
                                    const TableRow& aRow)
try {
  FactRow row;
  if (!ParseFactKey(aRegion, aRow.m_key, row.m_name)) {
    return std::nullopt;
  }
  row.m_version = ParseObject(aRow.m_value).value("version", uint64_t{ 0 });
  row.m_rowVersion = aRow.m_version;
  row.m_operation = aRow.m_operation;
  row.m_value = aRow.m_value;
  return row;
} catch (const json::exception&) {
  return std::nullopt;
}

std::optional<FleetConfig> ReadConfigFact(const std::string& aValue)
try {
  const Result<FleetConfig> fleet =
    FleetFromJson(ParseObject(aValue).value("fleet", ""));
  if (GetError(fleet) != nullptr) {
    return std::nullopt;
  }
  return std::get<FleetConfig>(fleet);
} catch (const json::exception&) {
  return std::nullopt;
}

std::optional<RosterFact> ReadRosterFact(const std::string& aValue)
try {
  const json value = ParseObject(aValue);
  RosterFact roster;
  for (const json& node : value.at("nodes")) {
    roster.m_nodes.push_back(NodeFromJson(node));
  }
  const std::string step = value.at("step");
  roster.m_step = step == "leave"  ? RosterStep::Leave
                  : step == "move" ? RosterStep::Move
                                   : RosterStep::Join;
  roster.m_changed = NodeFromJson(value.at("changed"));
  return roster;
} catch (const json::exception&) {
  return std::nullopt;
}

std::optional<ZoneState> ReadZoneFact(const std::string& aValue)
try {
  const std::string state = ParseObject(aValue).at("state");
  return state == "out" ? ZoneState::Out : ZoneState::In;
} catch (const json::exception&) {
  return std::nullopt;
}

std::vector<ChangeRecord> ReadHistory(const std::string& aValue)
try {
  std::vector<ChangeRecord> changes;
  for (const json& change :
       ParseObject(aValue).value("history", json::array())) {
    changes.push_back(ChangeFromJson(change));
  }
  return changes;
} catch (const json::exception&) {
  return {};
}

std::string WriteConfigFact(const std::string& aFleetJson,
                            const ChangeRecord& aChange,
                            const std::string& aFormerValue)
{
  return WriteFact(json{ { "fleet", aFleetJson } }, aChange, aFormerValue);
}

std::string WriteRosterFact(const RosterFact& aRoster,
                            const ChangeRecord& aChange,
                            const std::string& aFormerValue)
{
  json nodes = json::array();
  for (const RosterNode& node : aRoster.m_nodes) {
    nodes.push_back(NodeToJson(node));
  }
  const char* step = aRoster.m_step == RosterStep::Leave  ? "leave"
                     : aRoster.m_step == RosterStep::Move ? "move"
                                                          : "join";
  return WriteFact(json{ { "nodes", std::move(nodes) },
                         { "step", step },
                         { "changed", NodeToJson(aRoster.m_changed) } },
                   aChange,
                   aFormerValue);
}

std::string WriteZoneFact(ZoneState aState,
                          const ChangeRecord& aChange,
                          const std::string& aFormerValue)
{
  const char* state = aState == ZoneState::Out ? "out" : "in";
  return WriteFact(json{ { "state", state } }, aChange, aFormerValue);
}

} // namespace briarglade
