// The operators' HTTP interface.

#include "briarglade/node/operator_api.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <utility>

#include "briarglade/net/http_exchange.h"

namespace briarglade {

namespace {

using nlohmann::json;

constexpr char kBearerPrefix[] = "Bearer ";
constexpr char kSubjectQuery[] = "subject=";

void RespondJson(HttpExchange& aExchange, ResultCode aCode, json aBody)
{
  const ResultCodeRow& row = DescribeResultCode(aCode);
  aBody["code"] = static_cast<uint16_t>(aCode);
  aBody["name"] = std::string(row.m_name);
  aExchange.Respond(
    row.m_httpStatus, { { "Content-Type", "application/json" } }, aBody.dump());
}

bool HasKey(const HttpExchange& aExchange, const std::string& aKey)
{
  const std::string header = aExchange.Header("Authorization");
  const std::string wanted = kBearerPrefix + aKey;
  return !aKey.empty() && header.size() == wanted.size() &&
         CRYPTO_memcmp(header.data(), wanted.data(), wanted.size()) == 0;
}

// Returns the body as an object with every field a string or number, or null.
json ParseBody(const HttpExchange& aExchange)
{
  json body = json::parse(aExchange.Body(), nullptr, false);
  return body.is_object() ? body : json();
}

std::string TextField(const json& aBody, const char* aName)
{
  const auto found = aBody.find(aName);
  return found != aBody.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

} // namespace

OperatorApi::OperatorApi(std::string aOperatorKey, OperatorHooks aHooks)
  : m_operatorKey(std::move(aOperatorKey))
  , m_hooks(std::move(aHooks))
{
}

void OperatorApi::Handle(const std::shared_ptr<HttpExchange>& aExchange)
{
  const std::string& path = aExchange->Path();
  if (!HasKey(*aExchange, m_operatorKey)) {
    RespondJson(*aExchange, ResultCode::OperatorKeyWrong, json::object());
  } else if (path == "/operator/apply" && aExchange->Method() == "POST") {
    HandleApply(aExchange);
  } else if (path == "/operator/zone" && aExchange->Method() == "POST") {
    HandleZone(aExchange);
  } else if (path == "/operator/status") {
    aExchange->Respond(200,
                       { { "Content-Type", "application/json" } },
                       m_hooks.m_renderStatus());
  } else if (path == "/operator/explain") {
    const std::string& query = aExchange->Query();
    const bool named = query.rfind(kSubjectQuery, 0) == 0;
    const std::string subject =
      named ? query.substr(sizeof(kSubjectQuery) - 1) : std::string();
    aExchange->Respond(200,
                       { { "Content-Type", "text/plain" } },
                       m_hooks.m_renderExplanation(subject));
  } else {
    RespondJson(*aExchange, ResultCode::UnknownPath, json::object());
  }
}

void OperatorApi::HandleApply(const std::shared_ptr<HttpExchange>& aExchange)
{
  const json body = ParseBody(*aExchange);
  ApplyCommand command;
  command.m_command = m_hooks.m_nextCommand();
  command.m_whenUnixMs = m_hooks.m_unixMillis();
  command.m_fleetJson = TextField(body, "fleet");
  command.m_who = TextField(body, "who");
  command.m_why = TextField(body, "why");
  const auto base = body.find("base");
  if (base != body.end() && base->is_number_unsigned()) {
    command.m_base = ConfigVersion(base->get<uint64_t>());
  }
  if (command.m_fleetJson.empty() || command.m_who.empty() ||
      command.m_why.empty()) {
    RespondJson(*aExchange,
                ResultCode::MalformedRequest,
                { { "detail", "fleet, who and why are required" } });
    return;
  }
  m_waiting[command.m_command] = aExchange;
  m_hooks.m_dispatch(std::move(command));
}

void OperatorApi::HandleZone(const std::shared_ptr<HttpExchange>& aExchange)
{
  const json body = ParseBody(*aExchange);
  ZoneCommand command;
  command.m_command = m_hooks.m_nextCommand();
  command.m_whenUnixMs = m_hooks.m_unixMillis();
  command.m_zone = ZoneId(TextField(body, "zone"));
  command.m_who = TextField(body, "who");
  command.m_why = TextField(body, "why");
  const std::string state = TextField(body, "state");
  command.m_state = state == "in" ? ZoneState::In : ZoneState::Out;
  if (command.m_zone.IsEmpty() || command.m_who.empty() ||
      command.m_why.empty() || (state != "in" && state != "out")) {
    RespondJson(*aExchange,
                ResultCode::MalformedRequest,
                { { "detail", "zone, state, who and why are required" } });
    return;
  }
  m_waiting[command.m_command] = aExchange;
  m_hooks.m_dispatch(std::move(command));
}

void OperatorApi::Answer(const CommandAnswer& aAnswer)
{
  const auto waiting = m_waiting.find(aAnswer.m_command);
  if (waiting == m_waiting.end()) {
    return;
  }
  json missing = json::array();
  for (const NodeId& node : aAnswer.m_missing) {
    missing.push_back(node.Value());
  }
  RespondJson(*waiting->second,
              aAnswer.m_code,
              { { "detail", aAnswer.m_detail },
                { "version", aAnswer.m_version.Value() },
                { "missing", missing } });
  m_waiting.erase(waiting);
}

} // namespace briarglade
