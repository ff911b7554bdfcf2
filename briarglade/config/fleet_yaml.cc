// The first reader of fleet files: the base alone, with one error at most.

#include "briarglade/config/fleet_yaml.h"

#include <exception>
#include <yaml-cpp/yaml.h>

namespace briarglade {

namespace {

Endpoint ReadEndpoint(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  return Endpoint{ aText.substr(0, colon),
                   static_cast<uint16_t>(std::stoul(aText.substr(colon + 1))) };
}

Millis ReadSeconds(const YAML::Node& aNode, Millis aDefault)
{
  return aNode ? Millis(std::stol(aNode.as<std::string>()) * 1000) : aDefault;
}

FleetConfig ReadFleet(const YAML::Node& aRoot)
{
  FleetConfig fleet;
  fleet.m_cluster = aRoot["cluster"].as<std::string>();
  fleet.m_region = RegionId(aRoot["region"].as<std::string>());
  for (const auto& zone : aRoot["zones"]) {
    const ZoneId id(zone.as<std::string>());
    fleet.m_zones[id] = ZoneConfig{ id };
  }
  for (const auto& entry : aRoot["hosts"]) {
    HostConfig host;
    host.m_id = HostId(entry.first.as<std::string>());
    host.m_zone = ZoneId(entry.second["zone"].as<std::string>());
    host.m_domain = DomainId(entry.second["domain"].as<std::string>());
    host.m_endpoint = ReadEndpoint(entry.second["address"].as<std::string>());
    host.m_checksFencing = entry.second["checks_fencing"].as<bool>(false);
    fleet.m_hosts[host.m_id] = host;
  }
  for (const auto& entry : aRoot["models"]) {
    ModelConfig model;
    model.m_id = ModelId(entry.first.as<std::string>());
    model.m_members = entry.second["members"].as<uint32_t>(1);
    model.m_wantedGroups = entry.second["wanted_groups"].as<uint32_t>(1);
    model.m_minGroups = entry.second["min_groups"].as<uint32_t>(1);
    model.m_requestLimit = entry.second["request_limit"].as<uint32_t>(16);
    model.m_coldLimit = entry.second["cold_limit"].as<uint32_t>(2);
    model.m_warmUp = ReadSeconds(entry.second["warm_up"], model.m_warmUp);
    model.m_requestTimeout =
      ReadSeconds(entry.second["request_timeout"], model.m_requestTimeout);
    fleet.m_models[model.m_id] = model;
  }
  for (const auto& entry : aRoot["services"]) {
    ServiceConfig service;
    service.m_id = ServiceId(entry.first.as<std::string>());
    for (const auto& host : entry.second["hosts"]) {
      service.m_hosts.emplace_back(host.as<std::string>());
    }
    for (const auto& operation : entry.second["operations"]) {
      service.m_operations.push_back(
        OperationConfig{ operation.first.as<std::string>(),
                         operation.second["idempotent"].as<bool>() });
    }
    fleet.m_services[service.m_id] = service;
  }
  for (const auto& entry : aRoot["accounts"]) {
    AccountConfig account;
    account.m_id = AccountId(entry.first.as<std::string>());
    account.m_keyHashes = entry.second["keys"].as<std::vector<std::string>>();
    account.m_share = entry.second["share"].as<uint32_t>(1);
    for (const auto& model : entry.second["models"]) {
      account.m_models.emplace_back(model.as<std::string>());
    }
    for (const auto& service : entry.second["services"]) {
      account.m_services.emplace_back(service.as<std::string>());
    }
    for (const auto& item : entry.second["classes"]) {
      account.m_classes.push_back(
        ClassConfig{ ClassId(item.first.as<std::string>()),
                     item.second["weight"].as<uint32_t>(1),
                     item.second["priority"].as<int32_t>(0) });
    }
    fleet.m_accounts[account.m_id] = account;
  }
  return fleet;
}

} // namespace

std::string FleetError::ToString() const
{
  return m_file + ":" + std::to_string(m_line) + ": " + m_key + ": " +
         m_message;
}

FleetLoad LoadFleet(const FleetFile& aBase,
                    const std::vector<FleetFile>& aOverlays)
{
  FleetLoad load;
  if (!aOverlays.empty()) {
    load.m_errors.push_back(FleetError{
      aOverlays.front().m_name, 0, "", "overlays aren't read yet" });
    return load;
  }
  try {
    load.m_config = ReadFleet(YAML::Load(aBase.m_text));
  } catch (const std::exception& exception) {
    load.m_errors.push_back(
      FleetError{ aBase.m_name, 0, "", exception.what() });
  }
  return load;
}

} // namespace briarglade
