// Applies the entries of backend servers: which servers are known, which are
// shutting down, and which are gone.

#include "briarglade/entry/internal/entry_reduction.h"

#include <map>
#include <string>
#include <utility>

namespace briarglade::internal {

namespace {

// Returns whether a server's record is older than the known one.
bool IsOlderRecord(const ServerRecord& aRecord, const ServerRecord& aKnown)
{
  return aRecord.m_startedAt != aKnown.m_startedAt
           ? aRecord.m_startedAt < aKnown.m_startedAt
           : aRecord.m_sequence < aKnown.m_sequence;
}

} // namespace

BootId RunOf(const ServerRecord& aServer)
{
  return BootId(std::to_string(aServer.m_startedAt));
}

void EntryReduction::Take(const ServerRow& aRow)
{
  if (!aRow.m_record) {
    if (IsStoreDisturbed()) {
      // The entry may merely have expired; the server will write it again.
      m_state.m_expiredServers.emplace(aRow.m_host, m_now);
      LogMissingEntry(aRow.m_host);
    } else {
      LogRemovalBelieved(aRow.m_host);
      RemoveServer(aRow.m_host);
    }
    return;
  }
  m_state.m_expiredServers.erase(aRow.m_host);
  ServerRecord record = *aRow.m_record;
  record.m_coldUntil = m_now + record.m_coldFor;
  record.m_isDraining =
    record.m_isDraining || m_state.m_leavingServers.Contains(
                             ServerRun{ record.m_host, RunOf(record) });
  const auto known = m_state.m_servers.find(aRow.m_host);
  const bool isNew = known == m_state.m_servers.end();
  if (!isNew && IsOlderRecord(record, known->second)) {
    Log(LogLevel::Info,
        "server-word-old",
        { { "server", aRow.m_host.Value() },
          { "sequence", std::to_string(record.m_sequence) },
          { "known", std::to_string(known->second.m_sequence) } });
    return;
  }
  const bool startsDraining =
    record.m_isDraining && (isNew || !known->second.m_isDraining);
  if (isNew || startsDraining) {
    Log(LogLevel::Info,
        startsDraining ? "server-draining" : "server-found",
        { { "server", aRow.m_host.Value() },
          { "service", record.m_service.Value() },
          { "zone", record.m_zone.Value() } });
  }
  if (!isNew) {
    CarryOver(known->second, record);
  }
  MembershipUpdate update;
  update.m_asOf = m_now;
  update.m_startedAt = record.m_startedAt;
  update.m_membership = std::exchange(record.m_groupMembership, std::nullopt);
  ServerRecord& server = m_state.m_servers[aRow.m_host];
  std::swap(record.m_groupMembership, server.m_groupMembership);
  record.m_membershipHistory = server.m_membershipHistory;
  server = std::move(record);
  RecordStart(server);
  ApplyMembership(server, update);
  m_state.m_areBackendsStale = true;
}

// Returns whether the server is a member, but not the leader, of a group that
// serves.
bool EntryReduction::ServesAsMember(const ServerRecord& aServer) const
{
  if (!aServer.m_groupMembership || aServer.m_groupMembership->m_rank == 0) {
    return false;
  }
  const GroupId& id = aServer.m_groupMembership->m_group;
  const auto group = m_state.m_groups.find(id);
  return group != m_state.m_groups.end() && IsServing(group->second) &&
         m_state.m_endedGroups.count(id) == 0;
}

void EntryReduction::RemoveServer(const HostId& aHost)
{
  const auto server = m_state.m_servers.find(aHost);
  if (server == m_state.m_servers.end()) {
    return;
  }
  m_state.m_areBackendsStale = true;
  if (ServesAsMember(server->second)) {
    // No request is sent to it directly, and its group may continue to serve.
    Log(LogLevel::Info,
        "server-unlisted",
        { { "server", aHost.Value() },
          { "group", server->second.m_groupMembership->m_group.Value() } });
    server->second.m_hasEntryExpired = true;
    return;
  }
  Log(LogLevel::Info, "server-gone", { { "server", aHost.Value() } });
  if (!server->second.m_isDraining && !server->second.m_endedAt) {
    ReportServerLost(server->second);
  }
  m_state.m_addressOwners.Remove(server->second.m_endpoint, aHost);
  m_state.m_servers.erase(server);
}

// Records that a run of a server is shutting down. Returns whether this was
// unknown before.
bool EntryReduction::RecordLeavingServer(const ServerRun& aServer)
{
  if (!m_state.m_leavingServers.Add(m_now, aServer)) {
    return false;
  }
  Log(LogLevel::Info,
      "server-leaving",
      { { "server", aServer.m_server.Value() },
        { "run", aServer.m_run.Value() } });
  const auto known = m_state.m_servers.find(aServer.m_server);
  if (known != m_state.m_servers.end() &&
      RunOf(known->second) == aServer.m_run) {
    known->second.m_isDraining = true;
    m_state.m_areBackendsStale = true;
    // The next request must not go there, however new the list is.
    m_state.m_backendsUpdatedAt = m_now - kBackendsPeriod;
  }
  return true;
}

void EntryReduction::ReportServerLost(const ServerRecord& aServer)
{
  DispatchToGateway(ServerLost{ ServerRun{ aServer.m_host, RunOf(aServer) },
                                aServer.m_domain });
}

// Removes unlisted servers whose groups no longer serve. Returns whether there
// were any; m_groups may then name servers that are no longer known.
bool EntryReduction::RemoveUnlisted()
{
  bool hasRemoved = false;
  for (auto entry = m_state.m_servers.begin();
       entry != m_state.m_servers.end();) {
    const ServerRecord& server = entry->second;
    if (server.m_hasEntryExpired && !ServesAsMember(server)) {
      Log(
        LogLevel::Info, "server-gone", { { "server", server.m_host.Value() } });
      m_state.m_addressOwners.Remove(server.m_endpoint, server.m_host);
      entry = m_state.m_servers.erase(entry);
      hasRemoved = true;
    } else {
      ++entry;
    }
  }
  return hasRemoved;
}

// Removes the servers whose expired entries were not written again after the
// store became available.
void EntryReduction::RemoveExpiredServers()
{
  if (m_state.m_expiredServers.empty() || IsStoreDisturbed()) {
    return;
  }
  const std::map<HostId, Millis> expired = std::move(m_state.m_expiredServers);
  m_state.m_expiredServers.clear();
  for (const auto& [host, missingSince] : expired) {
    Log(LogLevel::Info,
        "server-entry-stays-missing",
        { { "server", host.Value() },
          { "after-ms", std::to_string((m_now - missingSince).Count()) } });
    RemoveServer(host);
  }
}

// Logs that the removal of a server's entry is not acted on yet, with the time
// until which each source of doubt lasts.
void EntryReduction::LogMissingEntry(const HostId& aHost)
{
  LogRemoval("server-entry-missing", aHost);
}

// Logs that the removal of a server's entry is acted on although this node or
// another one has reason for doubt, because the store was available.
void EntryReduction::LogRemovalBelieved(const HostId& aHost)
{
  const bool hasReason =
    IsStoreLost() || m_now < std::max(m_state.m_disturbedUntil,
                                      m_state.m_reportedDisturbedUntil);
  if (hasReason && m_state.m_servers.count(aHost) > 0) {
    ++m_state.m_removalsBelieved;
    LogRemoval("server-removal-believed", aHost);
  }
}

void EntryReduction::LogRemoval(const char* aEvent, const HostId& aHost)
{
  const auto remaining = [this](Millis aUntil) {
    return std::to_string(std::max(Millis(), aUntil - m_now).Count());
  };
  Log(LogLevel::Info,
      aEvent,
      { { "server", aHost.Value() },
        { "store-lost", IsStoreLost() ? "yes" : "no" },
        { "own-doubt-ms", remaining(m_state.m_disturbedUntil) },
        { "reported-doubt-ms", remaining(m_state.m_reportedDisturbedUntil) },
        { "era-doubt-ms", remaining(m_state.m_rewrittenUntil) },
        { "store-uptime-ms", std::to_string(StoreUptimeNow().Count()) } });
}

} // namespace briarglade::internal
