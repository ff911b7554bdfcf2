// Expansion of host ranges.

#include "briarglade/config/internal/host_ranges.h"

#include <set>
#include <utility>

#include "briarglade/config/internal/config_node.h"
#include "briarglade/config/internal/fault_log.h"
#include "briarglade/config/internal/value_type.h"

namespace briarglade {

namespace {

constexpr char kHosts[] = "hosts";
constexpr char kAddress[] = "address";

// Returns one address for each name, or nothing after reporting the fault. An
// entry without an address gives empty ones; its reader reports that.
std::vector<std::string> ExpandAddress(const ConfigEntry& aEntry,
                                       size_t aNames,
                                       FaultLog& aFaults)
{
  const ConfigNode* address = aEntry.m_value.Find(kAddress);
  if (address == nullptr || address->m_kind != ConfigNode::Kind::Scalar) {
    return std::vector<std::string>(aNames);
  }
  const auto texts = ExpandRange(address->m_text);
  if (texts && texts->size() == aNames) {
    return *texts;
  }
  aFaults.Add(address->m_position,
              JoinPath(JoinPath(kHosts, aEntry.m_name), kAddress),
              address->m_text +
                " does not give one address for each host; "
                "allowed: a range of " +
                std::to_string(aNames) + ", such as 10.20.1.[11-18]:7000");
  return {};
}

// Returns the entries of single hosts that one entry stands for.
std::vector<ConfigEntry> ExpandEntry(const ConfigEntry& aEntry,
                                     FaultLog& aFaults)
{
  if (aEntry.m_name.find('[') == std::string::npos) {
    return { aEntry };
  }
  const ValueType<std::vector<std::string>> range = NameRange();
  const auto names = range.m_parse(aEntry.m_name);
  if (!names) {
    aFaults.Add(aEntry.m_position,
                JoinPath(kHosts, aEntry.m_name),
                "is no range; allowed: " + range.m_allowed);
    return {};
  }
  const auto addresses = ExpandAddress(aEntry, names->size(), aFaults);
  std::vector<ConfigEntry> hosts;
  for (size_t i = 0; i < addresses.size(); ++i) {
    ConfigEntry host = aEntry;
    host.m_name = (*names)[i];
    if (ConfigNode* address = host.m_value.Find(kAddress)) {
      address->m_text = addresses[i];
    }
    hosts.push_back(std::move(host));
  }
  return hosts;
}

} // namespace

void ExpandHostRanges(ConfigNode& aRoot, FaultLog& aFaults)
{
  ConfigNode* hosts = aRoot.Find(kHosts);
  if (hosts == nullptr) {
    return;
  }
  std::vector<ConfigEntry> expanded;
  std::set<std::string> names;
  for (const ConfigEntry& entry : hosts->m_entries) {
    for (ConfigEntry& host : ExpandEntry(entry, aFaults)) {
      if (names.insert(host.m_name).second) {
        expanded.push_back(std::move(host));
      } else {
        aFaults.Add(host.m_position,
                    JoinPath(kHosts, host.m_name),
                    "duplicate key; allowed: each host once");
      }
    }
  }
  hosts->m_entries = std::move(expanded);
}

} // namespace briarglade
