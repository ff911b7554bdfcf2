// The lease on the control of groups: one row of the store, taken and renewed
// by conditional writes. The version that the taking write made is the fencing
// token, so each holder's token is higher than any before.
//
// The store's clock is steady and shared. A node takes the lease when it has
// lapsed; where the servers check fencing tokens, also when its holder is known
// to have ended, or hasn't been heard of for a while: late orders of the old
// holder are refused by then.
//
// Example:
//   if (std::optional<WriteOwnRow> write = lease.Tick(now, view)) { ... }
//   lease.OnWritten(written);
//   if (lease.IsHeld(now)) { Order(lease.Token()); }

#pragma once

#include <cstdint>
#include <optional>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/unique_ids.h"
#include "briarglade/entry/own_rows.h"
#include "briarglade/entry/store_feed.h"

namespace briarglade {

// What a node knows when it decides on the lease.
struct LeaseView
{
  // The store's clock now, as far as is known.
  Millis m_storeTime;
  // The holder's process has ended, or isn't heard of.
  bool m_isHolderLost = false;
  // Servers refuse orders with an old token.
  bool m_serversCheckFencing = false;
  // This node's place among those that could take a free lease; the first tries
  // first.
  uint32_t m_rank = 0;
  // This node is shutting down.
  bool m_isLeaving = false;
};

class ControlLease
{
public:
  ControlLease() = default;
  ControlLease(NodeId aSelf, uint64_t aIncarnation);

  // Takes the row as the store holds it now; no value: there is none.
  void OnRow(const OwnRow& aRow);
  // The own feed has been read: without a row, the lease is free.
  void OnFeedKnown() { m_isRowKnown = true; }

  // Returns the write that is due, if any.
  std::optional<WriteOwnRow> Tick(Millis aNow, const LeaseView& aView);
  void OnWritten(const OwnRowWritten& aWritten);
  // A server has refused an order as an old one: by an old token, or by an
  // order
  // of this node that overtook it. Until the lease is confirmed it isn't held.
  void OnOrderRefused();

  bool IsHeld(Millis aNow) const
  {
    return m_isHeld && !m_isUnconfirmed && aNow < m_validUntil;
  }
  // Tells whether the lease may still be this node's, once it is confirmed.
  bool IsUnconfirmed(Millis aNow) const
  {
    return m_isHeld && m_isUnconfirmed && aNow < m_validUntil;
  }
  FencingToken Token() const { return m_token; }
  // Returns the holder as the row says; empty if there is none.
  const LeaseRow& Row() const { return m_row; }

private:
  std::optional<WriteOwnRow> Renew(Millis aNow, const LeaseView& aView);
  std::optional<WriteOwnRow> Acquire(Millis aNow, const LeaseView& aView);
  WriteOwnRow MakeWrite(Millis aNow, const LeaseView& aView);

  NodeId m_self;
  uint64_t m_incarnation = 0;
  UniqueIds m_ids;

  bool m_isRowKnown = false;
  // The version that was seen last, a removal's included, and that of the row
  // that is there.
  RowVersion m_seenVersion;
  RowVersion m_rowVersion;
  LeaseRow m_row;
  // Since when the lease could have been taken.
  std::optional<Millis> m_acquirableSince;

  bool m_isHeld = false;
  bool m_isUnconfirmed = false;
  FencingToken m_token;
  Millis m_validUntil;
  // The write under way, and when it was sent.
  OperationId m_operation;
  Millis m_sentAt = Millis(-1'000'000);
};

} // namespace briarglade
