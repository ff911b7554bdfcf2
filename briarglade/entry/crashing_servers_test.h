// Simulates backend servers that crash when they begin to answer a request with
// a harmful prompt part. For the tests of this folder.
//
// Example:
//   CrashingServers servers;
//   servers.SetHarmful(part, true);
//   servers.Start(now, exchange);
//   for (const ServerEvent& event : servers.Step(now)) { ... }

#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "briarglade/entry/entry_event.h"

namespace briarglade {

// A request on its way to, or at, a server.
struct ServerExchange
{
  size_t m_node = 0;
  RequestHandle m_handle;
  HostId m_server;
  std::vector<PromptPartId> m_parts;
  Millis m_sentAt;
  // Whether the node sent this request for the first time.
  bool m_isFirstSend = false;
  bool m_hasBegun = false;
};

// An event for a node.
struct ServerEvent
{
  size_t m_node = 0;
  EntryEvent m_event;
};

struct ServerCrash
{
  Millis m_at;
  HostId m_server;
  // The parts of the request that caused it; empty if none did.
  std::vector<PromptPartId> m_parts;
};

class CrashingServers
{
public:
  // Time from a request's arrival to the first part of its answer, and to the
  // end of it.
  static constexpr Millis kBeginTime = Millis(200);
  static constexpr Millis kAnswerTime = Millis(1'500);

  void SetHarmful(PromptPartId aPart, bool aIsHarmful)
  {
    if (aIsHarmful) {
      m_harmful.insert(aPart);
    } else {
      m_harmful.erase(aPart);
    }
  }
  bool IsHarmful(const std::vector<PromptPartId>& aParts) const
  {
    return std::any_of(aParts.begin(), aParts.end(), [this](auto aPart) {
      return m_harmful.count(aPart) > 0;
    });
  }
  bool IsDown(const HostId& aServer) const { return m_down.count(aServer) > 0; }

  // Crashes a server at the next step.
  void CrashSoon(const HostId& aServer) { m_crashSoon.insert(aServer); }

  void Start(Millis aNow, ServerExchange aExchange)
  {
    aExchange.m_sentAt = aNow;
    aExchange.m_isFirstSend = m_seen.insert(aExchange.m_handle).second;
    m_sends.push_back(aExchange);
    if (IsDown(aExchange.m_server)) {
      End(aExchange, ExchangeEnd::ConnectRefused);
      return;
    }
    m_open[aExchange.m_handle] = aExchange;
  }
  void Cancel(RequestHandle aHandle)
  {
    const auto open = m_open.find(aHandle);
    if (open != m_open.end()) {
      End(open->second, ExchangeEnd::Cancelled);
      m_open.erase(open);
    }
  }

  // Returns the events that are due.
  std::vector<ServerEvent> Step(Millis aNow)
  {
    std::map<HostId, std::vector<PromptPartId>> crashing;
    for (const HostId& server : m_crashSoon) {
      crashing[server] = {};
    }
    m_crashSoon.clear();
    std::vector<RequestHandle> done;
    for (auto& [handle, exchange] : m_open) {
      const Millis elapsed = aNow - exchange.m_sentAt;
      if (!exchange.m_hasBegun && elapsed >= kBeginTime) {
        exchange.m_hasBegun = true;
        if (IsHarmful(exchange.m_parts)) {
          crashing[exchange.m_server] = exchange.m_parts;
          continue;
        }
        m_begun.push_back(exchange);
        m_events.push_back({ exchange.m_node, AnswerProgressed{ handle } });
      }
      if (elapsed >= kAnswerTime) {
        End(exchange, ExchangeEnd::Whole);
        done.push_back(handle);
      }
    }
    for (const RequestHandle handle : done) {
      m_open.erase(handle);
    }
    for (const auto& [server, parts] : crashing) {
      Crash(aNow, server, parts);
    }
    std::vector<ServerEvent> events;
    events.swap(m_events);
    return events;
  }

  // All crashes, all sends, and the exchanges that were answered, in order.
  const std::vector<ServerCrash>& Crashes() const { return m_crashes; }
  const std::vector<ServerExchange>& Sends() const { return m_sends; }
  const std::vector<ServerExchange>& Begun() const { return m_begun; }

private:
  static constexpr uint16_t kOk = 200;

  void Crash(Millis aNow,
             const HostId& aServer,
             const std::vector<PromptPartId>& aParts)
  {
    m_crashes.push_back({ aNow, aServer, aParts });
    m_down.insert(aServer);
    for (auto open = m_open.begin(); open != m_open.end();) {
      if (open->second.m_server == aServer) {
        End(open->second,
            open->second.m_hasBegun ? ExchangeEnd::Truncated
                                    : ExchangeEnd::ResetBeforeAnswer);
        open = m_open.erase(open);
      } else {
        ++open;
      }
    }
  }

  void End(const ServerExchange& aExchange, ExchangeEnd aEnd)
  {
    ExchangeEnded ended;
    ended.m_handle = aExchange.m_handle;
    ended.m_end = aEnd;
    ended.m_status = aEnd == ExchangeEnd::Whole ? kOk : uint16_t{ 0 };
    ended.m_answerBegan = aExchange.m_hasBegun;
    m_events.push_back({ aExchange.m_node, ended });
  }

  std::set<PromptPartId> m_harmful;
  std::set<HostId> m_down;
  std::set<HostId> m_crashSoon;
  std::map<RequestHandle, ServerExchange> m_open;
  std::set<RequestHandle> m_seen;
  std::vector<ServerEvent> m_events;
  std::vector<ServerCrash> m_crashes;
  std::vector<ServerExchange> m_sends;
  std::vector<ServerExchange> m_begun;
};

} // namespace briarglade
