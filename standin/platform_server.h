// A stand-in for one backend server of the users' platform, on a host of its
// own: a plain service, or a model server that belongs to groups. It registers
// itself in the store and tells it what has changed, with a lag.
//
//   GET  /health        load, and the server's id
//   GET  /-/report      the group's state
//   POST /-/order       an order to a model server
//   POST any other path runs: a model server streams events made from the
//                       body's text, a plain service echoes the body
//
// Answers echo the attempt id and bear a signature.

#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "briarglade/base/millis.h"
#include "briarglade/net/http_headers.h"
#include "standin/delayed_calls.h"
#include "standin/platform_member.h"

namespace briarglade {
class EventLoop;
class HttpExchange;
class HttpServer;
class Timer;
}

namespace briarglade::standin {

class GroupAudit;
class PlatformStore;

struct PlatformServerOptions
{
  std::string m_host;
  std::string m_service;
  std::string m_zone;
  uint32_t m_slots = 8;
  Millis m_heartbeat = Millis(300);
  // How long a change takes to reach the store.
  Millis m_reportLag = Millis(50);
  // The time of a call, and that between two events of a stream.
  Millis m_runTime = Millis(5);
  Millis m_stepTime = Millis(10);
  // A group that stands still is broken after this long.
  Millis m_stallTime = Millis(3'000);
  // What a model server is; none: a plain service.
  std::optional<PlatformMemberOptions> m_member;
};

// How a server goes down and starts again.
struct PlatformServerCrash
{
  // A negative time: it never starts again.
  Millis m_downTime;
  // It starts again under its id, or else under this one; empty: the next one
  // of its host.
  bool m_keepsId = false;
  std::string m_nextId = {};
  // When the store removes its entry, if that is not three heartbeats later:
  // the last heartbeat may have been up to one before the crash.
  std::optional<Millis> m_lapse = {};
};

// Faults that an administrator can switch on; all off at first.
struct PlatformServerFaults
{
  // Fails every request after it has run.
  bool m_fails = false;
  // Runs a call, then cuts the connection in place of the answer.
  bool m_cutAfterRun = false;
  // Cuts each stream after so many events; zero: never.
  uint32_t m_cutAfterEvents = 0;
  // Not zero: turns every request away and asks for a pause of this time.
  Millis m_pause;
  // Says in every answer that it is leaving, whatever the store shows.
  bool m_saysLeaving = false;
  // Answers with another attempt's id.
  bool m_wrongAttempt = false;
  // Added to the time of each run.
  Millis m_delay;
  // Not zero: orders are carried out after this time and aren't answered.
  Millis m_orderLag;
  // Doesn't write its entry: the store keeps what it holds.
  bool m_keepsEntry = false;
  // Not zero: a report is answered after this time, as it was when asked for.
  Millis m_reportDelay;
};

class PlatformServer
{
public:
  // The store and the audit must live longer.
  PlatformServer(EventLoop& aLoop,
                 PlatformStore& aStore,
                 GroupAudit& aAudit,
                 PlatformServerOptions aOptions);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  const std::string& Host() const { return m_options.m_host; }
  uint16_t Port() const { return m_port; }
  bool IsUp() const { return m_isUp; }
  void SetFaults(const PlatformServerFaults& aFaults) { m_faults = aFaults; }
  // Drops everything at once, without a word.
  void Crash(const PlatformServerCrash& aCrash);
  // Announces that the server will leave.
  void Drain();
  // Leaves without a word: the entry is removed, and the server serves on.
  void Unlist();

  // Runs so far of each call, by attempt id. Streams aren't counted.
  const std::map<std::string, uint32_t>& Runs() const { return m_runs; }
  uint64_t ServedCount() const { return m_served; }
  // Returns how long after the store knew that this run of the server leaves
  // its calls came, by attempt id.
  const std::map<std::string, Millis>& LateCalls() const { return m_lateCalls; }
  // Returns the group that the server is in; empty: none.
  std::string Group() const { return m_member ? m_member->Group() : ""; }
  bool IsHead() const { return m_member && m_member->IsHead(); }

private:
  using Exchange = std::shared_ptr<HttpExchange>;
  struct Stream
  {
    Exchange m_exchange;
    std::string m_text;
    uint64_t m_last = 0;
    uint64_t m_first = 0;
    uint64_t m_total = 0;
    bool m_hasBegun = false;
    bool m_isGone = false;
  };

  void Start();
  void Stop();
  void Register();
  void TellStore();
  void Handle(const Exchange& aExchange);
  void HandleOrder(const Exchange& aExchange);
  void HandleReport(const Exchange& aExchange);
  void HandleHealth(const Exchange& aExchange);
  void HandleCall(const Exchange& aExchange);
  void HandleStream(const Exchange& aExchange);
  bool RefusesRequest(const Exchange& aExchange);
  void Refuse(const Exchange& aExchange, uint16_t aStatus);
  uint16_t CarryOut(const nlohmann::json& aOrder);
  void Step();
  void StepStreams();
  bool Advance(Stream& aStream);
  void FailStreams();
  HttpHeaders OwnHeaders(const Exchange& aExchange) const;
  std::string SignedBy() const;
  std::string AnsweredAttempt(const Exchange& aExchange) const;

  EventLoop& m_loop;
  PlatformStore& m_store;
  GroupAudit& m_audit;
  PlatformServerOptions m_options;
  PlatformServerFaults m_faults;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<Timer> m_stepTimer;
  std::unique_ptr<Timer> m_heartbeatTimer;
  std::unique_ptr<Timer> m_restartTimer;
  DelayedCalls m_later;
  DelayedCalls m_calls;
  uint16_t m_port = 0;
  bool m_isUp = false;
  bool m_isDraining = false;
  bool m_isUnlisted = false;
  // When the store has learned that the server leaves.
  std::optional<Millis> m_leftAt;
  std::map<std::string, Millis> m_lateCalls;

  std::string m_id;
  // The id of the next start, if one was given.
  std::string m_nextId;
  uint32_t m_starts = 0;
  int64_t m_startedAt = 0;
  std::optional<PlatformMember> m_member;
  // Since when the group has stood still.
  std::optional<Millis> m_stalledSince;
  std::list<Stream> m_streams;
  std::map<std::string, uint32_t> m_runs;
  uint64_t m_served = 0;
};

} // namespace briarglade::standin
