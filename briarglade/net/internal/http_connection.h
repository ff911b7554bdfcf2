// One accepted connection of an HttpServer: limits, and the exchange in
// progress.

#pragma once

#include <memory>
#include <string>

#include "briarglade/base/result_code.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_headers.h"

struct evbuffer;
struct evhtp_connection;
struct evhtp_kv;
struct evhtp_request;

namespace briarglade {

class HttpExchange;
class HttpServer;

class HttpConnection
{
public:
  HttpConnection(HttpServer& aServer, evhtp_connection* aConnection);
  ~HttpConnection();

  evhtp_connection* Raw() { return m_connection; }
  // Frees the connection once the present callback has returned.
  void CloseSoon();
  // Called when the answer to the present request has been handed over.
  void AnswerFinished();
  // Called with each write of a streamed answer.
  void WatchWrites();

  // Called by the server for a whole request.
  void HandleRequest(evhtp_request* aRequest);

private:
  static uint16_t OnHeader(evhtp_request*, evhtp_kv*, void*);
  static uint16_t OnRead(evhtp_request*, evbuffer*, void*);
  static uint16_t OnPath(evhtp_request*, struct evhtp_path*, void*);
  static uint16_t OnRequestEnd(evhtp_request*, void*);
  static uint16_t OnConnectionEnd(evhtp_connection*, void*);
  static uint16_t OnWritten(evhtp_connection*, void*);
  void Reject(evhtp_request* aRequest, ResultCode aCode);
  void OnTimer();
  void EndExchange();
  void ResetRequest();

  HttpServer& m_server;
  evhtp_connection* m_connection;
  std::shared_ptr<HttpExchange> m_exchange;
  std::unique_ptr<Timer> m_timer;
  evhtp_request* m_reading = nullptr;
  HttpHeaders m_headers;
  size_t m_headerBytes = 0;
  std::string m_body;
  bool m_rejected = false;
  bool m_closing = false;
};

} // namespace briarglade
