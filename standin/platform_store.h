// A stand-in for the users' platform's store of rows, in memory: conditional
// writes, reads, waiting for changes, and the faults that the platform is known
// for. Only rows of the empty part are kept.
//
// Each door is a listener with faults of its own, so that the store can turn
// some nodes away and serve the others.
//
// Example:
//   PlatformStore store(loop, PlatformStoreOptions());
//   const uint16_t port = store.OpenDoor("node-1");
//   store.Put(platform::kOperatorTable, platform::kConfigKey, text);

#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "briarglade/base/millis.h"
#include "briarglade/net/http_server.h"
#include "standin/delayed_calls.h"

namespace briarglade {
class EventLoop;
class HttpExchange;
}

namespace briarglade::standin {

struct PlatformStoreOptions
{
  // Calls beyond these are refused as too many.
  uint32_t m_writesPerSecond = 400;
  uint32_t m_readsPerSecond = 2'000;
};

// Faults of one door; all off at first.
struct PlatformStoreFaults
{
  // Answers that nothing was done, or that there are too many calls.
  bool m_isDown = false;
  bool m_isBusy = false;
  // Takes calls and never answers, those that wait for a change included.
  bool m_isSilent = false;
  // Added to each answer.
  Millis m_delay;
  // Carries out so many further writes and cuts the connection in place of the
  // answer.
  uint32_t m_loseWriteAnswers = 0;
  // Not zero: writes are carried out after this time, if their condition still
  // holds, and aren't answered.
  Millis m_writeLag;
};

class PlatformStore
{
public:
  PlatformStore(EventLoop& aLoop, PlatformStoreOptions aOptions);
  ~PlatformStore();
  PlatformStore(const PlatformStore&) = delete;
  PlatformStore& operator=(const PlatformStore&) = delete;

  // Opens a listener on this machine and returns its port.
  uint16_t OpenDoor(const std::string& aName);
  // Sets the faults of a door; an empty name means every door.
  void SetFaults(const std::string& aDoor, const PlatformStoreFaults& aFaults);

  // Writes or removes a row, as the operators and the servers do.
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  // Returns a row's value, or nothing if there is no such row.
  std::optional<std::string> Find(const std::string& aTable,
                                  const std::string& aKey) const;
  // Forgets which rows changed so far: who asks for it must read all again.
  void DropHistory() { m_historyFrom = m_version; }
  // Keeps a copy of all rows, and lets the store come back from it: what was
  // written since is gone, versions are given out again, and a new era begins.
  // Calls that wait for a change are cut. Who wrote since writes again.
  void SaveCopy() { m_copy = Copy{ m_tables, m_version }; }
  void ReturnToCopy();
  uint64_t CallCount() const { return m_calls; }

private:
  using Exchange = std::shared_ptr<HttpExchange>;
  // A row, or what is left of one that was removed.
  struct Row
  {
    uint64_t m_version = 0;
    std::optional<std::string> m_value;
  };
  using Table = std::map<std::string, Row>;
  struct Copy
  {
    std::map<std::string, Table> m_tables;
    uint64_t m_version = 0;
  };
  struct Door
  {
    std::string m_name;
    std::unique_ptr<HttpServer> m_server;
    PlatformStoreFaults m_faults;
  };
  struct Answer
  {
    uint16_t m_status = 200;
    nlohmann::json m_body;
  };
  // A call that waits for a change.
  struct Watcher
  {
    const Door* m_door = nullptr;
    Exchange m_exchange;
    std::string m_table;
    uint64_t m_after = 0;
  };
  // Calls counted in one second.
  struct Rate
  {
    Millis m_since;
    uint32_t m_calls = 0;
  };

  void Handle(Door& aDoor, const Exchange& aExchange);
  void HandleWrite(Door& aDoor, const Exchange& aExchange);
  void HandleWatch(const Door& aDoor, const Exchange& aExchange);
  Answer Write(const nlohmann::json& aCall);
  Answer Read(const std::string& aQuery) const;
  Answer Changes(const std::string& aTable, uint64_t aAfter) const;
  bool HasChanges(const std::string& aTable, uint64_t aAfter) const;
  void AnswerWatchers();
  void EndWatch(const Exchange& aExchange);
  nlohmann::json MakeBody() const;
  static nlohmann::json MakeRow(const std::string& aTable,
                                const std::string& aKey,
                                const Row& aRow);
  void Respond(const Exchange& aExchange, const Answer& aAnswer) const;
  static bool IsTooMany(Rate& aRate, uint32_t aMost);

  EventLoop& m_loop;
  PlatformStoreOptions m_options;
  std::list<Door> m_doors;
  std::map<std::string, Table> m_tables;
  uint64_t m_version = 0;
  uint64_t m_era = 1;
  Copy m_copy;
  uint64_t m_historyFrom = 0;
  uint64_t m_calls = 0;
  Rate m_reads;
  Rate m_writes;
  std::list<Watcher> m_watchers;
  DelayedCalls m_later;
};

} // namespace briarglade::standin
