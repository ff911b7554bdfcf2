// Runs the Cap'n Proto event loop inside the libevent loop, on the same thread.

#pragma once

#include <kj/async.h>

struct event;

namespace briarglade {

class EventLoop;

// Tells libevent when the kj loop has work, so that it is run soon.
class LibeventPort : public kj::EventPort
{
public:
  explicit LibeventPort(EventLoop& aLoop);
  ~LibeventPort() noexcept;
  LibeventPort(const LibeventPort&) = delete;
  LibeventPort& operator=(const LibeventPort&) = delete;

  void SetLoop(kj::EventLoop* aKjLoop) { m_kjLoop = aKjLoop; }

  // Never reached: nothing in this process waits on a promise.
  bool wait() override;
  bool poll() override;
  void setRunnable(bool aRunnable) override;

private:
  EventLoop& m_loop;
  kj::EventLoop* m_kjLoop = nullptr;
  event* m_event;
};

// The kj loop of the thread and its scope.
class KjBridge
{
public:
  explicit KjBridge(EventLoop& aLoop);

private:
  LibeventPort m_port;
  kj::EventLoop m_kjLoop;
  kj::WaitScope m_scope;
};

} // namespace briarglade
