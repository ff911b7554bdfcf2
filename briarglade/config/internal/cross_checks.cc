// The checks over the whole fleet; docs/FLEET-FILES.md lists them.

#include "briarglade/config/internal/cross_checks.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "briarglade/config/internal/fault_log.h"
#include "briarglade/config/internal/section_readers.h"

namespace briarglade {

namespace {

constexpr uint64_t kWholeShare = 100;

std::string Number(uint64_t aNumber)
{
  return std::to_string(aNumber);
}

template<typename Map>
std::string NamesOf(const Map& aMap)
{
  std::string text;
  for (const auto& entry : aMap) {
    text += (text.empty() ? "" : ", ") + entry.first.Value();
  }
  return text.empty() ? "(none)" : text;
}

std::set<HostId> ServiceHosts(const FleetConfig& aFleet)
{
  std::set<HostId> hosts;
  for (const auto& [id, service] : aFleet.m_services) {
    hosts.insert(service.m_hosts.begin(), service.m_hosts.end());
  }
  return hosts;
}

// Counts the hosts that may hold models, by fabric domain.
std::map<DomainId, uint64_t> ModelHosts(const FleetConfig& aFleet)
{
  const std::set<HostId> taken = ServiceHosts(aFleet);
  std::map<DomainId, uint64_t> counts;
  for (const auto& [id, host] : aFleet.m_hosts) {
    if (taken.count(id) == 0) {
      ++counts[host.m_domain];
    }
  }
  return counts;
}

void CheckZones(const FleetDraft& aDraft, FaultLog& aFaults)
{
  const FleetConfig& fleet = aDraft.m_fleet;
  std::set<ZoneId> used;
  for (const auto& [id, host] : fleet.m_hosts) {
    used.insert(host.m_zone);
    if (fleet.m_zones.count(host.m_zone) == 0) {
      aFaults.AddAt(
        "hosts." + id.Value() + ".zone",
        host.m_zone.Value() +
          " is no zone of the region; allowed: " + NamesOf(fleet.m_zones));
    }
  }
  for (const auto& [id, zone] : fleet.m_zones) {
    if (used.count(id) == 0) {
      aFaults.AddAt("zones",
                    id.Value() + " has no host; allowed: zones with hosts");
    }
  }
}

void CheckDomains(const FleetDraft& aDraft, FaultLog& aFaults)
{
  std::map<DomainId, const HostConfig*> first;
  for (const auto& [id, host] : aDraft.m_fleet.m_hosts) {
    const HostConfig& other =
      *first.emplace(host.m_domain, &host).first->second;
    if (other.m_zone != host.m_zone) {
      aFaults.AddAt("hosts." + id.Value() + ".domain",
                    host.m_domain.Value() + " spans the zones " +
                      other.m_zone.Value() + " and " + host.m_zone.Value() +
                      "; allowed: a fabric domain lies in one zone");
    }
  }
}

void CheckAddresses(const FleetDraft& aDraft, FaultLog& aFaults)
{
  std::map<Endpoint, HostId> owners;
  for (const auto& [id, host] : aDraft.m_fleet.m_hosts) {
    const HostId& owner = owners.emplace(host.m_endpoint, id).first->second;
    if (owner != id) {
      aFaults.AddAt("hosts." + id.Value() + ".address",
                    host.m_endpoint.ToString() + " is the address of " +
                      owner.Value() + " too; allowed: one host an address");
    }
  }
}

// Reports a model that would not fit even if it were the only one. Returns
// whether it fits.
bool CheckModelSize(const ModelConfig& aModel,
                    const std::map<DomainId, uint64_t>& aHosts,
                    FaultLog& aFaults)
{
  const std::string path = "models." + aModel.m_id.Value();
  uint64_t largest = 0;
  uint64_t room = 0;
  for (const auto& entry : aHosts) {
    largest = std::max(largest, entry.second);
    room += entry.second / aModel.m_members;
  }
  if (aModel.m_members > largest) {
    aFaults.AddAt(path + ".members",
                  Number(aModel.m_members) +
                    " exceeds every fabric domain; allowed: at most " +
                    Number(largest) + ", the largest domain's model hosts");
    return false;
  }
  if (aModel.m_wantedGroups > room) {
    aFaults.AddAt(path + ".wanted_groups",
                  Number(aModel.m_wantedGroups) +
                    " groups do not fit the fabric domains; allowed: at "
                    "most " +
                    Number(room));
    return false;
  }
  return true;
}

// Checks each model alone, then all together as far as a sum of hosts tells.
void CheckModelSizes(const FleetDraft& aDraft, FaultLog& aFaults)
{
  const std::map<DomainId, uint64_t> hosts = ModelHosts(aDraft.m_fleet);
  bool eachFits = true;
  uint64_t wanted = 0;
  for (const auto& [id, model] : aDraft.m_fleet.m_models) {
    eachFits = CheckModelSize(model, hosts, aFaults) && eachFits;
    wanted += uint64_t{ model.m_members } * model.m_wantedGroups;
  }
  uint64_t present = 0;
  for (const auto& entry : hosts) {
    present += entry.second;
  }
  if (eachFits && wanted > present) {
    aFaults.AddAt("models",
                  "all wanted groups together need " + Number(wanted) +
                    " hosts; allowed: at most " + Number(present) +
                    ", the hosts of no service");
  }
}

// Checks the bounds that models and services share.
template<typename Limits>
void CheckColdLimit(const std::string& aPath,
                    const Limits& aLimits,
                    FaultLog& aFaults)
{
  if (aLimits.m_coldLimit > aLimits.m_requestLimit) {
    aFaults.AddAt(aPath + ".cold_limit",
                  Number(aLimits.m_coldLimit) +
                    " is above request_limit; allowed: at most " +
                    Number(aLimits.m_requestLimit));
  }
}

void CheckModelLimits(const FleetDraft& aDraft, FaultLog& aFaults)
{
  for (const auto& [id, model] : aDraft.m_fleet.m_models) {
    const std::string path = "models." + id.Value();
    CheckColdLimit(path, model, aFaults);
    if (model.m_minGroups > model.m_wantedGroups) {
      aFaults.AddAt(path + ".min_groups",
                    Number(model.m_minGroups) +
                      " is above wanted_groups; allowed: at most " +
                      Number(model.m_wantedGroups));
    }
  }
}

void CheckServices(const FleetDraft& aDraft, FaultLog& aFaults)
{
  for (const auto& [id, service] : aDraft.m_fleet.m_services) {
    const std::string path = "services." + id.Value();
    CheckColdLimit(path, service, aFaults);
    if (service.m_hosts.empty()) {
      aFaults.AddAt(path + ".hosts",
                    "the service has no host; allowed: one host or more");
    }
    if (service.m_operations.empty()) {
      aFaults.AddAt(path + ".operations",
                    "the service has no operation; allowed: one or more");
    }
  }
}

void CheckServiceHosts(const FleetDraft& aDraft, FaultLog& aFaults)
{
  const FleetConfig& fleet = aDraft.m_fleet;
  std::map<HostId, ServiceId> owners;
  for (const auto& [id, service] : fleet.m_services) {
    const std::string path = "services." + id.Value() + ".hosts";
    for (const HostId& host : service.m_hosts) {
      const auto [owner, isFirst] = owners.emplace(host, id);
      if (!isFirst) {
        aFaults.AddAt(path,
                      host.Value() + " runs " + owner->second.Value() +
                        " already; allowed: one service a host");
      } else if (fleet.m_hosts.count(host) == 0) {
        aFaults.AddAt(path,
                      host.Value() + " is no host; allowed: names under hosts");
      }
    }
  }
}

template<typename Id, typename Map>
void CheckNames(const std::string& aPath,
                const std::vector<Id>& aNames,
                const Map& aKnown,
                FaultLog& aFaults)
{
  for (const Id& name : aNames) {
    if (aKnown.count(name) == 0) {
      aFaults.AddAt(aPath,
                    name.Value() + " is unknown; allowed: " + NamesOf(aKnown));
    }
  }
}

void CheckRights(const FleetDraft& aDraft, FaultLog& aFaults)
{
  const FleetConfig& fleet = aDraft.m_fleet;
  for (const auto& [id, account] : fleet.m_accounts) {
    const std::string path = "accounts." + id.Value();
    CheckNames(path + ".models", account.m_models, fleet.m_models, aFaults);
    CheckNames(
      path + ".services", account.m_services, fleet.m_services, aFaults);
    if (account.m_models.empty() && account.m_services.empty()) {
      aFaults.AddAt(path,
                    "the account may call nothing; allowed: models, services "
                    "or both");
    }
  }
}

void CheckKeys(const FleetDraft& aDraft, FaultLog& aFaults)
{
  std::map<std::string, AccountId> owners;
  for (const auto& [id, account] : aDraft.m_fleet.m_accounts) {
    const std::string path = "accounts." + id.Value() + ".keys";
    if (account.m_keyHashes.empty()) {
      aFaults.AddAt(path, "the account has no key; allowed: one key or more");
    }
    for (const std::string& hash : account.m_keyHashes) {
      const auto [owner, isFirst] = owners.emplace(hash, id);
      if (!isFirst) {
        aFaults.AddAt(path,
                      hash + " is a key of " + owner->second.Value() +
                        " already; allowed: each key once");
      }
    }
  }
}

void CheckShares(const FleetDraft& aDraft, FaultLog& aFaults)
{
  const std::set<AccountId>& percent = aDraft.m_percentShares;
  if (percent.empty()) {
    return;
  }
  uint64_t sum = 0;
  for (const auto& [id, account] : aDraft.m_fleet.m_accounts) {
    sum += account.m_share;
    if (percent.count(id) == 0) {
      aFaults.AddAt("accounts." + id.Value() + ".share",
                    "is a weight among percentages; allowed: a percentage such "
                    "as 25%, as the other accounts have");
    }
  }
  if (percent.size() == aDraft.m_fleet.m_accounts.size() &&
      sum != kWholeShare) {
    aFaults.AddAt("accounts",
                  "the shares add up to " + Number(sum) +
                    "%; allowed: percentages that add up to 100%");
  }
}

// A check and the sections that it reads.
struct Check
{
  std::vector<std::string> m_sections;
  void (*m_run)(const FleetDraft&, FaultLog&);
};

} // namespace

void CheckFleet(const FleetDraft& aDraft, FaultLog& aFaults)
{
  const std::vector<Check> checks = {
    { { "hosts", "zones" }, CheckZones },
    { { "hosts" }, CheckDomains },
    { { "hosts" }, CheckAddresses },
    { { "hosts", "services", "models" }, CheckModelSizes },
    { { "models" }, CheckModelLimits },
    { { "services" }, CheckServices },
    { { "hosts", "services" }, CheckServiceHosts },
    { { "accounts", "models", "services" }, CheckRights },
    { { "accounts" }, CheckKeys },
    { { "accounts" }, CheckShares }
  };
  const FaultLog readFaults = aFaults;
  for (const Check& check : checks) {
    const bool isReadable =
      std::none_of(check.m_sections.begin(),
                   check.m_sections.end(),
                   [&](const std::string& aSection) {
                     return readFaults.HasFaultIn(aSection);
                   });
    if (isReadable) {
      check.m_run(aDraft, aFaults);
    }
  }
}

} // namespace briarglade
