// A replay of an overload in virtual time, for the tests of this folder: many
// nodes, each with the whole gateway, send streams to a few model groups. The
// groups process prompts in chunks between token steps and have a queue beyond
// their slots. The nodes learn of each other's load late. Refused callers
// return after the time that they were given, if they have time left.

#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "briarglade/gateway/gateway.h"

namespace briarglade {

// One route's requests.
struct OverloadKind
{
  int32_t m_priority = 0;
  // The mean number of events; the actual number is up to a half more or less.
  uint32_t m_events = 1;
};

struct OverloadOptions
{
  uint32_t m_nodes = 65;
  uint32_t m_zones = 3;
  uint32_t m_groups = 13;
  uint32_t m_slots = 34;
  // The engine's times: milliseconds of a token step and its addition for each
  // running request, prompt tokens processed per millisecond and their maximum
  // per step, token steps in a pass. m_pace is a factor on all times.
  double m_stepMillis = 6.07;
  double m_stepMillisPerRequest = 0.241;
  double m_promptTokensPerMilli = 46;
  uint32_t m_chunkTokens = 2'048;
  uint32_t m_stepsPerPass = 5;
  double m_pace = 0.6;
  // From the arrival of a request at a server until the engine knows of it. Not
  // part of the stated times.
  Millis m_fixedDelay = Millis(120);
  // Time to the first event, and longest pause between two events, of a request
  // that is on time.
  Millis m_goal = Millis(250);
  Millis m_gapGoal = Millis(200);
  // Prompts: logarithm of the median, its deviation, and the maximum. The mean
  // is about 674 tokens.
  double m_promptLogMedian = 6.28;
  double m_promptLogDeviation = 0.7;
  double m_maxPromptTokens = 2'340;
  std::vector<OverloadKind> m_kinds = { { 0, 11 }, { 1, 35 } };
  // The offered requests as a multiple of what the groups can run.
  double m_overload = 1;
  // From m_surgeAt on, m_surgeFactor times as many arrive.
  double m_surgeFactor = 1;
  Millis m_surgeAt = Millis(5'000);
  Millis m_surgeLength = Millis(3'000);
  // Loads of other nodes are this old when they arrive, and arrive this often.
  Millis m_reportAge = Millis(250);
  Millis m_reportPeriod = Millis(100);
  // Requests that arrive after m_warmUp and before m_length count.
  Millis m_warmUp = Millis(4'000);
  Millis m_length = Millis(14'000);
  // How long callers wait in total, with their returns.
  Millis m_patience = Millis(5'000);
  // Whether the configuration states the engine's times.
  bool m_statesTimes = true;
  uint32_t m_seed = 1;
};

// Requests of one kind, account or size and what became of them.
struct OverloadCount
{
  uint32_t m_offered = 0;
  uint32_t m_onTime = 0;
  uint32_t m_late = 0;
  uint32_t m_refused = 0;
  uint32_t m_timedOut = 0;

  uint32_t Served() const { return m_onTime + m_late; }
  double ServedFraction() const
  {
    return static_cast<double>(Served()) / std::max<uint32_t>(1, m_offered);
  }
  void Add(const OverloadCount& aOther)
  {
    m_offered += aOther.m_offered;
    m_onTime += aOther.m_onTime;
    m_late += aOther.m_late;
    m_refused += aOther.m_refused;
    m_timedOut += aOther.m_timedOut;
  }
};

struct OverloadResult
{
  OverloadCount m_all;
  std::map<std::string, OverloadCount> m_classes;
  // Refusals of all attempts.
  uint32_t m_refusals = 0;
  // Requests of those served that started late, and that paused for too long.
  uint32_t m_lateStarts = 0;
  uint32_t m_longPauses = 0;
  // Sums over all samples, to compute the mean number of requests that run at a
  // group and that wait there.
  double m_samples = 0;
  double m_running = 0;
  double m_queued = 0;
  // The most refused callers that returned in one window of 100 ms, and the
  // mean over all windows with a return.
  uint32_t m_maxReturns = 0;
  double m_meanReturns = 0;
};

class OverloadReplay
{
public:
  explicit OverloadReplay(OverloadOptions aOptions)
    : m_options(std::move(aOptions))
    , m_random(m_options.m_seed)
    , m_nodeRandom(m_options.m_seed)
    , m_groups(m_options.m_groups)
  {
    RosterChanged roster;
    roster.m_validUntil = m_options.m_length * 10;
    roster.m_liveNodeCount = m_options.m_nodes;
    for (uint32_t node = 0; node < m_options.m_nodes; ++node) {
      GatewaySettings settings;
      settings.m_node = NodeId("node-" + std::to_string(node));
      settings.m_zone = ZoneOf(node);
      settings.m_seed = node + m_options.m_seed * 1'000;
      m_nodes.emplace_back(settings);
    }
    for (uint32_t node = 0; node < m_options.m_nodes; ++node) {
      Do(node, roster);
      Do(node, BackendsChanged{ MakeBackends() });
    }
  }

  // Returns the requests per second with which all slots are in use: a request
  // holds a slot for its events' passes, and each pass is lengthened by the
  // prompts that are processed meanwhile.
  double Capacity() const
  {
    constexpr double kMillisPerSecond = 1'000;
    constexpr double kMeanPromptTokens = 674;
    double events = 0;
    for (const OverloadKind& kind : m_options.m_kinds) {
      events += static_cast<double>(kind.m_events) /
                static_cast<double>(m_options.m_kinds.size());
    }
    const double pass = m_options.m_pace * m_options.m_stepsPerPass *
                        (m_options.m_stepMillis +
                         m_options.m_stepMillisPerRequest * m_options.m_slots);
    const double reading =
      m_options.m_pace * kMeanPromptTokens / m_options.m_promptTokensPerMilli;
    const double perGroup =
      m_options.m_slots / (events * pass + m_options.m_slots * reading);
    return perGroup * m_options.m_groups * kMillisPerSecond;
  }

  OverloadResult Run()
  {
    std::exponential_distribution<double> gap(Capacity() *
                                              m_options.m_overload / 1'000);
    double nextArrival = gap(m_random);
    const Millis end = m_options.m_length + m_options.m_patience * 2;
    for (; m_now < end; m_now += Millis(1)) {
      while (nextArrival <= static_cast<double>(m_now.Count())) {
        Arrive();
        nextArrival +=
          gap(m_random) / (IsSurge() ? m_options.m_surgeFactor : 1);
      }
      Return();
      Report();
      if (m_now.Count() % kTickMillis == 0) {
        for (uint32_t node = 0; node < m_options.m_nodes; ++node) {
          Do(node, GatewayTick{});
        }
        for (Group& group : m_groups) {
          EndOverdue(group);
          Sample(group);
        }
      }
      for (Group& group : m_groups) {
        Advance(group);
      }
    }
    CountReturns();
    return m_result;
  }

private:
  // The size that about a tenth of all prompts exceed.
  static constexpr uint32_t kLargePromptTokens = 1'308;
  static constexpr int64_t kTickMillis = 50;
  static constexpr int64_t kReturnWindowMillis = 100;

  // A caller's request over all its attempts.
  struct Caller
  {
    size_t m_kind = 0;
    std::string m_account;
    uint32_t m_promptTokens = 0;
    uint32_t m_events = 0;
    Millis m_givesUpAt;
    bool m_isCounted = false;
    Millis m_arrivedAt;
    // That of the current attempt.
    uint32_t m_node = 0;
  };
  struct Stream
  {
    uint64_t m_handle = 0;
    uint32_t m_pendingPromptTokens = 0;
    uint32_t m_eventsLeft = 0;
    // When the engine knows of it.
    Millis m_readyAt;
    bool m_isInPass = false;
    double m_firstAt = 0;
    double m_lastEventAt = 0;
    double m_longestPause = 0;
  };
  struct Group
  {
    std::deque<Stream> m_streams;
    double m_passEndsAt = 0;
    bool m_isInPass = false;
  };
  using Loads = std::vector<std::vector<ServerLoad>>;

  bool IsSurge() const
  {
    return m_now >= m_options.m_surgeAt &&
           m_now < m_options.m_surgeAt + m_options.m_surgeLength;
  }

  ZoneId ZoneOf(uint32_t aNumber) const
  {
    return ZoneId("zone-" + std::to_string(aNumber % m_options.m_zones));
  }

  std::vector<Backend> MakeBackends() const
  {
    constexpr double kMillisPerSecond = 1'000;
    EngineSpec engine;
    engine.m_slots = m_options.m_slots;
    engine.m_stepMillis = m_options.m_stepMillis;
    engine.m_stepMillisPerRequest = m_options.m_stepMillisPerRequest;
    engine.m_prefillTokensPerSecond =
      m_options.m_promptTokensPerMilli * kMillisPerSecond;
    engine.m_prefillChunkTokens = m_options.m_chunkTokens;
    engine.m_stepsPerPass = m_options.m_stepsPerPass;
    std::vector<Backend> backends;
    for (uint32_t group = 0; group < m_options.m_groups; ++group) {
      Backend backend;
      backend.m_server = HostId(std::to_string(group));
      backend.m_group = GroupId("group-" + std::to_string(group));
      backend.m_service = ServiceId("models");
      backend.m_model = ModelId("m");
      backend.m_zone = ZoneOf(group);
      backend.m_slots = m_options.m_slots;
      backend.m_maxPassTime = engine.MaxPassTime(m_options.m_pace);
      if (m_options.m_statesTimes) {
        backend.m_times = MakeTimes();
      }
      backends.push_back(backend);
    }
    return backends;
  }

  EngineTimes MakeTimes() const
  {
    EngineTimes times;
    times.m_stepMillis = m_options.m_stepMillis;
    times.m_stepMillisPerRequest = m_options.m_stepMillisPerRequest;
    times.m_prefillTokensPerMilli = m_options.m_promptTokensPerMilli;
    times.m_prefillChunkTokens = m_options.m_chunkTokens;
    times.m_stepsPerPass = m_options.m_stepsPerPass;
    times.m_gapGoal = m_options.m_gapGoal;
    return times.MultipliedBy(m_options.m_pace);
  }

  void Do(uint32_t aNode, const GatewayEvent& aEvent)
  {
    for (const GatewayEffect& effect :
         ReduceGateway(m_nodes[aNode], m_now, aEvent)) {
      if (const auto* send = std::get_if<SendToServer>(&effect)) {
        const Caller& caller = m_callers.at(send->m_handle.Value());
        Stream stream;
        stream.m_handle = send->m_handle.Value();
        stream.m_pendingPromptTokens = caller.m_promptTokens;
        stream.m_eventsLeft = caller.m_events;
        stream.m_readyAt = m_now + m_options.m_fixedDelay;
        m_groups[std::stoul(send->m_server.Value())].m_streams.push_back(
          stream);
      } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        OnRefused(answer->m_handle.Value(), answer->m_retryAfter);
      }
    }
  }

  void Arrive()
  {
    // Half of the requests are of one account.
    constexpr uint32_t kAccountParts = 8;
    std::lognormal_distribution<double> prompt(m_options.m_promptLogMedian,
                                               m_options.m_promptLogDeviation);
    Caller caller;
    caller.m_kind = m_random() % m_options.m_kinds.size();
    const uint32_t events = m_options.m_kinds[caller.m_kind].m_events;
    caller.m_events =
      events - events / 2 + static_cast<uint32_t>(m_random() % (events + 1));
    const auto part = static_cast<uint32_t>(m_random() % kAccountParts);
    caller.m_account =
      part < kAccountParts / 2 ? "large" : "small-" + std::to_string(part);
    caller.m_promptTokens = static_cast<uint32_t>(
      std::min(m_options.m_maxPromptTokens, 1 + prompt(m_random)));
    caller.m_arrivedAt = m_now;
    caller.m_givesUpAt = m_now + m_options.m_patience;
    caller.m_isCounted =
      m_now >= m_options.m_warmUp && m_now < m_options.m_length;
    Count(caller, &OverloadCount::m_offered);
    Send(caller);
  }

  // Adds one to a count of each class that the caller is of.
  void Count(const Caller& aCaller, uint32_t OverloadCount::*aCount)
  {
    if (!aCaller.m_isCounted) {
      return;
    }
    const bool isLarge = aCaller.m_promptTokens > kLargePromptTokens;
    ++(m_result.m_all.*aCount);
    for (const std::string& name :
         { "kind-" + std::to_string(aCaller.m_kind),
           "account-" + aCaller.m_account,
           std::string(isLarge ? "size-large" : "size-other") }) {
      ++(m_result.m_classes[name].*aCount);
    }
  }

  void Send(Caller aCaller)
  {
    aCaller.m_node = static_cast<uint32_t>(m_nodeRandom() % m_options.m_nodes);
    const uint64_t handle = ++m_handles;
    m_callers[handle] = aCaller;
    CallerRequestArrived request;
    request.m_handle = RequestHandle(handle);
    request.m_account = AccountId(aCaller.m_account);
    request.m_service = ServiceId("models");
    request.m_model = ModelId("m");
    request.m_kind = RouteKind::Stream;
    request.m_goal = m_options.m_goal;
    request.m_priority = m_options.m_kinds[aCaller.m_kind].m_priority;
    request.m_deadline = aCaller.m_givesUpAt;
    request.m_answerBy = aCaller.m_givesUpAt;
    request.m_promptTokens = aCaller.m_promptTokens;
    request.m_fingerprint = Fingerprint(handle);
    Do(aCaller.m_node, request);
  }

  // A refused caller returns as told, if that takes at most a third of the time
  // that it has left.
  void OnRefused(uint64_t aHandle, Millis aRetryAfter)
  {
    const auto found = m_callers.find(aHandle);
    if (found == m_callers.end()) {
      return;
    }
    const Caller caller = found->second;
    m_callers.erase(found);
    m_result.m_refusals += caller.m_isCounted ? 1 : 0;
    if (aRetryAfter > Millis() &&
        aRetryAfter <= (caller.m_givesUpAt - m_now) / 3) {
      m_returns.emplace(m_now + aRetryAfter, caller);
    } else {
      Count(caller, &OverloadCount::m_refused);
    }
  }

  void Return()
  {
    while (!m_returns.empty() && m_returns.begin()->first <= m_now) {
      const Caller caller = m_returns.begin()->second;
      m_returns.erase(m_returns.begin());
      if (m_now >= m_options.m_warmUp && m_now < m_options.m_length) {
        ++m_returnsInWindow[m_now.Count() / kReturnWindowMillis];
      }
      Send(caller);
    }
  }

  void CountReturns()
  {
    double sum = 0;
    for (const auto& [window, count] : m_returnsInWindow) {
      m_result.m_maxReturns = std::max(m_result.m_maxReturns, count);
      sum += count;
    }
    m_result.m_meanReturns =
      sum / static_cast<double>(std::max<size_t>(1, m_returnsInWindow.size()));
  }

  // Gives each node what all others had in flight some time ago, one node after
  // the other. The sum of all others is one report, as from a relay.
  void Report()
  {
    const int64_t period = m_options.m_reportPeriod.Count();
    if (m_now.Count() % period == 0) {
      Loads loads;
      for (const GatewayState& node : m_nodes) {
        loads.push_back(node.m_backendTable.OwnLoad());
      }
      m_reports.emplace_back(m_now + m_options.m_reportAge, std::move(loads));
    }
    while (m_reports.size() > 1 && m_reports[1].first <= m_now) {
      m_reports.pop_front();
    }
    if (m_reports.front().first > m_now) {
      return;
    }
    for (uint32_t node = 0; node < m_options.m_nodes; ++node) {
      if (m_now.Count() % period == period * node / m_options.m_nodes) {
        ReportTo(node);
      }
    }
  }

  void ReportTo(uint32_t aNode)
  {
    std::map<HostId, ServerLoad> sums;
    const Loads& loads = m_reports.front().second;
    for (uint32_t other = 0; other < m_options.m_nodes; ++other) {
      for (const ServerLoad& load : loads[other]) {
        ServerLoad& sum = sums[load.m_server];
        sum.m_server = load.m_server;
        sum.m_inFlight += other == aNode ? 0 : load.m_inFlight;
        sum.m_pendingPromptTokens +=
          other == aNode ? 0 : load.m_pendingPromptTokens;
      }
    }
    PeerLoad report;
    for (const auto& [server, sum] : sums) {
      report.m_loads.push_back(sum);
    }
    Do(aNode, report);
  }

  void Sample(const Group& aGroup)
  {
    if (m_now >= m_options.m_warmUp && m_now < m_options.m_length) {
      const size_t count = aGroup.m_streams.size();
      const size_t running = std::min<size_t>(count, m_options.m_slots);
      ++m_result.m_samples;
      m_result.m_running += static_cast<double>(running);
      m_result.m_queued += static_cast<double>(count - running);
    }
  }

  void Advance(Group& aGroup)
  {
    const auto now = static_cast<double>(m_now.Count());
    while (!aGroup.m_isInPass || aGroup.m_passEndsAt <= now) {
      if (aGroup.m_isInPass) {
        EndPass(aGroup);
      }
      aGroup.m_isInPass = false;
      const double time = PassTime(aGroup);
      if (time == 0) {
        return;
      }
      aGroup.m_passEndsAt = std::max(aGroup.m_passEndsAt, now) + time;
      aGroup.m_isInPass = true;
    }
  }

  // Ends the exchanges whose callers no longer wait.
  void EndOverdue(Group& aGroup)
  {
    for (size_t i = 0; i < aGroup.m_streams.size();) {
      const uint64_t handle = aGroup.m_streams[i].m_handle;
      if (m_callers.at(handle).m_givesUpAt > m_now) {
        ++i;
        continue;
      }
      aGroup.m_streams.erase(aGroup.m_streams.begin() +
                             static_cast<std::ptrdiff_t>(i));
      Count(m_callers.at(handle), &OverloadCount::m_timedOut);
      End(handle, ExchangeEnd::Timeout, 0);
    }
  }

  void End(uint64_t aHandle, ExchangeEnd aEnd, uint16_t aStatus)
  {
    const uint32_t node = m_callers.at(aHandle).m_node;
    m_callers.erase(aHandle);
    ExchangeEnded ended;
    ended.m_handle = RequestHandle(aHandle);
    ended.m_end = aEnd;
    ended.m_status = aStatus;
    ended.m_answerBegan = aEnd == ExchangeEnd::Whole;
    Do(node, ended);
  }

  // Processes prompts and generates tokens for one pass; returns its time, or
  // zero if the engine has no work.
  double PassTime(Group& aGroup)
  {
    size_t running = 0;
    size_t writers = 0;
    for (Stream& stream : aGroup.m_streams) {
      if (running == m_options.m_slots || stream.m_readyAt > m_now) {
        break;
      }
      ++running;
      stream.m_isInPass = true;
      writers += stream.m_pendingPromptTokens == 0 ? 1 : 0;
    }
    if (running == 0) {
      return 0;
    }
    const uint32_t steps = writers > 0 ? m_options.m_stepsPerPass : 1;
    double time = 0;
    for (uint32_t step = 0; step < steps; ++step) {
      uint32_t left = m_options.m_chunkTokens;
      for (size_t i = 0; i < running; ++i) {
        uint32_t& pending = aGroup.m_streams[i].m_pendingPromptTokens;
        const uint32_t read = std::min(left, pending);
        pending -= read;
        left -= read;
      }
      time +=
        m_options.m_stepMillis +
        m_options.m_stepMillisPerRequest * static_cast<double>(writers) +
        (m_options.m_chunkTokens - left) / m_options.m_promptTokensPerMilli;
    }
    return time * m_options.m_pace;
  }

  void EndPass(Group& aGroup)
  {
    const double at = aGroup.m_passEndsAt;
    // An event of one stream may let its node send another one here.
    std::vector<uint64_t> progressed;
    std::vector<Stream> ended;
    for (size_t i = 0; i < aGroup.m_streams.size();) {
      Stream& stream = aGroup.m_streams[i];
      if (stream.m_pendingPromptTokens > 0 || !stream.m_isInPass) {
        ++i;
        continue;
      }
      if (stream.m_firstAt == 0) {
        stream.m_firstAt = at;
      } else {
        stream.m_longestPause =
          std::max(stream.m_longestPause, at - stream.m_lastEventAt);
      }
      stream.m_lastEventAt = at;
      progressed.push_back(stream.m_handle);
      if (--stream.m_eventsLeft == 0) {
        ended.push_back(stream);
        aGroup.m_streams.erase(aGroup.m_streams.begin() +
                               static_cast<std::ptrdiff_t>(i));
      } else {
        ++i;
      }
    }
    for (const uint64_t handle : progressed) {
      AnswerProgressed progress;
      progress.m_handle = RequestHandle(handle);
      Do(m_callers.at(handle).m_node, progress);
    }
    for (const Stream& stream : ended) {
      CountServed(stream);
      End(stream.m_handle, ExchangeEnd::Whole, 200);
    }
  }

  // The time to the first event counts from the first attempt, so that refusals
  // can't make a request count as on time.
  void CountServed(const Stream& aStream)
  {
    const Caller& caller = m_callers.at(aStream.m_handle);
    const double first =
      aStream.m_firstAt - static_cast<double>(caller.m_arrivedAt.Count());
    const bool isLateStart =
      first > static_cast<double>(m_options.m_goal.Count());
    const bool isLongPause =
      aStream.m_longestPause > static_cast<double>(m_options.m_gapGoal.Count());
    m_result.m_lateStarts += caller.m_isCounted && isLateStart ? 1 : 0;
    m_result.m_longPauses += caller.m_isCounted && isLongPause ? 1 : 0;
    Count(caller,
          isLateStart || isLongPause ? &OverloadCount::m_late
                                     : &OverloadCount::m_onTime);
  }

  OverloadOptions m_options;
  // Of the arrivals, which are the same whatever the nodes decide.
  std::mt19937 m_random;
  // Of the node that an attempt is sent to.
  std::mt19937 m_nodeRandom;
  std::vector<Group> m_groups;
  std::deque<GatewayState> m_nodes;
  std::unordered_map<uint64_t, Caller> m_callers;
  std::multimap<Millis, Caller> m_returns;
  std::map<int64_t, uint32_t> m_returnsInWindow;
  // What all nodes had in flight, and when that arrives.
  std::deque<std::pair<Millis, Loads>> m_reports;
  uint64_t m_handles = 0;
  OverloadResult m_result;
  Millis m_now;
};

} // namespace briarglade
