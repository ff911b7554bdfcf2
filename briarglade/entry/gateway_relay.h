// One caller's request at the gateway while it is served: the exchange with the
// caller and the one with the present server, and the answer's bytes on their
// way between them.
//
// Only whole events of a stream are passed on, and an answer that isn't a
// stream only as a whole. What a server sends counts only if it names this
// request and is signed.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "briarglade/entry/wire_codec.h"
#include "briarglade/gateway/event_stream.h"
#include "briarglade/gateway/gateway_event.h"
#include "briarglade/net/http_client.h"

namespace briarglade {

class HttpCall;
class HttpExchange;

// What the relay reports, each from the loop.
struct GatewayRelayHooks
{
  std::function<void(const AnswerProgressed&)> m_onProgress;
  std::function<void(const ServerLeaves&)> m_onServerLeaves;
  std::function<void(const ExchangeEnded&)> m_onEnded;
};

class GatewayRelay : public std::enable_shared_from_this<GatewayRelay>
{
public:
  GatewayRelay(RequestHandle aHandle,
               std::shared_ptr<HttpExchange> aCaller,
               CallerRequest aRequest,
               const WireCodec& aCodec,
               GatewayRelayHooks aHooks);
  ~GatewayRelay();
  GatewayRelay(const GatewayRelay&) = delete;
  GatewayRelay& operator=(const GatewayRelay&) = delete;

  // What the metrics tell of the request.
  bool IsStream() const { return m_isStream; }
  const AccountId& Account() const { return m_account; }
  Millis ArrivedAt() const { return m_arrivedAt; }
  std::optional<Millis> FirstBytesAt() const { return m_firstBytesAt; }

  // Sends the request to a server. An earlier exchange must have ended.
  void Start(HttpClient& aClient, const SendToServer& aSend, Millis aNow);
  // Gives the exchange up; its end is still reported.
  void Cancel();
  // Gives the caller the answer that has come whole.
  void PassOn();
  // Answers the caller with a code, or cuts an answer that has begun.
  void Answer(ResultCode aCode, Millis aRetryAfter);

private:
  // What an exchange's answer is good for.
  enum class AnswerKind
  {
    // No head has come yet.
    None,
    // The events of a stream, passed on as they come.
    Events,
    // Kept until it is whole.
    Whole,
    // The server's word that it did not run the request.
    Refusal,
    // Not this request's, not signed, or not the server's own bytes.
    Invalid
  };

  bool IsForThisRequest(const HttpAnswerHead& aHead) const;
  void OnHead(const HttpAnswerHead& aHead);
  void OnData(std::string_view aData);
  void OnEvents(std::string_view aData);
  void OnEnd(const HttpCallEnd& aEnd);
  ExchangeEnd ClassifyEnd(const HttpCallEnd& aEnd) const;
  void StartAnswer();

  const RequestHandle m_handle;
  std::shared_ptr<HttpExchange> m_caller;
  const CallerRequest m_request;
  const WireCodec& m_codec;
  GatewayRelayHooks m_hooks;
  std::string m_body;
  bool m_isStream = false;
  AccountId m_account;
  Millis m_arrivedAt;
  std::optional<Millis> m_firstBytesAt;

  // The present exchange.
  std::shared_ptr<HttpCall> m_call;
  AnswerKind m_answerKind = AnswerKind::None;
  AnswerFacts m_facts;
  HttpAnswerHead m_head;
  std::string m_answerBody;
  bool m_isStreamMalformed = false;

  // The answer to the caller.
  EventStream m_events;
  HttpHeaders m_streamHeaders;
  bool m_streamStarted = false;
};

} // namespace briarglade
