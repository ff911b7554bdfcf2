// A region of nodes for tests: the membership cores on virtual time, a table
// with conditional writes and faults, and links that can be cut.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "briarglade/base/overloaded.h"
#include "briarglade/config/fleet_json.h"
#include "briarglade/membership/membership.h"

namespace briarglade {

// Returns the result of an operation that didn't reach the table.
template<typename Operation>
TableResult Begin(const Operation& aOperation)
{
  TableResult result;
  result.m_operation = aOperation.m_operation;
  result.m_key = aOperation.m_key;
  return result;
}

// The table service. Rows keep their version when deleted.
class FakeTable
{
public:
  bool m_isDown = false;
  // Answers to writes that will be lost after the write took effect.
  int m_loseWriteAnswers = 0;

  TableResult Write(const TableWrite& aWrite)
  {
    TableResult result = Begin(aWrite);
    if (m_isDown) {
      return result;
    }
    TableRow& row = m_rows[aWrite.m_key].m_row;
    if (row.m_version != aWrite.m_expected) {
      result.m_status = TableStatus::Conflict;
      result.m_rows = { row };
      return result;
    }
    row = TableRow{
      aWrite.m_key, row.m_version.Next(), aWrite.m_operation, aWrite.m_value
    };
    m_rows[aWrite.m_key].m_change = ++m_change;
    result.m_status = TableStatus::Ok;
    result.m_rows = { row };
    if (m_loseWriteAnswers > 0) {
      --m_loseWriteAnswers;
      result.m_status = TableStatus::Unknown;
      result.m_rows.clear();
    }
    return result;
  }

  TableResult Read(const TableRead& aRead) const
  {
    TableResult result = Begin(aRead);
    if (m_isDown) {
      return result;
    }
    ++m_reads;
    result.m_status = TableStatus::Ok;
    result.m_change = m_change;
    for (const auto& [key, stored] : m_rows) {
      const bool isBelow = key.Value().compare(0,
                                               aRead.m_key.Value().size(),
                                               aRead.m_key.Value()) == 0;
      if (aRead.m_isPrefix ? isBelow && stored.m_change > aRead.m_sinceChange
                           : key == aRead.m_key) {
        result.m_rows.push_back(stored.m_row);
      }
    }
    if (!aRead.m_isPrefix && result.m_rows.empty()) {
      result.m_status = TableStatus::NotFound;
    }
    return result;
  }

  uint64_t Reads() const { return m_reads; }

private:
  struct Stored
  {
    TableRow m_row;
    uint64_t m_change = 0;
  };
  std::map<RowKey, Stored> m_rows;
  uint64_t m_change = 0;
  mutable uint64_t m_reads = 0;
};

// What a test sees of one node.
struct FakeNode
{
  MembershipState m_state;
  bool m_isUp = false;
  bool m_isPaused = false;
  bool m_isCutFromTable = false;
  std::map<ZoneId, ZoneState> m_zones;
  uint64_t m_adoptedVersion = 0;
  std::optional<ShutdownComplete> m_shutdown;
  std::vector<std::string> m_logged;
};

class FakeRegion
{
public:
  FakeTable m_table;
  // What the table's answers take; each message takes a millisecond.
  Millis m_tableDelay = Millis(2);
  std::vector<FakeNode> m_nodes;
  std::set<std::pair<size_t, size_t>> m_cuts;
  std::map<CommandId, CommandAnswer> m_answers;
  std::function<void()> m_onTick = [] {};
  // Sees every message that is delivered.
  std::function<void(const PeerMessage&)> m_onMessage = [](const PeerMessage&) {
  };

  explicit FakeRegion(size_t aCount)
    : m_nodes(aCount)
  {
    for (size_t i = 0; i < aCount; ++i) {
      Start(i);
    }
  }

  Millis Now() const { return m_now; }
  static NodeId Id(size_t aIndex)
  {
    return NodeId((aIndex < 10    ? "n00"
                   : aIndex < 100 ? "n0"
                                  : "n") +
                  std::to_string(aIndex));
  }

  // Starts or restarts a node: it has forgotten everything.
  void Start(size_t aIndex)
  {
    MembershipSettings settings;
    settings.m_self = Id(aIndex);
    settings.m_region = RegionId("wa-south");
    settings.m_zone = ZoneId("perth-a");
    settings.m_endpoint =
      Endpoint{ "127.0.0.1", static_cast<uint16_t>(1000 + aIndex) };
    settings.m_incarnation = ++m_incarnation;
    settings.m_seeds = { Endpoint{ "127.0.0.1", 1000 },
                         Endpoint{ "127.0.0.1", 1001 },
                         Endpoint{ "127.0.0.1", 1002 } };
    const bool isCut = m_nodes[aIndex].m_isCutFromTable;
    m_nodes[aIndex] = FakeNode();
    m_nodes[aIndex].m_isCutFromTable = isCut;
    m_nodes[aIndex].m_state = MakeMembershipState(settings);
    m_nodes[aIndex].m_isUp = true;
  }

  void Cut(size_t aLeft, size_t aRight)
  {
    m_cuts.insert(std::minmax(aLeft, aRight));
  }

  void Isolate(size_t aIndex)
  {
    m_nodes[aIndex].m_isCutFromTable = true;
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      Cut(aIndex, i);
    }
  }

  bool Confirmed(size_t aIndex) const
  {
    const FakeNode& node = m_nodes[aIndex];
    return node.m_isUp && !node.m_isPaused && IsConfirmed(node.m_state, m_now);
  }

