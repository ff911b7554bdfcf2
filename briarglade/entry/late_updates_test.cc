// Tests of what nodes believe of each other when messages arrive long after
// they were sent: a link holds them back, also beyond the end of their sender,
// or their receiver is paused.

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

#include "briarglade/entry/fleet_world_test.h"

namespace briarglade {
namespace {

constexpr uint32_t kZones = 3;
constexpr uint32_t kNodes = 9;

// A cut of one node from others, and the end of another one meanwhile.
struct Trouble
{
  // The node that is cut off, and the one that ends.
  size_t m_cutNode = 0;
  size_t m_endingNode = 0;
  // What is held back: what the cut node sends, and what it is sent.
  bool m_holdsSent = false;
  bool m_holdsReceived = false;
  // Whether only the other zones are cut off from the node.
  bool m_isNearOnly = false;
  // Whether the node is paused in place of a cut.
  bool m_isPaused = false;
  Millis m_time;
};

class LateUpdatesWorld : public FleetWorld
{
public:
  explicit LateUpdatesWorld(uint32_t aSeed)
    : FleetWorld(Options(aSeed))
  {
    Run(Millis(4'000));
  }

  // Runs the world and watches by how much, after any step, a node, or what a
  // relay says, is believed to be newer than its process has run.
  void RunAndWatch(Millis aTime)
  {
    for (Millis passed; passed < aTime; passed += kStep) {
      Run(kStep);
      for (size_t node = 0; node < NodeCount(); ++node) {
        if (IsUp(node)) {
          WatchBelief(node);
        }
      }
    }
  }
  // Returns the most of that; zero if it has never been so.
  Millis MostTooLate() const { return m_mostTooLate; }

  // Returns the node's relay, or another node of its zone.
  size_t InZoneOf(size_t aNode, bool aIsRelay) const
  {
    const NodeId relay = StateOf(aNode).m_peerUpdates.m_relays.Primary();
    return Find([&](const EntryState& aState) {
      return aState.m_settings.m_zone == StateOf(aNode).m_settings.m_zone &&
             (aState.m_settings.m_node == relay) == aIsRelay;
    });
  }

  void Begin(const Trouble& aTrouble)
  {
    if (aTrouble.m_isPaused) {
      Freeze(aTrouble.m_cutNode, aTrouble.m_time);
    } else {
      SetCut(aTrouble, true);
    }
  }
  void End(const Trouble& aTrouble) { SetCut(aTrouble, false); }

  // Returns a message that a node would send now, with a bulletin of its own.
  NodeNews MakeUpdate(size_t aNode, Bulletin aBulletin) const
  {
    const EntryState& state = StateOf(aNode);
    aBulletin.m_origin = state.m_settings.m_node;
    aBulletin.m_incarnation = state.m_incarnation;
    aBulletin.m_number = 1'000;
    NodeNews update;
    update.m_node = state.m_settings.m_node;
    update.m_incarnation = state.m_incarnation;
    update.m_sentAt = LocalTime(aNode);
    update.m_completeUpTo.resize(kFeedCount);
    update.m_bulletins = { std::move(aBulletin) };
    return update;
  }

  // Returns how many running nodes believe that a node is live.
  size_t CountBelievers(size_t aNode) const
  {
    size_t count = 0;
    for (size_t other = 0; other < NodeCount(); ++other) {
      const auto live =
        StateOf(other).m_directory.LiveNodes(LocalTime(other), ZoneId());
      const bool believes =
        std::any_of(live.begin(), live.end(), [&](const auto& aLive) {
          return aLive.first == StateOf(aNode).m_settings.m_node;
        });
      count += IsUp(other) && believes ? 1 : 0;
    }
    return count;
  }

private:
  static FleetOptions Options(uint32_t aSeed)
  {
    FleetOptions options;
    options.m_nodes = kNodes;
    options.m_zones = kZones;
    options.m_seed = aSeed;
    options.m_leastDelay = Millis(10);
    options.m_mostDelay = Millis(30);
    options.m_clockSpread = Millis(3'600'000);
    return options;
  }

  void SetCut(const Trouble& aTrouble, bool aIsCut)
  {
    for (size_t other = 0; other < NodeCount(); ++other) {
      const bool isNear = StateOf(other).m_settings.m_zone ==
                          StateOf(aTrouble.m_cutNode).m_settings.m_zone;
      if (other == aTrouble.m_cutNode || (isNear && aTrouble.m_isNearOnly)) {
        continue;
      }
      if (aTrouble.m_holdsSent) {
        SetHeldBack(aTrouble.m_cutNode, other, aIsCut);
      }
      if (aTrouble.m_holdsReceived) {
        SetHeldBack(other, aTrouble.m_cutNode, aIsCut);
      }
    }
  }

  void WatchBelief(size_t aNode)
  {
    const Millis offset = LocalTime(aNode) - Now();
    for (const auto& [id, known] : StateOf(aNode).m_directory.Others()) {
      if (known.m_lastSeenAt) {
        const Millis seenAt = *known.m_lastSeenAt - offset;
        m_mostTooLate =
          std::max(m_mostTooLate, seenAt - LastRanAt(NumberOfNode(id)));
      }
    }
    const PeerUpdateState& updates = StateOf(aNode).m_peerUpdates;
    for (const auto& [id, subscriber] : updates.m_subscribers) {
      m_mostTooLate = std::max(m_mostTooLate,
                               subscriber.m_lastReportAt - offset -
                                 LastRanAt(NumberOfNode(id)));
    }
    for (const auto& [id, ages] : updates.m_reportedZoneAges) {
      m_mostTooLate = std::max(
        m_mostTooLate, ages.m_sentAt - offset - LastRanAt(NumberOfNode(id)));
    }
    for (const auto& [zone, known] : updates.m_zones) {
      m_mostTooLate =
        std::max(m_mostTooLate, known.m_asOf - offset - LastRanIn(zone));
    }
  }

  // Returns when any process in a zone last ran.
  Millis LastRanIn(const ZoneId& aZone) const
  {
    Millis last;
    for (size_t node = 0; node < NodeCount(); ++node) {
      if (StateOf(node).m_settings.m_zone == aZone) {
        last = std::max(last, LastRanAt(node));
      }
    }
    return last;
  }

  size_t NumberOfNode(const NodeId& aNode) const
  {
    for (size_t node = 0; node < NodeCount(); ++node) {
      if (StateOf(node).m_settings.m_node == aNode) {
        return node;
      }
    }
    return NodeCount();
  }

  Millis m_mostTooLate;
};

void Play(LateUpdatesWorld& aWorld, const Trouble& aTrouble)
{
  aWorld.Begin(aTrouble);
  aWorld.RunAndWatch(Millis(1'000));
  aWorld.Kill(aTrouble.m_endingNode);
  aWorld.RunAndWatch(aTrouble.m_time - Millis(1'000));
  aWorld.End(aTrouble);
  aWorld.RunAndWatch(Millis(3'000));
  // The node that was cut off is known again, and the other one stays unknown.
  CHECK(aWorld.CountBelievers(aTrouble.m_cutNode) == kNodes - 2);
  CHECK(aWorld.CountBelievers(aTrouble.m_endingNode) == 0);
  CHECK(aWorld.MostTooLate() == Millis());
}

// Guards against DRAIN: what waited for seconds on a link was taken for new, so
// that callers were sent to a node that had been gone for long.
TEST_CASE("no node is believed to live by news that a link held back")
{
  for (const bool cutsRelay : { true, false }) {
    for (const bool endsInZone : { true, false }) {
      for (const bool endsRelay : { true, false }) {
        for (const int ways : { 1, 2, 3 }) {
          CAPTURE(cutsRelay);
          CAPTURE(endsInZone);
          CAPTURE(endsRelay);
          CAPTURE(ways);
          LateUpdatesWorld world(1);
          Trouble trouble;
          trouble.m_cutNode = world.InZoneOf(0, cutsRelay);
          trouble.m_endingNode = world.InZoneOf(endsInZone ? 0 : 1, endsRelay);
          trouble.m_holdsSent = (ways & 1) != 0;
          trouble.m_holdsReceived = (ways & 2) != 0;
          trouble.m_isNearOnly = true;
          trouble.m_time = Millis(5'500);
          if (trouble.m_cutNode != trouble.m_endingNode) {
            Play(world, trouble);
          }
        }
      }
    }
  }
}

// Guards against DRAIN: a node that was paused read first what had waited for
// it, and took that for new.
TEST_CASE("no node is believed to live by news that waited for a paused node")
{
  for (const bool endsInZone : { true, false }) {
    CAPTURE(endsInZone);
    LateUpdatesWorld world(1);
    Trouble trouble;
    trouble.m_cutNode = world.InZoneOf(0, true);
    trouble.m_endingNode = world.InZoneOf(endsInZone ? 0 : 1, !endsInZone);
    trouble.m_isPaused = true;
    trouble.m_time = Millis(6'000);
    Play(world, trouble);
  }
}

// Guards against a limit that a server stated long ago being taken for present,
// by the node that it reached late and by those that this node told.
TEST_CASE("a rate limit in a bulletin that a link held back is as old as it is "
          "on every node")
{
  LateUpdatesWorld world(1);
  const size_t relay = world.InZoneOf(0, true);
  const size_t sender = world.InZoneOf(0, false);
  Bulletin bulletin;
  bulletin.m_rateLimits = { RateLimitNotice{
    ServerRun{ HostId("s"), BootId("1") }, 4.5, Millis() } };
  const NodeNews update = world.MakeUpdate(sender, bulletin);
  world.Run(Millis(5'000));
  world.Dispatch(relay, PeerUpdateReceived{ update });
  world.Run(Millis(200));
  size_t told = 0;
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    BackendTable table = world.StateOf(node).m_gateway.m_backendTable;
    HostId last;
    const auto notices =
      table.RateLimits().NextNotices(world.LocalTime(node), last);
    for (const RateLimitNotice& notice : notices) {
      ++told;
      CHECK(notice.m_age >= Millis(5'200));
      CHECK(notice.m_age <= Millis(5'500));
    }
  }
  // The origin hears of it in a digest.
  CHECK(told == kNodes);
}

// Guards against DRAIN as above, in any order of events.
TEST_CASE("no node is believed to have been seen later than it ran, in "
          "troubles drawn by seed")
{
  const uint32_t seeds = SeedCount(24);
  for (uint32_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    LateUpdatesWorld world(seed);
    for (int round = 0; round < 2; ++round) {
      Trouble trouble;
      do {
        trouble.m_cutNode = world.Pick(world.NodeCount());
        trouble.m_endingNode = world.Pick(world.NodeCount());
      } while (trouble.m_cutNode == trouble.m_endingNode ||
               !world.IsUp(trouble.m_cutNode) ||
               !world.IsUp(trouble.m_endingNode));
      const size_t ways = 1 + world.Pick(3);
      trouble.m_holdsSent = (ways & 1) != 0;
      trouble.m_holdsReceived = (ways & 2) != 0;
      trouble.m_isNearOnly = world.Pick(2) == 0;
      trouble.m_isPaused = world.Pick(4) == 0;
      trouble.m_time = Millis(static_cast<int64_t>(2'000 + world.Pick(6'000)));
      world.Begin(trouble);
      world.RunAndWatch(Millis(static_cast<int64_t>(world.Pick(2'000))));
      world.Kill(trouble.m_endingNode);
      world.RunAndWatch(trouble.m_time);
      world.End(trouble);
      world.RunAndWatch(Millis(3'000));
      CHECK(world.CountBelievers(trouble.m_endingNode) == 0);
      world.AddNode();
      world.RunAndWatch(Millis(2'000));
    }
    CHECK(world.MostTooLate() == Millis());
  }
}

TEST_CASE("nodes of an earlier version, which tells no time of sending, and of "
          "the present one see each other during a roll")
{
  LateUpdatesWorld world(1);
  for (size_t node = 0; node < world.NodeCount(); ++node) {
    world.Kill(node);
    world.Start(node);
    world.SetTellsSendTime(node, node % 2 == 0);
    world.Run(Millis(4'000));
    for (size_t other = 0; other < world.NodeCount(); ++other) {
      CAPTURE(node);
      CAPTURE(other);
      CHECK(world.CountBelievers(other) == kNodes - 1);
    }
  }
}

} // namespace
} // namespace briarglade
