// Callers of the users' platform: they ask the directory for addresses, send
// calls and streams there, check every answer against its request, and come
// back as they are told.
//
// Example:
//   PlatformCallers callers(loop, options);
//   callers.Begin();
//   loop.Run();
//   std::puts(callers.Report().dump().c_str());

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/millis.h"
#include "briarglade/net/http_client.h"
#include "standin/delayed_calls.h"

namespace briarglade {
class EventLoop;
}

namespace briarglade::standin {

struct PlatformCallersOptions
{
  std::vector<Endpoint> m_directories;
  // Callers of each kind that work at once.
  uint32_t m_streams = 8;
  uint32_t m_calls = 4;
  std::string m_key;
  std::vector<std::string> m_models;
  uint64_t m_events = 20;
  // No request begins after this time.
  Millis m_duration = Millis(2'000);
  Millis m_patience = Millis(4'000);
};

class PlatformCallers
{
public:
  PlatformCallers(EventLoop& aLoop, PlatformCallersOptions aOptions);
  ~PlatformCallers();
  PlatformCallers(const PlatformCallers&) = delete;
  PlatformCallers& operator=(const PlatformCallers&) = delete;

  // Starts every caller; the loop is stopped when the last one has finished.
  void Begin();
  // Returns the counts, and the attempts of calls that were refused as not run.
  nlohmann::json Report() const;

private:
  struct Request;

  void AskDirectory(std::function<void()> aThen);
  void StartNext(bool aIsStream);
  void Send(const std::shared_ptr<Request>& aRequest);
  HttpCallSpec MakeSpec(const std::shared_ptr<Request>& aRequest);
  void OnEnd(const std::shared_ptr<Request>& aRequest, const HttpCallEnd& aEnd);
  void Retry(const std::shared_ptr<Request>& aRequest, Millis aPause);
  void Finish(const std::shared_ptr<Request>& aRequest);
  bool IsTimeOver() const;

  EventLoop& m_loop;
  PlatformCallersOptions m_options;
  HttpClient m_client;
  DelayedCalls m_later;
  std::vector<Endpoint> m_addresses;
  Millis m_addressesUntil;
  size_t m_nextDirectory = 0;
  size_t m_nextAddress = 0;
  Millis m_startedAt;
  uint64_t m_started = 0;
  uint32_t m_running = 0;

  uint64_t m_doneStreams = 0;
  uint64_t m_doneCalls = 0;
  uint64_t m_resumed = 0;
  uint64_t m_unserved = 0;
  uint64_t m_wrong = 0;
  std::map<uint16_t, uint64_t> m_statuses;
  std::set<std::string> m_refusedAttempts;
  std::vector<int64_t> m_doneMillis;
};

} // namespace briarglade::standin
