// Tests of the relay between a caller and a backend server, over loopback.

#include "briarglade/node/relay.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"
#include "briarglade/net/http_server.h"
#include "briarglade/telemetry/latency_histogram.h"
#include "standin/raw_client.h"
#include "standin/raw_server.h"

namespace briarglade::standin {
namespace {

constexpr char kStreamHead[] = "HTTP/1.1 200 OK\r\n"
                               "Briarglade-Attempt: attempt-1\r\n"
                               "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";

std::string Chunk(const std::string& aData)
{
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", aData.size());
  return size + aData + "\r\n";
}

// One caller, one relay, and the backend server at a port.
class RelayWorld
{
public:
  explicit RelayWorld(bool aStreaming)
    : m_server(m_loop, HttpServerLimits())
    , m_client(m_loop, HttpClientLimits())
  {
    m_server.SetHandler(
      [this, aStreaming](const std::shared_ptr<HttpExchange>& aExchange) {
        RequestArrived request;
        request.m_request = RequestId("request-1");
        request.m_target.m_model = ModelId("drafting");
        request.m_streaming = aStreaming;
        RelayHooks hooks;
        hooks.m_onBegan = [this](const AttemptAnswerBegan&) { ++m_began; };
        hooks.m_onEnded = [this](const AttemptEnded& aEnded) {
          m_ended.push_back(aEnded);
          m_onEnded(aEnded);
        };
        m_relay = std::make_unique<Relay>(
          request,
          aExchange,
          std::move(hooks),
          RelayHistograms{
            &m_histogram, &m_histogram, &m_histogram, &m_histogram });
        aExchange->OnClosed([this] {
          if (m_relay) {
            m_relay->Cancel(AttemptId("attempt-1"));
          }
        });
        Start("attempt-1", m_backendPort, 0);
      });
    m_caller =
      std::make_unique<RawClient>(m_loop, m_server.Listen({ "127.0.0.1", 0 }));
    m_caller->OnEnd([this] { m_loop.Stop(); });
  }

  // The connections' ends are told to a relay that must still be there.
  ~RelayWorld() { m_server.CloseConnections(); }

