// The stand-in host list.

#include "standin/host_list.h"

#include <functional>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_exchange.h"

namespace briarglade::standin {

HostListStandin::HostListStandin(EventLoop& aLoop, uint16_t aPort, Millis aLag)
  : m_lagTimer(aLoop.MakeTimer([this] { m_visible = m_next; }))
  , m_lag(aLag)
{
  m_server = std::make_unique<HttpServer>(aLoop, HttpServerLimits());
  m_server->SetHandler([this](const std::shared_ptr<HttpExchange>& aExchange) {
    const std::string tag =
      "\"" + std::to_string(std::hash<std::string>()(m_visible)) + "\"";
    const HttpHeaders headers = { { "Content-Type", "application/json" },
                                  { "ETag", tag } };
    if (aExchange->Header("If-None-Match") == tag) {
      ++m_unchanged;
      aExchange->Respond(304, headers, "");
    } else {
      aExchange->Respond(200, headers, m_visible);
    }
  });
  m_port = m_server->Listen(Endpoint{ "127.0.0.1", aPort });
}

HostListStandin::~HostListStandin() = default;

void HostListStandin::SetList(const std::string& aJson)
{
  m_next = aJson;
  m_lagTimer->Start(m_lag);
}

} // namespace briarglade::standin
