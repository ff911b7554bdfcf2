// libevent behind the EventLoop interface. Signals have a handler of their own:
// libevent reads them from a socket, which a process that was paused gets to
// only after all others that became ready, some turns of the loop later.

#include "briarglade/net/event_loop.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <event2/event.h>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace briarglade {

namespace {

constexpr int64_t kMicrosPerMilli = 1000;

// What the handler of signals touches: which have come, and where it wakes the
// loop.
volatile std::sig_atomic_t gHasCome[NSIG];
volatile std::sig_atomic_t gWakeSocket = -1;

extern "C" void NoteSignal(int aSignal)
{
  const int error = errno;
  gHasCome[aSignal] = 1;
  // A full pipe wakes the loop, too.
  const char byte = 0;
  [[maybe_unused]] const ssize_t written = write(gWakeSocket, &byte, 1);
  errno = error;
}

void SetHandler(int aSignal, void (*aHandler)(int))
{
  struct sigaction action
  {};
  action.sa_handler = aHandler;
  action.sa_flags = SA_RESTART;
  sigfillset(&action.sa_mask);
  sigaction(aSignal, &action, nullptr);
}

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
  int m_number = 0;
  std::function<void()> m_callback;

  ~Signal()
  {
    SetHandler(m_number, SIG_DFL);
    gHasCome[m_number] = 0;
  }
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
  if (m_wakeEvent != nullptr) {
    gWakeSocket = -1;
    event_free(m_wakeEvent);
    close(m_wakePipe[0]);
    close(m_wakePipe[1]);
  }
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
  m_isStopped = false;
  m_turnBegan = Now();
  while (!m_isStopped) {
    BeginTurn();
    if (!m_isStopped) {
      event_base_loop(m_base, EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    }
  }
}

void EventLoop::BeginTurn()
{
  m_lastTurnBegan = m_turnBegan;
  m_turnBegan = Now();
  RunSignals();
}

void EventLoop::RunSignals()
{
  for (const std::unique_ptr<Signal>& signal : m_signals) {
    if (gHasCome[signal->m_number] != 0) {
      gHasCome[signal->m_number] = 0;
      signal->m_callback();
    }
  }
}

void EventLoop::Stop()
{
  m_isStopped = true;
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
  OpenWakePipe();
  auto handler = std::make_unique<Signal>();
  handler->m_number = aSignal;
  handler->m_callback = std::move(aCallback);
  m_signals.push_back(std::move(handler));
  SetHandler(aSignal, &NoteSignal);
}

void EventLoop::OpenWakePipe()
{
  if (m_wakeEvent != nullptr) {
    return;
  }
  if (pipe2(m_wakePipe, O_NONBLOCK | O_CLOEXEC) != 0) {
    // Without it the process couldn't be stopped gracefully.
    std::perror("briarglade: a pipe for signals could not be opened");
    std::exit(EXIT_FAILURE);
  }
  auto drain = [](evutil_socket_t aPipe, short, void*) {
    std::array<char, 64> bytes{};
    while (read(aPipe, bytes.data(), bytes.size()) > 0) {
    }
  };
  m_wakeEvent =
    event_new(m_base, m_wakePipe[0], EV_READ | EV_PERSIST, drain, nullptr);
  event_add(m_wakeEvent, nullptr);
  gWakeSocket = m_wakePipe[1];
}

} // namespace briarglade
