// The pools of outgoing connections.

#include "briarglade/net/http_client.h"

#include <algorithm>
#include <utility>

#include "briarglade/net/answer_budget.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_call.h"
#include "briarglade/net/internal/pooled_connection.h"

namespace briarglade {

HttpClient::HttpClient(EventLoop& aLoop, HttpClientLimits aLimits)
  : m_loop(aLoop)
  , m_limits(aLimits)
  , m_budget(std::make_shared<AnswerBudget>(aLimits.m_maxHeldBytes))
{
}

HttpClient::~HttpClient()
{
  m_alive.reset();
  for (const std::shared_ptr<HttpCall>& call : m_running) {
    call->Abandon();
  }
}

std::shared_ptr<HttpCall> HttpClient::Start(HttpCallSpec aSpec)
{
  std::shared_ptr<HttpCall> call(new HttpCall(*this, std::move(aSpec)));
  m_running.insert(call);
  call->Begin();
  return call;
}

std::unique_ptr<PooledConnection> HttpClient::Take(const HttpCallSpec& aSpec)
{
  const Millis now = EventLoop::Now();
  const auto idle = m_idle.find(aSpec.m_endpoint);
  while (idle != m_idle.end() && !idle->second.empty()) {
    // The one used last is the least likely to have been closed.
    if (now - idle->second.back()->IdleSince() > aSpec.m_maxIdleAge) {
      break;
    }
    std::unique_ptr<PooledConnection> connection =
      std::move(idle->second.back());
    idle->second.pop_back();
    if (connection->UsableUntil() > now) {
      return connection;
    }
    Discard(std::move(connection));
  }
  if (m_connectionCount >= m_limits.m_maxConnections && !DiscardLongestIdle()) {
    return nullptr;
  }
  return std::make_unique<PooledConnection>(*this, aSpec.m_endpoint);
}

bool HttpClient::DiscardLongestIdle()
{
  // The first one of a list has been idle for longest.
  auto longest = m_idle.end();
  for (auto at = m_idle.begin(); at != m_idle.end(); ++at) {
    const bool isLonger =
      !at->second.empty() &&
      (longest == m_idle.end() ||
       at->second.front()->IdleSince() < longest->second.front()->IdleSince());
    if (isLonger) {
      longest = at;
    }
  }
  if (longest == m_idle.end()) {
    return false;
  }
  std::unique_ptr<PooledConnection> connection =
    std::move(longest->second.front());
  longest->second.erase(longest->second.begin());
  connection->CloseDescriptor();
  Discard(std::move(connection));
  return true;
}

void HttpClient::Keep(std::unique_ptr<PooledConnection> aConnection,
                      const HttpCallSpec& aSpec,
                      Millis aLifetime)
{
  const size_t most =
    std::min(m_limits.m_maxIdlePerEndpoint,
             aSpec.m_maxIdle.value_or(m_limits.m_maxIdlePerEndpoint));
  auto& idle = m_idle[aConnection->Peer()];
  if (idle.size() >= most || aLifetime == Millis()) {
    Discard(std::move(aConnection));
    return;
  }
  const Millis now = EventLoop::Now();
  aConnection->SetIdle(now, now + aLifetime);
  idle.push_back(std::move(aConnection));
}

void HttpClient::Discard(std::unique_ptr<PooledConnection> aConnection)
{
  // Libevent may still be working on the connection: free it from the loop.
  m_discarded.push_back(std::move(aConnection));
  if (m_discarded.size() > 1) {
    return;
  }
  m_loop.Defer([this, alive = std::weak_ptr<bool>(m_alive)] {
    if (!alive.expired()) {
      FreeDiscarded();
    }
  });
}

void HttpClient::FreeDiscarded()
{
  std::vector<std::unique_ptr<PooledConnection>> doomed;
  doomed.swap(m_discarded);
}

void HttpClient::DropIdle(PooledConnection* aConnection)
{
  auto idle = m_idle.find(aConnection->Peer());
  if (idle == m_idle.end()) {
    return;
  }
  auto& list = idle->second;
  auto found = std::find_if(list.begin(), list.end(), [&](const auto& aEntry) {
    return aEntry.get() == aConnection;
  });
  if (found == list.end()) {
    return;
  }
  std::unique_ptr<PooledConnection> connection = std::move(*found);
  list.erase(found);
  if (list.empty()) {
    m_idle.erase(idle);
  }
  Discard(std::move(connection));
}

} // namespace briarglade
