// The HTTP client: evhttp with pools, deadlines and a truthful end of each
// call.
//
// Whether a request may have run is decided by the bytes that the kernel took:
// while none has left, a failure is certain not to have run anything.

#include "briarglade/net/http_client.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_call.h"
#include "briarglade/net/internal/pooled_connection.h"

namespace briarglade {

namespace {

evhttp_cmd_type ToCommand(const std::string& aMethod)
{
  if (aMethod == "GET") {
    return EVHTTP_REQ_GET;
  }
  if (aMethod == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (aMethod == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_POST;
}

HttpAnswerHead ReadHead(evhttp_request* aRequest)
{
  HttpAnswerHead head;
  head.m_status =
    static_cast<uint16_t>(evhttp_request_get_response_code(aRequest));
  evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    head.m_headers.push_back(HttpHeader{ header->key, header->value });
  }
  return head;
}

bool HasDeclaredEnd(const HttpAnswerHead& aHead)
{
  return !FindHeader(aHead.m_headers, "Content-Length").empty() ||
         !FindHeader(aHead.m_headers, "Transfer-Encoding").empty() ||
         aHead.m_status == HTTP_NOCONTENT || aHead.m_status == HTTP_NOTMODIFIED;
}

} // namespace

PooledConnection::PooledConnection(HttpClient& aClient,
                                   const Endpoint& aEndpoint)
  : m_client(aClient)
  , m_endpoint(aEndpoint)
{
  bufferevent* bev =
    bufferevent_socket_new(aClient.m_loop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  m_connection = evhttp_connection_base_bufferevent_new(aClient.m_loop.Base(),
                                                        nullptr,
                                                        bev,
                                                        aEndpoint.m_ip.c_str(),
                                                        aEndpoint.m_port);
  evhttp_connection_set_retries(m_connection, 0);
  evhttp_connection_set_max_headers_size(
    m_connection, static_cast<ev_ssize_t>(aClient.m_limits.m_maxHeaderBytes));
  evhttp_connection_set_closecb(m_connection, &OnClosed, this);
  evbuffer_add_cb(bufferevent_get_output(bev), &OnOutput, this);
  ++aClient.m_connectionCount;
}

PooledConnection::~PooledConnection()
{
  --m_client.m_connectionCount;
  evhttp_connection_set_closecb(m_connection, nullptr, nullptr);
  evhttp_connection_free(m_connection);
}

bool PooledConnection::HasStrayBytes() const
{
  bufferevent* bev = evhttp_connection_get_bufferevent(m_connection);
  return evbuffer_get_length(bufferevent_get_input(bev)) > 0;
}

void PooledConnection::OnOutput(evbuffer*,
                                const evbuffer_cb_info* aInfo,
                                void* aSelf)
{
  auto* self = static_cast<PooledConnection*>(aSelf);
  if (self->m_sentBytes == 0 && aInfo->n_deleted > 0) {
    bufferevent* bev = evhttp_connection_get_bufferevent(self->m_connection);
    const int on = 1;
    setsockopt(
      bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  self->m_sentBytes += aInfo->n_deleted;
}

void PooledConnection::OnClosed(evhttp_connection*, void* aSelf)
{
  auto* self = static_cast<PooledConnection*>(aSelf);
  if (self->m_idle) {
    self->m_client.DropIdle(self);
  }
}

HttpCall::HttpCall(HttpClient& aClient, HttpCallSpec aSpec)
  : m_client(aClient)
  , m_spec(std::move(aSpec))
{
}

HttpCall::~HttpCall() = default;

void HttpCall::Begin()
{
  m_connection = m_client.Take(m_spec);
  if (!m_connection) {
    EndSoon(ExchangeEnd::ConnectRefused);
    return;
  }
  m_connection->BeginExchange();
  m_timer = m_client.m_loop.MakeTimer([this] { Cancel(ExchangeEnd::Timeout); });
  m_timer->Start(m_spec.m_timeout);

  m_request = evhttp_request_new(&OnDone, this);
  evhttp_request_set_header_cb(m_request, &OnHead);
  evhttp_request_set_chunked_cb(m_request, &OnData);
  evkeyvalq* headers = evhttp_request_get_output_headers(m_request);
  evhttp_add_header(headers, "Host", m_spec.m_endpoint.ToString().c_str());
  for (const HttpHeader& header : m_spec.m_headers) {
    evhttp_add_header(headers, header.m_name.c_str(), header.m_value.c_str());
  }
  evbuffer* body = evhttp_request_get_output_buffer(m_request);
  evbuffer_add(body, m_spec.m_body.data(), m_spec.m_body.size());
  m_spec.m_body.clear();
  m_spec.m_body.shrink_to_fit();
  const int made = evhttp_make_request(m_connection->Raw(),
                                       m_request,
                                       ToCommand(m_spec.m_method),
                                       m_spec.m_path.c_str());
  if (made != 0) {
    m_request = nullptr;
    EndSoon(ExchangeEnd::ConnectRefused);
  }
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
  std::weak_ptr<bool> alive = m_client.m_alive;
  m_client.m_loop.Defer([self = shared_from_this(), aEnd, alive] {
    if (!alive.expired()) {
      self->End(HttpCallEnd{ aEnd, self->m_status }, false);
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
  ReleaseRequest();
  if (m_connection && aKeepConnection) {
    m_client.Keep(std::move(m_connection));
  } else if (m_connection) {
    m_client.Discard(std::move(m_connection));
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

void HttpCall::ReleaseRequest()
{
  if (m_request != nullptr) {
    // The callback must not fire when the connection is freed.
    evhttp_request* request = m_request;
    m_request = nullptr;
    evhttp_cancel_request(request);
  }
}

void HttpCall::Abandon()
{
  m_ended = true;
  m_timer.reset();
  m_idleTimer.reset();
  m_spec = HttpCallSpec();
  ReleaseRequest();
  m_connection.reset();
}

ExchangeEnd HttpCall::FailureKind() const
{
  if (m_status != 0) {
    return ExchangeEnd::Truncated;
  }
  if (m_connection->SentBytes() > 0) {
    return ExchangeEnd::ResetBeforeAnswer;
  }
  return m_connection->WasUsed() ? ExchangeEnd::ResetBeforeSend
                                 : ExchangeEnd::ConnectRefused;
}

int HttpCall::OnHead(evhttp_request* aRequest, void* aSelf)
{
  auto* self = static_cast<HttpCall*>(aSelf);
  if (self->m_ended || self->m_ending) {
    return 0;
  }
  const HttpAnswerHead head = ReadHead(aRequest);
  self->m_status = head.m_status;
  self->m_delimited = HasDeclaredEnd(head);
  self->WatchSilence();
  if (self->m_spec.m_onHead) {
    self->m_spec.m_onHead(head);
  }
  return 0;
}

void HttpCall::OnData(evhttp_request* aRequest, void* aSelf)
{
  auto* self = static_cast<HttpCall*>(aSelf);
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  const size_t length = evbuffer_get_length(input);
  if (self->m_ended || self->m_ending || !self->m_spec.m_onData) {
    return;
  }
  self->m_lastDataAt = EventLoop::Now();
  const auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  self->m_spec.m_onData(std::string_view(data, length));
}

void HttpCall::OnDone(evhttp_request* aRequest, void* aSelf)
{
  auto* self = static_cast<HttpCall*>(aSelf);
  self->m_request = nullptr;
  if (self->m_ended || self->m_ending) {
    return;
  }
  if (aRequest == nullptr || self->m_status == 0) {
    self->EndSoon(self->FailureKind());
    return;
  }
  if (!self->m_delimited) {
    self->EndSoon(ExchangeEnd::Truncated);
    return;
  }
  self->m_connection->MarkUsed();
  const char* connection = evhttp_find_header(
    evhttp_request_get_input_headers(aRequest), "Connection");
  const bool closes =
    connection != nullptr && evutil_ascii_strcasecmp(connection, "close") == 0;
  const bool keep = !closes && !self->m_connection->HasStrayBytes();
  self->End(HttpCallEnd{ ExchangeEnd::Whole, self->m_status }, keep);
}

void HttpCall::WatchSilence()
{
  if (m_spec.m_idleTimeout == Millis()) {
    return;
  }
  m_lastDataAt = EventLoop::Now();
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
    bufferevent_disable(evhttp_connection_get_bufferevent(m_connection->Raw()),
                        EV_READ);
  }
}

void HttpCall::ResumeReading()
{
  m_isPaused = false;
  m_lastDataAt = EventLoop::Now();
  if (m_connection && !m_ended) {
    bufferevent_enable(evhttp_connection_get_bufferevent(m_connection->Raw()),
                       EV_READ);
  }
}

HttpClient::HttpClient(EventLoop& aLoop, HttpClientLimits aLimits)
  : m_loop(aLoop)
  , m_limits(aLimits)
{
}

HttpClient::~HttpClient()
{
  m_alive.reset();
  for (const std::shared_ptr<HttpCall>& call : m_running) {
    call->Abandon();
  }
}

std::shared_ptr<HttpCall> HttpClient::Start(HttpCallSpec aSpec)
{
  std::shared_ptr<HttpCall> call(new HttpCall(*this, std::move(aSpec)));
  m_running.insert(call);
  call->Begin();
  return call;
}

std::unique_ptr<PooledConnection> HttpClient::Take(const HttpCallSpec& aSpec)
{
  auto idle = m_idle.find(aSpec.m_endpoint);
  if (!aSpec.m_freshConnection && idle != m_idle.end() &&
      !idle->second.empty()) {
    std::unique_ptr<PooledConnection> connection =
      std::move(idle->second.back());
    idle->second.pop_back();
    connection->SetIdle(false);
    return connection;
  }
  if (m_connectionCount >= m_limits.m_maxConnections) {
    return nullptr;
  }
  return std::make_unique<PooledConnection>(*this, aSpec.m_endpoint);
}

void HttpClient::Keep(std::unique_ptr<PooledConnection> aConnection)
{
  auto& idle = m_idle[aConnection->Peer()];
  if (idle.size() >= m_limits.m_maxIdlePerEndpoint) {
    Discard(std::move(aConnection));
    return;
  }
  aConnection->SetIdle(true);
  idle.push_back(std::move(aConnection));
}

void HttpClient::Discard(std::unique_ptr<PooledConnection> aConnection)
{
  // evhttp may still be working on the connection: free it from the loop.
  m_discarded.push_back(std::move(aConnection));
  if (m_discarded.size() > 1) {
    return;
  }
  m_loop.Defer([this, alive = std::weak_ptr<bool>(m_alive)] {
    if (!alive.expired()) {
      FreeDiscarded();
    }
  });
}

void HttpClient::FreeDiscarded()
{
  std::vector<std::unique_ptr<PooledConnection>> doomed;
  doomed.swap(m_discarded);
}

void HttpClient::DropIdle(PooledConnection* aConnection)
{
  auto idle = m_idle.find(aConnection->Peer());
  if (idle == m_idle.end()) {
    return;
  }
  auto& list = idle->second;
  auto found = std::find_if(list.begin(), list.end(), [&](const auto& aEntry) {
    return aEntry.get() == aConnection;
  });
  if (found == list.end()) {
    return;
  }
  std::unique_ptr<PooledConnection> connection = std::move(*found);
  list.erase(found);
  connection->SetIdle(false);
  Discard(std::move(connection));
}

} // namespace briarglade
