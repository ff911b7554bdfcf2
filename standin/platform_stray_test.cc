// Tests of refusals that a faulty server writes once more on a kept connection,
// through a whole entry node: none of them may count for a later request.

#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "standin/platform_world_test.h"
#include "standin/raw_server.h"

namespace briarglade::standin {
namespace {

using nlohmann::json;

constexpr char kProbe[] = "probe";
constexpr int kServers = 2;

json Configuration()
{
  return { { "version", 1 },
           { "routes",
             { { { "name", "book" },
                 { "host", "desk.example" },
                 { "prefix", "/book/" },
                 { "service", "desk" },
                 { "kind", "non_idempotent" },
                 { "timeout_ms", 2'000 },
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

std::string Served(const std::string& aRequest)
{
  constexpr char kMark[] = "Attempt-Id: ";
  const size_t begin = aRequest.find(kMark) + sizeof(kMark) - 1;
  const std::string attempt =
    aRequest.substr(begin, aRequest.find("\r\n", begin) - begin);
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
         "\r\nResponse-Signature: sig\r\nContent-Length: 6\r\n\r\nbooked";
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

// A node before servers that answer the first booking on a new connection well.
// The probe meets a script, once it comes on a kept connection.
class StrayWorld
{
public:
  using Script = std::function<RawAnswer(const std::string& aRequest)>;

  explicit StrayWorld(Script aScript)
    : m_world(Configuration())
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

  // Sends the probe until it comes on a kept connection; returns its answer.
  std::string Probe()
  {
    std::string answer;
    while (m_runs == 0) {
      answer = m_world.Exchange(Booking(kProbe));
    }
    return answer;
  }
  // How often the probe was sent, from the first time on a kept connection on.
  int Runs() const { return m_runs; }

private:
  RawAnswer Play(int aServer, const std::string& aRequest)
  {
    const int connections =
      m_servers[static_cast<size_t>(aServer)]->AcceptedCount();
    const bool isNew =
      std::exchange(m_connections[static_cast<size_t>(aServer)], connections) !=
      connections;
    const bool isProbe = Has(aRequest, kProbe);
    if (!isProbe || (isNew && m_runs == 0)) {
      return RawAnswer{ Served(aRequest) };
    }
    ++m_runs;
    return m_runs == 1 ? m_script(aRequest) : RawAnswer{ Served(aRequest) };
  }

  NodeWorld m_world;
  Script m_script;
  std::vector<std::unique_ptr<RawServer>> m_servers;
  // The connections that each server had at its last request.
  std::vector<int> m_connections;
  int m_runs = 0;
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

// Lets the probe meet each refusal under a name, while the server runs it.
void MeetRefusals(const std::string& aName, bool aIsAnswered)
{
  for (const std::string& refusal : Refusals(aName)) {
    for (const char* prefix : kPrefixes) {
      const std::string stray = prefix + refusal;
      CAPTURE(stray);
      StrayWorld world([&](const std::string& aRequest) {
        return aIsAnswered ? RawAnswer{ stray + Served(aRequest), RawEnd::Keep }
                           : RawAnswer{ stray, RawEnd::Close };
      });
      const std::string answer = world.Probe();
      CAPTURE(answer);
      CHECK(world.Runs() == 1);
      CHECK_FALSE(PromisesNotRun(answer));
      if (aIsAnswered && !aName.empty()) {
        CHECK(Has(answer, " 200 "));
        CHECK(Has(answer, "booked"));
      }
    }
  }
}

TEST_CASE("REFUSED, TWICE: another request's refusal on a kept connection "
          "isn't the next request's")
{
  MeetRefusals("Attempt-Id: earlier\r\n", true);
  MeetRefusals("Attempt-Id: earlier\r\n", false);
}

TEST_CASE("REFUSED, TWICE: a refusal that names no request counts for none on "
          "a kept connection")
{
  MeetRefusals("", true);
  MeetRefusals("", false);
}

} // namespace
} // namespace briarglade::standin
