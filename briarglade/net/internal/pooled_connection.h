// One outgoing connection: evhttp's, with a count of the bytes that have left.

#pragma once

#include <cstddef>

#include "briarglade/base/endpoint.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;

namespace briarglade {

class HttpClient;

class PooledConnection
{
public:
  PooledConnection(HttpClient& aClient, const Endpoint& aEndpoint);
  ~PooledConnection();
  PooledConnection(const PooledConnection&) = delete;
  PooledConnection& operator=(const PooledConnection&) = delete;

  evhttp_connection* Raw() { return m_connection; }
  const Endpoint& Peer() const { return m_endpoint; }
  // Whether the TCP connection was made at some time.
  bool WasUsed() const { return m_used; }
  void MarkUsed() { m_used = true; }
  // Bytes handed to the kernel since BeginExchange().
  size_t SentBytes() const { return m_sentBytes; }
  void BeginExchange() { m_sentBytes = 0; }
  // Whether bytes wait that belong to no answer.
  bool HasStrayBytes() const;
  void SetIdle(bool aIdle) { m_idle = aIdle; }

private:
  static void OnOutput(evbuffer*, const evbuffer_cb_info* aInfo, void* aSelf);
  static void OnClosed(evhttp_connection*, void* aSelf);

  HttpClient& m_client;
  Endpoint m_endpoint;
  evhttp_connection* m_connection;
  size_t m_sentBytes = 0;
  bool m_used = false;
  bool m_idle = false;
};

} // namespace briarglade
