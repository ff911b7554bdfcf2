// Tests of answers whose status is none (MIXED): 000, numbers beyond 599,
// interim answers with a body. A server in trouble may send them to requests,
// and any other party to orders, probes and calls of the store.

#include <doctest/doctest.h>
#include <string>
#include <utility>
#include <vector>

#include "standin/control_calls_test.h"
#include "standin/platform_world_test.h"
#include "standin/raw_server.h"

namespace briarglade::standin {
namespace {

using nlohmann::json;

// Long enough that a test which waited for it would be noticed.
constexpr int kRouteTimeoutMs = 60'000;

std::vector<std::string> OddHeads()
{
  return { "000 ",    "000 Odd", "001 Odd", "099 Odd",
           "600 Odd", "799 Odd", "999 Odd", "101 Switching Protocols" };
}

json Configuration(const char* aKind)
{
  return { { "version", 1 },
           { "routes",
             { { { "name", "book" },
                 { "host", "desk.example" },
                 { "prefix", "/book/" },
                 { "service", "desk" },
                 { "kind", aKind },
                 { "timeout_ms", kRouteTimeoutMs },
                 { "attempts", 2 },
                 { "public", true } } } },
           { "services",
             { { { "name", "desk" }, { "max_connections", 100 } } } },
           { "limits",
             { { "header_bytes", 2'048 },
               { "body_bytes", 4'096 },
               { "header_timeout_ms", 150 },
               { "idle_timeout_ms", 1'000 } } } };
}

std::string Request(const std::string& aAttempt,
                    const std::string& aHeaders = {})
{
  return "POST /book/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " +
         aAttempt +
         "\r\nDeadline-Remaining: " + std::to_string(kRouteTimeoutMs) + "\r\n" +
         aHeaders + "Connection: close\r\nContent-Length: 4\r\n\r\nbody";
}

bool Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// Returns an answer of a server to the request, without its body's framing.
std::string Head(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus +
         "\r\nAttempt-Id: probe\r\nResponse-Signature: sig\r\n";
}

// A good answer, to a call as to a stream.
std::string GoodAnswer(const std::string& aAttempt)
{
  const std::string events = "id: 1\ndata: x\n\n";
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + aAttempt +
         "\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n"
         "Content-Length: " +
         std::to_string(events.size()) + "\r\n\r\n" + events;
}

// Returns what a caller gets if the only server answers its request so.
std::string AnswerTo(const char* aKind, const std::string& aAnswer)
{
  NodeWorld world(Configuration(aKind));
  RawServer server(world.Loop(), [&](const std::string& aRequest) {
    const bool isProbe = Has(aRequest, "Attempt-Id: probe");
    return RawAnswer{ isProbe ? aAnswer : GoodAnswer("warm-up") };
  });
  world.AddServer("desk-0", "desk", server.Port());
  world.WaitFor(Request("warm-up"), "200");
  return world.Exchange(Request("probe"));
}

// MIXED: a 999 was passed on, a 000 was taken for an interim answer, so that
// what followed it was believed, or the caller waited until its deadline.
TEST_CASE(
  "MIXED: a caller never gets an answer with a status that is none, nor "
  "what a server sends behind it")
{
  const std::string good = GoodAnswer("probe");
  const std::string framings[] = { "\r\n",
                                   "\r\n" + good,
                                   "Content-Length: 0\r\n\r\n" + good,
                                   "Content-Length: 5\r\n\r\nhello" };
  for (const char* kind : { "idempotent", "non_idempotent", "streaming" }) {
    for (const std::string& status : OddHeads()) {
      for (const std::string& framing : framings) {
        CAPTURE(kind);
        CAPTURE(status);
        CAPTURE(framing);
        const std::string answer = AnswerTo(kind, Head(status) + framing);
        CAPTURE(answer);
        const bool isOwn =
          Has(answer, "HTTP/1.1 502 ") || Has(answer, "HTTP/1.1 504 ");
        CHECK(isOwn);
        CHECK_FALSE(Has(answer, "Response-Signature"));
      }
    }
  }
}

TEST_CASE("MIXED: an interim answer with a body is no answer")
{
  const std::string answer = AnswerTo(
    "idempotent", Head("100 Continue") + "Content-Length: 5\r\n\r\nhello");
  CAPTURE(answer);
  CHECK(Has(answer, "HTTP/1.1 502 "));
}

// A model that needs one server, and a route to it.
json GroupConfiguration()
{
  json configuration = Configuration("streaming");
  configuration["services"][0]["engine"] = { { "slots", 8 },
                                             { "kv_capacity_tokens", 100'000 },
                                             { "step_ms", 10 },
                                             { "read_per_s", 50'000 },
                                             { "loads_per_s", 4 },
                                             { "formation_ms", 100 },
                                             { "models",
                                               { { { "name", "single" },
                                                   { "size", 1 },
                                                   { "load_s", 1 },
                                                   { "warm_s", 0.1 } } } } };
  return configuration;
}

// Returns what a server that leads an open group says of itself.
json LeaderState()
{
  return { { "domain", "rack-1" },
           { "staged", json::array({ "single" }) },
           { "models", json::array() },
           { "sequence", 2 },
           { "born", 1'700'000'000'000 },
           { "group",
             { { "name", "single.1" },
               { "epoch", 1 },
               { "rank", 0 },
               { "state", "open" } } } };
}

// Returns what a caller of a model gets if the leader of its only group answers
// its request so.
std::string AnswerOfLeader(const std::string& aAnswer)
{
  NodeWorld world(GroupConfiguration());
  RawServer server(world.Loop(), [&](const std::string& aRequest) {
    if (Has(aRequest, "/-/report")) {
      const std::string report = LeaderState().dump();
      return RawAnswer{ "HTTP/1.1 200 OK\r\nContent-Length: " +
                        std::to_string(report.size()) + "\r\n\r\n" + report };
    }
    if (Has(aRequest, "/-/order")) {
      return RawAnswer{ "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n" };
    }
    const bool isProbe = Has(aRequest, "Attempt-Id: probe");
    return RawAnswer{ isProbe ? aAnswer : GoodAnswer("warm-up") };
  });
  json entry = LeaderState();
  entry.update(
    { { "service", "desk" },
      { "address", Endpoint{ "127.0.0.1", server.Port() }.ToString() },
      { "zone", "zone-a" },
      { "slots", 8 },
      { "state", "ready" } });
  world.Store().Put(platform::kServersTable, "desk-0", entry.dump());
  const std::string model = "Model: single\r\nToken-Counts: 10,10\r\n";
  world.WaitFor(Request("warm-up", model), "200");
  return world.Exchange(Request("probe", model));
}

TEST_CASE("MIXED: nor does the caller of a model get one from a group's leader")
{
  for (const std::string& status : OddHeads()) {
    CAPTURE(status);
    const std::string answer =
      AnswerOfLeader(Head(status) + "\r\n" + GoodAnswer("probe"));
    CAPTURE(answer);
    const bool isOwn =
      Has(answer, "HTTP/1.1 502 ") || Has(answer, "HTTP/1.1 504 ");
    CHECK(isOwn);
    CHECK_FALSE(Has(answer, "Response-Signature"));
  }
}

// Calls of the node's own, to a party that gives one answer to everything.
class OddParty
{
public:
  explicit OddParty(const std::string& aAnswer)
    : m_server(m_loop, aAnswer, false)
  {
  }

  Endpoint Address() const { return Endpoint{ "127.0.0.1", m_server.Port() }; }

  OrderStatus Order() { return OrderAt(m_loop, m_client, Address(), kTimeout); }

  Result<ServerRecord> Probe()
  {
    return ProbeAt(m_loop, m_client, Address(), kTimeout);
  }

  StoreStatus Write()
  {
    const PlatformBinding binding = platform::MakeBinding(m_client, Address());
    WriteOwnRow write;
    write.m_key = RowKey("row");
    write.m_value = "value";
    StoreStatus status = StoreStatus::Ok;
    binding.m_store.m_write(write, [&](const OwnRowWritten& aWritten) {
      status = aWritten.m_status;
      m_loop.Stop();
    });
    m_loop.Run();
    return status;
  }

private:
  static constexpr Millis kTimeout = Millis(kRouteTimeoutMs);

  EventLoop m_loop;
  HttpClient m_client{ m_loop, HttpClientLimits() };
  RawServer m_server;
};

TEST_CASE("MIXED: an order, a probe or a write that gets a status that is none "
          "may have been carried out, and shows nothing")
{
  for (const std::string& status : OddHeads()) {
    for (const char* framing : { "\r\n", "Content-Length: 2\r\n\r\n{}" }) {
      CAPTURE(status);
      CAPTURE(framing);
      OddParty party("HTTP/1.1 " + status + "\r\n" + framing);
      CHECK(party.Order() == OrderStatus::Unknown);
      const Result<ServerRecord> probed = party.Probe();
      const Error* error = GetError(probed);
      REQUIRE(error != nullptr);
      CHECK(error->m_code == ResultCode::BackendAnswerInvalid);
      CHECK(party.Write() == StoreStatus::Unknown);
    }
  }
}

} // namespace
} // namespace briarglade::standin
