// One request to an HttpServer and its answer.
//
// The answer is either one Respond(), or StartStream(), any number of Write()
// and one EndStream(). After the caller has gone every call is ignored.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "briarglade/net/http_headers.h"

namespace briarglade {

class AnswerHold;
class HttpConnection;

class HttpExchange
{
public:
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const std::string& Method() const { return m_method; }
  // The path without the query.
  const std::string& Path() const { return m_path; }
  // The raw query, without the question mark.
  const std::string& Query() const { return m_query; }
  // Path and query as they came.
  const std::string& Target() const { return m_target; }
  const std::string& Body() const { return m_body; }
  // The request had a body that was not kept, since the judge of heads did not
  // want it. Such a request must not be run.
  bool IsBodyDropped() const { return m_isBodyDropped; }
  const HttpHeaders& Headers() const { return m_headers; }
  // Returns a request header, or an empty string.
  std::string Header(std::string_view aName) const;
  // The client's address; empty if the client has gone.
  std::string Address() const;
  // Frees the body once it is no longer needed. Returns it.
  std::string TakeBody() { return std::move(m_body); }

  // Makes the answer the last one on its connection.
  void CloseAfterwards() { m_closesAfterwards = true; }
  // Sends the whole answer.
  void Respond(uint16_t aStatus,
               const HttpHeaders& aHeaders,
               std::string_view aBody);
  // Sends status and headers; the body follows in chunks.
  void StartStream(uint16_t aStatus, const HttpHeaders& aHeaders);
  // Sends a part of the body.
  void Write(std::string_view aData);
  // Ends the body cleanly.
  void EndStream();
  // Cuts the connection, so that the caller can't take the answer for whole.
  void Abort();

  // Keeps the hold of the answer that follows until the caller has taken it.
  // If it is cut, so is the connection.
  void HoldUntilTaken(std::shared_ptr<AnswerHold> aHold);
  // Accounts with the hold for the bytes written from now on that the caller
  // hasn't taken, until it has taken the whole answer. If it is cut, so is the
  // connection.
  void CountUnread(std::unique_ptr<AnswerHold> aHold);
  // Bytes written that the caller hasn't taken yet.
  size_t UnsentBytes() const;
  // Called when all written bytes have been taken.
  void OnDrained(std::function<void()> aCallback);
  // Called once if the caller goes before the answer was sent whole.
  void OnClosed(std::function<void()> aCallback);
  // Whether the caller is still there and the answer isn't finished.
  bool IsOpen() const { return m_connection != nullptr; }

private:
  friend class HttpConnection;
  explicit HttpExchange(HttpConnection* aConnection);

  // The connection is gone, or has moved on.
  void Detach();
  std::string MakeHead(uint16_t aStatus, const HttpHeaders& aHeaders) const;

  HttpConnection* m_connection;
  std::string m_method;
  std::string m_path;
  std::string m_query;
  std::string m_target;
  std::string m_body;
  HttpHeaders m_headers;
  std::function<void()> m_onDrained;
  std::function<void()> m_onClosed;
  bool m_closesAfterwards = false;
  bool m_isBodyDropped = false;
};

} // namespace briarglade
