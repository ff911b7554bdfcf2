// One call: its connection, its request's bytes and its answer.
//
// Whether a request may have run is decided by the bytes that the kernel took:
// while none has left, a failure is certain not to have run anything.

#include "briarglade/net/http_call.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <strings.h>
#include <utility>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/internal/pooled_connection.h"

namespace briarglade {

namespace {

constexpr uint16_t kFirstFinalStatus = 200;
constexpr uint16_t kNoContent = 204;
constexpr uint16_t kNotModified = 304;

// How much earlier than the server an idle connection is given up, so that a
// request doesn't cross the server's close.
constexpr Millis kIdleMargin = Millis(500);

// Longer shared bodies are sent without being copied.
constexpr size_t kCopiedBytes = 16 * 1024;

const std::string& BodyOf(const HttpCallSpec& aSpec)
{
  return aSpec.m_sharedBody ? *aSpec.m_sharedBody : aSpec.m_body;
}

std::string MakeHead(const HttpCallSpec& aSpec)
{
  std::string head = aSpec.m_method + " " + aSpec.m_path + " HTTP/1.1\r\n";
  if (FindHeader(aSpec.m_headers, "Host").empty()) {
    head += "Host: " + aSpec.m_endpoint.ToString() + "\r\n";
  }
  for (const HttpHeader& header : aSpec.m_headers) {
    head += header.m_name + ": " + header.m_value + "\r\n";
  }
  const std::string& body = BodyOf(aSpec);
  const bool hasLength = !body.empty() || aSpec.m_method != "GET";
  if (hasLength) {
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  head += "\r\n";
  return head;
}

bool HasDeclaredEnd(const HttpAnswerHead& aHead)
{
  return !FindHeader(aHead.m_headers, "Content-Length").empty() ||
         !FindHeader(aHead.m_headers, "Transfer-Encoding").empty() ||
         aHead.m_status == kNoContent || aHead.m_status == kNotModified;
}

} // namespace

HttpCall::HttpCall(HttpClient& aClient, HttpCallSpec aSpec)
  : m_client(aClient)
  , m_spec(std::move(aSpec))
{
}

HttpCall::~HttpCall() = default;

void HttpCall::ExpectAnswer()
{
  const HttpClientLimits& limits = m_client.m_limits;
  m_parser.emplace(internal::HttpParseLimits{
    limits.m_maxHeaderBytes,
    std::min(limits.m_maxBodyBytes,
             m_spec.m_maxBodyBytes.value_or(limits.m_maxBodyBytes)) });
  m_head = HttpAnswerHead();
  m_headTold = false;
  m_isPassedOver = false;
}

void HttpCall::Begin()
{
  ExpectAnswer();
  m_connection = m_client.Take(m_spec);
  if (!m_connection) {
    EndSoon(ExchangeEnd::ConnectRefused);
    return;
  }
  m_connection->SetCall(this);
  m_connection->BeginExchange();
  m_timer = m_client.m_loop.MakeTimer([this] {
    const bool neverLeft = m_connection->SentBytes() == 0;
    Cancel(neverLeft ? FailureKind() : ExchangeEnd::Timeout);
  });
  m_isNewConnection = !m_connection->IsConnected();
  if (!m_isNewConnection) {
    SendRequest();
    return;
  }
  m_timer->Start(std::min(m_spec.m_connectTimeout, m_spec.m_timeout));
  if (!m_connection->Connect()) {
    EndSoon(ExchangeEnd::ConnectRefused);
  }
}

void HttpCall::OnConnected()
{
  if (!m_ended && !m_ending) {
    SendRequest();
  }
}

void HttpCall::SendRequest()
{
  m_timer->Start(m_spec.m_timeout);
  if (m_spec.m_sharedBody && m_spec.m_sharedBody->size() > kCopiedBytes) {
    m_connection->Send({ MakeHead(m_spec) });
    m_connection->SendShared(std::move(m_spec.m_sharedBody));
    return;
  }
  m_connection->Send({ MakeHead(m_spec), BodyOf(m_spec) });
  m_spec.m_sharedBody.reset();
  m_spec.m_body.clear();
  m_spec.m_body.shrink_to_fit();
}

void HttpCall::Cancel(ExchangeEnd aReason)
{
  if (m_ended || m_ending) {
    return;
  }
  EndSoon(aReason);
}

void HttpCall::EndSoon(ExchangeEnd aEnd)
{
  m_ending = true;
  if (m_connection) {
    bufferevent_disable(m_connection->Raw(), EV_READ | EV_WRITE);
  }
  std::weak_ptr<bool> alive = m_client.m_alive;
  m_client.m_loop.Defer([self = shared_from_this(), aEnd, alive] {
    if (!alive.expired()) {
      self->End(HttpCallEnd{ aEnd, self->m_head.m_status, false }, false);
    }
  });
}

void HttpCall::End(HttpCallEnd aEnd, bool aKeepConnection)
{
  if (m_ended) {
    return;
  }
  m_ended = true;
  m_timer.reset();
  m_idleTimer.reset();
  aEnd.m_trace = Trace();
  if (m_connection) {
    m_connection->SetCall(nullptr);
    if (aKeepConnection) {
      m_client.Keep(std::move(m_connection), m_spec, KeepFor());
    } else {
      m_client.Discard(std::move(m_connection));
    }
  }
  std::function<void(const HttpCallEnd&)> onEnd = std::move(m_spec.m_onEnd);
  m_spec.m_onHead = nullptr;
  m_spec.m_onData = nullptr;
  const std::shared_ptr<HttpCall> self = shared_from_this();
  m_client.m_running.erase(self);
  if (onEnd) {
    onEnd(aEnd);
  }
}

void HttpCall::Abandon()
{
  m_ended = true;
  m_timer.reset();
  m_idleTimer.reset();
  m_spec = HttpCallSpec();
  m_connection.reset();
}

ExchangeEnd HttpCall::FailureKind() const
{
  if (m_headTold && !m_isPassedOver) {
    return ExchangeEnd::Truncated;
  }
  if (m_connection->SentBytes() > 0) {
    return ExchangeEnd::ResetBeforeAnswer;
  }
  return m_isNewConnection ? ExchangeEnd::ConnectRefused
                           : ExchangeEnd::ResetBeforeSend;
}

ExchangeTrace HttpCall::Trace() const
{
  ExchangeTrace trace;
  trace.m_passedOverAnswers = m_passedOverAnswers;
  if (m_connection) {
    trace.m_isKeptConnection = !m_isNewConnection;
    trace.m_sentBytes = m_connection->SentBytes();
  }
  return trace;
}

void HttpCall::TellHead()
{
  if (m_headTold || !m_parser->HasHead()) {
    return;
  }
  m_headTold = true;
  m_head.m_status = m_parser->Status();
  m_head.m_headers = std::move(m_parser->Headers());
  const AnswerMatch match = m_spec.m_match
                              ? m_spec.m_match(m_head, !m_isNewConnection)
                              : AnswerMatch::ThisCall;
  if (match == AnswerMatch::OtherCall) {
    m_isPassedOver = true;
    ++m_passedOverAnswers;
    m_head = HttpAnswerHead();
    return;
  }
  if (match == AnswerMatch::Ambiguous) {
    Cancel(ExchangeEnd::WrongAnswer);
    return;
  }
  WatchSilence();
  if (m_spec.m_onHead) {
    m_spec.m_onHead(m_head);
  }
}

void HttpCall::TellData(std::string_view aData)
{
  TellHead();
  if (!m_ending && !m_isPassedOver && m_spec.m_onData) {
    m_spec.m_onData(aData);
  }
}

void HttpCall::OnReadable()
{
  const std::shared_ptr<HttpCall> self = shared_from_this();
  while (!m_ended && !m_ending && ReadAnswer()) {
  }
}

// Reads what has come of one answer. Returns whether another one may follow it
// in what has come.
bool HttpCall::ReadAnswer()
{
  evbuffer* input = bufferevent_get_input(m_connection->Raw());
  const size_t length = evbuffer_get_length(input);
  const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  m_lastDataAt = EventLoop::Now();
  const size_t taken =
    m_parser->Feed(std::string_view(bytes, length),
                   [this](std::string_view aPart) { TellData(aPart); });
  if (m_ended) {
    return false;
  }
  evbuffer_drain(input, taken);
  if (m_parser->Failure() != internal::HttpParseFailure::None) {
    Cancel(m_headTold ? ExchangeEnd::Truncated : ExchangeEnd::WrongAnswer);
    return false;
  }
  const bool isInterim =
    m_parser->IsDone() && !m_headTold && m_parser->Status() < kFirstFinalStatus;
  if (!isInterim) {
    TellHead();
  }
  m_interimBytes += isInterim ? taken : 0;
  m_passedOverBytes += m_isPassedOver ? taken : 0;
  if (m_interimBytes > m_client.m_limits.m_maxHeaderBytes ||
      m_passedOverBytes > m_client.m_limits.m_maxBodyBytes) {
    Cancel(ExchangeEnd::WrongAnswer);
    return false;
  }
  if (isInterim || (m_isPassedOver && m_parser->IsDone() && !m_ending)) {
    ExpectAnswer();
    return taken < length;
  }
  if (m_parser->IsDone() && !m_ending) {
    FinishWhole();
  }
  return false;
}

void HttpCall::FinishWhole()
{
  const bool keep = m_parser->KeepsConnection() &&
                    !m_connection->HasLeftovers() && HasDeclaredEnd(m_head);
  End(HttpCallEnd{ ExchangeEnd::Whole, m_head.m_status, false }, keep);
}

Millis HttpCall::KeepFor() const
{
  const Millis stated =
    StatedIdleTime(FindHeader(m_head.m_headers, "Keep-Alive"));
  if (stated == Millis()) {
    return m_client.m_limits.m_idleLifetime;
  }
  return std::max(Millis(0), stated - kIdleMargin);
}

void HttpCall::OnClosed(bool aOrderly)
{
  if (m_ended || m_ending) {
    return;
  }
  const bool endsHere = m_headTold && !m_isPassedOver &&
                        m_parser->EndsWithConnection() && aOrderly &&
                        m_spec.m_closeEndsAnswer;
  if (endsHere) {
    m_parser->FeedEnd();
    End(HttpCallEnd{ ExchangeEnd::Whole, m_head.m_status, true }, false);
    return;
  }
  EndSoon(FailureKind());
}

void HttpCall::WatchSilence()
{
  if (m_spec.m_idleTimeout == Millis()) {
    return;
  }
  m_idleTimer = m_client.m_loop.MakeTimer([this] { OnIdleTimer(); });
  m_idleTimer->Start(m_spec.m_idleTimeout);
}

// The timer isn't set anew with each piece of the answer: it looks when it
// fires.
void HttpCall::OnIdleTimer()
{
  const Millis silence = EventLoop::Now() - m_lastDataAt;
  if (silence >= m_spec.m_idleTimeout && !m_isPaused) {
    Cancel(ExchangeEnd::Timeout);
    return;
  }
  m_idleTimer->Start(std::max(
    Millis(1), m_spec.m_idleTimeout - (m_isPaused ? Millis() : silence)));
}

void HttpCall::PauseReading()
{
  m_isPaused = true;
  if (m_connection && !m_ended) {
    bufferevent_disable(m_connection->Raw(), EV_READ);
  }
}

void HttpCall::ResumeReading()
{
  m_isPaused = false;
  m_lastDataAt = EventLoop::Now();
  if (m_connection && !m_ended && !m_ending) {
    bufferevent_enable(m_connection->Raw(), EV_READ);
  }
}

} // namespace briarglade
