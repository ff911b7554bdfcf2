// Comparison of two configurations, section by section.

#include "briarglade/config/fleet_diff.h"

#include <utility>

#include "briarglade/config/fleet_config.h"

namespace briarglade {

namespace {

constexpr ChangeImpact kTakesEffect = ChangeImpact::TakesEffect;

// Each kind of value as text.

std::string Text(const std::string& aValue)
{
  return aValue;
}

std::string Text(bool aValue)
{
  return aValue ? "true" : "false";
}

std::string Text(uint32_t aValue)
{
  return std::to_string(aValue);
}

std::string Text(int32_t aValue)
{
  return std::to_string(aValue);
}

std::string Text(Millis aValue)
{
  return std::to_string(aValue.Count()) + "ms";
}

std::string Text(const Endpoint& aValue)
{
  return aValue.ToString();
}

template<typename Tag>
std::string Text(const StrongId<Tag>& aValue)
{
  return aValue.Value();
}

// The class of requests that name none.
ClassId DefaultClass(const AccountConfig& aAccount)
{
  return aAccount.m_classes.empty() ? ClassId() : aAccount.m_classes[0].m_id;
}

// Returns the entries of a list under their names.
template<typename T, typename NameOf>
auto ByName(const std::vector<T>& aItems, NameOf aNameOf)
{
  std::map<std::string, T> named;
  for (const T& item : aItems) {
    named.emplace(aNameOf(item), item);
  }
  return named;
}

class FleetComparison
{
public:
  void Compare(const FleetConfig& aBefore, const FleetConfig& aAfter);

  std::vector<FleetChange> Take() { return std::move(m_changes); }

private:
  void Add(const std::string& aKey,
           std::string aBefore,
           std::string aAfter,
           ChangeImpact aImpact)
  {
    m_changes.push_back(
      FleetChange{ aKey, std::move(aBefore), std::move(aAfter), aImpact });
  }

  // Compares one value.
  template<typename T>
  void Value(const std::string& aKey,
             const T& aBefore,
             const T& aAfter,
             ChangeImpact aImpact = kTakesEffect)
  {
    if (aBefore != aAfter) {
      Add(aKey, Text(aBefore), Text(aAfter), aImpact);
    }
  }

  // Compares the entries of a map; entries on both sides go to aCompare.
  template<typename Map, typename CompareEntry>
  void Entries(const std::string& aPath,
               const Map& aBefore,
               const Map& aAfter,
               ChangeImpact aRemoved,
               ChangeImpact aAdded,
               CompareEntry aCompare)
  {
    for (const auto& [id, entry] : aBefore) {
      const std::string key = aPath + "." + Text(id);
      const auto found = aAfter.find(id);
      if (found == aAfter.end()) {
        Add(key, "present", "", aRemoved);
      } else {
        aCompare(key, entry, found->second);
      }
    }
    for (const auto& entry : aAfter) {
      if (aBefore.count(entry.first) == 0) {
        Add(aPath + "." + Text(entry.first), "", "present", aAdded);
      }
    }
  }

  // Compares two lists of names, each name on its own.
  template<typename Name>
  void Names(const std::string& aPath,
             const std::vector<Name>& aBefore,
             const std::vector<Name>& aAfter,
             ChangeImpact aRemoved,
             ChangeImpact aAdded)
  {
    const auto nameOf = [](const Name& aName) { return Text(aName); };
    Entries(aPath,
            ByName(aBefore, nameOf),
            ByName(aAfter, nameOf),
            aRemoved,
            aAdded,
            [](const std::string&, const Name&, const Name&) {});
  }

  void Host(const std::string& aKey,
            const HostConfig& aBefore,
            const HostConfig& aAfter);
  void Model(const std::string& aKey,
             const ModelConfig& aBefore,
             const ModelConfig& aAfter);
  void Service(const std::string& aKey,
               const ServiceConfig& aBefore,
               const ServiceConfig& aAfter);
  void Account(const std::string& aKey,
               const AccountConfig& aBefore,
               const AccountConfig& aAfter);

