// Outgoing connections on bufferevents.

#include "briarglade/net/internal/pooled_connection.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <utility>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_call.h"
#include "briarglade/net/http_client.h"
#include "briarglade/net/internal/socket_io.h"

namespace briarglade {

PooledConnection::PooledConnection(HttpClient& aClient,
                                   const Endpoint& aEndpoint)
  : m_client(aClient)
  , m_endpoint(aEndpoint)
  , m_bufferevent(
      bufferevent_socket_new(aClient.m_loop.Base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
  bufferevent_setcb(m_bufferevent, &OnReadable, nullptr, &OnEvent, this);
  evbuffer_add_cb(bufferevent_get_output(m_bufferevent), &OnOutput, this);
  ++aClient.m_connectionCount;
}

PooledConnection::~PooledConnection()
{
  --m_client.m_connectionCount;
  bufferevent_free(m_bufferevent);
}

void PooledConnection::CloseDescriptor()
{
  const evutil_socket_t descriptor = bufferevent_getfd(m_bufferevent);
  bufferevent_setfd(m_bufferevent, -1);
  evutil_closesocket(descriptor);
}

bool PooledConnection::Connect()
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(m_endpoint.m_port);
  if (inet_pton(AF_INET, m_endpoint.m_ip.c_str(), &address.sin_addr) != 1) {
    return false;
  }
  bufferevent_enable(m_bufferevent, EV_READ | EV_WRITE);
  return bufferevent_socket_connect(m_bufferevent,
                                    reinterpret_cast<sockaddr*>(&address),
                                    sizeof(address)) == 0;
}

void PooledConnection::Send(std::initializer_list<std::string_view> aPieces)
{
  m_sentBytes += internal::SendNow(m_bufferevent, aPieces);
}

void PooledConnection::SendShared(std::shared_ptr<const std::string> aText)
{
  using Text = std::shared_ptr<const std::string>;
  auto* kept = new Text(std::move(aText));
  evbuffer_add_reference(
    bufferevent_get_output(m_bufferevent),
    (*kept)->data(),
    (*kept)->size(),
    [](const void*, size_t, void* aKept) { delete static_cast<Text*>(aKept); },
    kept);
}

bool PooledConnection::HasLeftovers() const
{
  return evbuffer_get_length(bufferevent_get_input(m_bufferevent)) > 0 ||
         internal::UnsentBytes(m_bufferevent) > 0;
}

void PooledConnection::SetIdle(Millis aSince, Millis aUntil)
{
  m_call = nullptr;
  m_idleSince = aSince;
  m_usableUntil = aUntil;
  bufferevent_enable(m_bufferevent, EV_READ);
}

void PooledConnection::OnOutput(evbuffer*,
                                const evbuffer_cb_info* aInfo,
                                void* aSelf)
{
  static_cast<PooledConnection*>(aSelf)->m_sentBytes += aInfo->n_deleted;
}

void PooledConnection::OnReadable(bufferevent*, void* aSelf)
{
  auto* self = static_cast<PooledConnection*>(aSelf);
  if (self->m_call != nullptr) {
    self->m_call->OnReadable();
  } else {
    // Bytes that belong to no call.
    self->m_client.DropIdle(self);
  }
}

void PooledConnection::OnEvent(bufferevent*, short aEvents, void* aSelf)
{
  auto* self = static_cast<PooledConnection*>(aSelf);
  if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
    self->m_connected = true;
    internal::PrepareSocket(bufferevent_getfd(self->m_bufferevent));
    if (self->m_call != nullptr) {
      self->m_call->OnConnected();
    }
    return;
  }
  if (self->m_call != nullptr) {
    self->m_call->OnClosed((aEvents & BEV_EVENT_EOF) != 0);
  } else {
    self->m_client.DropIdle(self);
  }
}

} // namespace briarglade
