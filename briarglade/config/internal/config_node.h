// The tree of a fleet file: yaml-cpp's nodes with the file and line of each, so
// that a tree merged out of several files still says where each value stands.

#pragma once

#include <string>
#include <vector>

namespace briarglade {

struct FleetFile;
class FaultLog;

// Where a key or value is written. Lines count from 1.
struct Position
{
  std::string m_file;
  int m_line = 0;
};

struct ConfigEntry;

// A value: nothing, plain text, a list or a map in the order of the file.
struct ConfigNode
{
  enum class Kind
  {
    Empty,
    Scalar,
    List,
    Map
  };

  Kind m_kind = Kind::Empty;
  Position m_position;
  std::string m_text;
  std::vector<ConfigNode> m_items;
  std::vector<ConfigEntry> m_entries;

  // Returns the value of a key of this map, or nullptr.
  const ConfigNode* Find(const std::string& aName) const;
  ConfigNode* Find(const std::string& aName);

  // Returns the value in one line, such as "12" or "[a, b]".
  std::string ToString() const;
};

// One key of a map and its value.
struct ConfigEntry
{
  std::string m_name;
  Position m_position;
  ConfigNode m_value;
};

// Parses one file, which holds one map. Reports broken YAML, duplicate keys and
// files that are too large; returns what could be read.
ConfigNode ParseConfig(const FleetFile& aFile, FaultLog& aFaults);

// Joins the parts of a key path with a dot.
std::string JoinPath(const std::string& aParent, const std::string& aName);

} // namespace briarglade
