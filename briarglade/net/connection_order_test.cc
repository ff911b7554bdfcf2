// Tests of the choice of the connection that is closed for a new one, in
// virtual time.

#include "briarglade/net/connection_order.h"

#include <doctest/doctest.h>
#include <vector>

namespace briarglade {
namespace {

struct FakeConnection
{
  bool m_waitsForNode = false;
};

bool WaitsForNode(const FakeConnection& aConnection)
{
  return aConnection.m_waitsForNode;
}

TEST_CASE("the connection that has been idle or incomplete for longest is "
          "closed, never one whose request is being handled")
{
  ConnectionOrder<FakeConnection> order;
  FakeConnection busy;
  FakeConnection idle;
  FakeConnection incomplete;
  const auto busyPlace = order.Add(busy, Millis(1));
  const auto incompletePlace = order.Add(incomplete, Millis(2));
  order.Add(idle, Millis(3));
  order.SetBusy(busyPlace, Millis(4));
  order.SetWaiting(incompletePlace, Millis(5));
  CHECK(order.Choose(WaitsForNode) == &idle);
  // Once it is answered, it is the last one to be closed.
  order.SetWaiting(busyPlace, Millis(6));
  order.SetBusy(incompletePlace, Millis(7));
  CHECK(order.Choose(WaitsForNode) == &idle);
  order.Remove(incompletePlace);
  CHECK(order.Choose(WaitsForNode) == &idle);
}

TEST_CASE("if all requests are being handled, none is closed")
{
  ConnectionOrder<FakeConnection> order;
  FakeConnection busy;
  order.SetBusy(order.Add(busy, Millis(1)), Millis(2));
  CHECK(order.Choose(WaitsForNode) == nullptr);
}

TEST_CASE("a connection whose request has come but was not read is passed "
          "over, with a bound on how many are examined")
{
  ConnectionOrder<FakeConnection> order;
  std::vector<FakeConnection> connections(
    ConnectionOrder<FakeConnection>::kMaxExamined + 1);
  for (FakeConnection& connection : connections) {
    connection.m_waitsForNode = true;
    order.Add(connection, Millis(1));
  }
  connections[2].m_waitsForNode = false;
  CHECK(order.Choose(WaitsForNode) == &connections[2]);
  connections[2].m_waitsForNode = true;
  connections.back().m_waitsForNode = false;
  CHECK(order.Choose(WaitsForNode) == nullptr);
}

} // namespace
} // namespace briarglade
