// Fake backend servers and callers in virtual time, around the routing reducers
// of several nodes or around a baseline in their place. For the measurement
// programs of routing only.
//
// A fake group streams tokens, queues what exceeds its limit, slows down as it
// fills, and falls over when it is cold and gets more than it bears.
//
// Example:
//   FakeFleet fleet(spec, callers, MakeReducer);
//   fleet.At(Millis(60'000), [&] { fleet.StopZone(ZoneId("zone-0"), true); });
//   fleet.Run(Millis(120'000));

#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "briarglade/base/overloaded.h"
#include "briarglade/routing/cold_start.h"
#include "briarglade/routing/reduce_routing.h"

namespace briarglade::bench {

// One node's routing: the reducer, or a baseline over the same events.
using NodeRouting =
  std::function<RoutingEffects(Millis aNow, const RoutingEvent& aEvent)>;
using MakeRouting =
  std::function<NodeRouting(const NodeId& aNode, const ZoneId& aZone)>;

// Returns the reducer as one node runs it.
inline NodeRouting MakeReducer(const NodeId& aNode, const ZoneId& aZone)
{
  auto state = std::make_shared<RoutingState>(aNode, aZone);
  return [state](Millis aNow, const RoutingEvent& aEvent) {
    return ReduceRouting(*state, aNow, aEvent);
  };
}

struct FleetSpec
{
  uint32_t m_nodes = 9;
  uint32_t m_zones = 3;
  uint32_t m_groups = 16;
  // Servers of the plain service; none if zero.
  uint32_t m_services = 0;
  uint32_t m_requestLimit = 16;
  uint32_t m_coldLimit = 2;
  Millis m_warmUp = Millis(60'000);
  Millis m_reportPeriod = Millis(500);
  Millis m_reportAge = Millis(500);
  // Time to the first token, and of one more token, at an idle group.
  Millis m_prefill = Millis(80);
  Millis m_step = Millis(20);
  // How much longer both take at a full group, in parts.
  double m_slowdown = 0.5;
  uint32_t m_meanTokens = 120;
  Millis m_serviceTime = Millis(50);
  Millis m_restartTime = Millis(10'000);
  // Time until the loss of a group is told to the nodes.
  Millis m_detectTime = Millis(2'000);
  uint64_t m_seed = 1;

  // Returns the mean time for which a request holds a slot of a full group.
  double MeanHoldMillis() const
  {
    const double idle = static_cast<double>(m_prefill.Count()) +
                        static_cast<double>(m_step.Count()) * m_meanTokens;
    return idle * (1 + m_slowdown);
  }
  // Returns the requests a second that all groups carry together.
  double Capacity() const
  {
    return 1000.0 * m_groups * m_requestLimit / MeanHoldMillis();
  }
};

struct CallerSpec
{
  AccountId m_account;
  uint32_t m_share = 1;
  // Requests a second.
  double m_rate = 1;
  // The part of the requests that are non-idempotent calls of the service.
  double m_bookings = 0;
  Millis m_timeout = Millis(30'000);
};

// What became of one request.
struct Sample
{
  size_t m_caller = 0;
  Millis m_arrivedAt;
  Millis m_finishedAt;
  // From the arrival to the first token; negative: none came.
  Millis m_firstToken = Millis(-1);
  Millis m_timeout;
  ResultCode m_code = ResultCode::Internal;
  bool m_booking = false;
  // How often a backend server began to run it.
  uint32_t m_runs = 0;
  // Refused although more than a tenth of the open capacity was free.
  bool m_hadRoom = false;
};

class FakeFleet
{
public:
  FakeFleet(const FleetSpec& aSpec,
            std::vector<CallerSpec> aCallers,
            const MakeRouting& aMakeRouting)
    : m_spec(aSpec)
    , m_callers(std::move(aCallers))
    , m_random(aSpec.m_seed)
  {
    m_nextArrival.resize(m_callers.size());
    MakeServers();
    MakeNodes(aMakeRouting);
  }

  // Runs until every request is finished; callers send until the instant.
  void Run(Millis aUntil)
  {
    constexpr Millis kRest = Millis(60'000);
    for (size_t caller = 0; caller < m_callers.size(); ++caller) {
      ScheduleArrival(caller, aUntil);
    }
    PublishAll(aUntil + kRest);
    TickAll(aUntil + kRest);
    while (!m_queue.empty()) {
      const Pending next = m_queue.top();
      m_queue.pop();
      m_now = next.m_at;
      next.m_run();
    }
  }

  // Does something at an instant.
  void At(Millis aAt, std::function<void()> aRun)
  {
    m_queue.push(Pending{ aAt, ++m_sequence, std::move(aRun) });
  }

  // Tells every node of the zones, each after up to a second.
  void SetZones(const std::map<ZoneId, ZoneState>& aZones)
  {
    constexpr uint64_t kSpreadMillis = 1'000;
    m_zones = aZones;
    for (size_t node = 0; node < m_nodes.size(); ++node) {
      const Millis delay(static_cast<int64_t>(m_random() % kSpreadMillis));
      At(m_now + delay,
         [this, node, aZones] { Tell(node, RoutingZones{ aZones }); });
    }
  }

  // Stops every server of a zone. Dark: connections hang; else they break.
  void StopZone(const ZoneId& aZone, bool aDark)
  {
    for (size_t server = 0; server < m_servers.size(); ++server) {
      if (m_servers[server].m_route.m_zone == aZone) {
        Stop(server, aDark);
      }
    }
  }

  // Starts the servers of a zone again, cold.
  void StartZone(const ZoneId& aZone)
  {
    for (Server& server : m_servers) {
      if (server.m_route.m_zone == aZone) {
        StartServer(server);
      }
    }
  }

  // Returns every finished request, in the order of their ends.
  const std::vector<Sample>& Samples() const { return m_samples; }
  // Returns the requests that were never finished; a fault if not zero.
  size_t Unfinished() const { return m_requests.size(); }
  // Returns how often a cold server got more than it bears.
  uint64_t ColdCrashes() const { return m_coldCrashes; }
  uint64_t Attempts() const { return m_attempts; }
  // Returns the mean over time of the largest load over the mean load.
  double PeakToMean() const
  {
    return m_peakSum / static_cast<double>(std::max<uint64_t>(1, m_peaks));
  }

private:
  struct Pending
  {
    Millis m_at;
    uint64_t m_sequence;
    std::function<void()> m_run;
    // Orders the queue by time, earliest on top.
    bool operator<(const Pending& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at
                                 : m_sequence > aOther.m_sequence;
    }
  };
  struct Exchange
  {
    size_t m_node = 0;
    size_t m_server = 0;
    RequestId m_request;
    bool m_running = false;
    // The server went dark; nothing more comes.
    bool m_frozen = false;
    Millis m_beganAt;
    Millis m_step = Millis(1);
    uint32_t m_resumeAfter = 0;
  };
  struct Server
  {
    Route m_route;
    bool m_up = true;
    bool m_dark = false;
    Millis m_startedAt = Millis(-10'000'000);
    uint32_t m_boot = 1;
    std::set<AttemptId> m_running;
    std::deque<AttemptId> m_waiting;

    uint32_t Load() const
    {
      return static_cast<uint32_t>(m_running.size() + m_waiting.size());
    }
  };
  struct Request
  {
    Sample m_sample;
    uint32_t m_tokens = 0;
  };

  ZoneId Zone(uint32_t aIndex) const
  {
    return ZoneId("zone-" + std::to_string(aIndex % m_spec.m_zones));
  }

  void MakeServers()
  {
    constexpr uint32_t kGroupsInDomain = 2;
    for (uint32_t i = 0; i < m_spec.m_groups + m_spec.m_services; ++i) {
      const bool isService = i >= m_spec.m_groups;
      Route route;
      route.m_group =
        GroupId((isService ? "desk-" : "group-") + std::to_string(i));
      route.m_zone = Zone(i);
      route.m_domain =
        DomainId(route.m_zone.Value() + "-" +
                 std::to_string(i / m_spec.m_zones / kGroupsInDomain));
      if (isService) {
        route.m_target.m_service = ServiceId("desk");
      } else {
        route.m_target.m_model = ModelId("model");
      }
      route.m_requestLimit = m_spec.m_requestLimit;
      route.m_coldLimit = m_spec.m_coldLimit;
      route.m_warmUp = m_spec.m_warmUp;
      m_serverByGroup[route.m_group] = m_servers.size();
      m_servers.emplace_back().m_route = route;
    }
  }

  void MakeNodes(const MakeRouting& aMakeRouting)
  {
    std::vector<NodeId> roster;
    for (uint32_t i = 0; i < m_spec.m_nodes; ++i) {
      roster.emplace_back("node-" + std::to_string(i));
    }
    RoutingAccounts accounts;
    for (const CallerSpec& caller : m_callers) {
      accounts.m_accounts[caller.m_account].m_share = caller.m_share;
    }
    RoutesChanged routes;
    for (const Server& server : m_servers) {
      routes.m_changed.push_back(Report(server));
    }
    for (uint32_t i = 0; i < m_spec.m_nodes; ++i) {
      m_nodes.push_back(aMakeRouting(roster[i], Zone(i)));
      Tell(i, RoutingRoster{ 1, roster });
      Tell(i, accounts);
      Tell(i, RoutingConfirmation{ true });
      Tell(i, routes);
    }
  }

  Route Report(const Server& aServer) const
  {
    Route route = aServer.m_route;
    route.m_complete = aServer.m_up;
    route.m_boot = BootId(std::to_string(aServer.m_boot));
    route.m_uptime = m_now - aServer.m_startedAt;
    route.m_load = aServer.Load();
    route.m_reportedAt = m_now;
    return route;
  }

  // Publishes a server's state, which reaches the nodes after the delay.
  void Publish(const Server& aServer, Millis aDelay)
  {
    Route route = Report(aServer);
    route.m_reportedAt += aDelay;
    route.m_loadAge = aDelay;
    route.m_uptime += aDelay;
    At(m_now + aDelay, [this, route] {
      for (size_t node = 0; node < m_nodes.size(); ++node) {
        Tell(node, RoutesChanged{ { route }, {} });
      }
    });
  }

  void PublishAll(Millis aUntil)
  {
    for (const Server& server : m_servers) {
      if (server.m_up) {
        Publish(server, m_spec.m_reportAge);
      }
    }
    NotePeak();
    if (m_now + m_spec.m_reportPeriod < aUntil) {
      At(m_now + m_spec.m_reportPeriod, [this, aUntil] { PublishAll(aUntil); });
    }
  }

  void NotePeak()
  {
    constexpr Millis kSettleTime = Millis(20'000);
    uint32_t peak = 0;
    uint32_t sum = 0;
    for (uint32_t i = 0; i < m_spec.m_groups; ++i) {
      peak = std::max(peak, m_servers[i].Load());
      sum += m_servers[i].Load();
    }
    if (m_now > kSettleTime && sum > m_spec.m_groups) {
      m_peakSum += static_cast<double>(peak) * m_spec.m_groups / sum;
      ++m_peaks;
    }
  }

  void TickAll(Millis aUntil)
  {
    constexpr Millis kTick = Millis(50);
    for (size_t node = 0; node < m_nodes.size(); ++node) {
      Tell(node, RoutingTick{});
    }
    if (m_now + kTick < aUntil) {
      At(m_now + kTick, [this, aUntil] { TickAll(aUntil); });
    }
  }

  void ScheduleArrival(size_t aCaller, Millis aUntil)
  {
    std::exponential_distribution<double> gap(m_callers[aCaller].m_rate /
                                              1000.0);
    m_nextArrival[aCaller] += gap(m_random);
    const Millis next(static_cast<int64_t>(m_nextArrival[aCaller]));
    if (next < aUntil) {
      At(next, [this, aCaller, aUntil] {
        Arrive(aCaller);
        ScheduleArrival(aCaller, aUntil);
      });
    }
  }

  void Arrive(size_t aCaller)
  {
    const CallerSpec& caller = m_callers[aCaller];
    std::uniform_real_distribution<double> uniform(0, 1);
    std::exponential_distribution<double> tokens(1.0 / m_spec.m_meanTokens);
    Request request;
    request.m_tokens = 1 + static_cast<uint32_t>(tokens(m_random));
    Sample& sample = request.m_sample;
    sample.m_caller = aCaller;
    sample.m_arrivedAt = m_now;
    sample.m_timeout = caller.m_timeout;
    sample.m_booking = uniform(m_random) < caller.m_bookings;

    RequestArrived arrived;
    arrived.m_request = RequestId("r" + std::to_string(++m_requestCount));
    arrived.m_account = caller.m_account;
    arrived.m_class = ClassId("default");
    arrived.m_fingerprint = Fingerprint(m_requestCount);
    arrived.m_deadline = m_now + caller.m_timeout;
    arrived.m_idempotent = !sample.m_booking;
    arrived.m_streaming = !sample.m_booking;
    if (sample.m_booking) {
      arrived.m_target.m_service = ServiceId("desk");
    } else {
      arrived.m_target.m_model = ModelId("model");
    }
    m_requests[arrived.m_request] = request;
    Tell(m_random() % m_nodes.size(), arrived);
  }

  void Tell(size_t aNode, const RoutingEvent& aEvent)
  {
    for (const RoutingEffect& effect : m_nodes[aNode](m_now, aEvent)) {
      std::visit(
        Overloaded{
          [&](const StartAttempt& aStart) { Start(aNode, aStart); },
          [&](const CancelAttempt& aCancel) {
            EndSoon(aCancel.m_attempt, ExchangeEnd::Cancelled);
          },
          [&](const FinishRequest& aFinish) { Finish(aFinish); },
          [&](const SendCrashNotice& aSend) { Spread(aNode, aSend.m_notice); },
          [](const LogEvent&) {} },
        effect);
    }
  }

  void Spread(size_t aFrom, const CrashNotice& aNotice)
  {
    constexpr Millis kSpreadTime = Millis(20);
    At(m_now + kSpreadTime, [this, aFrom, aNotice] {
      for (size_t node = 0; node < m_nodes.size(); ++node) {
        if (node != aFrom) {
          Tell(node, aNotice);
        }
      }
    });
  }

  void Start(size_t aNode, const StartAttempt& aStart)
  {
    constexpr Millis kNetworkTime = Millis(1);
    ++m_attempts;
    Exchange& exchange = m_exchanges[aStart.m_attempt];
    exchange.m_node = aNode;
    exchange.m_server = m_serverByGroup.at(aStart.m_group);
    exchange.m_request = aStart.m_request;
    exchange.m_resumeAfter = aStart.m_resumeAfterTokens;
    const AttemptId attempt = aStart.m_attempt;
    At(m_now + kNetworkTime, [this, attempt] { Accept(attempt); });
    At(aStart.m_deadline,
       [this, attempt] { EndExchange(attempt, ExchangeEnd::Timeout); });
  }

  void Accept(const AttemptId& aAttempt)
  {
    const auto found = m_exchanges.find(aAttempt);
    if (found == m_exchanges.end()) {
      return;
    }
    Server& server = m_servers[found->second.m_server];
    if (!server.m_up) {
      if (!server.m_dark) {
        EndExchange(aAttempt, ExchangeEnd::ConnectRefused);
      }
      return;
    }
    server.m_waiting.push_back(aAttempt);
    const Millis uptime = m_now - server.m_startedAt;
    if (uptime < m_spec.m_warmUp &&
        server.Load() > FleetAdmissionLimit(server.m_route, uptime)) {
      ++m_coldCrashes;
      Crash(found->second.m_server);
      return;
    }
    ServeNext(server);
  }

  void ServeNext(Server& aServer)
  {
    while (!aServer.m_waiting.empty() &&
           aServer.m_running.size() < m_spec.m_requestLimit) {
      const AttemptId attempt = aServer.m_waiting.front();
      aServer.m_waiting.pop_front();
      aServer.m_running.insert(attempt);
      Begin(attempt);
    }
  }

  void Begin(const AttemptId& aAttempt)
  {
    Exchange& exchange = m_exchanges[aAttempt];
    Request& request = m_requests[exchange.m_request];
    const Server& server = m_servers[exchange.m_server];
    const double fullness =
      static_cast<double>(server.m_running.size()) / m_spec.m_requestLimit;
    const double factor = 1 + m_spec.m_slowdown * fullness;
    const auto scaled = [factor](Millis aTime) {
      const double slowed = factor * static_cast<double>(aTime.Count());
      return Millis(static_cast<int64_t>(slowed));
    };
    ++request.m_sample.m_runs;
    exchange.m_running = true;
    if (request.m_sample.m_booking) {
      exchange.m_beganAt = m_now + scaled(m_spec.m_serviceTime);
      At(exchange.m_beganAt, [this, aAttempt] { Complete(aAttempt); });
      return;
    }
    exchange.m_beganAt = m_now + scaled(m_spec.m_prefill);
    exchange.m_step = scaled(m_spec.m_step);
    const uint32_t left =
      request.m_tokens - std::min(request.m_tokens, exchange.m_resumeAfter);
    At(exchange.m_beganAt, [this, aAttempt] { FirstToken(aAttempt); });
    At(exchange.m_beganAt + exchange.m_step * left,
       [this, aAttempt] { Complete(aAttempt); });
  }

  void FirstToken(const AttemptId& aAttempt)
  {
    const auto found = m_exchanges.find(aAttempt);
    if (found == m_exchanges.end() || found->second.m_frozen) {
      return;
    }
    Sample& sample = m_requests[found->second.m_request].m_sample;
    if (sample.m_firstToken < Millis()) {
      sample.m_firstToken = m_now - sample.m_arrivedAt;
    }
    Tell(found->second.m_node, AttemptAnswerBegan{ aAttempt });
  }

  void Complete(const AttemptId& aAttempt)
  {
    const auto found = m_exchanges.find(aAttempt);
    if (found != m_exchanges.end() && !found->second.m_frozen) {
      EndExchange(aAttempt, ExchangeEnd::Whole);
    }
  }

  uint32_t TokensOf(const Exchange& aExchange)
  {
    const Request& request = m_requests[aExchange.m_request];
    if (!aExchange.m_running || m_now < aExchange.m_beganAt ||
        request.m_sample.m_booking) {
      return aExchange.m_resumeAfter;
    }
    const int64_t streamed =
      (m_now - aExchange.m_beganAt).Count() / aExchange.m_step.Count();
    return std::min(request.m_tokens,
                    aExchange.m_resumeAfter + static_cast<uint32_t>(streamed));
  }

  // Ends an exchange after the present event.
  void EndSoon(const AttemptId& aAttempt, ExchangeEnd aEnd)
  {
    At(m_now, [this, aAttempt, aEnd] { EndExchange(aAttempt, aEnd); });
  }

  void EndExchange(const AttemptId& aAttempt, ExchangeEnd aEnd)
  {
    constexpr uint16_t kHttpOk = 200;
    const auto found = m_exchanges.find(aAttempt);
    if (found == m_exchanges.end()) {
      return;
    }
    const Exchange exchange = found->second;
    AttemptEnded ended;
    ended.m_attempt = aAttempt;
    ended.m_end = aEnd;
    ended.m_status = aEnd == ExchangeEnd::Whole ? kHttpOk : 0;
    ended.m_tokensDelivered = TokensOf(exchange);
    m_exchanges.erase(found);
    Server& server = m_servers[exchange.m_server];
    server.m_running.erase(aAttempt);
    const auto waiting =
      std::find(server.m_waiting.begin(), server.m_waiting.end(), aAttempt);
    if (waiting != server.m_waiting.end()) {
      server.m_waiting.erase(waiting);
    }
    ServeNext(server);
    Tell(exchange.m_node, ended);
  }

  void Finish(const FinishRequest& aFinish)
  {
    const auto found = m_requests.find(aFinish.m_request);
    Sample sample = found->second.m_sample;
    sample.m_finishedAt = m_now;
    sample.m_code = aFinish.m_code;
    const Outcome outcome = DescribeResultCode(aFinish.m_code).m_outcome;
    sample.m_hadRoom = outcome == Outcome::NotRun && HasRoom(sample.m_booking);
    m_samples.push_back(sample);
    m_requests.erase(found);
  }

  bool HasRoom(bool aService) const
  {
    constexpr uint64_t kParts = 10;
    uint64_t load = 0;
    uint64_t limit = 0;
    for (const Server& server : m_servers) {
      const auto zone = m_zones.find(server.m_route.m_zone);
      const bool isOut =
        zone != m_zones.end() && zone->second == ZoneState::Out;
      const bool isService = server.m_route.m_target.m_model.IsEmpty();
      if (server.m_up && !isOut && isService == aService) {
        load += server.Load();
        limit +=
          FleetAdmissionLimit(server.m_route, m_now - server.m_startedAt);
      }
    }
    return load * kParts < limit * (kParts - 1);
  }

  void Crash(size_t aServer)
  {
    Stop(aServer, false);
    At(m_now + m_spec.m_restartTime,
       [this, aServer] { StartServer(m_servers[aServer]); });
  }

  void Stop(size_t aServer, bool aDark)
  {
    Server& server = m_servers[aServer];
    server.m_up = false;
    server.m_dark = aDark;
    std::vector<AttemptId> open(server.m_running.begin(),
                                server.m_running.end());
    open.insert(open.end(), server.m_waiting.begin(), server.m_waiting.end());
    for (const AttemptId& attempt : open) {
      Break(attempt, aDark);
    }
    server.m_running.clear();
    server.m_waiting.clear();
    At(m_now + m_spec.m_detectTime, [this, aServer] {
      if (!m_servers[aServer].m_up) {
        Publish(m_servers[aServer], Millis());
      }
    });
  }

  // Breaks an exchange, or leaves it hanging at a dark server.
  void Break(const AttemptId& aAttempt, bool aDark)
  {
    Exchange& exchange = m_exchanges[aAttempt];
    const bool began = exchange.m_running && m_now >= exchange.m_beganAt;
    exchange.m_resumeAfter = TokensOf(exchange);
    exchange.m_running = false;
    exchange.m_frozen = true;
    if (!aDark) {
      EndSoon(aAttempt,
              began ? ExchangeEnd::Truncated : ExchangeEnd::ResetBeforeAnswer);
    }
  }

  void StartServer(Server& aServer)
  {
    aServer.m_up = true;
    aServer.m_dark = false;
    aServer.m_startedAt = m_now;
    ++aServer.m_boot;
  }

  FleetSpec m_spec;
  std::vector<CallerSpec> m_callers;
  std::mt19937_64 m_random;
  Millis m_now;
  uint64_t m_sequence = 0;
  std::priority_queue<Pending> m_queue;
  std::vector<NodeRouting> m_nodes;
  std::vector<Server> m_servers;
  std::unordered_map<GroupId, size_t> m_serverByGroup;
  std::map<ZoneId, ZoneState> m_zones;
  std::unordered_map<AttemptId, Exchange> m_exchanges;
  std::unordered_map<RequestId, Request> m_requests;
  std::vector<double> m_nextArrival;
  std::vector<Sample> m_samples;
  uint64_t m_requestCount = 0;
  uint64_t m_coldCrashes = 0;
  uint64_t m_attempts = 0;
  double m_peakSum = 0;
  uint64_t m_peaks = 0;
};

} // namespace briarglade::bench
