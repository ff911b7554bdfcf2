// Tests of the HTTP client's connections, over loopback with ports from the
// kernel.

#include "briarglade/net/http_client.h"

#include <doctest/doctest.h>
#include <memory>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"
#include "briarglade/net/http_server.h"

namespace briarglade {
namespace {

// Guards against a service whose idle connections keep the node from reaching
// any other server, and the store.
TEST_CASE("at the bound on connections an idle one is closed for a call to "
          "another server")
{
  EventLoop loop;
  HttpServer first(loop, HttpServerLimits());
  HttpServer second(loop, HttpServerLimits());
  const auto answer = [](const std::shared_ptr<HttpExchange>& aExchange) {
    aExchange->Respond(200, {}, "done");
  };
  first.SetHandler(answer);
  second.SetHandler(answer);
  const Endpoint firstPeer{ "127.0.0.1", first.Listen({ "127.0.0.1", 0 }) };
  const Endpoint secondPeer{ "127.0.0.1", second.Listen({ "127.0.0.1", 0 }) };

  HttpClientLimits limits;
  limits.m_maxConnections = 1;
  HttpClient client(loop, limits);
  const auto call = [&](const Endpoint& aPeer) {
    ExchangeEnd end = ExchangeEnd::Timeout;
    HttpCallSpec spec;
    spec.m_endpoint = aPeer;
    spec.m_onEnd = [&](const HttpCallEnd& aEnd) {
      end = aEnd.m_end;
      loop.Stop();
    };
    client.Start(std::move(spec));
    loop.Run();
    return end;
  };
  CHECK(call(firstPeer) == ExchangeEnd::Whole);
  CHECK(client.ConnectionCount() == 1);
  CHECK(call(secondPeer) == ExchangeEnd::Whole);
  CHECK(call(firstPeer) == ExchangeEnd::Whole);
  CHECK(client.ConnectionCount() == 1);
}

} // namespace
} // namespace briarglade
