// A TCP client that sends bytes as they are, for tests of bad input.
//
// Example:
//   RawClient client(loop, port);
//   client.Send("GET / HTTP/1.1\r\n\r\n");
//   client.OnEnd([&] { loop.Stop(); });

#pragma once

#include <cstdint>
#include <functional>
#include <string>

struct bufferevent;

namespace briarglade {
class EventLoop;
}

namespace briarglade::standin {

class RawClient
{
public:
  // Connects to a port of this machine.
  RawClient(EventLoop& aLoop, uint16_t aPort);
  ~RawClient();
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& aBytes);
  // Takes nothing more from the connection.
  void PauseReading();
  // Takes what comes again.
  void ResumeReading();
  // Closes the sending half of the connection.
  void CloseSending();
  // Calls back with everything received, each time more has come.
  void OnData(std::function<void(const std::string&)> aCallback);
  // Calls back once the server has closed the connection.
  void OnEnd(std::function<void()> aCallback);
  const std::string& Received() const { return m_received; }

private:
  bufferevent* m_bufferevent;
  std::string m_received;
  std::function<void(const std::string&)> m_onData;
  std::function<void()> m_onEnd;
};

} // namespace briarglade::standin
