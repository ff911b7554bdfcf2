// One reader for each section.

#include "briarglade/config/internal/section_readers.h"

#include <utility>

#include "briarglade/config/internal/config_node.h"
#include "briarglade/config/internal/fault_log.h"
#include "briarglade/config/internal/map_reader.h"

namespace briarglade {

namespace {

constexpr uint32_t kMaxMembers = 512;
constexpr uint32_t kMaxGroups = 100'000;
constexpr uint32_t kMaxRequests = 100'000;
constexpr uint32_t kMaxWeight = 1'000'000;

template<typename Id>
std::vector<Id> ToIds(const std::vector<std::string>& aNames)
{
  return std::vector<Id>(aNames.begin(), aNames.end());
}

template<typename Id>
void ReadId(MapReader& aReader, const std::string& aName, Id& aId)
{
  std::string text;
  aReader.Read(aName, Presence::Required, Name(), text);
  aId = Id(text);
}

void ReadZones(MapReader& aRoot, FaultLog& aFaults, FleetConfig& aFleet)
{
  std::vector<std::string> names;
  aRoot.ReadList("zones", Presence::Required, Name(), names);
  for (const std::string& name : names) {
    const ZoneId id(name);
    if (!aFleet.m_zones.emplace(id, ZoneConfig{ id }).second) {
      aFaults.AddAt("zones",
                    name + " is listed twice; allowed: each zone once");
    }
  }
}

HostConfig ReadHost(const ConfigEntry& aEntry,
                    const std::string& aPath,
                    FaultLog& aFaults)
{
  HostConfig host;
  host.m_id = HostId(aEntry.m_name);
  MapReader reader(aEntry.m_value,
                   aPath,
                   { "zone", "domain", "address", "checks_fencing" },
                   aFaults);
  ReadId(reader, "zone", host.m_zone);
  ReadId(reader, "domain", host.m_domain);
  reader.Read("address", Presence::Required, Address(), host.m_endpoint);
  reader.Read(
    "checks_fencing", Presence::Optional, Flag(), host.m_checksFencing);
  return host;
}

ModelConfig ReadModel(const ConfigEntry& aEntry,
                      const std::string& aPath,
                      FaultLog& aFaults)
{
  constexpr Presence kRequired = Presence::Required;
  constexpr Presence kOptional = Presence::Optional;
  const ValueType<uint32_t> groups = Count(0, kMaxGroups);
  const ValueType<uint32_t> requests = Count(1, kMaxRequests);
  ModelConfig model;
  model.m_id = ModelId(aEntry.m_name);
  MapReader reader(aEntry.m_value,
                   aPath,
                   { "members",
                     "min_groups",
                     "wanted_groups",
                     "request_limit",
                     "cold_limit",
                     "warm_up",
                     "request_timeout",
                     "weight_size",
                     "priority" },
                   aFaults);
  reader.Read("members", kRequired, Count(1, kMaxMembers), model.m_members);
  reader.Read("min_groups", kRequired, groups, model.m_minGroups);
  reader.Read("wanted_groups", kRequired, groups, model.m_wantedGroups);
  reader.Read("request_limit", kOptional, requests, model.m_requestLimit);
  reader.Read("cold_limit", kOptional, requests, model.m_coldLimit);
  reader.Read("warm_up", kOptional, Duration(), model.m_warmUp);
  reader.Read("request_timeout", kOptional, Duration(), model.m_requestTimeout);
  reader.Read("weight_size", kOptional, Gigabytes(), model.m_weightGigabytes);
  reader.Read("priority", kOptional, Priority(), model.m_priority);
  return model;
}

std::vector<OperationConfig> ReadOperations(MapReader& aService,
                                            FaultLog& aFaults)
{
  std::vector<OperationConfig> operations;
  for (const ConfigEntry& entry :
       aService.Entries("operations", Presence::Required)) {
    OperationConfig operation;
    operation.m_name = entry.m_name;
    MapReader reader(entry.m_value,
                     JoinPath(aService.PathOf("operations"), entry.m_name),
                     { "idempotent" },
                     aFaults);
    reader.Read(
      "idempotent", Presence::Required, Flag(), operation.m_idempotent);
    operations.push_back(operation);
  }
  return operations;
}

std::vector<HostId> ReadServiceHosts(MapReader& aService)
{
  std::vector<std::vector<std::string>> ranges;
  aService.ReadList("hosts", Presence::Required, NameRange(), ranges);
  std::vector<HostId> hosts;
  for (const std::vector<std::string>& range : ranges) {
    const std::vector<HostId> ids = ToIds<HostId>(range);
    hosts.insert(hosts.end(), ids.begin(), ids.end());
  }
  return hosts;
}

ServiceConfig ReadService(const ConfigEntry& aEntry,
                          const std::string& aPath,
                          FaultLog& aFaults)
{
  constexpr Presence kOptional = Presence::Optional;
  const ValueType<uint32_t> requests = Count(1, kMaxRequests);
  ServiceConfig service;
  service.m_id = ServiceId(aEntry.m_name);
  MapReader reader(aEntry.m_value,
                   aPath,
                   { "hosts",
                     "operations",
                     "request_limit",
                     "cold_limit",
                     "warm_up",
                     "request_timeout" },
                   aFaults);
  service.m_hosts = ReadServiceHosts(reader);
  service.m_operations = ReadOperations(reader, aFaults);
  reader.Read("request_limit", kOptional, requests, service.m_requestLimit);
  reader.Read("cold_limit", kOptional, requests, service.m_coldLimit);
  reader.Read("warm_up", kOptional, Duration(), service.m_warmUp);
  reader.Read(
    "request_timeout", kOptional, Duration(), service.m_requestTimeout);
  return service;
}

std::vector<ClassConfig> ReadClasses(MapReader& aAccount, FaultLog& aFaults)
{
  std::vector<ClassConfig> classes;
  for (const ConfigEntry& entry :
       aAccount.Entries("classes", Presence::Optional)) {
    ClassConfig item;
    item.m_id = ClassId(entry.m_name);
    MapReader reader(entry.m_value,
                     JoinPath(aAccount.PathOf("classes"), entry.m_name),
                     { "weight", "priority" },
                     aFaults);
    reader.Read(
      "weight", Presence::Optional, Count(1, kMaxWeight), item.m_weight);
    reader.Read("priority", Presence::Optional, Priority(), item.m_priority);
    classes.push_back(item);
  }
  return classes;
}

void ReadAccount(const ConfigEntry& aEntry,
                 const std::string& aPath,
                 FaultLog& aFaults,
                 FleetDraft& aDraft)
{
  AccountConfig account;
  account.m_id = AccountId(aEntry.m_name);
  MapReader reader(aEntry.m_value,
                   aPath,
                   { "share", "keys", "models", "services", "classes" },
                   aFaults);
  Share share{ account.m_share, false };
  reader.Read("share", Presence::Required, ShareValue(), share);
  account.m_share = share.m_amount;
  if (share.m_isPercent) {
    aDraft.m_percentShares.insert(account.m_id);
  }
  reader.ReadList("keys", Presence::Required, KeyHash(), account.m_keyHashes);
  std::vector<std::string> models;
  reader.ReadList("models", Presence::Optional, Name(), models);
  account.m_models = ToIds<ModelId>(models);
  std::vector<std::string> services;
  reader.ReadList("services", Presence::Optional, Name(), services);
  account.m_services = ToIds<ServiceId>(services);
  account.m_classes = ReadClasses(reader, aFaults);
  aDraft.m_fleet.m_accounts.emplace(account.m_id, std::move(account));
}

} // namespace

FleetDraft ReadSections(const ConfigNode& aRoot, FaultLog& aFaults)
{
  FleetDraft draft;
  FleetConfig& fleet = draft.m_fleet;
  MapReader root(aRoot,
                 "",
                 { "cluster",
                   "region",
                   "weight_store_rate",
                   "zones",
                   "hosts",
                   "models",
                   "services",
                   "accounts" },
                 aFaults);
  root.Read("cluster", Presence::Required, Name(), fleet.m_cluster);
  ReadId(root, "region", fleet.m_region);
  root.Read("weight_store_rate",
            Presence::Optional,
            GigabytesPerSecond(),
            fleet.m_weightStoreRate);
  ReadZones(root, aFaults, fleet);
  for (const auto& entry : root.Entries("hosts", Presence::Required)) {
    HostConfig host = ReadHost(entry, "hosts." + entry.m_name, aFaults);
    fleet.m_hosts.emplace(host.m_id, std::move(host));
  }
  for (const auto& entry : root.Entries("models", Presence::Optional)) {
    ModelConfig model = ReadModel(entry, "models." + entry.m_name, aFaults);
    fleet.m_models.emplace(model.m_id, std::move(model));
  }
  for (const auto& entry : root.Entries("services", Presence::Optional)) {
    ServiceConfig service =
      ReadService(entry, "services." + entry.m_name, aFaults);
    fleet.m_services.emplace(service.m_id, std::move(service));
  }
  for (const auto& entry : root.Entries("accounts", Presence::Required)) {
    ReadAccount(entry, "accounts." + entry.m_name, aFaults, draft);
  }
  return draft;
}

} // namespace briarglade
