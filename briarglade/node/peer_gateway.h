// Messages to and from the other nodes: sealed, sent, opened, checked, counted.

#pragma once

#include <cstdint>
#include <functional>

#include "briarglade/core/event.h"
#include "briarglade/membership/envelope_opener.h"
#include "briarglade/membership/envelope_sealer.h"
#include "briarglade/membership/membership_effect.h"
#include "briarglade/net/peer_rpc.h"

namespace briarglade {

class EventLoop;
class Metrics;
struct NodeSettings;

class PeerGateway
{
public:
  PeerGateway(EventLoop& aLoop,
              const NodeSettings& aSettings,
              uint64_t aIncarnation,
              Metrics& aMetrics);

  // Listens and hands each genuine message to the function. Returns the port,
  // or 0 on failure.
  uint16_t Start(const Endpoint& aEndpoint,
                 std::function<void(EventBody)> aDispatch);
  // Sends a message; a failure is dispatched as PeerUnreachable.
  void Send(const SendPeer& aSend);
  // Bytes of control messages sent and received since the start.
  uint64_t BytesMoved() const;

private:
  void Receive(const Envelope& aEnvelope);

  Metrics& m_metrics;
  EnvelopeSealer m_sealer;
  EnvelopeOpener m_opener;
  PeerRpc m_rpc;
  std::function<void(EventBody)> m_dispatch;
};

} // namespace briarglade