  std::vector<FleetChange> m_changes;
};

void FleetComparison::Compare(const FleetConfig& aBefore,
                              const FleetConfig& aAfter)
{
  constexpr ChangeImpact kRestart = ChangeImpact::NodesRestarted;
  Value("cluster", aBefore.m_cluster, aAfter.m_cluster, kRestart);
  Value("region", aBefore.m_region, aAfter.m_region, kRestart);
  Value(
    "weight_store_rate", aBefore.m_weightStoreRate, aAfter.m_weightStoreRate);
  Entries("zones",
          aBefore.m_zones,
          aAfter.m_zones,
          kTakesEffect,
          kTakesEffect,
          [](const std::string&, const ZoneConfig&, const ZoneConfig&) {});
  Entries("hosts",
          aBefore.m_hosts,
          aAfter.m_hosts,
          ChangeImpact::HostDrained,
          ChangeImpact::HostAdded,
          [this](const auto&... aEntry) { Host(aEntry...); });
  Entries("models",
          aBefore.m_models,
          aAfter.m_models,
          ChangeImpact::GroupsDrained,
          ChangeImpact::GroupsAdded,
          [this](const auto&... aEntry) { Model(aEntry...); });
  Entries("services",
          aBefore.m_services,
          aAfter.m_services,
          ChangeImpact::HostDrained,
          ChangeImpact::HostAdded,
          [this](const auto&... aEntry) { Service(aEntry...); });
  Entries("accounts",
          aBefore.m_accounts,
          aAfter.m_accounts,
          ChangeImpact::CallersRefused,
          kTakesEffect,
          [this](const auto&... aEntry) { Account(aEntry...); });
}

void FleetComparison::Host(const std::string& aKey,
                           const HostConfig& aBefore,
                           const HostConfig& aAfter)
{
  constexpr ChangeImpact kDrained = ChangeImpact::HostDrained;
  Value(aKey + ".zone", aBefore.m_zone, aAfter.m_zone, kDrained);
  Value(aKey + ".domain", aBefore.m_domain, aAfter.m_domain, kDrained);
  Value(aKey + ".address", aBefore.m_endpoint, aAfter.m_endpoint, kDrained);
  Value(
    aKey + ".checks_fencing", aBefore.m_checksFencing, aAfter.m_checksFencing);
}

void FleetComparison::Model(const std::string& aKey,
                            const ModelConfig& aBefore,
                            const ModelConfig& aAfter)
{
  const ChangeImpact wanted = aAfter.m_wantedGroups > aBefore.m_wantedGroups
                                ? ChangeImpact::GroupsAdded
                                : ChangeImpact::GroupsDrained;
  Value(aKey + ".members",
        aBefore.m_members,
        aAfter.m_members,
        ChangeImpact::GroupsReformed);
  Value(aKey + ".min_groups", aBefore.m_minGroups, aAfter.m_minGroups);
  Value(aKey + ".wanted_groups",
        aBefore.m_wantedGroups,
        aAfter.m_wantedGroups,
        wanted);
  Value(aKey + ".request_limit", aBefore.m_requestLimit, aAfter.m_requestLimit);
  Value(aKey + ".cold_limit", aBefore.m_coldLimit, aAfter.m_coldLimit);
  Value(aKey + ".warm_up", aBefore.m_warmUp, aAfter.m_warmUp);
  Value(aKey + ".request_timeout",
        aBefore.m_requestTimeout,
        aAfter.m_requestTimeout);
  Value(
    aKey + ".weight_size", aBefore.m_weightGigabytes, aAfter.m_weightGigabytes);
  Value(aKey + ".priority", aBefore.m_priority, aAfter.m_priority);
}

void FleetComparison::Service(const std::string& aKey,
                              const ServiceConfig& aBefore,
                              const ServiceConfig& aAfter)
{
  const auto nameOf = [](const OperationConfig& aItem) { return aItem.m_name; };
  Names(aKey + ".hosts",
        aBefore.m_hosts,
        aAfter.m_hosts,
        ChangeImpact::HostDrained,
        ChangeImpact::HostAdded);
  Entries(aKey + ".operations",
          ByName(aBefore.m_operations, nameOf),
          ByName(aAfter.m_operations, nameOf),
          ChangeImpact::CallersRefused,
          kTakesEffect,
          [this](const std::string& aPath,
                 const OperationConfig& aOld,
                 const OperationConfig& aNew) {
            Value(aPath + ".idempotent", aOld.m_idempotent, aNew.m_idempotent);
          });
  Value(aKey + ".request_limit", aBefore.m_requestLimit, aAfter.m_requestLimit);
  Value(aKey + ".cold_limit", aBefore.m_coldLimit, aAfter.m_coldLimit);
  Value(aKey + ".warm_up", aBefore.m_warmUp, aAfter.m_warmUp);
  Value(aKey + ".request_timeout",
        aBefore.m_requestTimeout,
        aAfter.m_requestTimeout);
}

void FleetComparison::Account(const std::string& aKey,
                              const AccountConfig& aBefore,
                              const AccountConfig& aAfter)
{
  const auto nameOf = [](const ClassConfig& aItem) { return Text(aItem.m_id); };
  Value(aKey + ".share", aBefore.m_share, aAfter.m_share);
  Names(aKey + ".keys",
        aBefore.m_keyHashes,
        aAfter.m_keyHashes,
        ChangeImpact::CallersRefused,
        kTakesEffect);
  Names(aKey + ".models",
        aBefore.m_models,
        aAfter.m_models,
        ChangeImpact::CallersRefused,
        kTakesEffect);
  Names(aKey + ".services",
        aBefore.m_services,
        aAfter.m_services,
        ChangeImpact::CallersRefused,
        kTakesEffect);
  Value(aKey + ".classes[0]", DefaultClass(aBefore), DefaultClass(aAfter));
  Entries(aKey + ".classes",
          ByName(aBefore.m_classes, nameOf),
          ByName(aAfter.m_classes, nameOf),
          ChangeImpact::CallersRefused,
          kTakesEffect,
          [this](const std::string& aPath,
                 const ClassConfig& aOld,
                 const ClassConfig& aNew) {
            Value(aPath + ".weight", aOld.m_weight, aNew.m_weight);
            Value(aPath + ".priority", aOld.m_priority, aNew.m_priority);
          });
}

} // namespace

std::string DescribeImpact(ChangeImpact aImpact)
{
  switch (aImpact) {
    case ChangeImpact::TakesEffect:
      return "restarts nothing";
    case ChangeImpact::GroupsAdded:
      return "free hosts load the model; running groups go on";
    case ChangeImpact::GroupsDrained:
      return "groups drain and are released";
    case ChangeImpact::HostAdded:
      return "the host takes up work; running groups go on";
    case ChangeImpact::HostDrained:
      return "the host drains; its group re-forms";
    case ChangeImpact::GroupsReformed:
      return "every group of the model drains and re-forms";
    case ChangeImpact::CallersRefused:
      return "callers that still use it are refused";
    case ChangeImpact::NodesRestarted:
      return "every node has to be restarted with new settings";
  }
  return "";
}

std::string FleetChange::ToString() const
{
  const std::string before = m_before.empty() ? "(absent)" : m_before;
  const std::string after = m_after.empty() ? "(absent)" : m_after;
  return m_key + ": " + before + " -> " + after + ": " +
         DescribeImpact(m_impact);
}

std::vector<FleetChange> DiffFleets(const FleetConfig& aBefore,
                                    const FleetConfig& aAfter)
{
  FleetComparison comparison;
  comparison.Compare(aBefore, aAfter);
  return comparison.Take();
}

} // namespace briarglade
