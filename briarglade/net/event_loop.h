// The one loop of the process: timers, deferred calls and signals on libevent.
//
// Example:
//   EventLoop loop;
//   loop.RunEvery(Millis(50), [&] { node.Tick(); });
//   loop.OnSignal(SIGTERM, [&] { node.BeginShutdown(); });
//   loop.Run();

#pragma once

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
  // Calls back after a signal has come, once if it comes several times in quick
  // succession. One loop of a process at a time may do so.
  void OnSignal(int aSignal, std::function<void()> aCallback);
  // Returns, in the callback of a signal, the earliest time at which it can
  // have come, by Now(). The process may have had no processor since, or been
  // busy.
  Millis EarliestSignalTime() const { return m_lastTurnBegan; }

  event_base* Base() { return m_base; }

private:
  struct Periodic;
  struct Signal;
  void BeginTurn();
  void RunSignals();
  void OpenWakePipe();
  void RunDeferred();

  event_base* m_base;
  event* m_deferEvent;
  std::vector<std::function<void()>> m_deferred;
  std::vector<std::unique_ptr<Periodic>> m_periodics;
  std::vector<std::unique_ptr<Signal>> m_signals;
  // Its first end is read when a signal has come; -1 without OnSignal().
  int m_wakePipe[2] = { -1, -1 };
  event* m_wakeEvent = nullptr;
  bool m_isStopped = false;
  // Signals are looked for when a turn begins. One that is found now came after
  // the last turn had begun.
  Millis m_turnBegan;
  Millis m_lastTurnBegan;
};

} // namespace briarglade
