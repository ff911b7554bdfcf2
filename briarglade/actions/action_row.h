// The row of one non-idempotent call in the table service.
//
// Example:
//   write.m_key = ActionRowKey(account, key);
//   write.m_value = EncodeActionRow(row);

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "briarglade/base/ids.h"
#include "briarglade/base/result.h"
#include "briarglade/routing/request_event.h"
#include "briarglade/storage/object_store.h"
#include "briarglade/storage/table.h"

namespace briarglade {

// Counts the retention clock of a table; see retention.h.
using RetentionEpoch = StrongCount<struct RetentionEpochTag>;

enum class ActionState
{
  // Recorded; it may be running. Only the node that recorded it moves it on.
  Started,
  // It ran, and the row leads to its whole answer.
  Done,
  // It certainly did not run; the key may be used again.
  NotRun,
  // It may have run, and no answer will come.
  Unknown
};

struct ActionRow
{
  AccountId m_account;
  // For people who read the row; the name of the row is what tells keys apart.
  IdempotencyKey m_key;
  ActionState m_state = ActionState::Started;
  // Who recorded it.
  NodeId m_node;
  uint64_t m_incarnation = 0;
  RequestId m_request;
  Fingerprint m_fingerprint;
  RetentionEpoch m_epoch;
  // Done only: the answer, without its body if that is in m_object.
  std::shared_ptr<const StoredAnswer> m_answer;
  ObjectName m_object;
  // The xxhash of the body, checked when it is read back.
  uint64_t m_bodyHash = 0;
};

// All rows are below this prefix, followed by hexadecimal digits.
constexpr char kActionPrefix[] = "action/";

// Returns the row's name: spread evenly over the prefix, never shared by two
// accounts.
RowKey ActionRowKey(const AccountId& aAccount, const IdempotencyKey& aKey);

// Returns the name of the object for the body of an answer.
ObjectName AnswerObjectName(const RowKey& aRow, const RequestId& aRequest);

// Returns the xxhash of an answer's body.
uint64_t AnswerBodyHash(std::string_view aBody);

// Returns the row as JSON text. The answer's body may hold any bytes.
std::string EncodeActionRow(const ActionRow& aRow);

// Reads a row. Returns BackendAnswerInvalid if the text is not one.
Result<ActionRow> DecodeActionRow(const std::string& aText);

} // namespace briarglade
