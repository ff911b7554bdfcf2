// An HTTP client on libevent's bufferevents with bounded pools of kept
// connections and a strict parser.
//
// Every call ends with exactly one m_onEnd, from the loop, unless the client is
// destroyed first. A connection is kept
// for another exchange only if the answer was whole and nothing followed it.
//
// Example:
//   HttpCallSpec spec;
//   spec.m_endpoint = endpoint;
//   spec.m_path = "/v1/chat/completions";
//   spec.m_onEnd = [](const HttpCallEnd& aEnd) { ... };
//   std::shared_ptr<HttpCall> call = client.Start(std::move(spec));

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/millis.h"
#include "briarglade/net/http_headers.h"
#include "briarglade/routing/request_event.h"

namespace briarglade {

class AnswerBudget;
class EventLoop;
class HttpCall;
class PooledConnection;

// The status line and headers of an answer.
struct HttpAnswerHead
{
  // From 100 to 599; zero: no head has come.
  uint16_t m_status = 0;
  HttpHeaders m_headers;
};

// Which call an answer belongs to, by its head.
enum class AnswerMatch
{
  ThisCall,
  // Another one, such as a second answer to an earlier request.
  OtherCall,
  // Can't be told.
  Ambiguous
};

// How a call ended. m_end is Whole only for an answer that came to its end: by
// a declared length or in chunks, or, where the call allows it, by an orderly
// close of the connection.
struct HttpCallEnd
{
  ExchangeEnd m_end = ExchangeEnd::Whole;
  // As in HttpAnswerHead.
  uint16_t m_status = 0;
  // Whether nothing but the close of its connection ended a whole answer.
  bool m_isEndedByClose = false;
  ExchangeTrace m_trace = {};
};

// The value of HttpCallSpec::m_maxIdleAge for a call that needs a connection of
// its own.
constexpr Millis kNewConnectionOnly = Millis(-1);

// A call to make.
struct HttpCallSpec
{
  Endpoint m_endpoint;
  std::string m_method = "POST";
  // Path and query.
  std::string m_path = "/";
  HttpHeaders m_headers;
  std::string m_body;
  // A body that is sent in place of m_body without being copied, if set.
  std::shared_ptr<const std::string> m_sharedBody;
  // Bounds the whole call, from Start() to its end.
  Millis m_timeout = Millis(30'000);
  // Bounds the making of a new connection.
  Millis m_connectTimeout = Millis(2'000);
  // Bounds the silence within an answer that has begun; zero: no bound.
  Millis m_idleTimeout;
  // Uses a kept connection only if it has been idle for less than this, so that
  // one that just died rarely leaves the outcome in doubt.
  Millis m_maxIdleAge = Millis(60'000);
  // Keeps the connection for another call only while fewer than this are idle
  // to the endpoint; nothing: as many as the client keeps.
  std::optional<size_t> m_maxIdle;
  // The longest body of an answer; nothing: as long as the client allows.
  std::optional<size_t> m_maxBodyBytes;
  // An answer without a declared end is whole if its connection is closed in an
  // orderly way.
  bool m_closeEndsAnswer = false;
  // Tells which call an answer belongs to; aIsKept: the connection has carried
  // an earlier call. The answer to another call is passed over; an ambiguous
  // one ends this call as WrongAnswer, since it may have run. None: every
  // answer is to this call.
  std::function<AnswerMatch(const HttpAnswerHead&, bool aIsKept)> m_match;
  std::function<void(const HttpAnswerHead&)> m_onHead;
  std::function<void(std::string_view)> m_onData;
  std::function<void(const HttpCallEnd&)> m_onEnd;
};

// Bounds on connections.
struct HttpClientLimits
{
  size_t m_maxIdlePerEndpoint = 64;
  size_t m_maxConnections = 8192;
  size_t m_maxHeaderBytes = 32 * 1024;
  // The longest body of one answer.
  size_t m_maxBodyBytes = 8 * 1024 * 1024;
  // The bound on the bytes of all answers that are held at one time.
  size_t m_maxHeldBytes = 64 * 1024 * 1024;
  // How long a connection is kept where the server doesn't say.
  Millis m_idleLifetime = Millis(60'000);
};

class HttpClient
{
public:
  HttpClient(EventLoop& aLoop, HttpClientLimits aLimits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. At the bound on connections it ends as ConnectRefused.
  std::shared_ptr<HttpCall> Start(HttpCallSpec aSpec);

  // Returns the number of connections, idle ones included.
  size_t ConnectionCount() const { return m_connectionCount; }
  // Returns what accounts for the answers of this client that are kept.
  const std::shared_ptr<AnswerBudget>& Budget() const { return m_budget; }

private:
  friend class HttpCall;
  friend class PooledConnection;

  std::unique_ptr<PooledConnection> Take(const HttpCallSpec& aSpec);
  void Keep(std::unique_ptr<PooledConnection> aConnection,
            const HttpCallSpec& aSpec,
            Millis aLifetime);
  // Closes the connection that has been idle for longest, whoever its server
  // is. Returns whether there was one.
  bool DiscardLongestIdle();
  void Discard(std::unique_ptr<PooledConnection> aConnection);
  void DropIdle(PooledConnection* aConnection);
  void FreeDiscarded();

  EventLoop& m_loop;
  HttpClientLimits m_limits;
  std::shared_ptr<AnswerBudget> m_budget;
  std::map<Endpoint, std::vector<std::unique_ptr<PooledConnection>>> m_idle;
  std::vector<std::unique_ptr<PooledConnection>> m_discarded;
  std::unordered_set<std::shared_ptr<HttpCall>> m_running;
  size_t m_connectionCount = 0;
  // Outlived by deferred callbacks, which check it.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace briarglade
