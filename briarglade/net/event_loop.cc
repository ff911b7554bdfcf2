// libevent behind the EventLoop interface.

#include "briarglade/net/event_loop.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <event2/event.h>
#include <utility>

namespace briarglade {

namespace {

constexpr int64_t kMicrosPerMilli = 1000;

timeval ToTimeval(Millis aMillis)
{
  timeval value{};
  value.tv_sec = aMillis.Count() / 1000;
  value.tv_usec = (aMillis.Count() % 1000) * kMicrosPerMilli;
  return value;
}

} // namespace

Timer::Timer(event_base* aBase, std::function<void()> aCallback)
  : m_callback(std::move(aCallback))
{
  auto fire = [](evutil_socket_t, short, void* aTimer) {
    static_cast<Timer*>(aTimer)->m_callback();
  };
  m_event = event_new(aBase, -1, 0, fire, this);
}

Timer::~Timer()
{
  event_free(m_event);
}

void Timer::Start(Millis aDelay)
{
  const timeval delay = ToTimeval(aDelay);
  event_add(m_event, &delay);
}

void Timer::Stop()
{
  event_del(m_event);
}

struct EventLoop::Periodic
{
  std::function<void()> m_callback;
  event* m_event = nullptr;

  ~Periodic() { event_free(m_event); }
};

struct EventLoop::Signal
{
  std::function<void()> m_callback;
  event* m_event = nullptr;

  ~Signal() { event_free(m_event); }
};

EventLoop::EventLoop()
{
  // A peer that closes early is reported by the write, not by a signal.
  std::signal(SIGPIPE, SIG_IGN);
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  m_base = event_base_new_with_config(config);
  event_config_free(config);
  auto run = [](evutil_socket_t, short, void* aSelf) {
    static_cast<EventLoop*>(aSelf)->RunDeferred();
  };
  m_deferEvent = event_new(m_base, -1, 0, run, this);
  m_turnsBegan.fill(Now());
}

EventLoop::~EventLoop()
{
  // Dropping a callback may defer another one.
  while (!m_deferred.empty()) {
    std::vector<std::function<void()>>().swap(m_deferred);
  }
  event_free(m_deferEvent);
  m_periodics.clear();
  m_signals.clear();
  event_base_free(m_base);
}

Millis EventLoop::Now()
{
  return Millis(NowMicros() / kMicrosPerMilli);
}

int64_t EventLoop::NowMicros()
{
  constexpr int64_t kMicrosPerSecond = 1'000'000;
  constexpr int64_t kNanosPerMicro = 1'000;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * kMicrosPerSecond + now.tv_nsec / kNanosPerMicro;
}

void EventLoop::Run()
{
  // The flag of an earlier Stop() is cleared when the loop begins.
  do {
    BeginTurn();
    event_base_loop(m_base, EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
  } while (event_base_got_break(m_base) == 0);
}

void EventLoop::BeginTurn()
{
  std::move(m_turnsBegan.begin() + 1, m_turnsBegan.end(), m_turnsBegan.begin());
  m_turnsBegan.back() = Now();
}

void EventLoop::Stop()
{
  event_base_loopbreak(m_base);
}

std::unique_ptr<Timer> EventLoop::MakeTimer(std::function<void()> aCallback)
{
  return std::make_unique<Timer>(m_base, std::move(aCallback));
}

void EventLoop::RunEvery(Millis aPeriod, std::function<void()> aCallback)
{
  auto periodic = std::make_unique<Periodic>();
  periodic->m_callback = std::move(aCallback);
  auto fire = [](evutil_socket_t, short, void* aPeriodic) {
    static_cast<Periodic*>(aPeriodic)->m_callback();
  };
  periodic->m_event = event_new(m_base, -1, EV_PERSIST, fire, periodic.get());
  const timeval period = ToTimeval(aPeriod);
  event_add(periodic->m_event, &period);
  m_periodics.push_back(std::move(periodic));
}

void EventLoop::Defer(std::function<void()> aCallback)
{
  if (m_deferred.empty()) {
    event_active(m_deferEvent, EV_TIMEOUT, 0);
  }
  m_deferred.push_back(std::move(aCallback));
}

void EventLoop::RunDeferred()
{
  std::vector<std::function<void()>> callbacks;
  callbacks.swap(m_deferred);
  for (std::function<void()>& callback : callbacks) {
    callback();
    // Lets go of what the callback holds before the next one runs.
    callback = nullptr;
  }
}

void EventLoop::OnSignal(int aSignal, std::function<void()> aCallback)
{
  auto handler = std::make_unique<Signal>();
  handler->m_callback = std::move(aCallback);
  auto fire = [](evutil_socket_t, short, void* aHandler) {
    static_cast<Signal*>(aHandler)->m_callback();
  };
  handler->m_event =
    event_new(m_base, aSignal, EV_SIGNAL | EV_PERSIST, fire, handler.get());
  event_add(handler->m_event, nullptr);
  m_signals.push_back(std::move(handler));
}

} // namespace briarglade
