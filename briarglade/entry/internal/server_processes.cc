// Which process of a server a statement is about. A server that has restarted
// answers at the address of its earlier process, mostly under another id, while
// the earlier one's entry is still listed.

#include "briarglade/entry/internal/entry_reduction.h"

#include <string>

namespace briarglade::internal {

// Takes over what is known of a server into its newer entry: that the process
// has ended, if the entry is about the same one. If it is not, the earlier one
// is lost.
void EntryReduction::CarryOver(const ServerRecord& aKnown, ServerRecord& aEntry)
{
  if (aKnown.m_startedAt == aEntry.m_startedAt) {
    aEntry.m_endedAt = aKnown.m_endedAt;
  } else if (!aKnown.m_endedAt) {
    ReportServerLost(aKnown);
  }
  if (aKnown.m_endpoint != aEntry.m_endpoint) {
    m_state.m_addressOwners.Remove(aKnown.m_endpoint, aKnown.m_host);
  }
}

// Records where a server has started, by its entry. Of two servers with the
// same address, the one that started earlier has ended.
void EntryReduction::RecordStart(const ServerRecord& aServer)
{
  const bool isOfForeignService =
    m_state.m_routes &&
    m_state.m_routes->FindService(aServer.m_service) == nullptr;
  if (isOfForeignService || aServer.m_endedAt) {
    // An entry of such a service may be another writer's, and names no server.
    return;
  }
  EndDisplaced(m_state.m_addressOwners.RecordStart(
                 aServer.m_endpoint, aServer.m_host, aServer.m_startedAt),
               "entry",
               m_now);
}

// Ends the process of a server that is not at its address any more, if there is
// one.
void EntryReduction::EndDisplaced(const std::optional<HostId>& aServer,
                                  const char* aShownBy,
                                  Millis aShownAt)
{
  const auto found =
    aServer ? m_state.m_servers.find(*aServer) : m_state.m_servers.end();
  if (found != m_state.m_servers.end()) {
    const AddressOwners::Owner owner =
      m_state.m_addressOwners.OwnerAt(found->second.m_endpoint);
    EndProcess(
      found->second,
      OtherProcess{ owner.m_server, owner.m_startedAt, aShownBy, aShownAt });
  }
}

// Records that the process that a server's record is about has ended.
void EntryReduction::EndProcess(ServerRecord& aServer,
                                const OtherProcess& aOther)
{
  if (aServer.m_endedAt) {
    return;
  }
  Log(LogLevel::Info,
      "server-process-ended",
      { { "server", aServer.m_host.Value() },
        { "address", aServer.m_endpoint.ToString() },
        { "run", RunOf(aServer).Value() },
        { "shown-by", aOther.m_shownBy },
        { "age-ms", std::to_string((m_now - aOther.m_shownAt).Count()) },
        { "other-server", aOther.m_server.Value() },
        { "other-run", std::to_string(aOther.m_startedAt) } });
  aServer.m_endedAt = m_now;
  aServer.m_groupMembership.reset();
  m_state.m_ambiguousServers.erase(aServer.m_host);
  m_state.m_areBackendsStale = true;
  if (!aServer.m_isDraining) {
    ReportServerLost(aServer);
  }
}

// Returns what the answer to a probe is about. aKnown is the server's present
// record, or null if the server is no longer listed.
ProbeSubject EntryReduction::SubjectOf(const ServerProbed& aProbed,
                                       const ServerRecord* aKnown)
{
  const auto* report = std::get_if<ServerRecord>(&aProbed.m_record);
  if (aKnown == nullptr) {
    // Its entry may come back: the answer is still that of the asked process.
    return report == nullptr || report->Process() == aProbed.m_asked
             ? ProbeSubject::KnownProcess
             : ProbeSubject::OtherProcess;
  }
  const bool wasAsked = aProbed.m_asked == aKnown->Process();
  if (report == nullptr) {
    return wasAsked ? ProbeSubject::KnownProcess : ProbeSubject::Unclear;
  }
  const bool isSame =
    report->m_endpoint == aKnown->m_endpoint &&
    (report->m_startedAt == aKnown->m_startedAt || aKnown->m_startedAt == 0);
  if (isSame) {
    return ProbeSubject::KnownProcess;
  }
  return wasAsked ? ProbeSubject::OtherProcess : ProbeSubject::Unclear;
}

void EntryReduction::On(const ServerProbed& aProbed)
{
  EndCheck(aProbed);
  const auto found = m_state.m_servers.find(aProbed.m_host);
  ServerRecord* known =
    found == m_state.m_servers.end() ? nullptr : &found->second;
  const auto* report = std::get_if<ServerRecord>(&aProbed.m_record);
  const Error* error = GetError(aProbed.m_record);
  bool isGone = error != nullptr && error->m_code == ResultCode::BackendFailed;
  switch (SubjectOf(aProbed, known)) {
    case ProbeSubject::KnownProcess:
      if (report != nullptr && known != nullptr) {
        ApplyReport(*known, *report, aProbed.m_requestedAt);
      }
      break;
    case ProbeSubject::OtherProcess:
      if (known != nullptr) {
        EndProcess(
          *known,
          OtherProcess{
            HostId(), report->m_startedAt, "report", aProbed.m_requestedAt });
      }
      report = nullptr;
      isGone = true;
      break;
    case ProbeSubject::Unclear:
      // The entry of a later process was read while the probe was under way.
      Log(LogLevel::Info,
          "report-of-earlier-process",
          { { "server", aProbed.m_host.Value() },
            { "asked-run", std::to_string(aProbed.m_asked.m_startedAt) },
            { "run", RunOf(*known).Value() },
            { "outcome", report == nullptr ? "failed" : "report" },
            { "age-ms",
              std::to_string((m_now - aProbed.m_requestedAt).Count()) } });
      if (m_state.m_control.IsActive()) {
        m_effects.emplace_back(ProbeServerNow{ *known });
      }
      return;
  }
  m_state.m_control.OnProbed(m_now, aProbed.m_host, report, isGone);
  TickControlSoon();
}

// Applies a server's own report, which was requested at aRequestedAt.
void EntryReduction::ApplyReport(ServerRecord& aServer,
                                 const ServerRecord& aReport,
                                 Millis aRequestedAt)
{
  if (aServer.m_endedAt && aRequestedAt > *aServer.m_endedAt) {
    // It runs, so what showed another start at its address was wrong.
    Log(LogLevel::Warn,
        "server-process-runs",
        { { "server", aServer.m_host.Value() },
          { "run", RunOf(aServer).Value() },
          { "age-ms", std::to_string((m_now - aRequestedAt).Count()) },
          { "taken-for-ended-ms",
            std::to_string((m_now - *aServer.m_endedAt).Count()) } });
    aServer.m_endedAt.reset();
    EndDisplaced(m_state.m_addressOwners.Confirm(
                   aServer.m_endpoint, aServer.m_host, aServer.m_startedAt),
                 "report",
                 aRequestedAt);
  }
  MembershipUpdate update;
  update.m_source = UpdateSource::Report;
  update.m_asOf = aRequestedAt;
  update.m_startedAt = aReport.m_startedAt;
  update.m_membership = aReport.m_groupMembership;
  update.m_orderCount = aReport.m_orderCount;
  ApplyMembership(aServer, update);
  aServer.m_staged = aReport.m_staged;
  aServer.m_slowdown = aReport.m_slowdown;
  m_state.m_areBackendsStale = true;
}

} // namespace briarglade::internal
