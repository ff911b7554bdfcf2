// Tests of the HTTP server's limits, over loopback with ports from the kernel.

#include "briarglade/net/http_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <filesystem>
#include <iterator>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"

namespace briarglade {
namespace {

constexpr std::string_view kRequest = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr std::string_view kPartOfRequest = "GET /x HTTP/1.1\r\nHost: x";

// A client's socket, which does not block.
class TestClient
{
public:
  explicit TestClient(uint16_t aPort)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(m_socket,
                    reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address)) == 0);
  }
  ~TestClient() { close(m_socket); }
  TestClient(const TestClient&) = delete;
  TestClient& operator=(const TestClient&) = delete;

  void Send(std::string_view aText) const
  {
    CHECK(send(m_socket, aText.data(), aText.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(aText.size()));
  }
  // Returns what has come, and notes whether the server has closed.
  std::string Receive()
  {
    std::string text;
    char buffer[4096];
    ssize_t got = 0;
    while ((got = recv(m_socket, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0) {
      text.append(buffer, static_cast<size_t>(got));
    }
    m_isClosed = got == 0;
    return text;
  }
  bool IsClosed()
  {
    Receive();
    return m_isClosed;
  }

private:
  const int m_socket;
  bool m_isClosed = false;
};

struct World
{
  explicit World(size_t aMaxConnections)
    : m_server(m_loop, LimitsWith(aMaxConnections))
  {
    m_server.SetHandler([this](std::shared_ptr<HttpExchange> aExchange) {
      m_exchanges.push_back(std::move(aExchange));
    });
    m_server.SetRejectionObserver([this](const HttpRejection& aRejection) {
      m_rejections.push_back(aRejection);
    });
    m_server.SetEvictionObserver([this](const HttpEviction& aEviction) {
      m_evictions.push_back(aEviction);
    });
    m_port = m_server.Listen({ "127.0.0.1", 0 });
    REQUIRE(m_port != 0);
  }

  static HttpServerLimits LimitsWith(size_t aMaxConnections)
  {
    HttpServerLimits limits;
    limits.m_maxConnections = aMaxConnections;
    return limits;
  }

  std::unique_ptr<TestClient> Connect()
  {
    auto client = std::make_unique<TestClient>(m_port);
    RunBriefly();
    return client;
  }

  // Runs the loop until everything that was sent has been read.
  void RunBriefly()
  {
    constexpr Millis kShort = Millis(20);
    const std::unique_ptr<Timer> timer =
      m_loop.MakeTimer([this] { m_loop.Stop(); });
    timer->Start(kShort);
    m_loop.Run();
  }

  EventLoop m_loop;
  std::vector<std::shared_ptr<HttpExchange>> m_exchanges;
  std::vector<HttpRejection> m_rejections;
  std::vector<HttpEviction> m_evictions;
  HttpServer m_server;
  uint16_t m_port = 0;
};

// Guards against clients that hold all connections: a new client was kept out
// until the time for a request was over.
TEST_CASE("at the bound on connections the one that has waited for longest is "
          "closed for a new one, never one whose request is being handled")
{
  World world(3);
  const auto handled = world.Connect();
  handled->Send(kRequest);
  const auto incomplete = world.Connect();
  incomplete->Send(kPartOfRequest);
  world.RunBriefly();
  REQUIRE(world.m_exchanges.size() == 1);
  const auto idle = world.Connect();

  const auto first = world.Connect();
  CHECK(incomplete->Receive().find(" 503 ") != std::string::npos);
  CHECK(incomplete->IsClosed());
  CHECK_FALSE(idle->IsClosed());
  const auto second = world.Connect();
  CHECK(idle->IsClosed());
  first->Send(kRequest);
  second->Send(kRequest);
  world.RunBriefly();
  REQUIRE(world.m_exchanges.size() == 3);

  // All requests are being handled.
  const auto refused = world.Connect();
  CHECK(refused->IsClosed());
  for (const auto& exchange : world.m_exchanges) {
    CHECK(exchange->IsOpen());
    exchange->Respond(200, {}, "done");
  }
  CHECK(handled->Receive().find(" 200 ") != std::string::npos);
  CHECK(first->Receive().find(" 200 ") != std::string::npos);
  CHECK(second->Receive().find(" 200 ") != std::string::npos);
  CHECK(world.m_server.ConnectionCount() == 3);
  CHECK(world.m_server.Evictions() == 2);
  CHECK(world.m_server.ClosedAtLimit() == 1);
  REQUIRE(world.m_evictions.size() == 2);
  CHECK(world.m_evictions[0].m_isIncomplete);
  CHECK(world.m_evictions[0].m_address == "127.0.0.1");
  CHECK_FALSE(world.m_evictions[1].m_isIncomplete);
  REQUIRE(world.m_rejections.size() == 1);
  CHECK(world.m_rejections[0].m_code == ResultCode::NoCapacity);
}

size_t CountDescriptors()
{
  const std::filesystem::directory_iterator all("/proc/self/fd");
  return static_cast<size_t>(std::distance(begin(all), end(all)));
}

// Guards against evicted connections that stay open until the loop has accepted
// all that wait: the descriptors of the process ran out.
TEST_CASE("a burst of new connections takes no more descriptors than there may "
          "be connections")
{
  constexpr size_t kMaxConnections = 4;
  constexpr size_t kBurst = 100;
  World world(kMaxConnections);
  std::vector<std::unique_ptr<TestClient>> clients;
  for (size_t number = 0; number < kBurst; ++number) {
    clients.push_back(std::make_unique<TestClient>(world.m_port));
  }
  const size_t before = CountDescriptors();
  size_t most = 0;
  world.m_server.SetEvictionObserver(
    [&](const HttpEviction&) { most = std::max(most, CountDescriptors()); });
  world.RunBriefly();
  CHECK(world.m_server.Evictions() == kBurst - kMaxConnections);
  // The one that has just been accepted is open, too.
  CHECK(most <= before + kMaxConnections + 1);
}

} // namespace
} // namespace briarglade
