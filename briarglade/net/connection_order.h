// Which connection is closed to admit a new one when there are as many as
// allowed.
//
// Load pattern: clients that nobody controls hold all connections and complete
// no request, so that new clients are kept out until the time for a request is
// over. The connection that has been idle or has had an incomplete request for
// longest is closed. A connection whose request is being handled, or whose
// answer is being taken, is never chosen. One whose next request has come and
// only waits for this node is passed over: on a busy host many connections are
// accepted before any of them is read.
//
// Takes the time as an argument and uses no clock or socket.
//
// Example:
//   ConnectionOrder<Connection> order;
//   const auto place = order.Add(connection, now);
//   order.SetBusy(place, now);
//   order.SetWaiting(place, now);
//   if (Connection* oldest = order.Choose(waitsForNode)) { ... }

#pragma once

#include <cstddef>
#include <functional>
#include <list>

#include "briarglade/base/millis.h"

namespace briarglade {

template<typename Connection>
class ConnectionOrder
{
public:
  struct Entry
  {
    Connection* m_connection;
    // Since when it has been idle, incomplete or busy.
    Millis m_since;
    bool m_isWaiting;
  };
  using Place = typename std::list<Entry>::iterator;

  // How many connections are examined for one that may be closed. Bounds the
  // work for each new connection.
  static constexpr size_t kMaxExamined = 8;

  // Adds a connection, which is idle.
  Place Add(Connection& aConnection, Millis aNow)
  {
    return m_waiting.insert(m_waiting.end(), Entry{ &aConnection, aNow, true });
  }
  void Remove(Place aPlace) { ListOf(aPlace).erase(aPlace); }

  // The connection is idle, or its request is incomplete, from now on.
  void SetWaiting(Place aPlace, Millis aNow) { Move(aPlace, aNow, true); }
  // The connection's request is being handled, or its answer is being taken.
  void SetBusy(Place aPlace, Millis aNow) { Move(aPlace, aNow, false); }

  // Returns the connection to close, or nullptr if none may be closed. The
  // function tells whether a connection's request only waits for this node.
  Connection* Choose(
    const std::function<bool(const Connection&)>& aWaitsForNode) const
  {
    size_t examined = 0;
    for (const Entry& entry : m_waiting) {
      if (++examined > kMaxExamined) {
        break;
      }
      if (!aWaitsForNode(*entry.m_connection)) {
        return entry.m_connection;
      }
    }
    return nullptr;
  }

private:
  std::list<Entry>& ListOf(Place aPlace)
  {
    return aPlace->m_isWaiting ? m_waiting : m_busy;
  }

  void Move(Place aPlace, Millis aNow, bool aIsWaiting)
  {
    std::list<Entry>& from = ListOf(aPlace);
    aPlace->m_since = aNow;
    aPlace->m_isWaiting = aIsWaiting;
    std::list<Entry>& to = ListOf(aPlace);
    to.splice(to.end(), from, aPlace);
  }

  // The one that has waited for longest comes first.
  std::list<Entry> m_waiting;
  std::list<Entry> m_busy;
};

} // namespace briarglade
