// Orders and probes of one call each, to a server whose answers a test states.
//
// Example:
//   CHECK(OrderAt(loop, client, address, timeout) == OrderStatus::Unknown);

#pragma once

#include <utility>

#include "briarglade/grouping/group_order.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_client.h"
#include "platform/servers.h"

namespace briarglade::standin {

// Sends an order to open a group to the server i-1 at an address. Returns its
// outcome; the loop must be free.
inline OrderStatus OrderAt(EventLoop& aLoop,
                           HttpClient& aClient,
                           const Endpoint& aAddress,
                           Millis aTimeout)
{
  GroupOrder order;
  order.m_kind = OrderKind::Open;
  order.m_host = HostId("i-1");
  order.m_endpoint = aAddress;
  OrderStatus status = OrderStatus::Done;
  platform::SendOrder(aClient, order, aTimeout, [&](const OrderAnswered& aEnd) {
    status = aEnd.m_status;
    aLoop.Stop();
  });
  aLoop.Run();
  return status;
}

// Asks the server i-1 at an address for its report.
inline Result<ServerRecord> ProbeAt(EventLoop& aLoop,
                                    HttpClient& aClient,
                                    const Endpoint& aAddress,
                                    Millis aTimeout)
{
  ServerRecord record;
  record.m_host = HostId("i-1");
  record.m_endpoint = aAddress;
  Result<ServerRecord> probed = record;
  platform::ProbeServer(
    aClient, record, aTimeout, [&](Result<ServerRecord> aProbed) {
      probed = std::move(aProbed);
      aLoop.Stop();
    });
  aLoop.Run();
  return probed;
}

} // namespace briarglade::standin
