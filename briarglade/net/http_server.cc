// The HTTP server: libevhtp behind typed exchanges.
//
// Reading goes on while an answer is being made, so that a caller's departure
// is seen at once; a caller that sends a second request before the answer to
// the first is cut off by libevhtp.

#include "briarglade/net/http_server.h"

#include <algorithm>
#include <cstdio>
#include <evhtp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <utility>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"
#include "briarglade/net/internal/http_connection.h"

namespace briarglade {

namespace {

constexpr int kBacklog = 1024;

std::string OrEmpty(const char* aText)
{
  return aText == nullptr ? std::string() : std::string(aText);
}

// Returns an empty name for a method that libevhtp doesn't know.
std::string MethodName(htp_method aMethod)
{
  return OrEmpty(htparser_get_methodstr_m(aMethod));
}

} // namespace

HttpConnection::HttpConnection(HttpServer& aServer,
                               evhtp_connection* aConnection)
  : m_server(aServer)
  , m_connection(aConnection)
  , m_timer(aServer.m_loop.MakeTimer([this] { OnTimer(); }))
{
  auto hook = [&](evhtp_hook_type aType, auto aFunction) {
    evhtp_connection_set_hook(
      m_connection,
      aType,
      reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(aFunction)),
      this);
  };
  hook(evhtp_hook_on_path, &HttpConnection::OnPath);
  hook(evhtp_hook_on_header, &HttpConnection::OnHeader);
  hook(evhtp_hook_on_read, &HttpConnection::OnRead);
  hook(evhtp_hook_on_request_fini, &HttpConnection::OnRequestEnd);
  hook(evhtp_hook_on_connection_fini, &HttpConnection::OnConnectionEnd);
  hook(evhtp_hook_on_write, &HttpConnection::OnWritten);
  m_timer->Start(m_server.m_limits.m_idleTime);
  m_server.m_connections.insert(this);
}

HttpConnection::~HttpConnection()
{
  m_server.m_connections.erase(this);
}

void HttpConnection::CloseSoon()
{
  if (m_closing) {
    return;
  }
  m_closing = true;
  m_timer->Start(Millis(0));
}

void HttpConnection::AnswerFinished()
{
  m_timer->Start(m_server.m_limits.m_writeStall);
}

void HttpConnection::WatchWrites()
{
  m_timer->Start(m_server.m_limits.m_writeStall);
}

void HttpConnection::OnTimer()
{
  const bool slowSender = m_reading != nullptr && !m_exchange && !m_rejected;
  if (slowSender && !m_closing) {
    Reject(m_reading, ResultCode::RequestTimeout);
    m_timer->Start(m_server.m_limits.m_writeStall);
    return;
  }
  evhtp_connection_free(m_connection);
}

void HttpConnection::Reject(evhtp_request* aRequest, ResultCode aCode)
{
  m_rejected = true;
  const ResultCodeRow& row = DescribeResultCode(aCode);
  if (m_server.m_rejectionObserver) {
    const bool hasPath = aRequest->uri != nullptr && aRequest->uri->path;
    m_server.m_rejectionObserver(HttpRejection{
      aCode, hasPath ? OrEmpty(aRequest->uri->path->full) : std::string() });
  }
  auto add = [&](const char* aName, const std::string& aValue) {
    evhtp_headers_add_header(aRequest->headers_out,
                             evhtp_header_new(aName, aValue.c_str(), 1, 1));
  };
  add(kCodeHeader, std::to_string(static_cast<uint16_t>(aCode)));
  add(kOutcomeHeader, std::string(OutcomeName(row.m_outcome)));
  add("Connection", "close");
  evhtp_request_set_keepalive(aRequest, 0);
  evhtp_send_reply(aRequest, row.m_httpStatus);
}

void HttpConnection::ResetRequest()
{
  m_reading = nullptr;
  m_headers.clear();
  m_headerBytes = 0;
  m_body.clear();
  m_rejected = false;
}

uint16_t HttpConnection::OnPath(evhtp_request* aRequest,
                                evhtp_path_t*,
                                void* aSelf)
{
  auto* self = static_cast<HttpConnection*>(aSelf);
  self->m_reading = aRequest;
  self->m_timer->Start(self->m_server.m_limits.m_requestTime);
  return EVHTP_RES_OK;
}

uint16_t HttpConnection::OnHeader(evhtp_request* aRequest,
                                  evhtp_kv* aHeader,
                                  void* aSelf)
{
  auto* self = static_cast<HttpConnection*>(aSelf);
  if (self->m_rejected) {
    return EVHTP_RES_OK;
  }
  self->m_headerBytes += aHeader->klen + aHeader->vlen;
  if (self->m_headerBytes > self->m_server.m_limits.m_maxHeaderBytes) {
    self->Reject(aRequest, ResultCode::HeaderTooLarge);
    return EVHTP_RES_OK;
  }
  self->m_headers.push_back(
    HttpHeader{ std::string(aHeader->key, aHeader->klen),
                std::string(aHeader->val, aHeader->vlen) });
  return EVHTP_RES_OK;
}

