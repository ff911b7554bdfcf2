// Requests on one accepted connection.

#include "briarglade/net/internal/http_connection.h"

#include <algorithm>
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

// Bytes that may wait unread on a connection without a grant of the budget,
// also behind a request that is being answered. The kernel holds the rest.
constexpr size_t kFirstReadAhead = 4 * 1024;
// The same for a request that has its grant.
constexpr size_t kReadAhead = 16 * 1024;
// A body that is not wanted is read up to this length, so that the connection
// can go on.
constexpr size_t kMaxDroppedBytes = 64 * 1024;
// How long a connection may linger after its last answer.
constexpr Millis kLingerTime = Millis(500);

// Returns what parsed headers take, apart from short texts within the headers.
size_t BytesOf(const HttpHeaders& aHeaders)
{
  size_t bytes = aHeaders.capacity() * sizeof(HttpHeader);
  for (const HttpHeader& header : aHeaders) {
    bytes += header.m_name.size() + header.m_value.size();
  }
  return bytes;
}

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
  , m_place(aServer.m_order.Add(*this, EventLoop::Now()))
  , m_hold(aServer.m_budget,
           { [this] { ReadSoon(); },
             [this] {
               m_isRefused = true;
               ReadSoon();
             } })
{
  internal::PrepareSocket(aSocket);
  bufferevent_setcb(m_bufferevent, &OnReadable, &OnWritten, &OnEvent, this);
  SetReadAhead(kFirstReadAhead);
  bufferevent_enable(m_bufferevent, EV_READ | EV_WRITE);
  m_timer->Start(m_server.m_limits.m_idleTime);
  m_server.m_connections.insert(this);
}

HttpConnection::~HttpConnection()
{
  m_phase = Phase::Cut;
  m_server.m_connections.erase(this);
  m_server.m_order.Remove(m_place);
  EndExchange();
  ReleaseHolds();
  StopCountingUnread();
  bufferevent_free(m_bufferevent);
}

void HttpConnection::Send(std::initializer_list<std::string_view> aPieces)
{
  internal::SendNow(m_bufferevent, aPieces);
  // What was written may have been cut for want of memory.
  if (m_phase != Phase::Cut && UnsentBytes() > 0) {
    m_timer->Start(m_server.m_limits.m_writeStall);
  }
}

void HttpConnection::SendLater(const std::string& aText)
{
  bufferevent_write(m_bufferevent, aText.data(), aText.size());
  if (m_phase != Phase::Cut) {
    m_timer->Start(m_server.m_limits.m_writeStall);
  }
}

size_t HttpConnection::UnsentBytes() const
{
  return internal::UnsentBytes(m_bufferevent);
}

const std::string& HttpConnection::Address()
{
  if (m_address.empty()) {
    m_address = internal::PeerAddress(bufferevent_getfd(m_bufferevent));
  }
  return m_address;
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

void HttpConnection::CountUnread(std::unique_ptr<AnswerHold> aHold)
{
  StopCountingUnread();
  m_unreadHold = std::move(aHold);
  m_unreadHold->OnCut([this] { CutSoon(); });
  evbuffer_add_cb(
    bufferevent_get_output(m_bufferevent), &OnOutputChanged, this);
}

void HttpConnection::OnOutputChanged(evbuffer* aOutput,
                                     const evbuffer_cb_info*,
                                     void* aSelf)
{
  auto* self = static_cast<HttpConnection*>(aSelf);
  self->m_unreadHold->SetBytes(evbuffer_get_length(aOutput));
}

void HttpConnection::StopCountingUnread()
{
  if (m_unreadHold) {
    evbuffer_remove_cb(
      bufferevent_get_output(m_bufferevent), &OnOutputChanged, this);
    m_unreadHold.reset();
  }
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
    StopCountingUnread();
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
    m_hold.Release();
    m_timer->Start(m_server.m_limits.m_writeStall);
    if (UnsentBytes() == 0) {
      CloseGently();
    }
    return;
  }
  m_phase = Phase::Reading;
  m_hold.Release();
  m_isRefused = false;
  if (UnsentBytes() > 0) {
    // The next request is read once the client has taken this answer.
    m_timer->Start(m_server.m_limits.m_writeStall);
    return;
  }
  m_server.m_order.SetWaiting(m_place, EventLoop::Now());
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
    m_phase == Phase::Reading && !m_parser && UnsentBytes() == 0 &&
    !internal::HasUnreadBytes(bufferevent_getfd(m_bufferevent));
  if (isIdle) {
    CloseGently();
  }
  return isIdle;
}

bool HttpConnection::WaitsForNode() const
{
  return m_parser ? m_parser->IsDone()
                  : internal::HasUnreadBytes(bufferevent_getfd(m_bufferevent));
}

