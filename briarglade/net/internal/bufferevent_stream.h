// A kj stream over a libevent bufferevent, for Cap'n Proto's RPC.

#pragma once

#include <cstddef>
#include <kj/async-io.h>
#include <memory>

#include "briarglade/net/caller_budget.h"

struct bufferevent;

namespace briarglade {

class BuffereventStream final : public kj::AsyncIoStream
{
public:
  // Takes the bufferevent over.
  explicit BuffereventStream(bufferevent* aBufferevent);
  ~BuffereventStream() noexcept(false);
  BuffereventStream(const BuffereventStream&) = delete;
  BuffereventStream& operator=(const BuffereventStream&) = delete;

  // Lets long reads wait for memory of the budget. One that the budget takes
  // back ends the stream.
  void BoundReads(const std::shared_ptr<CallerBudget>& aBudget);

  kj::Promise<size_t> tryRead(void* aBuffer,
                              size_t aMinBytes,
                              size_t aMaxBytes) override;
  kj::Promise<void> write(const void* aBuffer, size_t aSize) override;
  kj::Promise<void> write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;

private:
  // A read that waits for bytes.
  struct PendingRead
  {
    char* m_buffer;
    size_t m_min;
    size_t m_max;
    size_t m_done;
    kj::Own<kj::PromiseFulfiller<size_t>> m_fulfiller;
  };

  static void OnReadable(bufferevent*, void* aSelf);
  static void OnDrained(bufferevent*, void* aSelf);
  static void OnEvent(bufferevent*, short aWhat, void* aSelf);
  void Continue();
  kj::Promise<void> WhenDrained();

  bufferevent* m_bufferevent;
  kj::Maybe<PendingRead> m_read;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> m_drained;
  kj::Own<kj::PromiseFulfiller<void>> m_disconnected;
  kj::ForkedPromise<void> m_whenDisconnected;
  bool m_closed = false;
  std::unique_ptr<CallerHold> m_hold;
};

} // namespace briarglade
