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
#include "briarglade/net/caller_budget.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"

namespace briarglade {

namespace {

constexpr Millis kTickPeriod = Millis(50);
constexpr Millis kOrderTimeout = Millis(800);
constexpr Millis kProbeTimeout = Millis(250);
// The part of the memory that requests may take until they have been answered
// is one divided by this. Answers take a quarter, and up to as much again for a
// moment.
constexpr uint64_t kCallersMemoryDivisor = 5;
// The same for messages from other nodes that have not come whole.
constexpr uint64_t kPeersMemoryDivisor = 16;
// The parts of the descriptors that connections to this node may take. Less
// than half, as connections to servers may take almost half; the rest is for
// connections to other nodes and the store, and for files.
constexpr size_t kDescriptorParts = 64;
constexpr size_t kCallerParts = 20;
constexpr size_t kDirectoryParts = 2;
constexpr size_t kCheckParts = 1;
constexpr size_t kPeerParts = 6;
// Lines about refused clients in a second.
constexpr uint32_t kMaxRejectionLines = 10;
constexpr Millis kSecond = Millis(1'000);
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
  , m_callerBudget(std::make_shared<CallerBudget>(aSettings.m_memoryBytes /
                                                  kCallersMemoryDivisor))
  , m_callerServer(aLoop, HttpServerLimits())
  , m_directoryServer(aLoop, HttpServerLimits())
  , m_readinessServer(aLoop, HttpServerLimits())
  , m_metricsServer(aLoop, HttpServerLimits())
  , m_peers(aLoop)
  , m_state(
      MakeEntryState(aSettings, m_incarnation, m_binding.m_store.m_decode))
{
  m_client.Budget()->OnCut([this](const AnswerCut& aCut) {
    m_log.Write(LogEvent{
      LogLevel::Warn,
      "answer-cut",
      { { "request", aCut.m_request },
        { "held-bytes", std::to_string(aCut.m_heldBytes) },
        { "bound", aCut.m_isForUnreadStreams ? "unread-streams" : "all" },
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
  BoundCallers();
  // Until the operators' limits are known.
  SetLimits(CallerLimits());
  m_callerServer.SetHandler(
    [this](const auto& aExchange) { HandleCaller(aExchange); });
  m_directoryServer.SetHandler(
    [this](const auto& aExchange) { HandleDirectory(aExchange); });
  m_readinessServer.SetHandler(
    [this](const auto& aExchange) { HandleReadiness(aExchange); });
  m_metricsServer.SetHandler(
    [this](const auto& aExchange) { HandleMetrics(aExchange); });
  m_peers.SetHandler([this](const Envelope& aEnvelope) {
    if (std::optional<NodeNews> update = DecodeNodeNews(aEnvelope.m_payload)) {
      Dispatch(PeerUpdateReceived{ std::move(*update), aEnvelope.m_echo });
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
  m_loop.RunEvery(kTickPeriod, [this] {
    m_callerBudget->Tick(EventLoop::Now());
    LogLimitsReached();
    Dispatch(EntryTick{});
  });
  Dispatch(EntryTick{});
  return std::nullopt;
}

void EntryNode::BeginShutdown(Millis aNotBefore)
{
  Dispatch(StopRequested{ aNotBefore });
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

// Sets what is derived from the memory and the descriptors of the process.
void EntryNode::BoundCallers()
{
  struct Listener
  {
    const char* m_name;
    HttpServer& m_server;
    size_t m_parts;
  };
  const Listener listeners[] = {
    { "callers", m_callerServer, kCallerParts },
    { "directory", m_directoryServer, kDirectoryParts },
    { "readiness", m_readinessServer, kCheckParts },
    { "metrics", m_metricsServer, kCheckParts },
  };
  for (const Listener& listener : listeners) {
    HttpServerLimits limits;
    limits.m_maxConnections = Descriptors(listener.m_parts);
    listener.m_server.SetLimits(limits);
    listener.m_server.SetBudget(m_callerBudget);
    listener.m_server.SetHeadJudge([](const HttpExchange&) { return false; });
    listener.m_server.SetRejectionObserver(
      [this, name = listener.m_name](const HttpRejection& aRejection) {
        LogRejection(name, aRejection);
      });
    listener.m_server.SetEvictionObserver(
      [this, name = listener.m_name](const HttpEviction& aEviction) {
        LogEviction(name, aEviction);
      });
  }
  m_callerServer.SetHeadJudge([this](const HttpExchange& aExchange) {
    const Result<CallerRequest> decoded =
      m_binding.m_codec.m_decodeRequest(aExchange);
    const auto* request = std::get_if<CallerRequest>(&decoded);
    return request != nullptr &&
           !RefusalByHead(m_state, *request, aExchange.Path());
  });
  m_peers.SetLimits(Descriptors(kPeerParts),
                    m_settings.m_memoryBytes / kPeersMemoryDivisor);
}

size_t EntryNode::Descriptors(size_t aParts) const
{
  return m_settings.m_fileDescriptors * aParts / kDescriptorParts;
}

LogField EntryNode::NameClient(const HttpExchange* aHead,
                               const std::string& aAddress) const
{
  if (aHead != nullptr) {
    const Result<CallerRequest> decoded =
      m_binding.m_codec.m_decodeRequest(*aHead);
    if (const auto* request = std::get_if<CallerRequest>(&decoded)) {
      return NameCaller(m_state, request->m_accountKey, aAddress);
    }
  }
  return { "address", aAddress };
}

bool EntryNode::TakeRejectionLine()
{
  if (m_rejectionLines >= kMaxRejectionLines) {
    return false;
  }
  ++m_rejectionLines;
  return true;
}

void EntryNode::LogEviction(const char* aListener,
                            const HttpEviction& aEviction)
{
  if (!TakeRejectionLine()) {
    return;
  }
  m_log.Write(
    LogEvent{ LogLevel::Info,
              "connection-evicted",
              { { "state", aEviction.m_isIncomplete ? "incomplete" : "idle" },
                { "waited-ms", std::to_string(aEviction.m_waited.Count()) },
                { "listener", aListener },
                { "address", aEviction.m_address } } });
}

void EntryNode::LogRejection(const char* aListener,
                             const HttpRejection& aRejection)
{
  ++m_rejections;
  if (!TakeRejectionLine()) {
    return;
  }
  m_log.Write(LogEvent{
    LogLevel::Info,
    "request-unreadable",
    { { "path", aRejection.m_path },
      { "code", std::to_string(static_cast<uint16_t>(aRejection.m_code)) },
      { "listener", aListener },
      NameClient(aRejection.m_head, aRejection.m_address) } });
}

uint64_t EntryNode::CountClosedAtLimit() const
{
  return m_callerServer.ClosedAtLimit() + m_directoryServer.ClosedAtLimit() +
         m_readinessServer.ClosedAtLimit() + m_metricsServer.ClosedAtLimit() +
         m_peers.ClosedAtLimit();
}

uint64_t EntryNode::CountEvictions() const
{
  return m_callerServer.Evictions() + m_directoryServer.Evictions() +
         m_readinessServer.Evictions() + m_metricsServer.Evictions();
}

uint64_t EntryNode::CountAcceptFailures() const
{
  return m_callerServer.AcceptFailures() + m_directoryServer.AcceptFailures() +
         m_readinessServer.AcceptFailures() + m_metricsServer.AcceptFailures() +
         m_peers.AcceptFailures();
}

// Writes at most one line in a second, and only if a limit was reached.
void EntryNode::LogLimitsReached()
{
  const Millis now = EventLoop::Now();
  if (now - m_limitsLoggedAt < kSecond) {
    return;
  }
  m_limitsLoggedAt = now;
  m_rejectionLines = 0;
  const uint64_t reached =
    m_callerBudget->WaitCount() + m_callerBudget->RefusedCount() +
    CountClosedAtLimit() + CountEvictions() + CountAcceptFailures();
  if (std::exchange(m_limitsReached, reached) == reached) {
    return;
  }
  m_log.Write(LogEvent{
    LogLevel::Warn,
    "caller-limits-reached",
    { { "held-bytes", std::to_string(m_callerBudget->HeldBytes()) },
      { "max-bytes", std::to_string(m_callerBudget->MaxBytes()) },
      { "waiting", std::to_string(m_callerBudget->WaitingCount()) },
      { "waits", std::to_string(m_callerBudget->WaitCount()) },
      { "refused", std::to_string(m_callerBudget->RefusedCount()) },
      { "connections", std::to_string(m_callerServer.ConnectionCount()) },
      { "closed", std::to_string(CountClosedAtLimit()) },
      { "evicted", std::to_string(CountEvictions()) },
      { "accept-failures", std::to_string(CountAcceptFailures()) } } });
}

void EntryNode::SetLimits(const CallerLimits& aLimits)
{
  HttpServerLimits limits;
  limits.m_maxConnections = Descriptors(kCallerParts);
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
          [this,
           host = aProbe.m_server.m_host,
           asked = aProbe.m_server.Process(),
           requestedAt = EventLoop::Now()](Result<ServerRecord> aRecord) {
            Dispatch(
              ServerProbed{ host, asked, std::move(aRecord), requestedAt });
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
  for (const UpdateReceiver& receiver : aSend.m_receivers) {
    envelope.m_echo = receiver.m_echo;
    // A failed send is ignored: an unreachable node is detected by the absence
    // of its own messages.
    m_peers.Send(receiver.m_endpoint, envelope, [](bool) {});
  }
}

void EntryNode::HandleCaller(const std::shared_ptr<HttpExchange>& aExchange)
{
  Result<CallerRequest> decoded = m_binding.m_codec.m_decodeRequest(*aExchange);
  if (const Error* error = GetError(decoded)) {
    ++m_rejections;
    if (TakeRejectionLine()) {
      m_log.Write(LogEvent{ LogLevel::Info,
                            "request-unreadable",
                            { { "path", aExchange->Path() },
                              { "problem", error->m_detail },
                              { "address", aExchange->Address() } } });
    }
    aExchange->Respond(DescribeResultCode(error->m_code).m_httpStatus,
                       m_binding.m_codec.m_encodeOwnAnswer("", Millis()),
                       {});
    return;
  }
  RequestReceived received;
  received.m_handle = RequestHandle(++m_lastHandle);
  received.m_path = aExchange->Path();
  received.m_address = aExchange->Address();
  received.m_request = std::get<CallerRequest>(std::move(decoded));
  if (aExchange->IsBodyDropped() &&
      !RefusalByHead(m_state, received.m_request, received.m_path)) {
    // The configuration has changed since the body was dropped.
    aExchange->Respond(kUnavailable,
                       m_binding.m_codec.m_encodeOwnAnswer(
                         received.m_request.m_attemptName, Millis()),
                       {});
    return;
  }
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
  aExchange->OnClosed([this, handle = received.m_handle] {
    Dispatch(CallerLeft{ handle });
    if (const std::shared_ptr<GatewayRelay> relay = FindRelay(handle)) {
      relay->ResumeReading();
    }
  });
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

// Sets the metrics of the allocation between models.
void EntryNode::SetCapacityGauges()
{
  const CapacityStatus status = m_state.m_control.Capacity();
  std::map<std::string, double> gauges = {
    { "moves_begun", static_cast<double>(status.m_movesBegun) },
    { "moves_completed", static_cast<double>(status.m_movesCompleted) },
    { "moves_abandoned", static_cast<double>(status.m_movesAbandoned) },
    { "stage_orders", static_cast<double>(status.m_stageOrders) }
  };
  for (const ModelCapacity& model : status.m_models) {
    const std::string labels =
      "{service=\"" + EscapeLabel(model.m_service.Value()) + "\",model=\"" +
      EscapeLabel(model.m_model.Value()) + "\"}";
    gauges["demand_groups" + labels] = model.m_demand;
    gauges["serving_groups" + labels] = model.m_servingGroups;
    gauges["target_groups" + labels] = model.m_targetGroups;
  }
  m_metrics.ReplaceGauges("capacity_", gauges);
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
  m_metrics.SetGauge("store_checks",
                     static_cast<double>(m_state.m_storeChecks));
  m_metrics.SetGauge("caller_bytes_held",
                     static_cast<double>(m_callerBudget->HeldBytes()));
  m_metrics.SetGauge("caller_waits_for_memory",
                     static_cast<double>(m_callerBudget->WaitCount()));
  m_metrics.SetGauge("caller_refused_for_memory",
                     static_cast<double>(m_callerBudget->RefusedCount()));
  m_metrics.SetGauge("caller_requests_unreadable",
                     static_cast<double>(m_rejections));
  m_metrics.SetGauge("connections_closed_at_limit",
                     static_cast<double>(CountClosedAtLimit()));
  m_metrics.SetGauge(
    "unread_stream_bytes",
    static_cast<double>(m_client.Budget()->UnreadStreamBytes()));
  m_metrics.SetGauge("answers_cut",
                     static_cast<double>(m_client.Budget()->CutCount()));
  m_metrics.SetGauge("requests_refused_unrouted",
                     static_cast<double>(m_state.m_refusals));
  m_metrics.SetGauge("connections_evicted",
                     static_cast<double>(CountEvictions()));
  m_metrics.SetGauge("accept_failures",
                     static_cast<double>(CountAcceptFailures()));
  m_metrics.SetGauge("row_changes_missed",
                     static_cast<double>(m_state.m_missedChanges));
  m_metrics.SetGauge("holds_control", m_state.m_control.IsActive() ? 1 : 0);
  SetCapacityGauges();
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
