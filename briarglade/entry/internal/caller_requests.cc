// Determines the route and the client account of a caller's request, and
// refuses those that this node can't serve.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>
#include <string>

namespace briarglade::internal {

namespace {

// When callers should retry while this node has no configuration, or may lack a
// version of it.
constexpr Millis kNoConfigRetryAfter = Millis(250);
// Lines about refused requests in a period. Clients that nobody controls would
// otherwise decide how much is logged.
constexpr uint32_t kMaxRefusalLines = 10;
constexpr Millis kRefusalLinesPeriod = Millis(1'000);

bool NeedsKey(const RouteIndex& aRoutes, const RouteRule& aRule)
{
  return aRoutes.Config().m_hasAccounts && !aRule.m_isPublic;
}

} // namespace

void EntryReduction::RejectRequest(const RequestReceived& aReceived,
                                   ResultCode aCode,
                                   Millis aRetryAfter)
{
  LogRefusal(aReceived, aCode);
  m_effects.emplace_back(
    AnswerCaller{ aReceived.m_handle, aCode, aRetryAfter });
}

void EntryReduction::LogRefusal(const RequestReceived& aReceived,
                                ResultCode aCode)
{
  ++m_state.m_refusals;
  if (m_now - m_state.m_refusalLinesAt >= kRefusalLinesPeriod) {
    m_state.m_refusalLinesAt = m_now;
    m_state.m_refusalLines = 0;
  }
  if (m_state.m_refusalLines >= kMaxRefusalLines) {
    return;
  }
  ++m_state.m_refusalLines;
  Log(LogLevel::Info,
      "request-refused",
      { { "request", aReceived.m_request.m_attemptName },
        NameCaller(
          m_state, aReceived.m_request.m_accountKey, aReceived.m_address),
        { "host", aReceived.m_request.m_host },
        { "path", aReceived.m_path },
        { "code", std::to_string(static_cast<uint16_t>(aCode)) },
        { "config",
          m_state.m_routes
            ? std::to_string(m_state.m_routes->Config().m_version.Value())
            : "none" } });
}

// Refuses a request whose path or key this node does not know, without saying
// so if a version of the configuration that it lacks may have it.
void EntryReduction::RejectUnknown(const RequestReceived& aReceived,
                                   ResultCode aCode)
{
  if (MayLackConfig()) {
    RejectRequest(aReceived, ResultCode::Unconfirmed, kNoConfigRetryAfter);
  } else {
    RejectRequest(aReceived, aCode, Millis());
  }
}

// Returns whether the request comes late to a node that is shutting down, which
// may have to exit before it has answered. The time of arrival decides, not the
// phase, which only a tick changes.
bool EntryReduction::MayOutlastThisNode(
  const CallerRequestArrived& aRequest) const
{
  const Millis latestEnd = std::min(aRequest.m_deadline, aRequest.m_answerBy);
  return m_state.m_phase != EntryPhase::Serving &&
         m_now >= LateRequestsSince() && latestEnd > ExitTime();
}

// Counts the work that a request asks of its model. The usual counts stand in
// for those that the caller has not stated. Models that the service lacks are
// not counted, as callers can name any.
void EntryReduction::RecordWork(const CallerRequestArrived& aRequest,
                                const EngineSpec& aEngine)
{
  if (aEngine.FindModel(aRequest.m_model) == nullptr) {
    return;
  }
  const double prompt = aRequest.m_promptTokens > 0
                          ? aRequest.m_promptTokens
                          : aEngine.m_usualPromptTokens;
  const double most = aRequest.m_answerTokens;
  const double usual = aEngine.m_usualAnswerTokens;
  const double answer =
    most > 0 && usual > 0 ? std::min(most, usual) : std::max(most, usual);
  m_state.m_workMeter.Record(m_now, aRequest.m_model, prompt, answer);
}

void EntryReduction::On(const RequestReceived& aReceived)
{
  m_state.m_hasTraffic = true;
  if (!m_state.m_routes) {
    RejectRequest(aReceived, ResultCode::Unconfirmed, kNoConfigRetryAfter);
    return;
  }
  const CallerRequest& request = aReceived.m_request;
  const RouteRule* rule =
    m_state.m_routes->FindRoute(request.m_host, aReceived.m_path);
  if (rule == nullptr) {
    RejectUnknown(aReceived, ResultCode::UnknownPath);
    return;
  }
  const bool needsKey = NeedsKey(*m_state.m_routes, *rule);
  const AccountSpec* account =
    needsKey ? m_state.m_routes->FindAccount(request.m_accountKey) : nullptr;
  if (needsKey && account == nullptr) {
    RejectUnknown(aReceived, ResultCode::UnknownKey);
    return;
  }
  CallerRequestArrived arrived;
  arrived.m_handle = aReceived.m_handle;
  arrived.m_attemptId = request.m_attemptName;
  arrived.m_account = account == nullptr ? AccountId() : account->m_id;
  arrived.m_service = ChooseService(
    *rule,
    static_cast<uint32_t>(aReceived.m_fingerprint.Value() ^
                          aReceived.m_handle.Value() * 0x9e3779b9U));
  const ServiceSpec* service = m_state.m_routes->FindService(arrived.m_service);
  const bool isEngine = service != nullptr && service->m_engine.has_value();
  arrived.m_model = isEngine ? request.m_model : ModelId();
  arrived.m_kind = rule->m_kind;
  arrived.m_isRetryable = rule->IsRetryable();
  arrived.m_goal = rule->m_goal;
  arrived.m_maxAttempts = std::max(1U, rule->m_maxAttempts);
  arrived.m_priority = account != nullptr && account->m_priority
                         ? *account->m_priority
                         : rule->m_priority;
  arrived.m_answerBy = m_now + rule->m_timeout;
  arrived.m_deadline =
    request.m_maxWait ? m_now + *request.m_maxWait : arrived.m_answerBy;
  arrived.m_promptTokens = request.m_promptTokens;
  arrived.m_answerTokens = request.m_maxAnswerTokens;
  arrived.m_sharedParts = request.m_sharedParts;
  arrived.m_fingerprint = aReceived.m_fingerprint;
  if (isEngine) {
    RecordWork(arrived, *service->m_engine);
  }
  if (MayOutlastThisNode(arrived)) {
    RejectRequest(aReceived, ResultCode::ShuttingDown, Millis());
    return;
  }
  DispatchToGateway(arrived);
}

} // namespace briarglade::internal

namespace briarglade {

LogField NameCaller(const EntryState& aState,
                    const std::string& aAccountKey,
                    const std::string& aAddress)
{
  const AccountSpec* account =
    aState.m_routes ? aState.m_routes->FindAccount(aAccountKey) : nullptr;
  return account == nullptr ? LogField{ "address", aAddress }
                            : LogField{ "account", account->m_id.Value() };
}

std::optional<ResultCode> RefusalByHead(const EntryState& aState,
                                        const CallerRequest& aRequest,
                                        const std::string& aPath)
{
  if (!aState.m_routes) {
    return ResultCode::Unconfirmed;
  }
  const RouteRule* rule = aState.m_routes->FindRoute(aRequest.m_host, aPath);
  if (rule == nullptr) {
    return ResultCode::UnknownPath;
  }
  const bool isKeyMissing =
    internal::NeedsKey(*aState.m_routes, *rule) &&
    aState.m_routes->FindAccount(aRequest.m_accountKey) == nullptr;
  return isKeyMissing ? std::optional<ResultCode>(ResultCode::UnknownKey)
                      : std::nullopt;
}

} // namespace briarglade
