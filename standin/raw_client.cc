// The raw TCP client.

#include "standin/raw_client.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

#include "briarglade/net/event_loop.h"

namespace briarglade::standin {

RawClient::RawClient(EventLoop& aLoop, uint16_t aPort)
  : m_bufferevent(
      bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
  auto onRead = [](bufferevent* aBufferevent, void* aSelf) {
    auto* self = static_cast<RawClient*>(aSelf);
    char piece[4096];
    size_t got = bufferevent_read(aBufferevent, piece, sizeof(piece));
    while (got > 0) {
      self->m_received.append(piece, got);
      got = bufferevent_read(aBufferevent, piece, sizeof(piece));
    }
    if (self->m_onData) {
      self->m_onData(self->m_received);
    }
  };
  auto onEvent = [](bufferevent*, short aWhat, void* aSelf) {
    auto* self = static_cast<RawClient*>(aSelf);
    if ((aWhat & BEV_EVENT_CONNECTED) == 0 && self->m_onEnd) {
      self->m_onEnd();
    }
  };
  bufferevent_setcb(m_bufferevent, onRead, nullptr, onEvent, this);
  bufferevent_enable(m_bufferevent, EV_READ | EV_WRITE);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bufferevent_socket_connect(m_bufferevent,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address));
}

RawClient::~RawClient()
{
  bufferevent_free(m_bufferevent);
}

void RawClient::Send(const std::string& aBytes)
{
  bufferevent_write(m_bufferevent, aBytes.data(), aBytes.size());
}

void RawClient::PauseReading()
{
  bufferevent_disable(m_bufferevent, EV_READ);
}

void RawClient::ResumeReading()
{
  bufferevent_enable(m_bufferevent, EV_READ);
}

void RawClient::CloseSending()
{
  shutdown(bufferevent_getfd(m_bufferevent), SHUT_WR);
}

void RawClient::OnData(std::function<void(const std::string&)> aCallback)
{
  m_onData = std::move(aCallback);
}

void RawClient::OnEnd(std::function<void()> aCallback)
{
  m_onEnd = std::move(aCallback);
}

} // namespace briarglade::standin
