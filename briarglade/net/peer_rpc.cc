// The RPC between nodes. Every call has a deadline; a connection on which a
// call failed is dropped and made anew by the next call.

#include "briarglade/net/peer_rpc.h"

#include <arpa/inet.h>
#include <capnp/rpc-twoparty.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <utility>
#include <vector>

#include "briarglade/membership/envelope.h"
#include "briarglade/net/caller_budget.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/internal/accept_listener.h"
#include "briarglade/net/internal/bufferevent_stream.h"
#include "briarglade/net/internal/kj_bridge.h"
#include "briarglade/net/peer.capnp.h"

namespace briarglade {

namespace {

constexpr Millis kCallTimeout = Millis(1'000);
// Calls that may wait for one peer.
constexpr size_t kMaxCallsPerPeer = 16;
// Connections that peers, or strangers, may hold open here.
constexpr size_t kMaxAccepted = 1024;
constexpr size_t kMaxMessageBytes = 4 * 1024 * 1024;
// The same with what the encoding adds, in words. A longer message ends its
// connection before it is read.
constexpr uint64_t kMaxMessageWords = (kMaxMessageBytes + 64 * 1024) / 8;
// The bound on what has come of messages that are not whole.
constexpr size_t kMaxIncompleteBytes = 4 * kMaxMessageBytes;
constexpr Millis kBudgetPeriod = Millis(50);
constexpr int kBacklog = 256;

sockaddr_in ToSocketAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.m_port);
  inet_pton(AF_INET, aEndpoint.m_ip.c_str(), &address.sin_addr);
  return address;
}

void SetNoDelay(evutil_socket_t aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string ToString(capnp::Text::Reader aText)
{
  return std::string(aText.begin(), aText.size());
}

std::string ToString(capnp::Data::Reader aData)
{
  return std::string(aData.asChars().begin(), aData.size());
}

capnp::Data::Reader ToData(const std::string& aBytes)
{
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(aBytes.data()),
                      aBytes.size());
}

std::optional<MessageEcho> ReadEcho(wire::PeerEnvelope::Reader aFrom)
{
  if (!aFrom.hasEcho()) {
    return std::nullopt;
  }
  const auto echo = aFrom.getEcho();
  return MessageEcho{ echo.getIncarnation(),
                      Millis(echo.getSentAt()),
                      Millis(echo.getArrivedAt()) };
}

void WriteEcho(wire::MessageEcho::Builder aTo, const MessageEcho& aFrom)
{
  aTo.setIncarnation(aFrom.m_incarnation);
  aTo.setSentAt(aFrom.m_sentAt.Count());
  aTo.setArrivedAt(aFrom.m_arrivedAt.Count());
}

// The payload is read once only: each reading counts towards the limit of
// words of its message.
Envelope ReadEnvelope(wire::PeerEnvelope::Reader aFrom,
                      capnp::Data::Reader aPayload)
{
  Envelope envelope;
  envelope.m_cluster = ToString(aFrom.getCluster());
  envelope.m_protocol = aFrom.getProtocol();
  envelope.m_sender = NodeId(ToString(aFrom.getSender()));
  envelope.m_incarnation = aFrom.getIncarnation();
  envelope.m_receiver = NodeId(ToString(aFrom.getReceiver()));
  envelope.m_sequence = aFrom.getSequence();
  envelope.m_proof = ToString(aFrom.getProof());
  envelope.m_payload = ToString(aPayload);
  envelope.m_echo = ReadEcho(aFrom);
  return envelope;
}

void WriteEnvelope(wire::PeerEnvelope::Builder aTo, const Envelope& aFrom)
{
  aTo.setCluster(aFrom.m_cluster.c_str());
  aTo.setProtocol(aFrom.m_protocol);
  aTo.setSender(aFrom.m_sender.Value().c_str());
  aTo.setIncarnation(aFrom.m_incarnation);
  aTo.setReceiver(aFrom.m_receiver.Value().c_str());
  aTo.setSequence(aFrom.m_sequence);
  aTo.setProof(ToData(aFrom.m_proof));
  aTo.setPayload(ToData(aFrom.m_payload));
  if (aFrom.m_echo) {
    WriteEcho(aTo.initEcho(), *aFrom.m_echo);
  }
}

// What both ends count.
struct Traffic
{
  uint64_t m_sent = 0;
  uint64_t m_received = 0;
};

class PeerServer final : public wire::Peer::Server
{
public:
  PeerServer(const PeerRpc::Handler& aHandler, Traffic& aTraffic)
    : m_handler(aHandler)
    , m_traffic(aTraffic)
  {
  }

