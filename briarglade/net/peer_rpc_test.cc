// Tests of the RPC between nodes, over loopback with ports from the kernel.

#include "briarglade/net/peer_rpc.h"

#include <doctest/doctest.h>
#include <string>

#include "briarglade/net/event_loop.h"

namespace briarglade {
namespace {

struct SentResult
{
  int m_ok = 0;
  int m_failed = 0;
  std::string m_lastAnswer;
};

TEST_CASE("messages are answered, and each answer is its message's own")
{
  EventLoop loop;
  PeerRpc rpc(loop);
  rpc.SetHandler([](const std::string& aMessage) { return aMessage + "!"; });
  const Endpoint self{ "127.0.0.1", rpc.Listen({ "127.0.0.1", 0 }) };
  REQUIRE(self.m_port != 0);

  constexpr int kCalls = 200;
  SentResult result;
  int mismatched = 0;
  std::function<void(int)> next = [&](int aNumber) {
    const std::string message = "message " + std::to_string(aNumber);
    rpc.Send(
      self, message, [&, message, aNumber](bool aOk, const auto& aAnswer) {
        aOk ? ++result.m_ok : ++result.m_failed;
        mismatched += aAnswer == message + "!" ? 0 : 1;
        if (aNumber + 1 < kCalls) {
          next(aNumber + 1);
        } else {
          loop.Stop();
        }
      });
  };
  next(0);
  loop.Run();
  CHECK(result.m_ok == kCalls);
  CHECK(result.m_failed == 0);
  CHECK(mismatched == 0);
}

TEST_CASE(
  "a peer that isn't there fails the call, and the next call goes through")
{
  EventLoop loop;
  PeerRpc rpc(loop);
  const Endpoint self{ "127.0.0.1", rpc.Listen({ "127.0.0.1", 0 }) };
  // Port 1 is reserved; nothing listens there.
  const Endpoint closed{ "127.0.0.1", 1 };
  SentResult result;
  rpc.Send(closed, "hello", [&](bool aOk, const auto&) {
    aOk ? ++result.m_ok : ++result.m_failed;
    rpc.SetHandler([](const std::string&) { return std::string("back"); });
    rpc.Send(self, "hello", [&](bool aOkAgain, const auto& aAnswer) {
      aOkAgain ? ++result.m_ok : ++result.m_failed;
      result.m_lastAnswer = aAnswer;
      loop.Stop();
    });
  });
  loop.Run();
  CHECK(result.m_failed == 1);
  CHECK(result.m_ok == 1);
  CHECK(result.m_lastAnswer == "back");
}

TEST_CASE("calls beyond the bound for one peer fail at once")
{
  EventLoop loop;
  PeerRpc rpc(loop);
  rpc.SetHandler([](const std::string& aMessage) { return aMessage; });
  const Endpoint self{ "127.0.0.1", rpc.Listen({ "127.0.0.1", 0 }) };
  constexpr int kCalls = 40;
  SentResult result;
  for (int i = 0; i < kCalls; ++i) {
    rpc.Send(self, "x", [&](bool aOk, const auto&) {
      aOk ? ++result.m_ok : ++result.m_failed;
      if (result.m_ok + result.m_failed == kCalls) {
        loop.Stop();
      }
    });
  }
  loop.Run();
  CHECK(result.m_ok == 16);
  CHECK(result.m_failed == kCalls - 16);
}

} // namespace
} // namespace briarglade
