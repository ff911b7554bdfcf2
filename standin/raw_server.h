// A TCP server that answers each request with bytes as they are, for tests of
// broken answers.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace briarglade {
class EventLoop;
}

namespace briarglade::standin {

// What becomes of a connection once the bytes are sent.
enum class RawEnd
{
  Keep,
  // Closed in an orderly way.
  Close,
  Reset
};

struct RawAnswer
{
  std::string m_bytes;
  RawEnd m_end = RawEnd::Keep;
  // Sent again and again behind the answer until the client closes, if not
  // empty.
  std::string m_endless = {};
};

class RawServer
{
public:
  using Script = std::function<RawAnswer(const std::string& aRequest)>;

  // Asks the script for the answer to each whole request; a body must have a
  // stated length.
  RawServer(EventLoop& aLoop, Script aScript);
  // Answers each whole request with the bytes; closes the connection afterwards
  // if told to.
  RawServer(EventLoop& aLoop, std::string aAnswer, bool aCloses);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  uint16_t Port() const { return m_port; }
  int AcceptedCount() const { return m_accepted; }
  // Returns the bytes that were sent without end so far.
  uint64_t EndlessBytes() const { return m_endlessBytes; }
  // Calls back for each request.
  void OnRequest(std::function<void()> aCallback);
  // Calls back when a client has closed its connection.
  void OnClosed(std::function<void()> aCallback);

private:
  void Accept(int aSocket);
  void Answer(bufferevent* aConnection);
  void SendEndless(bufferevent* aConnection);
  void Drop(bufferevent* aConnection);

  EventLoop& m_loop;
  Script m_script;
  evconnlistener* m_listener = nullptr;
  uint16_t m_port = 0;
  int m_accepted = 0;
  std::vector<bufferevent*> m_connections;
  // What is sent without end, by connection.
  std::map<bufferevent*, std::string> m_endless;
  uint64_t m_endlessBytes = 0;
  std::function<void()> m_onRequest;
  std::function<void()> m_onClosed;
};

} // namespace briarglade::standin
