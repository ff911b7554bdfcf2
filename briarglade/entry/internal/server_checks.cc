// Probes of servers that broke off exchanges: whether the same process still
// runs.

#include "briarglade/entry/internal/entry_reduction.h"

#include <string>

namespace briarglade::internal {

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
  if (BootId(std::to_string(aProbed.m_asked.m_startedAt)) != run.m_run) {
    // The answer is to the probe of an earlier process.
    return;
  }
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

} // namespace briarglade::internal
