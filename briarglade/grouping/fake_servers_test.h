// In-memory model servers for the tests of this folder. They carry out orders
// as the platform's servers do, and record a violation whenever a host is in
// two groups or an incomplete group serves.

#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "briarglade/grouping/group_order.h"
#include "briarglade/grouping/group_view.h"

namespace briarglade {

class FakeServers
{
public:
  explicit FakeServers(const EngineSpec& aEngine)
    : m_engine(aEngine)
  {
  }

  void Add(const std::string& aName, const std::string& aDomain)
  {
    Server server;
    server.m_record.m_host = HostId(aName);
    server.m_record.m_service = ServiceId("models");
    server.m_record.m_domain = DomainId(aDomain);
    server.m_record.m_zone = ZoneId("zone-" + aDomain);
    server.m_record.m_endpoint = Endpoint{ "10.1.0.1", m_nextPort++ };
    server.m_record.m_startedAt = 1;
    server.m_record.m_orderCount = 0;
    m_servers[HostId(aName)] = server;
    m_atAddress[server.m_record.m_endpoint] = HostId(aName);
  }

  // Carries out an order at aNow and returns its outcome.
  OrderStatus Execute(Millis aNow, const GroupOrder& aOrder)
  {
    const auto atAddress = m_atAddress.find(aOrder.m_endpoint);
    const auto found = atAddress == m_atAddress.end()
                         ? m_servers.end()
                         : m_servers.find(atAddress->second);
    if (found == m_servers.end() || !found->second.m_isUp) {
      return OrderStatus::Unknown;
    }
    if (found->first != aOrder.m_host) {
      return OrderStatus::WrongServer;
    }
    Server& server = found->second;
    if (aOrder.m_fencing < server.m_fencing) {
      return OrderStatus::Fenced;
    }
    server.m_fencing = aOrder.m_fencing;
    const uint64_t orders = *server.m_record.m_orderCount;
    if (aOrder.m_expectedOrders.value_or(orders) != orders) {
      return OrderStatus::Conflict;
    }
    const OrderStatus status = CarryOut(aNow, server, aOrder);
    if (status == OrderStatus::Accepted) {
      ++*server.m_record.m_orderCount;
    }
    return status;
  }

  // Advances to aNow: members whose joining time has passed become ready.
  void Advance(Millis aNow)
  {
    AdvanceLoads(aNow);
    for (auto& [host, server] : m_servers) {
      std::optional<GroupMembership>& place = server.m_record.m_groupMembership;
      if (server.m_loadLeft > 0 && place &&
          place->m_phase == GroupPhase::Joining) {
        continue;
      }
      if (place && place->m_phase == GroupPhase::Joining &&
          aNow >= server.m_readyAt) {
        place->m_phase = GroupPhase::Ready;
        m_wasReady.insert({ host, place->m_generation });
      }
      if (!server.m_staging.IsEmpty() && aNow >= server.m_stagedAt &&
          server.m_loadLeft <= 0) {
        server.m_record.m_staged = { server.m_staging };
        server.m_staging = ModelId();
      }
    }
  }

  // Stops a server; it no longer answers or reports.
  void Crash(const HostId& aHost) { m_servers[aHost].m_isUp = false; }
  // The server reports that it is draining; it keeps running.
  void Drain(const HostId& aHost)
  {
    m_servers[aHost].m_record.m_isDraining = true;
  }
  // Restarts a crashed server under the same name.
  void Restart(const HostId& aHost)
  {
    Server& server = m_servers[aHost];
    server.m_isUp = true;
    server.m_record.m_groupMembership.reset();
    server.m_fencing = FencingToken();
    server.m_lowestGeneration = Generation();
    server.m_record.m_orderCount = 0;
    ++server.m_record.m_startedAt;
    server.m_members.clear();
    server.m_staging = ModelId();
    server.m_loadLeft = 0;
    server.m_lastModel = ModelId();
  }
  // Starts a crashed server's next process, at its address, under a new name.
  void RestartAs(const HostId& aHost, const HostId& aNewName)
  {
    Server server = m_servers[aHost];
    server.m_record.m_host = aNewName;
    m_servers[aNewName] = server;
    Restart(aNewName);
    m_atAddress[server.m_record.m_endpoint] = aNewName;
  }
  // Loads take the model's load time, and proportionally longer if more than
  // this number run at the same time. Zero switches this off.
  void SetLoadsAtOnce(uint32_t aLoads) { m_loadsAtOnce = aLoads; }
  // Callers have begun to send requests: staging takes its full time.
  void SetTraffic(bool aHasTraffic) { m_hasTraffic = aHasTraffic; }
  // Returns the number of loads that stage orders have started.
  size_t StageCount() const { return m_stageCount; }
  bool IsUp(const HostId& aHost) const { return m_servers.at(aHost).m_isUp; }
  // Returns the leader of an open group, or an empty id.
  HostId OpenLeader() const
  {
    for (const auto& [host, server] : m_servers) {
      if (IsOpen(server)) {
        return host;
      }
    }
    return HostId();
  }
  // Removes the weights from a host.
  void ClearWeights(const HostId& aHost)
  {
    m_servers[aHost].m_record.m_staged.clear();
    m_servers[aHost].m_lastModel = ModelId();
  }

