// One caller's request while it is served: the exchange with the caller and the
// call to the backend server, with the answer's bytes on their way between
// them.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "briarglade/net/http_client.h"
#include "briarglade/routing/request_event.h"
#include "briarglade/routing/sse_parser.h"

namespace briarglade {

class HttpCall;
class HttpExchange;
class LatencyHistogram;

// What the relay reports, each from the loop.
struct RelayHooks
{
  std::function<void(const AttemptAnswerBegan&)> m_onBegan;
  std::function<void(const AttemptEnded&)> m_onEnded;
};

// Where a request's latencies are recorded.
struct RelayHistograms
{
  LatencyHistogram* m_firstToken = nullptr;
  LatencyHistogram* m_betweenTokens = nullptr;
  LatencyHistogram* m_queueWait = nullptr;
  LatencyHistogram* m_total = nullptr;
};

class Relay
{
public:
  Relay(RequestArrived aRequest,
        std::shared_ptr<HttpExchange> aCaller,
        RelayHooks aHooks,
        RelayHistograms aHistograms);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const RequestArrived& Request() const { return m_request; }

  // Sends the request to a backend server. An earlier attempt must have ended.
  void Start(HttpClient& aClient, const StartAttempt& aStart, Millis aNow);
  // Gives an attempt up. Its end is still reported.
  void Cancel(const AttemptId& aAttempt);
  // Tells the caller the final word. The relay is done afterwards.
  void Finish(const FinishRequest& aFinish);

private:
  void OnHead(const HttpAnswerHead& aHead);
  void OnData(std::string_view aData);
  void OnStreamData(std::string_view aData);
  void OnEnd(const HttpCallEnd& aEnd);
  void ReportEnd(ExchangeEnd aEnd);
  ExchangeEnd JudgeEnd(const HttpCallEnd& aEnd) const;
  void NoteTokens(uint32_t aTokens);
  void NoteQueueWait();
  void Refuse(const FinishRequest& aFinish);
  HttpHeaders OwnHeaders(ResultCode aCode) const;

  RequestArrived m_request;
  std::shared_ptr<HttpExchange> m_caller;
  RelayHooks m_hooks;
  RelayHistograms m_histograms;
  std::string m_method;
  std::string m_path;
  std::string m_body;

  // The present attempt.
  AttemptId m_attempt;
  std::shared_ptr<HttpCall> m_call;
  SseParser m_parser;
  HttpAnswerHead m_head;
  bool m_rightAttempt = false;
  bool m_streamEnded = false;
  bool m_streamBroken = false;

  // The answer to the caller.
  bool m_streamStarted = false;
  uint32_t m_tokensDelivered = 0;
  uint16_t m_answerStatus = 0;
  std::string m_answerBody;
  std::string m_answerType;
  int64_t m_arrivedAtMicros;
  bool m_wasStarted = false;
  int64_t m_lastTokenAtMicros = 0;
};

} // namespace briarglade
