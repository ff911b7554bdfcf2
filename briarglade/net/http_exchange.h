// One request to an HttpServer and its answer.
//
// The answer is either one Respond(), or StartStream(), any number of Write()
// and one EndStream(). After the caller has gone every call is ignored.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "briarglade/net/http_headers.h"

struct evhtp_request;

namespace briarglade {

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
  const std::string& Body() const { return m_body; }
  // Returns a request header, or an empty string.
  std::string Header(std::string_view aName) const;
  // Frees the body once it is no longer needed. Returns it.
  std::string TakeBody() { return std::move(m_body); }

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

  // Bytes written that the caller hasn't taken yet.
  size_t UnsentBytes() const;
  // Called when all written bytes have been taken.
  void OnDrained(std::function<void()> aCallback);
  // Called once if the caller goes before the answer was sent whole.
  void OnClosed(std::function<void()> aCallback);
  // Whether the caller is still there and the answer isn't finished.
  bool IsOpen() const { return m_request != nullptr && !m_finished; }

private:
  friend class HttpConnection;
  HttpExchange(HttpConnection* aConnection, evhtp_request* aRequest);
  void AddHeaders(const HttpHeaders& aHeaders);
  // Hands a chunk to the kernel at once, without a turn of the loop.
  void WriteChunkNow(std::string_view aData);

  HttpConnection* m_connection;
  evhtp_request* m_request;
  std::string m_method;
  std::string m_path;
  std::string m_query;
  std::string m_body;
  HttpHeaders m_headers;
  std::function<void()> m_onDrained;
  std::function<void()> m_onClosed;
  bool m_finished = false;
};

} // namespace briarglade
