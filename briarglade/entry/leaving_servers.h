// Servers that have said in an answer that they are shutting down, by this
// node's own answers or another node's word. The store may not say so yet, or
// never, and may show the entry again after an outage; a new run of the server
// under the same id is not leaving.
//
// Example:
//   if (leaving.Note(now, server)) { TellOthers(server); }
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
  // Learns that a run of a server is shutting down. Returns whether that is
  // new.
  bool Note(Millis aNow, const ServerRun& aServer);
  bool Contains(const ServerRun& aServer) const;
  // Forgets servers that must have ended by now.
  void Forget(Millis aNow);

private:
  struct Entry
  {
    BootId m_run;
    Millis m_since;
  };
  std::map<HostId, Entry> m_servers;
};

} // namespace briarglade
