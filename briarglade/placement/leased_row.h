// A table row that one node at a time may change, under a lease with a fencing
// token. Both are plain conditional writes to the table service.
//
// There is no shared clock. The holder counts its lease from the moment before
// it sent the write; any other node counts from the moment it first saw the
// row's version, and takes over only when that version has stood for the lease
// time and a margin. So the holder's lease has always ended first, also when it
// was paused: it checks the lease before every order and every write.
//
// After it has taken the lease a node reads the row, then writes it once with
// its own token. That write makes every late write of an earlier holder fail on
// the row's version. The answer to a write may be lost: the row is read back,
// and the write's operation id there tells that it took effect.
//
// With the table unreachable the lease runs out and nothing changes.
//
// Example:
//   TickLeasedRow(row, now, effects);           // renews, reads, takes over
//   if (MayChange(row, now)) { ProposeValue(row, now, body, effects); }

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/unique_ids.h"
#include "briarglade/storage/table.h"

namespace briarglade {

constexpr Millis kLeaseTime = Millis(10'000);
// How much longer than the lease time others wait.
constexpr Millis kLeaseMargin = Millis(1'000);

// An operation on the table.
using TableOperation = std::variant<TableRead, TableWrite>;

// The row's value as stored: who wrote it, under which token.
struct LeasedValue
{
  FencingToken m_fencing;
  NodeId m_holder;
  std::string m_body;
};

struct LeasedRow
{
  // Fixed at the start.
  RowKey m_leaseKey;
  RowKey m_rowKey;
  NodeId m_self;
  // Nodes with a lower rank take a free lease earlier.
  uint32_t m_rank = 0;

  // The lease row as last seen.
  bool m_leaseKnown = false;
  RowVersion m_leaseVersion;
  FencingToken m_token;
  NodeId m_holder;
  Millis m_leaseSeenAt;
  Millis m_nextLeaseRead;
  // This node's own lease.
  bool m_held = false;
  Millis m_validUntil;
  // When the lease was first held under this token.
  Millis m_heldSince;

  // The row itself.
  RowVersion m_version;
  LeasedValue m_value;
  // The row has been read, and written with this token, since m_heldSince.
  bool m_isRead = false;
  bool m_isFenced = false;

  // The lease operation and the row operation under way, if any.
  OperationId m_leaseOperation;
  bool m_leaseIsWrite = false;
  Millis m_leaseSentAt;
  OperationId m_lastLeaseWrite;
  Millis m_lastLeaseWriteAt = Millis(-1'000'000);
  OperationId m_rowOperation;
  bool m_rowIsWrite = false;
  // A write to the row whose fate is unknown.
  OperationId m_lostWrite;
  Millis m_rowSentAt = Millis(-1'000'000);
};

// Lets time pass. Operations carry ids from aIds.
void TickLeasedRow(LeasedRow& aRow,
                   Millis aNow,
                   UniqueIds& aIds,
                   std::vector<TableOperation>& aOperations);

// Takes the end of an operation; results of others are ignored. Returns whether
// the row's value may have changed.
bool OnLeasedResult(LeasedRow& aRow, Millis aNow, const TableResult& aResult);

// Tells whether this node holds the lease.
bool HoldsLease(const LeasedRow& aRow, Millis aNow);

// Tells whether this node may act on the row: it holds the lease, has read and
// fenced the row, and no write is under way.
bool MayChange(const LeasedRow& aRow, Millis aNow);

// Writes a new body. Call only when MayChange().
void ProposeValue(LeasedRow& aRow,
                  Millis aNow,
                  const std::string& aBody,
                  UniqueIds& aIds,
                  std::vector<TableOperation>& aOperations);

// Reads a stored value; returns false if the text is not one.
bool ParseLeasedValue(const std::string& aText, LeasedValue& aValue);

} // namespace briarglade
