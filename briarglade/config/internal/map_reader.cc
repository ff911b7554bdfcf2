// Strict reading of one map.

#include "briarglade/config/internal/map_reader.h"

#include <algorithm>
#include <utility>

namespace briarglade {

namespace {

std::string JoinWords(const std::vector<std::string>& aWords)
{
  std::string text;
  for (const std::string& word : aWords) {
    text += (text.empty() ? "" : ", ") + word;
  }
  return text;
}

} // namespace

MapReader::MapReader(const ConfigNode& aNode,
                     std::string aPath,
                     std::vector<std::string> aAllowed,
                     FaultLog& aFaults)
  : m_node(aNode)
  , m_path(std::move(aPath))
  , m_faults(aFaults)
{
  if (m_node.m_kind != ConfigNode::Kind::Map) {
    m_faults.Add(m_node.m_position,
                 m_path,
                 "is not a map; allowed: a map of " + JoinWords(aAllowed));
  }
  for (const ConfigEntry& entry : m_node.m_entries) {
    m_faults.Remember(PathOf(entry.m_name), entry.m_position);
    if (std::find(aAllowed.begin(), aAllowed.end(), entry.m_name) ==
        aAllowed.end()) {
      m_faults.Add(entry.m_position,
                   PathOf(entry.m_name),
                   "unknown key; allowed: " + JoinWords(aAllowed));
    }
  }
}

std::string MapReader::PathOf(const std::string& aName) const
{
  return JoinPath(m_path, aName);
}

const ConfigNode* MapReader::Find(const std::string& aName,
                                  Presence aPresence,
                                  const std::string& aAllowed)
{
  const ConfigNode* node = m_node.Find(aName);
  if (node == nullptr && aPresence == Presence::Required &&
      m_node.m_kind == ConfigNode::Kind::Map) {
    m_faults.Add(
      m_node.m_position, PathOf(aName), "is missing; allowed: " + aAllowed);
  }
  return node;
}

bool MapReader::CheckKind(const ConfigNode& aNode,
                          const std::string& aName,
                          const std::string& aAllowed)
{
  const bool isList = aNode.m_kind == ConfigNode::Kind::List;
  if (!isList) {
    ReportValue(aNode, aName, aAllowed);
  }
  return isList;
}

void MapReader::ReportValue(const ConfigNode& aNode,
                            const std::string& aName,
                            const std::string& aAllowed)
{
  m_faults.Add(aNode.m_position,
               PathOf(aName),
               aNode.ToString() + " is not allowed; allowed: " + aAllowed);
}

const std::vector<ConfigEntry>& MapReader::Entries(const std::string& aName,
                                                   Presence aPresence)
{
  static const std::vector<ConfigEntry> kNone;
  const ConfigNode* node = Find(aName, aPresence, "a map of names");
  if (node == nullptr) {
    return kNone;
  }
  if (node->m_kind != ConfigNode::Kind::Map) {
    ReportValue(*node, aName, "a map of names");
    return kNone;
  }
  const ValueType<std::string> name = Name();
  for (const ConfigEntry& entry : node->m_entries) {
    const std::string path = JoinPath(PathOf(aName), entry.m_name);
    m_faults.Remember(path, entry.m_position);
    if (!name.m_parse(entry.m_name)) {
      m_faults.Add(
        entry.m_position, path, "is no name; allowed: " + name.m_allowed);
    }
  }
  return node->m_entries;
}

} // namespace briarglade
