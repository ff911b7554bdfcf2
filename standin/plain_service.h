// A stand-in for a plain service: runs operations and counts the runs of each
// Idempotency-Key, so that a second run can't go unseen.
//
//   POST /OPERATION          runs; answers with the operation, key and run
//   number GET  /v1/engine/state    boot, load and uptime, in the engines'
//   format

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "briarglade/base/millis.h"
#include "briarglade/net/http_server.h"
#include "standin/delayed_calls.h"

namespace briarglade {
class EventLoop;
class HttpExchange;
}

namespace briarglade::standin {

struct PlainServiceOptions
{
  std::string m_host;
  std::string m_ip = "127.0.0.1";
  uint16_t m_port = 0;
  Millis m_runTime = Millis(5);
};

struct PlainServiceFaults
{
  // Runs the operation, then cuts the connection in place of the answer.
  bool m_cutAfterRun = false;
  bool m_refuse = false;
  // Added to the time of each run.
  Millis m_delay;
};

class PlainService
{
public:
  PlainService(EventLoop& aLoop, PlainServiceOptions aOptions);
  ~PlainService();
  PlainService(const PlainService&) = delete;
  PlainService& operator=(const PlainService&) = delete;

  uint16_t Port() const { return m_port; }
  const std::string& Host() const { return m_options.m_host; }
  void SetFaults(const PlainServiceFaults& aFaults) { m_faults = aFaults; }
  // Runs so far, by key.
  const std::map<std::string, uint32_t>& Runs() const { return m_runs; }

private:
  void Handle(const std::shared_ptr<HttpExchange>& aExchange);
  void HandleState(const std::shared_ptr<HttpExchange>& aExchange);
  void Finish(const std::shared_ptr<HttpExchange>& aExchange);

  PlainServiceOptions m_options;
  PlainServiceFaults m_faults;
  std::unique_ptr<HttpServer> m_server;
  std::map<std::string, uint32_t> m_runs;
  DelayedCalls m_later;
  uint16_t m_port = 0;
  std::string m_boot;
  Millis m_startedAt;
};

} // namespace briarglade::standin
