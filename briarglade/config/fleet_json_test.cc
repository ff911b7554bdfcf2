// Tests of the canonical JSON form.

#include "briarglade/config/fleet_json.h"

#include <doctest/doctest.h>

#include "briarglade/config/fleet_config.h"

namespace briarglade {
namespace {

FleetConfig MakeFleet()
{
  FleetConfig fleet;
  fleet.m_cluster = "westsign";
  fleet.m_region = RegionId("wa-south");
  fleet.m_zones[ZoneId("perth-a")] = ZoneConfig{ ZoneId("perth-a") };
  HostConfig host;
  host.m_id = HostId("h1");
  host.m_zone = ZoneId("perth-a");
  host.m_domain = DomainId("perth-a-1");
  host.m_endpoint = Endpoint{ "127.0.0.1", 7001 };
  host.m_checksFencing = true;
  fleet.m_hosts[host.m_id] = host;
  ModelConfig model;
  model.m_id = ModelId("drafting");
  model.m_members = 4;
  fleet.m_models[model.m_id] = model;
  ServiceConfig service;
  service.m_id = ServiceId("order-desk");
  service.m_operations = { { "book", false }, { "status", true } };
  service.m_hosts = { host.m_id };
  fleet.m_services[service.m_id] = service;
  AccountConfig account;
  account.m_id = AccountId("councils");
  account.m_keyHashes = { "ab12" };
  account.m_classes = { { ClassId("interactive"), 3, 1 } };
  account.m_models = { model.m_id };
  account.m_services = { service.m_id };
  fleet.m_accounts[account.m_id] = account;
  return fleet;
}

TEST_CASE("a configuration survives the way to JSON and back")
{
  const std::string text = FleetToJson(MakeFleet());
  const Result<FleetConfig> again = FleetFromJson(text);
  REQUIRE(GetError(again) == nullptr);
  CHECK(FleetToJson(std::get<FleetConfig>(again)) == text);
  CHECK(
    std::get<FleetConfig>(again).m_models.at(ModelId("drafting")).m_members ==
    4);
}

TEST_CASE("text that isn't the canonical form is an error, not an exception")
{
  const char* const kTexts[] = { "", "{", "[]", "{}", "{\"cluster\":3}" };
  for (const char* text : kTexts) {
    const Result<FleetConfig> result = FleetFromJson(text);
    REQUIRE(GetError(result) != nullptr);
    CHECK(GetError(result)->m_code == ResultCode::ConfigInvalid);
  }
}

} // namespace
} // namespace briarglade
