// An HTTP server on libevent's bufferevents, with a strict parser, streamed
// answers and limits.
//
// Example:
//   HttpServer server(loop, HttpServerLimits());
//   server.SetHandler([](std::shared_ptr<HttpExchange> aExchange) {
//     aExchange->Respond(200, {}, "hello");
//   });
//   uint16_t port = server.Listen({ "127.0.0.1", 0 });

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/millis.h"
#include "briarglade/base/result_code.h"
#include "briarglade/net/connection_order.h"
#include "briarglade/net/http_headers.h"

namespace briarglade {

namespace internal {
class AcceptListener;
} // namespace internal

class CallerBudget;
class EventLoop;
class HttpExchange;
class HttpConnection;

// Bounds on what a stranger may make the server hold.
struct HttpServerLimits
{
  size_t m_maxHeaderBytes = 16 * 1024;
  size_t m_maxBodyBytes = 1024 * 1024;
  size_t m_maxConnections = 8192;
  // The longest time in which a whole request must have come.
  Millis m_requestTime = Millis(10'000);
  // The longest time in which a connection may be silent between requests.
  Millis m_idleTime = Millis(60'000);
  // The longest time for which a reader may take nothing of an answer.
  Millis m_writeStall = Millis(30'000);
};

// A request that the server refused by itself, before the handler saw it.
struct HttpRejection
{
  ResultCode m_code = ResultCode::MalformedRequest;
  std::string m_path;
  // The client's address.
  std::string m_address;
  // The head of the request, during the call; nullptr if it was not read.
  const HttpExchange* m_head = nullptr;
};

// A connection that was closed to admit a new one.
struct HttpEviction
{
  // The client's address.
  std::string m_address;
  // Whether a request was incomplete on it; else it was idle.
  bool m_isIncomplete = false;
  // For how long it had been idle or incomplete.
  Millis m_waited;
};

class HttpServer
{
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
  using HeadJudge = std::function<bool(const HttpExchange&)>;
  using RejectionObserver = std::function<void(const HttpRejection&)>;
  using EvictionObserver = std::function<void(const HttpEviction&)>;

  HttpServer(EventLoop& aLoop, HttpServerLimits aLimits);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Sets the function that answers each whole request.
  void SetHandler(Handler aHandler);
  // Sets a function that tells by a request's head whether its body is wanted.
  // A body that is not wanted is dropped: a short one as it comes, before the
  // handler is called, and for a long one the handler's answer is the last of
  // the connection. Without a judge every body is wanted.
  void SetHeadJudge(HeadJudge aJudge);
  // Sets what accounts for the requests that the server holds; several servers
  // may share it. Must be set before Listen(). Without it nothing is bounded
  // but each request.
  void SetBudget(std::shared_ptr<CallerBudget> aBudget);
  // Sets a function that is told of requests refused by the limits.
  void SetRejectionObserver(RejectionObserver aObserver);
  // Sets a function that is told of connections closed to admit new ones.
  void SetEvictionObserver(EvictionObserver aObserver);

  // Listens; port 0 lets the kernel choose. Returns the port, or 0 on failure.
  uint16_t Listen(const Endpoint& aEndpoint);
  // Accepts no further connections; the open ones go on.
  void StopListening();
  // Lets every answer from now on be the last of its connection, and closes the
  // connections on which no request is.
  void BeginDraining();
  // Takes new limits for connections and requests that begin from now on.
  void SetLimits(const HttpServerLimits& aLimits) { m_limits = aLimits; }
  // Cuts every open connection. Not to be called from an exchange's callbacks.
  void CloseConnections();
  // Returns the number of open connections.
  size_t ConnectionCount() const { return m_connections.size(); }
  // New connections closed at the bound on connections, open ones closed to
  // admit new ones, and accepts that failed.
  uint64_t ClosedAtLimit() const { return m_closedAtLimit; }
  uint64_t Evictions() const { return m_evictions; }
  uint64_t AcceptFailures() const;

private:
  friend class HttpConnection;

  void Accept(int aSocket);
  // Closes a connection that is idle or incomplete. Returns whether there was
  // one.
  bool EvictOne();

  EventLoop& m_loop;
  HttpServerLimits m_limits;
  Handler m_handler;
  HeadJudge m_headJudge;
  std::shared_ptr<CallerBudget> m_budget;
  RejectionObserver m_rejectionObserver;
  const std::unique_ptr<internal::AcceptListener> m_listener;
  EvictionObserver m_evictionObserver;
  ConnectionOrder<HttpConnection> m_order;
  uint64_t m_closedAtLimit = 0;
  uint64_t m_evictions = 0;
  bool m_isDraining = false;
  std::unordered_set<HttpConnection*> m_connections;
};

} // namespace briarglade
