// Looks up routes by host and path prefix, and accounts by key.

#include "briarglade/gateway/route_index.h"

#include <utility>

namespace briarglade {

namespace {

// Joins host and prefix into one key. The key is unambiguous: a host contains
// no slash, and every prefix begins with one.
std::string RouteKey(const std::string& aHost, const std::string& aPrefix)
{
  return aHost + aPrefix;
}

} // namespace

RouteIndex::RouteIndex(GatewayConfig aConfig)
  : m_config(std::move(aConfig))
{
  for (size_t i = 0; i < m_config.m_routes.size(); ++i) {
    const RouteRule& rule = m_config.m_routes[i];
    m_routes.emplace(RouteKey(rule.m_host, rule.m_prefix), i);
  }
  for (size_t i = 0; i < m_config.m_accounts.size(); ++i) {
    for (const std::string& key : m_config.m_accounts[i].m_keys) {
      m_accounts.emplace(key, i);
    }
  }
}

const RouteRule* RouteIndex::FindRoute(const std::string& aHost,
                                       const std::string& aPath) const
{
  const std::string host = aHost.substr(0, aHost.find(':'));
  // Every prefix ends with a slash, so only the parts of the path that end with
  // one are looked up, longest first.
  for (size_t slash = aPath.rfind('/'); slash != std::string::npos;
       slash = slash == 0 ? std::string::npos : aPath.rfind('/', slash - 1)) {
    const auto found =
      m_routes.find(RouteKey(host, aPath.substr(0, slash + 1)));
    if (found != m_routes.end()) {
      return &m_config.m_routes[found->second];
    }
  }
  return nullptr;
}

const AccountSpec* RouteIndex::FindAccount(const std::string& aKey) const
{
  const auto found = m_accounts.find(aKey);
  return found == m_accounts.end() ? nullptr
                                   : &m_config.m_accounts[found->second];
}

const ServiceSpec* RouteIndex::FindService(const ServiceId& aService) const
{
  const auto found = m_config.m_services.find(aService);
  return found == m_config.m_services.end() ? nullptr : &found->second;
}

const ServiceId& ChooseService(const RouteRule& aRule, uint32_t aChoice)
{
  uint64_t total = 0;
  for (const WeightedService& weighted : aRule.m_services) {
    total += weighted.m_weight;
  }
  constexpr int kChoiceBits = 32;
  uint64_t offset = (uint64_t{ aChoice } * total) >> kChoiceBits;
  for (const WeightedService& weighted : aRule.m_services) {
    if (offset < weighted.m_weight) {
      return weighted.m_service;
    }
    offset -= weighted.m_weight;
  }
  return aRule.m_services.back().m_service;
}

} // namespace briarglade
