// Names of order kinds and order statuses.

#include "briarglade/grouping/group_order.h"

namespace briarglade {

const char* OrderKindName(OrderKind aKind)
{
  switch (aKind) {
    case OrderKind::Join:
      return "join";
    case OrderKind::Open:
      return "open";
    case OrderKind::Close:
      return "close";
    case OrderKind::Leave:
      return "leave";
    case OrderKind::Stage:
      return "stage";
  }
  return "unknown";
}

const char* OrderStatusName(OrderStatus aStatus)
{
  switch (aStatus) {
    case OrderStatus::Accepted:
      return "accepted";
    case OrderStatus::Done:
      return "done";
    case OrderStatus::Conflict:
      return "conflict";
    case OrderStatus::Fenced:
      return "fenced";
    case OrderStatus::WrongServer:
      return "wrong-server";
    case OrderStatus::Invalid:
      return "invalid";
    case OrderStatus::Unknown:
      return "no-answer";
  }
  return "no-answer";
}

} // namespace briarglade
