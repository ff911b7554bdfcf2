// What callers may ask: parses a request, checks the account's key and rights,
// and turns it into a RequestArrived.

#pragma once

#include <string>
#include <unordered_map>

#include "briarglade/base/ids.h"
#include "briarglade/base/result.h"
#include "briarglade/config/fleet_config.h"
#include "briarglade/routing/request_event.h"

namespace briarglade {

class HttpExchange;

// Returns the SHA-256 of a bearer key, in lower-case hex.
std::string HashBearerKey(const std::string& aKey);

class CallerApi
{
public:
  // Takes accounts, models and services from a configuration. Call again when
  // the configuration has changed.
  void SetFleet(const FleetConfig& aFleet);

  // Checks a request to /v1/chat/completions or /services/. The request id and
  // the deadline's base are given by the node.
  Result<RequestArrived> Parse(const HttpExchange& aExchange,
                               const RequestId& aRequest,
                               Millis aNow) const;

private:
  Result<RequestArrived> ParseChat(const HttpExchange& aExchange,
                                   const AccountConfig& aAccount,
                                   RequestArrived aRequest) const;
  Result<RequestArrived> ParseService(const HttpExchange& aExchange,
                                      const AccountConfig& aAccount,
                                      RequestArrived aRequest) const;
  const AccountConfig* FindAccount(const HttpExchange& aExchange) const;

  FleetConfig m_fleet;
  std::unordered_map<std::string, AccountId> m_accountsByHash;
};

} // namespace briarglade
