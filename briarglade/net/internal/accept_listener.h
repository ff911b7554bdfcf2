// Accepts connections, and pauses after an accept that failed, for example for
// want of descriptors: the socket stays readable then, so that the loop would
// otherwise do nothing else.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/millis.h"

struct evconnlistener;
struct sockaddr;

namespace briarglade {

class EventLoop;
class Timer;

namespace internal {

class AcceptListener
{
public:
  // How long no connection is accepted after an accept has failed.
  static constexpr Millis kPause = Millis(100);

  // The function takes each accepted socket over.
  AcceptListener(EventLoop& aLoop, std::function<void(int aSocket)> aOnAccept);
  ~AcceptListener();
  AcceptListener(const AcceptListener&) = delete;
  AcceptListener& operator=(const AcceptListener&) = delete;

  // Listens; port 0 lets the kernel choose. Returns the port, or 0 on failure.
  uint16_t Listen(const Endpoint& aEndpoint, int aBacklog);
  // Closes the listening socket.
  void Stop();
  // Accepts that failed since the start.
  uint64_t Failures() const { return m_failures; }

private:
  static void OnAccept(evconnlistener*,
                       int aSocket,
                       sockaddr*,
                       int,
                       void* aSelf);
  static void OnFailed(evconnlistener*, void* aSelf);

  EventLoop& m_loop;
  const std::function<void(int)> m_onAccept;
  evconnlistener* m_listener = nullptr;
  std::unique_ptr<Timer> m_acceptAgain;
  uint64_t m_failures = 0;
};

} // namespace internal
} // namespace briarglade
