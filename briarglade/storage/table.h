// The platform's table service as the product sees it: rows of JSON text with
// conditional writes. Requests are data, so that the decision core can ask for
// them; TableClient in this folder carries them out.
//
// Every write carries an operation id, kept in the row. When the answer to a
// write is lost, the writer reads the row back: its own operation id there
// means the write took effect.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "briarglade/base/ids.h"

namespace briarglade {

// The version of one row, raised by the table service with every write. Zero:
// the row doesn't exist.
using RowVersion = StrongCount<struct RowVersionTag>;

// The name of a row, such as "config/wa-south" or "domain/perth-a-1".
using RowKey = StrongId<struct RowKeyTag>;

// One row as read.
struct TableRow
{
  RowKey m_key;
  RowVersion m_version;
  // The operation id of the write that made this version.
  OperationId m_operation;
  std::string m_value;
  // In listings only: the row was deleted by this version.
  bool m_deleted = false;
};

// A write that takes effect only if the row still has the expected version.
struct TableWrite
{
  OperationId m_operation;
  RowKey m_key;
  // Zero: the row must not exist.
  RowVersion m_expected;
  std::string m_value;
  // Deletes the row instead of storing the value.
  bool m_delete = false;
};

// A read of one row, or of all rows below a prefix that have changed since.
struct TableRead
{
  OperationId m_operation;
  // The whole key, or the prefix if m_isPrefix.
  RowKey m_key;
  bool m_isPrefix = false;
  // With a prefix: only rows written after this change number of the table.
  uint64_t m_sinceChange = 0;
};

// What is known of a table operation once it has ended.
enum class TableStatus
{
  // Read or written as asked.
  Ok,
  // The read found no such row.
  NotFound,
  // The write's expected version was not the row's: nothing was written.
  Conflict,
  // The request certainly did not reach the table.
  Unreachable,
  // The answer was lost: a write may have taken effect.
  Unknown
};

// The end of a TableWrite or TableRead.
struct TableResult
{
  OperationId m_operation;
  RowKey m_key;
  TableStatus m_status = TableStatus::Unreachable;
  // The rows read; after a write that took effect, the row written. After a
  // conflict, the row that stands in the way, if the service sent it.
  std::vector<TableRow> m_rows;
  // The table's change number at the time of the read.
  uint64_t m_change = 0;
};

using TableResultHandler = std::function<void(const TableResult&)>;

// The binding to a table service. Another service takes its place by other
// functions. Each handler is called exactly once, later, on the same thread.
struct TableService
{
  std::function<void(const TableWrite&, TableResultHandler)> m_write;
  std::function<void(const TableRead&, TableResultHandler)> m_read;
};

// One host in the platform's list, which lags behind the truth.
struct ListedHost
{
  HostId m_host;
  ZoneId m_zone;
  DomainId m_domain;
  // The host will go away; it should be drained.
  bool m_leaving = false;
};

// A whole answer of the platform's host list.
struct HostList
{
  std::vector<ListedHost> m_hosts;
};

// The binding to the platform's host list. The handler gets false when the list
// could not be read.
struct HostListService
{
  std::function<void(std::function<void(bool aOk, const HostList&)>)> m_read;
};

} // namespace briarglade
