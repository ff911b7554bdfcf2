// Tests of streams that begin at one server, break off and are continued by
// another one, through a whole entry node with two servers.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <doctest/doctest.h>
#include <string>
#include <vector>

#include "standin/platform_world_test.h"
#include "standin/raw_server.h"

namespace briarglade::standin {
namespace {

using nlohmann::json;

constexpr char kOwnHeaders[] = "Attempt-Id: probe\r\n"
                               "Response-Signature: sig\r\n";

json Route(const char* aPrefix, const char* aKind, bool aIsResumable)
{
  return { { "name", aPrefix },     { "host", "desk.example" },
           { "prefix", aPrefix },   { "service", "desk" },
           { "kind", aKind },       { "resumable", aIsResumable },
           { "timeout_ms", 2'000 }, { "attempts", 2 },
           { "public", true } };
}

json Configuration()
{
  return { { "version", 1 },
           { "routes",
             { Route("/stream/", "streaming", true),
               Route("/look/", "idempotent", false) } },
           { "services",
             { { { "name", "desk" },
                 { "health_path", "/health" },
                 { "max_connections", 100 } } } } };
}

std::string Request(const std::string& aPath, const std::string& aHeaders = {})
{
  return "POST " + aPath +
         "x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: probe\r\n" +
         aHeaders +
         "Deadline-Remaining: 2000\r\nConnection: close\r\n"
         "Content-Length: 4\r\n\r\nbody";
}

std::string Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: part " + std::to_string(aId) +
         "\n\n";
}

std::string Chunk(const std::string& aData)
{
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", aData.size());
  return size + aData + "\r\n";
}

constexpr char kLastChunk[] = "0\r\n\r\n";

std::string StreamHead(const std::string& aType = "text/event-stream")
{
  return std::string("HTTP/1.1 200 OK\r\n") + kOwnHeaders +
         "Content-Type: " + aType + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string WholeStream(const std::string& aEvents)
{
  return StreamHead() + Chunk(aEvents) + kLastChunk;
}

// The events 1 and 2, behind which the connection is closed.
RawAnswer BrokenStream()
{
  return RawAnswer{ StreamHead() + Chunk(Event(1) + Event(2)), RawEnd::Close };
}

std::string Status(const std::string& aStatus,
                   const std::string& aHeaders,
                   const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

struct Outcome
{
  // What the caller received.
  std::string m_answer;
  // The requests for it that reached servers.
  std::vector<std::string> m_requests;
};

// Lets a caller's stream meet the answers, one for each send; the last one
// answers all further sends.
Outcome Play(const std::vector<RawAnswer>& aAnswers,
             const std::string& aCallerHeaders = {})
{
  NodeWorld world(Configuration());
  Outcome outcome;
  const auto script = [&](const std::string& aRequest) {
    if (aRequest.find("/stream/") == std::string::npos) {
      return RawAnswer{ Status("200 OK", kOwnHeaders, "ok") };
    }
    outcome.m_requests.push_back(aRequest);
    const size_t send = std::min(outcome.m_requests.size(), aAnswers.size());
    return aAnswers[send - 1];
  };
  RawServer first(world.Loop(), script);
  RawServer second(world.Loop(), script);
  world.AddServer("desk-1", "desk", first.Port());
  world.AddServer("desk-2", "desk", second.Port());
  world.WaitFor(Request("/look/"), "200");
  outcome.m_answer = world.Exchange(Request("/stream/", aCallerHeaders));
  return outcome;
}

bool Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

bool IsComplete(const std::string& aAnswer)
{
  return Has(aAnswer, std::string("\r\n") + kLastChunk);
}

// Returns the body without the framing of its chunks.
std::string BodyOf(const std::string& aAnswer)
{
  std::string text;
  size_t at = aAnswer.find("\r\n\r\n");
  at = at == std::string::npos ? aAnswer.size() : at + 4;
  while (at < aAnswer.size()) {
    const size_t line = aAnswer.find("\r\n", at);
    const size_t size = std::strtoul(aAnswer.c_str() + at, nullptr, 16);
    if (line == std::string::npos || size == 0) {
      break;
    }
    text += aAnswer.substr(line + 2, size);
    at = line + 2 + size + 2;
  }
  return text;
}

// Checks that a stream that broke off after the events 1 and 2 ends there for
// the caller, and that it doesn't look complete, if the next server answers so.
void CheckCutBehindTwo(const RawAnswer& aNext)
{
  CAPTURE(aNext.m_bytes);
  const Outcome outcome = Play({ BrokenStream(), aNext });
  CAPTURE(outcome.m_answer);
  CHECK(outcome.m_requests.size() >= 2);
  CHECK(BodyOf(outcome.m_answer) == Event(1) + Event(2));
  CHECK_FALSE(IsComplete(outcome.m_answer));
}

TEST_CASE("a stream that broke off goes on behind its last event")
{
  const Outcome outcome =
    Play({ BrokenStream(), { WholeStream(Event(3) + Event(4)) } });
  CAPTURE(outcome.m_answer);
  REQUIRE(outcome.m_requests.size() == 2);
  CHECK(Has(outcome.m_requests[1], "\r\nLast-Event-Id: 2\r\n"));
  CHECK(BodyOf(outcome.m_answer) == Event(1) + Event(2) + Event(3) + Event(4));
  CHECK(IsComplete(outcome.m_answer));
}

TEST_CASE("MIXED, ORDER: an error answer of the next server doesn't get into a "
          "stream that has begun")
{
  const std::string unsignedOwn = "Attempt-Id: probe\r\n";
  const std::string eventType = "Content-Type: text/event-stream\r\n";
  for (const char* status : { "400 Bad Request",
                              "404 Not Found",
                              "421 Misdirected Request",
                              "429 Too Many Requests",
                              "500 Error",
                              "503 Service Unavailable" }) {
    for (const std::string& headers : { std::string(kOwnHeaders),
                                        kOwnHeaders + eventType,
                                        unsignedOwn,
                                        unsignedOwn + "Not-Executed: 1\r\n" }) {
      for (const char* body : { "", "error\n\n", "id: 3\ndata: error\n\n" }) {
        CheckCutBehindTwo({ Status(status, headers, body) });
      }
    }
  }
}

TEST_CASE(
  "MIXED, ORDER: a next server that closes within its head, sends other "
  "events or ends within one leaves the stream cut")
{
  CheckCutBehindTwo({ "HTTP/1.1 200 OK\r\nAttempt-Id", RawEnd::Close });
  CheckCutBehindTwo({ "", RawEnd::Reset });
  CheckCutBehindTwo({ WholeStream(Event(1) + Event(2) + Event(3)) });
  CheckCutBehindTwo({ WholeStream("id: 3\ndata: a\n") });
  CheckCutBehindTwo({ Status("204 No Content", kOwnHeaders, "") });
}

TEST_CASE("MIXED, ORDER: text of a next server that answers 200 without events "
          "doesn't get into a stream that has begun")
{
  for (const char* text : { "{\"error\": \"busy\"}\n\n",
                            "data: again from the start\n\n",
                            "event: error\ndata: busy\n\n",
                            "id: none\ndata: again\n\n" }) {
    CheckCutBehindTwo({ WholeStream(text) });
  }
}

TEST_CASE("ORDER: a next server that closes before its first event doesn't "
          "complete the stream")
{
  CheckCutBehindTwo({ std::string("HTTP/1.1 200 OK\r\n") + kOwnHeaders + "\r\n",
                      RawEnd::Close });
}

TEST_CASE("ORDER: a stream without ids that broke off isn't begun again at "
          "another server")
{
  for (const std::string& text : { std::string("data: a\n\n"),
                                   Event(1) + "data: b\n\n",
                                   std::string("id: none\ndata: a\n\n") }) {
    CAPTURE(text);
    const Outcome outcome =
      Play({ { StreamHead() + Chunk(text), RawEnd::Close },
             { WholeStream(text + Event(3)) } });
    CAPTURE(outcome.m_answer);
    CHECK(outcome.m_requests.size() == 1);
    CHECK(BodyOf(outcome.m_answer) == text);
    CHECK_FALSE(IsComplete(outcome.m_answer));
  }
}

TEST_CASE("a caller's own resumption goes on behind the event that it names")
{
  const Outcome outcome =
    Play({ { WholeStream(Event(13)) } }, "Last-Event-Id: 12\r\n");
  CAPTURE(outcome.m_answer);
  REQUIRE(outcome.m_requests.size() == 1);
  CHECK(Has(outcome.m_requests[0], "\r\nLast-Event-Id: 12\r\n"));
  CHECK(BodyOf(outcome.m_answer) == Event(13));
  CHECK(IsComplete(outcome.m_answer));
}

std::string EventNamed(const std::string& aId)
{
  return "id: " + aId + "\ndata: part\n\n";
}

// Two events, behind which the connection is closed.
RawAnswer BrokenBehind(const std::string& aFirstId, const std::string& aId)
{
  return { StreamHead() + Chunk(EventNamed(aFirstId) + EventNamed(aId)),
           RawEnd::Close };
}

TEST_CASE(
  "ORDER: a caller's own resumption names its event as it came, whatever "
  "the ids are")
{
  struct Row
  {
    std::string m_last;
    std::string m_next;
  };
  const Row rows[] = {
    { "1790000000000000006", "1790000000000000007" },
    { "007", "008" },
    // Numbers of more than 64 bits, and the step to them.
    { "18446744073709551615", "18446744073709551616" },
    { "99999999999999999999", "100000000000000000000" },
    { std::string(300, '7'), std::string(299, '7') + "8" },
    // Ids that have no order, before and after ids that have one.
    { "part-9", "part-10" },
    { "7/b", "8" },
    { "12", "13-a" },
    { "-5", "-4" },
    { "+5", "+6" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.m_last);
    const std::string header = "Last-Event-Id: " + row.m_last + "\r\n";
    const std::string events = EventNamed(row.m_next);
    const Outcome outcome = Play({ { WholeStream(events) } }, header);
    CAPTURE(outcome.m_answer);
    REQUIRE(outcome.m_requests.size() == 1);
    CHECK(Has(outcome.m_requests[0], "\r\n" + header));
    CHECK(BodyOf(outcome.m_answer) == events);
    CHECK(IsComplete(outcome.m_answer));
  }
}

TEST_CASE("ORDER: a server that is tried next before any event is told the "
          "caller's own id as it came")
{
  const std::string header = "Last-Event-Id: part-9\r\n";
  const std::string events = EventNamed("part-10");
  const Outcome outcome =
    Play({ { "", RawEnd::Reset }, { WholeStream(events) } }, header);
  CAPTURE(outcome.m_answer);
  REQUIRE(outcome.m_requests.size() == 2);
  CHECK(Has(outcome.m_requests[1], "\r\n" + header));
  CHECK(BodyOf(outcome.m_answer) == events);
  CHECK(IsComplete(outcome.m_answer));
}

TEST_CASE(
  "ORDER: the node resumes a stream with the id as the server wrote it, "
  "in place of the caller's own")
{
  struct Row
  {
    std::string m_first;
    std::string m_last;
    std::string m_next;
  };
  const Row rows[] = {
    { "1790000000000000006", "1790000000000000007", "1790000000000000008" },
    { "18446744073709551613", "18446744073709551614", "18446744073709551615" },
    { "007", "008", "009" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.m_last);
    const Outcome outcome = Play({ BrokenBehind(row.m_first, row.m_last),
                                   { WholeStream(EventNamed(row.m_next)) } },
                                 "Last-Event-Id: part-9\r\n");
    CAPTURE(outcome.m_answer);
    REQUIRE(outcome.m_requests.size() == 2);
    CHECK(
      Has(outcome.m_requests[1], "\r\nLast-Event-Id: " + row.m_last + "\r\n"));
    CHECK_FALSE(Has(outcome.m_requests[1], "part-9"));
    CHECK(BodyOf(outcome.m_answer) == EventNamed(row.m_first) +
                                        EventNamed(row.m_last) +
                                        EventNamed(row.m_next));
    CHECK(IsComplete(outcome.m_answer));
  }
}

TEST_CASE("ORDER: the node doesn't resume a stream whose ids it can't compare")
{
  for (const char* id : { "18446744073709551616",
                          "100000000000000000000",
                          "000000000000000000002",
                          "part-2",
                          "-2",
                          "" }) {
    CAPTURE(std::string(id));
    const Outcome outcome =
      Play({ BrokenBehind("1", id), { WholeStream(Event(3)) } });
    CAPTURE(outcome.m_answer);
    CHECK(outcome.m_requests.size() == 1);
    CHECK(BodyOf(outcome.m_answer) == EventNamed("1") + EventNamed(id));
    CHECK_FALSE(IsComplete(outcome.m_answer));
  }
}

} // namespace
} // namespace briarglade::standin