  // Starts to count weight loads anew, in windows of this length.
  void SetLoadWindow(Millis aWindow)
  {
    m_loadWindow = aWindow;
    m_loadStartTimes.clear();
    m_maxLoads = 0;
  }
  // Returns the total number of loads that joins have started.
  size_t LoadCount() const { return m_loadCount; }
  // Returns the highest number of loads that started within one window.
  size_t MaxLoadsInWindow() const { return m_maxLoads; }

  // Returns a server's current report, or null if it is down.
  const ServerRecord* Report(const HostId& aHost) const
  {
    const auto found = m_servers.find(aHost);
    return found != m_servers.end() && found->second.m_isUp
             ? &found->second.m_record
             : nullptr;
  }
  // Returns the report of the server that runs at an address, or null.
  const ServerRecord* ReportAt(const Endpoint& aAddress) const
  {
    const auto atAddress = m_atAddress.find(aAddress);
    return atAddress == m_atAddress.end() ? nullptr : Report(atAddress->second);
  }
  // Updates a view with the entries of all running servers, as a node does.
  // Other servers are removed from it unless aKeepsOthers is set.
  void UpdateView(Millis aNow, ServerMap& aView, bool aKeepsOthers) const
  {
    ServerMap view;
    for (const auto& [host, server] : m_servers) {
      const auto known = aView.find(host);
      if (server.m_isUp) {
        view[host] =
          Update(aNow,
                 UpdateSource::Row,
                 server.m_record,
                 known == aView.end() ? ServerRecord() : known->second);
      } else if (aKeepsOthers && known != aView.end()) {
        view[host] = known->second;
      }
    }
    aView = std::move(view);
  }
  // Returns the record that a node has of a server after an entry or a report.
  static ServerRecord Update(Millis aNow,
                             UpdateSource aSource,
                             const ServerRecord& aRecord,
                             const ServerRecord& aKnown)
  {
    MembershipUpdate update;
    update.m_source = aSource;
    update.m_asOf = aNow;
    update.m_startedAt = aRecord.m_startedAt;
    update.m_membership = aRecord.m_groupMembership;
    if (aSource == UpdateSource::Report) {
      update.m_orderCount = aRecord.m_orderCount;
    }
    ServerRecord record = aRecord;
    record.m_groupMembership = aKnown.m_groupMembership;
    record.m_membershipHistory = aKnown.m_membershipHistory;
    record.m_membershipHistory.Apply(update, record.m_groupMembership);
    return record;
  }
  std::vector<HostId> Hosts() const
  {
    std::vector<HostId> hosts;
    for (const auto& [host, server] : m_servers) {
      hosts.push_back(host);
    }
    return hosts;
  }

  // Returns the number of groups whose leader is open and whose members are all
  // up and in the group.
  uint32_t ServingGroups() const
  {
    uint32_t serving = 0;
    for (const auto& [host, server] : m_servers) {
      serving += IsOpen(server) && IsComplete(server) ? 1 : 0;
    }
    return serving;
  }
  // Returns descriptions of the violated rules, in order.
  const std::vector<std::string>& Violations() const { return m_violations; }
  // Returns them as one text, for a failed check.
  std::string DescribeViolations() const
  {
    std::string text;
    for (const std::string& violation : m_violations) {
      text += violation + "; ";
    }
    return text;
  }

private:
  struct Server
  {
    ServerRecord m_record;
    bool m_isUp = true;
    FencingToken m_fencing;
    Generation m_lowestGeneration;
    Millis m_readyAt;
    std::vector<HostId> m_members;
    ModelId m_lastModel;
    // Weights that are being staged.
    ModelId m_staging;
    Millis m_stagedAt;
    // Milliseconds of loading that remain if no other load runs; only used if
    // loads slow each other down.
    double m_loadLeft = 0;
  };

