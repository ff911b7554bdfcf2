// The rows, their changes and the calls.

#include "standin/platform_store.h"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"
#include "platform/stored_rows.h"
#include "platform/wire_names.h"

namespace briarglade::standin {

using nlohmann::json;
using namespace platform;

namespace {

constexpr uint16_t kOk = 200;
constexpr uint16_t kBadRequest = 400;
constexpr uint16_t kForbidden = 403;
constexpr uint16_t kNotFound = 404;
constexpr uint16_t kGone = 410;
constexpr uint16_t kPreconditionFailed = 412;
constexpr uint16_t kTooManyRequests = 429;
constexpr uint16_t kUnavailable = 503;
// Rows of one answer.
constexpr size_t kMaxRows = 500;
constexpr Millis kMaxWait = Millis(30'000);
constexpr Millis kSecond = Millis(1'000);

// Turns %XX into the byte that it stands for.
std::string DecodePercent(const std::string& aText)
{
  constexpr int kHex = 16;
  std::string bytes;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      bytes += static_cast<char>(
        std::strtoul(aText.substr(i + 1, 2).c_str(), nullptr, kHex));
      i += 2;
    } else {
      bytes += aText[i];
    }
  }
  return bytes;
}

// Returns a parameter of a query, or an empty text.
std::string Parameter(const std::string& aQuery, const std::string& aName)
{
  size_t at = 0;
  while (at < aQuery.size()) {
    const size_t end = std::min(aQuery.find('&', at), aQuery.size());
    const std::string pair = aQuery.substr(at, end - at);
    if (pair.compare(0, aName.size() + 1, aName + "=") == 0) {
      return DecodePercent(pair.substr(aName.size() + 1));
    }
    at = end + 1;
  }
  return {};
}

uint64_t NumberParameter(const std::string& aQuery, const std::string& aName)
{
  return std::strtoull(Parameter(aQuery, aName).c_str(), nullptr, 10);
}

bool IsForeign(const std::string& aTable)
{
  return aTable == kOperatorTable || aTable == kServersTable;
}

} // namespace

PlatformStore::PlatformStore(EventLoop& aLoop, PlatformStoreOptions aOptions)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_later(aLoop)
{
}

PlatformStore::~PlatformStore()
{
  // Connections end before the calls that they refer to.
  m_doors.clear();
}

uint16_t PlatformStore::OpenDoor(const std::string& aName)
{
  HttpServerLimits limits;
  limits.m_idleTime = kMaxWait * 2;
  m_doors.emplace_back();
  Door& door = m_doors.back();
  door.m_name = aName;
  door.m_server = std::make_unique<HttpServer>(m_loop, limits);
  door.m_server->SetHandler(
    [this, &door](const Exchange& aExchange) { Handle(door, aExchange); });
  return door.m_server->Listen(Endpoint{ "127.0.0.1", 0 });
}

void PlatformStore::SetFaults(const std::string& aDoor,
                              const PlatformStoreFaults& aFaults)
{
  for (Door& door : m_doors) {
    if (aDoor.empty() || door.m_name == aDoor) {
      door.m_faults = aFaults;
    }
  }
}

void PlatformStore::Put(const std::string& aTable,
                        const std::string& aKey,
                        const std::string& aValue)
{
  m_tables[aTable][aKey] = Row{ ++m_version, aValue };
  AnswerWatchers();
}

void PlatformStore::Remove(const std::string& aTable, const std::string& aKey)
{
  if (Find(aTable, aKey)) {
    m_tables[aTable][aKey] = Row{ ++m_version, std::nullopt };
    AnswerWatchers();
  }
}

std::optional<std::string> PlatformStore::Find(const std::string& aTable,
                                               const std::string& aKey) const
{
  const auto table = m_tables.find(aTable);
  if (table == m_tables.end()) {
    return std::nullopt;
  }
  const auto row = table->second.find(aKey);
  return row == table->second.end() ? std::nullopt : row->second.m_value;
}

json PlatformStore::MakeBody() const
{
  return { { "version_number", m_version },
           { "now_ms", EventLoop::Now().Count() },
           { "rows", json::array() } };
}

json PlatformStore::MakeRow(const std::string& aTable,
                            const std::string& aKey,
                            const Row& aRow)
{
  json row = { { "table", aTable },
               { "part", "" },
               { "key", aKey },
               { "version_number", aRow.m_version } };
  if (aRow.m_value) {
    row["value"] = EncodeBase64(*aRow.m_value);
  } else {
    row["tombstone"] = true;
  }
  return row;
}

void PlatformStore::ReturnToCopy()
{
  m_tables = m_copy.m_tables;
  m_version = m_copy.m_version;
  m_historyFrom = std::min(m_historyFrom, m_version);
  ++m_era;
  for (const Watcher& watcher : std::exchange(m_watchers, {})) {
    watcher.m_exchange->Abort();
  }
}

void PlatformStore::Respond(const Exchange& aExchange,
                            const Answer& aAnswer) const
{
  aExchange->Respond(aAnswer.m_status,
                     { { "Content-Type", "application/json" },
                       { kStoreEraHeader, std::to_string(m_era) } },
                     aAnswer.m_body.is_null() ? "" : aAnswer.m_body.dump());
}

bool PlatformStore::IsTooMany(Rate& aRate, uint32_t aMost)
{
  const Millis now = EventLoop::Now();
  if (now - aRate.m_since >= kSecond) {
    aRate = Rate{ now, 0 };
  }
  return ++aRate.m_calls > aMost;
}

void PlatformStore::Handle(Door& aDoor, const Exchange& aExchange)
{
  ++m_calls;
  const PlatformStoreFaults& faults = aDoor.m_faults;
  if (faults.m_isSilent) {
    return;
  }
  const bool isWrite = aExchange->Path() == kRowsWritePath;
  const bool isTooMany = isWrite
                           ? IsTooMany(m_writes, m_options.m_writesPerSecond)
                           : IsTooMany(m_reads, m_options.m_readsPerSecond);
  if (faults.m_isDown) {
    Respond(aExchange, Answer{ kUnavailable, {} });
    return;
  }
  if (faults.m_isBusy || isTooMany) {
    Respond(aExchange, Answer{ kTooManyRequests, {} });
    return;
  }
  m_later.After(faults.m_delay, [this, &aDoor, aExchange, isWrite] {
    if (isWrite) {
      HandleWrite(aDoor, aExchange);
    } else if (aExchange->Path() == kRowsReadPath) {
      Respond(aExchange, Read(aExchange->Query()));
    } else if (aExchange->Path() == kRowsWatchPath) {
      HandleWatch(aDoor, aExchange);
    } else {
      Respond(aExchange, Answer{ kNotFound, {} });
    }
  });
}

void PlatformStore::HandleWrite(Door& aDoor, const Exchange& aExchange)
{
  const json call = json::parse(aExchange->Body(), nullptr, false);
  if (!call.is_object()) {
    Respond(aExchange, Answer{ kBadRequest, {} });
    return;
  }
  PlatformStoreFaults& faults = aDoor.m_faults;
  if (faults.m_writeLag > Millis()) {
    m_later.After(faults.m_writeLag, [this, call] { Write(call); });
    aExchange->Abort();
    return;
  }
  const Answer answer = Write(call);
  if (faults.m_loseWriteAnswers > 0) {
    --faults.m_loseWriteAnswers;
    aExchange->Abort();
    return;
  }
  Respond(aExchange, answer);
}

PlatformStore::Answer PlatformStore::Write(const json& aCall)
{
  const json none = json::array();
  json conflicts = json::array();
  for (const json& expected : aCall.value("expected", none)) {
    const std::string table = expected.at("table");
    const std::string key = expected.at("key");
    const auto found = m_tables[table].find(key);
    const bool isThere =
      found != m_tables[table].end() && found->second.m_value;
    const uint64_t version = isThere ? found->second.m_version : 0;
    if (version != expected.at("version_number").get<uint64_t>()) {
      conflicts.push_back(MakeRow(table, key, isThere ? found->second : Row()));
    }
  }
  Answer answer{ kOk, MakeBody() };
  if (!conflicts.empty()) {
    answer.m_status = kPreconditionFailed;
    answer.m_body["rows"] = conflicts;
    return answer;
  }
  // One version for the whole transaction.
  const uint64_t version = m_version + 1;
  const json writes = aCall.value("writes", none);
  const json removals = aCall.value("remove", none);
  const auto isForbidden = [](const json& aRow) {
    return IsForeign(aRow.at("table"));
  };
  if (std::any_of(writes.begin(), writes.end(), isForbidden) ||
      std::any_of(removals.begin(), removals.end(), isForbidden)) {
    return Answer{ kForbidden, {} };
  }
  for (const json& row : writes) {
    m_tables[row.at("table")][row.at("key")] =
      Row{ version,
           DecodeBase64(row.at("value").get<std::string>()).value_or("") };
  }
  for (const json& row : removals) {
    m_tables[row.at("table")][row.at("key")] = Row{ version, std::nullopt };
  }
  m_version = version;
  answer.m_body = MakeBody();
  AnswerWatchers();
  return answer;
}

PlatformStore::Answer PlatformStore::Read(const std::string& aQuery) const
{
  const std::string name = Parameter(aQuery, "table");
  const std::string from = Parameter(aQuery, "from");
  Answer answer{ kOk, MakeBody() };
  answer.m_body["truncated"] = false;
  const auto table = m_tables.find(name);
  if (table == m_tables.end()) {
    return answer;
  }
  json& rows = answer.m_body["rows"];
  for (auto row = table->second.lower_bound(from); row != table->second.end();
       ++row) {
    if (rows.size() >= kMaxRows) {
      answer.m_body["truncated"] = true;
      break;
    }
    if (row->second.m_value) {
      rows.push_back(MakeRow(name, row->first, row->second));
    }
  }
  return answer;
}

bool PlatformStore::HasChanges(const std::string& aTable, uint64_t aAfter) const
{
  const auto table = m_tables.find(aTable);
  return table != m_tables.end() &&
         std::any_of(
           table->second.begin(), table->second.end(), [&](const auto& aRow) {
             return aRow.second.m_version > aAfter;
           });
}

PlatformStore::Answer PlatformStore::Changes(const std::string& aTable,
                                             uint64_t aAfter) const
{
  std::vector<std::pair<uint64_t, std::string>> changed;
  const auto table = m_tables.find(aTable);
  if (table != m_tables.end()) {
    for (const auto& [key, row] : table->second) {
      if (row.m_version > aAfter) {
        changed.emplace_back(row.m_version, key);
      }
    }
  }
  std::sort(changed.begin(), changed.end());
  Answer answer{ kOk, MakeBody() };
  for (const auto& [version, key] : changed) {
    answer.m_body["rows"].push_back(
      MakeRow(aTable, key, table->second.at(key)));
  }
  return answer;
}

void PlatformStore::HandleWatch(const Door& aDoor, const Exchange& aExchange)
{
  const std::string& query = aExchange->Query();
  const std::string table = Parameter(query, "table");
  const uint64_t after = NumberParameter(query, "after");
  if (after < m_historyFrom || after > m_version) {
    Respond(aExchange, Answer{ kGone, {} });
    return;
  }
  if (HasChanges(table, after)) {
    Respond(aExchange, Changes(table, after));
    return;
  }
  m_watchers.push_back(Watcher{ &aDoor, aExchange, table, after });
  const Millis wait = std::min(
    kMaxWait, Millis(static_cast<int64_t>(NumberParameter(query, "wait_ms"))));
  m_later.After(wait, [this, aExchange] { EndWatch(aExchange); });
}

// Answers a watch during which nothing has changed.
void PlatformStore::EndWatch(const Exchange& aExchange)
{
  const auto watcher = std::find_if(
    m_watchers.begin(), m_watchers.end(), [&](const Watcher& aWatcher) {
      return aWatcher.m_exchange == aExchange;
    });
  if (watcher != m_watchers.end()) {
    if (!watcher->m_door->m_faults.m_isSilent) {
      Respond(aExchange, Answer{ kOk, MakeBody() });
    }
    m_watchers.erase(watcher);
  }
}

void PlatformStore::AnswerWatchers()
{
  for (auto watcher = m_watchers.begin(); watcher != m_watchers.end();) {
    if (!watcher->m_door->m_faults.m_isSilent &&
        HasChanges(watcher->m_table, watcher->m_after)) {
      Respond(watcher->m_exchange, Changes(watcher->m_table, watcher->m_after));
      watcher = m_watchers.erase(watcher);
    } else {
      ++watcher;
    }
  }
}

} // namespace briarglade::standin
