// Tests of the HTTP client: each way an exchange can break is told apart, and a
// connection with anything left on it is never used again.

#include "briarglade/net/http_client.h"

#include <doctest/doctest.h>
#include <string>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_call.h"
#include "standin/raw_server.h"

namespace briarglade::standin {
namespace {

struct CallResult
{
  HttpCallEnd m_end;
  std::string m_body;
};

// Makes one call and waits for its end.
CallResult MakeCall(EventLoop& aLoop,
                    HttpClient& aClient,
                    uint16_t aPort,
                    Millis aTimeout = Millis(5'000),
                    std::optional<size_t> aMaxIdle = std::nullopt)
{
  CallResult result;
  HttpCallSpec spec;
  spec.m_maxIdle = aMaxIdle;
  spec.m_endpoint = Endpoint{ "127.0.0.1", aPort };
  spec.m_body = "body";
  spec.m_timeout = aTimeout;
  spec.m_onData = [&](std::string_view aData) { result.m_body.append(aData); };
  spec.m_onEnd = [&](const HttpCallEnd& aEnd) {
    result.m_end = aEnd;
    aLoop.Stop();
  };
  aClient.Start(std::move(spec));
  aLoop.Run();
  return result;
}

struct BrokenExchange
{
  const char* m_name;
  std::string m_answer;
  // Whether the server closes after its answer.
  bool m_closes;
  ExchangeEnd m_expected;
};

TEST_CASE("each way an exchange can end is told apart")
{
  const BrokenExchange exchanges[] = {
    { "whole with length",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
      false,
      ExchangeEnd::Whole },
    { "whole in chunks",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      false,
      ExchangeEnd::Whole },
    { "closed before any answer", "", true, ExchangeEnd::ResetBeforeAnswer },
    { "closed in the status line",
      "HTTP/1.1 20",
      true,
      ExchangeEnd::ResetBeforeAnswer },
    { "closed before the whole length",
      "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
      true,
      ExchangeEnd::Truncated },
    { "closed before the last chunk",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
      true,
      ExchangeEnd::Truncated },
    { "no declared end",
      "HTTP/1.1 200 OK\r\n\r\nok",
      true,
      ExchangeEnd::Truncated },
  };
  for (const BrokenExchange& exchange : exchanges) {
    CAPTURE(exchange.m_name);
    EventLoop loop;
    RawServer server(loop, exchange.m_answer, exchange.m_closes);
    HttpClient client(loop, HttpClientLimits());
    const CallResult result = MakeCall(loop, client, server.Port());
    CHECK(result.m_end.m_end == exchange.m_expected);
  }
}

TEST_CASE("a refused connection and a silent server are told apart")
{
  EventLoop loop;
  HttpClient client(loop, HttpClientLimits());
  // Port 1 is reserved; nothing listens there.
  CHECK(MakeCall(loop, client, 1).m_end.m_end == ExchangeEnd::ConnectRefused);
  RawServer silent(loop, "", false);
  CHECK(MakeCall(loop, client, silent.Port(), Millis(30)).m_end.m_end ==
        ExchangeEnd::Timeout);
}

TEST_CASE(
  "a connection is kept after a whole answer and not after a longer one")
{
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (const bool stray : { false, true }) {
    EventLoop loop;
    RawServer server(loop, stray ? whole + whole : whole, false);
    HttpClient client(loop, HttpClientLimits());
    CHECK(MakeCall(loop, client, server.Port()).m_body == "ok");
    CHECK(MakeCall(loop, client, server.Port()).m_body == "ok");
    CHECK(server.AcceptedCount() == (stray ? 2 : 1));
  }
}

TEST_CASE("an answer without a declared end is whole only at an orderly close, "
          "and only where the call allows it")
{
  for (const bool isAllowed : { false, true }) {
    EventLoop loop;
    RawServer server(loop, "HTTP/1.1 200 OK\r\n\r\nok", true);
    HttpClient client(loop, HttpClientLimits());
    HttpCallEnd end;
    HttpCallSpec spec;
    spec.m_endpoint = Endpoint{ "127.0.0.1", server.Port() };
    spec.m_body = "body";
    spec.m_closeEndsAnswer = isAllowed;
    spec.m_onEnd = [&](const HttpCallEnd& aEnd) {
      end = aEnd;
      loop.Stop();
    };
    client.Start(std::move(spec));
    loop.Run();
    CHECK(end.m_end ==
          (isAllowed ? ExchangeEnd::Whole : ExchangeEnd::Truncated));
  }
}

TEST_CASE("an answer that isn't to the call is passed over")
{
  EventLoop loop;
  RawServer server(loop,
                   "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-For: old\r\n\r\n"
                   "oldHTTP/1.1 201 Created\r\nContent-Length: 2\r\nX-For: new"
                   "\r\n\r\nok",
                   false);
  HttpClient client(loop, HttpClientLimits());
  CallResult result;
  HttpCallSpec spec;
  spec.m_endpoint = Endpoint{ "127.0.0.1", server.Port() };
  spec.m_body = "body";
  spec.m_match = [](const HttpAnswerHead& aHead, bool) {
    return FindHeader(aHead.m_headers, "X-For") == "new"
             ? AnswerMatch::ThisCall
             : AnswerMatch::OtherCall;
  };
  spec.m_onData = [&](std::string_view aData) { result.m_body.append(aData); };
  spec.m_onEnd = [&](const HttpCallEnd& aEnd) {
    result.m_end = aEnd;
    loop.Stop();
  };
  client.Start(std::move(spec));
  loop.Run();
  CHECK(result.m_end.m_end == ExchangeEnd::Whole);
  CHECK(result.m_end.m_status == 201);
  CHECK(result.m_body == "ok");
}

TEST_CASE("at the bound on connections a call ends without having left")
{
  EventLoop loop;
  HttpClientLimits limits;
  limits.m_maxConnections = 0;
  HttpClient client(loop, limits);
  CHECK(MakeCall(loop, client, 1).m_end.m_end == ExchangeEnd::ConnectRefused);
}

TEST_CASE("a connection is kept only while fewer are idle than a call allows")
{
  EventLoop loop;
  RawServer server(
    loop, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
  HttpClient client(loop, HttpClientLimits());
  MakeCall(loop, client, server.Port(), Millis(5'000), 0);
  loop.Defer([&] { loop.Stop(); });
  loop.Run();
  CHECK(client.ConnectionCount() == 0);
  MakeCall(loop, client, server.Port(), Millis(5'000), 1);
  CHECK(client.ConnectionCount() == 1);
}

TEST_CASE("a cancelled call closes its connection and ends once")
{
  EventLoop loop;
  RawServer server(loop, "", false);
  HttpClient client(loop, HttpClientLimits());
  int ends = 0;
  HttpCallSpec spec;
  spec.m_endpoint = Endpoint{ "127.0.0.1", server.Port() };
  spec.m_body = "body";
  spec.m_onEnd = [&](const HttpCallEnd& aEnd) {
    CHECK(aEnd.m_end == ExchangeEnd::Cancelled);
    ++ends;
  };
  const std::shared_ptr<HttpCall> call = client.Start(std::move(spec));
  server.OnClosed([&] { loop.Stop(); });
  server.OnRequest([&] {
    call->Cancel();
    call->Cancel();
  });
  loop.Run();
  CHECK(ends == 1);
}

} // namespace
} // namespace briarglade::standin