  size_t CountConfirmed() const
  {
    size_t count = 0;
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      count += Confirmed(i) ? 1 : 0;
    }
    return count;
  }

  bool IsOut(size_t aIndex, const std::string& aZone) const
  {
    const auto found = m_nodes[aIndex].m_zones.find(ZoneId(aZone));
    return found != m_nodes[aIndex].m_zones.end() &&
           found->second == ZoneState::Out;
  }

  void Post(size_t aIndex, const MembershipEvent& aEvent)
  {
    FakeNode& node = m_nodes[aIndex];
    if (!node.m_isUp || node.m_shutdown.has_value()) {
      return;
    }
    if (node.m_isPaused) {
      Later(Millis(50), aIndex, aEvent);
      return;
    }
    for (MembershipEffect& effect :
         ReduceMembership(node.m_state, m_now, aEvent)) {
      std::visit([&](auto& aEffect) { Carry(aIndex, aEffect); }, effect);
    }
  }

  // Gives a command to a node and returns its id.
  CommandId Apply(size_t aIndex,
                  uint64_t aBase,
                  const std::string& aWho = "ann")
  {
    CommandId command("c" + std::to_string(++m_commandCount));
    FleetConfig fleet;
    fleet.m_cluster = "west";
    fleet.m_region = RegionId("wa-south");
    for (const char* zone : { "perth-a", "bunbury-b", "albany-c" }) {
      fleet.m_zones[ZoneId(zone)] = ZoneConfig{ ZoneId(zone) };
    }
    Post(aIndex,
         ApplyCommand{
           command, FleetToJson(fleet), ConfigVersion(aBase), aWho, "board" });
    return command;
  }

  CommandId Zone(size_t aIndex, const std::string& aZone, ZoneState aState)
  {
    CommandId command("c" + std::to_string(++m_commandCount));
    Post(aIndex, ZoneCommand{ command, ZoneId(aZone), aState, "bob", "fire" });
    return command;
  }

  // Returns the code of the answer to a command; Internal if there is none.
  ResultCode CodeOf(const CommandId& aCommand) const
  {
    const auto answer = m_answers.find(aCommand);
    return answer == m_answers.end() ? ResultCode::Internal
                                     : answer->second.m_code;
  }

  void Run(Millis aTime)
  {
    const Millis end = m_now + aTime;
    while (m_now < end) {
      m_now += Millis(1);
      Deliver();
      if (m_now.Count() % 10 == 0) {
        for (size_t i = 0; i < m_nodes.size(); ++i) {
          // Nodes tick at different instants.
          if ((m_now.Count() / 10 + static_cast<int64_t>(i)) % 5 == 0) {
            Post(i, MembershipTick{});
          }
        }
        m_onTick();
      }
    }
  }

private:
  struct Pending
  {
    size_t m_node = 0;
    MembershipEvent m_event;
  };

  void Later(Millis aDelay, size_t aIndex, MembershipEvent aEvent)
  {
    m_pending.emplace(m_now + aDelay, Pending{ aIndex, std::move(aEvent) });
  }

  void Deliver()
  {
    while (!m_pending.empty() && m_pending.begin()->first <= m_now) {
      const Pending pending = std::move(m_pending.begin()->second);
      m_pending.erase(m_pending.begin());
      Post(pending.m_node, pending.m_event);
    }
  }

  void Carry(size_t aIndex, const TableWrite& aWrite)
  {
    TableResult result = Begin(aWrite);
    if (!m_nodes[aIndex].m_isCutFromTable) {
      result = m_table.Write(aWrite);
    }
    Later(m_tableDelay, aIndex, result);
  }

  void Carry(size_t aIndex, const TableRead& aRead)
  {
    TableResult result = Begin(aRead);
    if (!m_nodes[aIndex].m_isCutFromTable) {
      result = m_table.Read(aRead);
    }
    Later(m_tableDelay, aIndex, result);
  }

  void Carry(size_t aIndex, SendPeer& aSend)
  {
    const auto to = static_cast<size_t>(aSend.m_endpoint.m_port - 1000);
    if (to >= m_nodes.size() || !m_nodes[to].m_isUp ||
        m_cuts.count(std::minmax(aIndex, to)) != 0) {
      Later(Millis(1), aIndex, PeerUnreachable{ aSend.m_node });
      return;
    }
    m_onMessage(aSend.m_message);
    Later(Millis(1),
          to,
          PeerMessageReceived{ Id(aIndex), 0, std::move(aSend.m_message) });
  }

  void Carry(size_t, const CommandAnswer& aAnswer)
  {
    m_answers[aAnswer.m_command] = aAnswer;
  }
  void Carry(size_t aIndex, const FleetAdopted& aAdopted)
  {
    m_nodes[aIndex].m_adoptedVersion = aAdopted.m_version.Value();
  }
  void Carry(size_t aIndex, const ZonesAdopted& aAdopted)
  {
    m_nodes[aIndex].m_zones = aAdopted.m_zones;
  }
  void Carry(size_t, const RosterAdopted&) {}
  void Carry(size_t, const ConfirmationChanged&) {}
  void Carry(size_t aIndex, const ShutdownComplete& aComplete)
  {
    m_nodes[aIndex].m_shutdown = aComplete;
  }
  void Carry(size_t aIndex, const LogEvent& aEvent)
  {
    m_nodes[aIndex].m_logged.push_back(aEvent.m_event);
  }

  Millis m_now;
  uint64_t m_incarnation = 0;
  int m_commandCount = 0;
  std::multimap<Millis, Pending> m_pending;
};

} // namespace briarglade
