// The stand-in engine.

#include "standin/engine.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"
#include "standin/completion_text.h"

namespace briarglade::standin {

namespace {

using nlohmann::json;

// A prompt that holds this text takes down each engine that runs it.
constexpr char kHarmfulMarker[] = "HARMFUL";
constexpr uint32_t kDefaultTokens = 32;

int64_t UnixMillis()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void RespondJson(HttpExchange& aExchange, uint16_t aStatus, const json& aBody)
{
  aExchange.Respond(
    aStatus, { { "Content-Type", "application/json" } }, aBody.dump());
}

void Refuse(HttpExchange& aExchange, uint16_t aStatus, const char* aReason)
{
  aExchange.Respond(aStatus,
                    { { kOutcomeHeader, "not-run" },
                      { kAttemptIdHeader, aExchange.Header(kAttemptIdHeader) },
                      { "Retry-After", "1" } },
                    aReason);
}

std::string PromptOf(const json& aBody)
{
  if (!aBody.contains("messages") || !aBody["messages"].is_array() ||
      aBody["messages"].empty()) {
    return {};
  }
  const json& last = aBody["messages"].back();
  return last.is_object() ? last.value("content", "") : std::string();
}

std::string ChunkEvent(const std::string& aToken)
{
  return "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":"
         "0,\"delta\":{\"content\":\"" +
         aToken + "\"}}]}\n\n";
}

} // namespace

struct Engine::Stream
{
  std::shared_ptr<HttpExchange> m_exchange;
  std::string m_prompt;
  uint32_t m_next = 0;
  uint32_t m_first = 0;
  uint32_t m_total = 0;
  bool m_streaming = false;
  // The caller has left, or the answer has ended: dropped at the next step.
  bool m_gone = false;
  bool m_isPrefilled = false;
  std::unique_ptr<Timer> m_prefill;
};

Engine::Engine(EventLoop& aLoop, EngineOptions aOptions)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_stepTimer(aLoop.MakeTimer([this] { Step(); }))
  , m_loadTimer(aLoop.MakeTimer([this] { SampleLoad(); }))
  , m_orderTimer(aLoop.MakeTimer([this] { m_phase = "ready"; }))
  , m_restartTimer(aLoop.MakeTimer([this] { Start(); }))
{
  HttpServerLimits limits;
  limits.m_idleTime = Millis(600'000);
  m_server = std::make_unique<HttpServer>(aLoop, limits);
  m_server->SetHandler([this](const std::shared_ptr<HttpExchange>& aExchange) {
    Handle(aExchange);
  });
  m_port = m_options.m_port;
  Start();
}

Engine::~Engine()
{
  // Connections end before the streams that they refer to.
  m_server.reset();
}

void Engine::Start()
{
  m_port = m_server->Listen(Endpoint{ m_options.m_ip, m_port });
  m_up = true;
  m_startedAt = EventLoop::Now();
  m_boot = m_options.m_host + "-" + std::to_string(UnixMillis());
  m_group.clear();
  m_model.clear();
  m_generation = 0;
  m_phase = "idle";
  m_publishedLoad = 0;
  m_publishedAt = m_startedAt;
  m_stepTimer->Start(m_options.m_stepTime);
  m_loadTimer->Start(m_options.m_loadLag);
}

void Engine::Crash(Millis aDownTime)
{
  if (!m_up) {
    return;
  }
  m_up = false;
  ++m_crashes;
  m_orderTimer->Stop();
  m_stepTimer->Stop();
  m_loadTimer->Stop();
  const Millis downTime =
    aDownTime == Millis() ? m_options.m_restartTime : aDownTime;
  m_loop.Defer([this] {
    m_server->StopListening();
    m_server->CloseConnections();
    m_streams.clear();
  });
  m_restartTimer->Start(downTime);
}

bool Engine::IsCold() const
{
  return EventLoop::Now() - m_startedAt < m_options.m_coldTime;
}

void Engine::Handle(const std::shared_ptr<HttpExchange>& aExchange)
{
  if (!m_up) {
    aExchange->Abort();
    return;
  }
  if (aExchange->Path() == "/v1/chat/completions") {
    HandleChat(aExchange);
  } else if (aExchange->Path() == "/v1/engine/state") {
    HandleState(aExchange);
  } else if (aExchange->Path() == "/v1/engine/orders") {
    HandleOrder(aExchange);
  } else {
    aExchange->Respond(404, {}, "unknown path");
  }
}

void Engine::HandleChat(const std::shared_ptr<HttpExchange>& aExchange)
{
  const json body = json::parse(aExchange->Body(), nullptr, false);
  if (!body.is_object()) {
    Refuse(*aExchange, 400, "not JSON");
    return;
  }
  if (m_phase != "ready" || m_rank != 0 || m_faults.m_refuse) {
    Refuse(*aExchange, 503, "not serving");
    return;
  }
  if (IsCold() && m_streams.size() >= m_options.m_coldLimit) {
    Crash(Millis());
    return;
  }
  auto stream = std::make_unique<Stream>();
  stream->m_prompt = PromptOf(body);
  if (stream->m_prompt.find(kHarmfulMarker) != std::string::npos) {
    Crash(Millis());
    return;
  }
  stream->m_exchange = aExchange;
  stream->m_first = static_cast<uint32_t>(
    std::strtoul(aExchange->Header(kResumeHeader).c_str(), nullptr, 10));
  stream->m_next = stream->m_first;
  stream->m_total = body.value("max_tokens", kDefaultTokens);
  stream->m_streaming = body.value("stream", false);
  m_lastRequestAt = UnixMillis();
  ++m_served;

  std::string attempt = aExchange->Header(kAttemptIdHeader);
  if (m_faults.m_wrongAttempt) {
    attempt += "-other";
  }
  if (stream->m_streaming) {
    aExchange->StartStream(200,
                           { { "Content-Type", "text/event-stream" },
                             { kAttemptIdHeader, attempt } });
  }
  Stream* raw = stream.get();
  aExchange->OnClosed([this, raw] {
    raw->m_gone = true;
    ++m_cancelled;
  });
  // The first token comes with the end of the prefill, the others step by step.
  raw->m_prefill = m_loop.MakeTimer([this, raw] {
    raw->m_isPrefilled = true;
    raw->m_gone = !Advance(*raw);
  });
  raw->m_prefill->Start(m_options.m_prefillTime);
  m_streams.push_back(std::move(stream));
}

bool Engine::Advance(Stream& aStream)
{
  if (aStream.m_gone) {
    return false;
  }
  if (!aStream.m_isPrefilled) {
    return true;
  }
  if (m_faults.m_cutAfterTokens > 0 &&
      aStream.m_next - aStream.m_first >= m_faults.m_cutAfterTokens) {
    aStream.m_exchange->Abort();
    return false;
  }
  if (aStream.m_next < aStream.m_total) {
    if (aStream.m_streaming) {
      aStream.m_exchange->Write(
        ChunkEvent(CompletionToken(aStream.m_prompt, aStream.m_next)));
    }
    ++aStream.m_next;
    return true;
  }
  if (aStream.m_streaming) {
    aStream.m_exchange->Write("data: [DONE]\n\n");
    aStream.m_exchange->EndStream();
    return false;
  }
  const json answer = {
    { "object", "chat.completion" },
    { "choices",
      { { { "index", 0 },
          { "message",
            { { "role", "assistant" },
              { "content",
                CompletionText(aStream.m_prompt, aStream.m_total) } } } } } }
  };
  aStream.m_exchange->Respond(
    200,
    { { "Content-Type", "application/json" },
      { kAttemptIdHeader, aStream.m_exchange->Header(kAttemptIdHeader) } },
    answer.dump());
  return false;
}

void Engine::Step()
{
  m_stepTimer->Start(m_options.m_stepTime);
  uint32_t running = 0;
  for (auto stream = m_streams.begin(); stream != m_streams.end();) {
    if (running >= m_options.m_warmLimit && !(*stream)->m_gone) {
      break;
    }
    ++running;
    stream = Advance(**stream) ? std::next(stream) : m_streams.erase(stream);
  }
}

void Engine::SampleLoad()
{
  m_publishedLoad = static_cast<uint32_t>(m_streams.size());
  m_publishedAt = EventLoop::Now();
  m_loadTimer->Start(m_options.m_loadLag);
}

void Engine::HandleState(const std::shared_ptr<HttpExchange>& aExchange)
{
  const Millis now = EventLoop::Now();
  RespondJson(*aExchange,
              200,
              { { "host", m_options.m_host },
                { "boot", m_boot },
                { "group", m_group },
                { "generation", m_generation },
                { "model", m_model },
                { "phase", m_phase },
                { "fencing", m_fencing },
                { "load", m_publishedLoad },
                { "load_age_ms", (now - m_publishedAt).Count() },
                { "uptime_ms", (now - m_startedAt).Count() },
                { "step_ms", m_options.m_stepTime.Count() } });
}

void Engine::HandleOrder(const std::shared_ptr<HttpExchange>& aExchange)
{
  const json order = json::parse(aExchange->Body(), nullptr, false);
  if (!order.is_object()) {
    Refuse(*aExchange, 400, "not JSON");
    return;
  }
  const uint64_t fencing = order.value("fencing", uint64_t{ 0 });
  if (m_options.m_checksFencing && fencing < m_fencing) {
    Refuse(*aExchange, 409, "old fencing token");
    return;
  }
  if (m_options.m_checksFencing) {
    m_fencing = fencing;
  }
  if (!m_faults.m_ignoreOrders) {
    const std::string kind = order.value("kind", "");
    if (kind == "join") {
      const std::string model = order.value("model", "");
      const bool reload = model != m_model || m_phase == "idle";
      m_group = order.value("group", "");
      m_generation = order.value("generation", uint64_t{ 0 });
      m_rank = order.value("rank", 0U);
      m_model = model;
      m_phase = reload ? "loading" : "ready";
      if (reload) {
        m_orderTimer->Start(m_options.m_modelLoadTime);
      }
    } else if (kind == "drain" && !m_group.empty()) {
      m_phase = "draining";
    } else if (kind == "release") {
      m_group.clear();
      m_generation = 0;
      m_model.clear();
      m_phase = "idle";
      m_orderTimer->Stop();
    }
  }
  RespondJson(*aExchange, 200, { { "ok", true } });
}

} // namespace briarglade::standin
