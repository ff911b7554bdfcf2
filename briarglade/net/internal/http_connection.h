// One accepted connection of an HttpServer: limits, and the exchange in
// progress. Requests are answered one after the other, in order.

#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarglade/base/result_code.h"
#include "briarglade/net/caller_budget.h"
#include "briarglade/net/connection_order.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/internal/http_message_parser.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace briarglade {

class AnswerHold;
class HttpExchange;
class HttpServer;

class HttpConnection
{
public:
  // Takes the accepted socket over.
  HttpConnection(HttpServer& aServer, int aSocket);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Sends a part of the present answer.
  void Send(std::initializer_list<std::string_view> aPieces);
  // Sends it with the next part, or at the end of this turn of the loop.
  void SendLater(const std::string& aText);
  size_t UnsentBytes() const;
  // The client's address.
  const std::string& Address();
  // Keeps the hold of the present answer until all sent bytes have been taken.
  // If the answer is cut, so is the connection.
  void HoldUntilTaken(std::shared_ptr<AnswerHold> aHold);
  // Accounts with the hold for the bytes that are not sent, until the answer
  // has been taken. If it is cut, so is the connection.
  void CountUnread(std::unique_ptr<AnswerHold> aHold);
  // The present answer has been handed over as a whole. Without keeping, the
  // connection is closed once the answer has been taken.
  void FinishAnswer(bool aKeep);
  // Cuts the connection once the present callback has returned.
  void CutSoon();
  // Closes the connection now if no request is on it.
  bool CloseIfIdle();
  // Whether a request has come whole that is not being handled yet, or one has
  // begun to come that was not read yet.
  bool WaitsForNode() const;
  // Closes the connection, on which no request is being handled, and destroys
  // it. An incomplete request is refused.
  void Evict();
  // Whether answers must announce the end of the connection.
  bool MustClose() const;

private:
  enum class Phase
  {
    // Waits for a request, or reads one.
    Reading,
    // A request is being answered.
    Answering,
    // The last answer is being taken; nothing more is read.
    Closing,
    // The sending half is closed; what still comes is dropped, so that the
    // answer isn't lost to a reset.
    Lingering,
    Cut
  };

  static void OnReadable(bufferevent*, void* aSelf);
  static void OnWritten(bufferevent*, void* aSelf);
  static void OnEvent(bufferevent*, short aEvents, void* aSelf);
  static void OnOutputChanged(evbuffer*, const evbuffer_cb_info*, void* aSelf);

  void ReadRequests();
  bool ReadPart();
  bool ReadHead(std::string_view aBytes);
  // Makes the exchange of the request whose head has been read.
  void MakeExchange();
  void OnHead();
  bool ReadBody(std::string_view aBytes);
  bool MakeRoom(size_t aBytes);
  bool DropBody(std::string_view aBytes);
  // Lets this much wait unread before the kernel holds the rest.
  void SetReadAhead(size_t aBytes);
  // Continues reading from the loop.
  void ReadSoon();
  size_t LongestReadAhead() const;
  void DropInput();
  void HandleRequest();
  void FreeBody();
  void Reject(ResultCode aCode);
  void OnTimer();
  void CloseGently();
  void EndExchange();
  void ReleaseHolds();
  void StopCountingUnread();

  HttpServer& m_server;
  bufferevent* m_bufferevent;
  std::unique_ptr<Timer> m_timer;
  std::optional<internal::HttpMessageParser<true>> m_parser;
  std::string m_body;
  // Empty until it is asked for.
  std::string m_address;
  // What the budget must grant before the body is read.
  size_t m_neededBytes = 0;
  size_t m_droppedBytes = 0;
  bool m_isBodyWanted = true;
  // The budget takes back what the request holds.
  bool m_isRefused = false;
  std::shared_ptr<HttpExchange> m_exchange;
  // The holds of answers that haven't been taken yet.
  std::vector<std::shared_ptr<AnswerHold>> m_holds;
  // Accounts for the unsent bytes of a stream.
  std::unique_ptr<AnswerHold> m_unreadHold;
  ConnectionOrder<HttpConnection>::Place m_place;
  Phase m_phase = Phase::Reading;
  bool m_inRead = false;
  bool m_keepsAfterRequest = true;
  // Last, so that no other connection is told of its bytes too early.
  CallerHold m_hold;
};

} // namespace briarglade
