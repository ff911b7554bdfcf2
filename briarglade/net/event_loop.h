// The one loop of the process: timers, deferred calls and signals on libevent.
//
// Example:
//   EventLoop loop;
//   loop.RunEvery(Millis(50), [&] { node.Tick(); });
//   loop.OnSignal(SIGTERM, [&] { node.BeginShutdown(); });
//   loop.Run();

#pragma once

#include <array>
#include <functional>
#include <memory>
#include <vector>

#include "briarglade/base/millis.h"

struct event;
struct event_base;

namespace briarglade {

// A timer that stops when it is destroyed.
class Timer
{
public:
  Timer(event_base* aBase, std::function<void()> aCallback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Calls back once after the delay; replaces an earlier setting.
  void Start(Millis aDelay);
  // Forgets the setting, if any.
  void Stop();

private:
  event* m_event = nullptr;
  std::function<void()> m_callback;
};

// Owns the event base. Everything in the process runs inside Run().
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Returns the time since the machine's start, times of suspension included.
  static Millis Now();
  // Returns microseconds since the steady epoch, for latency histograms.
  static int64_t NowMicros();

  // Runs until Stop() is called.
  void Run();
  // Makes Run() return soon.
  void Stop();

  // Returns a timer that isn't set yet.
  std::unique_ptr<Timer> MakeTimer(std::function<void()> aCallback);
  // Calls back at each period until the loop is destroyed.
  void RunEvery(Millis aPeriod, std::function<void()> aCallback);
  // Calls back once, from the loop, after the present callback has returned.
  // What still waits when the loop is destroyed is dropped.
  void Defer(std::function<void()> aCallback);
  // Calls back on each arrival of a signal.
  void OnSignal(int aSignal, std::function<void()> aCallback);
  // Returns the earliest time at which a signal can have come that is called
  // back now. The process may have had no processor since, or been busy.
  Millis EarliestSignalTime() const { return m_turnsBegan.front(); }

  event_base* Base() { return m_base; }

private:
  struct Periodic;
  struct Signal;
  // A signal is found when a turn begins to look for events, or, if very many
  // wait to be read, in the next one: it came in one of the last two turns, or
  // in this one.
  static constexpr size_t kTurns = 3;
  void BeginTurn();
  void RunDeferred();

  event_base* m_base;
  event* m_deferEvent;
  std::vector<std::function<void()>> m_deferred;
  std::vector<std::unique_ptr<Periodic>> m_periodics;
  std::vector<std::unique_ptr<Signal>> m_signals;
  // When the last turns of the loop began, the earliest first.
  std::array<Millis, kTurns> m_turnsBegan;
};

} // namespace briarglade