  kj::Promise<void> deliver(DeliverContext aContext) override
  {
    const auto envelope = aContext.getParams().getEnvelope();
    const capnp::Data::Reader payload = envelope.getPayload();
    m_traffic.m_received += payload.size();
    if (m_handler && payload.size() <= kMaxMessageBytes) {
      m_handler(ReadEnvelope(envelope, payload));
    }
    return kj::READY_NOW;
  }

private:
  const PeerRpc::Handler& m_handler;
  Traffic& m_traffic;
};

// A connection that a peer, or a stranger, has opened.
struct AcceptedConnection
{
  AcceptedConnection(kj::Own<BuffereventStream> aStream,
                     kj::Own<PeerServer> aServer)
    : m_stream(kj::mv(aStream))
    , m_network(*m_stream, capnp::rpc::twoparty::Side::SERVER, ReadOptions())
    , m_system(capnp::makeRpcServer(m_network, kj::mv(aServer)))
  {
  }

  static capnp::ReaderOptions ReadOptions()
  {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxMessageWords;
    return options;
  }

  kj::Own<BuffereventStream> m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_system;
};

// An outgoing connection to one peer.
class PeerConnection
{
public:
  PeerConnection(EventLoop& aLoop, const Endpoint& aPeer)
    : m_stream(Connect(aLoop, aPeer))
    , m_client(*m_stream)
    , m_peer(m_client.bootstrap().castAs<wire::Peer>())
  {
  }

  wire::Peer::Client& Peer() { return m_peer; }
  size_t m_waiting = 0;

private:
  static kj::Own<BuffereventStream> Connect(EventLoop& aLoop,
                                            const Endpoint& aPeer)
  {
    bufferevent* made =
      bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
    auto stream = kj::heap<BuffereventStream>(made);
    const sockaddr_in address = ToSocketAddress(aPeer);
    bufferevent_socket_connect(
      made, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    SetNoDelay(bufferevent_getfd(made));
    return stream;
  }

  kj::Own<BuffereventStream> m_stream;
  capnp::TwoPartyClient m_client;
  wire::Peer::Client m_peer;
};

} // namespace

class PeerRpc::Impl final : private kj::TaskSet::ErrorHandler
{
public:
  explicit Impl(EventLoop& aLoop)
    : m_listener(aLoop, [this](int aSocket) { Accept(aSocket); })
    , m_loop(aLoop)
    , m_bridge(aLoop)
    , m_accepted(*this)
    , m_calls(*this)
  {
  }

  uint16_t Listen(const Endpoint& aEndpoint)
  {
    const uint16_t port = m_listener.Listen(aEndpoint, kBacklog);
    if (port != 0) {
      TickBudget();
    }
    return port;
  }

  void Send(const Endpoint& aPeer, const Envelope& aEnvelope, DoneHandler aDone)
  {
    std::shared_ptr<PeerConnection>& connection = m_connections[aPeer];
    if (!connection) {
      connection = std::make_shared<PeerConnection>(m_loop, aPeer);
    }
    if (connection->m_waiting >= kMaxCallsPerPeer) {
      m_loop.Defer([done = std::move(aDone)] { done(false); });
      return;
    }
    auto call = std::make_shared<Call>();
    call->m_peer = aPeer;
    call->m_connection = connection;
    call->m_done = std::move(aDone);
    call->m_timer = m_loop.MakeTimer([this, weak = std::weak_ptr<Call>(call)] {
      if (const std::shared_ptr<Call> late = weak.lock()) {
        Fail(late);
      }
    });
    call->m_timer->Start(kCallTimeout);
    ++connection->m_waiting;
    m_traffic.m_sent += aEnvelope.m_payload.size();
    auto request = connection->Peer().deliverRequest();
    WriteEnvelope(request.initEnvelope(), aEnvelope);
    m_calls.add(request.send().then(
      [this, call](capnp::Response<wire::Peer::DeliverResults>&&) {
        Finish(call, true);
      },
      [this, call](kj::Exception&&) { Fail(call); }));
  }

