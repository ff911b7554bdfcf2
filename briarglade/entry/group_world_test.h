// Simulates a fleet of entry nodes before model servers that form groups. The
// servers write their entries to the store and answer probes and orders; each
// of these may be late or lost. A server that takes a join while its group is
// open is a violation, as FakeServers records it.
//
// Example:
//   GroupWorld world(1);
//   world.RunUntilServing(1);
//   world.SetStoreDown(true);
//   CHECK(world.Servers().Violations().empty());

#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarglade/entry/fleet_world_test.h"
#include "briarglade/grouping/fake_servers_test.h"

namespace briarglade {

class GroupWorld : public FleetWorld
{
public:
  // Time after which an order without an answer is given up by its sender.
  static constexpr Millis kOrderTimeout = Millis(800);
  static constexpr Millis kProbeTimeout = Millis(250);

  explicit GroupWorld(uint32_t aSeed, uint32_t aNodes = 5)
    : FleetWorld(OptionsOf(aSeed, aNodes))
    , m_servers(MakeEngine())
  {
    ServiceSpec service;
    service.m_id = ServiceId("models");
    service.m_engine = MakeEngine();
    Config().m_services.emplace(service.m_id, service);
    Configure(2);
    SetServerHooks(
      [this](size_t aNode, const GroupOrder& aOrder) { Carry(aNode, aOrder); },
      [this](size_t aNode, const ProbeServerNow& aProbe) {
        Answer(aNode, aProbe.m_server);
      },
      [this] { StepModelServers(); });
  }

  FakeServers& Servers() { return m_servers; }
  // Adds a server with an empty host.
  void AddModelServer(const std::string& aHost) { m_servers.Add(aHost, "d0"); }

  // Sets whether the store refuses the nodes' calls.
  void SetStoreDownForNodes(bool aIsDown)
  {
    SetStoreStatusOfAll(aIsDown ? StoreStatus::Refused : StoreStatus::Ok);
    if (aIsDown) {
      BreakWatches(StoreStatus::Refused);
    }
  }
  // Sets whether the store refuses the servers' writes. Servers write their
  // entries once it is back, at their next heartbeat.
  void SetStoreDownForServers(bool aIsDown) { m_isStoreDown = aIsDown; }
  void SetStoreDown(bool aIsDown)
  {
    SetStoreDownForNodes(aIsDown);
    SetStoreDownForServers(aIsDown);
  }
  // Sets how long each order takes to reach its server; one that takes longer
  // than kOrderTimeout is carried out all the same.
  void SetOrderDelay(std::function<Millis(const GroupOrder&)> aDelay)
  {
    m_orderDelay = std::move(aDelay);
  }
  // Sets how long each probe's answer takes to arrive.
  void SetReportDelay(std::function<Millis(const HostId&)> aDelay)
  {
    m_reportDelay = std::move(aDelay);
  }
  // Sets whether a node can reach a server.
  void SetReachable(size_t aNode, const HostId& aHost, bool aIsReachable)
  {
    if (aIsReachable) {
      m_unreachable.erase({ aNode, aHost });
    } else {
      m_unreachable.insert({ aNode, aHost });
    }
  }

  // Sets for how long the store lists the entry of a server that has stopped:
  // up to three heartbeats, by when it wrote last.
  void SetEntryLifetime(std::function<Millis(const HostId&)> aLifetime)
  {
    m_entryLifetime = std::move(aLifetime);
  }

