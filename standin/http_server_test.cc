// Tests of the HTTP server against bad input and callers that leave, over
// loopback with ports from the kernel.

#include "briarglade/net/http_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "briarglade/net/answer_budget.h"
#include "briarglade/net/answer_hold.h"
#include "briarglade/net/caller_budget.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"
#include "standin/raw_client.h"

namespace briarglade::standin {
namespace {

constexpr size_t kBodyBytes = 1024 * 1024;

HttpServerLimits SmallLimits()
{
  HttpServerLimits limits;
  limits.m_maxHeaderBytes = 1024;
  limits.m_maxBodyBytes = 1024;
  limits.m_requestTime = Millis(50);
  limits.m_idleTime = Millis(50);
  return limits;
}

// Sends bytes to an echoing server and returns what came back by the close.
std::string Exchange(const std::string& aBytes, HttpServerLimits aLimits)
{
  EventLoop loop;
  HttpServer server(loop, aLimits);
  server.SetHandler([](const std::shared_ptr<HttpExchange>& aExchange) {
    aExchange->Respond(200, {}, "echo:" + aExchange->Body());
  });
  RawClient client(loop, server.Listen({ "127.0.0.1", 0 }));
  client.OnEnd([&loop] { loop.Stop(); });
  client.Send(aBytes);
  loop.Run();
  return client.Received();
}

struct BadInput
{
  const char* m_name;
  std::string m_bytes;
  // What the answer must hold.
  std::vector<std::string> m_expected;
};

TEST_CASE("bad input is refused with a numbered code and the connection closed")
{
  const std::string longHeader =
    "GET / HTTP/1.1\r\nX-Long: " + std::string(2000, 'x') + "\r\n\r\n";
  const std::string longBody =
    "POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n" + std::string(4000, 'x');
  const std::string slow = "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc";
  const BadInput inputs[] = {
    { "oversized header", longHeader, { " 431 ", "Briarglade-Code: 201" } },
    { "oversized body", longBody, { " 413 ", "Briarglade-Code: 202" } },
    { "slow sender", slow, { " 408 ", "Briarglade-Code: 209" } },
    { "unknown method",
      "PWST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
      { " 400 ", "Briarglade-Code: 200" } },
  };
  for (const BadInput& input : inputs) {
    CAPTURE(input.m_name);
    const std::string answer = Exchange(input.m_bytes, SmallLimits());
    CAPTURE(answer);
    for (const std::string& expected : input.m_expected) {
      CHECK(answer.find(expected) != std::string::npos);
    }
    CHECK(answer.find("Briarglade-Outcome: not-run") != std::string::npos);
    CHECK(answer.find("echo:") == std::string::npos);
  }
}

TEST_CASE("a request whose end two readers could see differently is refused "
          "and its connection closed")
{
  const std::string bodyAndMore = "abcGET /smuggled HTTP/1.1\r\n\r\n";
  const BadInput inputs[] = {
    { "two lengths",
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n" +
        bodyAndMore,
      {} },
    { "the same length twice",
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n" +
        bodyAndMore,
      {} },
    { "length and chunks",
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked"
      "\r\n\r\n" +
        bodyAndMore,
      {} },
    { "another transfer coding",
      "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" +
        bodyAndMore,
      {} },
    { "a space before the colon",
      "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n" + bodyAndMore,
      {} },
    { "a folded header",
      "POST / HTTP/1.1\r\nX-Long: a\r\n b\r\nContent-Length: 3\r\n\r\n" +
        bodyAndMore,
      {} },
    { "a line end without a return",
      "POST / HTTP/1.1\r\nX-A: b\nContent-Length: 3\r\n\r\n" + bodyAndMore,
      {} },
    { "a return without a line end",
      "POST / HTTP/1.1\r\nX-A: b\rc\r\nContent-Length: 3\r\n\r\n" + bodyAndMore,
      {} },
    { "a zero byte in the path",
      "POST /a" + std::string(1, '\0') +
        "b HTTP/1.1\r\nContent-Length: 3\r\n\r\n" + bodyAndMore,
      {} },
    { "a control byte in a header",
      "POST / HTTP/1.1\r\nX-A: b\x01\r\nContent-Length: 3\r\n\r\n" +
        bodyAndMore,
      {} },
    { "two hosts",
      "POST / HTTP/1.1\r\nHost: a\r\nHost: b\r\nContent-Length: 3\r\n\r\n" +
        bodyAndMore,
      {} },
    { "a length that is no number",
      "POST / HTTP/1.1\r\nContent-Length: 3x\r\n\r\n" + bodyAndMore,
      {} },
    { "a chunk's size that is no number",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0"
      "\r\n\r\n",
      {} },
  };
  for (const BadInput& input : inputs) {
    CAPTURE(input.m_name);
    const std::string answer = Exchange(input.m_bytes, SmallLimits());
    CAPTURE(answer);
    CHECK(answer.find(" 400 ") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(answer.find("echo:") == std::string::npos);
    // One answer, and no second request read out of the first.
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
  }
}

TEST_CASE("chunk extensions and trailers are read and dropped")
{
  const std::string answer = Exchange(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;name=value\r\nabc"
    "\r\n0\r\nX-Trailer: 1\r\n\r\n",
    SmallLimits());
  CHECK(answer.find("echo:abc") != std::string::npos);
}

TEST_CASE("three requests in one piece get three answers, in order")
{
  std::string bytes;
  for (const char* body : { "one", "two", "six" }) {
    bytes += std::string("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n") + body;
  }
  const std::string answers = Exchange(bytes, SmallLimits());
  const size_t first = answers.find("echo:one");
  const size_t second = answers.find("echo:two");
  const size_t third = answers.find("echo:six");
  CHECK(first < second);
  CHECK(second < third);
  CHECK(third != std::string::npos);
}

TEST_CASE("what isn't HTTP is closed without an answer from the handler")
{
  const std::string answer =
    Exchange("\x16\x03\x01 not http at all\r\n\r\n", SmallLimits());
  CHECK(answer.find("echo:") == std::string::npos);
}

TEST_CASE("a whole request is answered, and the idle connection closed later")
{
  const std::string answer =
    Exchange("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", SmallLimits());
  CHECK(answer.find("echo:abc") != std::string::npos);
}

// A connected socket whose bytes go to the kernel at once.
class BlockingClient
{
public:
  explicit BlockingClient(uint16_t aPort)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(m_socket,
                    reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
  }
  ~BlockingClient() { close(m_socket); }
  BlockingClient(const BlockingClient&) = delete;
  BlockingClient& operator=(const BlockingClient&) = delete;

  void Send(const std::string& aBytes)
  {
    CHECK(send(m_socket, aBytes.data(), aBytes.size(), 0) ==
          static_cast<ssize_t>(aBytes.size()));
  }
  // Returns what has come by now.
  std::string Receive()
  {
    std::string received(4096, ' ');
    const ssize_t got =
      recv(m_socket, received.data(), received.size(), MSG_DONTWAIT);
    received.resize(static_cast<size_t>(std::max<ssize_t>(0, got)));
    return received;
  }

private:
  int m_socket;
};

TEST_CASE(
  "LOST: a request that has come, but was not read yet, is answered when "
  "the server begins to drain")
{
  EventLoop loop;
  HttpServer server(loop, HttpServerLimits());
  server.SetHandler([&loop](const std::shared_ptr<HttpExchange>& aExchange) {
    aExchange->Respond(200, {}, "echo:" + aExchange->Path());
    loop.Stop();
  });
  BlockingClient client(server.Listen({ "127.0.0.1", 0 }));
  client.Send("GET /first HTTP/1.1\r\n\r\n");
  loop.Run();
  CHECK(client.Receive().find("echo:/first") != std::string::npos);
  client.Send("GET /second HTTP/1.1\r\n\r\n");
  server.BeginDraining();
  const std::unique_ptr<Timer> giveUp =
    loop.MakeTimer([&loop] { loop.Stop(); });
  giveUp->Start(Millis(1'000));
  loop.Run();
  const std::string answer = client.Receive();
  CHECK(answer.find("echo:/second") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
}

TEST_CASE("connections beyond the bound are closed at once")
{
  HttpServerLimits limits = SmallLimits();
  limits.m_maxConnections = 0;
  CHECK(Exchange("GET / HTTP/1.1\r\n\r\n", limits).empty());
}

TEST_CASE("a caller that leaves or half-closes in mid-stream is noticed")
{
  for (const bool halfClose : { false, true }) {
    EventLoop loop;
    HttpServer server(loop, HttpServerLimits());
    bool closed = false;
    server.SetHandler([&](const std::shared_ptr<HttpExchange>& aExchange) {
      aExchange->OnClosed([&] {
        closed = true;
        loop.Stop();
      });
      aExchange->StartStream(200, {});
      aExchange->Write("first");
    });
    auto client =
      std::make_unique<RawClient>(loop, server.Listen({ "127.0.0.1", 0 }));
    client->OnData([&](const std::string& aReceived) {
      if (aReceived.find("first") == std::string::npos) {
        return;
      }
      if (halfClose) {
        client->CloseSending();
      } else {
        loop.Defer([&client] { client.reset(); });
      }
    });
    client->Send("GET / HTTP/1.1\r\n\r\n");
    loop.Run();
    CHECK(closed);
  }
}

TEST_CASE("an aborted stream doesn't look whole")
{
  EventLoop loop;
  HttpServer server(loop, HttpServerLimits());
  server.SetHandler([&](const std::shared_ptr<HttpExchange>& aExchange) {
    aExchange->StartStream(200, {});
    aExchange->Write("part");
    aExchange->Abort();
  });
  RawClient client(loop, server.Listen({ "127.0.0.1", 0 }));
  client.OnEnd([&loop] { loop.Stop(); });
  client.Send("GET / HTTP/1.1\r\n\r\n");
  loop.Run();
  CHECK(client.Received().find("\r\n0\r\n") == std::string::npos);
}

// Sends the parts one after the other, each once something more has come back
// or 20 ms have passed, and returns what came by the close.
std::string ExchangeParts(EventLoop& aLoop,
                          HttpServer& aServer,
                          std::vector<std::string> aParts)
{
  RawClient client(aLoop, aServer.Listen({ "127.0.0.1", 0 }));
  client.OnEnd([&aLoop] { aLoop.Stop(); });
  size_t next = 0;
  const std::unique_ptr<Timer> timer = aLoop.MakeTimer([&] {
    if (next < aParts.size()) {
      client.Send(aParts[next++]);
      timer->Start(Millis(20));
    }
  });
  timer->Start(Millis(0));
  aLoop.Run();
  return client.Received();
}

TEST_CASE("a body that is not wanted is refused before it has come, and not "
          "kept")
{
  struct Case
  {
    const char* m_name;
    std::vector<std::string> m_parts;
    bool m_keeps;
  };
  const std::string next = "GET /next HTTP/1.1\r\n\r\n";
  const Case cases[] = {
    { "a short body leaves the connection open",
      { "POST /no HTTP/1.1\r\nContent-Length: 6\r\n\r\nabc", "def" + next },
      true },
    { "a short body in chunks, too",
      { "POST /no HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
        "\r\n0\r\n\r\n" + next },
      true },
    { "a long body is not waited for",
      { "POST /no HTTP/1.1\r\nContent-Length: 900000\r\n\r\nabc" },
      false },
    { "a long body in chunks is read no further",
      { "POST /no HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "20000\r\n" + std::string(0x20000, 'x') },
      false },
  };
  for (const Case& each : cases) {
    CAPTURE(each.m_name);
    EventLoop loop;
    HttpServerLimits limits;
    limits.m_idleTime = Millis(100);
    HttpServer server(loop, limits);
    server.SetHeadJudge(
      [](const HttpExchange& aExchange) { return aExchange.Path() != "/no"; });
    server.SetHandler([](const std::shared_ptr<HttpExchange>& aExchange) {
      CHECK(aExchange->IsBodyDropped() == (aExchange->Path() == "/no"));
      CHECK(aExchange->Body().empty());
      aExchange->Respond(aExchange->IsBodyDropped() ? 404 : 200, {}, {});
    });
    const std::string answers = ExchangeParts(loop, server, each.m_parts);
    CAPTURE(answers);
    CHECK(answers.find(" 404 ") != std::string::npos);
    CHECK((answers.find(" 200 ") != std::string::npos) == each.m_keeps);
    CHECK((answers.find("Connection: close") == std::string::npos) ==
          each.m_keeps);
  }
}

TEST_CASE("above the budget a body waits unread and is served once another "
          "request has been answered; one that stops is refused, not run")
{
  for (const bool doesFirstEnd : { true, false }) {
    CAPTURE(doesFirstEnd);
    EventLoop loop;
    const auto budget = std::make_shared<CallerBudget>(kBodyBytes);
    HttpServerLimits limits;
    limits.m_maxBodyBytes = kBodyBytes;
    limits.m_idleTime = Millis(50);
    HttpServer server(loop, limits);
    server.SetBudget(budget);
    std::vector<std::string> handled;
    server.SetHandler([&](const std::shared_ptr<HttpExchange>& aExchange) {
      CHECK(aExchange->Body().size() == kBodyBytes);
      CHECK(budget->HeldBytes() < 2 * kBodyBytes);
      handled.push_back(aExchange->Path());
      aExchange->Respond(200, {}, {});
    });
    const uint16_t port = server.Listen({ "127.0.0.1", 0 });
    const auto head = [](const std::string& aPath) {
      return "POST " + aPath +
             " HTTP/1.1\r\nContent-Length: " + std::to_string(kBodyBytes) +
             "\r\n\r\n";
    };
    RawClient first(loop, port);
    first.Send(head("/first") + std::string(kBodyBytes - 1, 'x'));
    const std::unique_ptr<Timer> later = loop.MakeTimer([&] {
      if (doesFirstEnd) {
        first.Send("x");
      }
    });
    std::unique_ptr<RawClient> second;
    const std::unique_ptr<Timer> soon = loop.MakeTimer([&] {
      second = std::make_unique<RawClient>(loop, port);
      second->Send(head("/second") + std::string(kBodyBytes, 'x'));
      second->OnEnd([&loop] { loop.Stop(); });
    });
    soon->Start(Millis(100));
    later->Start(Millis(200));
    loop.RunEvery(Millis(20), [&] { budget->Tick(EventLoop::Now()); });
    loop.Run();
    CHECK(second->Received().find(" 200 ") != std::string::npos);
    CHECK(handled.size() == (doesFirstEnd ? 2 : 1));
    CHECK(handled.back() == "/second");
    CHECK(budget->WaitCount() == 1);
    CHECK((first.Received().find(" 503 ") != std::string::npos) !=
          doesFirstEnd);
    CHECK((first.Received().find("not-run") != std::string::npos) !=
          doesFirstEnd);
  }
}

TEST_CASE("the next request of a connection is not run before the answer to "
          "the one before it has been taken")
{
  EventLoop loop;
  HttpServerLimits limits;
  limits.m_idleTime = Millis(50);
  HttpServer server(loop, limits);
  const std::string longAnswer(16 * 1024 * 1024, 'x');
  int handled = 0;
  server.SetHandler([&](const std::shared_ptr<HttpExchange>& aExchange) {
    ++handled;
    aExchange->Respond(200, {}, longAnswer);
  });
  RawClient client(loop, server.Listen({ "127.0.0.1", 0 }));
  client.OnEnd([&loop] { loop.Stop(); });
  client.PauseReading();
  client.Send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  const std::unique_ptr<Timer> timer = loop.MakeTimer([&] {
    CHECK(handled == 1);
    client.ResumeReading();
  });
  timer->Start(Millis(200));
  loop.Run();
  CHECK(handled == 2);
  CHECK(client.Received().size() > 2 * longAnswer.size());
}

TEST_CASE("an answer counts until its caller has taken it, and a caller that "
          "takes nothing is cut above the bound")
{
  constexpr size_t kAnswerBytes = 16 * 1024 * 1024;
  for (const bool isTaken : { true, false }) {
    CAPTURE(isTaken);
    EventLoop loop;
    const auto budget = std::make_shared<AnswerBudget>(kAnswerBytes);
    HttpServer server(loop, HttpServerLimits());
    server.SetHandler([&](const std::shared_ptr<HttpExchange>& aExchange) {
      const auto hold = std::make_shared<AnswerHold>(budget, "slow");
      hold->SetBytes(kAnswerBytes);
      aExchange->CloseAfterwards();
      aExchange->HoldUntilTaken(hold);
      aExchange->Respond(200, {}, std::string(kAnswerBytes, 'x'));
      loop.Stop();
    });
    RawClient client(loop, server.Listen({ "127.0.0.1", 0 }));
    client.PauseReading();
    client.Send("GET / HTTP/1.1\r\n\r\n");
    loop.Run();
    CHECK(budget->HeldBytes() == kAnswerBytes);
    client.OnEnd([&] { loop.Stop(); });
    if (!isTaken) {
      AnswerHold other(budget, "other");
      other.SetBytes(1);
      CHECK(budget->HeldBytes() == 1);
    }
    client.ResumeReading();
    loop.Run();
    CHECK((client.Received().size() > kAnswerBytes) == isTaken);
    CHECK(budget->HeldBytes() == 0);
  }
}

} // namespace
} // namespace briarglade::standin
