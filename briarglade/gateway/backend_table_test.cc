// Tests of loads, silence, cold start and the choice of a backend.

#include "briarglade/gateway/backend_table.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>

#include "briarglade/base/make_roster_test.h"

namespace briarglade {
namespace {

constexpr char kService[] = "models";
constexpr char kModel[] = "m";

Backend Make(const std::string& aName, const char* aZone = "a")
{
  Backend backend;
  backend.m_server = HostId(aName);
  backend.m_group = GroupId("group-" + aName);
  backend.m_service = ServiceId(kService);
  backend.m_model = ModelId(kModel);
  backend.m_zone = ZoneId(aZone);
  backend.m_slots = 10;
  return backend;
}

BackendRequirements Wish()
{
  return BackendRequirements{ ServiceId(kService), ModelId(kModel), nullptr };
}

struct World
{
  explicit World(const std::string& aNode = "n0")
    : m_share(std::make_shared<FleetQuota>(NodeId(aNode)))
  {
  }

  std::shared_ptr<FleetQuota> m_share;
  BackendTable m_book{ ZoneId("a"), 1, m_share };
  Millis m_now{ 1'000 };

  std::string Choose()
  {
    const std::optional<size_t> slot = m_book.Choose(m_now, Wish());
    return slot ? m_book.Slot(*slot).m_backend.m_server.Value() : "none";
  }
  size_t Start()
  {
    const size_t slot = *m_book.Choose(m_now, Wish());
    m_book.RecordStarted(m_now, slot, 0);
    return slot;
  }
};

TEST_CASE("requests spread by the sum of all nodes' loads")
{
  World world;
  world.m_book.SetBackends(world.m_now, { Make("x"), Make("y") });
  world.m_book.SetPeerLoad(
    PeerLoad{ NodeId("n2"), { { HostId("x"), 6, 0 } }, {} });
  std::map<std::string, int> placed;
  for (int i = 0; i < 6; ++i) {
    const size_t slot = world.Start();
    ++placed[world.m_book.Slot(slot).m_backend.m_server.Value()];
  }
  CHECK(placed["y"] >= 5);
  world.m_book.SetPeerLoad(PeerLoad{ NodeId("n2"), {}, {} });
  CHECK(world.Choose() == "x");
}

TEST_CASE("a full backend gets nothing, and all full is none")
{
  World world;
  world.m_book.SetBackends(world.m_now, { Make("x") });
  int started = 0;
  while (world.m_book.Choose(world.m_now, Wish())) {
    world.Start();
    ++started;
  }
  // Ten slots, and a little for what other nodes report late.
  CHECK(started >= 10);
  CHECK(started <= 12);
  CHECK(world.m_book.HasCandidate(world.m_now, Wish(), world.m_now));
}

TEST_CASE("the own zone is preferred where loads are near, not beyond")
{
  World world;
  world.m_book.SetBackends(world.m_now,
                           { Make("near", "a"), Make("far", "b") });
  int near = 0;
  for (int i = 0; i < 200; ++i) {
    near += world.Choose() == "near" ? 1 : 0;
  }
  CHECK(near > 150);
  world.m_book.SetPeerLoad(
    PeerLoad{ NodeId("n2"), { { HostId("near"), 4, 0 } }, {} });
  CHECK(world.Choose() == "far");
}

TEST_CASE(
  "a group that is silent for longer than its passes take is suspect and "
  "then left")
{
  struct Case
  {
    int m_longestPass;
    int m_suspectAfter;
  };
  for (const Case& entry : { Case{ 0, 250 },
                             Case{ 163, 250 },
                             Case{ 273, 303 },
                             Case{ 900, 930 } }) {
    CAPTURE(entry.m_longestPass);
    World world;
    Backend backend = Make("x");
    backend.m_maxPassTime = Millis(entry.m_longestPass);
    world.m_book.SetBackends(world.m_now, { backend });
    const size_t slot = world.Start();
    // A prompt that is read for long is no silence.
    world.m_now += Millis(5'000);
    world.m_book.SuspectUnresponsive(world.m_now);
    CHECK_FALSE(world.m_book.IsSuspect(world.m_now, slot));
    world.m_book.RecordAnswerStarted(world.m_now, slot, 0);
    world.m_now += Millis(entry.m_suspectAfter - 1);
    world.m_book.SuspectUnresponsive(world.m_now);
    CHECK_FALSE(world.m_book.IsSuspect(world.m_now, slot));
    world.m_now += Millis(1);
    world.m_book.SuspectUnresponsive(world.m_now);
    CHECK(world.m_book.IsSuspect(world.m_now, slot));
    CHECK(world.Choose() == "none");
    world.m_now += Millis(99);
    CHECK_FALSE(world.m_book.ShouldFailOver(world.m_now, slot));
    world.m_now += Millis(1);
    CHECK(world.m_book.ShouldFailOver(world.m_now, slot));
    world.m_book.RecordProgress(world.m_now, slot);
    CHECK(world.Choose() == "x");
    CHECK_FALSE(world.m_book.ShouldFailOver(world.m_now, slot));
  }
}

TEST_CASE("another node's suspicion counts unless own bytes refute it")
{
  World world;
  world.m_book.SetBackends(world.m_now, { Make("x") });
  const std::vector<GroupId> suspects = { GroupId("group-x") };
  const size_t slot = world.Start();
  world.m_book.RecordAnswerStarted(world.m_now, slot, 0);
  world.m_book.RecordPeerSuspects(world.m_now + Millis(100), suspects);
  CHECK(world.Choose() == "x");
  world.m_now += Millis(250);
  world.m_book.RecordPeerSuspects(world.m_now, suspects);
  CHECK(world.Choose() == "none");
}

TEST_CASE("a suspicion that nodes tell each other ends with the one that began "
          "it")
{
  // The load pattern: a node stands still for a moment, finds silent what was
  // at work, and tells the others, who have nothing under way there.
  constexpr Millis kNewsPeriod = Millis(150);
  World nodes[] = { World("n0"), World("n1"), World("n2") };
  for (World& node : nodes) {
    node.m_book.SetBackends(node.m_now, { Make("x") });
  }
  World& first = nodes[0];
  const size_t slot = first.Start();
  first.m_book.RecordAnswerStarted(first.m_now, slot, 0);
  Millis now = first.m_now + Millis(500);
  first.m_book.SuspectUnresponsive(now);
  first.m_book.RecordEnded(slot, true, 0);
  REQUIRE(first.m_book.OwnSuspects(now).size() == 1);
  bool isToldOn = false;
  for (; now < Millis(10'000); now += kNewsPeriod) {
    for (World& from : nodes) {
      for (World& to : nodes) {
        if (&from != &to) {
          to.m_book.RecordPeerSuspects(now, from.m_book.OwnSuspects(now));
        }
      }
    }
    isToldOn = isToldOn || nodes[2].m_book.IsSuspect(now, 0);
  }
  CHECK(isToldOn);
  for (World& node : nodes) {
    CHECK(!node.m_book.IsSuspect(now, 0));
  }
}

TEST_CASE("all nodes together send a cold server no more than it bears")
{
  for (const uint32_t count : { 1U, 8U, 63U, 87U, 320U }) {
    CAPTURE(count);
    const auto nodes =
      std::make_shared<const std::vector<NodeId>>(MakeRoster(count));
    int sent = 0;
    for (const NodeId& id : *nodes) {
      World node(id.Value());
      Backend cold = Make("x");
      cold.m_slots = 1'000;
      cold.m_coldRate = 28;
      cold.m_coldUntil = Millis(4'000);
      node.m_share->SetRoster(nodes, Millis(4'000));
      node.m_book.ColdStart().SetBounds(1.5, 5);
      node.m_book.SetBackends(node.m_now, { cold });
      for (int tick = 0; tick < 20; ++tick) {
        node.m_now += Millis(50);
        while (node.m_book.Choose(node.m_now, Wish())) {
          node.Start();
          ++sent;
        }
      }
    }
    // All of what it bears, and no more.
    CHECK(sent == 28 * 1.5 + 5);
  }
}

TEST_CASE("a node whose roster is no longer confirmed sends a cold server "
          "nothing")
{
  World node;
  Backend cold = Make("x");
  cold.m_coldRate = 28;
  cold.m_coldUntil = Millis(9'000);
  node.m_share->SetRoster(
    std::make_shared<const std::vector<NodeId>>(1, NodeId("n0")),
    Millis(2'000));
  node.m_book.ColdStart().SetBounds(1.5, 5);
  node.m_book.SetBackends(node.m_now, { cold });
  CHECK(node.Choose() == "x");
  node.m_now = Millis(2'000);
  CHECK(node.Choose() == "none");
  CHECK(!node.m_book.HasCandidate(node.m_now, Wish(), Millis(3'000)));
  node.m_now = Millis(9'000);
  CHECK(node.Choose() == "x");
}

TEST_CASE("what a server was sent before it turned cold counts, for any of its "
          "groups")
{
  World node;
  node.m_share->SetRoster(
    std::make_shared<const std::vector<NodeId>>(1, NodeId("n0")),
    Millis(9'000));
  node.m_book.ColdStart().SetBounds(1, 2);
  Backend backend = Make("x");
  node.m_book.SetBackends(node.m_now, { backend });
  node.Start();
  node.Start();
  backend.m_group = GroupId("next");
  backend.m_coldRate = 1;
  backend.m_coldUntil = Millis(9'000);
  node.m_book.SetBackends(node.m_now, { backend });
  node.Start();
  CHECK(node.Choose() == "none");
  node.m_now += Millis(1'300);
  CHECK(node.Choose() == "x");
}

TEST_CASE("a backend that fails many requests is chosen less")
{
  World world;
  world.m_book.SetBackends(world.m_now, { Make("good"), Make("bad") });
  const size_t bad =
    world.m_book.Slot(0).m_backend.m_server == HostId("bad") ? 0 : 1;
  for (int i = 0; i < 10; ++i) {
    world.m_book.RecordResult(bad, false);
  }
  CHECK(world.Choose() == "good");
}

TEST_CASE("a group of the same leader and another generation starts anew")
{
  World world;
  world.m_book.SetBackends(world.m_now, { Make("x") });
  const size_t old = world.Start();
  Backend again = Make("x");
  again.m_group = GroupId("group-x2");
  world.m_book.SetBackends(world.m_now, { again });
  const size_t fresh = world.Start();
  CHECK(fresh != old);
  CHECK(world.m_book.Slot(fresh).m_inFlight == 1);
}

} // namespace
} // namespace briarglade
