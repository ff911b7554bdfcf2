// A lease holder with fake servers in virtual time, for the tests of moves and
// of losses. Work that nodes report reaches the holder late.

#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "briarglade/grouping/fake_servers_test.h"
#include "briarglade/grouping/group_control.h"
#include "briarglade/grouping/work_meter.h"

namespace briarglade {

constexpr Millis kTick = Millis(50);
constexpr Millis kLoadTime = Millis(16'000);
// What the work that nodes report is delayed by on its way to the holder.
constexpr Millis kReportLag = Millis(600);
const ModelId kLarge("large");
const ModelId kSmall("small");

// The servers of a world and its two models.
struct WorldShape
{
  int m_domains = 6;
  int m_hosts = 19;
  uint32_t m_largeSize = 8;
  uint32_t m_smallSize = 4;
  // Concurrent loads beyond which each takes proportionally longer. With zero,
  // loads by joins take the fixed time of FakeServers.
  uint32_t m_loadsAtOnce = 0;
  double m_loadsPerSecond = 8;
  // Requests in flight for each group that the demand needs.
  double m_requestsPerGroup = 1;
};

inline GatewayConfig MakeConfig(const WorldShape& aShape)
{
  EngineSpec engine;
  engine.m_slots = 20;
  engine.m_stepMillis = 10;
  engine.m_stepMillisPerRequest = 0.5;
  engine.m_prefillTokensPerSecond = 20'000;
  engine.m_loadsPerSecond = aShape.m_loadsPerSecond;
  ReplicaModel large;
  large.m_id = kLarge;
  large.m_size = aShape.m_largeSize;
  large.m_share = 0.5;
  large.m_loadTime = kLoadTime;
  ReplicaModel small = large;
  small.m_id = kSmall;
  small.m_size = aShape.m_smallSize;
  small.m_timeFactor = 0.6;
  if (aShape.m_loadsAtOnce > 0) {
    large.m_warmTime = Millis(1'600);
    small.m_loadTime = Millis(12'000);
    small.m_warmTime = Millis(1'100);
  }
  engine.m_models = { large, small };
  ServiceSpec service;
  service.m_id = ServiceId("models");
  service.m_engine = engine;
  GatewayConfig config;
  config.m_services.emplace(service.m_id, service);
  return config;
}

// A lease holder, its servers, the orders in transit and the requested work.
struct MovingWorld
{
  WorldShape m_shape;
  GatewayConfig m_config = MakeConfig(m_shape);
  FakeServers m_servers{ *m_config.m_services.begin()->second.m_engine };
  GroupControl m_control{ NodeId("n1"), 1, ControlBounds() };
  std::mt19937 m_random{ 1 };
  Millis m_now{ 1'000 };
  bool m_hasTraffic = false;
  bool m_isWorkReported = true;
  // Percentage of orders that are carried out late, and without an answer.
  uint32_t m_lateOrderPercent = 0;
  // The demand in groups.
  std::map<ModelId, double> m_demand;
  std::map<ModelId, double> m_unrecorded;
  WorkMeter m_meter;
  std::deque<std::pair<Millis, WorkByModel>> m_reported;
  ServerMap m_view;
  std::deque<std::pair<Millis, GroupOrder>> m_delayedOrders;
  std::set<ZoneId> m_zonesOut;
  // The number of ended groups by reason, and of plans that were begun.
  std::map<std::string, int> m_endings;
  int m_plansBegun = 0;

  explicit MovingWorld(const WorldShape& aShape = WorldShape())
    : m_shape(aShape)
  {
    m_servers.SetLoadsAtOnce(aShape.m_loadsAtOnce);
    for (int domain = 0; domain < aShape.m_domains; ++domain) {
      for (int host = 0; host < aShape.m_hosts; ++host) {
        m_servers.Add("d" + std::to_string(domain) + "h" +
                        std::to_string(100 + host),
                      "d" + std::to_string(domain));
      }
    }
    m_servers.SetLoadWindow(Millis(5'000));
    m_control.Begin(m_now, FencingToken(10));
  }

  const ServiceSpec& Service() const
  {
    return m_config.m_services.begin()->second;
  }

  void Count(const LogEvent& aEvent)
  {
    for (const LogField& field : aEvent.m_fields) {
      const bool isReason =
        aEvent.m_event == "group-ending" && field.m_key == "reason";
      if (isReason) {
        ++m_endings[field.m_value];
      }
      m_plansBegun += aEvent.m_event == "capacity-plan" &&
                          field.m_key == "moving" && field.m_value == "true"
                        ? 1
                        : 0;
    }
  }

  void Apply(const ControlEffects& aEffects)
  {
    for (const ControlEffect& effect : aEffects) {
      if (const auto* probe = std::get_if<ProbeHost>(&effect)) {
        const ServerRecord* report = m_servers.Report(probe->m_host);
        const auto known = m_view.find(probe->m_host);
        if (report != nullptr && known != m_view.end()) {
          known->second = FakeServers::Update(
            m_now, UpdateSource::Report, *report, known->second);
        }
        m_control.OnProbed(m_now, probe->m_host, report, report == nullptr);
      } else if (const auto* order = std::get_if<GroupOrder>(&effect)) {
        Send(*order);
      } else if (const auto* event = std::get_if<LogEvent>(&effect)) {
        Count(*event);
      }
    }
  }

  void Send(const GroupOrder& aOrder)
  {
    OrderStatus status = OrderStatus::Unknown;
    if (m_random() % 100 < m_lateOrderPercent) {
      m_delayedOrders.emplace_back(m_now + Millis(1'000 + m_random() % 9'000),
                                   aOrder);
    } else {
      status = m_servers.Execute(m_now, aOrder);
    }
    const auto known = m_view.find(aOrder.m_host);
    if (known != m_view.end()) {
      known->second.m_membershipHistory.InvalidateReport(m_now);
    }
    m_control.OnOrderAnswered(m_now, { aOrder, status });
  }

  // Records requests so that the demand is that of m_demand.
  void RecordRequests()
  {
    // A request with 400 tokens, 20 at once: 400 tokens of 1 ms.
    constexpr double kTokens = 400;
    constexpr double kBusySeconds = 0.4;
    for (const auto& [model, groups] : m_demand) {
      const double factor = Service().m_engine->FindModel(model)->m_timeFactor;
      double& open = m_unrecorded[model];
      open += groups / (kBusySeconds * factor) *
              static_cast<double>(kTick.Count()) / 1'000;
      for (; open >= 1; open -= 1) {
        m_meter.Record(m_now, model, 0, kTokens);
      }
    }
    m_reported.emplace_back(m_now, m_meter.Rates(m_now));
    while (m_reported.size() > 1 && m_reported[1].first <= m_now - kReportLag) {
      m_reported.pop_front();
    }
  }

  void Step()
  {
    m_now += kTick;
    for (auto order = m_delayedOrders.begin();
         order != m_delayedOrders.end();) {
      if (order->first <= m_now) {
        m_servers.Execute(m_now, order->second);
        order = m_delayedOrders.erase(order);
      } else {
        ++order;
      }
    }
    RecordRequests();
    m_servers.Advance(m_now);
    m_servers.UpdateView(m_now, m_view, false);
    const GroupMap groups = FindGroups(m_view, m_config);
    const std::set<GroupId> suspects;
    std::map<ModelId, double> inFlight = m_demand;
    for (auto& [model, requests] : inFlight) {
      requests *= m_shape.m_requestsPerGroup;
    }
    const ControlView view{
      m_view,   groups,
      m_config, m_zonesOut,
      suspects, m_hasTraffic,
      inFlight, m_isWorkReported ? m_reported.front().second : WorkByModel()
    };
    Apply(m_control.Tick(m_now, view));
  }
  void Run(Millis aTime)
  {
    for (Millis passed; passed < aTime; passed += kTick) {
      Step();
    }
  }
  void BeginTraffic(double aLarge, double aSmall)
  {
    m_hasTraffic = true;
    m_servers.SetTraffic(true);
    // Loads before traffic do not count against the limit.
    m_servers.SetLoadWindow(Millis(5'000));
    m_demand = { { kLarge, aLarge }, { kSmall, aSmall } };
  }
  void ReplaceHolder(uint64_t aToken)
  {
    m_control = GroupControl(NodeId("n2"), 2, ControlBounds());
    m_control.Begin(m_now + kTick, FencingToken(aToken));
  }

  uint32_t Serving(const ModelId& aModel) const
  {
    uint32_t count = 0;
    for (const auto& [id, group] : FindGroups(m_view, m_config)) {
      // Callers are not sent to zones that are out.
      const bool isOut =
        m_zonesOut.count(ZoneId("zone-" + group.m_domain.Value())) > 0;
      count += !isOut && IsServing(group) && group.m_model == aModel ? 1 : 0;
    }
    return count;
  }
  // Returns the work that is served on time, in groups.
  double Served() const
  {
    double served = 0;
    for (const auto& [model, demand] : m_demand) {
      served += std::min<double>(demand, Serving(model));
    }
    return served;
  }
  // Returns the time until aPart of the demand is served.
  Millis RunUntilServed(double aPart, Millis aLongest)
  {
    const Millis began = m_now;
    double demand = 0;
    for (const auto& [model, groups] : m_demand) {
      demand += groups;
    }
    while (Served() < aPart * demand && m_now - began < aLongest) {
      Step();
    }
    return m_now - began;
  }
};

} // namespace briarglade
