// The gateway between peer messages and events.

#include "briarglade/node/peer_gateway.h"

#include <algorithm>
#include <string>
#include <utility>

#include "briarglade/membership/envelope.h"
#include "briarglade/membership/peer_codec.h"
#include "briarglade/node/node_settings.h"
#include "briarglade/telemetry/metrics.h"

namespace briarglade {

namespace {

// Returns the counter of messages dropped for one reason.
std::string DropCounter(std::string aReason)
{
  std::replace(aReason.begin(), aReason.end(), '-', '_');
  return "peer_messages_dropped_" + aReason;
}

} // namespace

PeerGateway::PeerGateway(EventLoop& aLoop,
                         const NodeSettings& aSettings,
                         uint64_t aIncarnation,
                         Metrics& aMetrics)
  : m_metrics(aMetrics)
  , m_sealer(aSettings.m_cluster,
             aSettings.m_clusterKey,
             aSettings.m_id,
             aIncarnation)
  , m_opener(aSettings.m_cluster, aSettings.m_clusterKey, aSettings.m_id)
  , m_rpc(aLoop)
{
}

uint16_t PeerGateway::Start(const Endpoint& aEndpoint,
                            std::function<void(EventBody)> aDispatch)
{
  m_dispatch = std::move(aDispatch);
  m_rpc.SetHandler([this](const Envelope& aEnvelope) { Receive(aEnvelope); });
  return m_rpc.Listen(aEndpoint);
}

void PeerGateway::Send(const SendPeer& aSend)
{
  const Envelope envelope =
    m_sealer.Seal(aSend.m_node, EncodePeerMessage(aSend.m_message));
  m_metrics.Count("peer_messages_sent");
  m_rpc.Send(
    aSend.m_endpoint, envelope, [this, node = aSend.m_node](bool aDelivered) {
      if (!aDelivered && !node.IsEmpty()) {
        m_dispatch(PeerUnreachable{ node });
      }
    });
}

void PeerGateway::Receive(const Envelope& aEnvelope)
{
  if (const auto fault = m_opener.Check(aEnvelope)) {
    m_metrics.Count(DropCounter(std::string(EnvelopeFaultName(*fault))));
    return;
  }
  Result<PeerMessage> message = DecodePeerMessage(aEnvelope.m_payload);
  if (GetError(message) != nullptr) {
    m_metrics.Count(DropCounter("malformed"));
    return;
  }
  m_metrics.Count("peer_messages_received");
  m_dispatch(PeerMessageReceived{ aEnvelope.m_sender,
                                  aEnvelope.m_incarnation,
                                  std::get<PeerMessage>(std::move(message)) });
}

uint64_t PeerGateway::BytesMoved() const
{
  return m_rpc.BytesSent() + m_rpc.BytesReceived();
}

} // namespace briarglade
