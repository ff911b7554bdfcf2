// Replays of a cold server that some or all nodes of a large fleet have
// requests for, with messages between the nodes that are delayed or lost.

#include "briarglade/gateway/cold_start_limit.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "briarglade/base/make_roster_test.h"
#include "briarglade/gateway/fleet_quota.h"
#include "briarglade/gateway/gateway_event.h"

namespace briarglade {
namespace {

constexpr double kFactor = 1.5;
constexpr double kSlack = 5;
constexpr Millis kSecond = Millis(1'000);
constexpr Millis kStep = Millis(10);
// A request gives up after this time.
constexpr Millis kPatience = Millis(1'500);
// How long a node without a roster that is long enough known has no quota.
constexpr Millis kSettleTime = Millis(14'000);
// The longest time between sending a request and its arrival.
constexpr int kMaxArrivalJitter = 300;
// The time from a request's arrival to the server's response.
constexpr Millis kResponseTime = Millis(50);

struct ReplayOptions
{
  uint32_t m_nodes = 133;
  double m_coldRate = 17;
  // Every so many nodes, one receives requests.
  uint32_t m_busyEvery = 1;
  double m_requestsPerSecond = 1;
  int m_leastDelay = 10;
  int m_mostDelay = 100;
  double m_lossRate = 0;
  // Whether the server responds well to a request that arrives now.
  std::function<bool(Millis)> m_respondsWell = [](Millis) { return true; };
  uint32_t m_seed = 1;
};

// One run of a node's process.
struct Node
{
  explicit Node(const NodeId& aId)
    : m_quota(std::make_shared<FleetQuota>(aId))
    , m_limit(m_quota)
  {
    m_limit.SetBounds(kFactor, kSlack);
  }

  std::shared_ptr<FleetQuota> m_quota;
  ColdStartLimit m_limit;
  std::deque<Millis> m_waiting;
};

// A fleet with one server.
class Replay
{
public:
  explicit Replay(const ReplayOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
    , m_roster(std::make_shared<const std::vector<NodeId>>(
        MakeRoster(aOptions.m_nodes)))
  {
    m_isCutOff.resize(aOptions.m_nodes);
    m_incarnations.resize(aOptions.m_nodes);
    for (uint32_t node = 0; node < aOptions.m_nodes; ++node) {
      Start(node, Millis(1'000'000));
    }
    TurnCold(Millis(3'000));
  }

  // The server starts, and is cold for aTime.
  void TurnCold(Millis aTime)
  {
    m_backend.m_server = HostId("s");
    m_backend.m_coldRate = m_options.m_coldRate;
    m_backend.m_coldUntil = m_now + aTime;
  }

  // Restarts the process of a node, which then has no quota for a while.
  void Restart(uint32_t aNode) { Start(aNode, Millis()); }
  void SetCutOff(uint32_t aNode, bool aIsCutOff)
  {
    m_isCutOff[aNode] = aIsCutOff;
  }

  void Run(Millis aTime)
  {
    for (const Millis end = m_now + aTime; m_now < end; m_now += kStep) {
      Deliver();
      for (uint32_t node = 0; node < m_nodes.size(); ++node) {
        RunNode(node);
      }
    }
  }

  size_t Bound() const
  {
    return static_cast<size_t>(m_options.m_coldRate * kFactor + kSlack);
  }
  size_t SentCount() const { return m_arrivals.size(); }
  // Returns the number of nodes that have sent a request.
  size_t SenderCount() const { return m_sentBy.size(); }
  size_t MessageCount() const { return m_messageCount; }
  uint32_t Pick(uint32_t aCount) { return m_random() % aCount; }

  size_t ArrivedBetween(Millis aFrom, Millis aUntil) const
  {
    return static_cast<size_t>(
      std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](Millis aAt) {
        return aAt >= aFrom && aAt < aUntil;
      }));
  }

  // Returns the greatest number of requests that arrived within a second.
  size_t MostWithinSecond() const
  {
    std::vector<Millis> arrivals = m_arrivals;
    std::sort(arrivals.begin(), arrivals.end());
    size_t most = 0;
    for (size_t first = 0, last = 0; last < arrivals.size(); ++last) {
      while (arrivals[last] - arrivals[first] >= kSecond) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

private:
  struct Message
  {
    uint32_t m_to = 0;
    uint64_t m_incarnation = 0;
    std::function<void(Node&)> m_apply;
  };

  void Start(uint32_t aNode, Millis aValidUntil)
  {
    const auto [entry, isNew] =
      m_nodes.insert_or_assign(aNode, Node((*m_roster)[aNode]));
    entry->second.m_quota->SetRoster(m_roster, aValidUntil);
    ++m_incarnations[aNode];
    if (!isNew) {
      m_settledAt[aNode] = m_now + kSettleTime;
    }
  }

  uint32_t IndexOf(const NodeId& aId) const
  {
    return static_cast<uint32_t>(
      std::find(m_roster->begin(), m_roster->end(), aId) - m_roster->begin());
  }

  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random) <
           aProbability;
  }

  void Send(uint32_t aFrom, Message aMessage)
  {
    ++m_messageCount;
    if (m_isCutOff[aFrom] || m_isCutOff[aMessage.m_to] ||
        Chance(m_options.m_lossRate)) {
      return;
    }
    const int delay = std::uniform_int_distribution<int>(
      m_options.m_leastDelay, m_options.m_mostDelay)(m_random);
    m_messages.emplace(m_now + Millis(delay), std::move(aMessage));
  }

  void Deliver()
  {
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
      const Message message = m_messages.begin()->second;
      m_messages.erase(m_messages.begin());
      // As the receiver's process does, for grants.
      const bool isForThisRun =
        message.m_incarnation == 0 ||
        message.m_incarnation == m_incarnations[message.m_to];
      if (isForThisRun) {
        message.m_apply(m_nodes.at(message.m_to));
      }
    }
  }

  void RunNode(uint32_t aNode)
  {
    Node& node = m_nodes.at(aNode);
    const auto settled = m_settledAt.find(aNode);
    if (settled != m_settledAt.end() && settled->second <= m_now) {
      node.m_quota->SetRoster(m_roster, Millis(1'000'000));
      m_settledAt.erase(settled);
    }
    node.m_limit.RecordBackend(m_now, m_backend);
    const double perStep = m_options.m_requestsPerSecond *
                           static_cast<double>(kStep.Count()) /
                           static_cast<double>(kSecond.Count());
    if (aNode % m_options.m_busyEvery == 0 && Chance(perStep)) {
      node.m_waiting.push_back(m_now);
    }
    while (!node.m_waiting.empty() &&
           m_now - node.m_waiting.front() >= kPatience) {
      node.m_waiting.pop_front();
    }
    while (!node.m_waiting.empty() && node.m_limit.IsCold(m_now, m_backend) &&
           node.m_limit.MaySend(m_now, m_backend)) {
      node.m_waiting.pop_front();
      node.m_limit.RecordSent(m_now, m_backend.m_server);
      const Millis arrival = m_now + Millis(Pick(kMaxArrivalJitter + 1));
      m_arrivals.push_back(arrival);
      const bool isGood = m_options.m_respondsWell(arrival);
      const Millis sentAt = m_now;
      m_messages.emplace(
        arrival + kResponseTime,
        Message{
          aNode, m_incarnations[aNode], [this, sentAt, isGood](Node& aSender) {
            aSender.m_limit.RecordResponse(sentAt, m_backend.m_server, isGood);
          } });
      ++m_sentBy[aNode];
    }
    if (!node.m_waiting.empty()) {
      node.m_limit.RecordWanted(m_now, m_backend.m_server);
    }
    ExchangeTurns(aNode, node);
  }

  void ExchangeTurns(uint32_t aNode, Node& aState)
  {
    for (const AskForColdTurn& ask : aState.m_limit.NextRequests(m_now)) {
      const ColdTurnRequested request{ (*m_roster)[aNode],
                                       m_incarnations[aNode],
                                       ask.m_request };
      Send(aNode,
           Message{ IndexOf(ask.m_node), 0, [this, request](Node& aReceiver) {
                     aReceiver.m_limit.OnRequest(m_now, request);
                   } });
    }
    for (const GrantColdTurn& grant : aState.m_limit.NextGrants(m_now)) {
      const ColdTurnGranted granted{ (*m_roster)[aNode], grant.m_turn };
      Send(aNode,
           Message{ IndexOf(grant.m_asker),
                    grant.m_incarnation,
                    [this, granted](Node& aReceiver) {
                      Receive(granted, aReceiver);
                    } });
    }
    for (const ReportTurnResponse& report :
         aState.m_limit.TakeTurnResponses()) {
      const ColdTurnResponse response = report.m_response;
      Send(aNode,
           Message{ IndexOf(report.m_holder), 0, [response](Node& aReceiver) {
                     aReceiver.m_limit.OnTurnResponse(response);
                   } });
    }
    for (const EndColdTurn& end : aState.m_limit.TakeEndedTurns()) {
      const ColdTurnEnded ended{ (*m_roster)[aNode],
                                 m_incarnations[aNode],
                                 end.m_turn };
      Send(aNode,
           Message{ IndexOf(end.m_holder), 0, [this, ended](Node& aReceiver) {
                     aReceiver.m_limit.OnEnded(m_now, ended);
                   } });
    }
  }

  // As the gateway does.
  void Receive(const ColdTurnGranted& aGranted, Node& aReceiver)
  {
    if (aReceiver.m_limit.OnGrant(m_now, aGranted) &&
        aReceiver.m_waiting.empty()) {
      aReceiver.m_limit.GiveBack(aGranted.m_turn.m_server);
    }
  }

  ReplayOptions m_options;
  std::minstd_rand m_random;
  Millis m_now;
  NodeList m_roster;
  Backend m_backend;
  std::map<uint32_t, Node> m_nodes;
  std::vector<bool> m_isCutOff;
  std::vector<uint64_t> m_incarnations;
  std::map<uint32_t, Millis> m_settledAt;
  std::multimap<Millis, Message> m_messages;
  std::vector<Millis> m_arrivals;
  std::map<uint32_t, size_t> m_sentBy;
  size_t m_messageCount = 0;
};

// Guards against a server that is idle while requests wait at nodes whose quota
// is zero.
TEST_CASE("turns reach the nodes that have requests for a cold server")
{
  for (const uint32_t nodes : { 65U, 133U, 320U }) {
    CAPTURE(nodes);
    ReplayOptions options;
    options.m_nodes = nodes;
    options.m_busyEvery = nodes / 12;
    options.m_requestsPerSecond = 6;
    Replay replay(options);
    replay.Run(Millis(3'000));
    MESSAGE("sent " << replay.SentCount() << ", messages "
                    << replay.MessageCount());
    CHECK(replay.MostWithinSecond() <= replay.Bound());
    // Half of three seconds' worth of the bound.
    CHECK(replay.SentCount() >= replay.Bound() * 3 / 2);
  }
}

// Guards against quotas that go to the same few nodes all the time.
TEST_CASE("nodes that all have requests for a cold server take turns")
{
  ReplayOptions options;
  options.m_requestsPerSecond = 2;
  Replay replay(options);
  replay.TurnCold(Millis(10'000));
  replay.Run(Millis(10'000));
  MESSAGE("senders " << replay.SenderCount() << ", sent " << replay.SentCount()
                     << ", messages " << replay.MessageCount());
  CHECK(replay.MostWithinSecond() <= replay.Bound());
  CHECK(replay.SentCount() >= replay.Bound() * 10 / 2);
  // Most nodes, although only 30 of the 133 have a quota.
  CHECK(replay.SenderCount() >= options.m_nodes * 3 / 4);
}

// Guards against a fleet that depends on the messages.
TEST_CASE("without messages, each node uses its own quota of a cold server")
{
  ReplayOptions options;
  options.m_requestsPerSecond = 6;
  options.m_lossRate = 1;
  Replay replay(options);
  replay.Run(Millis(3'000));
  CHECK(replay.MostWithinSecond() <= replay.Bound());
  CHECK(replay.SentCount() >= replay.Bound());
}

// Guards against a rate that does not follow how the server responds. Equal
// times are compared that are much longer than the 1.4 s in which each quota is
// used once, because the nodes' uses are nearly simultaneous.
TEST_CASE("a cold server that does not cope gets fewer requests, and more once "
          "it does")
{
  for (const uint32_t nodes : { 9U, 65U, 133U }) {
    CAPTURE(nodes);
    ReplayOptions options;
    options.m_nodes = nodes;
    options.m_requestsPerSecond = 400.0 / nodes;
    options.m_respondsWell = [](Millis aAt) {
      return aAt < Millis(7'000) || aAt >= Millis(17'000);
    };
    Replay replay(options);
    replay.TurnCold(Millis(29'000));
    replay.Run(Millis(29'000));
    const size_t well = replay.ArrivedBetween(Millis(1'000), Millis(7'000));
    const size_t badly = replay.ArrivedBetween(Millis(10'000), Millis(16'000));
    const size_t again = replay.ArrivedBetween(Millis(23'000), Millis(29'000));
    MESSAGE("well " << well << ", badly " << badly << ", again " << again);
    CHECK(replay.MostWithinSecond() <= replay.Bound());
    CHECK(badly * 2 <= well);
    CHECK(badly > 0);
    CHECK(again * 4 >= well * 3);
  }
}

// Guards against turns that are used twice or outlive their quota.
TEST_CASE("a cold server is not overloaded while turns are delayed or lost and "
          "nodes restart")
{
  for (uint32_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    ReplayOptions options;
    options.m_nodes = seed % 3 == 0 ? 320 : 65;
    options.m_busyEvery = 1 + seed % 5;
    options.m_requestsPerSecond = 6;
    options.m_mostDelay = seed % 2 == 0 ? 700 : 300;
    options.m_lossRate = 0.1;
    options.m_seed = seed;
    Replay replay(options);
    for (int i = 0; i < 30; ++i) {
      replay.Restart(replay.Pick(options.m_nodes));
      replay.SetCutOff(replay.Pick(options.m_nodes), true);
      replay.SetCutOff(replay.Pick(options.m_nodes), false);
      // The server flaps: it starts anew while it is still cold.
      if (i % 8 == 7) {
        replay.TurnCold(Millis(3'000));
      }
      replay.Run(Millis(300));
    }
    CHECK(replay.MostWithinSecond() <= replay.Bound());
    CHECK(replay.SentCount() > 0);
  }
}

// Guards against a holder that uses its quota within a second of the last
// moment at which its turn can be used: 500 ms of lifetime, and the window of
// 1,300 ms.
TEST_CASE("a granted turn counts as sent at the end of its lifetime")
{
  Node node(NodeId("n0"));
  node.m_quota->SetRoster(
    std::make_shared<const std::vector<NodeId>>(1, NodeId("n0")),
    Millis(9'000));
  node.m_limit.SetBounds(1, 0);
  Backend cold;
  cold.m_server = HostId("s");
  cold.m_coldRate = 1;
  cold.m_coldUntil = Millis(9'000);
  node.m_limit.RecordBackend(Millis(1'000), cold);
  const auto request = [&](Millis aNow) {
    node.m_limit.OnRequest(
      aNow,
      ColdTurnRequested{
        NodeId("n1"),
        7,
        ColdTurnRequest{ cold.m_server, Millis(55), Millis(1'000) } });
    return node.m_limit.NextGrants(aNow);
  };
  const std::vector<GrantColdTurn> grants = request(Millis(1'000));
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].m_asker == NodeId("n1"));
  CHECK(grants[0].m_incarnation == 7);
  CHECK(grants[0].m_turn.m_askedAt == Millis(55));
  CHECK_FALSE(node.m_limit.MaySend(Millis(2'799), cold));
  CHECK(request(Millis(2'799)).empty());
  CHECK(node.m_limit.MaySend(Millis(2'999), cold));
  // The asker reports its end 100 ms after the grant; another run of its
  // process can't.
  REQUIRE(request(Millis(3'000)).size() == 1);
  const ColdTurn turn{ cold.m_server, Millis(55) };
  node.m_limit.OnEnded(Millis(3'050), ColdTurnEnded{ NodeId("n1"), 8, turn });
  node.m_limit.OnEnded(Millis(3'100), ColdTurnEnded{ NodeId("n1"), 7, turn });
  CHECK_FALSE(node.m_limit.MaySend(Millis(4'399), cold));
  CHECK(node.m_limit.MaySend(Millis(4'400), cold));
  // A turn must end before the right to the quota does.
  CHECK(request(Millis(8'500)).empty());
  CHECK(request(Millis(8'499)).size() == 1);
}

TEST_CASE("a turn is used once, and not after its lifetime")
{
  Node node(NodeId("n0"));
  node.m_quota->SetRoster(
    std::make_shared<const std::vector<NodeId>>(MakeRoster(2)), Millis());
  Backend cold;
  cold.m_server = HostId("s");
  cold.m_coldRate = 1;
  cold.m_coldUntil = Millis(9'000);
  node.m_limit.RecordBackend(Millis(1'000), cold);
  node.m_limit.RecordWanted(Millis(1'000), cold.m_server);
  const std::vector<AskForColdTurn> asks =
    node.m_limit.NextRequests(Millis(1'000));
  REQUIRE(asks.size() == 1);
  CHECK(asks[0].m_node == NodeId("n1"));
  const ColdTurnGranted grant{
    NodeId("n1"), ColdTurn{ cold.m_server, asks[0].m_request.m_askedAt }
  };
  CHECK(node.m_limit.OnGrant(Millis(1'100), grant));
  CHECK(node.m_limit.MaySend(Millis(1'499), cold));
  CHECK_FALSE(node.m_limit.MaySend(Millis(1'500), cold));
  node.m_limit.RecordSent(Millis(1'400), cold.m_server);
  CHECK_FALSE(node.m_limit.MaySend(Millis(1'400), cold));
  CHECK_FALSE(node.m_limit.OnGrant(Millis(1'400), grant));
  CHECK_FALSE(node.m_limit.MaySend(Millis(1'400), cold));
}

} // namespace
} // namespace briarglade
