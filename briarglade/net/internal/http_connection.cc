// Requests on one accepted connection.

#include "briarglade/net/internal/http_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <utility>

#include "briarglade/net/answer_hold.h"
#include "briarglade/net/http_exchange.h"
#include "briarglade/net/http_server.h"
#include "briarglade/net/internal/socket_io.h"

namespace briarglade {

namespace {

// Bytes that wait unread on a connection before the kernel holds the rest.
constexpr size_t kReadAhead = 256 * 1024;
// How long a connection may linger after its last answer.
constexpr Millis kLingerTime = Millis(500);

ResultCode CodeOf(internal::HttpParseFailure aFailure)
{
  switch (aFailure) {
    case internal::HttpParseFailure::HeaderTooLarge:
      return ResultCode::HeaderTooLarge;
    case internal::HttpParseFailure::BodyTooLarge:
      return ResultCode::BodyTooLarge;
    case internal::HttpParseFailure::None:
    case internal::HttpParseFailure::Malformed:
      return ResultCode::MalformedRequest;
  }
  return ResultCode::MalformedRequest;
}

} // namespace

HttpConnection::HttpConnection(HttpServer& aServer, int aSocket)
  : m_server(aServer)
  , m_bufferevent(bufferevent_socket_new(aServer.m_loop.Base(),
                                         aSocket,
                                         BEV_OPT_CLOSE_ON_FREE))
  , m_timer(aServer.m_loop.MakeTimer([this] { OnTimer(); }))
{
  internal::PrepareSocket(aSocket);
  bufferevent_setcb(m_bufferevent, &OnReadable, &OnWritten, &OnEvent, this);
  bufferevent_setwatermark(m_bufferevent, EV_READ, 0, kReadAhead);
  bufferevent_enable(m_bufferevent, EV_READ | EV_WRITE);
  m_timer->Start(m_server.m_limits.m_idleTime);
  m_server.m_connections.insert(this);
}

HttpConnection::~HttpConnection()
{
  m_phase = Phase::Cut;
  m_server.m_connections.erase(this);
  EndExchange();
  ReleaseHolds();
  bufferevent_free(m_bufferevent);
}

void HttpConnection::Send(std::initializer_list<std::string_view> aPieces)
{
  internal::SendNow(m_bufferevent, aPieces);
  if (UnsentBytes() > 0) {
    m_timer->Start(m_server.m_limits.m_writeStall);
  }
}

void HttpConnection::SendLater(const std::string& aText)
{
  bufferevent_write(m_bufferevent, aText.data(), aText.size());
  m_timer->Start(m_server.m_limits.m_writeStall);
}

size_t HttpConnection::UnsentBytes() const
{
  return internal::UnsentBytes(m_bufferevent);
}

bool HttpConnection::MustClose() const
{
  return !m_keepsAfterRequest || m_server.m_isDraining;
}

void HttpConnection::HoldUntilTaken(std::shared_ptr<AnswerHold> aHold)
{
  aHold->OnCut([this] { CutSoon(); });
  m_holds.push_back(std::move(aHold));
}

void HttpConnection::ReleaseHolds()
{
  for (const std::shared_ptr<AnswerHold>& hold : m_holds) {
    hold->OnCut(nullptr);
  }
  m_holds.clear();
}

void HttpConnection::FinishAnswer(bool aKeep)
{
  if (UnsentBytes() == 0) {
    ReleaseHolds();
  }
  if (m_exchange) {
    m_exchange->Detach();
    m_exchange.reset();
  }
  if (m_phase == Phase::Cut) {
    return;
  }
  if (!aKeep) {
    m_phase = Phase::Closing;
    m_timer->Start(m_server.m_limits.m_writeStall);
    if (UnsentBytes() == 0) {
      CloseGently();
    }
    return;
  }
  m_phase = Phase::Reading;
  m_timer->Start(m_server.m_limits.m_idleTime);
  if (!m_inRead) {
    ReadRequests();
  }
}

void HttpConnection::CutSoon()
{
  m_phase = Phase::Cut;
  m_timer->Start(Millis(0));
}

bool HttpConnection::CloseIfIdle()
{
  // A request that has come is read and answered first.
  const bool isIdle =
    m_phase == Phase::Reading && !m_parser &&
    !internal::HasUnreadBytes(bufferevent_getfd(m_bufferevent));
  if (isIdle) {
    CloseGently();
  }
  return isIdle;
}

void HttpConnection::CloseGently()
{
  m_phase = Phase::Lingering;
  shutdown(bufferevent_getfd(m_bufferevent), SHUT_WR);
  DropInput();
  m_timer->Start(kLingerTime);
}

void HttpConnection::OnTimer()
{
  if (m_phase == Phase::Reading && m_parser) {
    Reject(ResultCode::RequestTimeout);
    return;
  }
  if (m_phase == Phase::Reading) {
    if (!CloseIfIdle()) {
      m_timer->Start(m_server.m_limits.m_requestTime);
    }
    return;
  }
  delete this;
}

void HttpConnection::OnReadable(bufferevent*, void* aSelf)
{
  static_cast<HttpConnection*>(aSelf)->ReadRequests();
}

void HttpConnection::OnWritten(bufferevent*, void* aSelf)
{
  auto* self = static_cast<HttpConnection*>(aSelf);
  if (self->UnsentBytes() > 0) {
    return;
  }
  self->ReleaseHolds();
  if (self->m_phase == Phase::Closing) {
    self->CloseGently();
    return;
  }
  if (self->m_phase != Phase::Answering || !self->m_exchange) {
    return;
  }
  // The caller took everything; the backend server's silence isn't its fault.
  self->m_timer->Stop();
  const std::shared_ptr<HttpExchange> exchange = self->m_exchange;
  if (exchange->m_onDrained) {
    exchange->m_onDrained();
  }
}

void HttpConnection::OnEvent(bufferevent*, short aEvents, void* aSelf)
{
  if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    delete static_cast<HttpConnection*>(aSelf);
  }
}