  void RunUntilServing(uint32_t aGroups, Millis aLongest = Millis(30'000))
  {
    const Millis began = Now();
    while (m_servers.ServingGroups() != aGroups && Now() - began < aLongest) {
      Run(kStep);
    }
  }

private:
  struct Delivery
  {
    Millis m_at;
    size_t m_node = 0;
    GroupOrder m_order;
    // The sender has given up.
    bool m_isLate = false;
  };
  // A server's entry as last written.
  struct Entry
  {
    ServerRecord m_record;
    bool m_isListed = false;
    // When a write that failed is repeated.
    Millis m_retryAt;
    Millis m_runningAt;
  };

  static FleetOptions OptionsOf(uint32_t aSeed, uint32_t aNodes)
  {
    FleetOptions options;
    options.m_nodes = aNodes;
    options.m_seed = aSeed;
    options.m_bounds.m_serversCheckFencing = true;
    return options;
  }

  static EngineSpec MakeEngine()
  {
    EngineSpec engine;
    engine.m_slots = 4;
    engine.m_loadsPerSecond = 5;
    engine.m_formationTime = Millis(100);
    ReplicaModel model;
    model.m_id = ModelId("big");
    model.m_size = 3;
    model.m_loadTime = Millis(2'000);
    model.m_warmTime = Millis(1'600);
    engine.m_models = { model };
    return engine;
  }

  bool IsReachable(size_t aNode, const HostId& aHost) const
  {
    return m_unreachable.count({ aNode, aHost }) == 0;
  }

  void Carry(size_t aNode, const GroupOrder& aOrder)
  {
    if (!IsReachable(aNode, aOrder.m_host)) {
      Reply(aNode, kOrderTimeout, aOrder, OrderStatus::Unknown);
      return;
    }
    const Millis delay = m_orderDelay ? m_orderDelay(aOrder) : kStep;
    const bool isLate = delay > kOrderTimeout;
    m_deliveries.push_back(Delivery{ Now() + delay, aNode, aOrder, isLate });
    if (isLate) {
      Reply(aNode, kOrderTimeout, aOrder, OrderStatus::Unknown);
    }
  }

  void Reply(size_t aNode,
             Millis aDelay,
             const GroupOrder& aOrder,
             OrderStatus aStatus)
  {
    SendEvent(aNode, aDelay, OrderAnswered{ aOrder, aStatus });
  }

  // Answers a probe with what the server at the address reports now, which
  // arrives later. A report does not name the server that it is from.
  void Answer(size_t aNode, const ServerRecord& aKnown)
  {
    const HostId& host = aKnown.m_host;
    const ServerRecord* report = m_servers.ReportAt(aKnown.m_endpoint);
    const Millis delay = m_reportDelay ? m_reportDelay(host) : kStep * 2;
    Result<ServerRecord> result =
      Error{ ResultCode::DeadlineExceeded, "no report in time" };
    if (report == nullptr) {
      result = Error{ ResultCode::BackendFailed, "the server is gone" };
    } else if (IsReachable(aNode, host) && delay <= kProbeTimeout) {
      ServerRecord answer = *report;
      answer.m_host = host;
      result = std::move(answer);
    }
    SendEvent(aNode,
              std::min(delay, kProbeTimeout),
              ServerProbed{ host, aKnown.Process(), std::move(result), Now() });
  }

  void StepModelServers()
  {
    m_servers.Advance(Now());
    for (size_t i = 0; i < m_deliveries.size();) {
      if (m_deliveries[i].m_at > Now()) {
        ++i;
        continue;
      }
      const Delivery due = m_deliveries[i];
      m_deliveries.erase(m_deliveries.begin() + static_cast<ptrdiff_t>(i));
      const OrderStatus status = m_servers.Execute(Now(), due.m_order);
      if (!due.m_isLate) {
        Reply(due.m_node, kStep, due.m_order, status);
      }
    }
    for (const HostId& host : m_servers.Hosts()) {
      WriteEntry(host);
    }
  }

  // A server writes its entry when it has changed. A write that fails is
  // repeated with the next heartbeat.
  void WriteEntry(const HostId& aHost)
  {
    constexpr Millis kHeartbeat = Millis(1'000);
    Entry& entry = m_entries[aHost];
    const ServerRecord* report = m_servers.Report(aHost);
    if (report == nullptr) {
      const Millis lifetime =
        m_entryLifetime ? m_entryLifetime(aHost) : kHeartbeat * 3;
      const bool isSilentForLong = Now() - entry.m_runningAt > lifetime;
      if (entry.m_isListed && isSilentForLong && !m_isStoreDown) {
        entry.m_isListed = false;
        RemoveServer(aHost.Value());
      }
      return;
    }
    entry.m_runningAt = Now();
    const bool isChanged =
      !entry.m_isListed || !IsSameEntry(entry.m_record, *report);
    if (!isChanged || Now() < entry.m_retryAt) {
      return;
    }
    if (m_isStoreDown) {
      entry.m_retryAt = Now() + kHeartbeat;
      return;
    }
    const int64_t sequence = entry.m_record.m_sequence + 1;
    entry.m_record = *report;
    entry.m_record.m_sequence = sequence;
    entry.m_isListed = true;
    AddServer(entry.m_record);
  }

  static bool IsSameEntry(const ServerRecord& aWritten,
                          const ServerRecord& aReport)
  {
    return aWritten.m_groupMembership == aReport.m_groupMembership &&
           aWritten.m_isDraining == aReport.m_isDraining &&
           aWritten.m_startedAt == aReport.m_startedAt;
  }

  FakeServers m_servers;
  std::map<HostId, Entry> m_entries;
  std::vector<Delivery> m_deliveries;
  std::set<std::pair<size_t, HostId>> m_unreachable;
  std::function<Millis(const GroupOrder&)> m_orderDelay;
  std::function<Millis(const HostId&)> m_reportDelay;
  std::function<Millis(const HostId&)> m_entryLifetime;
  bool m_isStoreDown = false;
};

} // namespace briarglade
