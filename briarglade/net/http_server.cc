// Accepting connections.

#include "briarglade/net/http_server.h"

#include <event2/util.h>
#include <limits>
#include <utility>
#include <vector>

#include "briarglade/net/caller_budget.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/internal/accept_listener.h"
#include "briarglade/net/internal/http_connection.h"

namespace briarglade {

namespace {

constexpr int kBacklog = 1024;

} // namespace

HttpServer::HttpServer(EventLoop& aLoop, HttpServerLimits aLimits)
  : m_loop(aLoop)
  , m_limits(aLimits)
  , m_budget(std::make_shared<CallerBudget>(std::numeric_limits<size_t>::max()))
  , m_listener(
      std::make_unique<internal::AcceptListener>(aLoop, [this](int aSocket) {
        Accept(aSocket);
      }))
{
}

HttpServer::~HttpServer()
{
  StopListening();
  CloseConnections();
}

void HttpServer::CloseConnections()
{
  while (!m_connections.empty()) {
    delete *m_connections.begin();
  }
}

void HttpServer::SetHandler(Handler aHandler)
{
  m_handler = std::move(aHandler);
}

void HttpServer::SetHeadJudge(HeadJudge aJudge)
{
  m_headJudge = std::move(aJudge);
}

void HttpServer::SetBudget(std::shared_ptr<CallerBudget> aBudget)
{
  m_budget = std::move(aBudget);
}

void HttpServer::SetRejectionObserver(RejectionObserver aObserver)
{
  m_rejectionObserver = std::move(aObserver);
}

void HttpServer::SetEvictionObserver(EvictionObserver aObserver)
{
  m_evictionObserver = std::move(aObserver);
}

bool HttpServer::EvictOne()
{
  HttpConnection* chosen =
    m_order.Choose([](const HttpConnection& aConnection) {
      return aConnection.WaitsForNode();
    });
  if (chosen == nullptr) {
    return false;
  }
  ++m_evictions;
  chosen->Evict();
  return true;
}

void HttpServer::Accept(int aSocket)
{
  if (m_connections.size() >= m_limits.m_maxConnections && !EvictOne()) {
    ++m_closedAtLimit;
    evutil_closesocket(aSocket);
    return;
  }
  // The connection deletes itself when it ends.
  new HttpConnection(*this, aSocket);
}

uint16_t HttpServer::Listen(const Endpoint& aEndpoint)
{
  return m_listener->Listen(aEndpoint, kBacklog);
}

void HttpServer::StopListening()
{
  m_listener->Stop();
}

uint64_t HttpServer::AcceptFailures() const
{
  return m_listener->Failures();
}

void HttpServer::BeginDraining()
{
  m_isDraining = true;
  const std::vector<HttpConnection*> open(m_connections.begin(),
                                          m_connections.end());
  for (HttpConnection* connection : open) {
    connection->CloseIfIdle();
  }
}

} // namespace briarglade
