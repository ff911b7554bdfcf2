// The platform's object store as the product sees it: named values, written
// whole. Requests are data, so that the decision core can ask for them.
//
// A name is used for one value only, so a write whose answer was lost is simply
// made again.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "briarglade/base/ids.h"
#include "briarglade/storage/table.h"

namespace briarglade {

// The name of an object, such as "answer/3f…/request-17".
using ObjectName = StrongId<struct ObjectNameTag>;

// Stores a value under a name, or deletes it.
struct ObjectWrite
{
  OperationId m_operation;
  ObjectName m_name;
  // The value; null deletes the object, if it is there.
  std::shared_ptr<const std::string> m_value;
};

struct ObjectRead
{
  OperationId m_operation;
  ObjectName m_name;
};

// The end of an ObjectWrite or ObjectRead. Ok and NotFound are certain;
// Conflict doesn't occur.
struct ObjectResult
{
  OperationId m_operation;
  TableStatus m_status = TableStatus::Unreachable;
  // The value read.
  std::shared_ptr<const std::string> m_value;
};

using ObjectResultHandler = std::function<void(const ObjectResult&)>;

// The binding to an object store. Each handler is called exactly once, later,
// on the same thread.
struct ObjectStoreService
{
  std::function<void(const ObjectWrite&, ObjectResultHandler)> m_write;
  std::function<void(const ObjectRead&, ObjectResultHandler)> m_read;
};

} // namespace briarglade
