// Tests of answers that a faulty server writes once more on a kept connection,
// whole or cut off, through a whole entry node: none of them may count for a
// later request.

#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "standin/control_calls_test.h"
#include "standin/platform_world_test.h"
#include "standin/raw_server.h"

namespace briarglade::standin {
namespace {

using nlohmann::json;

constexpr char kOnce[] = "non_idempotent";
constexpr char kRepeatable[] = "idempotent";
constexpr int kServers = 2;
// More than there are servers, so that some would come on a kept connection.
constexpr int kProbes = 4;

json Configuration(const char* aKind)
{
  return { { "version", 1 },
           { "routes",
             { { { "name", "book" },
                 { "host", "desk.example" },
                 { "prefix", "/book/" },
                 { "service", "desk" },
                 { "kind", aKind },
                 { "timeout_ms", 1'000 },
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

std::string Booking(const std::string& aAttempt)
{
  return "POST /book/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " +
         aAttempt +
         "\r\nDeadline-Remaining: 2000\r\nConnection: close\r\n"
         "Content-Length: 4\r\n\r\nbody";
}

std::string AttemptOf(const std::string& aRequest)
{
  constexpr char kMark[] = "Attempt-Id: ";
  const size_t begin = aRequest.find(kMark) + sizeof(kMark) - 1;
  return aRequest.substr(begin, aRequest.find("\r\n", begin) - begin);
}

// Returns a server's own answer: its status line, and a body of six bytes.
std::string Answered(const std::string& aRequest,
                     const std::string& aStatus,
                     const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\nAttempt-Id: " + AttemptOf(aRequest) +
         "\r\nResponse-Signature: sig\r\nContent-Length: 6\r\n\r\n" + aBody;
}

std::string Served(const std::string& aRequest)
{
  return Answered(aRequest, "200 OK", "booked");
}

bool Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// Returns whether an answer promises that its request has not run.
bool PromisesNotRun(const std::string& aAnswer)
{
  return Has(aAnswer, " 408 ") || Has(aAnswer, " 421 ") ||
         Has(aAnswer, " 429 ") || Has(aAnswer, " 503 ");
}

// A node before servers that answer the first request on a new connection well.
// Each later one on the same connection meets a script.
class StrayWorld
{
public:
  using Script = std::function<RawAnswer(const std::string& aRequest)>;

  StrayWorld(const char* aKind, Script aScript)
    : m_world(Configuration(aKind))
    , m_script(std::move(aScript))
    , m_connections(kServers)
  {
    for (int i = 0; i < kServers; ++i) {
      m_servers.push_back(std::make_unique<RawServer>(
        m_world.Loop(),
        [this, i](const std::string& aRequest) { return Play(i, aRequest); }));
      m_world.AddServer(
        "desk-" + std::to_string(i), "desk", m_servers.back()->Port());
    }
    m_world.WaitFor(Booking("warm-up"), "200");
  }

  std::string Send(const std::string& aAttempt)
  {
    return m_world.Exchange(Booking(aAttempt));
  }
  // How often a server ran a request.
  int Runs(const std::string& aAttempt) const
  {
    const auto found = m_runs.find(aAttempt);
    return found == m_runs.end() ? 0 : found->second;
  }
  // How many requests came on a connection that had carried another one.
  int OnKeptConnections() const { return m_onKept; }

private:
  RawAnswer Play(int aServer, const std::string& aRequest)
  {
    const int connections =
      m_servers[static_cast<size_t>(aServer)]->AcceptedCount();
    const bool isNew =
      std::exchange(m_connections[static_cast<size_t>(aServer)], connections) !=
      connections;
    ++m_runs[AttemptOf(aRequest)];
    if (isNew) {
      return RawAnswer{ Served(aRequest) };
    }
    ++m_onKept;
    return m_script(aRequest);
  }

  NodeWorld m_world;
  Script m_script;
  std::vector<std::unique_ptr<RawServer>> m_servers;
  // The connections that each server had at its last request.
  std::vector<int> m_connections;
  std::map<std::string, int> m_runs;
  int m_onKept = 0;
};

// The refusals of an earlier request, each as it may be written once more.
std::vector<std::string> Refusals(const std::string& aName)
{
  return { "HTTP/1.1 503 Service Unavailable\r\n" + aName +
             "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
           "HTTP/1.1 429 Too Many Requests\r\n" + aName +
             "Not-Executed: 1\r\nRetry-After: 0.1\r\n"
             "Content-Length: 4\r\n\r\nfull",
           "HTTP/1.1 421 Misdirected Request\r\n" + aName +
             "Instance: i-7\r\nContent-Length: 0\r\n\r\n" };
}

// What comes before a refusal.
constexpr const char* kPrefixes[] = { "", "HTTP/1.1 103 Early Hints\r\n\r\n" };

// Sends requests of a kind in a row; where one comes on a kept connection, its
// server writes the stray bytes, and behind them the right answer, or closes.
// Those that may run once must. aMustServe: each ends with its own answer;
// otherwise with that or a failure.
void MeetStray(const char* aKind,
               const std::string& aStray,
               bool aIsAnswered,
               bool aMustServe)
{
  CAPTURE(aStray);
  CAPTURE(aIsAnswered);
  StrayWorld world(aKind, [&](const std::string& aRequest) {
    return aIsAnswered ? RawAnswer{ aStray + Served(aRequest), RawEnd::Keep }
                       : RawAnswer{ aStray, RawEnd::Close };
  });
  for (int i = 0; i < kProbes; ++i) {
    const std::string attempt = "probe-" + std::to_string(i);
    const std::string answer = world.Send(attempt);
    CAPTURE(answer);
    if (aKind == kOnce) {
      CHECK(world.Runs(attempt) == 1);
      CHECK_FALSE(PromisesNotRun(answer));
    }
    if (aMustServe || Has(answer, " 200 ")) {
      CHECK(Has(answer, " 200 "));
      CHECK(Has(answer, attempt));
      CHECK(Has(answer, "booked"));
    }
  }
  if (aKind == kOnce) {
    CHECK(world.OnKeptConnections() == 0);
  } else {
    CHECK(world.OnKeptConnections() > 0);
  }
}

void MeetRefusals(const char* aKind, const std::string& aName, bool aIsAnswered)
{
  for (const std::string& refusal : Refusals(aName)) {
    for (const char* prefix : kPrefixes) {
      MeetStray(
        aKind, prefix + refusal, aIsAnswered, aIsAnswered && !aName.empty());
    }
  }
}

TEST_CASE("REFUSED, TWICE: another request's refusal on a kept connection "
          "isn't the next request's")
{
  for (const char* kind : { kOnce, kRepeatable }) {
    MeetRefusals(kind, "Attempt-Id: earlier\r\n", true);
    MeetRefusals(kind, "Attempt-Id: earlier\r\n", false);
  }
}

TEST_CASE("REFUSED, TWICE: a refusal that names no request counts for none on "
          "a kept connection")
{
  for (const char* kind : { kOnce, kRepeatable }) {
    MeetRefusals(kind, "", true);
    MeetRefusals(kind, "", false);
  }
}

// Cuts an answer off within each line of its head.
std::vector<std::string> CutHeads(const std::string& aAnswer)
{
  std::vector<std::string> cut;
  const size_t headEnd = aAnswer.find("\r\n\r\n");
  for (size_t end = aAnswer.find("\r\n"); end <= headEnd;
       end = aAnswer.find("\r\n", end + 1)) {
    cut.push_back(aAnswer.substr(0, end));
    cut.push_back(aAnswer.substr(0, end - 1));
  }
  return cut;
}

TEST_CASE("REFUSED, TWICE: a refusal that is cut off and written before the "
          "next answer isn't the next request's")
{
  for (const char* name : { "Attempt-Id: earlier\r\n", "" }) {
    for (const std::string& refusal : Refusals(name)) {
      for (const std::string& cut : CutHeads(refusal)) {
        MeetStray(kOnce, cut, true, false);
      }
    }
  }
}

TEST_CASE(
  "REFUSED, TWICE: a second refusal of a request's first send isn't the "
  "answer to its next send to the same server")
{
  NodeWorld world(Configuration(kOnce));
  const std::string refusal = Refusals("Attempt-Id: probe\r\n").front();
  bool isRefused = false;
  int runs = 0;
  int accepted = 0;
  const auto play = [&](const std::string& aRequest, int aAccepted) {
    const bool isNew = std::exchange(accepted, aAccepted) != aAccepted;
    if (!Has(aRequest, "probe")) {
      return RawAnswer{ Served(aRequest) };
    }
    if (!std::exchange(isRefused, true)) {
      return RawAnswer{ refusal };
    }
    ++runs;
    return RawAnswer{ (isNew ? "" : refusal) + Served(aRequest) };
  };
  RawServer server(world.Loop(), [&](const std::string& aRequest) {
    return play(aRequest, server.AcceptedCount());
  });
  // Its runs under three ids: an entry that is listed anew counts as another.
  for (const char* id : { "desk-1", "desk-2", "desk-3" }) {
    world.AddServer(id, "desk", server.Port());
  }
  world.WaitFor(Booking("warm-up"), "200");
  const std::string answer = world.Exchange(Booking("probe"));
  CAPTURE(answer);
  CHECK(runs == 1);
  CHECK(Has(answer, " 200 "));
  CHECK(Has(answer, "booked"));
}

TEST_CASE("MIXED: a success that is cut off and written before a failure "
          "doesn't make a success of it")
{
  const std::string success =
    "HTTP/1.1 200 OK\r\nResponse-Signature: earlier\r\nServer-Load: 6,2,6\r\n"
    "Content-Length: 6\r\n\r\nbooked";
  for (const std::string& cut : CutHeads(success)) {
    for (const char* kind : { kOnce, kRepeatable }) {
      CAPTURE(cut);
      StrayWorld world(kind, [&](const std::string& aRequest) {
        return RawAnswer{
          cut + Answered(aRequest, "500 Internal Server Error", "failed"),
          RawEnd::Keep
        };
      });
      for (int i = 0; i < kProbes; ++i) {
        const std::string answer = world.Send("probe-" + std::to_string(i));
        CAPTURE(answer);
        CHECK_FALSE((Has(answer, " 200 ") && Has(answer, "failed")));
      }
    }
  }
}

// A server and a client whose connection to it has carried a request. Behind
// the answer to that, the server writes stray bytes before each next answer.
class ControlWorld
{
public:
  ControlWorld(std::string aStray, std::string aAnswer)
    : m_stray(std::move(aStray))
    , m_answer(std::move(aAnswer))
    , m_server(m_loop, [this](const std::string&) { return Play(); })
  {
    HttpCallSpec spec;
    spec.m_endpoint = Address();
    spec.m_body = "body";
    spec.m_onEnd = [this](const HttpCallEnd&) { m_loop.Stop(); };
    m_client.Start(std::move(spec));
    m_loop.Run();
  }

  Endpoint Address() const { return Endpoint{ "127.0.0.1", m_server.Port() }; }

  OrderStatus Order() { return OrderAt(m_loop, m_client, Address(), kTimeout); }

  Result<ServerRecord> Probe()
  {
    return ProbeAt(m_loop, m_client, Address(), kTimeout);
  }

private:
  static constexpr Millis kTimeout = Millis(500);

  RawAnswer Play()
  {
    const bool isNew =
      std::exchange(m_accepted, m_server.AcceptedCount()) != m_accepted;
    if (m_isWarm) {
      return RawAnswer{ (isNew ? "" : m_stray) + m_answer };
    }
    m_isWarm = true;
    return RawAnswer{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" };
  }

  EventLoop m_loop;
  HttpClient m_client{ m_loop, HttpClientLimits() };
  std::string m_stray;
  std::string m_answer;
  bool m_isWarm = false;
  int m_accepted = 0;
  RawServer m_server;
};

TEST_CASE(
  "a second answer to a request isn't the answer to an order or a probe")
{
  const std::string strays[] = {
    "HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: earlier\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
  };
  for (const std::string& stray : strays) {
    CAPTURE(stray);
    ControlWorld orders(stray,
                        "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
    CHECK(orders.Order() == OrderStatus::Conflict);
    ControlWorld probes(stray,
                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    const Result<ServerRecord> probed = probes.Probe();
    const Error* error = GetError(probed);
    // A server is gone only by its own word.
    const bool isGone =
      error != nullptr && error->m_code == ResultCode::BackendFailed;
    CHECK_FALSE(isGone);
  }
}

} // namespace
} // namespace briarglade::standin
