// Accepting connections.

#include "briarglade/net/http_server.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <limits>
#include <sys/socket.h>
#include <utility>
#include <vector>

#include "briarglade/net/caller_budget.h"
#include "briarglade/net/event_loop.h"
#include "briarglade/net/internal/http_connection.h"

namespace briarglade {

namespace {

constexpr int kBacklog = 1024;
// How long no connection is accepted after an accept has failed, for example
// for want of descriptors. The listener stays readable then, so that the loop
// would otherwise do nothing else.
constexpr Millis kAcceptPause = Millis(100);

} // namespace

HttpServer::HttpServer(EventLoop& aLoop, HttpServerLimits aLimits)
  : m_loop(aLoop)
  , m_limits(aLimits)
  , m_budget(std::make_shared<CallerBudget>(std::numeric_limits<size_t>::max()))
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

void HttpServer::OnAccept(evconnlistener*,
                          int aSocket,
                          sockaddr*,
                          int,
                          void* aSelf)
{
  auto* self = static_cast<HttpServer*>(aSelf);
  if (self->m_connections.size() >= self->m_limits.m_maxConnections &&
      !self->EvictOne()) {
    ++self->m_closedAtLimit;
    evutil_closesocket(aSocket);
    return;
  }
  // The connection deletes itself when it ends.
  new HttpConnection(*self, aSocket);
}

void HttpServer::OnAcceptFailed(evconnlistener* aListener, void* aSelf)
{
  auto* self = static_cast<HttpServer*>(aSelf);
  ++self->m_acceptFailures;
  evconnlistener_disable(aListener);
  self->m_acceptAgain->Start(kAcceptPause);
}

uint16_t HttpServer::Listen(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.m_port);
  if (inet_pton(AF_INET, aEndpoint.m_ip.c_str(), &address.sin_addr) != 1) {
    return 0;
  }
  m_listener =
    evconnlistener_new_bind(m_loop.Base(),
                            &OnAccept,
                            this,
                            LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
                            kBacklog,
                            reinterpret_cast<sockaddr*>(&address),
                            sizeof(address));
  if (m_listener == nullptr) {
    return 0;
  }
  m_acceptAgain =
    m_loop.MakeTimer([this] { evconnlistener_enable(m_listener); });
  evconnlistener_set_error_cb(m_listener, &OnAcceptFailed);
  socklen_t length = sizeof(address);
  getsockname(evconnlistener_get_fd(m_listener),
              reinterpret_cast<sockaddr*>(&address),
              &length);
  return ntohs(address.sin_port);
}

void HttpServer::StopListening()
{
  m_acceptAgain.reset();
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
    m_listener = nullptr;
  }
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
