// Fuzz target: the bytes that a caller sends. The input goes over a loopback
// connection to the real HTTP server, and what it takes for a request goes
// through the checks of the caller API.

#include <arpa/inet.h>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <event2/event.h>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"
#include "briarglade/net/http_server.h"
#include "briarglade/node/caller_api.h"

namespace briarglade {
namespace {

// The key of the only account; the corpus uses it.
constexpr char kKey[] = "k";
constexpr int kMaxTurns = 10'000;

FleetConfig MakeFleet()
{
  FleetConfig fleet;
  ModelConfig model;
  model.m_id = ModelId("drafting");
  fleet.m_models[model.m_id] = model;
  ServiceConfig service;
  service.m_id = ServiceId("order-desk");
  service.m_operations = { { "book", false }, { "status", true } };
  fleet.m_services[service.m_id] = service;
  AccountConfig account;
  account.m_id = AccountId("councils");
  account.m_keyHashes = { HashBearerKey(kKey) };
  account.m_classes = { { ClassId("interactive"), 1, 0 } };
  account.m_models = { model.m_id };
  account.m_services = { service.m_id };
  fleet.m_accounts[account.m_id] = account;
  return fleet;
}

void Require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

// A server whose answer says whether the request was accepted.
class Target
{
public:
  Target()
    : m_server(m_loop, HttpServerLimits())
  {
    m_api.SetFleet(MakeFleet());
    m_server.SetHandler([this](const std::shared_ptr<HttpExchange>& aExchange) {
      Answer(*aExchange);
    });
    m_port = m_server.Listen({ "127.0.0.1", 0 });
    Require(m_port != 0);
  }

  void Take(const uint8_t* aData, size_t aSize)
  {
    const int connection = Connect();
    Require(send(connection, aData, aSize, MSG_NOSIGNAL) >= 0 || aSize == 0);
    shutdown(connection, SHUT_WR);
    int turns = 0;
    do {
      event_base_loop(m_loop.Base(), EVLOOP_NONBLOCK);
    } while (m_server.ConnectionCount() > 0 && ++turns < kMaxTurns);
    close(connection);
    Require(turns < kMaxTurns);
  }

private:
  int Connect() const
  {
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Require(connect(connection,
                    reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address)) == 0);
    return connection;
  }

  void Answer(HttpExchange& aExchange) const
  {
    const Result<RequestArrived> request =
      m_api.Parse(aExchange, RequestId("r"), Millis(0));
    if (const Error* error = GetError(request)) {
      Require(DescribeResultCode(error->m_code).m_outcome == Outcome::NotRun);
      aExchange.Respond(400, {}, "");
      return;
    }
    const RequestArrived& arrived = std::get<RequestArrived>(request);
    Require(arrived.m_target.m_model.IsEmpty() !=
            arrived.m_target.m_service.IsEmpty());
    Require(arrived.m_idempotent || !arrived.m_key.IsEmpty());
    Require(arrived.m_deadline > Millis(0));
    aExchange.Respond(200, {}, "");
  }

  EventLoop m_loop;
  HttpServer m_server;
  CallerApi m_api;
  uint16_t m_port = 0;
};

} // namespace
} // namespace briarglade

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  static briarglade::Target target;
  target.Take(aData, aSize);
  return 0;
}
