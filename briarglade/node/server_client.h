// Probes and orders to backend servers, over HTTP.

#pragma once

#include <functional>

#include "briarglade/base/endpoint.h"
#include "briarglade/core/event.h"
#include "briarglade/placement/server_report.h"

namespace briarglade {

class HttpClient;

class ServerClient
{
public:
  explicit ServerClient(HttpClient& aClient);

  // Asks a server for its state. The handler gets its report, or ProbeFailed.
  void Probe(const HostId& aHost,
             const Endpoint& aEndpoint,
             std::function<void(EventBody)> aDone);

  // Sends an order. Nothing is reported: the next probe shows what came of it.
  void Send(const ServerOrder& aOrder, const Endpoint& aEndpoint);

private:
  HttpClient& m_client;
};

} // namespace briarglade
