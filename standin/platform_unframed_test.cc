// Tests of answers with neither a length nor chunks, which end with their
// connection, through a whole entry node.

#include <doctest/doctest.h>
#include <string>

#include "standin/platform_world_test.h"
#include "standin/raw_server.h"

namespace briarglade::standin {
namespace {

using nlohmann::json;

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nAttempt-Id: probe\r\n"
                         "Response-Signature: sig\r\n\r\n";
constexpr char kFirstEvent[] = "id: 1\ndata: a\n\n";
constexpr char kSecondEvent[] = "id: 2\ndata: b\n\n";

json RouteOfKind(const char* aPrefix, const char* aKind)
{
  return { { "name", aKind },     { "host", "desk.example" },
           { "prefix", aPrefix }, { "service", "desk" },
           { "kind", aKind },     { "timeout_ms", 2'000 },
           { "attempts", 1 },     { "public", true } };
}

json Configuration()
{
  return { { "version", 1 },
           { "routes",
             { RouteOfKind("/stream/", "streaming"),
               RouteOfKind("/look/", "non_idempotent") } },
           { "services",
             { { { "name", "desk" },
                 { "health_path", "/health" },
                 { "max_connections", 100 } } } },
           { "limits",
             { { "header_bytes", 2'048 },
               { "body_bytes", 4'096 },
               { "header_timeout_ms", 150 },
               { "idle_timeout_ms", 1'000 } } } };
}

std::string Request(const std::string& aPath)
{
  return "POST " + aPath +
         "x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: probe\r\n"
         "Deadline-Remaining: 2000\r\nConnection: close\r\n"
         "Content-Length: 4\r\n\r\nbody";
}

// Returns what a caller gets for an answer of the server.
std::string AnswerThroughNode(const std::string& aPath,
                              const std::string& aBody,
                              RawEnd aEnd)
{
  NodeWorld world(Configuration());
  bool isWarm = false;
  RawServer server(world.Loop(), [&](const std::string&) {
    return isWarm ? RawAnswer{ kHead + aBody, aEnd }
                  : RawAnswer{ "HTTP/1.1 200 OK\r\nAttempt-Id: probe\r\n"
                               "Response-Signature: sig\r\n"
                               "Content-Length: 2\r\n\r\nok" };
  });
  world.AddServer("desk-1", "desk", server.Port());
  world.WaitFor(Request("/look/"), "200");
  isWarm = true;
  return world.Exchange(Request(aPath));
}

bool Has(const std::string& aAnswer, const std::string& aText)
{
  return aAnswer.find(aText) != std::string::npos;
}

// Returns whether an answer in chunks has its last one.
bool IsComplete(const std::string& aAnswer)
{
  constexpr char kLastChunk[] = "0\r\n\r\n";
  const size_t at = aAnswer.rfind(kLastChunk);
  return at != std::string::npos &&
         at + sizeof(kLastChunk) - 1 == aAnswer.size();
}

TEST_CASE("a stream without length or chunks that ends behind an event is "
          "complete")
{
  const std::string events = std::string(kFirstEvent) + kSecondEvent;
  const std::string answer =
    AnswerThroughNode("/stream/", events, RawEnd::Close);
  CAPTURE(answer);
  CHECK(Has(answer, " 200 "));
  CHECK(Has(answer, kFirstEvent));
  CHECK(Has(answer, kSecondEvent));
  CHECK(IsComplete(answer));
}

TEST_CASE("MIXED: a stream without length or chunks that ends before its first "
          "event is not passed on as complete")
{
  const std::string answer = AnswerThroughNode("/stream/", "", RawEnd::Close);
  CAPTURE(answer);
  CHECK_FALSE(Has(answer, " 200 "));
}

TEST_CASE("MIXED, ORDER: a stream that ends inside an event is cut for the "
          "caller behind its last whole event")
{
  for (const char* part : { "id: 2", "id: 2\ndata: b", "id: 2\ndata: b\n" }) {
    CAPTURE(part);
    const std::string answer = AnswerThroughNode(
      "/stream/", std::string(kFirstEvent) + part, RawEnd::Close);
    CAPTURE(answer);
    CHECK(Has(answer, kFirstEvent));
    CHECK_FALSE(Has(answer, "id: 2"));
    CHECK_FALSE(IsComplete(answer));
  }
}

TEST_CASE("MIXED: a stream without length or chunks that is reset behind an "
          "event is cut for the caller")
{
  const std::string answer =
    AnswerThroughNode("/stream/", kFirstEvent, RawEnd::Reset);
  CAPTURE(answer);
  CHECK_FALSE(IsComplete(answer));
}

TEST_CASE("MIXED: a plain answer without length or chunks is whole if its "
          "connection is closed, and not if it is reset")
{
  const std::string whole =
    AnswerThroughNode("/look/", "booked", RawEnd::Close);
  CAPTURE(whole);
  CHECK(Has(whole, " 200 "));
  CHECK(Has(whole, "booked"));
  const std::string broken =
    AnswerThroughNode("/look/", "booked", RawEnd::Reset);
  CAPTURE(broken);
  CHECK_FALSE(Has(broken, " 200 "));
  CHECK_FALSE(Has(broken, "booked"));
}

} // namespace
} // namespace briarglade::standin
