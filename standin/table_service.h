// A stand-in for the platform's transactional table service and object store,
// in memory, with the faults that the platform is known for.
//
//   GET/PUT/DELETE /v1/rows/KEY           see
//   briarglade/storage/table_client.h GET            /v1/rows?prefix=&since=
//   GET/PUT        /v1/objects/NAME

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "briarglade/base/millis.h"
#include "briarglade/net/http_server.h"

namespace briarglade {
class EventLoop;
class HttpExchange;
class Timer;
}

namespace briarglade::standin {

struct TableServiceFaults
{
  // Refuses connections.
  bool m_down = false;
  // Added to each answer.
  Millis m_delay;
  // Carries out so many further writes and cuts the connection in place of the
  // answer.
  uint32_t m_loseWriteAnswers = 0;
};

class TableServiceStandin
{
public:
  TableServiceStandin(EventLoop& aLoop, uint16_t aPort);
  ~TableServiceStandin();
  TableServiceStandin(const TableServiceStandin&) = delete;
  TableServiceStandin& operator=(const TableServiceStandin&) = delete;

  uint16_t Port() const { return m_port; }
  void SetFaults(const TableServiceFaults& aFaults);
  // Remembers every row, or goes back to what was remembered last.
  void Save() { m_saved = m_rows; }
  void Restore() { m_rows = m_saved; }
  uint64_t ReadCount() const { return m_reads; }
  uint64_t WriteCount() const { return m_writes; }

private:
  struct Row
  {
    uint64_t m_version = 0;
    uint64_t m_change = 0;
    std::string m_operation;
    std::string m_value;
    bool m_deleted = false;
  };
  struct Answer;

  void Handle(const std::shared_ptr<HttpExchange>& aExchange);
  Answer Serve(HttpExchange& aExchange);
  Answer ServeRow(HttpExchange& aExchange, const std::string& aKey);
  Answer ServeListing(HttpExchange& aExchange);
  Answer ServeObject(HttpExchange& aExchange, const std::string& aName);
  Answer WriteRow(HttpExchange& aExchange, const std::string& aKey);

  EventLoop& m_loop;
  std::unique_ptr<HttpServer> m_server;
  uint16_t m_port = 0;
  TableServiceFaults m_faults;
  std::map<std::string, Row> m_rows;
  std::map<std::string, Row> m_saved;
  std::map<std::string, std::string> m_objects;
  uint64_t m_change = 0;
  uint64_t m_reads = 0;
  uint64_t m_writes = 0;
};

} // namespace briarglade::standin