uint16_t HttpConnection::OnRead(evhtp_request* aRequest,
                                evbuffer* aData,
                                void* aSelf)
{
  auto* self = static_cast<HttpConnection*>(aSelf);
  const size_t length = evbuffer_get_length(aData);
  const size_t limit = self->m_server.m_limits.m_maxBodyBytes;
  if (!self->m_rejected && self->m_body.size() + length > limit) {
    self->Reject(aRequest, ResultCode::BodyTooLarge);
  }
  if (!self->m_rejected) {
    const size_t before = self->m_body.size();
    self->m_body.resize(before + length);
    evbuffer_copyout(aData, self->m_body.data() + before, length);
  }
  evbuffer_drain(aData, length);
  return EVHTP_RES_OK;
}

uint16_t HttpConnection::OnRequestEnd(evhtp_request*, void* aSelf)
{
  auto* self = static_cast<HttpConnection*>(aSelf);
  self->m_timer->Start(self->m_closing ? Millis(0)
                                       : self->m_server.m_limits.m_idleTime);
  self->EndExchange();
  return EVHTP_RES_OK;
}

void HttpConnection::EndExchange()
{
  const std::shared_ptr<HttpExchange> exchange = std::move(m_exchange);
  ResetRequest();
  if (!exchange) {
    return;
  }
  exchange->m_request = nullptr;
  exchange->m_connection = nullptr;
  exchange->m_onDrained = nullptr;
  const std::function<void()> onClosed = std::move(exchange->m_onClosed);
  exchange->m_onClosed = nullptr;
  if (!exchange->m_finished && onClosed) {
    onClosed();
  }
}

uint16_t HttpConnection::OnConnectionEnd(evhtp_connection* aConnection,
                                         void* aSelf)
{
  // libevhtp ends the connection before its request.
  evhtp_connection_unset_hook(aConnection, evhtp_hook_on_request_fini);
  auto* self = static_cast<HttpConnection*>(aSelf);
  self->EndExchange();
  delete self;
  return EVHTP_RES_OK;
}

uint16_t HttpConnection::OnWritten(evhtp_connection*, void* aSelf)
{
  auto* self = static_cast<HttpConnection*>(aSelf);
  if (self->m_closing || !self->m_exchange || self->m_exchange->m_finished) {
    return EVHTP_RES_OK;
  }
  // The caller took everything; the backend server's silence isn't its fault.
  self->m_timer->Stop();
  if (self->m_exchange->m_onDrained) {
    self->m_exchange->m_onDrained();
  }
  return EVHTP_RES_OK;
}

void HttpConnection::HandleRequest(evhtp_request* aRequest)
{
  if (m_rejected) {
    return;
  }
  std::string method = MethodName(evhtp_request_get_method(aRequest));
  if (method.empty()) {
    Reject(aRequest, ResultCode::MalformedRequest);
    return;
  }
  m_timer->Stop();
  m_exchange.reset(new HttpExchange(this, aRequest));
  m_exchange->m_method = std::move(method);
  if (aRequest->uri != nullptr && aRequest->uri->path != nullptr) {
    m_exchange->m_path = OrEmpty(aRequest->uri->path->full);
    m_exchange->m_query =
      OrEmpty(reinterpret_cast<const char*>(aRequest->uri->query_raw));
  }
  m_exchange->m_headers = std::move(m_headers);
  m_exchange->m_body = std::move(m_body);
  std::shared_ptr<HttpExchange> exchange = m_exchange;
  m_server.m_handler(exchange);
}

HttpExchange::HttpExchange(HttpConnection* aConnection, evhtp_request* aRequest)
  : m_connection(aConnection)
  , m_request(aRequest)
{
}

std::string HttpExchange::Header(std::string_view aName) const
{
  return FindHeader(m_headers, aName);
}

void HttpExchange::AddHeaders(const HttpHeaders& aHeaders)
{
  for (const HttpHeader& header : aHeaders) {
    evhtp_headers_add_header(
      m_request->headers_out,
      evhtp_header_new(header.m_name.c_str(), header.m_value.c_str(), 1, 1));
  }
}

void HttpExchange::Respond(uint16_t aStatus,
                           const HttpHeaders& aHeaders,
                           std::string_view aBody)
{
  if (!IsOpen()) {
    return;
  }
  AddHeaders(aHeaders);
  m_finished = true;
  evbuffer_add(m_request->buffer_out, aBody.data(), aBody.size());
  m_connection->AnswerFinished();
  evhtp_send_reply(m_request, aStatus);
}

void HttpExchange::StartStream(uint16_t aStatus, const HttpHeaders& aHeaders)
{
  if (!IsOpen()) {
    return;
  }
  AddHeaders(aHeaders);
  m_connection->WatchWrites();
  evhtp_send_reply_chunk_start(m_request, aStatus);
}

