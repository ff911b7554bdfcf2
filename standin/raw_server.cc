// The raw TCP server.

#include "standin/raw_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>

#include "briarglade/net/event_loop.h"

namespace briarglade::standin {

namespace {

// Returns whether the head of a request and the body of the length that it
// states have come.
bool IsWhole(const std::string& aRequest)
{
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  constexpr std::string_view kLength = "Content-Length: ";
  const size_t headEnd = aRequest.find(kHeadEnd);
  if (headEnd == std::string::npos) {
    return false;
  }
  const size_t stated = aRequest.find(kLength);
  const size_t length =
    stated < headEnd ? std::stoul(aRequest.substr(stated + kLength.size())) : 0;
  return aRequest.size() >= headEnd + kHeadEnd.size() + length;
}

} // namespace

RawServer::RawServer(EventLoop& aLoop, std::string aAnswer, bool aCloses)
  : RawServer(
      aLoop,
      [answer = std::move(aAnswer), aCloses](const std::string&) {
        return RawAnswer{ answer, aCloses ? RawEnd::Close : RawEnd::Keep };
      })
{
}

RawServer::RawServer(EventLoop& aLoop, Script aScript)
  : m_loop(aLoop)
  , m_script(std::move(aScript))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto accept =
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      static_cast<RawServer*>(aSelf)->Accept(aSocket);
    };
  m_listener =
    evconnlistener_new_bind(aLoop.Base(),
                            accept,
                            this,
                            LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
                            -1,
                            reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address));
  socklen_t length = sizeof(address);
  getsockname(evconnlistener_get_fd(m_listener),
              reinterpret_cast<sockaddr*>(&address),
              &length);
  m_port = ntohs(address.sin_port);
}

RawServer::~RawServer()
{
  evconnlistener_free(m_listener);
  for (bufferevent* connection : m_connections) {
    bufferevent_free(connection);
  }
}

void RawServer::Accept(int aSocket)
{
  ++m_accepted;
  evutil_make_socket_nonblocking(aSocket);
  bufferevent* connection =
    bufferevent_socket_new(m_loop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  m_connections.push_back(connection);
  auto onRead = [](bufferevent* aConnection, void* aSelf) {
    static_cast<RawServer*>(aSelf)->Answer(aConnection);
  };
  auto onWritten = [](bufferevent* aConnection, void* aSelf) {
    static_cast<RawServer*>(aSelf)->SendEndless(aConnection);
  };
  auto onEvent = [](bufferevent* aConnection, short, void* aSelf) {
    auto* self = static_cast<RawServer*>(aSelf);
    if (self->m_endless.erase(aConnection) > 0) {
      self->Drop(aConnection);
    }
    if (self->m_onClosed) {
      self->m_onClosed();
    }
  };
  bufferevent_setcb(connection, onRead, onWritten, onEvent, this);
  bufferevent_enable(connection, EV_READ | EV_WRITE);
}

void RawServer::Answer(bufferevent* aConnection)
{
  evbuffer* input = bufferevent_get_input(aConnection);
  std::string request(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, request.data(), request.size());
  if (!IsWhole(request)) {
    return;
  }
  evbuffer_drain(input, request.size());
  if (m_onRequest) {
    m_onRequest();
  }
  const RawAnswer answer = m_script(request);
  const int socket = bufferevent_getfd(aConnection);
  // Sent at once, so that a close can't overtake it.
  send(socket, answer.m_bytes.data(), answer.m_bytes.size(), MSG_NOSIGNAL);
  if (answer.m_end == RawEnd::Close) {
    shutdown(socket, SHUT_RDWR);
  } else if (answer.m_end == RawEnd::Reset) {
    // A close with this setting resets the connection.
    const linger atOnce{ 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
    Drop(aConnection);
  } else if (!answer.m_endless.empty()) {
    m_endless[aConnection] = answer.m_endless;
    SendEndless(aConnection);
  }
}

void RawServer::SendEndless(bufferevent* aConnection)
{
  const auto found = m_endless.find(aConnection);
  if (found != m_endless.end()) {
    m_endlessBytes += found->second.size();
    bufferevent_write(aConnection, found->second.data(), found->second.size());
  }
}

void RawServer::Drop(bufferevent* aConnection)
{
  m_connections.erase(
    std::find(m_connections.begin(), m_connections.end(), aConnection));
  bufferevent_free(aConnection);
}

void RawServer::OnRequest(std::function<void()> aCallback)
{
  m_onRequest = std::move(aCallback);
}

void RawServer::OnClosed(std::function<void()> aCallback)
{
  m_onClosed = std::move(aCallback);
}

} // namespace briarglade::standin
