// The fleet configuration: what the operators' base file and overlays say, once
// parsed and checked. Pure data; every process of a region holds one version.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"

namespace briarglade {

// A machine that runs one backend server.
struct HostConfig
{
  HostId m_id;
  ZoneId m_zone;
  DomainId m_domain;
  Endpoint m_endpoint;
  // Whether the backend server refuses orders with an old fencing token.
  bool m_checksFencing = false;
};

// A model whose replicas are groups of hosts in one fabric domain.
struct ModelConfig
{
  ModelId m_id;
  // Hosts in one group.
  uint32_t m_members = 1;
  // Groups over the region below which service is degraded.
  uint32_t m_minGroups = 1;
  // Groups over the region that the operators want.
  uint32_t m_wantedGroups = 1;
  // Requests in flight that one warm group carries.
  uint32_t m_requestLimit = 16;
  // Requests in flight that one cold group bears.
  uint32_t m_coldLimit = 2;
  // The uptime after which a group counts as warm.
  Millis m_warmUp = Millis(60'000);
  // The longest time that one request may take.
  Millis m_requestTimeout = Millis(120'000);
  // Weight of a load of this model, for the weight store's rate.
  uint32_t m_weightGigabytes = 1;
  // Models with a higher priority are placed and loaded first.
  int32_t m_priority = 0;
};

// One operation of a plain service.
struct OperationConfig
{
  std::string m_name;
  bool m_idempotent = false;
};

// A plain service that stands beside the model engines.
struct ServiceConfig
{
  ServiceId m_id;
  std::vector<OperationConfig> m_operations;
  // The hosts that run the service, by id.
  std::vector<HostId> m_hosts;
  // Requests in flight that one warm server carries.
  uint32_t m_requestLimit = 32;
  uint32_t m_coldLimit = 4;
  Millis m_warmUp = Millis(30'000);
  Millis m_requestTimeout = Millis(30'000);

  // Returns the operation, or nullptr if the service has none of that name.
  const OperationConfig* FindOperation(const std::string& aName) const
  {
    for (const OperationConfig& operation : m_operations) {
      if (operation.m_name == aName) {
        return &operation;
      }
    }
    return nullptr;
  }
};

// A traffic class of a client account.
struct ClassConfig
{
  ClassId m_id;
  // Weight inside the account.
  uint32_t m_weight = 1;
  // Passed to the engines; a higher one is served first.
  int32_t m_priority = 0;
};

// A client account.
struct AccountConfig
{
  AccountId m_id;
  // SHA-256 of each bearer key, in lower-case hex.
  std::vector<std::string> m_keyHashes;
  // Share of the capacity, relative to the other accounts.
  uint32_t m_share = 1;
  std::vector<ClassConfig> m_classes;
  // The models and services that the account may call.
  std::vector<ModelId> m_models;
  std::vector<ServiceId> m_services;
};

// An availability zone as the fleet files describe it.
struct ZoneConfig
{
  ZoneId m_id;
};

// The whole configuration of one region.
struct FleetConfig
{
  // Names the cluster; messages of another cluster are dropped.
  std::string m_cluster;
  RegionId m_region;
  std::map<ZoneId, ZoneConfig> m_zones;
  std::map<HostId, HostConfig> m_hosts;
  std::map<ModelId, ModelConfig> m_models;
  std::map<ServiceId, ServiceConfig> m_services;
  std::map<AccountId, AccountConfig> m_accounts;
  // Gigabytes a second that the weight store hands out over the region.
  uint32_t m_weightStoreRate = 10;
};

// Whether the operators have an availability zone in service.
enum class ZoneState
{
  In,
  Out
};

} // namespace briarglade
