// The canonical JSON form of the configuration.

#include "briarglade/config/fleet_json.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "briarglade/config/fleet_config.h"

namespace briarglade {

namespace {

using nlohmann::json;

// Ids and times as JSON.

template<typename Tag>
json ToJson(const StrongId<Tag>& aId)
{
  return aId.Value();
}

template<typename Tag>
std::vector<std::string> ToNames(const std::vector<StrongId<Tag>>& aIds)
{
  std::vector<std::string> names;
  for (const StrongId<Tag>& id : aIds) {
    names.push_back(id.Value());
  }
  return names;
}

template<typename Id>
std::vector<Id> FromNames(const json& aNames)
{
  std::vector<Id> ids;
  for (const json& name : aNames) {
    ids.emplace_back(name.get<std::string>());
  }
  return ids;
}

Millis ToMillis(const json& aCount)
{
  return Millis(aCount.get<int64_t>());
}

// One part of the configuration each way.

json HostToJson(const HostConfig& aHost)
{
  return { { "zone", ToJson(aHost.m_zone) },
           { "domain", ToJson(aHost.m_domain) },
           { "ip", aHost.m_endpoint.m_ip },
           { "port", aHost.m_endpoint.m_port },
           { "checks_fencing", aHost.m_checksFencing } };
}

HostConfig HostFromJson(const std::string& aId, const json& aHost)
{
  HostConfig host;
  host.m_id = HostId(aId);
  host.m_zone = ZoneId(aHost.at("zone").get<std::string>());
  host.m_domain = DomainId(aHost.at("domain").get<std::string>());
  host.m_endpoint.m_ip = aHost.at("ip").get<std::string>();
  host.m_endpoint.m_port = aHost.at("port").get<uint16_t>();
  host.m_checksFencing = aHost.at("checks_fencing").get<bool>();
  return host;
}

json ModelToJson(const ModelConfig& aModel)
{
  return { { "members", aModel.m_members },
           { "min_groups", aModel.m_minGroups },
           { "wanted_groups", aModel.m_wantedGroups },
           { "request_limit", aModel.m_requestLimit },
           { "cold_limit", aModel.m_coldLimit },
           { "warm_up_ms", aModel.m_warmUp.Count() },
           { "request_timeout_ms", aModel.m_requestTimeout.Count() },
           { "weight_gigabytes", aModel.m_weightGigabytes },
           { "priority", aModel.m_priority } };
}

ModelConfig ModelFromJson(const std::string& aId, const json& aModel)
{
  ModelConfig model;
  model.m_id = ModelId(aId);
  model.m_members = aModel.at("members").get<uint32_t>();
  model.m_minGroups = aModel.at("min_groups").get<uint32_t>();
  model.m_wantedGroups = aModel.at("wanted_groups").get<uint32_t>();
  model.m_requestLimit = aModel.at("request_limit").get<uint32_t>();
  model.m_coldLimit = aModel.at("cold_limit").get<uint32_t>();
  model.m_warmUp = ToMillis(aModel.at("warm_up_ms"));
  model.m_requestTimeout = ToMillis(aModel.at("request_timeout_ms"));
  model.m_weightGigabytes = aModel.at("weight_gigabytes").get<uint32_t>();
  model.m_priority = aModel.at("priority").get<int32_t>();
  return model;
}

json ServiceToJson(const ServiceConfig& aService)
{
  json operations = json::array();
  for (const OperationConfig& operation : aService.m_operations) {
    operations.push_back({ { "name", operation.m_name },
                           { "idempotent", operation.m_idempotent } });
  }
  return { { "operations", operations },
           { "hosts", ToNames(aService.m_hosts) },
           { "request_limit", aService.m_requestLimit },
           { "cold_limit", aService.m_coldLimit },
           { "warm_up_ms", aService.m_warmUp.Count() },
           { "request_timeout_ms", aService.m_requestTimeout.Count() } };
}

ServiceConfig ServiceFromJson(const std::string& aId, const json& aService)
{
  ServiceConfig service;
  service.m_id = ServiceId(aId);
  for (const json& operation : aService.at("operations")) {
    service.m_operations.push_back(
      OperationConfig{ operation.at("name").get<std::string>(),
                       operation.at("idempotent").get<bool>() });
  }
  service.m_hosts = FromNames<HostId>(aService.at("hosts"));
  service.m_requestLimit = aService.at("request_limit").get<uint32_t>();
  service.m_coldLimit = aService.at("cold_limit").get<uint32_t>();
  service.m_warmUp = ToMillis(aService.at("warm_up_ms"));
  service.m_requestTimeout = ToMillis(aService.at("request_timeout_ms"));
  return service;
}

json AccountToJson(const AccountConfig& aAccount)
{
  json classes = json::array();
  for (const ClassConfig& entry : aAccount.m_classes) {
    classes.push_back({ { "id", ToJson(entry.m_id) },
                        { "weight", entry.m_weight },
                        { "priority", entry.m_priority } });
  }
  return { { "key_hashes", aAccount.m_keyHashes },
           { "share", aAccount.m_share },
           { "classes", classes },
           { "models", ToNames(aAccount.m_models) },
           { "services", ToNames(aAccount.m_services) } };
}

AccountConfig AccountFromJson(const std::string& aId, const json& aAccount)
{
  AccountConfig account;
  account.m_id = AccountId(aId);
  account.m_keyHashes =
    aAccount.at("key_hashes").get<std::vector<std::string>>();
  account.m_share = aAccount.at("share").get<uint32_t>();
  for (const json& entry : aAccount.at("classes")) {
    account.m_classes.push_back(
      ClassConfig{ ClassId(entry.at("id").get<std::string>()),
                   entry.at("weight").get<uint32_t>(),
                   entry.at("priority").get<int32_t>() });
  }
  account.m_models = FromNames<ModelId>(aAccount.at("models"));
  account.m_services = FromNames<ServiceId>(aAccount.at("services"));
  return account;
}

template<typename Map, typename Convert>
json MapToJson(const Map& aMap, Convert aConvert)
{
  json object = json::object();
  for (const auto& [id, entry] : aMap) {
    object[id.Value()] = aConvert(entry);
  }
  return object;
}

template<typename Map, typename Convert>
void MapFromJson(const json& aObject, Map& aMap, Convert aConvert)
{
  for (const auto& [id, entry] : aObject.items()) {
    aMap[typename Map::key_type(id)] = aConvert(id, entry);
  }
}

FleetConfig FromJson(const json& aRoot)
{
  FleetConfig config;
  config.m_cluster = aRoot.at("cluster").get<std::string>();
  config.m_region = RegionId(aRoot.at("region").get<std::string>());
  config.m_weightStoreRate = aRoot.at("weight_store_rate").get<uint32_t>();
  for (const json& zone : aRoot.at("zones")) {
    const ZoneId id(zone.get<std::string>());
    config.m_zones[id] = ZoneConfig{ id };
  }
  MapFromJson(aRoot.at("hosts"), config.m_hosts, HostFromJson);
  MapFromJson(aRoot.at("models"), config.m_models, ModelFromJson);
  MapFromJson(aRoot.at("services"), config.m_services, ServiceFromJson);
  MapFromJson(aRoot.at("accounts"), config.m_accounts, AccountFromJson);
  return config;
}

} // namespace

std::string FleetToJson(const FleetConfig& aConfig)
{
  json zones = json::array();
  for (const auto& entry : aConfig.m_zones) {
    zones.push_back(entry.first.Value());
  }
  const json root = {
    { "cluster", aConfig.m_cluster },
    { "region", ToJson(aConfig.m_region) },
    { "weight_store_rate", aConfig.m_weightStoreRate },
    { "zones", zones },
    { "hosts", MapToJson(aConfig.m_hosts, HostToJson) },
    { "models", MapToJson(aConfig.m_models, ModelToJson) },
    { "services", MapToJson(aConfig.m_services, ServiceToJson) },
    { "accounts", MapToJson(aConfig.m_accounts, AccountToJson) }
  };
  return root.dump();
}

Result<FleetConfig> FleetFromJson(const std::string& aText)
{
  try {
    return FromJson(json::parse(aText));
  } catch (const json::exception& exception) {
    return Error{ ResultCode::ConfigInvalid, exception.what() };
  }
}

} // namespace briarglade
