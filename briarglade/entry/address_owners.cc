// Keeps the last start at each address.

#include "briarglade/entry/address_owners.h"

#include <utility>

namespace briarglade {

std::optional<HostId> AddressOwners::RecordStart(const Endpoint& aAddress,
                                                 const HostId& aServer,
                                                 int64_t aStartedAt)
{
  if (aAddress.m_port == 0 || aStartedAt == 0) {
    return std::nullopt;
  }
  const auto [entry, isNew] =
    m_owners.try_emplace(aAddress, Owner{ aServer, aStartedAt });
  Owner& owner = entry->second;
  if (isNew || owner.m_startedAt == aStartedAt) {
    return std::nullopt;
  }
  if (owner.m_server == aServer) {
    owner.m_startedAt = aStartedAt;
    return std::nullopt;
  }
  if (aStartedAt < owner.m_startedAt) {
    return aServer;
  }
  const HostId ended = owner.m_server;
  owner = Owner{ aServer, aStartedAt };
  return ended;
}

std::optional<HostId> AddressOwners::Confirm(const Endpoint& aAddress,
                                             const HostId& aServer,
                                             int64_t aStartedAt)
{
  const Owner before =
    std::exchange(m_owners[aAddress], Owner{ aServer, aStartedAt });
  const bool wasOther =
    !before.m_server.IsEmpty() && before.m_server != aServer;
  return wasOther ? std::optional<HostId>(before.m_server) : std::nullopt;
}

void AddressOwners::Remove(const Endpoint& aAddress, const HostId& aServer)
{
  const auto owner = m_owners.find(aAddress);
  if (owner != m_owners.end() && owner->second.m_server == aServer) {
    m_owners.erase(owner);
  }
}

AddressOwners::Owner AddressOwners::OwnerAt(const Endpoint& aAddress) const
{
  const auto owner = m_owners.find(aAddress);
  return owner == m_owners.end() ? Owner() : owner->second;
}

} // namespace briarglade
