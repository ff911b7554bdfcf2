// Merging of overlays.

#include "briarglade/config/internal/overlay_merge.h"

#include <map>
#include <sstream>
#include <utility>

#include "briarglade/config/internal/config_node.h"
#include "briarglade/config/internal/fault_log.h"
#include "briarglade/config/internal/map_reader.h"

namespace briarglade {

namespace {

constexpr char kSet[] = "set";
constexpr size_t kShortestReason = 8;

// One entry of an overlay.
struct OverlayEntry
{
  Position m_position;
  std::string m_path;
  ConfigNode m_value;
  std::string m_reason;
};

std::vector<std::string> SplitPath(const std::string& aPath)
{
  std::vector<std::string> names;
  std::istringstream stream(aPath);
  for (std::string name; std::getline(stream, name, '.');) {
    names.push_back(name);
  }
  return names;
}

// Tells whether the operators choose the keys of the map at a path: hosts,
// models and the like, as against the settings of one of them.
bool HasChosenKeys(const std::vector<std::string>& aPath)
{
  const size_t depth = aPath.size();
  return depth == 0 || depth == 1 ||
         (depth == 3 &&
          (aPath.back() == "operations" || aPath.back() == "classes"));
}

ValueType<std::string> Reason()
{
  const auto parse =
    [](const std::string& aText) -> std::optional<std::string> {
    return aText.size() >= kShortestReason ? std::optional(aText)
                                           : std::nullopt;
  };
  return { "why the site differs, in " + std::to_string(kShortestReason) +
             " letters or more",
           parse };
}

ValueType<std::string> Path()
{
  const auto parse =
    [](const std::string& aText) -> std::optional<std::string> {
    return aText.empty() ? std::nullopt : std::optional(aText);
  };
  return { "the path of a key in the base, such as "
           "models.drafting.wanted_groups",
           parse };
}

class OverlayMerge
{
public:
  OverlayMerge(ConfigNode& aBase, FaultLog& aFaults)
    : m_base(aBase)
    , m_original(aBase)
    , m_faults(aFaults)
  {
  }

  void Apply(const ConfigNode& aOverlay)
  {
    MapReader reader(aOverlay, "", { kSet }, m_faults);
    const ConfigNode* list = aOverlay.Find(kSet);
    if (list == nullptr || list->m_kind != ConfigNode::Kind::List) {
      m_faults.Add(aOverlay.m_position,
                   kSet,
                   "is missing; allowed: a list, each item with path, value "
                   "and reason");
      return;
    }
    for (const ConfigNode& item : list->m_items) {
      ApplyItem(item);
    }
  }

  std::vector<Deviation> TakeDeviations() { return std::move(m_deviations); }

private:
  void ApplyItem(const ConfigNode& aItem)
  {
    OverlayEntry entry;
    MapReader reader(aItem, kSet, { "path", "value", "reason" }, m_faults);
    reader.Read("path", Presence::Required, Path(), entry.m_path);
    reader.Read("reason", Presence::Required, Reason(), entry.m_reason);
    const ConfigNode* value = aItem.Find("value");
    if (value == nullptr) {
      m_faults.Add(aItem.m_position,
                   JoinPath(kSet, "value"),
                   "is missing; allowed: what the key is set to");
    }
    if (value == nullptr || entry.m_path.empty()) {
      return;
    }
    entry.m_position = aItem.m_position;
    entry.m_value = *value;
    SetPaths(entry);
  }

  // A path with a range stands for one path for each name of the range.
  void SetPaths(const OverlayEntry& aEntry)
  {
    const auto paths = ExpandRange(aEntry.m_path);
    if (!paths) {
      m_faults.Add(aEntry.m_position, aEntry.m_path, "is no range of paths");
      return;
    }
    bool isSet = true;
    for (const std::string& path : *paths) {
      isSet = SetPath(path, aEntry) && isSet;
    }
    if (isSet) {
      const ConfigNode* base = Look(m_original, SplitPath(paths->front()));
      m_deviations.push_back(Deviation{ aEntry.m_position.m_file,
                                        aEntry.m_position.m_line,
                                        aEntry.m_path,
                                        base ? base->ToString() : "",
                                        aEntry.m_value.ToString(),
                                        aEntry.m_reason });
    }
  }

  bool SetPath(const std::string& aPath, const OverlayEntry& aEntry)
  {
    const auto [earlier, isFirst] = m_setAt.emplace(aPath, aEntry.m_position);
    if (!isFirst) {
      m_faults.Add(aEntry.m_position,
                   aPath,
                   "is set already at " + earlier->second.m_file + ":" +
                     std::to_string(earlier->second.m_line) +
                     "; allowed: one entry for each path");
      return false;
    }
    std::vector<std::string> names = SplitPath(aPath);
    const std::string last = names.empty() ? "" : names.back();
    names.resize(names.empty() ? 0 : names.size() - 1);
    ConfigNode* parent = Look(m_base, names);
    const bool isThere = parent != nullptr && parent->Find(last) != nullptr;
    if (!isThere && (parent == nullptr || HasChosenKeys(names) ||
                     parent->m_kind != ConfigNode::Kind::Map)) {
      m_faults.Add(aEntry.m_position,
                   aPath,
                   "is not in the base; allowed: a key that the base has, or a "
                   "setting that it leaves at its default");
      return false;
    }
    Assign(*parent, last, aEntry);
    return true;
  }

  static void Assign(ConfigNode& aParent,
                     const std::string& aName,
                     const OverlayEntry& aEntry)
  {
    for (ConfigEntry& entry : aParent.m_entries) {
      if (entry.m_name == aName) {
        entry.m_position = aEntry.m_position;
        entry.m_value = aEntry.m_value;
        return;
      }
    }
    aParent.m_entries.push_back({ aName, aEntry.m_position, aEntry.m_value });
  }

  static ConfigNode* Look(ConfigNode& aRoot,
                          const std::vector<std::string>& aPath)
  {
    ConfigNode* node = &aRoot;
    for (const std::string& name : aPath) {
      node = node == nullptr ? nullptr : node->Find(name);
    }
    return node;
  }

  ConfigNode& m_base;
  ConfigNode m_original;
  FaultLog& m_faults;
  std::map<std::string, Position> m_setAt;
  std::vector<Deviation> m_deviations;
};

} // namespace

std::vector<Deviation> ApplyOverlays(const std::vector<ConfigNode>& aOverlays,
                                     ConfigNode& aBase,
                                     FaultLog& aFaults)
{
  OverlayMerge merge(aBase, aFaults);
  for (const ConfigNode& overlay : aOverlays) {
    merge.Apply(overlay);
  }
  return merge.TakeDeviations();
}

} // namespace briarglade
