// Table rows and the host list over HTTP.

#include "briarglade/storage/table_client.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "briarglade/net/http_call.h"
#include "briarglade/net/http_client.h"

namespace briarglade {

namespace {

using nlohmann::json;

// What has come of an answer so far.
struct Gathered
{
  HttpAnswerHead m_head;
  std::string m_body;
};

std::string Quoted(RowVersion aVersion)
{
  return "\"" + std::to_string(aVersion.Value()) + "\"";
}

uint64_t ParseNumber(const std::string& aText)
{
  uint64_t number = 0;
  for (const char letter : aText) {
    if (letter >= '0' && letter <= '9') {
      number = number * 10 + static_cast<uint64_t>(letter - '0');
    }
  }
  return number;
}

TableRow RowFromAnswer(const RowKey& aKey, const Gathered& aAnswer)
{
  TableRow row;
  row.m_key = aKey;
  row.m_version =
    RowVersion(ParseNumber(FindHeader(aAnswer.m_head.m_headers, "ETag")));
  row.m_operation =
    OperationId(FindHeader(aAnswer.m_head.m_headers, "Table-Operation"));
  row.m_value = aAnswer.m_body;
  return row;
}

// Returns false if the text isn't a listing.
bool ReadListing(const std::string& aText, TableResult& aResult)
try {
  const json listing = json::parse(aText, nullptr, false);
  if (!listing.is_object() || !listing.contains("rows") ||
      !listing["rows"].is_array()) {
    return false;
  }
  aResult.m_change = listing.value("change", uint64_t{ 0 });
  for (const json& entry : listing["rows"]) {
    TableRow row;
    row.m_key = RowKey(entry.value("key", ""));
    row.m_version = RowVersion(entry.value("version", uint64_t{ 0 }));
    row.m_operation = OperationId(entry.value("operation", ""));
    row.m_value = entry.value("value", "");
    row.m_deleted = entry.value("deleted", false);
    aResult.m_rows.push_back(std::move(row));
  }
  return true;
} catch (const json::exception&) {
  return false;
}

// A request that never left changed nothing; any other failure may have.
TableStatus FailureStatus(ExchangeEnd aEnd)
{
  const bool neverLeft =
    aEnd == ExchangeEnd::ConnectRefused || aEnd == ExchangeEnd::ResetBeforeSend;
  return neverLeft ? TableStatus::Unreachable : TableStatus::Unknown;
}

TableStatus StatusOfWrite(uint16_t aHttpStatus)
{
  if (aHttpStatus == 200 || aHttpStatus == 201 || aHttpStatus == 204) {
    return TableStatus::Ok;
  }
  if (aHttpStatus == 412) {
    return TableStatus::Conflict;
  }
  if (aHttpStatus == 429 || aHttpStatus == 503) {
    return TableStatus::Unreachable;
  }
  return TableStatus::Unknown;
}

HttpCallSpec MakeSpec(const Endpoint& aEndpoint,
                      Millis aTimeout,
                      const std::shared_ptr<Gathered>& aGathered)
{
  HttpCallSpec spec;
  spec.m_endpoint = aEndpoint;
  spec.m_timeout = aTimeout;
  spec.m_onHead = [aGathered](const HttpAnswerHead& aHead) {
    aGathered->m_head = aHead;
  };
  spec.m_onData = [aGathered](std::string_view aData) {
    aGathered->m_body.append(aData);
  };
  return spec;
}

void Write(HttpClient& aClient,
           const Endpoint& aEndpoint,
           Millis aTimeout,
           const TableWrite& aWrite,
           TableResultHandler aHandler)
{
  auto gathered = std::make_shared<Gathered>();
  HttpCallSpec spec = MakeSpec(aEndpoint, aTimeout, gathered);
  spec.m_method = aWrite.m_delete ? "DELETE" : "PUT";
  spec.m_path = "/v1/rows/" + aWrite.m_key.Value();
  spec.m_body = aWrite.m_value;
  spec.m_headers = { { "Table-Operation", aWrite.m_operation.Value() },
                     { "Content-Type", "application/json" } };
  if (aWrite.m_expected == RowVersion()) {
    spec.m_headers.push_back({ "If-None-Match", "*" });
  } else {
    spec.m_headers.push_back({ "If-Match", Quoted(aWrite.m_expected) });
  }
  spec.m_onEnd = [gathered,
                  operation = aWrite.m_operation,
                  key = aWrite.m_key,
                  value = aWrite.m_value,
                  handler = std::move(aHandler)](const HttpCallEnd& aEnd) {
    TableResult result;
    result.m_operation = operation;
    result.m_key = key;
    result.m_status = aEnd.m_end == ExchangeEnd::Whole
                        ? StatusOfWrite(aEnd.m_status)
                        : FailureStatus(aEnd.m_end);
    const bool hasRow = !FindHeader(gathered->m_head.m_headers, "ETag").empty();
    if (result.m_status == TableStatus::Ok) {
      TableRow row = RowFromAnswer(key, *gathered);
      row.m_operation = operation;
      row.m_value = value;
      result.m_rows.push_back(std::move(row));
    } else if (result.m_status == TableStatus::Conflict && hasRow) {
      result.m_rows.push_back(RowFromAnswer(key, *gathered));
    }
    handler(result);
  };
  aClient.Start(std::move(spec));
}

TableStatus StatusOfRead(const HttpCallEnd& aEnd)
{
  if (aEnd.m_end != ExchangeEnd::Whole) {
    return FailureStatus(aEnd.m_end);
  }
  if (aEnd.m_status == 200) {
    return TableStatus::Ok;
  }
  return aEnd.m_status == 404 ? TableStatus::NotFound
                              : TableStatus::Unreachable;
}

void Read(HttpClient& aClient,
          const Endpoint& aEndpoint,
          Millis aTimeout,
          const TableRead& aRead,
          TableResultHandler aHandler)
{
  auto gathered = std::make_shared<Gathered>();
  HttpCallSpec spec = MakeSpec(aEndpoint, aTimeout, gathered);
  spec.m_method = "GET";
  spec.m_path = aRead.m_isPrefix
                  ? "/v1/rows?prefix=" + aRead.m_key.Value() +
                      "&since=" + std::to_string(aRead.m_sinceChange)
                  : "/v1/rows/" + aRead.m_key.Value();
  spec.m_onEnd = [gathered,
                  operation = aRead.m_operation,
                  key = aRead.m_key,
                  isPrefix = aRead.m_isPrefix,
                  handler = std::move(aHandler)](const HttpCallEnd& aEnd) {
    TableResult result;
    result.m_operation = operation;
    result.m_key = key;
    result.m_status = StatusOfRead(aEnd);
    if (result.m_status == TableStatus::Ok && !isPrefix) {
      result.m_rows.push_back(RowFromAnswer(key, *gathered));
    }
    if (result.m_status == TableStatus::Ok && isPrefix &&
        !ReadListing(gathered->m_body, result)) {
      result.m_status = TableStatus::Unknown;
    }
    handler(result);
  };
  aClient.Start(std::move(spec));
}

bool ReadHostList(const std::string& aText, HostList& aList)
try {
  const json listing = json::parse(aText, nullptr, false);
  if (!listing.is_object() || !listing.contains("hosts") ||
      !listing["hosts"].is_array()) {
    return false;
  }
  for (const json& entry : listing["hosts"]) {
    aList.m_hosts.push_back(ListedHost{ HostId(entry.value("id", "")),
                                        ZoneId(entry.value("zone", "")),
                                        DomainId(entry.value("domain", "")),
                                        entry.value("leaving", false) });
  }
  return true;
} catch (const json::exception&) {
  return false;
}

} // namespace

TableService MakeHttpTableService(HttpClient& aClient,
                                  const Endpoint& aEndpoint,
                                  Millis aTimeout)
{
  TableService service;
  service.m_write = [&aClient, aEndpoint, aTimeout](const TableWrite& aWrite,
                                                    TableResultHandler aDone) {
    Write(aClient, aEndpoint, aTimeout, aWrite, std::move(aDone));
  };
  service.m_read = [&aClient, aEndpoint, aTimeout](const TableRead& aRead,
                                                   TableResultHandler aDone) {
    Read(aClient, aEndpoint, aTimeout, aRead, std::move(aDone));
  };
  return service;
}

HostListService MakeHttpHostListService(HttpClient& aClient,
                                        const Endpoint& aEndpoint,
                                        Millis aTimeout)
{
  // The last list and its tag, so that an unchanged one isn't sent again.
  struct Known
  {
    std::string m_tag;
    HostList m_list;
  };
  auto known = std::make_shared<Known>();
  HostListService service;
  service.m_read = [&aClient, aEndpoint, aTimeout, known](auto aDone) {
    auto gathered = std::make_shared<Gathered>();
    HttpCallSpec spec = MakeSpec(aEndpoint, aTimeout, gathered);
    spec.m_method = "GET";
    spec.m_path = "/v1/hosts";
    if (!known->m_tag.empty()) {
      spec.m_headers.push_back({ "If-None-Match", known->m_tag });
    }
    spec.m_onEnd = [gathered, known, done = aDone](const HttpCallEnd& aEnd) {
      const bool whole = aEnd.m_end == ExchangeEnd::Whole;
      HostList list;
      bool ok = whole && aEnd.m_status == 304 && !known->m_tag.empty();
      if (whole && aEnd.m_status == 200 &&
          ReadHostList(gathered->m_body, list)) {
        known->m_tag = FindHeader(gathered->m_head.m_headers, "ETag");
        known->m_list = std::move(list);
        ok = true;
      }
      done(ok, known->m_list);
    };
    aClient.Start(std::move(spec));
  };
  return service;
}

} // namespace briarglade