  void Start(const std::string& aAttempt, uint16_t aPort, uint32_t aResumeAfter)
  {
    StartAttempt start;
    start.m_attempt = AttemptId(aAttempt);
    start.m_leader = Endpoint{ "127.0.0.1", aPort };
    start.m_resumeAfterTokens = aResumeAfter;
    start.m_deadline = EventLoop::Now() + Millis(10'000);
    m_relay->Start(m_client, start, EventLoop::Now());
  }

  // Ends the request and lets the caller's connection close.
  void Finish(ResultCode aCode)
  {
    FinishRequest finish;
    finish.m_request = RequestId("request-1");
    finish.m_code = aCode;
    m_relay->Finish(finish);
  }

  // Sends the caller's request and runs until its connection is closed.
  void Run(uint16_t aBackendPort)
  {
    m_backendPort = aBackendPort;
    m_caller->Send("POST /v1/chat/completions HTTP/1.1\r\nConnection: close\r\n"
                   "Content-Length: 4\r\n\r\nbody");
    m_loop.Run();
  }

  EventLoop m_loop;
  HttpServer m_server;
  HttpClient m_client;
  LatencyHistogram m_histogram;
  std::unique_ptr<Relay> m_relay;
  std::unique_ptr<RawClient> m_caller;
  std::function<void(const AttemptEnded&)> m_onEnded =
    [this](const AttemptEnded& aEnded) {
      Finish(aEnded.m_end == ExchangeEnd::Whole ? ResultCode::Ok
                                                : ResultCode::StreamCut);
    };
  std::vector<AttemptEnded> m_ended;
  int m_began = 0;
  uint16_t m_backendPort = 0;
};

struct BrokenStream
{
  const char* m_name;
  std::string m_answer;
  bool m_closes;
  ExchangeEnd m_expected;
  uint32_t m_tokens;
};

TEST_CASE("a stream is whole only with its end marker and its own attempt id")
{
  const std::string two = Chunk("data: a\n\n") + Chunk("data: b\n\n");
  const std::string done = Chunk("data: [DONE]\n\n");
  const std::string other = "HTTP/1.1 200 OK\r\nBriarglade-Attempt: other\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n";
  const BrokenStream streams[] = {
    { "whole",
      kStreamHead + two + done + "0\r\n\r\n",
      false,
      ExchangeEnd::Whole,
      2 },
    { "marker, then cut",
      kStreamHead + two + done,
      true,
      ExchangeEnd::Whole,
      2 },
    { "no marker",
      kStreamHead + two + "0\r\n\r\n",
      false,
      ExchangeEnd::Truncated,
      2 },
    { "cut in an event",
      kStreamHead + two + Chunk("data: c"),
      true,
      ExchangeEnd::Truncated,
      2 },
    { "another attempt",
      other + two + done + "0\r\n\r\n",
      false,
      ExchangeEnd::WrongAnswer,
      0 },
    { "no attempt",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
      false,
      ExchangeEnd::WrongAnswer,
      0 },
    { "data after the marker",
      kStreamHead + done + Chunk("data: x\n\n") + "0\r\n\r\n",
      false,
      ExchangeEnd::WrongAnswer,
      0 },
    { "refusal",
      "HTTP/1.1 503 No\r\nBriarglade-Outcome: not-run\r\n"
      "Briarglade-Attempt: attempt-1\r\nContent-Length: 0\r\n\r\n",
      false,
      ExchangeEnd::RefusedByServer,
      0 },
    { "refusal of another attempt",
      "HTTP/1.1 503 No\r\nBriarglade-Outcome: not-run\r\n"
      "Briarglade-Attempt: other\r\nContent-Length: 0\r\n\r\n",
      false,
      ExchangeEnd::WrongAnswer,
      0 },
    { "cut before the answer", "", true, ExchangeEnd::ResetBeforeAnswer, 0 },
  };
  for (const BrokenStream& stream : streams) {
    CAPTURE(std::string(stream.m_name));
    RelayWorld world(true);
    RawServer backend(world.m_loop, stream.m_answer, stream.m_closes);
    world.Run(backend.Port());
    REQUIRE(world.m_ended.size() == 1);
    CHECK(world.m_ended[0].m_end == stream.m_expected);
    CHECK(world.m_ended[0].m_tokensDelivered == stream.m_tokens);
    const std::string& seen = world.m_caller->Received();
    const bool isWhole = stream.m_expected == ExchangeEnd::Whole;
    CHECK((seen.find("[DONE]") != std::string::npos &&
           seen.find("event: error") == std::string::npos) == isWhole);
    CHECK((seen.find("Briarglade-Code: 401") != std::string::npos ||
           seen.find("\"code\":401") != std::string::npos) == !isWhole);
  }
}

TEST_CASE("a cut stream goes on after its last whole token at another server")
{
  RelayWorld world(true);
  RawServer first(
    world.m_loop, kStreamHead + Chunk("data: a\n\ndata: hal"), true);
  std::string head = kStreamHead;
  head.replace(head.find("attempt-1"), 9, "attempt-2");
  RawServer second(world.m_loop,
                   head + Chunk("data: b\n\n") + Chunk("data: [DONE]\n\n") +
                     "0\r\n\r\n",
                   false);
  world.m_onEnded = [&](const AttemptEnded& aEnded) {
    if (aEnded.m_end == ExchangeEnd::Whole) {
      world.Finish(ResultCode::Ok);
      return;
    }
    CHECK(aEnded.m_tokensDelivered == 1);
    world.Start("attempt-2", second.Port(), aEnded.m_tokensDelivered);
  };
  world.Run(first.Port());
  const std::string& seen = world.m_caller->Received();
  const size_t a = seen.find("data: a\n\n");
  const size_t b = seen.find("data: b\n\n");
  CHECK(a != std::string::npos);
  CHECK(b != std::string::npos);
  CHECK(a < b);
  CHECK(seen.find("hal") == std::string::npos);
  CHECK(seen.find("[DONE]") != std::string::npos);
}

TEST_CASE(
  "when the caller leaves in mid-stream the engine's stream is cancelled")
{
  RelayWorld world(true);
  RawServer backend(world.m_loop, kStreamHead + Chunk("data: a\n\n"), false);
  bool closed = false;
  backend.OnClosed([&] {
    closed = true;
    world.m_loop.Stop();
  });
  world.m_caller->OnData([&](const std::string& aReceived) {
    if (aReceived.find("data: a") != std::string::npos) {
      world.m_loop.Defer([&] { world.m_caller.reset(); });
    }
  });
  world.Run(backend.Port());
  CHECK(closed);
  REQUIRE(world.m_ended.size() == 1);
  CHECK(world.m_ended[0].m_end == ExchangeEnd::Cancelled);
}

TEST_CASE("a reader that takes nothing stops the reading from the engine")
{
  // Far more than the kernel's buffers on both sides hold.
  constexpr size_t kEvents = 4'000;
  constexpr size_t kEventBytes = 8'000;
  const std::string event = "data: " + std::string(kEventBytes, 'x') + "\n\n";
  RelayWorld world(true);
  HttpServer engine(world.m_loop, HttpServerLimits());
  size_t written = 0;
  std::shared_ptr<HttpExchange> stream;
  std::function<void()> pump = [&] {
    while (written < kEvents && stream->UnsentBytes() == 0) {
      stream->Write(event);
      ++written;
    }
    if (written == kEvents && stream->UnsentBytes() == 0) {
      world.m_loop.Stop();
    }
  };
  engine.SetHandler([&](const std::shared_ptr<HttpExchange>& aExchange) {
    stream = aExchange;
    stream->OnDrained([&] { pump(); });
    stream->StartStream(200, { { kAttemptIdHeader, "attempt-1" } });
    stream->Write("data: first\n\n");
  });
  world.m_caller->PauseReading();
  // Looks until nothing more has been written between two looks.
  size_t seen = 0;
  world.m_loop.RunEvery(Millis(100), [&] {
    if (written > 0 && written == seen) {
      world.m_loop.Stop();
    }
    seen = written;
  });
  world.Run(engine.Listen({ "127.0.0.1", 0 }));
  REQUIRE(stream);
  CHECK(written > 0);
  CHECK(written < kEvents);
}

} // namespace
} // namespace briarglade::standin
