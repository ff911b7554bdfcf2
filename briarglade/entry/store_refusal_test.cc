// Tests of whole entry nodes in virtual time: the store refuses some of the
// nodes and serves the others, or refuses all of them, while entries of servers
// disappear.

#include "briarglade/entry/reduce_entry.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

#include "briarglade/entry/fleet_world_test.h"

namespace briarglade {
namespace {

// By when a server is out of use everywhere after its entry was removed.
constexpr Millis kDrainTime = Millis(2'000);
// The greatest difference between the moments at which two nodes are refused:
// all at about the same time, or one after the other.
constexpr size_t kShortSkew = 200;
constexpr size_t kLongSkew = 2'000;

// Which of the nodes the store refuses.
enum class Refused : uint8_t
{
  // The two nodes that follow the store.
  Followers,
  // Any two nodes.
  Two,
  Half,
  AllButOne
};

std::string NameOf(Refused aRefused)
{
  switch (aRefused) {
    case Refused::Followers:
      return "followers";
    case Refused::Two:
      return "two";
    case Refused::Half:
      return "half";
    case Refused::AllButOne:
      return "all but one";
  }
  return "";
}

FleetOptions OptionsOf(uint32_t aNodes, uint32_t aSeed)
{
  FleetOptions options;
  options.m_nodes = aNodes;
  options.m_zones = 3;
  options.m_seed = aSeed;
  options.m_leastDelay = Millis(5);
  options.m_mostDelay = Millis(40);
  return options;
}

// A fleet of three zones with one server, after a start of random length.
class World : public FleetWorld
{
public:
  World(uint32_t aNodes, uint32_t aSeed)
    : FleetWorld(OptionsOf(aNodes, aSeed))
  {
    AddServer();
    Run(Millis(5'000) + RandomTime(2'000));
  }

  void AddServer(bool aIsDraining = false)
  {
    ServerRecord record;
    record.m_host = HostId("s1");
    record.m_isDraining = aIsDraining;
    record.m_sequence = aIsDraining ? 1 : 0;
    FleetWorld::AddServer(record);
  }
  Millis RandomTime(size_t aBound)
  {
    return kStep * static_cast<int64_t>(
                     Pick(aBound / static_cast<size_t>(kStep.Count())));
  }
  // Returns nodes chosen at random.
  std::vector<size_t> PickNodes(Refused aRefused)
  {
    std::vector<size_t> nodes(NodeCount());
    std::iota(nodes.begin(), nodes.end(), size_t{ 0 });
    std::shuffle(nodes.begin(), nodes.end(), Random());
    switch (aRefused) {
      case Refused::Followers:
        nodes.erase(std::remove_if(nodes.begin(),
                                   nodes.end(),
                                   [this](size_t aNode) {
                                     return !StateOf(aNode).m_isFollower;
                                   }),
                    nodes.end());
        break;
      case Refused::Two:
        nodes.resize(2);
        break;
      case Refused::Half:
        nodes.resize(nodes.size() / 2);
        break;
      case Refused::AllButOne:
        nodes.pop_back();
        break;
    }
    return nodes;
  }
  // Changes the status of the store for the nodes, of each at its own moment
  // within aMaxSkew. Takes effect while time passes by RunUntil().
  void SetStatusSoon(const std::vector<size_t>& aNodes,
                     StoreStatus aStatus,
                     size_t aMaxSkew = kShortSkew)
  {
    for (const size_t node : aNodes) {
      m_changes.push_back(
        Change{ Now() + RandomTime(aMaxSkew), node, aStatus });
    }
  }
  void RunUntil(Millis aTime)
  {
    while (Now() < aTime) {
      for (const Change& change : m_changes) {
        if (change.m_at == Now()) {
          SetStoreStatus(change.m_node, change.m_status);
        }
      }
      Run(kStep);
    }
  }
  // Returns whether a node sends requests to the server.
  bool Uses(size_t aNode) const
  {
    const auto server = StateOf(aNode).m_servers.find(HostId("s1"));
    return server != StateOf(aNode).m_servers.end() &&
           !server->second.m_isDraining;
  }
  // Returns the number of nodes that use the server.
  size_t NodesThatUseIt() const
  {
    size_t count = 0;
    for (size_t node = 0; node < NodeCount(); ++node) {
      count += Uses(node) ? 1 : 0;
    }
    return count;
  }

private:
  struct Change
  {
    Millis m_at;
    size_t m_node = 0;
    StoreStatus m_status = StoreStatus::Ok;
  };
  std::vector<Change> m_changes;
};

// Guards against nodes that take the refusal of several nodes for an outage of
// the store, and go on using a server whose entry was removed.
TEST_CASE("DRAIN: a server whose entry is removed is out of use within 2 s on "
          "every node while the store refuses several nodes")
{
  constexpr size_t kLatestRemoval = 7'000;
  constexpr Millis kRefusalTime = Millis(4'000);
  for (const uint32_t nodes : { 5, 12, 40 }) {
    for (const Refused refused : { Refused::Followers,
                                   Refused::Two,
                                   Refused::Half,
                                   Refused::AllButOne }) {
      size_t late = 0;
      const uint32_t seeds = SeedCount(nodes > 12 ? 6 : 30);
      for (uint32_t seed = 1; seed <= seeds; ++seed) {
        World world(nodes, seed);
        const Millis begin = world.Now();
        const std::vector<size_t> chosen = world.PickNodes(refused);
        const size_t skew = seed % 2 == 0 ? kShortSkew : kLongSkew;
        world.SetStatusSoon(chosen, StoreStatus::Refused, skew);
        // The removal may come before, in, or after the refusal.
        const Millis removedAt = begin + world.RandomTime(kLatestRemoval);
        const Millis backAt = begin + kRefusalTime;
        world.RunUntil(std::min(removedAt, backAt));
        if (removedAt > backAt) {
          world.SetStatusSoon(chosen, StoreStatus::Ok);
          world.RunUntil(removedAt);
        }
        world.RemoveServer("s1");
        if (backAt >= removedAt && backAt < removedAt + kDrainTime) {
          world.RunUntil(backAt);
          world.SetStatusSoon(chosen, StoreStatus::Ok);
        }
        world.RunUntil(removedAt + kDrainTime);
        if (world.NodesThatUseIt() > 0) {
          ++late;
          MESSAGE(nodes << " nodes, " << std::string(NameOf(refused))
                        << ", seed " << seed << ": removed "
                        << (removedAt - begin).Count() << " ms after the "
                        << "refusal, still used by " << world.NodesThatUseIt());
        }
      }
      CAPTURE(nodes);
      CAPTURE(NameOf(refused));
      CHECK(late == 0);
    }
  }
}

// How a server leaves: its entry is removed, or says so.
enum class Leaving : uint8_t
{
  ByRemoval,
  ByEntry
};

// A trial: some nodes get no answer from the store for a time, and a server
// leaves before, in or after it.
struct SilenceTrial
{
  uint32_t m_nodes = 0;
  Refused m_refused = Refused::Followers;
  Leaving m_leaving = Leaving::ByRemoval;
  uint32_t m_seed = 0;
};

// Returns the number of nodes that still use the server kDrainTime after it
// left, of those that the store served all the time.
size_t UsersAfterSilence(const SilenceTrial& aTrial, Millis& aLeftAfter)
{
  constexpr size_t kLatestLeaving = 7'000;
  constexpr Millis kSilence = Millis(4'000);
  World world(aTrial.m_nodes, aTrial.m_seed);
  const Millis begin = world.Now();
  const std::vector<size_t> chosen = world.PickNodes(aTrial.m_refused);
  const size_t skew = aTrial.m_seed % 2 == 0 ? kShortSkew : kLongSkew;
  world.SetStatusSoon(chosen, StoreStatus::Unknown, skew);
  const Millis leftAt = begin + world.RandomTime(kLatestLeaving);
  const Millis backAt = begin + kSilence;
  aLeftAfter = leftAt - begin;
  world.RunUntil(std::min(leftAt, backAt));
  if (leftAt > backAt) {
    world.SetStatusSoon(chosen, StoreStatus::Ok);
    world.RunUntil(leftAt);
  }
  if (aTrial.m_leaving == Leaving::ByRemoval) {
    world.RemoveServer("s1");
  } else {
    world.AddServer(true);
  }
  if (backAt >= leftAt && backAt < leftAt + kDrainTime) {
    world.RunUntil(backAt);
    world.SetStatusSoon(chosen, StoreStatus::Ok);
  }
  world.RunUntil(leftAt + kDrainTime);
  size_t users = 0;
  for (size_t node = 0; node < aTrial.m_nodes; ++node) {
    const bool wasServed =
      std::find(chosen.begin(), chosen.end(), node) == chosen.end();
    users += wasServed && world.Uses(node) ? 1 : 0;
  }
  return users;
}

// Guards against nodes that notice too late that the followers of the store get
// no answer, and then take that for an outage.
TEST_CASE("DRAIN: a server that leaves is out of use within 2 s on every node "
          "that the store serves while several others get no answer")
{
  for (const uint32_t nodes : { 5, 12, 40 }) {
    for (const Refused refused : { Refused::Followers,
                                   Refused::Two,
                                   Refused::Half,
                                   Refused::AllButOne }) {
      for (const Leaving leaving : { Leaving::ByRemoval, Leaving::ByEntry }) {
        size_t late = 0;
        const uint32_t seeds = SeedCount(nodes > 12 ? 6 : 30);
        for (uint32_t seed = 1; seed <= seeds; ++seed) {
          Millis leftAfter;
          const size_t users = UsersAfterSilence(
            SilenceTrial{ nodes, refused, leaving, seed }, leftAfter);
          if (users > 0) {
            ++late;
            MESSAGE(nodes << " nodes, " << std::string(NameOf(refused))
                          << ", seed " << seed << ": left " << leftAfter.Count()
                          << " ms after the silence "
                          << "began, still used by " << users);
          }
        }
        CAPTURE(nodes);
        CAPTURE(NameOf(refused));
        CAPTURE(leaving == Leaving::ByRemoval);
        CHECK(late == 0);
      }
    }
  }
}

// Guards against a gap between accepted calls that is as long as that of an
// outage: with longer waits of the first follower, one of 1,440 trials failed.
TEST_CASE(
  "DRAIN: a server that leaves is out of use within 2 s on the only node "
  "that the store serves, in the trial that failed")
{
  constexpr uint32_t kManyNodes = 40;
  constexpr uint32_t kFailedSeed = 57;
  for (uint32_t seed = kFailedSeed; seed < kFailedSeed + 4; ++seed) {
    CAPTURE(seed);
    Millis leftAfter;
    CHECK(UsersAfterSilence(
            SilenceTrial{
              kManyNodes, Refused::AllButOne, Leaving::ByRemoval, seed },
            leftAfter) == 0);
  }
}

// Guards against a gap between accepted calls as long as that of an outage,
// because the others are asked too late to check the store.
TEST_CASE("DRAIN: silence of the store towards all nodes but one leaves no gap "
          "between the calls that it accepts")
{
  constexpr Millis kLatestBegin = Millis(1'000);
  constexpr Millis kPart = Millis(100);
  constexpr Millis kSilence = Millis(4'000);
  uint32_t seed = 0;
  for (const uint32_t nodes : { 5, 12, 40 }) {
    for (Millis begin; begin < kLatestBegin; begin += kPart) {
      CAPTURE(nodes);
      CAPTURE(begin.Count());
      World world(nodes, ++seed);
      world.Run(begin);
      const Millis silentSince = world.Now();
      const std::vector<size_t> silenced = world.PickNodes(Refused::AllButOne);
      for (const size_t node : silenced) {
        world.SetStoreStatus(node, StoreStatus::Unknown);
      }
      world.Run(kSilence);
      for (const size_t node : silenced) {
        world.Kill(node);
      }
      const size_t served = world.Find([](const EntryState&) { return true; });
      const std::optional<StorePeriod> last =
        world.StateOf(served).m_storeUptime.Last();
      REQUIRE(last);
      CHECK(last->m_since < silentSince);
    }
  }
}

// Guards against a check by every node of a large fleet for each failed call of
// a follower.
TEST_CASE("a moment in which the store refuses its followers makes few nodes "
          "check whether it serves them")
{
  constexpr uint32_t kManyNodes = 120;
  constexpr uint64_t kFewChecks = 30;
  for (uint32_t seed = 1; seed <= SeedCount(3); ++seed) {
    CAPTURE(seed);
    World world(kManyNodes, seed);
    const std::vector<size_t> followers = world.PickNodes(Refused::Followers);
    for (const size_t node : followers) {
      world.SetStoreStatus(node, StoreStatus::Refused);
    }
    world.Run(Millis(1'200));
    world.SetStoreStatusOfAll(StoreStatus::Ok);
    world.Run(Millis(3'000));
    uint64_t checks = 0;
    for (size_t node = 0; node < kManyNodes; ++node) {
      checks += world.StateOf(node).m_storeChecks;
    }
    CHECK(checks > 0);
    CHECK(checks <= kFewChecks);
  }
}

// Guards against nodes that take an outage of the store for the refusal of
// several nodes, and stop using servers whose entries merely expired.
TEST_CASE("a server whose entry expired in an outage of the store stays in use "
          "on every node, also if the store refused several nodes before")
{
  // An entry outlives two missed heartbeats.
  constexpr Millis kLeastOutage = Millis(2'000);
  constexpr Millis kRewriteTime = Millis(2'000);
  for (const uint32_t nodes : { 5, 12, 40 }) {
    for (const StoreStatus status :
         { StoreStatus::Refused, StoreStatus::Unknown }) {
      for (const bool wasRefusedBefore : { false, true }) {
        size_t lost = 0;
        const uint32_t seeds = SeedCount(nodes > 12 ? 4 : 20);
        for (uint32_t seed = 1; seed <= seeds; ++seed) {
          World world(nodes, seed);
          if (wasRefusedBefore) {
            world.SetStatusSoon(world.PickNodes(Refused::Half),
                                StoreStatus::Refused);
            world.RunUntil(world.Now() + Millis(500) + world.RandomTime(3'000));
          }
          world.SetStoreStatusOfAll(status);
          world.Run(kLeastOutage + world.RandomTime(4'000));
          world.RemoveServer("s1");
          world.SetStoreStatusOfAll(StoreStatus::Ok);
          bool isLost = false;
          for (Millis since; since < kRewriteTime; since += World::kStep) {
            world.Run(World::kStep);
            isLost = isLost || world.NodesThatUseIt() < nodes;
          }
          world.AddServer();
          world.Run(Millis(4'000));
          isLost = isLost || world.NodesThatUseIt() < nodes;
          if (isLost) {
            ++lost;
            MESSAGE(nodes << " nodes, seed " << seed);
          }
        }
        CAPTURE(nodes);
        CAPTURE(std::string(StoreStatusName(status)));
        CAPTURE(wasRefusedBefore);
        CHECK(lost == 0);
      }
    }
  }
}

} // namespace
} // namespace briarglade
