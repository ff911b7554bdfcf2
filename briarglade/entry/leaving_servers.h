// Servers that have indicated in an answer, to this node or to another one,
// that they are shutting down. The store may learn this later or never, and may
// contain the entry again after an outage. A new run of the server under the
// same id is not leaving.
//
// Example:
//   if (leaving.Add(now, server)) { NotifyPeers(server); }
//   record.m_isDraining = record.m_isDraining || leaving.Contains(server);

#pragma once

#include <map>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/gateway/gateway_event.h"

namespace briarglade {

class LeavingServers
{
public:
  // Records that a run of a server is shutting down. Returns whether this was
  // not known yet.
  bool Add(Millis aNow, const ServerRun& aServer);
  bool Contains(const ServerRun& aServer) const;
  // Removes servers that must have exited by now.
  void RemoveExpired(Millis aNow);

private:
  struct Entry
  {
    BootId m_run;
    Millis m_since;
  };
  std::map<HostId, Entry> m_servers;
};

} // namespace briarglade
