// One call of an HttpClient in progress.

#pragma once

#include <memory>
#include <optional>
#include <string>

#include "briarglade/base/millis.h"
#include "briarglade/net/http_client.h"
#include "briarglade/net/internal/http_message_parser.h"

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
  friend class PooledConnection;
  HttpCall(HttpClient& aClient, HttpCallSpec aSpec);

  void Begin();
  void SendRequest();
  void End(HttpCallEnd aEnd, bool aKeepConnection);
  void EndSoon(ExchangeEnd aEnd);
  // Ends the call without a word, since the client is being destroyed.
  void Abandon();
  ExchangeEnd FailureKind() const;
  ExchangeTrace Trace() const;
  void TellHead();
  void TellData(std::string_view aData);
  void FinishWhole();
  void ExpectAnswer();
  Millis KeepFor() const;
  void WatchSilence();
  void OnIdleTimer();

  // From the connection.
  void OnConnected();
  void OnReadable();
  bool ReadAnswer();
  void OnClosed(bool aOrderly);

  HttpClient& m_client;
  HttpCallSpec m_spec;
  std::unique_ptr<PooledConnection> m_connection;
  std::unique_ptr<Timer> m_timer;
  std::unique_ptr<Timer> m_idleTimer;
  std::optional<internal::HttpMessageParser<false>> m_parser;
  HttpAnswerHead m_head;
  Millis m_lastDataAt;
  bool m_isNewConnection = false;
  bool m_headTold = false;
  // Bytes of interim answers, and of answers to other requests.
  size_t m_interimBytes = 0;
  size_t m_passedOverBytes = 0;
  uint32_t m_passedOverAnswers = 0;
  // The answer that is being read belongs to another request.
  bool m_isPassedOver = false;
  bool m_isPaused = false;
  bool m_ended = false;
  bool m_ending = false;
};

} // namespace briarglade
