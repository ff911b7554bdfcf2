// The lease on the control of groups: one row of the store, acquired and
// renewed by conditional writes. The version of the row that the acquiring
// write created is the fencing token, so each holder's token is higher than all
// earlier ones.
//
// The store's clock is steady and shared. A node acquires the lease when it has
// expired. If the servers check fencing tokens, a node also acquires it when
// the holder is known to have ended or has been unresponsive for a while; this
// is safe because the servers then refuse late orders of the old holder.
//
// When the store comes back from an older copy, it may have lost the last
// grant. A lease that is known lasts on, and its holder writes it again. One
// that was granted in an earlier era is acquired only after the time of one
// that may have been lost.
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
#include "briarglade/entry/store_version.h"

namespace briarglade {

// The facts on which a node bases its decisions about the lease.
struct LeaseView
{
  // The estimated current time of the store's clock, and its era.
  Millis m_storeTime;
  StoreEra m_storeEra;
  // The holder's process has ended, is unresponsive, or cannot reach the store.
  bool m_isHolderLost = false;
  // Servers refuse orders with an outdated fencing token.
  bool m_serversCheckFencing = false;
  // This node's rank among the nodes that could acquire a free lease. Zero
  // tries first.
  uint32_t m_rank = 0;
  // This node is shutting down.
  bool m_isLeaving = false;
};

// One node's view of the lease, whether it holds it or not.
class ControlLease
{
public:
  ControlLease() = default;
  ControlLease(NodeId aSelf, uint64_t aIncarnation);

  // Applies the row as the store holds it now; no value: the row was removed. A
  // row of a new era of the store that is older than the one known does not end
  // the lease that is known.
  void OnRow(const OwnRow& aRow);
  // Records that Feed::Own has been read: if no row was seen, the lease is
  // free.
  void OnFeedKnown() { m_isRowKnown = true; }

  // Returns the write that is due, if any: to acquire, renew or release the
  // lease.
  std::optional<WriteOwnRow> Tick(Millis aNow, const LeaseView& aView);
  // Handles the result of a write. Ignored unless it is that of the last write.
  void OnWritten(const OwnRowWritten& aWritten);
  // Records that a server refused an order as outdated: its token is old, or a
  // later order of this node arrived first. The lease does not count as held
  // until a renewal confirms it.
  void OnOrderRefused();

  // Returns whether this node holds the lease and may send orders.
  bool IsHeld(Millis aNow) const
  {
    return m_isHeld && !m_isUnconfirmed && aNow < m_validUntil;
  }
  // Returns whether this node may still hold the lease, but must confirm it
  // first.
  bool IsUnconfirmed(Millis aNow) const
  {
    return m_isHeld && m_isUnconfirmed && aNow < m_validUntil;
  }
  // Returns the fencing token of this node's last acquisition.
  FencingToken Token() const { return m_token; }
  // Returns the row as last seen; its holder is empty if there is no row.
  const LeaseRow& Row() const { return m_row; }

private:
  std::optional<WriteOwnRow> Renew(Millis aNow, const LeaseView& aView);
  std::optional<WriteOwnRow> Acquire(Millis aNow, const LeaseView& aView);
  WriteOwnRow MakeWrite(Millis aNow, const LeaseView& aView);
  bool MayHaveLostGrant(Millis aNow) const;

  NodeId m_self;
  uint64_t m_incarnation = 0;
  UniqueIds m_ids;

  bool m_isRowKnown = false;
  // The last version seen, including those of removals, and the version of the
  // existing row; zero if there is none.
  RowVersion m_seenVersion;
  RowVersion m_rowVersion;
  LeaseRow m_row;
  // The era of the store, and when this node first saw it.
  StoreEra m_era;
  Millis m_eraSince;
  // Since when this node has been allowed to acquire the lease.
  std::optional<Millis> m_acquirableSince;

  bool m_isHeld = false;
  bool m_isUnconfirmed = false;
  FencingToken m_token;
  Millis m_validUntil;
  // The write in progress, and when the last write was sent.
  OperationId m_operation;
  Millis m_sentAt = Millis(-1'000'000);
};

} // namespace briarglade
