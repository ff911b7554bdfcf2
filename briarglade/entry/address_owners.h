// Knows which server was the last one to start at each address. A server that
// crashes stays listed for some heartbeats, while another one, mostly with
// another id, may already run at its address.
//
// Example:
//   AddressOwners owners;
//   owners.RecordStart(address, HostId("old"), 1'000);
//   owners.RecordStart(address, HostId("new"), 2'000);  // returns "old"

#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"

namespace briarglade {

class AddressOwners
{
public:
  // The last server that started at an address.
  struct Owner
  {
    HostId m_server;
    // In milliseconds since the Unix epoch.
    int64_t m_startedAt = 0;
  };

  // Records that a server has started at an address, at aStartedAt in
  // milliseconds since the Unix epoch. Returns the server that must have ended
  // because of another one's later start there; it may be the given one.
  // Returns nothing if there is none, or if a start or the address is not
  // known.
  std::optional<HostId> RecordStart(const Endpoint& aAddress,
                                    const HostId& aServer,
                                    int64_t aStartedAt);
  // Records that a server has itself answered at an address. Returns the server
  // that was taken to be there, if that is another one: it is not.
  std::optional<HostId> Confirm(const Endpoint& aAddress,
                                const HostId& aServer,
                                int64_t aStartedAt);
  // Forgets a server that is no longer listed, or no longer at the address.
  void Remove(const Endpoint& aAddress, const HostId& aServer);
  // Returns the address's owner, with an empty id if there is none.
  Owner OwnerAt(const Endpoint& aAddress) const;

private:
  std::map<Endpoint, Owner> m_owners;
};

} // namespace briarglade
