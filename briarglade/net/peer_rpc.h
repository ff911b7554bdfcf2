// Messages between nodes: Cap'n Proto RPC on the libevent loop.
//
// Example:
//   PeerRpc rpc(loop);
//   rpc.SetHandler([](const std::string& aMessage) { return Answer(aMessage);
//   }); uint16_t port = rpc.Listen({ "127.0.0.1", 0 }); rpc.Send(peer, message,
//   [](bool aOk, const std::string& aAnswer) { ... });

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "briarglade/base/endpoint.h"

namespace briarglade {

class EventLoop;
struct Envelope;

// One object a process: Cap'n Proto allows one loop a thread.
class PeerRpc
{
public:
  // Takes a message that a peer, or a stranger, has sent.
  using Handler = std::function<void(const Envelope& aEnvelope)>;
  // Gets false if the message could not be delivered in time.
  using DoneHandler = std::function<void(bool aDelivered)>;

  explicit PeerRpc(EventLoop& aLoop);
  ~PeerRpc();
  PeerRpc(const PeerRpc&) = delete;
  PeerRpc& operator=(const PeerRpc&) = delete;

  void SetHandler(Handler aHandler);
  // Sets how many connections others may hold open here, and how many bytes of
  // messages that have not come whole, not counting short ones.
  void SetLimits(size_t aMaxAccepted, size_t aMaxBytes);
  // Listens; port 0 lets the kernel choose. Returns the port, or 0 on failure.
  uint16_t Listen(const Endpoint& aEndpoint);
  // Sends a message. The handler is called once, from the loop.
  void Send(const Endpoint& aPeer,
            const Envelope& aEnvelope,
            DoneHandler aDone);
  // Connections closed at the bound on connections, and accepts that failed.
  uint64_t ClosedAtLimit() const;
  uint64_t AcceptFailures() const;
  // Bytes of payload sent and received since the start.
  uint64_t BytesSent() const;
  uint64_t BytesReceived() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace briarglade
