// Reads the keys of one map of a fleet file strictly: an unknown key, a missing
// one and a value of the wrong kind are each a fault.
//
// Example:
//   MapReader reader(node, "models.drafting", { "members", "priority" },
//   faults); reader.Read("members", Presence::Required, Count(1, 64),
//   model.m_members);

#pragma once

#include <string>
#include <vector>

#include "briarglade/config/internal/config_node.h"
#include "briarglade/config/internal/fault_log.h"
#include "briarglade/config/internal/value_type.h"

namespace briarglade {

enum class Presence
{
  Required,
  Optional
};

class MapReader
{
public:
  // Reports a node that is no map and every key that isn't allowed. The node
  // and the log must outlive the reader.
  MapReader(const ConfigNode& aNode,
            std::string aPath,
            std::vector<std::string> aAllowed,
            FaultLog& aFaults);

  // Reads a value. Leaves aValue alone if the key is absent or faulty.
  template<typename T>
  void Read(const std::string& aName,
            Presence aPresence,
            const ValueType<T>& aType,
            T& aValue)
  {
    if (const ConfigNode* node = Find(aName, aPresence, aType.m_allowed)) {
      ReadText(
        *node, aName, aType, [&](T aRead) { aValue = std::move(aRead); });
    }
  }

  // Reads a list of values; faulty ones are left out.
  template<typename T>
  void ReadList(const std::string& aName,
                Presence aPresence,
                const ValueType<T>& aType,
                std::vector<T>& aValues)
  {
    const std::string allowed = "a list, each item " + aType.m_allowed;
    const ConfigNode* node = Find(aName, aPresence, allowed);
    if (node == nullptr || !CheckKind(*node, aName, allowed)) {
      return;
    }
    for (const ConfigNode& item : node->m_items) {
      ReadText(item, aName, aType, [&](T aRead) {
        aValues.push_back(std::move(aRead));
      });
    }
  }

  // Returns the entries of a map whose keys the operators choose, or none.
  // Reports keys that are no names.
  const std::vector<ConfigEntry>& Entries(const std::string& aName,
                                          Presence aPresence);

  // Returns the path of a key of this map.
  std::string PathOf(const std::string& aName) const;

private:
  const ConfigNode* Find(const std::string& aName,
                         Presence aPresence,
                         const std::string& aAllowed);
  bool CheckKind(const ConfigNode& aNode,
                 const std::string& aName,
                 const std::string& aAllowed);
  void ReportValue(const ConfigNode& aNode,
                   const std::string& aName,
                   const std::string& aAllowed);

  template<typename T, typename Accept>
  void ReadText(const ConfigNode& aNode,
                const std::string& aName,
                const ValueType<T>& aType,
                Accept aAccept)
  {
    std::optional<T> value;
    if (aNode.m_kind == ConfigNode::Kind::Scalar) {
      value = aType.m_parse(aNode.m_text);
    }
    if (value) {
      aAccept(*std::move(value));
    } else {
      ReportValue(aNode, aName, aType.m_allowed);
    }
  }

  const ConfigNode& m_node;
  std::string m_path;
  FaultLog& m_faults;
};

} // namespace briarglade