void HttpConnection::DropInput()
{
  evbuffer* input = bufferevent_get_input(m_bufferevent);
  evbuffer_drain(input, evbuffer_get_length(input));
}

void HttpConnection::ReadRequests()
{
  if (m_phase == Phase::Closing || m_phase == Phase::Lingering) {
    DropInput();
    return;
  }
  m_inRead = true;
  while (m_phase == Phase::Reading && ReadPart()) {
  }
  m_inRead = false;
}

// Reads what has come of one request. Returns whether more may be read now.
bool HttpConnection::ReadPart()
{
  evbuffer* input = bufferevent_get_input(m_bufferevent);
  const size_t length = evbuffer_get_length(input);
  if (length == 0) {
    return false;
  }
  const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  if (!m_parser) {
    constexpr std::string_view kEmptyLine = "\r\n";
    if (std::string_view(bytes, length).substr(0, 2) == kEmptyLine) {
      // An empty line before a request is to be ignored.
      evbuffer_drain(input, kEmptyLine.size());
      return true;
    }
    m_parser.emplace(internal::HttpParseLimits{
      m_server.m_limits.m_maxHeaderBytes, m_server.m_limits.m_maxBodyBytes });
    m_timer->Start(m_server.m_limits.m_requestTime);
  }
  const size_t taken =
    m_parser->Feed(std::string_view(bytes, length),
                   [this](std::string_view aPart) { m_body.append(aPart); });
  evbuffer_drain(input, taken);
  if (m_parser->Failure() != internal::HttpParseFailure::None) {
    Reject(CodeOf(m_parser->Failure()));
    return false;
  }
  if (!m_parser->IsDone()) {
    return taken > 0 && taken < length;
  }
  // On a busy host a request may be read long after it came.
  if (internal::HasPeerLeft(bufferevent_getfd(m_bufferevent))) {
    CutSoon();
    return false;
  }
  HandleRequest();
  return true;
}

void HttpConnection::HandleRequest()
{
  m_phase = Phase::Answering;
  m_timer->Stop();
  m_keepsAfterRequest = m_parser->KeepsConnection();
  m_exchange.reset(new HttpExchange(this));
  HttpExchange& exchange = *m_exchange;
  exchange.m_method = m_parser->Method();
  exchange.m_headers = std::move(m_parser->Headers());
  exchange.m_body = std::move(m_body);
  const std::string& target = m_parser->Target();
  const size_t mark = target.find('?');
  exchange.m_path = target.substr(0, mark);
  exchange.m_query =
    mark == std::string::npos ? std::string() : target.substr(mark + 1);
  exchange.m_target = target;
  m_parser.reset();
  m_body.clear();
  m_server.m_handler(m_exchange);
}

void HttpConnection::Reject(ResultCode aCode)
{
  const std::string& target = m_parser->Target();
  if (m_server.m_rejectionObserver) {
    m_server.m_rejectionObserver(
      HttpRejection{ aCode, target.substr(0, target.find('?')) });
  }
  m_parser.reset();
  m_body.clear();
  m_keepsAfterRequest = false;
  m_phase = Phase::Answering;
  m_exchange.reset(new HttpExchange(this));
  const std::shared_ptr<HttpExchange> exchange = m_exchange;
  const ResultCodeRow& row = DescribeResultCode(aCode);
  exchange->Respond(
    row.m_httpStatus,
    { { kCodeHeader, std::to_string(static_cast<uint16_t>(aCode)) },
      { kOutcomeHeader, std::string(OutcomeName(row.m_outcome)) } },
    {});
}

// The connection ends: tells the exchange in progress.
void HttpConnection::EndExchange()
{
  const std::shared_ptr<HttpExchange> exchange = std::move(m_exchange);
  if (!exchange) {
    return;
  }
  const std::function<void()> onClosed = std::move(exchange->m_onClosed);
  exchange->Detach();
  if (onClosed) {
    onClosed();
  }
}

} // namespace briarglade
