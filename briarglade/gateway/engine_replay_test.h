// A replay of many nodes that place streams at a few model groups, in virtual
// time, for the tests of this folder: each node sees its own requests at once
// and the others' a moment later. The groups read prompts in chunks between the
// tokens that they write, so that a prompt holds up all that runs beside it.

#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "briarglade/gateway/backend_table.h"

namespace briarglade {

// How one group works: times in milliseconds.
struct ReplayEngine
{
  double m_stepMillis = 6.45;
  double m_stepMillisPerDecode = 0.0967;
  double m_prefillTokensPerMilli = 56.1;
  uint32_t m_prefillChunkTokens = 2'048;
  // Tokens of one pass, which make one event.
  uint32_t m_tokensPerPass = 6;
};

struct ReplayOptions
{
  uint32_t m_nodes = 9;
  uint32_t m_groups = 6;
  double m_requestsPerSecond = 47;
  Millis m_peerUpdatePeriod = Millis(150);
  Millis m_length = Millis(60'000);
  // Not zero: this often, a group ends and another one takes its place after a
  // second; what ran there goes on elsewhere.
  Millis m_groupLossPeriod;
  // Every caller is sent to the nodes of one zone.
  bool m_isOneZone = false;
  // Not zero: at this time half of the groups are lost for good.
  Millis m_halfLostAt;
  // Off: nodes don't know of each other, and expect no requests but those that
  // were reported.
  bool m_expectsUnreported = true;
  // Off: requests are placed by their number alone.
  bool m_reportsTokens = true;
  uint32_t m_seed = 1;
};

// What callers saw.
struct ReplayResult
{
  std::vector<double> m_firstMillis;
  std::vector<double> m_pauseMillis;
  uint32_t m_refused = 0;

  static double Quantile(std::vector<double> aValues, double aShare)
  {
    if (aValues.empty()) {
      return 0;
    }
    std::sort(aValues.begin(), aValues.end());
    const auto last = static_cast<double>(aValues.size() - 1);
    return aValues[static_cast<size_t>(last * aShare)];
  }
  // The share of streams that began late or paused for too long.
  double LateShare(double aFirstMillis, double aPauseMillis) const
  {
    size_t late = 0;
    for (size_t i = 0; i < m_firstMillis.size(); ++i) {
      const bool isLate =
        m_firstMillis[i] > aFirstMillis || m_pauseMillis[i] > aPauseMillis;
      late += isLate ? 1 : 0;
    }
    return static_cast<double>(late) /
           static_cast<double>(std::max<size_t>(1, m_firstMillis.size()));
  }
};

class EngineReplay
{
public:
  EngineReplay(const ReplayEngine& aEngine, const ReplayOptions& aOptions)
    : m_engine(aEngine)
    , m_options(aOptions)
    , m_random(aOptions.m_seed)
    , m_groups(aOptions.m_groups)
  {
    for (uint32_t node = 0; node < aOptions.m_nodes; ++node) {
      // No server of the replay is cold: the nodes share no limit.
      const auto quota = std::make_shared<FleetQuota>(NodeId("n"));
      quota->SetLiveNodeCount(aOptions.m_expectsUnreported ? aOptions.m_nodes
                                                           : 1);
      m_tables.emplace_back(ZoneOf(node), node + 1, quota);
    }
    ListGroups();
  }

