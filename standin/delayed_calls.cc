// Timers that free themselves.

#include "standin/delayed_calls.h"

#include <utility>

#include "briarglade/net/event_loop.h"

namespace briarglade::standin {

DelayedCalls::DelayedCalls(EventLoop& aLoop)
  : m_loop(aLoop)
{
}

DelayedCalls::~DelayedCalls()
{
  *m_alive = false;
}

void DelayedCalls::Clear()
{
  m_timers.clear();
}

void DelayedCalls::After(Millis aDelay, std::function<void()> aCall)
{
  const uint64_t id = ++m_last;
  auto timer = m_loop.MakeTimer([this, id, call = std::move(aCall)] {
    // The timer itself must live until this callback has returned.
    m_loop.Defer([this, id, alive = m_alive] {
      if (*alive) {
        m_timers.erase(id);
      }
    });
    call();
  });
  timer->Start(aDelay);
  m_timers[id] = std::move(timer);
}

} // namespace briarglade::standin
