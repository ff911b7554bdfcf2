// Bounds how many requests a node has in flight at the groups of one model, so
// that the nodes together do not start more than the groups have room for.
//
// Designed for this load pattern: under an overload many nodes have requests
// waiting. Each learns a few times per second, and late, that groups have room,
// and all of them see the same room at the same time. Each node therefore takes
// only its part of the room, once for each update of the others' loads. A
// request that ends may be replaced at once, as only its own node knows of that
// room yet. A part of what each node has is returned at each update and divided
// anew, so that no node keeps its place for good.
//
// Example:
//   allowance.Update(load, draw);
//   if (allowance.MayStart(ownInFlight)) { ... }

#pragma once

#include <cstdint>
#include <optional>

namespace briarglade {

// The requests in flight at the groups of one model, from this node and from
// all nodes, the slots of the groups, and the number of nodes.
struct ModelLoad
{
  uint32_t m_own = 0;
  uint32_t m_all = 0;
  uint32_t m_slots = 0;
  uint32_t m_nodes = 1;
};

class StartAllowance
{
public:
  // Computes the allowance from an update of the other nodes' loads. aDraw is a
  // random number from 0 to 1, for parts of a request.
  void Update(const ModelLoad& aLoad, double aDraw);
  // Returns whether one more request may be started beside aOwn in flight.
  // Before the first update there is no bound.
  bool MayStart(uint32_t aOwn) const
  {
    return !m_maxInFlight || aOwn < *m_maxInFlight;
  }

  // The same for a request that is late already: it takes only room that need
  // not be divided, so that each node's part is left to those on time.
  bool MayStartLate(uint32_t aOwn) const
  {
    return !m_maxWithLate || aOwn < *m_maxWithLate;
  }

private:
  std::optional<uint32_t> m_maxInFlight;
  std::optional<uint32_t> m_maxWithLate;
};

} // namespace briarglade
