// Servers that have reported that they are shutting down.

#include "briarglade/entry/leaving_servers.h"

#include "briarglade/base/erase_if.h"

namespace briarglade {

namespace {

// How long an entry is kept. Longer than a server takes to shut down.
constexpr Millis kEntryLifetime = Millis(300'000);

} // namespace

bool LeavingServers::Add(Millis aNow, const ServerRun& aServer)
{
  if (Contains(aServer)) {
    return false;
  }
  m_servers[aServer.m_server] = Entry{ aServer.m_run, aNow };
  return true;
}

bool LeavingServers::Contains(const ServerRun& aServer) const
{
  const auto found = m_servers.find(aServer.m_server);
  return found != m_servers.end() && found->second.m_run == aServer.m_run;
}

void LeavingServers::RemoveExpired(Millis aNow)
{
  EraseIf(m_servers, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_since >= kEntryLifetime;
  });
}

} // namespace briarglade
