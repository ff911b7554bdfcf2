// Tests of the event loop: what it knows of the moment at which a signal came.

#include "briarglade/net/event_loop.h"

#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>
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

// Sockets that can be read, whose callbacks take time.
class ReadySockets
{
public:
  ReadySockets(EventLoop& aLoop, size_t aCount)
  {
    for (size_t i = 0; i < aCount; ++i) {
      std::array<int, 2> pair{};
      REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()) == 0);
      auto read = [](evutil_socket_t aSocket, short, void*) {
        char byte = 0;
        CHECK(recv(aSocket, &byte, 1, 0) == 1);
        const Millis begin = EventLoop::Now();
        while (EventLoop::Now() == begin) {
        }
      };
      event* readable =
        event_new(aLoop.Base(), pair[0], EV_READ | EV_PERSIST, read, nullptr);
      event_add(readable, nullptr);
      m_pairs.push_back(pair);
      m_events.push_back(readable);
    }
  }
  ~ReadySockets()
  {
    for (event* readable : m_events) {
      event_free(readable);
    }
    for (const std::array<int, 2>& pair : m_pairs) {
      close(pair[0]);
      close(pair[1]);
    }
  }
  ReadySockets(const ReadySockets&) = delete;
  ReadySockets& operator=(const ReadySockets&) = delete;

  void Write()
  {
    for (const std::array<int, 2>& pair : m_pairs) {
      CHECK(send(pair[1], "x", 1, 0) == 1);
    }
  }

private:
  std::vector<std::array<int, 2>> m_pairs;
  std::vector<event*> m_events;
};

// Guards against the same where a paused process finds so many sockets ready
// that it reads the signal's only some turns of the loop later.
TEST_CASE("LOST: the earliest time of a signal isn't after the moment at which "
          "it came, also if many sockets became ready before it")
{
  constexpr size_t kSockets = 400;
  EventLoop loop;
  ReadySockets sockets(loop, kSockets);
  Millis raisedAt;
  Millis earliest;
  loop.OnSignal(SIGUSR1, [&] {
    earliest = loop.EarliestSignalTime();
    loop.Stop();
  });
  loop.Defer([&] {
    sockets.Write();
    raisedAt = EventLoop::Now();
    std::raise(SIGUSR1);
  });
  loop.Run();
  CHECK(earliest > Millis());
  CHECK(earliest <= raisedAt);
}

} // namespace
} // namespace briarglade
