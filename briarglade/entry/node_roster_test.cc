// Tests of who shares the limits of the whole fleet, and when a node has a
// part.

#include "briarglade/entry/node_roster.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

constexpr Millis kWindow = Millis(1'000);
// Fresh knowledge, the window and the margin.
constexpr Millis kSettleTime = Millis(5'000);
constexpr Millis kStart = Millis(10'000);

// A node whose clock is the store's.
struct World
{
  NodeRoster m_roster{ NodeId("b"), kWindow };
  StoreClock m_clock;
  Millis m_now = kStart;

  World()
  {
    m_clock.Update(m_now, m_now);
    m_roster.OnWholeRead(m_now);
    m_roster.OnRegistered(m_now, RowVersion(7));
  }
  void Pass(Millis aTime, bool aIsKnown = true)
  {
    m_now += aTime;
    m_clock.Update(m_now, m_now);
    if (aIsKnown) {
      m_roster.OnKnownUpTo(m_now);
    }
  }
  bool HasPart() const { return m_now < m_roster.ValidUntil(m_now, m_clock); }
  size_t Count() { return m_roster.Nodes(m_now)->size(); }
};

TEST_CASE("a node has no part before all others must have seen its row")
{
  World world;
  world.Pass(kSettleTime - Millis(1));
  CHECK(!world.HasPart());
  world.Pass(Millis(1));
  CHECK(world.HasPart());
}

TEST_CASE("a node that wasn't registered, or read nothing, has no part")
{
  NodeRoster roster(NodeId("b"), kWindow);
  StoreClock clock;
  const Millis later = kStart + kSettleTime;
  clock.Update(kStart, kStart);
  roster.OnKnownUpTo(later);
  roster.OnWholeRead(kStart);
  CHECK(roster.ValidUntil(later, clock) <= later);
  roster.OnRegistered(kStart, RowVersion(7));
  CHECK(roster.ValidUntil(later, clock) > later);
}

TEST_CASE("a part ends as long after the rows were known as they are fresh")
{
  World world;
  world.Pass(kSettleTime);
  const Millis until = world.m_roster.ValidUntil(world.m_now, world.m_clock);
  CHECK(until == world.m_now + kRosterMaxAge);
  world.Pass(kRosterMaxAge, false);
  CHECK(!world.HasPart());
  // Another node's word as of a second ago.
  world.m_roster.OnKnownUpTo(world.m_now - Millis(1'000));
  CHECK(world.HasPart());
}

TEST_CASE("a node whose row is gone is counted while it may not know")
{
  World world;
  world.m_roster.OnRow(world.m_now, NodeId("a"), true);
  world.m_roster.OnRow(world.m_now, NodeId("c"), true);
  CHECK(world.Count() == 3);
  world.m_roster.OnRow(world.m_now, NodeId("a"), false);
  // One whose row came and went unseen.
  world.m_roster.OnRow(world.m_now, NodeId("d"), false);
  world.Pass(kSettleTime - Millis(1));
  CHECK(world.Count() == 4);
  world.Pass(Millis(1));
  CHECK(world.Count() == 2);
  CHECK(*world.m_roster.Nodes(world.m_now) ==
        std::vector<NodeId>{ NodeId("b"), NodeId("c") });
}

TEST_CASE("a node whose own row was overwritten waits anew")
{
  World world;
  world.Pass(kSettleTime);
  CHECK(!world.m_roster.OnRowOverwritten(RowVersion(6)));
  CHECK(world.HasPart());
  CHECK(world.m_roster.OnRowOverwritten(RowVersion(8)));
  CHECK(!world.HasPart());
  world.m_roster.OnRegistered(world.m_now, RowVersion(9));
  CHECK(!world.HasPart());
  world.Pass(kSettleTime);
  CHECK(world.HasPart());
}

TEST_CASE("a node that shuts down has no part")
{
  World world;
  world.Pass(kSettleTime);
  world.m_roster.OnLeaving();
  CHECK(!world.HasPart());
}

TEST_CASE("the store's clock is taken from the least late answer")
{
  StoreClock clock;
  CHECK(!clock.IsKnown());
  clock.Update(Millis(1'000), Millis(5'000));
  // This answer was 400 ms longer on its way.
  clock.Update(Millis(2'000), Millis(5'600));
  CHECK(clock.At(Millis(2'000)) == Millis(5'999));
  clock.Update(Millis(3'000), Millis(7'050));
  CHECK(clock.At(Millis(3'000)) == Millis(7'050));
}

} // namespace
} // namespace briarglade
