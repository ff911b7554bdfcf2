// The stand-in table service.

#include "standin/table_service.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"

namespace briarglade::standin {

using nlohmann::json;

namespace {

constexpr char kRowsPath[] = "/v1/rows/";
constexpr char kObjectsPath[] = "/v1/objects/";

std::string QueryValue(const std::string& aQuery, const std::string& aName)
{
  const std::string padded = "&" + aQuery;
  const size_t found = padded.find("&" + aName + "=");
  if (found == std::string::npos) {
    return {};
  }
  const size_t begin = found + aName.size() + 2;
  const size_t end = padded.find('&', begin);
  return padded.substr(begin, end == std::string::npos ? end : end - begin);
}

bool StartsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

} // namespace

struct TableServiceStandin::Answer
{
  uint16_t m_status = 200;
  HttpHeaders m_headers;
  std::string m_body;
  // The connection is cut in place of the answer.
  bool m_lost = false;
};

TableServiceStandin::TableServiceStandin(EventLoop& aLoop, uint16_t aPort)
  : m_loop(aLoop)
{
  HttpServerLimits limits;
  limits.m_idleTime = Millis(600'000);
  limits.m_maxBodyBytes = 16 * 1024 * 1024;
  m_server = std::make_unique<HttpServer>(aLoop, limits);
  m_server->SetHandler([this](const std::shared_ptr<HttpExchange>& aExchange) {
    Handle(aExchange);
  });
  m_port = m_server->Listen(Endpoint{ "127.0.0.1", aPort });
}

TableServiceStandin::~TableServiceStandin() = default;

void TableServiceStandin::SetFaults(const TableServiceFaults& aFaults)
{
  const bool wasDown = m_faults.m_down;
  m_faults = aFaults;
  if (aFaults.m_down && !wasDown) {
    m_server->StopListening();
    m_server->CloseConnections();
  }
  if (!aFaults.m_down && wasDown) {
    m_server->Listen(Endpoint{ "127.0.0.1", m_port });
  }
}

void TableServiceStandin::Handle(const std::shared_ptr<HttpExchange>& aExchange)
{
  auto answer = std::make_shared<Answer>(Serve(*aExchange));
  auto send = [aExchange, answer] {
    if (answer->m_lost) {
      aExchange->Abort();
      return;
    }
    aExchange->Respond(answer->m_status, answer->m_headers, answer->m_body);
  };
  if (m_faults.m_delay == Millis()) {
    send();
    return;
  }
  auto holder = std::make_shared<std::shared_ptr<Timer>>();
  *holder = m_loop.MakeTimer([this, send, holder] {
    send();
    m_loop.Defer([holder] { holder->reset(); });
  });
  (*holder)->Start(m_faults.m_delay);
}

TableServiceStandin::Answer TableServiceStandin::Serve(HttpExchange& aExchange)
{
  const std::string& path = aExchange.Path();
  if (path == "/v1/rows") {
    return ServeListing(aExchange);
  }
  if (StartsWith(path, kRowsPath)) {
    return ServeRow(aExchange, path.substr(sizeof(kRowsPath) - 1));
  }
  if (StartsWith(path, kObjectsPath)) {
    return ServeObject(aExchange, path.substr(sizeof(kObjectsPath) - 1));
  }
  return Answer{ 404, {}, "unknown path", false };
}

TableServiceStandin::Answer TableServiceStandin::ServeRow(
  HttpExchange& aExchange,
  const std::string& aKey)
{
  if (aExchange.Method() != "GET") {
    return WriteRow(aExchange, aKey);
  }
  ++m_reads;
  const auto row = m_rows.find(aKey);
  if (row == m_rows.end() || row->second.m_deleted) {
    return Answer{ 404, {}, {}, false };
  }
  return Answer{ 200,
                 { { "ETag",
                     "\"" + std::to_string(row->second.m_version) + "\"" },
                   { "Table-Operation", row->second.m_operation } },
                 row->second.m_value,
                 false };
}

TableServiceStandin::Answer TableServiceStandin::WriteRow(
  HttpExchange& aExchange,
  const std::string& aKey)
{
  ++m_writes;
  Row& row = m_rows[aKey];
  const bool exists = row.m_version > 0 && !row.m_deleted;
  const std::string tag = "\"" + std::to_string(row.m_version) + "\"";
  const std::string ifMatch = aExchange.Header("If-Match");
  const bool mustNotExist = aExchange.Header("If-None-Match") == "*";
  const bool holds = mustNotExist ? !exists : (exists && ifMatch == tag);
  if (!holds) {
    HttpHeaders headers;
    if (exists) {
      headers = { { "ETag", tag }, { "Table-Operation", row.m_operation } };
    }
    return Answer{ 412, headers, exists ? row.m_value : std::string(), false };
  }
  ++row.m_version;
  row.m_change = ++m_change;
  row.m_operation = aExchange.Header("Table-Operation");
  row.m_deleted = aExchange.Method() == "DELETE";
  row.m_value = row.m_deleted ? std::string() : aExchange.Body();
  Answer answer;
  answer.m_headers = { { "ETag",
                         "\"" + std::to_string(row.m_version) + "\"" } };
  if (m_faults.m_loseWriteAnswers > 0) {
    --m_faults.m_loseWriteAnswers;
    answer.m_lost = true;
  }
  return answer;
}

TableServiceStandin::Answer TableServiceStandin::ServeListing(
  HttpExchange& aExchange)
{
  ++m_reads;
  const std::string prefix = QueryValue(aExchange.Query(), "prefix");
  const uint64_t since =
    std::strtoull(QueryValue(aExchange.Query(), "since").c_str(), nullptr, 10);
  json rows = json::array();
  for (auto row = m_rows.lower_bound(prefix);
       row != m_rows.end() && StartsWith(row->first, prefix);
       ++row) {
    if (row->second.m_change <= since) {
      continue;
    }
    rows.push_back({ { "key", row->first },
                     { "version", row->second.m_version },
                     { "operation", row->second.m_operation },
                     { "value", row->second.m_value },
                     { "deleted", row->second.m_deleted } });
  }
  const json listing = { { "change", m_change }, { "rows", rows } };
  return Answer{
    200, { { "Content-Type", "application/json" } }, listing.dump(), false
  };
}

TableServiceStandin::Answer TableServiceStandin::ServeObject(
  HttpExchange& aExchange,
  const std::string& aName)
{
  if (aExchange.Method() == "PUT") {
    m_objects[aName] = aExchange.Body();
    return Answer{};
  }
  if (aExchange.Method() == "DELETE") {
    m_objects.erase(aName);
    return Answer{};
  }
  const auto object = m_objects.find(aName);
  if (object == m_objects.end()) {
    return Answer{ 404, {}, {}, false };
  }
  return Answer{ 200, {}, object->second, false };
}

} // namespace briarglade::standin