void HttpExchange::Write(std::string_view aData)
{
  if (!IsOpen() || aData.empty()) {
    return;
  }
  const bool isChunked = (m_request->flags & EVHTP_REQ_FLAG_CHUNKED) != 0;
  if (isChunked && UnsentBytes() == 0) {
    WriteChunkNow(aData);
    return;
  }
  evbuffer* chunk = evbuffer_new();
  evbuffer_add(chunk, aData.data(), aData.size());
  evhtp_send_reply_chunk(m_request, chunk);
  evbuffer_free(chunk);
}

void HttpExchange::WriteChunkNow(std::string_view aData)
{
  constexpr size_t kPieces = 3;
  constexpr std::string_view kChunkEnd = "\r\n";
  char size[24];
  const int sizeLength =
    std::snprintf(size, sizeof(size), "%zx\r\n", aData.size());
  iovec pieces[kPieces] = { { size, static_cast<size_t>(sizeLength) },
                            { const_cast<char*>(aData.data()), aData.size() },
                            { const_cast<char*>(kChunkEnd.data()),
                              kChunkEnd.size() } };
  msghdr message{};
  message.msg_iov = pieces;
  message.msg_iovlen = kPieces;
  bufferevent* bev = evhtp_request_get_bev(m_request);
  const ssize_t result =
    sendmsg(bufferevent_getfd(bev), &message, MSG_DONTWAIT | MSG_NOSIGNAL);
  size_t sent = result > 0 ? static_cast<size_t>(result) : 0;
  // What the kernel didn't take waits in the connection's buffer; a broken
  // connection is noticed there.
  for (const iovec& piece : pieces) {
    const size_t skipped = std::min(sent, piece.iov_len);
    sent -= skipped;
    if (skipped < piece.iov_len) {
      bufferevent_write(bev,
                        static_cast<const char*>(piece.iov_base) + skipped,
                        piece.iov_len - skipped);
    }
  }
  if (UnsentBytes() > 0) {
    m_connection->WatchWrites();
  }
}

void HttpExchange::EndStream()
{
  if (!IsOpen()) {
    return;
  }
  m_finished = true;
  m_connection->AnswerFinished();
  evhtp_send_reply_chunk_end(m_request);
}

void HttpExchange::Abort()
{
  if (!IsOpen()) {
    return;
  }
  m_finished = true;
  m_connection->CloseSoon();
}

size_t HttpExchange::UnsentBytes() const
{
  if (m_request == nullptr) {
    return 0;
  }
  bufferevent* bev = evhtp_request_get_bev(m_request);
  return evbuffer_get_length(bufferevent_get_output(bev));
}

void HttpExchange::OnDrained(std::function<void()> aCallback)
{
  m_onDrained = std::move(aCallback);
}

void HttpExchange::OnClosed(std::function<void()> aCallback)
{
  m_onClosed = std::move(aCallback);
}

HttpServer::HttpServer(EventLoop& aLoop, HttpServerLimits aLimits)
  : m_loop(aLoop)
  , m_limits(aLimits)
{
  m_evhtp = evhtp_new(aLoop.Base(), nullptr);
  evhtp_enable_flag(m_evhtp, EVHTP_FLAG_ENABLE_NODELAY);
  auto accept = [](evhtp_connection* aConnection, void* aServer) -> evhtp_res {
    auto* server = static_cast<HttpServer*>(aServer);
    if (server->m_connections.size() >= server->m_limits.m_maxConnections) {
      return EVHTP_RES_ERROR;
    }
    new HttpConnection(*server, aConnection);
    return EVHTP_RES_OK;
  };
  evhtp_set_post_accept_cb(m_evhtp, accept, this);
  auto handle = [](evhtp_request* aRequest, void*) {
    evhtp_hooks* hooks = evhtp_connection_get_hooks(aRequest->conn);
    static_cast<HttpConnection*>(hooks->on_write_arg)->HandleRequest(aRequest);
  };
  evhtp_set_gencb(m_evhtp, handle, nullptr);
}

HttpServer::~HttpServer()
{
  StopListening();
  CloseConnections();
  evhtp_free(m_evhtp);
}

void HttpServer::CloseConnections()
{
  while (!m_connections.empty()) {
    evhtp_connection_free((*m_connections.begin())->Raw());
  }
}

void HttpServer::SetHandler(Handler aHandler)
{
  m_handler = std::move(aHandler);
}

void HttpServer::SetRejectionObserver(RejectionObserver aObserver)
{
  m_rejectionObserver = std::move(aObserver);
}

uint16_t HttpServer::Listen(const Endpoint& aEndpoint)
{
  const std::string address = "ipv4:" + aEndpoint.m_ip;
  if (evhtp_bind_socket(m_evhtp, address.c_str(), aEndpoint.m_port, kBacklog) !=
      0) {
    return 0;
  }
  sockaddr_in bound{};
  socklen_t length = sizeof(bound);
  const evutil_socket_t socket = evconnlistener_get_fd(m_evhtp->server);
  getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &length);
  return ntohs(bound.sin_port);
}

void HttpServer::StopListening()
{
  if (m_evhtp->server != nullptr) {
    evhtp_unbind_socket(m_evhtp);
  }
}

} // namespace briarglade
