// Calls that are made later, and dropped with their owner.
//
// Example:
//   DelayedCalls later(loop);
//   later.After(Millis(5), [this] { Finish(); });

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "briarglade/base/millis.h"

namespace briarglade {
class EventLoop;
class Timer;
}

namespace briarglade::standin {

class DelayedCalls
{
public:
  explicit DelayedCalls(EventLoop& aLoop);
  ~DelayedCalls();
  DelayedCalls(const DelayedCalls&) = delete;
  DelayedCalls& operator=(const DelayedCalls&) = delete;

  // Makes the call after the delay.
  void After(Millis aDelay, std::function<void()> aCall);
  // Returns the number of calls that are still to be made.
  size_t Size() const { return m_timers.size(); }
  // Drops every call. Not to be called from within one.
  void Clear();

private:
  EventLoop& m_loop;
  std::map<uint64_t, std::unique_ptr<Timer>> m_timers;
  uint64_t m_last = 0;
  // Outlived by deferred callbacks, which check it.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace briarglade::standin
