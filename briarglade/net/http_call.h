// One call of an HttpClient in progress.

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "briarglade/base/endpoint.h"
#include "briarglade/net/http_client.h"

struct evhttp_request;
struct evbuffer;

namespace briarglade {

class Timer;

class HttpCall : public std::enable_shared_from_this<HttpCall>
{
public:
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  // Gives the call up: the connection is closed and m_onEnd gets the reason,
  // from the loop. Safe at any time, also from the call's own callbacks.
  void Cancel(ExchangeEnd aReason = ExchangeEnd::Cancelled);
  // Stops or resumes reading the answer, for back pressure.
  void PauseReading();
  void ResumeReading();
  bool HasEnded() const { return m_ended; }

private:
  friend class HttpClient;
  HttpCall(HttpClient& aClient, HttpCallSpec aSpec);

  void Begin();
  void End(HttpCallEnd aEnd, bool aKeepConnection);
  void ReleaseRequest();
  // Ends the call without a word, since the client is being destroyed.
  void Abandon();
  void EndSoon(ExchangeEnd aEnd);
  ExchangeEnd FailureKind() const;
  void WatchSilence();
  void OnIdleTimer();
  static int OnHead(evhttp_request* aRequest, void* aSelf);
  static void OnData(evhttp_request* aRequest, void* aSelf);
  static void OnDone(evhttp_request* aRequest, void* aSelf);

  HttpClient& m_client;
  HttpCallSpec m_spec;
  std::unique_ptr<PooledConnection> m_connection;
  std::unique_ptr<Timer> m_timer;
  std::unique_ptr<Timer> m_idleTimer;
  Millis m_lastDataAt;
  evhttp_request* m_request = nullptr;
  uint16_t m_status = 0;
  bool m_delimited = false;
  bool m_isPaused = false;
  bool m_ended = false;
  bool m_ending = false;
};

} // namespace briarglade