void HttpConnection::Evict()
{
  if (m_server.m_evictionObserver) {
    m_server.m_evictionObserver(HttpEviction{
      Address(), m_parser.has_value(), EventLoop::Now() - m_place->m_since });
  }
  if (m_parser) {
    Reject(ResultCode::NoCapacity);
  }
  // Not closed gently, as the descriptor is needed at once. bufferevent_free()
  // closes it only after the present callback has returned, in which many
  // connections may be accepted.
  const evutil_socket_t descriptor = bufferevent_getfd(m_bufferevent);
  bufferevent_setfd(m_bufferevent, -1);
  evutil_closesocket(descriptor);
  delete this;
}

void HttpConnection::CloseGently()
{
  m_phase = Phase::Lingering;
  m_server.m_order.SetBusy(m_place, EventLoop::Now());
  shutdown(bufferevent_getfd(m_bufferevent), SHUT_WR);
  DropInput();
  m_timer->Start(kLingerTime);
}

void HttpConnection::OnTimer()
{
  if (m_phase == Phase::Reading && m_parser) {
    Reject(m_hold.IsWaiting() ? ResultCode::NoCapacity
                              : ResultCode::RequestTimeout);
    return;
  }
  if (m_phase == Phase::Reading && UnsentBytes() == 0) {
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
  if (self->m_phase != Phase::Answering) {
    self->StopCountingUnread();
  }
  if (self->m_phase == Phase::Closing) {
    self->CloseGently();
    return;
  }
  if (self->m_phase == Phase::Reading && !self->m_parser) {
    self->m_server.m_order.SetWaiting(self->m_place, EventLoop::Now());
    if (!self->m_server.m_isDraining || !self->CloseIfIdle()) {
      self->m_timer->Start(self->m_server.m_limits.m_idleTime);
      self->ReadRequests();
    }
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

void HttpConnection::SetReadAhead(size_t aBytes)
{
  bufferevent_setwatermark(m_bufferevent, EV_READ, 0, aBytes);
}

size_t HttpConnection::LongestReadAhead() const
{
  // A head that is too long must be seen to be so.
  return std::max(kReadAhead,
                  m_server.m_limits.m_maxHeaderBytes + kFirstReadAhead);
}

void HttpConnection::ReadSoon()
{
  bufferevent_trigger(m_bufferevent,
                      EV_READ,
                      BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
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
  if (m_isRefused) {
    Reject(ResultCode::NoCapacity);
    return false;
  }
  if (m_parser && m_parser->IsDone() && !m_hold.IsWaiting()) {
    HandleRequest();
    return true;
  }
  evbuffer* input = bufferevent_get_input(m_bufferevent);
  const size_t length = evbuffer_get_length(input);
  // An answer that has not been taken yet holds the next request back.
  const bool isHeldBack = !m_parser && UnsentBytes() > 0;
  if (length == 0 || isHeldBack || m_hold.IsWaiting()) {
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
    m_server.m_order.SetWaiting(m_place, EventLoop::Now());
  }
  m_hold.NoteProgress(EventLoop::Now());
  const std::string_view view(bytes, length);
  return m_parser->HasHead() ? ReadBody(view) : ReadHead(view);
}

bool HttpConnection::ReadHead(std::string_view aBytes)
{
  const size_t taken = m_parser->FeedHead(aBytes);
  evbuffer_drain(bufferevent_get_input(m_bufferevent), taken);
  if (m_parser->Failure() != internal::HttpParseFailure::None) {
    Reject(CodeOf(m_parser->Failure()));
    return false;
  }
  if (m_parser->HasHead()) {
    OnHead();
    return m_phase == Phase::Reading && !m_hold.IsWaiting();
  }
  if (aBytes.size() >= kFirstReadAhead &&
      m_hold.Ask(LongestReadAhead(), EventLoop::Now())) {
    SetReadAhead(LongestReadAhead());
  }
  return false;
}

void HttpConnection::MakeExchange()
{
  m_exchange.reset(new HttpExchange(this));
  HttpExchange& exchange = *m_exchange;
  exchange.m_method = m_parser->Method();
  exchange.m_headers = std::move(m_parser->Headers());
  const std::string& target = m_parser->Target();
  const size_t mark = target.find('?');
  exchange.m_path = target.substr(0, mark);
  exchange.m_query =
    mark == std::string::npos ? std::string() : target.substr(mark + 1);
  exchange.m_target = target;
}

// Decides by the head whether the body is read, and asks for its memory.
void HttpConnection::OnHead()
{
  m_keepsAfterRequest = m_parser->KeepsConnection();
  MakeExchange();
  HttpExchange& exchange = *m_exchange;
  const bool isWhole = m_parser->IsDone();
  // A body that has come with its head is left to the handler's judgement.
  const bool hasCome =
    isWhole || (m_parser->BodyLength() &&
                *m_parser->BodyLength() <=
                  evbuffer_get_length(bufferevent_get_input(m_bufferevent)));
  m_droppedBytes = 0;
  m_isBodyWanted =
    hasCome || !m_server.m_headJudge || m_server.m_headJudge(exchange);
  exchange.m_isBodyDropped = !m_isBodyWanted;
  m_neededBytes = BytesOf(exchange.m_headers);
  if (!hasCome) {
    m_neededBytes += LongestReadAhead();
  }
  if (!isWhole && m_isBodyWanted) {
    m_neededBytes += m_parser->BodyLength().value_or(0);
  }
  if (!m_isBodyWanted &&
      m_parser->BodyLength().value_or(0) > kMaxDroppedBytes) {
    m_keepsAfterRequest = false;
    HandleRequest();
    return;
  }
  if (!m_hold.Ask(m_neededBytes, EventLoop::Now())) {
    // ReadSoon() follows, also for a request without a body.
    return;
  }
  if (isWhole) {
    HandleRequest();
  }
}

bool HttpConnection::ReadBody(std::string_view aBytes)
{
  SetReadAhead(LongestReadAhead());
  if (!m_isBodyWanted) {
    return DropBody(aBytes);
  }
  if (!MakeRoom(aBytes.size())) {
    return false;
  }
  const size_t taken = m_parser->Feed(
    aBytes, [this](std::string_view aPart) { m_body.append(aPart); });
  evbuffer_drain(bufferevent_get_input(m_bufferevent), taken);
  if (m_parser->Failure() != internal::HttpParseFailure::None) {
    Reject(CodeOf(m_parser->Failure()));
    return false;
  }
  if (!m_parser->IsDone()) {
    return taken > 0 && taken < aBytes.size();
  }
  HandleRequest();
  return true;
}

// Makes room for more of a body within the budget. Returns whether there is.
bool HttpConnection::MakeRoom(size_t aBytes)
{
  if (const std::optional<uint64_t> length = m_parser->BodyLength()) {
    m_body.reserve(*length);
    return true;
  }
  const size_t size = m_body.size() + aBytes;
  if (size <= m_body.capacity()) {
    return true;
  }
  // Each time by as much again, as strings grow.
  const size_t room = std::max(size, 2 * m_body.capacity());
  if (!m_hold.Ask(m_neededBytes + room, EventLoop::Now())) {
    return false;
  }
  m_body.reserve(room);
  return true;
}

// Reads a body that is not wanted. A long one is left unread.
bool HttpConnection::DropBody(std::string_view aBytes)
{
  const size_t taken = m_parser->Feed(aBytes, [](std::string_view) {});
  evbuffer_drain(bufferevent_get_input(m_bufferevent), taken);
  m_droppedBytes += taken;
  if (m_parser->Failure() != internal::HttpParseFailure::None) {
    Reject(CodeOf(m_parser->Failure()));
    return false;
  }
  const bool isTooLong =
    !m_parser->IsDone() && m_droppedBytes > kMaxDroppedBytes;
  if (isTooLong) {
    m_keepsAfterRequest = false;
  }
  if (isTooLong || m_parser->IsDone()) {
    HandleRequest();
    return true;
  }
  return taken > 0 && taken < aBytes.size();
}

void HttpConnection::HandleRequest()
{
  // On a busy host a request may be read long after it came.
  if (internal::HasPeerLeft(bufferevent_getfd(m_bufferevent))) {
    CutSoon();
    return;
  }
  m_phase = Phase::Answering;
  m_server.m_order.SetBusy(m_place, EventLoop::Now());
  m_timer->Stop();
  m_hold.SetWhole();
  SetReadAhead(kFirstReadAhead);
  m_exchange->m_body = std::move(m_body);
  m_parser.reset();
  FreeBody();
  m_server.m_handler(m_exchange);
}

void HttpConnection::FreeBody()
{
  // An assignment of an empty string would keep the memory.
  std::string().swap(m_body);
}

void HttpConnection::Reject(ResultCode aCode)
{
  const std::string& target = m_parser->Target();
  // A body that is announced as too long fails the parser at the head's end.
  const bool hasHead =
    m_parser->HasHead() ||
    m_parser->Failure() == internal::HttpParseFailure::BodyTooLarge;
  if (!m_exchange && hasHead) {
    MakeExchange();
  }
  if (m_server.m_rejectionObserver) {
    m_server.m_rejectionObserver(HttpRejection{
      aCode, target.substr(0, target.find('?')), Address(), m_exchange.get() });
  }
  m_parser.reset();
  FreeBody();
  m_hold.Release();
  m_isRefused = false;
  m_keepsAfterRequest = false;
  m_phase = Phase::Answering;
  m_server.m_order.SetBusy(m_place, EventLoop::Now());
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
