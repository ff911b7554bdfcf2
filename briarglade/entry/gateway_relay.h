// Serves one caller's request at the gateway: holds the exchange with the
// caller and the one with the current server, and relays the answer's bytes.
//
// Only complete events of a stream are forwarded, and an answer that is not a
// stream only as a whole. A server's answer is accepted only if it names this
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

class AnswerBudget;
class AnswerHold;
class HttpCall;
class HttpExchange;

// Callbacks of the relay. Each is called from the event loop. While one runs,
// the hedge may be promoted or dropped.
struct GatewayRelayHooks
{
  std::function<void(const AnswerProgressed&)> m_onProgress;
  std::function<void(const ServerLeaving&)> m_onServerLeaves;
  std::function<void(const ServerRateStated&)> m_onRateStated;
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

  // Return what the metrics record about the request.
  bool IsStream() const { return m_isStream; }
  const AccountId& Account() const { return m_account; }
  Millis ArrivedAt() const { return m_arrivedAt; }
  std::optional<Millis> FirstBytesAt() const { return m_firstBytesAt; }

  // Sends the request to a server. An earlier exchange of the same role must
  // have ended.
  void Start(HttpClient& aClient, const SendToServer& aSend, Millis aNow);
  // Cancels the primary exchange; its end is still reported.
  void Cancel();
  // Goes on reading from the server if that was paused for the caller, who has
  // left. A request that must not be retried runs to its end without it.
  void ResumeReading();
  // Makes the hedge the primary exchange. Cancels the earlier primary one, if
  // it still runs, without reporting its end.
  void PromoteHedge();
  // Cancels the hedge without reporting its end.
  void DropHedge();
  // Sends the caller the complete answer, or ends its stream.
  void ForwardToCaller();
  // Answers the caller with a result code, or aborts an answer that has begun.
  void RespondWithCode(ResultCode aCode, Millis aRetryAfter);

private:
  // How the answer of an exchange is used.
  enum class AnswerKind
  {
    // No head has been received yet.
    None,
    // The events of a stream, forwarded as they arrive.
    Events,
    // Buffered until it is complete.
    Whole,
    // The server reports that it did not run the request.
    Refusal,
    // Belongs to another request, is not signed, or has a body that is not the
    // server's original bytes.
    Invalid
  };

  // An exchange with a server.
  struct Exchange
  {
    std::shared_ptr<HttpCall> m_call;
    AnswerKind m_answerKind = AnswerKind::None;
    AnswerHead m_facts;
    HttpAnswerHead m_head;
    std::string m_body;
    EventStream m_events;
    // Accounts for the bytes that are kept, until the caller has taken them.
    std::shared_ptr<AnswerHold> m_hold;
    bool m_hasEvents = false;
    bool m_isStreamMalformed = false;
  };

  AnswerMatch MatchAnswer(const HttpAnswerHead& aHead, bool aIsKept) const;
  // Returns the role of an exchange, or nothing if it was dropped.
  std::optional<ExchangeRole> RoleOf(const Exchange& aExchange) const;
  void OnHead(Exchange& aExchange, const HttpAnswerHead& aHead);
  void OnData(Exchange& aExchange, std::string_view aData);
  void OnEvents(Exchange& aExchange, std::string_view aData);
  // Frees what was kept of the answer and gives the exchange up.
  static void CutAnswer(Exchange& aExchange);
  void OnEnd(Exchange& aExchange, const HttpCallEnd& aEnd);
  ExchangeEnd ClassifyEnd(const Exchange& aExchange,
                          const HttpCallEnd& aEnd) const;
  void StartAnswer();

  const RequestHandle m_handle;
  std::shared_ptr<HttpExchange> m_caller;
  const CallerRequest m_request;
  const WireCodec& m_codec;
  GatewayRelayHooks m_hooks;
  // The request's body, which every exchange sends.
  const std::shared_ptr<const std::string> m_body;
  bool m_isStream = false;
  AccountId m_account;
  Millis m_arrivedAt;
  std::optional<Millis> m_firstBytesAt;

  // The exchanges with servers; nullptr if there is none. The primary one stays
  // after its end, until its answer has been forwarded.
  std::shared_ptr<Exchange> m_primary;
  std::shared_ptr<Exchange> m_hedge;

  // The answer to the caller.
  std::shared_ptr<AnswerBudget> m_budget;
  // The last event that the caller has; another server continues after it.
  std::optional<std::string> m_lastEvent;
  bool m_streamStarted = false;
};

} // namespace briarglade