  Handler m_handler;
  Traffic m_traffic;
  size_t m_maxAccepted = kMaxAccepted;
  uint64_t m_closedAtLimit = 0;
  internal::AcceptListener m_listener;
  std::shared_ptr<CallerBudget> m_budget =
    std::make_shared<CallerBudget>(kMaxIncompleteBytes);

private:
  struct Call
  {
    Endpoint m_peer;
    std::shared_ptr<PeerConnection> m_connection;
    DoneHandler m_done;
    std::unique_ptr<Timer> m_timer;
  };

  void TickBudget()
  {
    m_budget->Tick(EventLoop::Now());
    m_budgetTimer->Start(kBudgetPeriod);
  }

  void Accept(evutil_socket_t aSocket)
  {
    if (m_acceptedCount >= m_maxAccepted) {
      ++m_closedAtLimit;
      evutil_closesocket(aSocket);
      return;
    }
    evutil_make_socket_nonblocking(aSocket);
    SetNoDelay(aSocket);
    ++m_acceptedCount;
    auto stream = kj::heap<BuffereventStream>(
      bufferevent_socket_new(m_loop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE));
    stream->BoundReads(m_budget);
    auto connection = kj::heap<AcceptedConnection>(
      kj::mv(stream), kj::heap<PeerServer>(m_handler, m_traffic));
    kj::Promise<void> ended = connection->m_network.onDisconnect();
    m_accepted.add(ended
                     .then([this] { --m_acceptedCount; },
                           [this](kj::Exception&&) { --m_acceptedCount; })
                     .attach(kj::mv(connection)));
  }

  void Finish(const std::shared_ptr<Call>& aCall, bool aDelivered)
  {
    if (!aCall->m_done) {
      return;
    }
    --aCall->m_connection->m_waiting;
    const DoneHandler done = std::move(aCall->m_done);
    aCall->m_done = nullptr;
    aCall->m_timer->Stop();
    Retire(std::move(aCall->m_connection));
    done(aDelivered);
  }

  // Lets go of a connection from the loop, since it may be on the stack.
  void Retire(std::shared_ptr<PeerConnection> aConnection)
  {
    m_retired.push_back(std::move(aConnection));
    m_loop.Defer([this, alive = std::weak_ptr<bool>(m_alive)] {
      if (!alive.expired()) {
        m_retired.clear();
      }
    });
  }

  void Fail(const std::shared_ptr<Call>& aCall)
  {
    if (!aCall->m_done) {
      return;
    }
    const auto found = m_connections.find(aCall->m_peer);
    if (found != m_connections.end() && found->second == aCall->m_connection) {
      m_connections.erase(found);
    }
    Finish(aCall, false);
  }

  void taskFailed(kj::Exception&&) override {}

  EventLoop& m_loop;
  KjBridge m_bridge;
  const std::unique_ptr<Timer> m_budgetTimer =
    m_loop.MakeTimer([this] { TickBudget(); });
  size_t m_acceptedCount = 0;
  std::map<Endpoint, std::shared_ptr<PeerConnection>> m_connections;
  std::vector<std::shared_ptr<PeerConnection>> m_retired;
  // Outlived by deferred callbacks, which check it.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  kj::TaskSet m_accepted;
  kj::TaskSet m_calls;
};

PeerRpc::PeerRpc(EventLoop& aLoop)
  : m_impl(std::make_unique<Impl>(aLoop))
{
}

PeerRpc::~PeerRpc() = default;

void PeerRpc::SetLimits(size_t aMaxAccepted, size_t aMaxBytes)
{
  m_impl->m_maxAccepted = aMaxAccepted;
  m_impl->m_budget = std::make_shared<CallerBudget>(aMaxBytes);
}

void PeerRpc::SetHandler(Handler aHandler)
{
  m_impl->m_handler = std::move(aHandler);
}

uint16_t PeerRpc::Listen(const Endpoint& aEndpoint)
{
  return m_impl->Listen(aEndpoint);
}

void PeerRpc::Send(const Endpoint& aPeer,
                   const Envelope& aEnvelope,
                   DoneHandler aDone)
{
  m_impl->Send(aPeer, aEnvelope, std::move(aDone));
}

uint64_t PeerRpc::ClosedAtLimit() const
{
  return m_impl->m_closedAtLimit;
}

uint64_t PeerRpc::AcceptFailures() const
{
  return m_impl->m_listener.Failures();
}

uint64_t PeerRpc::BytesSent() const
{
  return m_impl->m_traffic.m_sent;
}

uint64_t PeerRpc::BytesReceived() const
{
  return m_impl->m_traffic.m_received;
}

} // namespace briarglade
