// Rows survive the table as they were, and damage is noticed.

#include "briarglade/actions/action_row.h"

#include <doctest/doctest.h>
#include <string>

namespace briarglade {
namespace {

ActionRow DoneRow(const std::string& aBody)
{
  ActionRow row;
  row.m_account = AccountId("kitakaze");
  row.m_key = IdempotencyKey("slot 14 \"Hokkaido\"\xff");
  row.m_state = ActionState::Done;
  row.m_node = NodeId("node-1");
  row.m_incarnation = 42;
  row.m_request = RequestId("node-1.42.7");
  row.m_fingerprint = Fingerprint(UINT64_MAX);
  row.m_epoch = RetentionEpoch(9);
  row.m_answer = std::make_shared<const StoredAnswer>(
    StoredAnswer{ 201, "application/json", aBody });
  row.m_bodyHash = AnswerBodyHash(aBody);
  return row;
}

TEST_CASE("a row reads back as it was written, whatever bytes the body holds")
{
  std::string bytes;
  for (int byte = 0; byte < 256; ++byte) {
    bytes.push_back(static_cast<char>(byte));
    const ActionRow row = DoneRow(bytes);
    const Result<ActionRow> result = DecodeActionRow(EncodeActionRow(row));
    REQUIRE(GetError(result) == nullptr);
    const ActionRow& read = std::get<ActionRow>(result);
    CHECK(read.m_answer->m_body == bytes);
    CHECK(read.m_answer->m_status == 201);
    CHECK(read.m_answer->m_contentType == "application/json");
    CHECK(read.m_state == ActionState::Done);
    CHECK(read.m_account == row.m_account);
    CHECK(read.m_node == row.m_node);
    CHECK(read.m_incarnation == row.m_incarnation);
    CHECK(read.m_request == row.m_request);
    CHECK(read.m_fingerprint == row.m_fingerprint);
    CHECK(read.m_epoch == row.m_epoch);
  }
}

TEST_CASE("a row that was cut or changed is refused")
{
  const std::string text = EncodeActionRow(DoneRow("the whole answer"));
  for (size_t size = 0; size < text.size(); ++size) {
    CHECK(GetError(DecodeActionRow(text.substr(0, size))) != nullptr);
  }
  std::string changed = text;
  const size_t body = changed.find("\"body\":\"") + 8;
  changed[body] = changed[body] == 'A' ? 'B' : 'A';
  CHECK(GetError(DecodeActionRow(changed)) != nullptr);
}

TEST_CASE("accounts and keys never share a row")
{
  const RowKey row = ActionRowKey(AccountId("a"), IdempotencyKey("key"));
  CHECK(row == ActionRowKey(AccountId("a"), IdempotencyKey("key")));
  CHECK(row != ActionRowKey(AccountId("b"), IdempotencyKey("key")));
  CHECK(row != ActionRowKey(AccountId("a"), IdempotencyKey("key2")));
}

} // namespace
} // namespace briarglade
