// Reads and writes of a bufferevent as kj promises.

#include "briarglade/net/internal/bufferevent_stream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <kj/debug.h>

#include "briarglade/net/event_loop.h"

namespace briarglade {

namespace {

// Unsent bytes above which a write waits.
constexpr size_t kMaxUnsentBytes = 256 * 1024;
// Reads of up to so many bytes need no memory of the budget, and so many may
// wait unread.
constexpr size_t kShortRead = 16 * 1024;

} // namespace

BuffereventStream::BuffereventStream(bufferevent* aBufferevent)
  : m_bufferevent(aBufferevent)
  , m_whenDisconnected(nullptr)
{
  auto pair = kj::newPromiseAndFulfiller<void>();
  m_disconnected = kj::mv(pair.fulfiller);
  m_whenDisconnected = pair.promise.fork();
  bufferevent_setcb(m_bufferevent, &OnReadable, &OnDrained, &OnEvent, this);
  bufferevent_enable(m_bufferevent, EV_READ | EV_WRITE);
}

BuffereventStream::~BuffereventStream() noexcept(false)
{
  bufferevent_free(m_bufferevent);
}

void BuffereventStream::BoundReads(const std::shared_ptr<CallerBudget>& aBudget)
{
  const auto continueSoon = [this] {
    bufferevent_trigger(m_bufferevent,
                        EV_READ,
                        BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  };
  bufferevent_setwatermark(m_bufferevent, EV_READ, 0, kShortRead);
  m_hold = std::make_unique<CallerHold>(
    aBudget, CallerHoldHooks{ continueSoon, [this, continueSoon] {
                               m_closed = true;
                               continueSoon();
                             } });
}

kj::Promise<size_t> BuffereventStream::tryRead(void* aBuffer,
                                               size_t aMinBytes,
                                               size_t aMaxBytes)
{
  auto pair = kj::newPromiseAndFulfiller<size_t>();
  if (m_hold) {
    // What was read before has been handled.
    m_hold->Release();
  }
  m_read = PendingRead{
    static_cast<char*>(aBuffer), aMinBytes, aMaxBytes, 0, kj::mv(pair.fulfiller)
  };
  Continue();
  return kj::mv(pair.promise);
}

void BuffereventStream::Continue()
{
  KJ_IF_MAYBE (read, m_read) {
    const bool needsGrant = m_hold && read->m_min > kShortRead;
    if (needsGrant && !m_closed &&
        !m_hold->Ask(read->m_max, EventLoop::Now())) {
      return;
    }
    if (m_hold) {
      m_hold->NoteProgress(EventLoop::Now());
    }
    const size_t got = bufferevent_read(
      m_bufferevent, read->m_buffer + read->m_done, read->m_max - read->m_done);
    read->m_done += got;
    // Fewer bytes than the least mean the end of the stream.
    if (read->m_done >= read->m_min || m_closed) {
      auto fulfiller = kj::mv(read->m_fulfiller);
      const size_t done = read->m_done;
      m_read = nullptr;
      fulfiller->fulfill(kj::cp(done));
    }
  }
}

kj::Promise<void> BuffereventStream::write(const void* aBuffer, size_t aSize)
{
  if (m_closed) {
    return KJ_EXCEPTION(DISCONNECTED, "the peer has closed the connection");
  }
  bufferevent_write(m_bufferevent, aBuffer, aSize);
  return WhenDrained();
}

kj::Promise<void> BuffereventStream::write(
  kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces)
{
  if (m_closed) {
    return KJ_EXCEPTION(DISCONNECTED, "the peer has closed the connection");
  }
  for (const auto& piece : aPieces) {
    bufferevent_write(m_bufferevent, piece.begin(), piece.size());
  }
  return WhenDrained();
}

kj::Promise<void> BuffereventStream::WhenDrained()
{
  evbuffer* output = bufferevent_get_output(m_bufferevent);
  if (evbuffer_get_length(output) <= kMaxUnsentBytes) {
    return kj::READY_NOW;
  }
  auto pair = kj::newPromiseAndFulfiller<void>();
  m_drained = kj::mv(pair.fulfiller);
  return kj::mv(pair.promise);
}

kj::Promise<void> BuffereventStream::whenWriteDisconnected()
{
  return m_whenDisconnected.addBranch();
}

void BuffereventStream::shutdownWrite()
{
  bufferevent_flush(m_bufferevent, EV_WRITE, BEV_FINISHED);
}

void BuffereventStream::OnReadable(bufferevent*, void* aSelf)
{
  static_cast<BuffereventStream*>(aSelf)->Continue();
}

void BuffereventStream::OnDrained(bufferevent*, void* aSelf)
{
  auto* self = static_cast<BuffereventStream*>(aSelf);
  KJ_IF_MAYBE (drained, self->m_drained) {
    (*drained)->fulfill();
    self->m_drained = nullptr;
  }
}

void BuffereventStream::OnEvent(bufferevent*, short aWhat, void* aSelf)
{
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0) {
    return;
  }
  auto* self = static_cast<BuffereventStream*>(aSelf);
  self->m_closed = true;
  self->Continue();
  KJ_IF_MAYBE (drained, self->m_drained) {
    (*drained)->reject(KJ_EXCEPTION(DISCONNECTED, "the connection broke"));
    self->m_drained = nullptr;
  }
  self->m_disconnected->fulfill();
}

} // namespace briarglade
