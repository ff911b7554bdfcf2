// Relaying of requests and answers between callers and servers.

#include "briarglade/entry/gateway_relay.h"

#include <algorithm>
#include <utility>

#include "briarglade/net/answer_budget.h"
#include "briarglade/net/answer_hold.h"
#include "briarglade/net/back_pressure.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_call.h"
#include "briarglade/net/http_exchange.h"

namespace briarglade {

namespace {

constexpr uint16_t kOk = 200;
constexpr uint16_t kFirstErrorStatus = 400;

// Timeout for opening a connection to a server.
constexpr Millis kConnectTimeout = Millis(300);
// How much later than at the server a deadline expires here.
constexpr Millis kDeadlineSlack = Millis(100);

} // namespace

GatewayRelay::GatewayRelay(RequestHandle aHandle,
                           std::shared_ptr<HttpExchange> aCaller,
                           CallerRequest aRequest,
                           const WireCodec& aCodec,
                           GatewayRelayHooks aHooks)
  : m_handle(aHandle)
  , m_caller(std::move(aCaller))
  , m_request(std::move(aRequest))
  , m_codec(aCodec)
  , m_hooks(std::move(aHooks))
  , m_body(std::make_shared<const std::string>(m_caller->TakeBody()))
  , m_arrivedAt(EventLoop::Now())
  , m_lastEvent(m_request.m_lastEvent)
{
}

GatewayRelay::~GatewayRelay() = default;

void GatewayRelay::Start(HttpClient& aClient,
                         const SendToServer& aSend,
                         Millis aNow)
{
  m_budget = aClient.Budget();
  const auto exchange = std::make_shared<Exchange>();
  const bool hasProgressed = m_lastEvent != m_request.m_lastEvent;
  exchange->m_events = EventStream(
    m_lastEvent, hasProgressed ? ResumedBy::Node : ResumedBy::Caller);
  exchange->m_hold =
    std::make_shared<AnswerHold>(m_budget, m_request.m_attemptName);
  exchange->m_hold->OnCut([held = exchange.get()] { CutAnswer(*held); });
  (aSend.m_role == ExchangeRole::Hedge ? m_hedge : m_primary) = exchange;
  m_isStream = aSend.m_isStream;
  m_account = aSend.m_account;
  AttemptHead head;
  head.m_server = aSend.m_server;
  head.m_account = aSend.m_account;
  head.m_timeLeft = std::max(Millis(1), aSend.m_deadline - aNow);
  head.m_urgency = aSend.m_urgency;
  if (hasProgressed) {
    head.m_lastEvent = m_lastEvent;
  }
  HttpCallSpec spec;
  spec.m_endpoint = aSend.m_endpoint;
  spec.m_method = m_caller->Method();
  spec.m_path = m_caller->Target();
  spec.m_headers = m_codec.m_encodeAttempt(m_caller->Headers(), head);
  spec.m_sharedBody = m_body;
  spec.m_timeout =
    std::min(aSend.m_answerBy, aSend.m_deadline + kDeadlineSlack) - aNow;
  spec.m_connectTimeout = kConnectTimeout;
  if (aSend.m_needsNewConnection) {
    spec.m_maxIdleAge = kNewConnectionOnly;
  }
  spec.m_maxIdle = aSend.m_maxIdleConnections;
  spec.m_closeEndsAnswer = true;
  const std::shared_ptr<GatewayRelay> self = shared_from_this();
  spec.m_match = [self](const HttpAnswerHead& aHead, bool aIsKept) {
    return self->MatchAnswer(aHead, aIsKept);
  };
  spec.m_onHead = [self, exchange](const HttpAnswerHead& aHead) {
    self->OnHead(*exchange, aHead);
  };
  spec.m_onData = [self, exchange](std::string_view aData) {
    self->OnData(*exchange, aData);
  };
  spec.m_onEnd = [self, exchange](const HttpCallEnd& aEnd) {
    self->OnEnd(*exchange, aEnd);
  };
  exchange->m_call = aClient.Start(std::move(spec));
}

void GatewayRelay::Cancel()
{
  if (m_primary && m_primary->m_call) {
    m_primary->m_call->Cancel();
  }
}

void GatewayRelay::ResumeReading()
{
  if (m_primary && m_primary->m_call) {
    m_primary->m_call->ResumeReading();
  }
}

void GatewayRelay::PromoteHedge()
{
  const std::shared_ptr<Exchange> previous = std::move(m_primary);
  m_primary = std::move(m_hedge);
  if (previous && previous->m_call) {
    previous->m_call->Cancel();
  }
}

void GatewayRelay::DropHedge()
{
  const std::shared_ptr<Exchange> previous = std::move(m_hedge);
  if (previous && previous->m_call) {
    previous->m_call->Cancel();
  }
}

std::optional<ExchangeRole> GatewayRelay::RoleOf(
  const Exchange& aExchange) const
{
  if (&aExchange == m_primary.get()) {
    return ExchangeRole::Primary;
  }
  if (&aExchange == m_hedge.get()) {
    return ExchangeRole::Hedge;
  }
  return std::nullopt;
}

// A kept connection may first deliver a second answer to an earlier request, so
// there an answer must name the request that it is to.
AnswerMatch GatewayRelay::MatchAnswer(const HttpAnswerHead& aHead,
                                      bool aIsKept) const
{
  const std::string name = m_codec.m_decodeAnswer(aHead).m_attemptName;
  if (name.empty() && aIsKept) {
    return AnswerMatch::Ambiguous;
  }
  return name.empty() || name == m_request.m_attemptName
           ? AnswerMatch::ThisCall
           : AnswerMatch::OtherCall;
}

void GatewayRelay::OnHead(Exchange& aExchange, const HttpAnswerHead& aHead)
{
  aExchange.m_head = aHead;
  aExchange.m_facts = m_codec.m_decodeAnswer(aHead);
  const AnswerHead& facts = aExchange.m_facts;
  const bool isGenuine = facts.m_isSigned && !facts.m_isEncoded &&
                         facts.m_attemptName == m_request.m_attemptName;
  if (facts.m_isNotRun && facts.m_status >= kFirstErrorStatus) {
    aExchange.m_answerKind = AnswerKind::Refusal;
  } else if (!isGenuine) {
    aExchange.m_answerKind = AnswerKind::Invalid;
    aExchange.m_call->Cancel(ExchangeEnd::WrongAnswer);
  } else if (m_isStream && facts.m_status == kOk) {
    aExchange.m_answerKind = AnswerKind::Events;
  } else {
    aExchange.m_answerKind = AnswerKind::Whole;
  }
  // Reported at once, because the rest of a long answer may take much longer.
  const std::optional<ExchangeRole> role = RoleOf(aExchange);
  if (role && aExchange.m_answerKind != AnswerKind::Invalid) {
    m_hooks.m_onRateStated(
      ServerRateStated{ m_handle, *role, facts.m_rateLimit });
  }
  if (facts.m_isServerLeaving && role) {
    m_hooks.m_onServerLeaves(ServerLeaving{ m_handle, *role });
  }
}

void GatewayRelay::OnData(Exchange& aExchange, std::string_view aData)
{
  if (aExchange.m_answerKind == AnswerKind::Events) {
    OnEvents(aExchange, aData);
  } else if (aExchange.m_answerKind == AnswerKind::Whole) {
    aExchange.m_body.append(aData);
  }
  aExchange.m_hold->SetBytes(aExchange.m_body.capacity() +
                             aExchange.m_events.HeldBytes());
}

void GatewayRelay::CutAnswer(Exchange& aExchange)
{
  // An assignment of an empty string would keep the memory.
  std::string().swap(aExchange.m_body);
  aExchange.m_events = EventStream();
  aExchange.m_call->Cancel(ExchangeEnd::WrongAnswer);
}

void GatewayRelay::StartAnswer()
{
  if (!m_streamStarted) {
    m_streamStarted = true;
    m_firstBytesAt = EventLoop::Now();
    m_caller->CountUnread(std::make_unique<AnswerHold>(
      m_budget, m_request.m_attemptName, HeldKind::UnreadStream));
    m_caller->StartStream(kOk,
                          m_codec.m_encodeAnswer(m_primary->m_head.m_headers));
  }
}

void GatewayRelay::OnEvents(Exchange& aExchange, std::string_view aData)
{
  const std::optional<ExchangeRole> role = RoleOf(aExchange);
  if (aExchange.m_isStreamMalformed || !role) {
    return;
  }
  const EventSpan span = aExchange.m_events.Feed(aData);
  // A comment, or an event before one that can't be used, is no reason to give
  // up the primary exchange.
  const bool continuesStream =
    !m_streamStarted || aExchange.m_events.LastEvent() != m_lastEvent;
  const bool isUsable =
    *role == ExchangeRole::Primary || (continuesStream && !span.m_isBroken);
  if (span.m_count > 0 && isUsable) {
    aExchange.m_hasEvents = true;
    // Decides whether this exchange is the one that serves the caller.
    m_hooks.m_onProgress(
      AnswerProgressed{ m_handle, *role, aExchange.m_events.IsResumable() });
    if (RoleOf(aExchange) != ExchangeRole::Primary) {
      return;
    }
    m_lastEvent = aExchange.m_events.LastEvent();
    StartAnswer();
    m_caller->Write(span.m_events);
  }
  if (span.m_isBroken) {
    aExchange.m_isStreamMalformed = true;
    aExchange.m_call->Cancel(ExchangeEnd::WrongAnswer);
    return;
  }
  // A hedge has sent the caller nothing, and the caller's connection resumes
  // only one exchange.
  if (RoleOf(aExchange) == ExchangeRole::Primary) {
    PauseForReader(*m_caller, aExchange.m_call, m_budget->PauseBytes());
  }
}

ExchangeEnd GatewayRelay::ClassifyEnd(const Exchange& aExchange,
                                      const HttpCallEnd& aEnd) const
{
  if (aExchange.m_answerKind == AnswerKind::Refusal) {
    return ExchangeEnd::RefusedByServer;
  }
  if (aEnd.m_end != ExchangeEnd::Whole) {
    return aEnd.m_end;
  }
  switch (aExchange.m_answerKind) {
    case AnswerKind::Events: {
      // A server that crashes before its first event closes the connection,
      // too, also one that is to continue a stream.
      const bool isBroken = aExchange.m_events.IsWithinEvent() ||
                            aExchange.m_isStreamMalformed ||
                            (aEnd.m_isEndedByClose && !aExchange.m_hasEvents);
      return isBroken ? ExchangeEnd::Truncated : ExchangeEnd::Whole;
    }
    case AnswerKind::Whole:
      // An error answer cannot follow events that were already forwarded.
      return m_streamStarted ? ExchangeEnd::Truncated : ExchangeEnd::Whole;
    default:
      return ExchangeEnd::WrongAnswer;
  }
}

void GatewayRelay::OnEnd(Exchange& aExchange, const HttpCallEnd& aEnd)
{
  aExchange.m_call.reset();
  // What is kept now is a whole answer that is forwarded, or nothing.
  aExchange.m_hold->OnCut(nullptr);
  if (aEnd.m_end != ExchangeEnd::Whole) {
    std::string().swap(aExchange.m_body);
    aExchange.m_hold->SetBytes(0);
  }
  const std::optional<ExchangeRole> role = RoleOf(aExchange);
  if (!role) {
    return;
  }
  ExchangeEnded ended;
  ended.m_handle = m_handle;
  ended.m_role = *role;
  ended.m_end = ClassifyEnd(aExchange, aEnd);
  ended.m_status = aExchange.m_facts.m_status;
  ended.m_answerBegan = m_streamStarted;
  ended.m_retryAfter = aExchange.m_facts.m_retryAfter;
  ended.m_load = aExchange.m_facts.m_load;
  ended.m_trace = aEnd.m_trace;
  m_hooks.m_onEnded(ended);
}

void GatewayRelay::ForwardToCaller()
{
  if (m_primary->m_answerKind == AnswerKind::Events) {
    StartAnswer();
    m_caller->EndStream();
    return;
  }
  m_caller->HoldUntilTaken(m_primary->m_hold);
  m_caller->Respond(m_primary->m_facts.m_status,
                    m_codec.m_encodeAnswer(m_primary->m_head.m_headers),
                    m_primary->m_body);
}

void GatewayRelay::RespondWithCode(ResultCode aCode, Millis aRetryAfter)
{
  if (m_streamStarted) {
    m_caller->Abort();
    return;
  }
  const ResultCodeRow& row = DescribeResultCode(aCode);
  const std::string body =
    "{\"code\":" + std::to_string(static_cast<uint16_t>(aCode)) +
    ",\"error\":\"" + std::string(row.m_name) + "\"}";
  m_caller->Respond(
    row.m_httpStatus,
    m_codec.m_encodeOwnAnswer(m_request.m_attemptName, aRetryAfter),
    body);
}

} // namespace briarglade
