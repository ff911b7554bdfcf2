// Checking callers' requests.

#include "briarglade/node/caller_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>
#include <utility>
#include <xxhash.h>

#include "briarglade/net/http_exchange.h"
#include "briarglade/net/http_headers.h"

namespace briarglade {

namespace {

using nlohmann::json;

constexpr char kBearerPrefix[] = "Bearer ";
constexpr char kServicePrefix[] = "/services/";
constexpr char kChatPath[] = "/v1/chat/completions";
// The part of a prompt that decides prefix affinity.
constexpr size_t kPrefixBytes = 256;
constexpr size_t kMaxKeyBytes = 256;

bool StartsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

template<typename Id>
bool Contains(const std::vector<Id>& aIds, const Id& aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

Fingerprint FingerprintOf(const HttpExchange& aExchange)
{
  const std::string& path = aExchange.Path();
  const std::string& body = aExchange.Body();
  const uint64_t seed = XXH3_64bits(path.data(), path.size());
  return Fingerprint(XXH3_64bits_withSeed(body.data(), body.size(), seed));
}

// Hashes the beginning of the prompt. Only the messages' own texts count, so
// that a body nested thousands deep costs nothing.
uint64_t PrefixHash(const json& aMessages)
{
  std::string text;
  for (const json& message : aMessages) {
    if (text.size() >= kPrefixBytes || !message.is_object()) {
      break;
    }
    const auto content = message.find("content");
    if (content != message.end() && content->is_string()) {
      text += content->get_ref<const std::string&>().substr(0, kPrefixBytes);
    }
    text += '\n';
  }
  text.resize(std::min(text.size(), kPrefixBytes));
  return XXH3_64bits(text.data(), text.size());
}

// The time the request may take: the configured one, or less if the caller
// says.
Millis TimeAllowed(const HttpExchange& aExchange, Millis aConfigured)
{
  const std::string text = aExchange.Header(kDeadlineHeader);
  const long asked = std::strtol(text.c_str(), nullptr, 10);
  return asked > 0 ? std::min(aConfigured, Millis(asked)) : aConfigured;
}

// Finds the class that the caller names, or the account's first one.
Result<ClassConfig> FindClass(const HttpExchange& aExchange,
                              const AccountConfig& aAccount)
{
  const std::string name = aExchange.Header(kClassHeader);
  if (name.empty()) {
    return aAccount.m_classes.empty() ? ClassConfig{ ClassId("default"), 1, 0 }
                                      : aAccount.m_classes.front();
  }
  for (const ClassConfig& entry : aAccount.m_classes) {
    if (entry.m_id.Value() == name) {
      return entry;
    }
  }
  return Error{ ResultCode::NotAllowed, "the account has no class " + name };
}

} // namespace

std::string HashBearerKey(const std::string& aKey)
{
  constexpr char kDigits[] = "0123456789abcdef";
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(
    reinterpret_cast<const unsigned char*>(aKey.data()), aKey.size(), digest);
  std::string text;
  for (const unsigned char byte : digest) {
    text += kDigits[byte / 16];
    text += kDigits[byte % 16];
  }
  return text;
}

void CallerApi::SetFleet(const FleetConfig& aFleet)
{
  m_fleet = aFleet;
  m_accountsByHash.clear();
  for (const auto& [id, account] : aFleet.m_accounts) {
    for (const std::string& hash : account.m_keyHashes) {
      m_accountsByHash[hash] = id;
    }
  }
}

const AccountConfig* CallerApi::FindAccount(const HttpExchange& aExchange) const
{
  const std::string header = aExchange.Header("Authorization");
  if (!StartsWith(header, kBearerPrefix)) {
    return nullptr;
  }
  const std::string key = header.substr(sizeof(kBearerPrefix) - 1);
  const auto found = m_accountsByHash.find(HashBearerKey(key));
  return found == m_accountsByHash.end()
           ? nullptr
           : &m_fleet.m_accounts.at(found->second);
}

Result<RequestArrived> CallerApi::Parse(const HttpExchange& aExchange,
                                        const RequestId& aRequest,
                                        Millis aNow) const
{
  const AccountConfig* account = FindAccount(aExchange);
  if (account == nullptr) {
    return Error{ ResultCode::UnknownKey, "no account has this bearer key" };
  }
  const Result<ClassConfig> trafficClass = FindClass(aExchange, *account);
  if (const Error* error = GetError(trafficClass)) {
    return *error;
  }
  RequestArrived request;
  request.m_request = aRequest;
  request.m_account = account->m_id;
  request.m_class = std::get<ClassConfig>(trafficClass).m_id;
  request.m_priority = std::get<ClassConfig>(trafficClass).m_priority;
  request.m_fingerprint = FingerprintOf(aExchange);
  request.m_deadline = aNow;
  if (aExchange.Path() == kChatPath) {
    return ParseChat(aExchange, *account, std::move(request));
  }
  if (StartsWith(aExchange.Path(), kServicePrefix)) {
    return ParseService(aExchange, *account, std::move(request));
  }
  return Error{ ResultCode::UnknownPath, aExchange.Path() };
}

Result<RequestArrived> CallerApi::ParseChat(const HttpExchange& aExchange,
                                            const AccountConfig& aAccount,
                                            RequestArrived aRequest) const
{
  const json body = json::parse(aExchange.Body(), nullptr, false);
  if (!body.is_object() || !body.contains("model") ||
      !body["model"].is_string() || !body.contains("messages") ||
      !body["messages"].is_array() || body["messages"].empty()) {
    return Error{ ResultCode::MalformedRequest,
                  "the body must be a JSON object with model and messages" };
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return Error{ ResultCode::MalformedRequest,
                  "stream must be true or false" };
  }
  const ModelId model(body["model"].get<std::string>());
  const auto found = m_fleet.m_models.find(model);
  if (found == m_fleet.m_models.end()) {
    return Error{ ResultCode::UnknownModel, model.Value() };
  }
  if (!Contains(aAccount.m_models, model)) {
    return Error{ ResultCode::NotAllowed, model.Value() };
  }
  aRequest.m_target.m_model = model;
  aRequest.m_streaming = body.value("stream", false);
  aRequest.m_prefixHash = PrefixHash(body["messages"]);
  aRequest.m_deadline += TimeAllowed(aExchange, found->second.m_requestTimeout);
  return aRequest;
}

Result<RequestArrived> CallerApi::ParseService(const HttpExchange& aExchange,
                                               const AccountConfig& aAccount,
                                               RequestArrived aRequest) const
{
  const std::string rest = aExchange.Path().substr(sizeof(kServicePrefix) - 1);
  const size_t slash = rest.find('/');
  const ServiceId id(rest.substr(0, slash));
  const auto service = m_fleet.m_services.find(id);
  const std::string operation =
    slash == std::string::npos ? std::string() : rest.substr(slash + 1);
  const OperationConfig* found = service == m_fleet.m_services.end()
                                   ? nullptr
                                   : service->second.FindOperation(operation);
  if (found == nullptr) {
    return Error{ ResultCode::UnknownService, rest };
  }
  if (!Contains(aAccount.m_services, id)) {
    return Error{ ResultCode::NotAllowed, id.Value() };
  }
  aRequest.m_target.m_service = id;
  aRequest.m_operation = operation;
  aRequest.m_idempotent = found->m_idempotent;
  aRequest.m_key = IdempotencyKey(aExchange.Header(kIdempotencyKeyHeader));
  if (!aRequest.m_idempotent && aRequest.m_key.IsEmpty()) {
    return Error{ ResultCode::IdempotencyKeyMissing, rest };
  }
  if (aRequest.m_key.Value().size() > kMaxKeyBytes) {
    return Error{ ResultCode::MalformedRequest,
                  "the Idempotency-Key is too long" };
  }
  aRequest.m_deadline +=
    TimeAllowed(aExchange, service->second.m_requestTimeout);
  return aRequest;
}

} // namespace briarglade
