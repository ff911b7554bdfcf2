// Tests of a whole entry node against the stand-in of the users' platform, in
// one loop: what strangers send it, and configurations that can't be read.

#include "briarglade/entry/entry_node.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "standin/group_audit.h"
#include "standin/platform_server.h"
#include "standin/platform_world_test.h"
#include "standin/raw_server.h"

namespace briarglade::standin {
namespace {

using nlohmann::json;

json Configuration(uint64_t aVersion)
{
  return { { "version", aVersion },
           { "routes",
             { { { "name", "book" },
                 { "host", "desk.example" },
                 { "prefix", "/book/" },
                 { "service", "desk" },
                 { "kind", "non_idempotent" },
                 { "timeout_ms", 2'000 },
                 { "attempts", 2 } } } },
           { "services",
             { { { "name", "desk" },
                 { "health_path", "/health" },
                 { "max_connections", 100 } } } },
           { "tenants",
             { { { "name", "sleds" }, { "api_keys", { "good-key" } } } } },
           { "limits",
             { { "header_bytes", 2'048 },
               { "body_bytes", 4'096 },
               { "header_timeout_ms", 150 },
               { "idle_timeout_ms", 1'000 } } } };
}

// A whole booking, after which the connection is closed.
std::string Booking(const std::string& aAttempt, const std::string& aBody)
{
  return "POST /book/slot HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " +
         aAttempt +
         "\r\nKey: good-key\r\nDeadline-Remaining: 2000\r\n"
         "Connection: close\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// A node that knows its configuration and the one server of its service.
class DeskWorld : public NodeWorld
{
public:
  DeskWorld()
    : NodeWorld(Configuration(1))
  {
    AddDesk("desk-1");
    WaitFor(Booking("warm-up", "{}"), "200");
  }

  // Adds a server of the service.
  PlatformServer& AddDesk(const std::string& aHost)
  {
    PlatformServerOptions options;
    options.m_host = aHost;
    options.m_service = "desk";
    options.m_zone = "zone-a";
    m_servers.push_back(
      std::make_unique<PlatformServer>(Loop(), Store(), m_audit, options));
    return *m_servers.back();
  }

  PlatformServer& First() { return *m_servers.front(); }
  uint64_t Served() const { return m_servers.front()->ServedCount(); }
  const std::map<std::string, uint32_t>& Runs() const
  {
    return m_servers.front()->Runs();
  }

private:
  GroupAudit m_audit;
  std::vector<std::unique_ptr<PlatformServer>> m_servers;
};

TEST_CASE("what can't be served gets its final answer, a closed connection and "
          "no run")
{
  struct Case
  {
    const char* m_name;
    std::string m_bytes;
    const char* m_status;
  };
  const std::string rest = "abcPOST /book/x HTTP/1.1\r\nHost: desk.example\r\n"
                           "Attempt-Id: smuggled\r\nKey: good-key\r\n"
                           "Content-Length: 0\r\n\r\n";
  const std::string head = "POST /book/slot HTTP/1.1\r\nHost: desk.example\r\n"
                           "Attempt-Id: bad\r\nKey: good-key\r\n";
  const Case cases[] = {
    { "two lengths",
      head + "Content-Length: 3\r\nContent-Length: 9\r\n\r\n" + rest,
      " 400 " },
    { "length and chunks",
      head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + rest,
      " 400 " },
    { "a folded header",
      head + "X-Note: a\r\n b\r\nContent-Length: 3\r\n\r\n" + rest,
      " 400 " },
    { "a space before the colon",
      head + "Content-Length : 3\r\n\r\n" + rest,
      " 400 " },
    { "a control byte in a header",
      head + "X-Note: a\x01z\r\nContent-Length: 3\r\n\r\n" + rest,
      " 400 " },
    { "no attempt id",
      "POST /book/slot HTTP/1.1\r\nHost: desk.example\r\nKey: good-key\r\n"
      "Connection: close\r\nContent-Length: 0\r\n\r\n",
      " 400 " },
    { "a header too large",
      head + "X-Long: " + std::string(4'000, 'x') + "\r\n\r\n",
      " 431 " },
    { "a body too large",
      head + "Content-Length: 9000\r\n\r\n" + std::string(9'000, 'x'),
      " 413 " },
    { "a slow sender", head + "Content-Length: 10\r\n\r\nabc", " 408 " },
    { "a slow header", "POST /book/slot HTTP/1.1\r\nHost:", " 408 " },
    { "no route",
      "POST /nowhere/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: bad\r\n"
      "Key: good-key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
      " 404 " },
    { "another host",
      "POST /book/slot HTTP/1.1\r\nHost: other.example\r\nAttempt-Id: bad\r\n"
      "Key: good-key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
      " 404 " },
    { "an unknown key",
      "POST /book/slot HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: bad\r\n"
      "Key: bad-key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
      " 401 " },
    { "no key",
      "POST /book/slot HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: bad\r\n"
      "Connection: close\r\nContent-Length: 0\r\n\r\n",
      " 401 " },
  };
  DeskWorld world;
  const uint64_t before = world.Served();
  for (const Case& entry : cases) {
    CAPTURE(entry.m_name);
    const std::string answer = world.Exchange(entry.m_bytes);
    CAPTURE(answer);
    CHECK(answer.find(entry.m_status) != std::string::npos);
    // One answer, not two.
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(world.Served() == before);
  }
}

TEST_CASE("three requests in one piece get their three answers, in order")
{
  DeskWorld world;
  std::string bytes;
  for (const char* name : { "first", "second" }) {
    bytes += "POST /book/slot HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " +
             std::string(name) + "\r\nKey: good-key\r\nContent-Length: " +
             std::to_string(std::string(name).size()) + "\r\n\r\n" + name;
  }
  bytes += Booking("third", "third");
  const std::string answer = world.Exchange(bytes);
  CAPTURE(answer);
  const size_t first = answer.find("\r\n\r\nfirst");
  const size_t second = answer.find("\r\n\r\nsecond");
  const size_t third = answer.find("\r\n\r\nthird");
  REQUIRE(third != std::string::npos);
  CHECK(first < second);
  CHECK(second < third);
  CHECK(world.Runs().at("second") == 1);
}

TEST_CASE("chunk extensions and trailers are read and not forwarded")
{
  DeskWorld world;
  const std::string answer = world.Exchange(
    "POST /book/slot HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: chunked\r\n"
    "Key: good-key\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3;note=\"x\"\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: z\r\n\r\n");
  CAPTURE(answer);
  CHECK(answer.find("\r\n\r\nabcde") != std::string::npos);
  CHECK(world.Runs().at("chunked") == 1);
}

TEST_CASE("a server that says it leaves finishes its answers and gets no more "
          "requests, whatever the store shows")
{
  DeskWorld world;
  PlatformServer& other = world.AddDesk("desk-2");
  for (int i = 0; other.ServedCount() == 0; ++i) {
    world.Exchange(Booking("meet-" + std::to_string(i), "{}"));
  }
  PlatformServerFaults leaving;
  leaving.m_saysLeaving = true;
  world.First().SetFaults(leaving);
  // Both are used until the first one is asked.
  const uint64_t before = world.First().ServedCount();
  for (int i = 0; world.First().ServedCount() == before; ++i) {
    CHECK(world.Exchange(Booking("find-" + std::to_string(i), "{}"))
            .find(" 200 ") != std::string::npos);
  }
  const uint64_t last = world.First().ServedCount();
  const uint64_t others = other.ServedCount();
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    CHECK(world.Exchange(Booking("after-" + std::to_string(i), "{}"))
            .find(" 200 ") != std::string::npos);
  }
  CHECK(world.First().ServedCount() == last);
  CHECK(other.ServedCount() == others + kRequests);
}

// Sends bytes to a port of this machine and closes the connection, all before
// the loop turns again.
void SendAndLeave(uint16_t aPort, const std::string& aBytes)
{
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(client >= 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(client,
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0);
  CHECK(send(client, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(aBytes.size()));
  close(client);
}

TEST_CASE(
  "a request that is read only after its caller has left is not sent on")
{
  DeskWorld world;
  const uint64_t served = world.Served();
  for (int i = 0; i < 5; ++i) {
    SendAndLeave(world.CallerPort(),
                 Booking("left-" + std::to_string(i), "{}"));
  }
  for (int i = 0; i < 5; ++i) {
    world.Pause();
  }
  CHECK(world.Served() == served);
}

TEST_CASE("while the only server asks for a pause, a booking is refused at "
          "once, with the time that is left")
{
  DeskWorld world;
  PlatformServerFaults busy;
  busy.m_pause = Millis(30'000);
  world.First().SetFaults(busy);
  CHECK(world.Exchange(Booking("first", "{}")).find(" 503 ") !=
        std::string::npos);
  world.First().SetFaults(PlatformServerFaults());
  const uint64_t served = world.First().ServedCount();
  const std::string answer = world.Exchange(Booking("second", "{}"));
  CAPTURE(answer);
  CHECK(answer.find(" 503 ") != std::string::npos);
  const size_t at = answer.find("Retry-After: ");
  REQUIRE(at != std::string::npos);
  const double seconds = std::stod(answer.substr(at + 13));
  CHECK(seconds > 25);
  CHECK(seconds <= 30);
  CHECK(world.First().ServedCount() == served);
}

TEST_CASE("bytes without end, wherever in an answer, are read no further than "
          "a bound, and the caller is answered")
{
  const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: endless\r\n"
                           "Response-Signature: sig\r\n";
  struct Case
  {
    const char* m_name;
    std::string m_answer;
    std::string m_endless;
  };
  const std::string letters(4'096, 'x');
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const Case cases[] = {
    { "no answer", "", letters },
    { "in the status line", "HTTP/1.1 200 ", letters },
    { "in a header's value", head + "X-Long: ", letters },
    { "in headers without end", head, "X-Next: more\r\n" },
    { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "in a body without a length", head + "\r\n", letters },
    { "in a body that is too long",
      head + "Content-Length: 99999999999\r\n\r\n",
      letters },
    { "in chunks without end", chunked, "5\r\nabcde\r\n" },
    { "in a chunk's extension", chunked + "5;note=", letters },
    { "in a trailer", chunked + "0\r\nX-Trailer: ", letters },
    { "in trailers without end", chunked + "0\r\n", "X-Next: more\r\n" },
    { "answers to another request",
      "",
      "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Signature: sig\r\n"
      "Content-Length: 2\r\n\r\nno" },
    { "behind the whole answer",
      head + "Content-Length: 2\r\n\r\nok",
      letters },
  };
  for (const Case& entry : cases) {
    CAPTURE(std::string(entry.m_name));
    NodeWorld world(Configuration(1));
    bool isEndless = false;
    bool isClosed = false;
    RawServer server(world.Loop(), [&](const std::string&) {
      if (isEndless) {
        return RawAnswer{ entry.m_answer, RawEnd::Keep, entry.m_endless };
      }
      return RawAnswer{ "HTTP/1.1 200 OK\r\nAttempt-Id: warm-up\r\n"
                        "Response-Signature: sig\r\n"
                        "Content-Length: 2\r\n\r\nok" };
    });
    world.AddServer("desk-1", "desk", server.Port());
    world.WaitFor(Booking("warm-up", "body"), "200");
    isEndless = true;
    server.OnClosed([&] { isClosed = true; });
    const std::string answer = world.Exchange(Booking("endless", "body"));
    CHECK(answer.compare(0, 9, "HTTP/1.1 ") == 0);
    for (int i = 0; i < 100 && !isClosed; ++i) {
      world.Pause();
    }
    CHECK(isClosed);
    // The bound on an answer's body, and what the sockets hold.
    constexpr uint64_t kMostBytes = 24 * 1024 * 1024;
    CHECK(server.EndlessBytes() < kMostBytes);
  }
}

TEST_CASE("DENIED: a node that knows no configuration yet asks the caller of a "
          "long request to come back")
{
  NodeWorld world(json::object());
  const std::string body(3'000'000, 'x');
  const std::string answer = world.Exchange(
    "POST /book/slot HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: long\r\n"
    "Connection: close\r\nContent-Length: " +
    std::to_string(body.size()) + "\r\n\r\n" + body);
  CAPTURE(answer);
  CHECK(answer.find(" 503 ") != std::string::npos);
  CHECK(answer.find("Retry-After: ") != std::string::npos);
}

TEST_CASE(
  "a configuration that can't be read leaves the last good one in force")
{
  DeskWorld world;
  for (const std::string& text : { std::string("{\"version\": 2"),
                                   std::string("[]"),
                                   json{ { "version", 2 } }.dump() }) {
    world.Configure(text);
    CHECK(world.Exchange(Booking("after", "{}")).find(" 200 ") !=
          std::string::npos);
  }
  // A good one that follows is taken.
  json next = Configuration(3);
  next["routes"][0]["prefix"] = "/reserve/";
  world.Configure(next.dump());
  const std::string bytes = "POST /reserve/slot HTTP/1.1\r\nHost: desk.example"
                            "\r\nAttempt-Id: new\r\nKey: good-key\r\n"
                            "Connection: close\r\nContent-Length: 0\r\n\r\n";
  while (world.Exchange(bytes).find(" 200 ") == std::string::npos) {
  }
  CHECK(world.Exchange(Booking("old", "{}")).find(" 404 ") !=
        std::string::npos);
}

} // namespace
} // namespace briarglade::standin
