// Collects the faults of fleet files, and remembers where each key is written
// so that a check over the whole fleet can point at a line.
//
// Example:
//   FaultLog faults({ "base.yaml" });
//   faults.Add(position, "models.drafting.members", "is missing");
//   load.m_errors = faults.Sorted();

#pragma once

#include <map>
#include <string>
#include <vector>

#include "briarglade/config/fleet_yaml.h"
#include "briarglade/config/internal/config_node.h"

namespace briarglade {

class FaultLog
{
public:
  // Takes the names of the files in the order in which to report them.
  explicit FaultLog(std::vector<std::string> aFiles);

  // Reports a fault at a position.
  void Add(const Position& aPosition,
           const std::string& aKey,
           const std::string& aMessage);

  // Remembers where a key is written.
  void Remember(const std::string& aKey, const Position& aPosition);

  // Reports a fault where the key is written; if it is not written, where its
  // nearest parent is.
  void AddAt(const std::string& aKey, const std::string& aMessage);

  // Tells whether a fault was reported in a section, such as "hosts".
  bool HasFaultIn(const std::string& aSection) const;

  // Returns the faults in the order of files and lines. Faults of one line with
  // equal messages, as those of a range of hosts, are reported once.
  std::vector<FleetError> Sorted() const;

private:
  std::vector<std::string> m_files;
  std::vector<FleetError> m_errors;
  std::map<std::string, Position> m_positions;
};

} // namespace briarglade
