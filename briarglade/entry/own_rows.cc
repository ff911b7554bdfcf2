// Encodes and decodes the rows that entry nodes write, as JSON.

#include "briarglade/entry/own_rows.h"

#include <nlohmann/json.hpp>

#include "briarglade/base/parse_endpoint.h"

namespace briarglade {

namespace {

using nlohmann::json;

// Returns the value of the JSON member, or nothing if it is missing or of
// another type.
template<typename Value>
std::optional<Value> Read(const json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return std::nullopt;
  }
  const bool hasExpectedType = std::is_same_v<Value, std::string>
                                 ? found->is_string()
                                 : found->is_number_integer();
  return hasExpectedType ? std::optional<Value>(found->template get<Value>())
                         : std::nullopt;
}

std::optional<Endpoint> ReadEndpoint(const json& aObject, const char* aName)
{
  const std::optional<std::string> text = Read<std::string>(aObject, aName);
  if (!text) {
    return std::nullopt;
  }
  Result<Endpoint> endpoint = ParseEndpoint(*text);
  if (GetError(endpoint) != nullptr) {
    return std::nullopt;
  }
  return std::get<Endpoint>(endpoint);
}

} // namespace

RowKey NodeRowKey(const NodeId& aNode)
{
  return RowKey(kNodeRowPrefix + aNode.Value());
}

std::string EncodeNodeRow(const NodeRow& aRow)
{
  return json{
    { "node", aRow.m_node.Value() },
    { "zone", aRow.m_zone.Value() },
    { "callers", aRow.m_callerAddress.ToString() },
    { "peers", aRow.m_peerAddress.ToString() },
    { "incarnation", aRow.m_incarnation },
    { "processor-share", aRow.m_processorShare }
  }.dump();
}

std::string EncodeLeaseRow(const LeaseRow& aRow)
{
  return json{
    { "holder", aRow.m_holder.Value() },
    { "incarnation", aRow.m_incarnation },
    { "until-ms", aRow.m_until.Count() },
    { "era", aRow.m_era.Value() }
  }.dump();
}

std::optional<NodeRow> DecodeNodeRow(const std::string& aText)
{
  const json object = json::parse(aText, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  const auto node = Read<std::string>(object, "node");
  const auto zone = Read<std::string>(object, "zone");
  const auto callers = ReadEndpoint(object, "callers");
  const auto peers = ReadEndpoint(object, "peers");
  const auto incarnation = Read<uint64_t>(object, "incarnation");
  // Rows written by earlier versions lack this member.
  const auto processorShare =
    Read<uint32_t>(object, "processor-share").value_or(0);
  if (!node || !zone || !callers || !peers || !incarnation) {
    return std::nullopt;
  }
  return NodeRow{ NodeId(*node), ZoneId(*zone), *callers,
                  *peers,        *incarnation,  processorShare };
}

std::optional<LeaseRow> DecodeLeaseRow(const std::string& aText)
{
  const json object = json::parse(aText, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  const auto holder = Read<std::string>(object, "holder");
  const auto incarnation = Read<uint64_t>(object, "incarnation");
  const auto until = Read<int64_t>(object, "until-ms");
  if (!holder || !incarnation || !until) {
    return std::nullopt;
  }
  // Rows written by earlier versions lack this member.
  const StoreEra era(Read<uint64_t>(object, "era").value_or(0));
  return LeaseRow{ NodeId(*holder), *incarnation, Millis(*until), era };
}

} // namespace briarglade
