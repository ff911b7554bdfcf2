// Rows of non-idempotent calls as JSON.

#include "briarglade/actions/action_row.h"

#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace briarglade {

namespace {

using nlohmann::json;

constexpr size_t kHashTextBytes = 33;
constexpr size_t kBase64Block = 3;
constexpr size_t kBase64Text = 4;

const char* StateName(ActionState aState)
{
  switch (aState) {
    case ActionState::Started:
      return "started";
    case ActionState::Done:
      return "done";
    case ActionState::NotRun:
      return "not-run";
    case ActionState::Unknown:
      return "unknown";
  }
  return "unknown";
}

// Returns false for a name that is no state.
bool ParseState(const std::string& aName, ActionState& aState)
{
  for (const ActionState state : { ActionState::Started,
                                   ActionState::Done,
                                   ActionState::NotRun,
                                   ActionState::Unknown }) {
    if (aName == StateName(state)) {
      aState = state;
      return true;
    }
  }
  return false;
}

std::string ToBase64(const std::string& aBytes)
{
  const size_t blocks = (aBytes.size() + kBase64Block - 1) / kBase64Block;
  std::vector<unsigned char> text(blocks * kBase64Text + 1);
  const auto* bytes = reinterpret_cast<const unsigned char*>(aBytes.data());
  const int size =
    EVP_EncodeBlock(text.data(), bytes, static_cast<int>(aBytes.size()));
  return std::string(text.begin(), text.begin() + size);
}

// Returns the first aSize bytes, or an empty string if there are fewer.
std::string FromBase64(const std::string& aText, size_t aSize)
{
  std::vector<unsigned char> bytes(aText.size() + 1);
  const auto* text = reinterpret_cast<const unsigned char*>(aText.data());
  const int size =
    EVP_DecodeBlock(bytes.data(), text, static_cast<int>(aText.size()));
  if (size < 0 || static_cast<size_t>(size) < aSize) {
    return {};
  }
  return std::string(reinterpret_cast<const char*>(bytes.data()), aSize);
}

json EncodeAnswer(const ActionRow& aRow)
{
  const StoredAnswer& answer = *aRow.m_answer;
  json object = { { "status", answer.m_status },
                  { "type", answer.m_contentType },
                  { "hash", aRow.m_bodyHash } };
  if (aRow.m_object.IsEmpty()) {
    object["size"] = answer.m_body.size();
    object["body"] = ToBase64(answer.m_body);
  } else {
    object["object"] = aRow.m_object.Value();
  }
  return object;
}

void DecodeAnswer(const json& aObject, ActionRow& aRow)
{
  auto answer = std::make_shared<StoredAnswer>();
  answer->m_status = aObject.at("status").get<uint16_t>();
  answer->m_contentType = aObject.at("type").get<std::string>();
  aRow.m_bodyHash = aObject.at("hash").get<uint64_t>();
  aRow.m_object = ObjectName(aObject.value("object", ""));
  if (aRow.m_object.IsEmpty()) {
    answer->m_body = FromBase64(aObject.at("body").get<std::string>(),
                                aObject.at("size").get<size_t>());
  }
  aRow.m_answer = std::move(answer);
}

bool IsAnswerSound(const ActionRow& aRow)
{
  if (aRow.m_state != ActionState::Done || !aRow.m_object.IsEmpty()) {
    return true;
  }
  return aRow.m_bodyHash == AnswerBodyHash(aRow.m_answer->m_body);
}

ActionRow DecodeFields(const json& aObject)
{
  ActionRow row;
  row.m_account = AccountId(aObject.at("account").get<std::string>());
  row.m_key = IdempotencyKey(aObject.at("key").get<std::string>());
  row.m_node = NodeId(aObject.at("node").get<std::string>());
  row.m_incarnation = aObject.at("incarnation").get<uint64_t>();
  row.m_request = RequestId(aObject.at("request").get<std::string>());
  row.m_fingerprint = Fingerprint(aObject.at("fingerprint").get<uint64_t>());
  row.m_epoch = RetentionEpoch(aObject.at("epoch").get<uint64_t>());
  return row;
}

} // namespace

RowKey ActionRowKey(const AccountId& aAccount, const IdempotencyKey& aKey)
{
  const std::string& key = aKey.Value();
  const XXH64_hash_t seed =
    XXH3_64bits(aAccount.Value().data(), aAccount.Value().size());
  const XXH128_hash_t hash =
    XXH3_128bits_withSeed(key.data(), key.size(), seed);
  char text[kHashTextBytes];
  std::snprintf(text,
                sizeof(text),
                "%016" PRIx64 "%016" PRIx64,
                static_cast<uint64_t>(hash.high64),
                static_cast<uint64_t>(hash.low64));
  return RowKey(kActionPrefix + std::string(text) + "/" + aAccount.Value());
}

ObjectName AnswerObjectName(const RowKey& aRow, const RequestId& aRequest)
{
  return ObjectName("answer/" + aRow.Value() + "/" + aRequest.Value());
}

uint64_t AnswerBodyHash(std::string_view aBody)
{
  return XXH3_64bits(aBody.data(), aBody.size());
}

std::string EncodeActionRow(const ActionRow& aRow)
{
  json object = { { "account", aRow.m_account.Value() },
                  { "key", aRow.m_key.Value() },
                  { "state", StateName(aRow.m_state) },
                  { "node", aRow.m_node.Value() },
                  { "incarnation", aRow.m_incarnation },
                  { "request", aRow.m_request.Value() },
                  { "fingerprint", aRow.m_fingerprint.Value() },
                  { "epoch", aRow.m_epoch.Value() } };
  if (aRow.m_state == ActionState::Done) {
    object["answer"] = EncodeAnswer(aRow);
  }
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ActionRow> DecodeActionRow(const std::string& aText)
try {
  const json object = json::parse(aText);
  ActionRow row = DecodeFields(object);
  if (!ParseState(object.at("state").get<std::string>(), row.m_state)) {
    return Error{ ResultCode::BackendAnswerInvalid, "unknown state" };
  }
  if (row.m_state == ActionState::Done) {
    DecodeAnswer(object.at("answer"), row);
  }
  if (!IsAnswerSound(row)) {
    return Error{ ResultCode::BackendAnswerInvalid, "the answer is damaged" };
  }
  return row;
} catch (const json::exception& error) {
  return Error{ ResultCode::BackendAnswerInvalid, error.what() };
}

} // namespace briarglade
