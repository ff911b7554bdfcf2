// One server of the users' platform.

#include "standin/platform_server.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"
#include "briarglade/net/http_server.h"
#include "platform/wire_names.h"
#include "standin/completion_text.h"
#include "standin/group_audit.h"
#include "standin/platform_store.h"

namespace briarglade::standin {

using nlohmann::json;
using namespace platform;

namespace {

constexpr uint16_t kOk = 200;
constexpr uint16_t kAccepted = 202;
constexpr uint16_t kBadRequest = 400;
constexpr uint16_t kMisdirected = 421;
constexpr uint16_t kServerError = 500;
constexpr uint16_t kUnavailable = 503;
constexpr char kHealthPath[] = "/health";
constexpr uint64_t kDefaultEvents = 20;
constexpr Millis kIdleTime = Millis(30'000);

int64_t UnixMillis()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

PlatformServer::PlatformServer(EventLoop& aLoop,
                               PlatformStore& aStore,
                               GroupAudit& aAudit,
                               PlatformServerOptions aOptions)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_audit(aAudit)
  , m_options(std::move(aOptions))
  , m_stepTimer(aLoop.MakeTimer([this] { Step(); }))
  , m_heartbeatTimer(aLoop.MakeTimer([this] { Register(); }))
  , m_restartTimer(aLoop.MakeTimer([this] { Start(); }))
  , m_later(aLoop)
  , m_calls(aLoop)
{
  HttpServerLimits limits;
  limits.m_idleTime = kIdleTime;
  m_server = std::make_unique<HttpServer>(aLoop, limits);
  m_server->SetHandler(
    [this](const Exchange& aExchange) { Handle(aExchange); });
  if (m_options.m_member) {
    m_member.emplace(*m_options.m_member);
  }
  Start();
}

PlatformServer::~PlatformServer()
{
  // Connections end before the streams that they refer to.
  m_server.reset();
}

void PlatformServer::Start()
{
  m_port = m_server->Listen(Endpoint{ "127.0.0.1", m_port });
  m_isUp = true;
  m_isDraining = false;
  m_isUnlisted = false;
  m_leftAt.reset();
  m_lateCalls.clear();
  m_startedAt = UnixMillis();
  if (m_id.empty()) {
    ++m_starts;
    m_id = m_nextId.empty() ? m_options.m_host + "." + std::to_string(m_starts)
                            : std::exchange(m_nextId, {});
  }
  if (m_member) {
    m_member->Start(m_id);
    m_audit.Add(*m_member);
  }
  m_stalledSince.reset();
  Register();
  m_stepTimer->Start(m_options.m_stepTime);
}

void PlatformServer::Crash(const PlatformServerCrash& aCrash)
{
  if (!m_isUp) {
    return;
  }
  m_isUp = false;
  m_audit.Remove(m_id);
  m_stepTimer->Stop();
  m_heartbeatTimer->Stop();
  const std::string id = m_id;
  m_nextId = aCrash.m_nextId;
  if (!aCrash.m_keepsId) {
    m_id.clear();
  }
  // A crash says nothing: the store finds out by the missing heartbeats.
  const Millis lapse = aCrash.m_lapse.value_or(m_options.m_heartbeat * 3);
  const bool returnsFirst = aCrash.m_keepsId && aCrash.m_downTime >= Millis() &&
                            aCrash.m_downTime < lapse;
  if (!returnsFirst) {
    m_later.After(lapse, [this, id] {
      if (!m_isUp || m_id != id) {
        m_store.Remove(kServersTable, id);
      }
    });
  }
  m_loop.Defer([this] { Stop(); });
  if (aCrash.m_downTime >= Millis()) {
    m_restartTimer->Start(aCrash.m_downTime);
  }
}

void PlatformServer::Stop()
{
  m_server->StopListening();
  m_server->CloseConnections();
  m_streams.clear();
  m_calls.Clear();
}

void PlatformServer::Drain()
{
  m_isDraining = true;
  TellStore();
}

void PlatformServer::Unlist()
{
  m_isUnlisted = true;
  m_store.Remove(kServersTable, m_id);
  m_leftAt = EventLoop::Now();
}

// Writes the entry and does so again after a heartbeat.
void PlatformServer::Register()
{
  json entry = m_member ? m_member->Describe() : json::object();
  entry["service"] = m_options.m_service;
  entry["address"] = Endpoint{ "127.0.0.1", m_port }.ToString();
  entry["zone"] = m_options.m_zone;
  entry["version"] = "stand-in";
  entry["slots"] = m_options.m_slots;
  entry["state"] = m_isDraining ? "draining" : "ready";
  entry["cold_remaining_ms"] = 0;
  entry["born"] = m_startedAt;
  entry.emplace("sequence", 0);
  // The store holds the entry as it is only while more than a counter changes.
  const std::string text = entry.dump();
  const bool isWritten = !m_faults.m_keepsEntry && !m_isUnlisted;
  if (isWritten && m_store.Find(kServersTable, m_id) != text) {
    m_store.Put(kServersTable, m_id, text);
  }
  if (isWritten && m_isDraining && !m_leftAt) {
    m_leftAt = EventLoop::Now();
  }
  m_heartbeatTimer->Start(m_options.m_heartbeat);
}

void PlatformServer::TellStore()
{
  m_later.After(m_options.m_reportLag, [this] {
    if (m_isUp) {
      Register();
    }
  });
}

std::string PlatformServer::SignedBy() const
{
  return m_id + "." + std::to_string(m_served);
}

std::string PlatformServer::AnsweredAttempt(const Exchange& aExchange) const
{
  const std::string attempt = aExchange->Header(kAttemptHeader);
  return m_faults.m_wrongAttempt ? attempt + "-other" : attempt;
}

// Returns the headers that every answer to a request bears.
HttpHeaders PlatformServer::OwnHeaders(const Exchange& aExchange) const
{
  HttpHeaders headers{ { kAttemptHeader, AnsweredAttempt(aExchange) } };
  if (m_isDraining || m_faults.m_saysLeaving) {
    headers.push_back({ kLeavingHeader, "1" });
  }
  return headers;
}

void PlatformServer::Refuse(const Exchange& aExchange, uint16_t aStatus)
{
  HttpHeaders headers = OwnHeaders(aExchange);
  headers.push_back({ kNotRunHeader, "1" });
  headers.push_back({ kServerHeader, m_id });
  if (m_faults.m_pause > Millis()) {
    constexpr int64_t kMillisPerSecond = 1'000;
    headers.push_back(
      { "Retry-After",
        std::to_string(m_faults.m_pause.Count() / kMillisPerSecond) });
  }
  aExchange->Respond(aStatus, headers, {});
}

void PlatformServer::Handle(const Exchange& aExchange)
{
  if (!m_isUp) {
    aExchange->Abort();
    return;
  }
  if (aExchange->Path() == kReportPath) {
    // As on the platform, also if another server is expected.
    HandleReport(aExchange);
    return;
  }
  const std::string expected = aExchange->Header(kExpectedServerHeader);
  if (!expected.empty() && expected != m_id) {
    Refuse(aExchange, kMisdirected);
  } else if (aExchange->Path() == kOrderPath) {
    HandleOrder(aExchange);
  } else if (aExchange->Path() == kHealthPath) {
    HandleHealth(aExchange);
  } else if (RefusesRequest(aExchange)) {
    return;
  } else if (m_member) {
    HandleStream(aExchange);
  } else {
    HandleCall(aExchange);
  }
}

// Refuses a request that can't run here.
bool PlatformServer::RefusesRequest(const Exchange& aExchange)
{
  const bool serves = !m_member || m_member->Phase() == GroupPhase::Open;
  const bool isFull = m_streams.size() + m_calls.Size() >= m_options.m_slots;
  uint16_t status = 0;
  if (aExchange->Header(kAttemptHeader).empty()) {
    status = kBadRequest;
  } else if (m_member && !m_member->IsHead()) {
    status = kMisdirected;
  } else if (!serves || isFull || m_faults.m_pause > Millis()) {
    status = kUnavailable;
  }
  if (status != 0) {
    Refuse(aExchange, status);
  }
  return status != 0;
}

void PlatformServer::HandleReport(const Exchange& aExchange)
{
  json report = m_member ? m_member->Describe() : json::object();
  report["stage"] = "both";
  report["running"] = m_streams.size();
  report["waiting"] = 0;
  report["pace"] = 1.0;
  report["born"] = m_startedAt;
  const auto answer = [aExchange, text = report.dump()] {
    aExchange->Respond(kOk, { { "Content-Type", "application/json" } }, text);
  };
  if (m_faults.m_reportDelay > Millis()) {
    m_later.After(m_faults.m_reportDelay, answer);
  } else {
    answer();
  }
}

void PlatformServer::HandleHealth(const Exchange& aExchange)
{
  aExchange->Respond(m_isDraining ? kUnavailable : kOk,
                     { { kServerHeader, m_id },
                       { kLoadHeader,
                         std::to_string(m_streams.size()) + ",0," +
                           std::to_string(m_options.m_slots) } },
                     {});
}

uint16_t PlatformServer::CarryOut(const json& aOrder)
{
  if (!m_member) {
    return kBadRequest;
  }
  const Millis now = EventLoop::Now();
  const bool isJoin =
    aOrder.is_object() && aOrder.value("operation", "") == "join";
  // A join that is refused takes nobody out of a group.
  if (isJoin && PlatformMember(*m_member).Take(now, aOrder) == kAccepted) {
    m_audit.BeforeJoin(*m_member, aOrder.value("group", ""));
  }
  const uint16_t status = m_member->Take(now, aOrder);
  if (m_member->Phase() != GroupPhase::Open) {
    FailStreams();
  }
  TellStore();
  return status;
}

void PlatformServer::HandleOrder(const Exchange& aExchange)
{
  const json order = json::parse(aExchange->Body(), nullptr, false);
  if (m_faults.m_orderLag > Millis()) {
    m_later.After(m_faults.m_orderLag, [this, order, id = m_id] {
      if (m_isUp && m_id == id) {
        CarryOut(order);
      }
    });
    return;
  }
  aExchange->Respond(CarryOut(order), {}, {});
}

void PlatformServer::HandleCall(const Exchange& aExchange)
{
  ++m_served;
  const std::string attempt = aExchange->Header(kAttemptHeader);
  ++m_runs[attempt];
  if (m_leftAt) {
    m_lateCalls[attempt] = EventLoop::Now() - *m_leftAt;
  }
  m_calls.After(m_options.m_runTime + m_faults.m_delay, [this, aExchange] {
    if (m_faults.m_cutAfterRun) {
      aExchange->Abort();
      return;
    }
    HttpHeaders headers = OwnHeaders(aExchange);
    headers.push_back({ kSignatureHeader, SignedBy() });
    aExchange->Respond(
      m_faults.m_fails ? kServerError : kOk, headers, aExchange->Body());
  });
}

void PlatformServer::HandleStream(const Exchange& aExchange)
{
  const json body = json::parse(aExchange->Body(), nullptr, false);
  if (!body.is_object()) {
    Refuse(aExchange, kBadRequest);
    return;
  }
  m_audit.BeforeRun(*m_member);
  ++m_served;
  Stream stream;
  stream.m_exchange = aExchange;
  stream.m_text = body.value("text", "");
  stream.m_first =
    std::strtoull(aExchange->Header(kLastEventHeader).c_str(), nullptr, 10);
  stream.m_last = stream.m_first;
  stream.m_total = body.value("events", kDefaultEvents);
  m_streams.push_back(std::move(stream));
  Stream& kept = m_streams.back();
  aExchange->OnClosed([&kept] { kept.m_isGone = true; });
}

void PlatformServer::Step()
{
  m_stepTimer->Start(m_options.m_stepTime + m_faults.m_delay);
  if (!m_member) {
    return;
  }
  const Millis now = EventLoop::Now();
  if (m_member->Advance(now)) {
    if (m_member->Phase() == GroupPhase::Ready) {
      m_audit.NoteReady(*m_member);
    }
    TellStore();
  }
  const bool serves =
    m_member->IsHead() && m_member->Phase() == GroupPhase::Open;
  if (!serves) {
    return;
  }
  if (m_audit.IsWhole(*m_member)) {
    m_stalledSince.reset();
    StepStreams();
    return;
  }
  m_stalledSince = m_stalledSince.value_or(now);
  if (now - *m_stalledSince >= m_options.m_stallTime) {
    m_member->Break();
    FailStreams();
    TellStore();
  }
}

void PlatformServer::StepStreams()
{
  for (auto stream = m_streams.begin(); stream != m_streams.end();) {
    stream = Advance(*stream) ? std::next(stream) : m_streams.erase(stream);
  }
}

// Writes the next event. Returns false once the stream has ended.
bool PlatformServer::Advance(Stream& aStream)
{
  if (aStream.m_isGone) {
    return false;
  }
  const bool isCut =
    m_faults.m_cutAfterEvents > 0 &&
    aStream.m_last - aStream.m_first >= m_faults.m_cutAfterEvents;
  if (isCut) {
    // In the midst of an event.
    aStream.m_exchange->Write("id: ");
    aStream.m_exchange->Abort();
    return false;
  }
  if (!aStream.m_hasBegun) {
    aStream.m_hasBegun = true;
    HttpHeaders headers = OwnHeaders(aStream.m_exchange);
    headers.push_back({ "Content-Type", "text/event-stream" });
    headers.push_back({ kSignatureHeader, SignedBy() });
    aStream.m_exchange->StartStream(kOk, headers);
  }
  if (aStream.m_last >= aStream.m_total) {
    aStream.m_exchange->EndStream();
    return false;
  }
  ++aStream.m_last;
  aStream.m_exchange->Write(
    "id: " + std::to_string(aStream.m_last) + "\ndata:" +
    CompletionToken(aStream.m_text, static_cast<uint32_t>(aStream.m_last)) +
    "\n\n");
  return true;
}

// Ends what runs when the group no longer serves.
void PlatformServer::FailStreams()
{
  for (Stream& stream : m_streams) {
    if (stream.m_isGone) {
      continue;
    }
    if (stream.m_hasBegun) {
      stream.m_exchange->Abort();
    } else {
      Refuse(stream.m_exchange, kUnavailable);
    }
  }
  m_streams.clear();
}

} // namespace briarglade::standin
