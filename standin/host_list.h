// A stand-in for the platform's list of hosts, which lags behind the truth.
//
//   GET /v1/hosts    {"hosts":[{"id","zone","domain","leaving"}]} with an ETag;
//                    304 to If-None-Match with the same tag

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "briarglade/base/millis.h"
#include "briarglade/net/http_server.h"

namespace briarglade {
class EventLoop;
class Timer;
}

namespace briarglade::standin {

class HostListStandin
{
public:
  // Changes become visible after the lag.
  HostListStandin(EventLoop& aLoop, uint16_t aPort, Millis aLag);
  ~HostListStandin();
  HostListStandin(const HostListStandin&) = delete;
  HostListStandin& operator=(const HostListStandin&) = delete;

  uint16_t Port() const { return m_port; }
  // Sets the whole list, as the JSON text that GET will answer with.
  void SetList(const std::string& aJson);
  // Answers so far that said that nothing has changed.
  uint64_t UnchangedCount() const { return m_unchanged; }

private:
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<Timer> m_lagTimer;
  uint16_t m_port = 0;
  uint64_t m_unchanged = 0;
  Millis m_lag;
  std::string m_next = "{\"hosts\":[]}";
  std::string m_visible = m_next;
};

} // namespace briarglade::standin
