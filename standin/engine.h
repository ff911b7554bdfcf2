// A stand-in for one model engine: streams tokens made from the prompt,
// publishes its state with a lag, obeys orders, falls over when cold and
// overloaded.
//
//   POST /v1/chat/completions    the chat-completions format, streamed or not
//   GET  /v1/engine/state        boot, group, generation, phase, load, uptime
//   POST /v1/engine/orders       join, drain or release a group
//
// Answers echo Briarglade-Attempt. A refusal (429, 503) ran nothing.

#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "briarglade/base/millis.h"
#include "briarglade/net/http_server.h"

namespace briarglade {
class EventLoop;
class HttpExchange;
class Timer;
}

namespace briarglade::standin {

struct EngineOptions
{
  std::string m_host;
  std::string m_ip = "127.0.0.1";
  // 0 lets the kernel choose.
  uint16_t m_port = 0;
  bool m_checksFencing = false;
  // Requests that a cold engine bears before it falls over.
  uint32_t m_coldLimit = 4;
  Millis m_coldTime = Millis(5'000);
  // Requests that run at once when warm; more wait in the engine.
  uint32_t m_warmLimit = 256;
  Millis m_stepTime = Millis(10);
  Millis m_prefillTime = Millis(20);
  Millis m_loadLag = Millis(500);
  Millis m_modelLoadTime = Millis(500);
  Millis m_restartTime = Millis(1'000);
};

// Faults that an administrator can switch on; all off at first.
struct EngineFaults
{
  // Cuts each stream after so many tokens; zero: never.
  uint32_t m_cutAfterTokens = 0;
  // Answers with another attempt id.
  bool m_wrongAttempt = false;
  bool m_refuse = false;
  // Obeys no order but says it did.
  bool m_ignoreOrders = false;
};

class Engine
{
public:
  Engine(EventLoop& aLoop, EngineOptions aOptions);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  uint16_t Port() const { return m_port; }
  const std::string& Host() const { return m_options.m_host; }
  void SetFaults(const EngineFaults& aFaults) { m_faults = aFaults; }
  // Drops everything at once and starts again, cold, after a while. A zero time
  // means the configured restart time.
  void Crash(Millis aDownTime);
  uint64_t CrashCount() const { return m_crashes; }
  uint64_t CancelledCount() const { return m_cancelled; }
  uint64_t ServedCount() const { return m_served; }
  // Unix milliseconds of the last request that was taken.
  int64_t LastRequestAt() const { return m_lastRequestAt; }

private:
  struct Stream;

  void Start();
  void Handle(const std::shared_ptr<HttpExchange>& aExchange);
  void HandleChat(const std::shared_ptr<HttpExchange>& aExchange);
  void HandleState(const std::shared_ptr<HttpExchange>& aExchange);
  void HandleOrder(const std::shared_ptr<HttpExchange>& aExchange);
  void Step();
  bool Advance(Stream& aStream);
  void SampleLoad();
  bool IsCold() const;

  EventLoop& m_loop;
  EngineOptions m_options;
  EngineFaults m_faults;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<Timer> m_stepTimer;
  std::unique_ptr<Timer> m_loadTimer;
  std::unique_ptr<Timer> m_orderTimer;
  std::unique_ptr<Timer> m_restartTimer;
  std::list<std::unique_ptr<Stream>> m_streams;
  uint16_t m_port = 0;
  bool m_up = false;

  std::string m_boot;
  Millis m_startedAt;
  std::string m_group;
  uint64_t m_generation = 0;
  std::string m_model;
  std::string m_phase = "idle";
  uint32_t m_rank = 0;
  uint64_t m_fencing = 0;
  uint32_t m_publishedLoad = 0;
  Millis m_publishedAt;
  uint64_t m_crashes = 0;
  uint64_t m_cancelled = 0;
  uint64_t m_served = 0;
  int64_t m_lastRequestAt = 0;
};

} // namespace briarglade::standin
