// Applies rows from the store: configuration, zones, backend servers, and the
// rows of the entry nodes themselves.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "briarglade/base/erase_if.h"
#include "briarglade/entry/store_version.h"

namespace briarglade::internal {

namespace {

// A shorter failure of a feed, or a shorter time without any response from the
// store, lets no entry expire: that takes three missed heartbeats.
constexpr Millis kMinOutage = Millis(700);

// Returns whether a server's record is older than the known one.
bool IsOlderRecord(const ServerRecord& aRecord, const ServerRecord& aKnown)
{
  return aRecord.m_startedAt != aKnown.m_startedAt
           ? aRecord.m_startedAt < aKnown.m_startedAt
           : aRecord.m_sequence < aKnown.m_sequence;
}

// Returns how long to wait before the operators' feed is read again, so that a
// node does not read, and send to all others, each of several large versions in
// quick succession. A relay with a link of 14 Mbit/s sends 300 KB, compressed,
// to 26 nodes in 500 ms.
Millis RestAfter(const FeedAnswered& aAnswer)
{
  constexpr size_t kBytesPerMilli = 600;
  constexpr Millis kMaxRest = Millis(1'000);
  size_t bytes = 0;
  for (const StoredRow& row : aAnswer.m_rows) {
    bytes += row.m_value ? row.m_value->size() : 0;
  }
  return std::min(kMaxRest,
                  Millis(static_cast<int64_t>(bytes / kBytesPerMilli)));
}

BootId RunOf(const ServerRecord& aServer)
{
  return BootId(std::to_string(aServer.m_startedAt));
}

} // namespace

void EntryReduction::On(const FeedAnswered& aAnswer)
{
  FeedFollower& follower = m_state.m_feeds[aAnswer.m_feed];
  const FeedFollower before = follower;
  const Millis answeredBefore = StoreAnsweredAt();
  const std::optional<CallTimes> accepted = follower.OnAnswered(m_now, aAnswer);
  const bool wasFailing = before.FailingSince().has_value();
  if (wasFailing != follower.FailingSince().has_value()) {
    Log(LogLevel::Info,
        wasFailing ? "store-regained" : "store-lost",
        { { "feed", FeedName(aAnswer.m_feed) },
          { "status", StoreStatusName(aAnswer.m_status) },
          { "version", std::to_string(follower.Version().Value()) } });
  }
  if (!wasFailing && follower.FailingSince()) {
    RequestStoreCheck(aAnswer.m_feed, StoreStatusName(aAnswer.m_status));
  }
  RecordOutage(before, follower, answeredBefore);
  if (aAnswer.m_status != StoreStatus::Ok) {
    return;
  }
  NoticeEra(RowVersion(aAnswer.m_version.Value()));
  m_state.m_storeClock.Update(m_now, aAnswer.m_storeTime);
  if (accepted) {
    RecordAccepted(aAnswer, *accepted);
  }
  if (aAnswer.m_feed == Feed::Own && aAnswer.m_isWhole) {
    m_state.m_lease.OnFeedKnown();
  }
  if (aAnswer.m_feed == Feed::Operator) {
    m_state.m_configCurrency.OnConfirmed(m_now);
  }
  const RowVersion known = m_state.m_rows.CompleteUpTo(aAnswer.m_feed);
  ApplyRows(m_state.m_rows.Apply(aAnswer));
  if (aAnswer.m_feed == Feed::Own) {
    m_state.m_roster.OnKnownUpTo(aAnswer.m_storeTime);
    if (aAnswer.m_isWhole) {
      m_state.m_roster.OnWholeRead(m_now);
      UpdateRoster();
    }
  }
  ForwardRowChanges(aAnswer.m_feed, known);
  if (aAnswer.m_feed == Feed::Operator) {
    follower.Rest(m_now, RestAfter(aAnswer));
  }
  FollowFeeds();
}

// Returns when the store last answered the call of any feed.
Millis EntryReduction::StoreAnsweredAt() const
{
  Millis latest;
  for (const auto& [feed, follower] : m_state.m_feeds) {
    latest = std::max(latest, follower.AnsweredAt());
  }
  return latest;
}

// Records whether entries may have expired while the store was unavailable,
// from the state of a feed before and after the end of its call. A single call
// that fails or is lost in transit lets no entry expire. The time in which
// entries may be missing begins with the first answer after the outage, by any
// feed: calls of the other feeds that were made before it may end much later.
void EntryReduction::RecordOutage(const FeedFollower& aBefore,
                                  const FeedFollower& aAfter,
                                  Millis aAnsweredBefore)
{
  const std::optional<Millis> unansweredSince = aBefore.UnansweredSince()
                                                  ? aBefore.UnansweredSince()
                                                  : aAfter.UnansweredSince();
  if (!unansweredSince) {
    return;
  }
  const bool hasFailedRepeatedly =
    std::max(aBefore.Failures(), aAfter.Failures()) > 1;
  const bool isOfEndedOutage =
    aAfter.LastFailedCallAt() < m_state.m_storeBackAt;
  const bool wasFeedUnavailable = hasFailedRepeatedly && !isOfEndedOutage &&
                                  m_now - *unansweredSince >= kMinOutage;
  const bool wasStoreUnavailable = m_now - aAnsweredBefore >= kMinOutage;
  if (!wasFeedUnavailable && !wasStoreUnavailable) {
    return;
  }
  m_state.m_disturbedUntil = m_now + kRewriteTime;
  if (!aAfter.FailingSince()) {
    m_state.m_storeBackAt = m_now;
  }
}

void EntryReduction::ApplyRows(const std::vector<StoredRow>& aRows)
{
  for (const StoredRow& row : aRows) {
    std::visit([this](const auto& aBody) { Take(aBody); },
               m_state.m_decode(row));
  }
}

void EntryReduction::Take(const ConfigRow& aRow)
{
  const ConfigVersion version = aRow.m_config.m_version;
  if (m_state.m_routes && version <= m_state.m_routes->Config().m_version) {
    return;
  }
  Log(LogLevel::Info,
      "config-in-force",
      { { "version", std::to_string(version.Value()) },
        { "routes", std::to_string(aRow.m_config.m_routes.size()) } });
  m_state.m_routes = std::make_shared<const RouteIndex>(aRow.m_config);
  m_state.m_areBackendsStale = true;
  m_effects.emplace_back(CallerLimitsChanged{ aRow.m_config.m_limits });
}

// Takes note of the era of a version. In a new era, rows that were written
// shortly before may be missing until they are written again.
void EntryReduction::NoticeEra(RowVersion aVersion)
{
  const StoreEra era = EraOf(aVersion);
  if (m_state.m_storeEra && era <= *m_state.m_storeEra) {
    return;
  }
  const std::optional<StoreEra> before = std::exchange(m_state.m_storeEra, era);
  if (!before) {
    return;
  }
  m_state.m_rewrittenUntil = m_now + kRewriteTime;
  ++m_state.m_storeReturns;
  const RowVersion known = m_state.m_rows.CompleteUpTo(Feed::Own);
  Log(LogLevel::Warn,
      "store-era-began",
      { { "era", std::to_string(era.Value()) },
        { "before", std::to_string(before->Value()) },
        { "version", std::to_string(NumberOf(aVersion)) },
        { "known", std::to_string(NumberOf(known)) } });
}

void EntryReduction::Take(const ZoneRow& aRow)
{
  // The operators write the row again if the zone is still out.
  const bool mayBeMissing = m_now < m_state.m_rewrittenUntil &&
                            m_state.m_zonesOut.count(aRow.m_zone) > 0;
  if (!aRow.m_isOut && mayBeMissing) {
    Log(
      LogLevel::Info, "zone-row-missing", { { "zone", aRow.m_zone.Value() } });
    m_state.m_missingZonesOut.insert(aRow.m_zone);
    return;
  }
  m_state.m_missingZonesOut.erase(aRow.m_zone);
  SetZoneOut(aRow.m_zone, aRow.m_isOut);
}

void EntryReduction::SetZoneOut(const ZoneId& aZone, bool aIsOut)
{
  Log(LogLevel::Info,
      aIsOut ? "zone-out" : "zone-in",
      { { "zone", aZone.Value() } });
  if (aIsOut) {
    m_state.m_zonesOut.insert(aZone);
  } else {
    m_state.m_zonesOut.erase(aZone);
    m_state.m_zonesReturnedAt[aZone] = m_now;
  }
  m_state.m_areBackendsStale = true;
}

// Takes back in the zones whose rows were not written again in a new era.
void EntryReduction::ReturnMissingZones()
{
  if (m_now < m_state.m_rewrittenUntil) {
    return;
  }
  for (const ZoneId& zone : std::exchange(m_state.m_missingZonesOut, {})) {
    SetZoneOut(zone, false);
  }
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
  if (!isNew && known->second.m_startedAt != record.m_startedAt) {
    ReportServerLost(known->second);
  }
  MembershipUpdate update;
  update.m_asOf = m_now;
  update.m_startedAt = record.m_startedAt;
  update.m_membership = std::exchange(record.m_groupMembership, std::nullopt);
  ServerRecord& server = m_state.m_servers[aRow.m_host];
  std::swap(record.m_groupMembership, server.m_groupMembership);
  record.m_membershipHistory = server.m_membershipHistory;
  server = std::move(record);
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
  if (!server->second.m_isDraining) {
    ReportServerLost(server->second);
  }
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

// Probes a server that broke off exchanges, because the store lists a crashed
// one for seconds, or longer while the store is unavailable.
void EntryReduction::CheckIfRunning(const ServerRun& aServer)
{
  const auto known = m_state.m_servers.find(aServer.m_server);
  if (known == m_state.m_servers.end()) {
    return;
  }
  if (RunOf(known->second) != aServer.m_run) {
    LogCheck(aServer, "replaced");
    DispatchToGateway(ServerLost{ aServer, known->second.m_domain });
    return;
  }
  if (m_state.m_serversChecked.emplace(aServer.m_server, aServer.m_run)
        .second) {
    m_effects.emplace_back(ProbeServerNow{ known->second });
  }
}

void EntryReduction::LogCheck(const ServerRun& aServer, const char* aOutcome)
{
  Log(LogLevel::Info,
      "server-checked",
      { { "server", aServer.m_server.Value() },
        { "run", aServer.m_run.Value() },
        { "outcome", aOutcome } });
}

// Tells the gateway what a probe of a server that broke off exchanges has
// shown. One that timed out shows nothing; the store will tell.
void EntryReduction::EndCheck(const ServerProbed& aProbed)
{
  const auto check = m_state.m_serversChecked.find(aProbed.m_host);
  if (check == m_state.m_serversChecked.end()) {
    return;
  }
  const ServerRun run{ check->first, check->second };
  m_state.m_serversChecked.erase(check);
  const auto* record = std::get_if<ServerRecord>(&aProbed.m_record);
  const Error* error = GetError(aProbed.m_record);
  const bool isSameRun = record != nullptr && RunOf(*record) == run.m_run;
  if (error != nullptr && error->m_code == ResultCode::DeadlineExceeded) {
    LogCheck(run, "timeout");
    return;
  }
  const bool isThere =
    error != nullptr && error->m_code != ResultCode::BackendFailed;
  if (isSameRun || isThere) {
    LogCheck(run, "running");
    DispatchToGateway(ServerAlive{ run });
    return;
  }
  const auto known = m_state.m_servers.find(run.m_server);
  const bool isPlanned =
    known != m_state.m_servers.end() && known->second.m_isDraining;
  LogCheck(run, isPlanned ? "shut-down" : "lost");
  if (!isPlanned) {
    const bool isKnown = known != m_state.m_servers.end();
    DispatchToGateway(
      ServerLost{ run, isKnown ? known->second.m_domain : DomainId() });
  }
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
      entry = m_state.m_servers.erase(entry);
      hasRemoved = true;
    } else {
      ++entry;
    }
  }
  return hasRemoved;
}

// Finds the groups anew, so that each of their members is a known server.
void EntryReduction::UpdateGroups()
{
  do {
    m_state.m_groups =
      FindGroups(m_state.m_servers, m_state.m_routes->Config());
    EraseIf(m_state.m_endedGroups, [&](const GroupId& aGroup) {
      return m_state.m_groups.count(aGroup) == 0;
    });
  } while (RemoveUnlisted());
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

void EntryReduction::Take(const OwnRow& aRow)
{
  if (aRow.m_key == RowKey(kLeaseRowKey)) {
    m_state.m_lease.OnRow(aRow);
    return;
  }
  const std::string& key = aRow.m_key.Value();
  const std::string prefix = kNodeRowPrefix;
  if (key.compare(0, prefix.size(), prefix) != 0) {
    return;
  }
  const std::optional<NodeRow> row =
    aRow.m_value ? DecodeNodeRow(*aRow.m_value) : std::nullopt;
  const NodeId node(key.substr(prefix.size()));
  m_state.m_directory.OnRow(m_now, node, row ? &*row : nullptr);
  m_state.m_roster.OnRow(m_now, node, row.has_value());
  if (node == m_state.m_settings.m_node) {
    HandleOwnNodeRow(aRow, row);
  }
}

// Registers again if this node's own row has foreign content: from an old write
// that was carried out late, or from another process of the same name.
void EntryReduction::HandleOwnNodeRow(const OwnRow& aRow,
                                      const std::optional<NodeRow>& aContent)
{
  const bool isOurs =
    aContent && aContent->m_incarnation == m_state.m_incarnation;
  const bool isLeaving = m_state.m_phase != EntryPhase::Serving;
  if (isOurs) {
    m_state.m_ownRowVersion = aRow.m_version;
  }
  if (isOurs || isLeaving ||
      !m_state.m_roster.OnRowOverwritten(aRow.m_version)) {
    return;
  }
  Log(LogLevel::Warn,
      "registration-displaced",
      { { "version", std::to_string(aRow.m_version.Value()) },
        { "incarnation",
          aContent ? std::to_string(aContent->m_incarnation) : "none" } });
  m_state.m_isRegistered = false;
}

void EntryReduction::Take(const BadRow& aRow)
{
  Log(LogLevel::Warn,
      "row-unreadable",
      { { "key", aRow.m_key }, { "problem", aRow.m_problem } });
}

Backend EntryReduction::MakeBackend(const ServerRecord& aServer,
                                    const ServiceSpec& aService) const
{
  Backend backend;
  backend.m_server = aServer.m_host;
  backend.m_service = aServer.m_service;
  backend.m_run = RunOf(aServer);
  backend.m_endpoint = aServer.m_endpoint;
  backend.m_zone = aServer.m_zone;
  backend.m_slots = aServer.m_slots;
  backend.m_maxConnections = aService.m_maxConnections;
  backend.m_coldRate = aService.m_coldRequestsPerSecond;
  backend.m_coldUntil = ColdUntil(aServer, aService);
  return backend;
}

// Returns until when a server is, or may be, cold. Servers of a zone that
// was taken out may have become cold, and their entries report this only some
// time later.
Millis EntryReduction::ColdUntil(const ServerRecord& aServer,
                                 const ServiceSpec& aService) const
{
  const auto returned = m_state.m_zonesReturnedAt.find(aServer.m_zone);
  if (returned == m_state.m_zonesReturnedAt.end()) {
    return aServer.m_coldUntil;
  }
  return std::max(aServer.m_coldUntil, returned->second + aService.m_coldTime);
}

// Returns the stated times of a service's engine, with the strictest goal for
// the pauses of the streams that are routed to the service.
EngineTimes EntryReduction::TimesOf(const ServiceSpec& aService) const
{
  constexpr double kMillisPerSecond = 1'000;
  const EngineSpec& engine = *aService.m_engine;
  EngineTimes times;
  times.m_stepMillis = engine.m_stepMillis;
  times.m_stepMillisPerRequest = engine.m_stepMillisPerRequest;
  times.m_prefillTokensPerMilli =
    engine.m_prefillTokensPerSecond / kMillisPerSecond;
  times.m_prefillChunkTokens = engine.m_prefillChunkTokens;
  times.m_stepsPerPass = engine.m_stepsPerPass;
  for (const RouteRule& route : m_state.m_routes->Config().m_routes) {
    const bool isToService =
      std::any_of(route.m_services.begin(),
                  route.m_services.end(),
                  [&](const WeightedService& aTarget) {
                    return aTarget.m_service == aService.m_id;
                  });
    if (isToService && route.m_kind == RouteKind::Stream) {
      times.m_gapGoal = times.m_gapGoal == Millis()
                          ? route.m_gapGoal
                          : std::min(times.m_gapGoal, route.m_gapGoal);
    }
  }
  return times;
}

// Returns the backends that may receive new requests: servers of services
// without groups, and the leaders of groups that serve.
std::vector<Backend> EntryReduction::MakeBackends()
{
  std::vector<Backend> backends;
  for (const auto& [host, server] : m_state.m_servers) {
    const ServiceSpec* service =
      m_state.m_routes->FindService(server.m_service);
    const bool isUsable = service != nullptr && !service->m_engine &&
                          !server.m_isDraining &&
                          m_state.m_zonesOut.count(server.m_zone) == 0;
    if (isUsable) {
      backends.push_back(MakeBackend(server, *service));
    }
  }
  // A configuration may have thousands of routes: they are searched once for
  // each service, not for each group.
  std::map<ServiceId, EngineTimes> timesOfServices;
  for (const auto& [id, group] : m_state.m_groups) {
    const ServiceSpec* service = m_state.m_routes->FindService(group.m_service);
    if (!IsServing(group) || service == nullptr ||
        m_state.m_endedGroups.count(id) > 0) {
      continue;
    }
    const auto found = m_state.m_servers.find(group.Leader());
    if (found == m_state.m_servers.end()) {
      // UpdateGroups() leaves no such group; one must not end this node.
      Log(LogLevel::Warn,
          "group-leader-unknown",
          { { "group", id.Value() }, { "leader", group.Leader().Value() } });
      continue;
    }
    const ServerRecord& leader = found->second;
    if (leader.m_isDraining || m_state.m_zonesOut.count(leader.m_zone) > 0) {
      continue;
    }
    Backend backend = MakeBackend(leader, *service);
    backend.m_group = id;
    backend.m_model = group.m_model;
    backend.m_slots = service->m_engine->m_slots;
    const ReplicaModel* model = service->m_engine->FindModel(group.m_model);
    backend.m_maxPassTime = service->m_engine->MaxPassTime(
      model == nullptr ? 1 : model->m_timeFactor);
    auto times = timesOfServices.find(service->m_id);
    if (times == timesOfServices.end()) {
      times = timesOfServices.emplace(service->m_id, TimesOf(*service)).first;
    }
    backend.m_times =
      times->second.MultipliedBy(model == nullptr ? 1 : model->m_timeFactor);
    backends.push_back(std::move(backend));
  }
  return backends;
}

void EntryReduction::UpdateBackends()
{
  m_state.m_areBackendsStale = false;
  m_state.m_backendsUpdatedAt = m_now;
  if (!m_state.m_routes) {
    return;
  }
  UpdateGroups();
  DispatchToGateway(BackendsChanged{ MakeBackends() });
}

} // namespace briarglade::internal
