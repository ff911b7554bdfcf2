// One outgoing connection, with a count of the bytes that have left.

#pragma once

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "briarglade/base/endpoint.h"
#include "briarglade/base/millis.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace briarglade {

class HttpCall;
class HttpClient;

class PooledConnection
{
public:
  PooledConnection(HttpClient& aClient, const Endpoint& aEndpoint);
  ~PooledConnection();
  PooledConnection(const PooledConnection&) = delete;
  PooledConnection& operator=(const PooledConnection&) = delete;

  // Starts connecting. Returns false if that fails at once.
  bool Connect();
  bool IsConnected() const { return m_connected; }
  const Endpoint& Peer() const { return m_endpoint; }
  bufferevent* Raw() { return m_bufferevent; }
  // The call that uses the connection now, or nullptr.
  void SetCall(HttpCall* aCall) { m_call = aCall; }

  // Closes the socket at once. The object is only to be destroyed then.
  void CloseDescriptor();
  // Begins an exchange: no byte of it has left yet.
  void BeginExchange() { m_sentBytes = 0; }
  void Send(std::initializer_list<std::string_view> aPieces);
  // Sends a text and keeps it until then, without copying it.
  void SendShared(std::shared_ptr<const std::string> aText);
  // Bytes handed to the kernel since BeginExchange().
  size_t SentBytes() const { return m_sentBytes; }
  // Whether bytes wait that belong to no answer, or weren't sent.
  bool HasLeftovers() const;

  // When the connection was put aside, and until when it may be used.
  void SetIdle(Millis aSince, Millis aUntil);
  Millis IdleSince() const { return m_idleSince; }
  Millis UsableUntil() const { return m_usableUntil; }

private:
  static void OnOutput(evbuffer*, const evbuffer_cb_info* aInfo, void* aSelf);
  static void OnReadable(bufferevent*, void* aSelf);
  static void OnEvent(bufferevent*, short aEvents, void* aSelf);

  HttpClient& m_client;
  Endpoint m_endpoint;
  bufferevent* m_bufferevent;
  HttpCall* m_call = nullptr;
  size_t m_sentBytes = 0;
  bool m_connected = false;
  Millis m_idleSince;
  Millis m_usableUntil;
};

} // namespace briarglade
