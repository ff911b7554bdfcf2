// Orders to backend servers that form and end groups, and their results.

#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/grouping/membership_update.h"

namespace briarglade {

enum class OrderKind
{
  // Join a group as a member and load its model.
  Join,
  // Sent to a leader: start to serve requests.
  Open,
  // Sent to a leader: finish the running requests and accept no new ones.
  Close,
  // Leave the group immediately.
  Leave,
  // Load a model's weights onto the host in the background.
  Stage
};

// Returns the lower-case name of an order kind, for logs.
const char* OrderKindName(OrderKind aKind);

// What the lease holder knew of a server when it decided on an order, for logs.
struct OrderBasis
{
  Millis m_decidedAt;
  // The group that the server was known to be in, or empty; who said so, and as
  // of when.
  GroupId m_group;
  UpdateSource m_source = UpdateSource::Row;
  Millis m_knownAsOf;
};

struct GroupOrder
{
  // Identifies the order in the server's answer.
  OperationId m_operation;
  OrderKind m_kind = OrderKind::Join;
  HostId m_host;
  Endpoint m_endpoint;
  GroupId m_group;
  Generation m_generation;
  ModelId m_model;
  // The members by rank; the first is the leader. Only set for Join.
  std::vector<HostId> m_members;
  FencingToken m_fencing;
  // The server rejects the order with a conflict unless it has accepted exactly
  // this number of orders. Ensures that it still is in the state that it
  // reported, however late the order is carried out.
  std::optional<uint64_t> m_expectedOrders;
  OrderBasis m_basis;
};

// The outcome of an order, known once its exchange with the server has ended.
enum class OrderStatus
{
  // The server has started to carry out the order.
  Accepted,
  // The server is already in the ordered state.
  Done,
  // The order is not possible in the server's current state.
  Conflict,
  // The server has seen a newer lease holder or a newer generation.
  Fenced,
  // A different server now runs at the address.
  WrongServer,
  // The server does not support the order or could not parse it.
  Invalid,
  // No answer, or an unreadable one. The order may still be carried out later.
  Unknown
};

// Returns the lower-case name of an order status, for logs.
const char* OrderStatusName(OrderStatus aStatus);

// An order and its outcome, reported once its exchange has ended.
struct OrderAnswered
{
  GroupOrder m_order;
  OrderStatus m_status = OrderStatus::Unknown;
};

} // namespace briarglade