  ReplayResult Run()
  {
    std::exponential_distribution<double> gap(m_options.m_requestsPerSecond /
                                              1'000);
    double nextArrival = gap(m_random);
    for (Millis now; now < m_options.m_length; now += Millis(1)) {
      m_now = now;
      while (nextArrival <= static_cast<double>(now.Count())) {
        Arrive();
        nextArrival += gap(m_random);
      }
      SendPeerUpdates();
      EndOneGroup();
      LoseHalf();
      for (size_t group = 0; group < m_groups.size(); ++group) {
        Advance(group);
      }
    }
    return m_result;
  }

private:
  struct Stream
  {
    uint32_t m_node = 0;
    size_t m_slot = 0;
    uint32_t m_promptTokens = 0;
    uint32_t m_pendingPromptTokens = 0;
    uint32_t m_eventsLeft = 0;
    bool m_hasBegun = false;
    bool m_isInTransit = false;
    double m_arrivedAt = 0;
    double m_lastEventAt = 0;
    double m_firstMillis = 0;
    double m_pauseMillis = 0;
  };
  struct Group
  {
    std::deque<Stream> m_streams;
    double m_passEndsAt = 0;
    bool m_isInPass = false;
    Millis m_availableAt;
  };

  static constexpr uint32_t kZones = 3;

  static ZoneId ZoneOf(uint32_t aNumber)
  {
    return ZoneId("zone-" + std::to_string(aNumber % kZones));
  }
  static HostId LeaderOf(size_t aGroup)
  {
    return HostId("leader-" + std::to_string(aGroup));
  }
  bool IsUp(size_t aGroup) const
  {
    return m_groups[aGroup].m_availableAt <= m_now;
  }

  uint32_t ReportedTokens(const Stream& aStream) const
  {
    return m_options.m_reportsTokens ? aStream.m_promptTokens : 0;
  }

  void ListGroups()
  {
    std::vector<Backend> backends;
    for (size_t group = 0; group < m_groups.size(); ++group) {
      if (!IsUp(group)) {
        continue;
      }
      Backend backend;
      backend.m_server = LeaderOf(group);
      backend.m_group = GroupId("group-" + std::to_string(group));
      backend.m_service = ServiceId("models");
      backend.m_model = ModelId("m");
      backend.m_zone = ZoneOf(static_cast<uint32_t>(group));
      backend.m_slots = 26;
      backends.push_back(backend);
    }
    for (BackendTable& book : m_tables) {
      book.SetBackends(m_now, backends);
    }
  }

  void Arrive()
  {
    // Prompts of a median of a thousand tokens, some of many thousand.
    std::lognormal_distribution<double> prompt(7.0, 0.9);
    Stream stream;
    stream.m_node = static_cast<uint32_t>(m_random() % m_options.m_nodes);
    if (m_options.m_isOneZone) {
      stream.m_node -= stream.m_node % kZones;
    }
    stream.m_promptTokens =
      static_cast<uint32_t>(std::min(8'000.0, prompt(m_random)));
    stream.m_eventsLeft = m_random() % 2 == 0 ? 29 : 4;
    stream.m_arrivedAt = static_cast<double>(m_now.Count());
    Place(stream);
  }

  void Place(Stream aStream)
  {
    BackendTable& book = m_tables[aStream.m_node];
    BackendRequirements wish;
    wish.m_service = ServiceId("models");
    wish.m_model = ModelId("m");
    const std::optional<size_t> slot = book.Choose(m_now, wish);
    if (!slot) {
      ++m_result.m_refused;
      return;
    }
    book.RecordStarted(m_now, *slot, ReportedTokens(aStream));
    aStream.m_slot = *slot;
    aStream.m_pendingPromptTokens = aStream.m_promptTokens;
    aStream.m_isInTransit = true;
    for (size_t group = 0; group < m_groups.size(); ++group) {
      if (book.Slot(*slot).m_backend.m_server == LeaderOf(group)) {
        m_groups[group].m_streams.push_back(aStream);
      }
    }
  }

  // Each node tells the others of its load, one node after the other.
  void SendPeerUpdates()
  {
    const int64_t period = m_options.m_peerUpdatePeriod.Count();
    for (uint32_t node = 0; node < m_options.m_nodes; ++node) {
      const int64_t turn = period * node / m_options.m_nodes;
      if (m_now.Count() % period != turn) {
        continue;
      }
      PeerLoad load;
      load.m_node = NodeId("node-" + std::to_string(node));
      load.m_loads = m_tables[node].OwnLoad();
      for (uint32_t other = 0; other < m_options.m_nodes; ++other) {
        if (other != node) {
          m_tables[other].SetPeerLoad(load);
        }
      }
    }
  }

  void EndOneGroup()
  {
    const Millis period = m_options.m_groupLossPeriod;
    const bool isDue = period > Millis() && m_now > Millis() &&
                       m_now.Count() % period.Count() == 0;
    const bool isBack =
      std::any_of(m_groups.begin(), m_groups.end(), [&](const Group& aGroup) {
        return aGroup.m_availableAt == m_now && m_now > Millis();
      });
    if (!isDue) {
      if (isBack) {
        ListGroups();
      }
      return;
    }
    LoseGroups({ static_cast<size_t>(m_random() % m_groups.size()) },
               m_now + Millis(1'000));
  }

  void LoseHalf()
  {
    if (m_options.m_halfLostAt == Millis() || m_now != m_options.m_halfLostAt) {
      return;
    }
    std::vector<size_t> lost;
    for (size_t group = 0; group < m_groups.size(); group += 2) {
      lost.push_back(group);
    }
    LoseGroups(lost, m_options.m_length * 2);
  }

  // Ends groups; what ran there goes on elsewhere.
  void LoseGroups(const std::vector<size_t>& aGroups, Millis aBackAt)
  {
    std::deque<Stream> moved;
    for (const size_t index : aGroups) {
      Group& group = m_groups[index];
      moved.insert(moved.end(), group.m_streams.begin(), group.m_streams.end());
      group.m_streams.clear();
      group.m_isInPass = false;
      group.m_availableAt = aBackAt;
    }
    for (const Stream& stream : moved) {
      m_tables[stream.m_node].RecordEnded(
        stream.m_slot, stream.m_hasBegun, ReportedTokens(stream));
    }
    ListGroups();
    for (Stream& stream : moved) {
      stream.m_hasBegun = false;
      Place(stream);
    }
  }

  // Ends the pass that is due, and begins the next one.
  void Advance(size_t aGroup)
  {
    Group& group = m_groups[aGroup];
    const auto now = static_cast<double>(m_now.Count());
    while (IsUp(aGroup) && (!group.m_isInPass || group.m_passEndsAt <= now)) {
      if (group.m_isInPass) {
        EndPass(group);
      }
      group.m_isInPass = false;
      if (group.m_streams.empty()) {
        return;
      }
      group.m_passEndsAt = std::max(group.m_passEndsAt, now) + PassTime(group);
      group.m_isInPass = true;
    }
  }

  // Reads and writes for one pass; returns its time.
  double PassTime(Group& aGroup)
  {
    double writers = 0;
    for (Stream& stream : aGroup.m_streams) {
      stream.m_isInTransit = false;
      writers += stream.m_pendingPromptTokens == 0 ? 1 : 0;
    }
    const uint32_t steps = writers > 0 ? m_engine.m_tokensPerPass : 1;
    double time = 0;
    for (uint32_t step = 0; step < steps; ++step) {
      uint32_t left = m_engine.m_prefillChunkTokens;
      for (Stream& stream : aGroup.m_streams) {
        const uint32_t read = std::min(left, stream.m_pendingPromptTokens);
        stream.m_pendingPromptTokens -= read;
        left -= read;
      }
      time += m_engine.m_stepMillis + m_engine.m_stepMillisPerDecode * writers +
              (m_engine.m_prefillChunkTokens - left) /
                m_engine.m_prefillTokensPerMilli;
    }
    return time;
  }

  void EndPass(Group& aGroup)
  {
    for (auto stream = aGroup.m_streams.begin();
         stream != aGroup.m_streams.end();) {
      const bool isWriting =
        stream->m_pendingPromptTokens == 0 && !stream->m_isInTransit;
      if (isWriting && WriteEvent(*stream, aGroup.m_passEndsAt)) {
        stream = aGroup.m_streams.erase(stream);
      } else {
        ++stream;
      }
    }
  }

  // Returns whether the stream has ended with this event.
  bool WriteEvent(Stream& aStream, double aAt)
  {
    BackendTable& book = m_tables[aStream.m_node];
    if (aStream.m_firstMillis == 0) {
      aStream.m_firstMillis = aAt - aStream.m_arrivedAt;
    } else {
      aStream.m_pauseMillis =
        std::max(aStream.m_pauseMillis, aAt - aStream.m_lastEventAt);
    }
    aStream.m_lastEventAt = aAt;
    if (!aStream.m_hasBegun) {
      aStream.m_hasBegun = true;
      book.RecordAnswerStarted(m_now, aStream.m_slot, ReportedTokens(aStream));
    } else {
      book.RecordProgress(m_now, aStream.m_slot);
    }
    if (--aStream.m_eventsLeft > 0) {
      return false;
    }
    book.RecordEnded(aStream.m_slot, true, ReportedTokens(aStream));
    m_result.m_firstMillis.push_back(aStream.m_firstMillis);
    m_result.m_pauseMillis.push_back(aStream.m_pauseMillis);
    return true;
  }

  ReplayEngine m_engine;
  ReplayOptions m_options;
  std::mt19937 m_random;
  std::vector<Group> m_groups;
  std::deque<BackendTable> m_tables;
  ReplayResult m_result;
  Millis m_now;
};

} // namespace briarglade
