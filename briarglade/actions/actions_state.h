// The decision state of a node's non-idempotent calls. All of it is bounded by
// the limits below; nothing of it outlives the process.

#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "briarglade/actions/action_row.h"
#include "briarglade/actions/retention.h"
#include "briarglade/base/ids.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/unique_ids.h"

namespace briarglade {

// Callers that may wait here at once.
constexpr size_t kMaxActionCalls = 16'384;
// Of these, those of one account: no account can take all the room.
constexpr uint32_t kMaxAccountCalls = kMaxActionCalls / 4;
// Rows that may be open here at once: being recorded, running or unwritten.
constexpr size_t kMaxActionRecords = 16'384;
// Bytes of answers kept until their rows are written.
constexpr size_t kMaxKeptBytes = size_t{ 8 } * 1024 * 1024;
// The largest body that is kept in the row itself.
constexpr size_t kMaxInlineBytes = 4096;
// The longest that a caller waits for its call to be recorded.
constexpr Millis kRecordTime = Millis(3'000);
// How long a record in doubt is settled for once its callers have gone.
constexpr Millis kSettleTime = Millis(60'000);
constexpr Millis kSettlePeriod = Millis(250);
// Time between two looks at a row that another node has started; doubles up to
// the longest.
constexpr Millis kWatchPeriod = Millis(250);
constexpr Millis kMaxWatchPeriod = Millis(2'000);
// Final rows, and bodies, being written at once.
constexpr uint32_t kMaxClosingWindow = 32;
// The pause after a failed final write; doubles up to the longest.
constexpr Millis kClosingBackoff = Millis(500);
constexpr Millis kMaxClosingBackoff = Millis(8'000);
// When a refused caller should come back.
constexpr Millis kActionRetryAfter = Millis(1'000);

enum class CallPhase
{
  // Its record is being written, or its action runs.
  Owner,
  // Another call of this node holds the key.
  Waiting,
  // Another node has started the key: the row is read again and again.
  Watching,
  // The stored body is being read.
  Fetching
};

// A caller that has not been answered.
struct ActionCall
{
  RequestArrived m_request;
  RowKey m_row;
  CallPhase m_phase = CallPhase::Owner;
  // Its entry in m_callTimers; none while its action runs.
  Millis m_timerAt;
  Millis m_watchPeriod = kWatchPeriod;
  // The read that is under way; empty if none is.
  OperationId m_operation;
  // Fetching: the row whose body is missing.
  std::shared_ptr<const ActionRow> m_found;
};

enum class RecordPhase
{
  // The conditional write of `started` is under way or in doubt.
  Recording,
  // Handed to routing.
  Running,
  // The final state is to be written.
  Closing
};

// A row that this node has begun to write.
struct ActionRecord
{
  // What the row holds, or shall hold.
  ActionRow m_content;
  RecordPhase m_phase = RecordPhase::Recording;
  // Recording: the version expected. Later: that of the `started` row.
  RowVersion m_version;
  // The write of `started`.
  OperationId m_operation;
  // A write of `started` may still take effect.
  bool m_doubtful = false;
  // The key was found in use, but its row could not be read yet.
  bool m_isTaken = false;
  // The call that runs it; empty once its caller was answered.
  RequestId m_owner;
  // Calls with the same key that arrived meanwhile.
  std::vector<RequestId> m_waiters;
  // Recording: its entry in m_recordTimers, if m_hasTimer.
  Millis m_timerAt;
  bool m_hasTimer = false;
  // When a record in doubt without callers is given up.
  Millis m_giveUpAt;
};

// What an operation under way is for.
struct PendingOperation
{
  enum class Kind
  {
    RecordWrite,
    RecordRead,
    WatchRead,
    BodyRead,
    FinalWrite,
    BodyWrite
  };
  Kind m_kind;
  // The row, for records; the call, for reads of a repeat.
  RowKey m_row;
  RequestId m_call;
};

// Writes that wait for a store, and how many of them it may get at once: fewer
// while it fails.
struct WriteQueue
{
  // Oldest first.
  std::deque<RowKey> m_rows;
  uint32_t m_inFlight = 0;
  uint32_t m_window = kMaxClosingWindow;
  Millis m_backoff = kClosingBackoff;
  Millis m_resumeAt;
};

struct ActionsState
{
  NodeId m_node;
  uint64_t m_incarnation = 0;
  UniqueIds m_ids;
  RetentionState m_retention;

  std::unordered_map<RequestId, ActionCall> m_calls;
  std::unordered_map<AccountId, uint32_t> m_accountCalls;
  std::unordered_map<RowKey, ActionRecord> m_records;
  std::unordered_map<OperationId, PendingOperation> m_pending;
  std::set<std::pair<Millis, RequestId>> m_callTimers;
  std::set<std::pair<Millis, RowKey>> m_recordTimers;

  // Final states for the table, and bodies for the object store.
  WriteQueue m_finalWrites;
  WriteQueue m_bodyWrites;
  // Bytes of the answers that wait in either.
  size_t m_keptBytes = 0;
};

// Returns an empty state. The incarnation tells this run of the node from every
// other one.
ActionsState MakeActionsState(const NodeId& aNode, uint64_t aIncarnation);

} // namespace briarglade
