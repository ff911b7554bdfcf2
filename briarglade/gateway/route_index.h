// Finds the route of a request and the account of a key in one version of the
// configuration.
//
// Example:
//   RouteIndex index(config);
//   const RouteRule* rule = index.FindRoute("shop.example", "/orders/7");
//   const AccountSpec* account = index.FindAccount(key);

#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "briarglade/gateway/gateway_config.h"

namespace briarglade {

// Lookup tables over one configuration, of which it holds a copy.
class RouteIndex
{
public:
  RouteIndex() = default;
  explicit RouteIndex(GatewayConfig aConfig);

  const GatewayConfig& Config() const { return m_config; }

  // Returns the route of the host with the longest prefix that matches the
  // path, or nullptr. A port after the host name is ignored.
  const RouteRule* FindRoute(const std::string& aHost,
                             const std::string& aPath) const;
  // Returns the account that has the key, or nullptr.
  const AccountSpec* FindAccount(const std::string& aKey) const;
  // Returns the service, or nullptr.
  const ServiceSpec* FindService(const ServiceId& aService) const;

private:
  GatewayConfig m_config;
  // Routes by host and prefix, and accounts by key, as indexes into m_config.
  std::unordered_map<std::string, size_t> m_routes;
  std::unordered_map<std::string, size_t> m_accounts;
};

// Returns one of the route's services, chosen by weight. aChoice must be
// uniformly distributed over all 32-bit values. The route must have at least
// one service.
const ServiceId& ChooseService(const RouteRule& aRule, uint32_t aChoice);

} // namespace briarglade
