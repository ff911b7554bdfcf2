// The bridge between the two loops.

#include "briarglade/net/internal/kj_bridge.h"

#include <event2/event.h>

#include "briarglade/net/event_loop.h"

namespace briarglade {

LibeventPort::LibeventPort(EventLoop& aLoop)
  : m_loop(aLoop)
{
  auto run = [](evutil_socket_t, short, void* aSelf) {
    auto* self = static_cast<LibeventPort*>(aSelf);
    self->m_kjLoop->run();
  };
  m_event = event_new(aLoop.Base(), -1, 0, run, this);
}

LibeventPort::~LibeventPort() noexcept
{
  event_free(m_event);
}

bool LibeventPort::wait()
{
  event_base_loop(m_loop.Base(), EVLOOP_ONCE);
  return false;
}

bool LibeventPort::poll()
{
  event_base_loop(m_loop.Base(), EVLOOP_NONBLOCK);
  return false;
}

void LibeventPort::setRunnable(bool aRunnable)
{
  if (aRunnable) {
    event_active(m_event, EV_TIMEOUT, 0);
  }
}

KjBridge::KjBridge(EventLoop& aLoop)
  : m_port(aLoop)
  , m_kjLoop(m_port)
  , m_scope(m_kjLoop)
{
  m_port.SetLoop(&m_kjLoop);
}

} // namespace briarglade
