// The callers' side of a node: takes requests in, keeps their relays, and gives
// each its final word.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "briarglade/base/ids.h"
#include "briarglade/base/result.h"
#include "briarglade/base/unique_ids.h"
#include "briarglade/core/event.h"
#include "briarglade/node/caller_api.h"

namespace briarglade {

class HttpClient;
class HttpExchange;
class Log;
class Metrics;
class Relay;

class CallerFront
{
public:
  CallerFront(HttpClient& aClient,
              Log& aLog,
              Metrics& aMetrics,
              UniqueIds aIds,
              std::function<void(EventBody)> aDispatch);
  ~CallerFront();
  CallerFront(const CallerFront&) = delete;
  CallerFront& operator=(const CallerFront&) = delete;

  // Takes a configuration that is now in force.
  void SetFleet(const FleetConfig& aFleet) { m_api.SetFleet(aFleet); }
  // Refuses all further requests with ShuttingDown.
  void Close() { m_closed = true; }
  size_t InFlight() const { return m_relays.size(); }

  // Takes a request in.
  void Handle(const std::shared_ptr<HttpExchange>& aExchange);
  // Counts and logs a request that the listener refused by itself.
  void NoteRejection(ResultCode aCode, const std::string& aPath);

  // Effects of the decision core.
  void Carry(const StartAttempt& aStart);
  void Carry(const CancelAttempt& aCancel);
  void Carry(const FinishRequest& aFinish);

private:
  void Refuse(HttpExchange& aExchange,
              const RequestId& aRequest,
              const Error& aError);
  void OnAttemptEnded(const AttemptEnded& aEnded);

  HttpClient& m_client;
  Log& m_log;
  Metrics& m_metrics;
  UniqueIds m_ids;
  std::function<void(EventBody)> m_dispatch;
  CallerApi m_api;
  bool m_closed = false;
  std::unordered_map<RequestId, std::shared_ptr<Relay>> m_relays;
  // The relays of the attempts in flight.
  std::unordered_map<AttemptId, std::weak_ptr<Relay>> m_attempts;
  // Relays that may still be on the stack.
  std::shared_ptr<Relay> m_finished;
};

} // namespace briarglade
