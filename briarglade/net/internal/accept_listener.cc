// The listening socket and its pauses.

#include "briarglade/net/internal/accept_listener.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <utility>

#include "briarglade/net/event_loop.h"

namespace briarglade::internal {

AcceptListener::AcceptListener(EventLoop& aLoop,
                               std::function<void(int)> aOnAccept)
  : m_loop(aLoop)
  , m_onAccept(std::move(aOnAccept))
{
}

AcceptListener::~AcceptListener()
{
  Stop();
}

uint16_t AcceptListener::Listen(const Endpoint& aEndpoint, int aBacklog)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.m_port);
  if (inet_pton(AF_INET, aEndpoint.m_ip.c_str(), &address.sin_addr) != 1) {
    return 0;
  }
  m_listener = evconnlistener_new_bind(
    m_loop.Base(),
    &OnAccept,
    this,
    LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
    aBacklog,
    reinterpret_cast<sockaddr*>(&address),
    sizeof(address));
  if (m_listener == nullptr) {
    return 0;
  }
  m_acceptAgain =
    m_loop.MakeTimer([this] { evconnlistener_enable(m_listener); });
  evconnlistener_set_error_cb(m_listener, &OnFailed);
  socklen_t length = sizeof(address);
  getsockname(evconnlistener_get_fd(m_listener),
              reinterpret_cast<sockaddr*>(&address),
              &length);
  return ntohs(address.sin_port);
}

void AcceptListener::Stop()
{
  m_acceptAgain.reset();
  if (m_listener != nullptr) {
    evconnlistener_free(std::exchange(m_listener, nullptr));
  }
}

void AcceptListener::OnAccept(evconnlistener*,
                              int aSocket,
                              sockaddr*,
                              int,
                              void* aSelf)
{
  static_cast<AcceptListener*>(aSelf)->m_onAccept(aSocket);
}

void AcceptListener::OnFailed(evconnlistener* aListener, void* aSelf)
{
  auto* self = static_cast<AcceptListener*>(aSelf);
  ++self->m_failures;
  evconnlistener_disable(aListener);
  self->m_acceptAgain->Start(kPause);
}

} // namespace briarglade::internal
