// Tests of what nodes know of servers whose entries change between the pages of
// a read, with the change put after each page in turn.

#include <algorithm>
#include <cstdio>
#include <doctest/doctest.h>
#include <string>
#include <variant>
#include <vector>

#include "briarglade/entry/fleet_world_test.h"

namespace briarglade {
namespace {

constexpr size_t kNodes = 6;
constexpr size_t kServers = 30;
constexpr size_t kPageRows = 3;
constexpr size_t kPages = kServers / kPageRows;
// Within this time after its entry was removed, a server gets no requests.
constexpr Millis kDrainTime = Millis(2'000);

std::string NameOf(size_t aServer)
{
  char name[8];
  std::snprintf(name, sizeof(name), "s%02zu", aServer);
  return name;
}

// What happens to a server's entry between two pages.
enum class EntryChange
{
  Removed,
  Draining
};

// A change of one server after a page of a read, and then one of a server of a
// later page, which makes that page newer than the change.
struct ChangeBetweenPages
{
  size_t m_page = 1;
  size_t m_server = 0;
  EntryChange m_change = EntryChange::Removed;
};

class WholeReadWorld : public FleetWorld
{
public:
  WholeReadWorld()
    : FleetWorld(Options())
  {
    for (size_t server = 0; server < kServers; ++server) {
      Write(server, false);
    }
    Run(Millis(4'000));
  }

  // Lets the change happen during a node's next read of the servers.
  void ChangeDuringRead(size_t aNode, const ChangeBetweenPages& aChange)
  {
    m_hasChanged = false;
    SetPageHook([this, aNode, aChange](size_t aBy, Feed aFeed, size_t aPage) {
      const bool isDue =
        aBy == aNode && aFeed == Feed::Servers && aPage == aChange.m_page;
      if (isDue && !m_hasChanged) {
        m_hasChanged = true;
        Change(aChange);
      }
    });
  }
  bool HasChanged() const { return m_hasChanged; }

  // Runs the world and checks, after each step, that each node has the rows
  // that it says it knows.
  void RunChecked(Millis aTime)
  {
    std::string broken;
    for (Millis passed; passed < aTime; passed += kStep) {
      Run(kStep);
      for (size_t node = 0; node < NodeCount() && broken.empty(); ++node) {
        broken = BrokenRows(node);
      }
    }
    CHECK(broken == "");
  }

  // Checks that no node uses a server any more.
  void CheckNoticed(size_t aServer) const
  {
    for (size_t node = 0; node < NodeCount(); ++node) {
      CAPTURE(node);
      const EntryState& state = StateOf(node);
      const auto known = state.m_servers.find(HostId(NameOf(aServer)));
      const bool isUsed =
        known != state.m_servers.end() && !known->second.m_isDraining;
      CHECK_FALSE(isUsed);
      CHECK(state.m_servers.size() >= kServers - 1);
    }
  }

private:
  static FleetOptions Options()
  {
    FleetOptions options;
    options.m_nodes = kNodes;
    options.m_zones = 2;
    options.m_pageRows = kPageRows;
    return options;
  }

  void Write(size_t aServer, bool aIsDraining)
  {
    ServerRecord record;
    record.m_host = HostId(NameOf(aServer));
    record.m_sequence = ++m_sequence;
    record.m_isDraining = aIsDraining;
    AddServer(record);
  }

  void Change(const ChangeBetweenPages& aChange)
  {
    if (aChange.m_change == EntryChange::Removed) {
      RemoveServer(NameOf(aChange.m_server));
    } else {
      Write(aChange.m_server, true);
    }
    if (aChange.m_page < kPages) {
      Write(kServers - 1, false);
    }
  }

  uint64_t m_sequence = 0;
  bool m_hasChanged = false;
};

// Plays the change after each page, of a server of each page, during a read of
// the servers that aBeginRead begins. It returns the node that reads.
template<typename BeginRead>
void PlayEachChange(const BeginRead& aBeginRead)
{
  for (const EntryChange change :
       { EntryChange::Removed, EntryChange::Draining }) {
    for (size_t page = 1; page <= kPages; ++page) {
      for (size_t server = 0; server < kServers - 1; server += kPageRows) {
        CAPTURE(static_cast<int>(change));
        CAPTURE(page);
        CAPTURE(server);
        WholeReadWorld world;
        const size_t reader = aBeginRead(world);
        world.ChangeDuringRead(reader,
                               ChangeBetweenPages{ page, server, change });
        world.RunChecked(kDrainTime);
        REQUIRE(world.HasChanged());
        world.CheckNoticed(server);
      }
    }
  }
}

// Guards against DRAIN (review/15): a node that started missed an entry's
// removal between two pages of its read, and sent requests there.
TEST_CASE("a node that starts notices a change between the pages of its read")
{
  PlayEachChange([](WholeReadWorld& aWorld) {
    const size_t node = aWorld.Find(
      [](const EntryState& aState) { return !aState.m_isFollower; });
    aWorld.Kill(node);
    // The other nodes have forgotten it by then, and tell it nothing.
    aWorld.Run(Millis(4'000));
    aWorld.Start(node);
    return node;
  });
}

// Guards against DRAIN (the leads of issue 75): after the store had discarded
// its history, the followers noticed the removal and no other node ever did.
TEST_CASE("all nodes notice a change between the pages of a read by the first "
          "of those that follow the store")
{
  PlayEachChange([](WholeReadWorld& aWorld) {
    aWorld.DropHistory();
    return aWorld.FirstFollower();
  });
}

// Guards against callers that are refused by a node that the directory names:
// it said that it was ready and did not know a single server.
TEST_CASE("a node that starts is not ready before it knows the servers")
{
  // With others, and alone: a node may learn of the servers from either.
  for (const bool isAlone : { false, true }) {
    CAPTURE(isAlone);
    WholeReadWorld world;
    for (size_t node = 0; node < world.NodeCount(); ++node) {
      if (node == 0 || isAlone) {
        world.Kill(node);
      }
    }
    world.Run(Millis(4'000));
    world.Start(0);
    Millis passed;
    while (!IsReady(world.StateOf(0)) && passed < kDrainTime) {
      world.Run(FleetWorld::kStep);
      passed = passed + FleetWorld::kStep;
    }
    CHECK(IsReady(world.StateOf(0)));
    CHECK(world.StateOf(0).m_servers.size() == kServers);
  }
}

// A fleet without servers answers its callers, too: with what it refuses.
TEST_CASE("a node is ready once it knows that there are no servers")
{
  FleetWorld world(FleetOptions{});
  world.Run(Millis(500));
  CHECK(IsReady(world.StateOf(0)));
}

// Guards against DRAIN (the leads of issue 75): those that followed the store
// ended with a removal that they had told nobody, and those that followed it
// next had never known the server.
TEST_CASE("a removal is noticed though all that knew of it have just ended")
{
  for (const bool isHistoryGone : { false, true }) {
    CAPTURE(isHistoryGone);
    WholeReadWorld world;
    std::vector<size_t> followers;
    for (size_t node = 0; node < world.NodeCount(); ++node) {
      if (world.StateOf(node).m_isFollower) {
        followers.push_back(node);
      }
    }
    REQUIRE(followers.size() == 2);
    world.RemoveServer(NameOf(7));
    for (const size_t node : followers) {
      world.Kill(node);
    }
    if (isHistoryGone) {
      world.DropHistory();
    }
    world.RunChecked(Millis(500));
    for (const size_t node : followers) {
      world.Start(node);
    }
    world.RunChecked(kDrainTime - Millis(500));
    world.CheckNoticed(7);
  }
}

// Guards against a false claim that stays: whoever made a node believe that it
// knew all, it finds that its rows are not those of the other nodes.
TEST_CASE("a node that was told a false claim notices that its rows differ")
{
  WholeReadWorld world;
  const size_t node =
    world.Find([](const EntryState& aState) { return !aState.m_isFollower; });
  const size_t teller = world.FirstFollower();
  const EntryState& state = world.StateOf(node);
  const RowVersion claim = state.m_rows.CompleteUpTo(Feed::Servers);
  world.SetCutOff(node, true);
  world.RemoveServer(NameOf(7));
  world.Run(Millis(100));
  PeerUpdateReceived told;
  told.m_update.m_node = world.StateOf(teller).m_settings.m_node;
  told.m_update.m_incarnation = world.StateOf(teller).m_incarnation;
  told.m_update.m_completeUpTo.resize(kFeedCount);
  RowChanges changes;
  changes.m_feed = Feed::Servers;
  changes.m_after = claim;
  changes.m_upTo = world.StateOf(teller).m_rows.CompleteUpTo(Feed::Servers);
  changes.m_isLast = true;
  changes.m_namesRemovals = true;
  told.m_update.m_rowChanges = { changes };
  world.ExpectFalseClaim();
  world.Dispatch(node, told);
  CHECK(state.m_rows.CompleteUpTo(Feed::Servers) > claim);
  CHECK(state.m_servers.count(HostId(NameOf(7))) == 1);
  world.SetCutOff(node, false);
  world.Run(kDrainTime);
  world.CheckNoticed(7);
  CHECK(state.m_missedChanges == 1);
}

// Guards against a check that counts as made while another call to the store
// was on its way, so that the node would not ask.
TEST_CASE("a check of the rows that can't be made now is made later")
{
  WholeReadWorld world;
  const size_t node =
    world.Find([](const EntryState& aState) { return !aState.m_isFollower; });
  EntryState state = world.StateOf(node);
  const Millis now = world.LocalTime(node);
  state.m_rowAudits[Feed::Servers].OnUnproven();
  const auto asksNow = [&](Millis aNow) {
    const EntryEffects effects = ReduceEntry(state, aNow, EntryTick{});
    return std::any_of(effects.begin(), effects.end(), [](const auto& aEffect) {
      const auto* call = std::get_if<WatchFeed>(&aEffect);
      return call != nullptr && call->m_feed == Feed::Servers &&
             call->m_wait == Millis();
    });
  };
  // A call that asks for an answer at once is on its way.
  REQUIRE(state.m_feeds[Feed::Servers].CheckNow(now));
  CHECK_FALSE(asksNow(now));
  // It has ended.
  state.m_feeds[Feed::Servers] = world.StateOf(node).m_feeds.at(Feed::Servers);
  CHECK(asksNow(now + Millis(1'000)));
}

} // namespace
} // namespace briarglade
