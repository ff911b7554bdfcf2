// Connects the entry reducer to the process: turns input from sockets and
// timers into events, and carries out effects as calls.

#include "briarglade/entry/entry_node.h"

#include <algorithm>
#include <random>
#include <utility>
#include <xxhash.h>

#include "briarglade/base/overloaded.h"
#include "briarglade/entry/gateway_relay.h"
#include "briarglade/membership/envelope.h"
#include "briarglade/net/answer_budget.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"

namespace briarglade {

namespace {

constexpr Millis kTickPeriod = Millis(50);
constexpr Millis kOrderTimeout = Millis(800);
constexpr Millis kProbeTimeout = Millis(250);
// HTTP status codes.
constexpr uint16_t kOk = 200;
constexpr uint16_t kNotFound = 404;
constexpr uint16_t kUnavailable = 503;

// Returns a random number that differs between two runs of the process. It does
// not depend on the clock.
uint64_t MakeIncarnation()
{
  std::random_device source;
  constexpr int kHalfBits = 26;
  constexpr uint64_t kHalfMask = (uint64_t{ 1 } << kHalfBits) - 1;
  return ((source() & kHalfMask) << kHalfBits) | (source() & kHalfMask);
}

Fingerprint FingerprintOf(const HttpExchange& aExchange,
                          const CallerRequest& aRequest)
{
  const std::string& body = aExchange.Body();
  const std::string head =
    aRequest.m_host + aExchange.Target() + aRequest.m_accountKey;
  const uint64_t seed = XXH3_64bits(head.data(), head.size());
  return Fingerprint(XXH3_64bits_withSeed(body.data(), body.size(), seed));
}

} // namespace

EntryNode::EntryNode(EventLoop& aLoop,
                     HttpClient& aClient,
                     const EntrySettings& aSettings,
                     PlatformBinding aBinding)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_settings(aSettings)
  , m_binding(std::move(aBinding))
  , m_incarnation(MakeIncarnation())
  , m_log(aSettings.m_node, LogLevel::Info, LogStream::Output)
  , m_callerServer(aLoop, HttpServerLimits())
  , m_directoryServer(aLoop, HttpServerLimits())
  , m_readinessServer(aLoop, HttpServerLimits())
  , m_metricsServer(aLoop, HttpServerLimits())
  , m_peers(aLoop)
  , m_state(
      MakeEntryState(aSettings, m_incarnation, m_binding.m_store.m_decode))
{
  m_client.Budget()->OnCut([this](const AnswerCut& aCut) {
    m_log.Write(
      LogEvent{ LogLevel::Warn,
                "answer-cut",
                { { "request", aCut.m_request },
                  { "held-bytes", std::to_string(aCut.m_heldBytes) },
                  { "all-held-bytes", std::to_string(aCut.m_allHeldBytes) },
                  { "max-bytes", std::to_string(aCut.m_maxBytes) } } });
  });
}

EntryNode::~EntryNode()
{
  m_client.Budget()->OnCut(nullptr);
  // Closing a connection calls handlers that use members of this object.
  m_callerServer.CloseConnections();
  m_directoryServer.CloseConnections();
  m_readinessServer.CloseConnections();
  m_metricsServer.CloseConnections();
}

std::optional<Error> EntryNode::Start()
{
  // Until the operators' limits are known.
  SetLimits(CallerLimits());
  m_callerServer.SetHandler(
    [this](const auto& aExchange) { HandleCaller(aExchange); });
  m_callerServer.SetRejectionObserver([this](const HttpRejection& aRejection) {
    m_log.Write(LogEvent{
      LogLevel::Info,
      "request-unreadable",
      { { "path", aRejection.m_path },
        { "code",
          std::to_string(static_cast<uint16_t>(aRejection.m_code)) } } });
  });
  m_directoryServer.SetHandler(
    [this](const auto& aExchange) { HandleDirectory(aExchange); });
  m_readinessServer.SetHandler(
    [this](const auto& aExchange) { HandleReadiness(aExchange); });
  m_metricsServer.SetHandler(
    [this](const auto& aExchange) { HandleMetrics(aExchange); });
  m_peers.SetHandler([this](const Envelope& aEnvelope) {
    if (std::optional<NodeNews> update = DecodeNodeNews(aEnvelope.m_payload)) {
      Dispatch(PeerUpdateReceived{ std::move(*update) });
    }
  });
  m_callerPort = m_callerServer.Listen(m_settings.m_callerAddress);
  const bool isListening =
    m_callerPort != 0 &&
    m_directoryServer.Listen(m_settings.m_directoryAddress) != 0 &&
    m_readinessServer.Listen(m_settings.m_readinessAddress) != 0 &&
    m_metricsServer.Listen(m_settings.m_metricsAddress) != 0 &&
    m_peers.Listen(m_settings.m_peerAddress) != 0;
  if (!isListening) {
    return Error{ ResultCode::Internal, "a listener could not be opened" };
  }
  m_log.Write(LogEvent{ LogLevel::Info,
                        "node-started",
                        { { "callers", m_settings.m_callerAddress.ToString() },
                          { "zone", m_settings.m_zone.Value() },
                          { "incarnation", std::to_string(m_incarnation) } } });
  m_loop.RunEvery(kTickPeriod, [this] { Dispatch(EntryTick{}); });
  Dispatch(EntryTick{});
  return std::nullopt;
}

void EntryNode::BeginShutdown()
{
  Dispatch(StopRequested{});
}

void EntryNode::Dispatch(const EntryEvent& aEvent)
{
  EntryEffects effects = ReduceEntry(m_state, EventLoop::Now(), aEvent);
  for (EntryEffect& effect : effects) {
    CarryOut(effect);
  }
}

std::shared_ptr<GatewayRelay> EntryNode::FindRelay(RequestHandle aHandle) const
{
  const auto found = m_relays.find(aHandle);
  return found == m_relays.end() ? nullptr : found->second;
}

void EntryNode::SetLimits(const CallerLimits& aLimits)
{
  HttpServerLimits limits;
  limits.m_maxHeaderBytes = aLimits.m_headerBytes;
  limits.m_maxBodyBytes = aLimits.m_bodyBytes;
  limits.m_requestTime = aLimits.m_headerTime;
  limits.m_idleTime = aLimits.m_idleTime;
  m_callerServer.SetLimits(limits);
}

void EntryNode::CarryOut(EntryEffect& aEffect)
{
  const auto dispatch = [this](auto aEvent) { Dispatch(std::move(aEvent)); };
  std::visit(
    Overloaded{
      [&](const WatchFeed& aWatch) {
        m_binding.m_store.m_watch(aWatch, FeedHandler(aWatch.m_call));
      },
      [&](const ReadFeed& aRead) {
        m_binding.m_store.m_read(aRead, FeedHandler(aRead.m_call));
      },
      [&](const WriteOwnRow& aWrite) {
        m_binding.m_store.m_write(aWrite, dispatch);
      },
      [&](const GroupOrder& aOrder) {
        m_binding.m_sendOrder(aOrder, kOrderTimeout, dispatch);
      },
      [&](const ProbeServerNow& aProbe) {
        m_binding.m_probe(
          aProbe.m_server,
          kProbeTimeout,
          [this, host = aProbe.m_server.m_host, requestedAt = EventLoop::Now()](
            Result<ServerRecord> aRecord) {
            Dispatch(ServerProbed{ host, std::move(aRecord), requestedAt });
          });
      },
      [&](const SendPeerUpdate& aSend) { SendUpdate(aSend); },
      [&](const SendToServer& aSend) {
        if (const auto relay = FindRelay(aSend.m_handle)) {
          relay->Start(m_client, aSend, EventLoop::Now());
        }
      },
      [&](const CancelExchange& aCancel) {
        if (const auto relay = FindRelay(aCancel.m_handle)) {
          relay->Cancel();
        }
      },
      [&](const PromoteHedge& aPromotion) {
        if (const auto relay = FindRelay(aPromotion.m_handle)) {
          relay->PromoteHedge();
        }
      },
      [&](const DropHedge& aDrop) {
        if (const auto relay = FindRelay(aDrop.m_handle)) {
          relay->DropHedge();
        }
      },
      [&](const ForwardAnswer& aForward) {
        if (const auto relay = FindRelay(aForward.m_handle)) {
          m_relays.erase(aForward.m_handle);
          CountAnswer(*relay, ResultCode::Ok);
          relay->ForwardToCaller();
        }
      },
      [&](const AnswerCaller& aAnswer) {
        if (const auto relay = FindRelay(aAnswer.m_handle)) {
          m_relays.erase(aAnswer.m_handle);
          CountAnswer(*relay, aAnswer.m_code);
          relay->RespondWithCode(aAnswer.m_code, aAnswer.m_retryAfter);
        }
      },
      [&](const CallerLimitsChanged& aChange) { SetLimits(aChange.m_limits); },
      [&](const DrainCallers&) { m_callerServer.BeginDraining(); },
      [&](const ExitProcess&) { m_loop.Stop(); },
      [&](const LogEvent& aEvent) { m_log.Write(aEvent); } },
    aEffect);
}

std::function<void(FeedAnswered)> EntryNode::FeedHandler(FeedCallId aCall)
{
  return [this, aCall](FeedAnswered aAnswer) {
    aAnswer.m_call = aCall;
    Dispatch(std::move(aAnswer));
  };
}

void EntryNode::SendUpdate(const SendPeerUpdate& aSend)
{
  Envelope envelope;
  envelope.m_sender = m_settings.m_node;
  envelope.m_incarnation = m_incarnation;
  envelope.m_payload = EncodeNodeNews(*aSend.m_update);
  for (const Endpoint& receiver : aSend.m_receivers) {
    // A failed send is ignored: an unreachable node is detected by the absence
    // of its own messages.
    m_peers.Send(receiver, envelope, [](bool) {});
  }
}

void EntryNode::HandleCaller(const std::shared_ptr<HttpExchange>& aExchange)
{
  Result<CallerRequest> decoded = m_binding.m_codec.m_decodeRequest(*aExchange);
  if (const Error* error = GetError(decoded)) {
    m_log.Write(LogEvent{
      LogLevel::Info,
      "request-unreadable",
      { { "path", aExchange->Path() }, { "problem", error->m_detail } } });
    aExchange->Respond(DescribeResultCode(error->m_code).m_httpStatus,
                       m_binding.m_codec.m_encodeOwnAnswer("", Millis()),
                       {});
    return;
  }
  RequestReceived received;
  received.m_handle = RequestHandle(++m_lastHandle);
  received.m_path = aExchange->Path();
  received.m_request = std::get<CallerRequest>(std::move(decoded));
  received.m_fingerprint = FingerprintOf(*aExchange, received.m_request);
  GatewayRelayHooks hooks;
  hooks.m_onProgress = [this](const AnswerProgressed& aProgress) {
    Dispatch(aProgress);
  };
  hooks.m_onServerLeaves = [this](const ServerLeaving& aLeaving) {
    Dispatch(aLeaving);
  };
  hooks.m_onRateStated = [this](const ServerRateStated& aStated) {
    Dispatch(aStated);
  };
  hooks.m_onEnded = [this](const ExchangeEnded& aEnded) { Dispatch(aEnded); };
  aExchange->OnClosed(
    [this, handle = received.m_handle] { Dispatch(CallerLeft{ handle }); });
  m_relays.emplace(received.m_handle,
                   std::make_shared<GatewayRelay>(received.m_handle,
                                                  aExchange,
                                                  received.m_request,
                                                  m_binding.m_codec,
                                                  std::move(hooks)));
  Dispatch(received);
}

void EntryNode::HandleDirectory(const std::shared_ptr<HttpExchange>& aExchange)
{
  const std::optional<AddressQuery> query =
    m_binding.m_codec.m_decodeAddressQuery(*aExchange);
  if (!query) {
    aExchange->Respond(kNotFound, {}, {});
    return;
  }
  const std::vector<Endpoint> addresses =
    m_state.m_directory.Addresses(EventLoop::Now(), query->m_zone);
  if (addresses.empty()) {
    aExchange->Respond(kUnavailable, {}, {});
    return;
  }
  const Millis lifetime =
    std::min(kAddressLifetime, m_settings.m_bounds.m_maxAddressLifetime);
  aExchange->Respond(kOk,
                     { { "Content-Type", "application/json" } },
                     m_binding.m_codec.m_encodeAddresses(addresses, lifetime));
}

void EntryNode::CountAnswer(const GatewayRelay& aRelay, ResultCode aCode)
{
  const ClassId kind(aRelay.IsStream() ? "stream" : "call");
  const Millis total = EventLoop::Now() - aRelay.ArrivedAt();
  m_metrics.CountAnswer(aRelay.Account(), kind, aCode);
  m_metrics.Observe(
    Measure::Total, aRelay.Account(), kind, static_cast<double>(total.Count()));
  if (aRelay.FirstBytesAt()) {
    const Millis timeToFirstBytes = *aRelay.FirstBytesAt() - aRelay.ArrivedAt();
    m_metrics.Observe(Measure::TimeToFirstToken,
                      aRelay.Account(),
                      kind,
                      static_cast<double>(timeToFirstBytes.Count()));
  }
}

void EntryNode::HandleMetrics(const std::shared_ptr<HttpExchange>& aExchange)
{
  m_metrics.SetGauge("requests_in_flight",
                     static_cast<double>(m_state.m_gateway.m_requests.size()));
  m_metrics.SetGauge("groups", static_cast<double>(m_state.m_groups.size()));
  const auto isServing = [](const auto& aEntry) {
    return IsServing(aEntry.second);
  };
  m_metrics.SetGauge("serving_groups",
                     static_cast<double>(std::count_if(m_state.m_groups.begin(),
                                                       m_state.m_groups.end(),
                                                       isServing)));
  const HarmDetector& detector = m_state.m_gateway.m_harmDetector;
  m_metrics.SetGauge("crash_suspects",
                     static_cast<double>(detector.SuspectCount()));
  m_metrics.SetGauge(
    "harmful_refused",
    static_cast<double>(detector.RefusedCount(EventLoop::Now())));
  m_metrics.SetGauge("servers", static_cast<double>(m_state.m_servers.size()));
  m_metrics.SetGauge(
    "config_version",
    m_state.m_routes == nullptr
      ? 0
      : static_cast<double>(m_state.m_routes->Config().m_version.Value()));
  m_metrics.SetGauge("config_in_doubt",
                     m_state.m_configCurrency.DoubtSince() ? 1 : 0);
  m_metrics.SetGauge(
    "store_era",
    static_cast<double>(m_state.m_storeEra.value_or(StoreEra()).Value()));
  m_metrics.SetGauge("store_returns",
                     static_cast<double>(m_state.m_storeReturns));
  m_metrics.SetGauge("removals_believed",
                     static_cast<double>(m_state.m_removalsBelieved));
  m_metrics.SetGauge("holds_control", m_state.m_control.IsActive() ? 1 : 0);
  aExchange->Respond(
    kOk, { { "Content-Type", "text/plain" } }, m_metrics.Render());
}

void EntryNode::HandleReadiness(const std::shared_ptr<HttpExchange>& aExchange)
{
  const bool isReadinessCheck =
    m_binding.m_codec.m_isReadinessCheck(*aExchange);
  const uint16_t status = IsReady(m_state) ? kOk : kUnavailable;
  aExchange->Respond(isReadinessCheck ? status : kNotFound, {}, {});
}

} // namespace briarglade
