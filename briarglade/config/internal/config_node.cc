// From YAML text to a tree with positions.

#include "briarglade/config/internal/config_node.h"

#include <exception>
#include <utility>
#include <yaml-cpp/yaml.h>

#include "briarglade/config/fleet_yaml.h"
#include "briarglade/config/internal/fault_log.h"

namespace briarglade {

namespace {

// Bounds on one file; aliases could make a short text expand without end.
constexpr size_t kMaxNodes = 1'000'000;
constexpr int kMaxDepth = 16;

class TreeBuilder
{
public:
  TreeBuilder(const std::string& aFile, FaultLog& aFaults)
    : m_file(aFile)
    , m_faults(aFaults)
  {
  }

  ConfigNode Build(const YAML::Node& aNode,
                   const std::string& aPath,
                   int aDepth)
  {
    ConfigNode node;
    node.m_position = PositionOf(aNode);
    if (++m_nodes > kMaxNodes || aDepth > kMaxDepth) {
      ReportSize(node.m_position, aPath);
      return node;
    }
    if (aNode.IsScalar()) {
      node.m_kind = ConfigNode::Kind::Scalar;
      node.m_text = aNode.Scalar();
    } else if (aNode.IsSequence()) {
      node.m_kind = ConfigNode::Kind::List;
      BuildItems(aNode, aPath, aDepth, node);
    } else if (aNode.IsMap()) {
      node.m_kind = ConfigNode::Kind::Map;
      BuildEntries(aNode, aPath, aDepth, node);
    }
    return node;
  }

private:
  Position PositionOf(const YAML::Node& aNode) const
  {
    return Position{ m_file, aNode.Mark().line + 1 };
  }

  void ReportSize(const Position& aPosition, const std::string& aPath)
  {
    if (!m_tooLarge) {
      m_faults.Add(aPosition,
                   aPath,
                   "is nested too deeply or too large; allowed: " +
                     std::to_string(kMaxDepth) + " levels and " +
                     std::to_string(kMaxNodes) + " values in a file");
    }
    m_tooLarge = true;
  }

  void BuildItems(const YAML::Node& aNode,
                  const std::string& aPath,
                  int aDepth,
                  ConfigNode& aList)
  {
    for (const YAML::Node& item : aNode) {
      if (m_tooLarge) {
        return;
      }
      aList.m_items.push_back(Build(item, aPath, aDepth + 1));
    }
  }

  void BuildEntries(const YAML::Node& aNode,
                    const std::string& aPath,
                    int aDepth,
                    ConfigNode& aMap)
  {
    for (const auto& pair : aNode) {
      if (m_tooLarge) {
        return;
      }
      const Position position = PositionOf(pair.first);
      if (!pair.first.IsScalar()) {
        m_faults.Add(position, aPath, "a key is not plain text");
        continue;
      }
      const std::string& name = pair.first.Scalar();
      const std::string path = JoinPath(aPath, name);
      if (aMap.Find(name) != nullptr) {
        m_faults.Add(position, path, "duplicate key; allowed: each key once");
        continue;
      }
      ConfigNode value = Build(pair.second, path, aDepth + 1);
      if (value.m_kind == ConfigNode::Kind::Empty) {
        value.m_position = position;
      }
      aMap.m_entries.push_back({ name, position, std::move(value) });
    }
  }

  const std::string& m_file;
  FaultLog& m_faults;
  size_t m_nodes = 0;
  bool m_tooLarge = false;
};

const ConfigNode* FindEntry(const std::vector<ConfigEntry>& aEntries,
                            const std::string& aName)
{
  for (const ConfigEntry& entry : aEntries) {
    if (entry.m_name == aName) {
      return &entry.m_value;
    }
  }
  return nullptr;
}

ConfigNode BuildTree(const FleetFile& aFile, FaultLog& aFaults)
{
  const std::vector<YAML::Node> documents = YAML::LoadAll(aFile.m_text);
  if (documents.size() != 1 || !documents.front().IsMap()) {
    aFaults.Add(
      { aFile.m_name, 1 }, "", "is not a fleet file; allowed: one YAML map");
    return ConfigNode{};
  }
  return TreeBuilder(aFile.m_name, aFaults).Build(documents.front(), "", 1);
}

} // namespace

const ConfigNode* ConfigNode::Find(const std::string& aName) const
{
  return FindEntry(m_entries, aName);
}

ConfigNode* ConfigNode::Find(const std::string& aName)
{
  return const_cast<ConfigNode*>(FindEntry(m_entries, aName));
}

std::string ConfigNode::ToString() const
{
  std::string text;
  switch (m_kind) {
    case Kind::Empty:
      return "(nothing)";
    case Kind::Scalar:
      return m_text;
    case Kind::List:
      for (const ConfigNode& item : m_items) {
        text += (text.empty() ? "" : ", ") + item.ToString();
      }
      return "[" + text + "]";
    case Kind::Map:
      for (const ConfigEntry& entry : m_entries) {
        text += (text.empty() ? "" : ", ") + entry.m_name + ": " +
                entry.m_value.ToString();
      }
      return "{" + text + "}";
  }
  return text;
}

ConfigNode ParseConfig(const FleetFile& aFile, FaultLog& aFaults)
{
  try {
    return BuildTree(aFile, aFaults);
  } catch (const YAML::Exception& exception) {
    aFaults.Add({ aFile.m_name, exception.mark.line + 1 },
                "",
                "is not YAML: " + exception.msg);
  } catch (const std::exception& exception) {
    aFaults.Add({ aFile.m_name, 0 }, "", exception.what());
  }
  return ConfigNode{};
}

std::string JoinPath(const std::string& aParent, const std::string& aName)
{
  return aParent.empty() ? aName : aParent + "." + aName;
}

} // namespace briarglade
