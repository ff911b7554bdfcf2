// Tests of the event loop: what it knows of the moment at which a signal came.

#include "briarglade/net/event_loop.h"

#include <csignal>
#include <doctest/doctest.h>
#include <vector>

namespace briarglade {
namespace {

// Guards against a stop that counts from when a busy process noted the signal,
// so that requests are taken which outlast the process.
TEST_CASE("LOST: the earliest time of a signal isn't after the moment at which "
          "it came, however long the process was busy")
{
  EventLoop loop;
  std::vector<Millis> raisedAt;
  std::vector<Millis> earliest;
  loop.OnSignal(SIGUSR1, [&] {
    earliest.push_back(loop.EarliestSignalTime());
    if (earliest.size() == 3) {
      loop.Stop();
    }
  });
  loop.RunEvery(Millis(1), [&] {
    if (raisedAt.size() > earliest.size() || raisedAt.size() == 3) {
      return;
    }
    raisedAt.push_back(EventLoop::Now());
    std::raise(SIGUSR1);
    // The process is busy for some time after the signal has come.
    while (EventLoop::Now() < raisedAt.back() + Millis(20)) {
    }
  });
  const Millis begunAt = EventLoop::Now();
  loop.Run();
  REQUIRE(earliest.size() == 3);
  for (size_t i = 0; i < earliest.size(); ++i) {
    CAPTURE(i);
    CHECK(earliest[i] <= raisedAt[i]);
    CHECK(earliest[i] >= begunAt - Millis(1));
  }
  // It moves on with the loop.
  CHECK(earliest[2] > raisedAt[0]);
}

} // namespace
} // namespace briarglade
