// What changes between two configurations, and what that restarts or moves.
//
// Example:
//   for (const FleetChange& change : DiffFleets(inForce, wanted)) {
//     Print(change.ToString());
//   }

#pragma once

#include <string>
#include <vector>

namespace briarglade {

struct FleetConfig;

// What putting a change in force does to the running fleet, from the least to
// the most.
enum class ChangeImpact
{
  // Nothing restarts or moves: nodes use the new value from then on.
  TakesEffect,
  // Free hosts load the model; running groups go on.
  GroupsAdded,
  // Groups finish what is in flight and are released.
  GroupsDrained,
  // A host takes up work; nothing that runs is touched.
  HostAdded,
  // The group or plain server on the host finishes what is in flight; the group
  // re-forms on other hosts.
  HostDrained,
  // Every group of the model drains and re-forms.
  GroupsReformed,
  // Callers of the account are refused.
  CallersRefused,
  // Every node has to be restarted with new settings.
  NodesRestarted
};

// One key whose value differs.
struct FleetChange
{
  // The path of the key, such as "models.drafting.members".
  std::string m_key;
  // Empty if the key is added or removed.
  std::string m_before;
  std::string m_after;
  ChangeImpact m_impact = ChangeImpact::TakesEffect;

  // Returns the change in one line.
  std::string ToString() const;
};

// Returns what the impact means, for a person to read.
std::string DescribeImpact(ChangeImpact aImpact);

// Returns every difference, ordered by section and name.
std::vector<FleetChange> DiffFleets(const FleetConfig& aBefore,
                                    const FleetConfig& aAfter);

} // namespace briarglade
