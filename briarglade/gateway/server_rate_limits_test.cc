// Tests of the rate limits that servers state.

#include "briarglade/gateway/server_rate_limits.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "briarglade/base/make_roster_test.h"
#include "briarglade/gateway/fleet_quota.h"

namespace briarglade {
namespace {

constexpr double kRate = 5;
const ServerRun kServer{ HostId("s1"), BootId("1") };

struct Node
{
  explicit Node(const NodeId& aSelf)
    : m_quota(std::make_shared<FleetQuota>(aSelf))
    , m_limits(m_quota)
  {
  }

  std::shared_ptr<FleetQuota> m_quota;
  ServerRateLimits m_limits;
};

// Nodes that always have a request for the server.
struct World
{
  World(uint32_t aNodes, bool aHasQuota)
  {
    const auto roster =
      std::make_shared<const std::vector<NodeId>>(MakeRoster(aNodes));
    for (const NodeId& id : *roster) {
      m_nodes.emplace_back(id);
      m_nodes.back().m_quota->SetLiveNodeCount(aNodes);
      if (aHasQuota) {
        m_nodes.back().m_quota->SetRoster(roster, Millis(1'000'000'000));
      }
    }
  }

  void State(std::optional<double> aRate)
  {
    for (Node& node : m_nodes) {
      node.m_limits.OnNotice(m_now,
                             RateLimitNotice{ kServer, aRate, Millis() });
    }
  }

  // Returns the number of requests that were sent.
  size_t Run(Millis aTime)
  {
    const size_t before = m_sent.size();
    for (const Millis end = m_now + aTime; m_now < end; m_now += Millis(10)) {
      for (Node& node : m_nodes) {
        if (node.m_limits.MaySend(m_now, kServer)) {
          node.m_limits.RecordSent(m_now, kServer.m_server);
          m_sent.push_back(m_now);
        }
      }
    }
    return m_sent.size() - before;
  }

  // Returns the greatest number of requests within a time.
  size_t MostWithin(Millis aTime) const
  {
    std::deque<Millis> recent;
    size_t most = 0;
    for (const Millis at : m_sent) {
      recent.push_back(at);
      while (recent.front() + aTime <= at) {
        recent.pop_front();
      }
      most = std::max(most, recent.size());
    }
    return most;
  }

  std::deque<Node> m_nodes;
  std::vector<Millis> m_sent;
  Millis m_now{ 10'000 };
};

TEST_CASE("all nodes together keep a server's limit, and use most of it")
{
  for (const uint32_t nodes : { 1U, 9U, 195U }) {
    for (const double rate : { 0.7, 5.0, 40.0 }) {
      CAPTURE(nodes);
      CAPTURE(rate);
      World world(nodes, true);
      world.State(rate);
      const auto sent = static_cast<double>(world.Run(Millis(60'000)));
      CHECK(static_cast<double>(world.MostWithin(Millis(4'000))) <=
            std::max(2.0, rate * 4));
      CHECK(sent >= rate * 60 * 0.6);
    }
  }
}

TEST_CASE("a limit of less than a request a window, and one of zero, let a "
          "request through now and then")
{
  for (const double rate : { 0.1, 0.0 }) {
    CAPTURE(rate);
    World world(9, true);
    world.State(rate);
    const size_t sent = world.Run(Millis(120'000));
    CHECK(sent >= 3);
    CHECK(sent <= 13);
  }
}

TEST_CASE("nodes without a valid quota send little, all together")
{
  for (const uint32_t nodes : { 1U, 9U, 195U }) {
    CAPTURE(nodes);
    World world(nodes, false);
    world.State(kRate);
    const auto sent = static_cast<double>(world.Run(Millis(120'000)));
    CHECK(sent > 0);
    CHECK(sent <= kRate * 120 * 0.3);
    CHECK(static_cast<double>(world.MostWithin(Millis(4'000))) <= kRate * 4);
  }
}

TEST_CASE("requests that were sent before the limit was known count")
{
  World world(1, true);
  CHECK(world.Run(Millis(1'000)) == 100);
  world.State(kRate);
  CHECK(world.Run(Millis(1'000)) == 0);
  CHECK(world.m_nodes[0].m_limits.NextSendAt(world.m_now, kServer) >
        world.m_now);
}

TEST_CASE("a limit ends with an answer to a later request that states none")
{
  Node node(NodeId("n0"));
  ServerRateLimits& limits = node.m_limits;
  CHECK_FALSE(limits.OnAnswer(Millis(900), Millis(800), kServer, std::nullopt));
  CHECK(limits.OnAnswer(Millis(1'000), Millis(900), kServer, kRate));
  CHECK_FALSE(limits.OnAnswer(Millis(1'100), Millis(950), kServer, kRate));
  CHECK(limits.RateOf(kServer) == kRate);
  // The answer was on its way for long, or its request was sent before.
  CHECK_FALSE(
    limits.OnAnswer(Millis(1'200), Millis(1'050), kServer, std::nullopt));
  CHECK(limits.RateOf(kServer) == kRate);
  CHECK(limits.OnAnswer(Millis(1'300), Millis(1'150), kServer, std::nullopt));
  CHECK_FALSE(limits.RateOf(kServer));
  CHECK(limits.MaySend(Millis(1'300), kServer));
}

TEST_CASE("a limit is that of one run of a server")
{
  Node node(NodeId("n0"));
  node.m_limits.OnAnswer(Millis(1'000), Millis(900), kServer, kRate);
  const ServerRun next{ kServer.m_server, BootId("2") };
  CHECK_FALSE(node.m_limits.RateOf(next));
  CHECK(node.m_limits.MaySend(Millis(1'000), next));
}

TEST_CASE("of two notices the newer one counts, also one of a limit's end")
{
  Node node(NodeId("n0"));
  ServerRateLimits& limits = node.m_limits;
  const Millis now(10'000);
  CHECK(limits.OnNotice(now, RateLimitNotice{ kServer, kRate, Millis(500) }));
  CHECK(limits.OnNotice(now,
                        RateLimitNotice{ kServer, std::nullopt, Millis(200) }));
  CHECK_FALSE(
    limits.OnNotice(now, RateLimitNotice{ kServer, kRate, Millis(300) }));
  CHECK_FALSE(limits.RateOf(kServer));
  CHECK(limits.OnNotice(now, RateLimitNotice{ kServer, 2.0, Millis(100) }));
  CHECK(limits.RateOf(kServer) == 2.0);
}

TEST_CASE("notices name every server in turn, and forget what is old")
{
  Node node(NodeId("n0"));
  ServerRateLimits& limits = node.m_limits;
  constexpr size_t kServers = 20;
  for (size_t i = 0; i < kServers; ++i) {
    const ServerRun server{ HostId("s" + std::to_string(i)), BootId("1") };
    limits.OnAnswer(Millis(1'000), Millis(900), server, kRate);
  }
  std::vector<HostId> named;
  HostId last;
  HostId lastOfOthers;
  for (int i = 0; i < 3; ++i) {
    // Other receivers are told in between.
    limits.NextNotices(Millis(1'300), lastOfOthers);
    for (const RateLimitNotice& notice :
         limits.NextNotices(Millis(1'300), last)) {
      CHECK(notice.m_age == Millis(300));
      named.push_back(notice.m_server.m_server);
    }
  }
  std::sort(named.begin(), named.end());
  named.erase(std::unique(named.begin(), named.end()), named.end());
  CHECK(named.size() == kServers);
  limits.RemoveIdle(Millis(120'000));
  CHECK(limits.NextNotices(Millis(120'000), last).empty());
}

} // namespace
} // namespace briarglade
