// Tests of which nodes callers are sent to.

#include "briarglade/entry/node_directory.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <string>

namespace briarglade {
namespace {

NodeRow MakeRow(const char* aName, uint16_t aPort, uint64_t aIncarnation = 1)
{
  NodeRow row;
  row.m_node = NodeId(aName);
  row.m_callerAddress = Endpoint{ "127.0.0.1", aPort };
  row.m_incarnation = aIncarnation;
  return row;
}

NodeNews MakeNews(const char* aName, uint64_t aIncarnation = 1)
{
  NodeNews news;
  news.m_node = NodeId(aName);
  news.m_incarnation = aIncarnation;
  news.m_condition.m_isReady = true;
  return news;
}

// Returns the time of a message that was on its way for no time.
SendTime SentAt(Millis aNow)
{
  return { aNow, aNow };
}

struct World
{
  NodeDirectory m_directory{ MakeRow("n1", 1) };
  Millis m_now{ 10'000 };

  World()
  {
    m_directory.SetSelf(true, false);
    for (const auto& [name, port] :
         { std::pair<const char*, uint16_t>{ "n2", 2 }, { "n3", 3 } }) {
      const NodeRow row = MakeRow(name, port);
      m_directory.OnRow(m_now, row.m_node, &row);
      m_directory.OnPeerUpdate(SentAt(m_now), MakeNews(name));
    }
  }
  size_t Count() { return m_directory.Addresses(m_now, ZoneId()).size(); }
};

TEST_CASE("callers are sent to nodes that live and are ready")
{
  World world;
  CHECK(world.Count() == 3);
  NodeNews leaving = MakeNews("n2");
  leaving.m_condition.m_isLeaving = true;
  world.m_directory.OnPeerUpdate(SentAt(world.m_now), leaving);
  CHECK(world.Count() == 2);
  NodeNews unready = MakeNews("n3");
  unready.m_condition.m_isReady = false;
  world.m_directory.OnPeerUpdate(SentAt(world.m_now), unready);
  CHECK(world.Count() == 1);
  world.m_directory.SetSelf(true, true);
  CHECK(world.Count() == 0);
}

TEST_CASE("callers of a large fleet are sent to nodes of their zone and, by "
          "turns, to all others")
{
  // Three zones of 40 nodes, told from each other by their ports.
  constexpr uint16_t kZoneNodes = 40;
  constexpr uint16_t kZones = 3;
  NodeRow self = MakeRow("a0", 0);
  self.m_zone = ZoneId("a");
  NodeDirectory directory(self);
  directory.SetSelf(true, false);
  const Millis now(10'000);
  for (uint16_t port = 1; port < kZones * kZoneNodes; ++port) {
    const std::string zone(1, static_cast<char>('a' + port / kZoneNodes));
    const std::string name = zone + std::to_string(port);
    NodeRow row = MakeRow(name.c_str(), port);
    row.m_zone = ZoneId(zone);
    directory.OnRow(now, row.m_node, &row);
    directory.OnPeerUpdate(SentAt(now), MakeNews(name.c_str()));
  }
  std::map<uint16_t, int> counts;
  constexpr int kQuestions = 40;
  for (int i = 0; i < kQuestions; ++i) {
    const std::vector<Endpoint> addresses =
      directory.Addresses(now, ZoneId("b"));
    CHECK(addresses.size() == 64);
    for (const Endpoint& address : addresses) {
      ++counts[address.m_port];
    }
  }
  for (uint16_t port = 0; port < kZones * kZoneNodes; ++port) {
    CAPTURE(port);
    const bool isNear = port / kZoneNodes == 1;
    CHECK(counts[port] >= (isNear ? kQuestions : 1));
  }
}

TEST_CASE("a node that falls silent is no longer given out")
{
  World world;
  world.m_now += Millis(1'500);
  world.m_directory.OnPeerUpdate(SentAt(world.m_now), MakeNews("n2"));
  CHECK(world.Count() == 3);
  world.m_now += Millis(1'000);
  CHECK(world.Count() == 2);
}

TEST_CASE("a node that hears of no other gives them out for a few seconds, and "
          "not longer")
{
  World world;
  world.m_now += Millis(3'000);
  CHECK(world.Count() == 3);
  world.m_now += Millis(2'000);
  CHECK(world.Count() == 1);
}

TEST_CASE("a process is lost when it is silent, reborn or has gone")
{
  World world;
  const NodeId other("n2");
  CHECK_FALSE(world.m_directory.IsLost(world.m_now, other, 1));
  CHECK(world.m_directory.IsLost(world.m_now, other, 2));
  CHECK(world.m_directory.IsLost(world.m_now + Millis(1'400), other, 1));
  world.m_directory.OnPeerUpdate(SentAt(world.m_now), MakeNews("n2", 5));
  CHECK(world.m_directory.IsLost(world.m_now, other, 1));
  CHECK_FALSE(world.m_directory.IsLost(world.m_now, NodeId("n1"), 1));
  CHECK(world.m_directory.IsLost(world.m_now, NodeId("n1"), 9));
  world.m_directory.OnRow(world.m_now, other, nullptr);
  CHECK(world.m_directory.IsLost(world.m_now, other, 5));
}

TEST_CASE(
  "two nodes follow the store, the holder of the lease in front, and one "
  "that the store turns away is replaced")
{
  World world;
  const auto follow = [&](bool aIsSelfLost, const char* aHolder) {
    return world.m_directory.Followers(
      world.m_now, aIsSelfLost, NodeId(aHolder));
  };
  CHECK(follow(false, "").size() == 2);
  CHECK(follow(false, "n3").front() == NodeId("n3"));
  NodeNews lost = MakeNews("n3");
  lost.m_condition.m_isStoreLost = true;
  world.m_directory.OnPeerUpdate(SentAt(world.m_now), lost);
  const std::vector<NodeId> rest = { NodeId("n1"), NodeId("n2") };
  std::vector<NodeId> followers = follow(false, "n3");
  std::sort(followers.begin(), followers.end());
  CHECK(followers == rest);
  CHECK(follow(true, "n3") == std::vector<NodeId>{ NodeId("n2") });
  CHECK_FALSE(world.m_directory.IsStoreLost(world.m_now, NodeId("n3")));
  CHECK(world.m_directory.IsStoreLost(world.m_now + Millis(500), NodeId("n3")));
  // Where the store turns all of them away, some go on trying.
  lost.m_node = NodeId("n2");
  world.m_directory.OnPeerUpdate(SentAt(world.m_now), lost);
  CHECK(follow(true, "").size() == 2);
}

TEST_CASE("news of a node that isn't registered change nothing")
{
  World world;
  world.m_directory.OnPeerUpdate(SentAt(world.m_now), MakeNews("stranger"));
  CHECK(world.Count() == 3);
}

TEST_CASE("the doubt that comes with rows is for their receiver alone: digests "
          "do not pass it on")
{
  NodeDirectory directory(NodeRow{});
  NodeRow row;
  row.m_node = NodeId("n2");
  row.m_incarnation = 2;
  directory.OnRow(Millis(1'000), row.m_node, &row);
  NodeNews update;
  update.m_node = row.m_node;
  update.m_incarnation = row.m_incarnation;
  update.m_condition.m_entryDoubt = Millis(900);
  directory.OnPeerUpdate(SentAt(Millis(1'000)), update);
  const KnownNode& known = directory.Others().at(row.m_node);
  CHECK(known.m_condition.m_entryDoubt == Millis(900));
  update.m_rowChanges = { RowChanges() };
  directory.OnPeerUpdate(SentAt(Millis(1'100)), update);
  CHECK(known.m_condition.m_entryDoubt == Millis());
}

// Guards against DRAIN: old news, or news of unknown age, named a node that had
// been gone for long.
TEST_CASE("a message that was long on its way does not make a node live")
{
  World world;
  world.m_now += Millis(6'000);
  REQUIRE(world.Count() == 1);
  const SendTime late(world.m_now, world.m_now - Millis(5'000));
  world.m_directory.OnPeerUpdate(late, MakeNews("n2"));
  const SendTime unknown(world.m_now, std::nullopt);
  world.m_directory.OnPeerUpdate(unknown, MakeNews("n2"));
  NodeStatus status;
  status.m_key = MakeNodeRunKey(NodeId("n3"), 1);
  status.m_age = ToldAge(Millis(80));
  status.m_condition.m_isReady = true;
  world.m_directory.OnStatus(late, status);
  world.m_directory.OnStatus(unknown, status);
  CHECK(world.Count() == 1);
  world.m_directory.OnStatus(SentAt(world.m_now), status);
  CHECK(world.Count() == 2);
}

TEST_CASE("an older message of a node does not replace what a later one said")
{
  World world;
  NodeNews leaving = MakeNews("n2");
  leaving.m_condition.m_isLeaving = true;
  world.m_directory.OnPeerUpdate(SentAt(world.m_now), leaving);
  const SendTime older(world.m_now, world.m_now - Millis(50));
  world.m_directory.OnPeerUpdate(older, MakeNews("n2"));
  CHECK(world.Count() == 2);
}

// Guards against a node being unseen for good: a message of its earlier run
// came after its new row, so that no status of the new run counted.
TEST_CASE("a message of a run that has ended does not hide the next one")
{
  World world;
  const NodeRow next = MakeRow("n2", 2, 5);
  world.m_directory.OnRow(world.m_now, next.m_node, &next);
  world.m_directory.OnPeerUpdate(SentAt(world.m_now), MakeNews("n2", 1));
  CHECK(world.Count() == 2);
  NodeStatus status;
  status.m_key = MakeNodeRunKey(NodeId("n2"), 5);
  status.m_condition.m_isReady = true;
  world.m_now += Millis(500);
  world.m_directory.OnStatus(SentAt(world.m_now), status);
  CHECK(world.Count() == 3);
  CHECK_FALSE(world.m_directory.IsLost(world.m_now, NodeId("n2"), 5));
}

TEST_CASE(
  "a run whose row was replaced by that of an earlier run is seen again")
{
  World world;
  const NodeRow earlier = MakeRow("n2", 2, 0);
  world.m_directory.OnRow(world.m_now, earlier.m_node, &earlier);
  world.m_now += Millis(20);
  world.m_directory.OnPeerUpdate(SentAt(world.m_now), MakeNews("n2", 1));
  CHECK(world.Count() == 3);
}

TEST_CASE(
  "a node that is seen again after it did not count as live is told once")
{
  World world;
  world.m_now += Millis(1'000);
  world.m_directory.OnPeerUpdate(SentAt(world.m_now), MakeNews("n3"));
  CHECK(world.m_directory.TakeReturns().empty());
  world.m_now += Millis(4'000);
  const SendTime sentAt(world.m_now, world.m_now - Millis(30));
  world.m_directory.OnPeerUpdate(sentAt, MakeNews("n2"));
  const std::vector<NodeReturn> returns = world.m_directory.TakeReturns();
  REQUIRE(returns.size() == 1);
  CHECK(returns[0].m_node == NodeId("n2"));
  CHECK(returns[0].m_incarnation == 1);
  CHECK(returns[0].m_seenAt == sentAt.NotBefore());
  CHECK(returns[0].m_unseenFor == Millis(4'970));
  CHECK(world.m_directory.TakeReturns().empty());
}

} // namespace
} // namespace briarglade
