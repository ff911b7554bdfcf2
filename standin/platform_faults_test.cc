// One table over every step of an exchange with a backend server and every
// fault of it, for each kind of request, through a whole entry node. What must
// hold, whatever happens: nothing that must not be repeated is sent on after it
// may have run; a refusal that says "not run" is true; a success is one
// server's whole answer to this very request; events come in order, each once.

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "standin/platform_world_test.h"
#include "standin/raw_server.h"

namespace briarglade::standin {
namespace {

using nlohmann::json;

constexpr int kEvents = 4;

enum class Kind
{
  Booking,
  Lookup,
  Stream,
  ResumableStream
};
constexpr Kind kKinds[] = { Kind::Booking,
                            Kind::Lookup,
                            Kind::Stream,
                            Kind::ResumableStream };
constexpr const char* kKindNames[] = { "book", "look", "write", "resume" };

const char* NameOf(Kind aKind)
{
  return kKindNames[static_cast<size_t>(aKind)];
}
bool IsStream(Kind aKind)
{
  return aKind == Kind::Stream || aKind == Kind::ResumableStream;
}
bool MayRepeat(Kind aKind)
{
  return aKind == Kind::Lookup || aKind == Kind::ResumableStream;
}

json Configuration(Millis aTimeout)
{
  const char* wireKinds[] = {
    "non_idempotent", "idempotent", "streaming", "streaming"
  };
  json routes = json::array();
  for (const Kind kind : kKinds) {
    routes.push_back({ { "name", NameOf(kind) },
                       { "host", "desk.example" },
                       { "prefix", std::string("/") + NameOf(kind) + "/" },
                       { "service", "desk" },
                       { "kind", wireKinds[static_cast<size_t>(kind)] },
                       { "resumable", kind == Kind::ResumableStream },
                       { "timeout_ms", aTimeout.Count() },
                       { "attempts", 2 } });
  }
  return { { "version", 1 },
           { "routes", routes },
           { "services", { { { "name", "desk" } } } } };
}

// Returns the value of a header in the bytes of a request or an answer.
std::string HeaderOf(const std::string& aBytes, const std::string& aName)
{
  const std::string mark = "\r\n" + aName + ": ";
  const size_t at = aBytes.find(mark);
  if (at == std::string::npos) {
    return {};
  }
  const size_t begin = at + mark.size();
  return aBytes.substr(begin, aBytes.find("\r\n", begin) - begin);
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

// A server's good answer, in the pieces after which a fault may strike: a part
// of the head, the head, a part of the body, all but the end, the end.
std::vector<std::string> GoodAnswer(Kind aKind, const std::string& aRequest)
{
  std::string head =
    "HTTP/1.1 200 OK\r\nAttempt-Id: " + HeaderOf(aRequest, "Attempt-Id") +
    "\r\nResponse-Signature: sig\r\n";
  if (!IsStream(aKind)) {
    head += "Content-Length: 9\r\n\r\n";
    return { head.substr(0, 12), head.substr(12), "whole", " an", "s" };
  }
  head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
          "\r\n\r\n";
  const std::string last = HeaderOf(aRequest, "Last-Event-Id");
  const int from = last.empty() ? 1 : std::stoi(last) + 1;
  std::string begin;
  std::string rest;
  for (int id = from; id <= kEvents; ++id) {
    (id <= kEvents / 2 ? begin : rest) += Chunk(Event(id));
  }
  // The fault after the beginning strikes in the midst of an event.
  const size_t cut = std::min<size_t>(rest.size(), 8);
  return { head.substr(0, 12),
           head.substr(12),
           begin + rest.substr(0, cut),
           rest.substr(cut),
           "0\r\n\r\n" };
}

std::string Join(const std::vector<std::string>& aPieces, size_t aCount)
{
  std::string joined;
  for (size_t i = 0; i < aCount; ++i) {
    joined += aPieces[i];
  }
  return joined;
}

std::string WholeBody(Kind aKind)
{
  if (!IsStream(aKind)) {
    return "whole ans";
  }
  std::string body;
  for (int id = 1; id <= kEvents; ++id) {
    body += Chunk(Event(id));
  }
  return body;
}

// Strips the chunks of an answer's body; the end chunk becomes a mark.
std::string Unchunk(const std::string& aBody)
{
  std::string text;
  size_t at = 0;
  while (at < aBody.size()) {
    const size_t line = aBody.find("\r\n", at);
    const size_t size = std::strtoul(aBody.c_str() + at, nullptr, 16);
    if (line == std::string::npos) {
      break;
    }
    if (size == 0) {
      return text + "<end>";
    }
    text += aBody.substr(line + 2, size);
    at = line + 2 + size + 2;
  }
  return text;
}

// A fault of the first server that gets the request; the next one answers well.
struct Fault
{
  std::string m_name;
  // Makes the faulty answer to a request.
  std::function<RawAnswer(Kind, const std::string& aRequest)> m_answer;
  // The server says that it did not run the request.
  bool m_saysNotRun = false;
};

std::vector<Fault> MakeFaults()
{
  std::vector<Fault> faults;
  constexpr size_t kSteps = 5;
  const std::pair<const char*, RawEnd> ends[] = { { "closed", RawEnd::Close },
                                                  { "reset", RawEnd::Reset },
                                                  { "silent", RawEnd::Keep } };
  for (size_t step = 0; step < kSteps; ++step) {
    for (const auto& [name, end] : ends) {
      faults.push_back(
        { std::string(name) + " after step " + std::to_string(step),
          [step, end = end](Kind aKind, const std::string& aRequest) {
            return RawAnswer{ Join(GoodAnswer(aKind, aRequest), step), end };
          } });
    }
    // Within a body of a declared length nobody can tell.
    if (step > 1) {
      continue;
    }
    faults.push_back(
      { "garbled after step " + std::to_string(step),
        [step](Kind aKind, const std::string& aRequest) {
          return RawAnswer{ Join(GoodAnswer(aKind, aRequest), step) +
                              "\x01\x02 nothing of HTTP \r\n\r\n\xff",
                            RawEnd::Close };
        } });
  }
  const auto whole = [](Kind aKind, const std::string& aRequest) {
    return Join(GoodAnswer(aKind, aRequest), kSteps);
  };
  faults.push_back({ "bytes follow the whole answer",
                     [whole](Kind aKind, const std::string& aRequest) {
                       return RawAnswer{ whole(aKind, aRequest) +
                                           whole(aKind, aRequest),
                                         RawEnd::Close };
                     } });
  faults.push_back(
    { "a late answer to another request goes before",
      [whole](Kind aKind, const std::string& aRequest) {
        const std::string other =
          "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
          "Response-Signature: sig\r\nContent-Length: 5\r\n\r\n"
          "wrong";
        return RawAnswer{ other + whole(aKind, aRequest), RawEnd::Keep };
      } });
  faults.push_back({ "no signature", [](Kind, const std::string& aRequest) {
                      return RawAnswer{ "HTTP/1.1 200 OK\r\nAttempt-Id: " +
                                          HeaderOf(aRequest, "Attempt-Id") +
                                          "\r\nContent-Length: 5\r\n\r\nwrong",
                                        RawEnd::Keep };
                    } });
  faults.push_back(
    { "encoded by something in between", [](Kind, const std::string& aRequest) {
       return RawAnswer{ "HTTP/1.1 200 OK\r\nAttempt-Id: " +
                           HeaderOf(aRequest, "Attempt-Id") +
                           "\r\nResponse-Signature: sig\r\n"
                           "Content-Encoding: gzip\r\n"
                           "Content-Length: 5\r\n\r\nwrong",
                         RawEnd::Keep };
     } });
  for (const char* status : { "421 Misdirected Request",
                              "503 Service Unavailable",
                              "429 Too Many Requests" }) {
    faults.push_back(
      { std::string("not run: ") + status,
        [status](Kind, const std::string& aRequest) {
          return RawAnswer{
            std::string("HTTP/1.1 ") + status +
              "\r\nAttempt-Id: " + HeaderOf(aRequest, "Attempt-Id") +
              "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            RawEnd::Keep
          };
        },
        true });
  }
  for (const char* status : { "503 Service Unavailable", "500 Error" }) {
    faults.push_back({ std::string("failed: ") + status,
                       [status](Kind, const std::string& aRequest) {
                         return RawAnswer{ std::string("HTTP/1.1 ") + status +
                                             "\r\nAttempt-Id: " +
                                             HeaderOf(aRequest, "Attempt-Id") +
                                             "\r\nResponse-Signature: sig\r\n"
                                             "Content-Length: 4\r\n\r\nfail",
                                           RawEnd::Keep };
                       } });
  }
  return faults;
}

// A node before servers that play the same script: so many that some are in use
// while others are left out for a moment after a failure.
class FaultWorld
{
public:
  static constexpr size_t kServers = 30;

  // Callers wait for twice the routes' timeout.
  explicit FaultWorld(Millis aTimeout)
    : m_world(Configuration(aTimeout))
    , m_callerWait(aTimeout + aTimeout)
  {
    for (size_t i = 0; i < kServers; ++i) {
      m_servers.push_back(std::make_unique<RawServer>(
        m_world.Loop(),
        [this](const std::string& aRequest) { return Play(aRequest); }));
      m_world.AddServer(
        "desk-" + std::to_string(i), "desk", m_servers.back()->Port());
    }
    m_world.WaitFor(Request(Kind::Lookup, "warm-up"), "200");
  }

  // Sends one request whose first send meets the fault; returns the answer.
  std::string Meet(const Fault& aFault, Kind aKind)
  {
    m_fault = &aFault;
    m_kind = aKind;
    m_sends = 0;
    std::string answer = m_world.Exchange(
      Request(aKind, "attempt-" + std::to_string(++m_attempts)));
    m_fault = nullptr;
    return answer;
  }
  uint32_t Sends() const { return m_sends; }
  std::string Attempt() const
  {
    return "attempt-" + std::to_string(m_attempts);
  }

private:
  std::string Request(Kind aKind, const std::string& aAttempt) const
  {
    return std::string("POST /") + NameOf(aKind) +
           "/it HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + aAttempt +
           "\r\nDeadline-Remaining: " + std::to_string(m_callerWait.Count()) +
           "\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
  }

  RawAnswer Play(const std::string& aRequest)
  {
    const bool isTried =
      m_fault != nullptr && HeaderOf(aRequest, "Attempt-Id") == Attempt();
    if (!isTried) {
      return RawAnswer{ Join(GoodAnswer(Kind::Lookup, aRequest), 5) };
    }
    ++m_sends;
    return m_sends == 1 ? m_fault->m_answer(m_kind, aRequest)
                        : RawAnswer{ Join(GoodAnswer(m_kind, aRequest), 5) };
  }

  NodeWorld m_world;
  Millis m_callerWait;
  std::vector<std::unique_ptr<RawServer>> m_servers;
  const Fault* m_fault = nullptr;
  Kind m_kind = Kind::Booking;
  uint32_t m_sends = 0;
  uint32_t m_attempts = 0;
};

// Checks the caller's answer, whatever it is.
void Judge(const FaultWorld& aWorld,
           const Fault& aFault,
           Kind aKind,
           const std::string& aAnswer)
{
  const bool mayHaveRun = !aFault.m_saysNotRun;
  if (!MayRepeat(aKind) && mayHaveRun) {
    CHECK(aWorld.Sends() <= 1);
  }
  if (aAnswer.empty()) {
    return; // a closed connection promises nothing
  }
  const int status = std::stoi(aAnswer.substr(9, 3));
  const bool promisesNotRun =
    status == 408 || status == 421 || status == 429 || status == 503;
  if (promisesNotRun) {
    CHECK_FALSE(mayHaveRun);
    CHECK(aWorld.Sends() <= 1);
  }
  const size_t bodyAt = aAnswer.find("\r\n\r\n") + 4;
  const std::string body = aAnswer.substr(bodyAt);
  if (status != 200) {
    return;
  }
  CHECK(HeaderOf(aAnswer, "Attempt-Id") == aWorld.Attempt());
  CHECK(HeaderOf(aAnswer, "Response-Signature") == "sig");
  if (!IsStream(aKind)) {
    const bool looksWhole =
      body.size() == std::stoul(HeaderOf(aAnswer, "Content-Length"));
    CHECK((!looksWhole || body == WholeBody(aKind)));
    return;
  }
  const std::string expected = Unchunk(WholeBody(aKind) + "0\r\n\r\n");
  const std::string got = Unchunk(body);
  // A stream may break off between two events, but not look whole then.
  CHECK(expected.compare(0, got.size(), got) == 0);
}

// Lets each kind of request meet each fault and checks the answers. Returns how
// many were served whole.
uint32_t MeetAll(const std::vector<Fault>& aFaults, bool aAreSilent)
{
  // Only a server that stays silent has to be waited for.
  FaultWorld world(aAreSilent ? Millis(150) : Millis(10'000));
  uint32_t served = 0;
  for (const Fault& fault : aFaults) {
    for (const Kind kind : kKinds) {
      CAPTURE(fault.m_name);
      CAPTURE(NameOf(kind));
      const std::string answer = world.Meet(fault, kind);
      CAPTURE(answer);
      CAPTURE(world.Sends());
      Judge(world, fault, kind, answer);
      const bool isWhole =
        answer.find(" 200 ") != std::string::npos &&
        (!IsStream(kind) || answer.find("\r\n0\r\n\r\n") != std::string::npos);
      served += isWhole ? 1 : 0;
      if (MayRepeat(kind) && !aAreSilent &&
          fault.m_name.find("failed") == std::string::npos) {
        CHECK(isWhole);
      }
    }
  }
  return served;
}

TEST_CASE("whatever a server does at whatever step: no second run, no false "
          "refusal, no wrong or torn answer, no event twice")
{
  std::vector<Fault> faults = MakeFaults();
  const auto firstSilent = std::stable_partition(
    faults.begin(), faults.end(), [](const Fault& aFault) {
      return aFault.m_name.find("silent") == std::string::npos;
    });
  const std::vector<Fault> silent(firstSilent, faults.end());
  const size_t exchanges = faults.size() * std::size(kKinds);
  faults.erase(firstSilent, faults.end());
  const uint32_t served = MeetAll(faults, false) + MeetAll(silent, true);
  MESSAGE(exchanges << " exchanges, " << served << " served whole");
}

} // namespace
} // namespace briarglade::standin
