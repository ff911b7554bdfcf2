// The data that an entry node reads from and writes to the platform's store, as
// types. StoreHooks is the binding to a store; the node decides when to read
// and how to handle failures.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/gateway/gateway_config.h"
#include "briarglade/grouping/server_record.h"
#include "briarglade/storage/table.h"

namespace briarglade {

// The streams of changes that a node follows.
enum class Feed
{
  // The operators' configuration, and the zones that are out.
  Operator,
  // The backend servers' entries.
  Servers,
  // Rows written by the entry nodes: node registrations and the control lease.
  Own
};

// Returns the name of a feed for logs.
const char* FeedName(Feed aFeed);

// One row as the store holds it. Nodes keep the encoded value so that they can
// forward it to nodes that the store rejects.
struct StoredRow
{
  Feed m_feed = Feed::Operator;
  std::string m_key;
  RowVersion m_version;
  // No value: the row has been removed.
  std::optional<std::string> m_value;
  // The compressed value for transfer to other nodes; nullptr: it is sent as it
  // is.
  std::shared_ptr<const std::string> m_packed = nullptr;
};

// A new version of the whole configuration.
struct ConfigRow
{
  GatewayConfig m_config;
};

// The operators have taken an availability zone out, or back in.
struct ZoneRow
{
  ZoneId m_zone;
  bool m_isOut = false;
};

// A backend server's entry. No record: the entry has been removed.
struct ServerRow
{
  HostId m_host;
  std::optional<ServerRecord> m_record;
};

// A row written by an entry node. No value: the row has been removed.
struct OwnRow
{
  RowKey m_key;
  RowVersion m_version;
  std::optional<std::string> m_value;
};

// A row that cannot be decoded as the type that its key requires.
struct BadRow
{
  std::string m_key;
  std::string m_problem;
};

using FeedRow = std::variant<ConfigRow, ZoneRow, ServerRow, OwnRow, BadRow>;

// A version of the whole store; it increases with each write. Versions of rows
// and of the store hold the store's era; see store_version.h.
using StoreVersion = StrongCount<struct StoreVersionTag>;

// The result of a call to the store.
enum class StoreStatus
{
  Ok,
  // The write's condition was not met.
  Conflict,
  // The store no longer has the requested changes; the caller must read the
  // whole feed again.
  HistoryGone,
  // The store did nothing: it is too busy, or it does not serve this node.
  Refused,
  // No answer was received; a write may have taken effect or may do so later.
  Unknown
};

// Returns the name of a status for logs.
const char* StoreStatusName(StoreStatus aStatus);

// Identifies a call among those of one feed.
using FeedCallId = StrongCount<struct FeedCallIdTag>;

// The result of a read or of a wait for changes.
struct FeedAnswered
{
  // The call that it answers; set by the node, not by the binding.
  FeedCallId m_call;
  Feed m_feed = Feed::Operator;
  StoreStatus m_status = StoreStatus::Unknown;
  // Whether m_rows holds every row of the feed rather than changes only.
  bool m_isWhole = false;
  std::vector<StoredRow> m_rows;
  // The version up to which it tells every change. Single rows of m_rows may be
  // newer.
  StoreVersion m_version;
  // The time of the store's steady clock as of that version.
  Millis m_storeTime;
};

// A checksum of the rows of a feed that exist, by keys and versions. Zero:
// none.
using RowsChecksum = StrongCount<struct RowsChecksumTag>;

// The changes of a feed between two versions, as one node forwards them to
// another: the rows of versions greater than m_after, as they are last known,
// up to m_upTo and, with the last part, beyond. A row that was changed again is
// in a later part.
struct RowChanges
{
  Feed m_feed = Feed::Operator;
  RowVersion m_after;
  // The version up to which the sender knows every change; of a part that is
  // not the last one, that up to which its rows go.
  RowVersion m_upTo;
  // Sorted by version.
  std::vector<StoredRow> m_rows;
  // Whether the sender knew no later change.
  bool m_isLast = false;
  // Of the last part: whether every row that was removed between the versions
  // is in m_rows, or in an earlier part. Earlier versions don't tell.
  bool m_namesRemovals = false;
  // Of the last part: that of the sender's rows. Not set if it holds rows that
  // are newer than m_upTo.
  std::optional<RowsChecksum> m_checksum = std::nullopt;
};

// Waits for changes after a version, for at most the given time.
struct WatchFeed
{
  Feed m_feed = Feed::Operator;
  StoreVersion m_after;
  Millis m_wait;
  FeedCallId m_call;
};

// Reads every row of a feed.
struct ReadFeed
{
  Feed m_feed = Feed::Operator;
  FeedCallId m_call;
};

// Writes or removes a row of Feed::Own, optionally on a condition.
struct WriteOwnRow
{
  OperationId m_operation;
  RowKey m_key;
  // The version that the row must have; zero means that the row must not exist.
  // No value: the write is unconditional.
  std::optional<RowVersion> m_expected;
  // No value removes the row.
  std::optional<std::string> m_value;
};

// The result of a WriteOwnRow.
struct OwnRowWritten
{
  OperationId m_operation;
  RowKey m_key;
  StoreStatus m_status = StoreStatus::Unknown;
  // The version that the write created.
  RowVersion m_version;
  // The time of the store's steady clock.
  Millis m_storeTime;
};

// The binding to a store. Each handler is called exactly once, after the hook
// has returned.
struct StoreHooks
{
  std::function<void(const WatchFeed&, std::function<void(FeedAnswered)>)>
    m_watch;
  std::function<void(const ReadFeed&, std::function<void(FeedAnswered)>)>
    m_read;
  std::function<void(const WriteOwnRow&, std::function<void(OwnRowWritten)>)>
    m_write;
  // Decodes a row. A pure function.
  std::function<FeedRow(const StoredRow&)> m_decode;
};

} // namespace briarglade