  // Lets all loads progress up to aNow.
  void AdvanceLoads(Millis aNow)
  {
    const auto elapsed = static_cast<double>((aNow - m_advancedAt).Count());
    m_advancedAt = aNow;
    const auto isLoading = [](const auto& aEntry) {
      return aEntry.second.m_isUp && aEntry.second.m_loadLeft > 0;
    };
    const auto loading =
      std::count_if(m_servers.begin(), m_servers.end(), isLoading);
    const double rate =
      loading > m_loadsAtOnce ? double(m_loadsAtOnce) / double(loading) : 1;
    for (auto& [host, server] : m_servers) {
      server.m_loadLeft = std::max(0.0, server.m_loadLeft - elapsed * rate);
    }
  }
  void BeginLoad(Server& aServer, const ReplicaModel& aModel) const
  {
    const auto load = static_cast<double>(aModel.m_loadTime.Count());
    aServer.m_loadLeft = m_hasTraffic ? load : load / 10;
  }

  static bool IsOpen(const Server& aServer)
  {
    return aServer.m_isUp && aServer.m_record.m_groupMembership &&
           aServer.m_record.m_groupMembership->m_phase == GroupPhase::Open;
  }

  bool IsComplete(const Server& aLeader) const
  {
    for (const HostId& member : aLeader.m_members) {
      const Server& server = m_servers.at(member);
      const bool isMember = server.m_isUp &&
                            server.m_record.m_groupMembership &&
                            server.m_record.m_groupMembership->m_group ==
                              aLeader.m_record.m_groupMembership->m_group;
      if (!isMember) {
        return false;
      }
    }
    return true;
  }

  OrderStatus CarryOut(Millis aNow, Server& aServer, const GroupOrder& aOrder)
  {
    switch (aOrder.m_kind) {
      case OrderKind::Join:
        return Join(aNow, aServer, aOrder);
      case OrderKind::Open:
        return Open(aServer, aOrder);
      case OrderKind::Close:
      case OrderKind::Leave:
        return Leave(aServer, aOrder);
      case OrderKind::Stage:
        return Stage(aNow, aServer, aOrder);
    }
    return OrderStatus::Invalid;
  }

  // Loads weights beside the server's work. The host keeps one model staged.
  OrderStatus Stage(Millis aNow, Server& aServer, const GroupOrder& aOrder)
  {
    const ReplicaModel* model = m_engine.FindModel(aOrder.m_model);
    if (model == nullptr) {
      return OrderStatus::Invalid;
    }
    if (aServer.m_record.HasStaged(aOrder.m_model)) {
      return OrderStatus::Done;
    }
    RecordLoad(aNow);
    ++m_stageCount;
    aServer.m_staging = aOrder.m_model;
    aServer.m_stagedAt =
      aNow + (m_hasTraffic ? model->m_loadTime : model->m_loadTime / 10);
    if (m_loadsAtOnce > 0) {
      aServer.m_stagedAt = aNow;
      BeginLoad(aServer, *model);
    }
    return OrderStatus::Accepted;
  }

