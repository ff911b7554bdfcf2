// The address of a TCP listener.

#pragma once

#include <cstdint>
#include <string>

namespace briarglade {

// An IP number and a port. A process never resolves names.
struct Endpoint
{
  std::string m_ip;
  uint16_t m_port = 0;

  bool operator==(const Endpoint& aOther) const
  {
    return m_ip == aOther.m_ip && m_port == aOther.m_port;
  }
  bool operator!=(const Endpoint& aOther) const { return !(*this == aOther); }
  bool operator<(const Endpoint& aOther) const
  {
    return m_ip != aOther.m_ip ? m_ip < aOther.m_ip : m_port < aOther.m_port;
  }

  // Returns the address as "ip:port".
  std::string ToString() const { return m_ip + ":" + std::to_string(m_port); }
};

} // namespace briarglade
