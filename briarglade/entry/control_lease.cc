// Acquires, renews and releases the control lease.

#include "briarglade/entry/control_lease.h"

#include <algorithm>
#include <utility>

namespace briarglade {

namespace {

constexpr Millis kLeaseDuration = Millis(8'000);
// The holder stops acting this long before its lease expires.
constexpr Millis kLeaseMargin = Millis(500);
constexpr Millis kRenewPeriod = Millis(2'500);
// A write is retried after this long without a response.
constexpr Millis kWriteRetryTime = Millis(400);
// Nodes try to acquire a free lease one after the other, this far apart in the
// order of their ranks.
constexpr Millis kRankDelay = Millis(100);

} // namespace

ControlLease::ControlLease(NodeId aSelf, uint64_t aIncarnation)
  : m_self(std::move(aSelf))
  , m_incarnation(aIncarnation)
  , m_ids(NodeId(m_self.Value() + ".lease"), aIncarnation)
{
}

void ControlLease::OnRow(const OwnRow& aRow)
{
  if (aRow.m_version <= m_seenVersion) {
    return;
  }
  const bool isNewEra = EraOf(aRow.m_version) > EraOf(m_seenVersion);
  m_seenVersion = aRow.m_version;
  m_isRowKnown = true;
  m_rowVersion = aRow.m_value ? aRow.m_version : RowVersion();
  LeaseRow row;
  row.m_era = EraOf(aRow.m_version);
  if (aRow.m_value) {
    row = DecodeLeaseRow(*aRow.m_value).value_or(row);
  }
  if (isNewEra && row.m_until < m_row.m_until) {
    // The store has lost the last grant, which may still be valid. Its holder
    // writes it again.
    m_isUnconfirmed = m_isHeld;
    return;
  }
  m_row = row;
  m_acquirableSince.reset();
  const bool isOwn =
    m_row.m_holder == m_self && m_row.m_incarnation == m_incarnation;
  if (!isOwn) {
    m_isHeld = false;
  } else if (!m_isHeld) {
    // The response to the write that acquired the lease was lost.
    m_isHeld = true;
    m_token = FencingToken(aRow.m_version.Value());
    m_validUntil = m_sentAt + kLeaseDuration - kLeaseMargin;
  }
}

WriteOwnRow ControlLease::MakeWrite(Millis aNow, const LeaseView& aView)
{
  m_sentAt = aNow;
  m_operation = OperationId(m_ids.Next());
  WriteOwnRow write;
  write.m_operation = m_operation;
  write.m_key = RowKey(kLeaseRowKey);
  write.m_expected = m_rowVersion;
  write.m_value = EncodeLeaseRow(LeaseRow{ m_self,
                                           m_incarnation,
                                           aView.m_storeTime + kLeaseDuration,
                                           aView.m_storeEra });
  return write;
}

// Returns whether the store may have lost a grant that is still valid, to a
// node that this one does not know of.
bool ControlLease::MayHaveLostGrant(Millis aNow) const
{
  const bool isOfEarlierEra =
    m_seenVersion != RowVersion() && m_row.m_era < m_era;
  return isOfEarlierEra && aNow - m_eraSince <= kLeaseDuration;
}

std::optional<WriteOwnRow> ControlLease::Renew(Millis aNow,
                                               const LeaseView& aView)
{
  if (aView.m_isLeaving) {
    WriteOwnRow release = MakeWrite(aNow, aView);
    release.m_value.reset();
    // The lease is no longer held, whatever the result of this write.
    m_operation = OperationId();
    m_isHeld = false;
    return release;
  }
  const bool isWaiting = !m_operation.IsEmpty();
  const Millis due = m_isUnconfirmed ? Millis() : kRenewPeriod;
  const Millis period = isWaiting ? kWriteRetryTime : due;
  if (aNow - m_sentAt < period) {
    return std::nullopt;
  }
  return MakeWrite(aNow, aView);
}

std::optional<WriteOwnRow> ControlLease::Acquire(Millis aNow,
                                                 const LeaseView& aView)
{
  const bool isFree = m_row.m_holder.IsEmpty();
  const bool hasExpired = aView.m_storeTime > m_row.m_until;
  const bool isFromEarlierRun =
    m_row.m_holder == m_self && m_row.m_incarnation != m_incarnation;
  const bool mayFence =
    aView.m_serversCheckFencing && (aView.m_isHolderLost || isFromEarlierRun);
  const bool isOver = (isFree || hasExpired) && !MayHaveLostGrant(aNow);
  if (!isOver && !mayFence) {
    m_acquirableSince.reset();
    return std::nullopt;
  }
  if (!m_acquirableSince) {
    m_acquirableSince = aNow;
  }
  const bool isOwnTurn = aNow - *m_acquirableSince >=
                         kRankDelay * static_cast<int64_t>(aView.m_rank);
  if (!isOwnTurn || aNow - m_sentAt < kWriteRetryTime) {
    return std::nullopt;
  }
  return MakeWrite(aNow, aView);
}

std::optional<WriteOwnRow> ControlLease::Tick(Millis aNow,
                                              const LeaseView& aView)
{
  if (m_era != aView.m_storeEra) {
    m_era = aView.m_storeEra;
    m_eraSince = aNow;
  }
  if (m_isHeld) {
    if (aNow >= m_validUntil) {
      m_isHeld = false;
      return std::nullopt;
    }
    return Renew(aNow, aView);
  }
  if (!m_isRowKnown || aView.m_isLeaving) {
    return std::nullopt;
  }
  return Acquire(aNow, aView);
}

void ControlLease::OnWritten(const OwnRowWritten& aWritten)
{
  if (aWritten.m_operation != m_operation) {
    return;
  }
  m_operation = OperationId();
  if (aWritten.m_status != StoreStatus::Ok) {
    // After a conflict, the feed delivers the row of the writer that succeeded.
    return;
  }
  m_isUnconfirmed = false;
  m_rowVersion = aWritten.m_version;
  m_seenVersion = std::max(m_seenVersion, aWritten.m_version);
  m_row = LeaseRow{ m_self,
                    m_incarnation,
                    aWritten.m_storeTime + kLeaseDuration,
                    EraOf(aWritten.m_version) };
  m_validUntil = m_sentAt + kLeaseDuration - kLeaseMargin;
  if (!m_isHeld) {
    m_token = FencingToken(aWritten.m_version.Value());
  }
  m_isHeld = true;
}

void ControlLease::OnOrderRefused()
{
  m_isUnconfirmed = m_isHeld;
}

} // namespace briarglade