  OrderStatus Join(Millis aNow, Server& aServer, const GroupOrder& aOrder)
  {
    std::optional<GroupMembership>& place = aServer.m_record.m_groupMembership;
    if (aOrder.m_generation < aServer.m_lowestGeneration) {
      return OrderStatus::Fenced;
    }
    if (place && place->m_group == aOrder.m_group) {
      return OrderStatus::Done;
    }
    if (place && !aServer.m_members.empty()) {
      // A group with an open leader must not lose a member to another group.
      const Server& leader = m_servers.at(aServer.m_members.front());
      const bool isSame =
        leader.m_record.m_groupMembership &&
        leader.m_record.m_groupMembership->m_group == place->m_group;
      if (IsOpen(leader) && isSame) {
        m_violations.push_back(aServer.m_record.m_host.Value() + " joined " +
                               aOrder.m_group.Value() + " from open " +
                               place->m_group.Value());
      }
    }
    GroupMembership next;
    next.m_group = aOrder.m_group;
    next.m_generation = aOrder.m_generation;
    for (uint32_t rank = 0; rank < aOrder.m_members.size(); ++rank) {
      next.m_rank =
        aOrder.m_members[rank] == aOrder.m_host ? rank : next.m_rank;
    }
    place = next;
    aServer.m_lowestGeneration = aOrder.m_generation;
    aServer.m_members = aOrder.m_members;
    const bool isWarm = aServer.m_lastModel == aOrder.m_model;
    const bool isStaged = aServer.m_record.HasStaged(aOrder.m_model);
    if (!isWarm && !isStaged) {
      ++m_loadCount;
      RecordLoad(aNow);
    }
    aServer.m_readyAt = aNow + (isWarm     ? Millis(200)
                                : isStaged ? Millis(1'600)
                                           : Millis(8'000));
    const ReplicaModel* model = m_engine.FindModel(aOrder.m_model);
    if (m_loadsAtOnce > 0 && model != nullptr) {
      aServer.m_staging = ModelId();
      aServer.m_loadLeft = 0;
      aServer.m_readyAt = aNow + (isWarm ? Millis(200) : model->m_warmTime);
      if (!isWarm && !isStaged) {
        BeginLoad(aServer, *model);
      }
    }
    aServer.m_lastModel = aOrder.m_model;
    if (aServer.m_loadLeft > 0) {
      // The weights are on the host once they are loaded.
      aServer.m_staging = aOrder.m_model;
      aServer.m_stagedAt = aNow;
    } else {
      aServer.m_record.m_staged = { aOrder.m_model };
    }
    return OrderStatus::Accepted;
  }

  void RecordLoad(Millis aNow)
  {
    m_loadStartTimes.push_back(aNow);
    while (aNow - m_loadStartTimes.front() >= m_loadWindow) {
      m_loadStartTimes.pop_front();
    }
    m_maxLoads = std::max(m_maxLoads, m_loadStartTimes.size());
  }

  OrderStatus Open(Server& aServer, const GroupOrder& aOrder)
  {
    std::optional<GroupMembership>& place = aServer.m_record.m_groupMembership;
    const bool isMember = place && place->m_group == aOrder.m_group &&
                          place->m_generation == aOrder.m_generation;
    if (isMember && place->m_phase == GroupPhase::Open) {
      return OrderStatus::Done;
    }
    if (!isMember || place->m_phase != GroupPhase::Ready) {
      return OrderStatus::Conflict;
    }
    const ReplicaModel* model = m_engine.FindModel(ModelOf(aOrder.m_group));
    bool isComplete =
      model != nullptr && aServer.m_members.size() == model->m_size;
    for (const HostId& member : aServer.m_members) {
      isComplete =
        isComplete && m_wasReady.count({ member, aOrder.m_generation }) > 0;
    }
    if (!isComplete) {
      m_violations.push_back("opened incomplete " + aOrder.m_group.Value());
    }
    place->m_phase = GroupPhase::Open;
    return OrderStatus::Accepted;
  }

  static OrderStatus Leave(Server& aServer, const GroupOrder& aOrder)
  {
    std::optional<GroupMembership>& place = aServer.m_record.m_groupMembership;
    if (!place || place->m_group != aOrder.m_group) {
      return OrderStatus::Conflict;
    }
    if (aOrder.m_kind == OrderKind::Close) {
      place->m_phase = GroupPhase::Ready;
    } else {
      place.reset();
      aServer.m_members.clear();
    }
    return OrderStatus::Accepted;
  }

  EngineSpec m_engine;
  std::map<HostId, Server> m_servers;
  // The server that runs, or last ran, at each address.
  std::map<Endpoint, HostId> m_atAddress;
  uint16_t m_nextPort = 8'000;
  std::set<std::pair<HostId, Generation>> m_wasReady;
  std::vector<std::string> m_violations;
  Millis m_loadWindow = Millis(5'000);
  std::deque<Millis> m_loadStartTimes;
  size_t m_maxLoads = 0;
  size_t m_loadCount = 0;
  size_t m_stageCount = 0;
  bool m_hasTraffic = false;
  uint32_t m_loadsAtOnce = 0;
  Millis m_advancedAt;
};

} // namespace briarglade
