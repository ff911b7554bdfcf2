// Tests of the adapter's calls to the store against its stand-in, over
// loopback.

#include "standin/platform_store.h"

#include <doctest/doctest.h>
#include <functional>
#include <optional>

#include "briarglade/net/event_loop.h"
#include "briarglade/net/http_client.h"
#include "platform/store.h"
#include "platform/wire_names.h"

namespace briarglade::standin {
namespace {

// A store with two doors, and an adapter at each.
struct World
{
  EventLoop m_loop;
  PlatformStore m_store{ m_loop, PlatformStoreOptions() };
  HttpClient m_client{ m_loop, HttpClientLimits() };
  StoreHooks m_hooks = Open("one");
  StoreHooks m_otherHooks = Open("two");

  StoreHooks Open(const std::string& aDoor)
  {
    return platform::MakeStoreHooks(
      m_client, Endpoint{ "127.0.0.1", m_store.OpenDoor(aDoor) });
  }
  OwnRowWritten Write(const StoreHooks& aHooks,
                      const std::string& aValue,
                      std::optional<RowVersion> aExpected)
  {
    OwnRowWritten result;
    WriteOwnRow write;
    write.m_key = RowKey("lease");
    write.m_expected = aExpected;
    write.m_value = aValue;
    aHooks.m_write(write, [&](OwnRowWritten aWritten) {
      result = std::move(aWritten);
      m_loop.Stop();
    });
    m_loop.Run();
    return result;
  }
  FeedAnswered Read(const StoreHooks& aHooks)
  {
    FeedAnswered result;
    aHooks.m_read(ReadFeed{ Feed::Own, FeedCallId() },
                  [&](FeedAnswered aAnswer) {
                    result = std::move(aAnswer);
                    m_loop.Stop();
                  });
    m_loop.Run();
    return result;
  }
  FeedAnswered Watch(StoreVersion aAfter, Millis aWait)
  {
    FeedAnswered result;
    m_hooks.m_watch(WatchFeed{ Feed::Own, aAfter, aWait, FeedCallId() },
                    [&](FeedAnswered aAnswer) {
                      result = std::move(aAnswer);
                      m_loop.Stop();
                    });
    m_loop.Run();
    return result;
  }
};

TEST_CASE("a write takes effect only if the row has the version it expects")
{
  World world;
  const OwnRowWritten first = world.Write(world.m_hooks, "a", RowVersion());
  CHECK(first.m_status == StoreStatus::Ok);
  CHECK(world.Write(world.m_hooks, "b", RowVersion()).m_status ==
        StoreStatus::Conflict);
  const OwnRowWritten second =
    world.Write(world.m_otherHooks, "b", first.m_version);
  CHECK(second.m_status == StoreStatus::Ok);
  CHECK(second.m_version > first.m_version);
  const FeedAnswered all = world.Read(world.m_hooks);
  REQUIRE(all.m_rows.size() == 1);
  CHECK(all.m_rows[0].m_value == "b");
  CHECK(all.m_rows[0].m_version == second.m_version);
}

TEST_CASE("a watch ends with the change, or without one after its time")
{
  World world;
  const FeedAnswered before = world.Read(world.m_hooks);
  const FeedAnswered none = world.Watch(before.m_version, Millis(10));
  CHECK(none.m_status == StoreStatus::Ok);
  CHECK(none.m_rows.empty());
  const OwnRowWritten written = world.Write(world.m_hooks, "a", std::nullopt);
  const FeedAnswered changed = world.Watch(before.m_version, Millis(10'000));
  REQUIRE(changed.m_rows.size() == 1);
  CHECK(changed.m_rows[0].m_version == written.m_version);
  world.m_store.Remove(platform::kOwnTable, "lease");
  const FeedAnswered removed = world.Watch(changed.m_version, Millis(10'000));
  REQUIRE(removed.m_rows.size() == 1);
  CHECK_FALSE(removed.m_rows[0].m_value);
}

TEST_CASE(
  "a door that falls silent answers no watch that waits, also not after "
  "its time")
{
  World world;
  world.Write(world.m_hooks, "a", std::nullopt);
  const StoreVersion version = world.Read(world.m_hooks).m_version;
  PlatformStoreFaults silent;
  silent.m_isSilent = true;
  bool isAnswered = false;
  world.m_hooks.m_watch(
    WatchFeed{ Feed::Own, version, Millis(50), FeedCallId() },
    [&](const FeedAnswered& aAnswer) {
      isAnswered = isAnswered || aAnswer.m_status == StoreStatus::Ok;
    });
  const auto silence =
    world.m_loop.MakeTimer([&] { world.m_store.SetFaults("one", silent); });
  silence->Start(Millis(20));
  const auto end = world.m_loop.MakeTimer([&] { world.m_loop.Stop(); });
  end->Start(Millis(30));
  world.m_loop.Run();
  CHECK(world.Write(world.m_otherHooks, "b", std::nullopt).m_status ==
        StoreStatus::Ok);
  end->Start(Millis(60));
  world.m_loop.Run();
  CHECK_FALSE(isAnswered);
}

TEST_CASE("without its history the store asks for a whole read")
{
  World world;
  world.Write(world.m_hooks, "a", std::nullopt);
  world.m_store.DropHistory();
  CHECK(world.Watch(StoreVersion(), Millis(10)).m_status ==
        StoreStatus::HistoryGone);
  const FeedAnswered all = world.Read(world.m_hooks);
  CHECK(all.m_isWhole);
  CHECK(world.Watch(all.m_version, Millis(10)).m_status == StoreStatus::Ok);
}

TEST_CASE("a table of more rows than one answer holds is read page by page")
{
  World world;
  constexpr int kRows = 1'203;
  for (int i = 0; i < kRows; ++i) {
    world.m_store.Put(
      platform::kOwnTable, "node/" + std::to_string(i) + " %&", "x");
  }
  CHECK(world.Read(world.m_hooks).m_rows.size() == kRows);
}

TEST_CASE("each fault of the store is told from the others")
{
  struct Case
  {
    const char* m_name;
    PlatformStoreFaults m_faults;
    StoreStatus m_status;
    // Whether the row holds the new value after all.
    bool m_isWritten;
  };
  Case cases[] = {
    { "down", {}, StoreStatus::Refused, false },
    { "too many calls", {}, StoreStatus::Refused, false },
    { "slow", {}, StoreStatus::Ok, true },
    { "the answer is lost", {}, StoreStatus::Unknown, true },
    { "carried out late", {}, StoreStatus::Unknown, false },
  };
  cases[0].m_faults.m_isDown = true;
  cases[1].m_faults.m_isBusy = true;
  cases[2].m_faults.m_delay = Millis(20);
  cases[3].m_faults.m_loseWriteAnswers = 1;
  cases[4].m_faults.m_writeLag = Millis(30);
  for (const Case& entry : cases) {
    CAPTURE(entry.m_name);
    World world;
    world.m_store.SetFaults("one", entry.m_faults);
    CHECK(world.Write(world.m_hooks, "a", RowVersion()).m_status ==
          entry.m_status);
    const auto row = world.m_store.Find(platform::kOwnTable, "lease");
    CHECK(row.has_value() == entry.m_isWritten);
    // The other door serves on.
    CHECK(world.Read(world.m_otherHooks).m_status == StoreStatus::Ok);
  }
}

TEST_CASE("a write that is carried out late finds its condition gone")
{
  World world;
  PlatformStoreFaults late;
  late.m_writeLag = Millis(30);
  world.m_store.SetFaults("one", late);
  world.Write(world.m_hooks, "late", RowVersion());
  CHECK(world.Write(world.m_otherHooks, "first", RowVersion()).m_status ==
        StoreStatus::Ok);
  world.Watch(StoreVersion(1), Millis(60));
  CHECK(world.m_store.Find(platform::kOwnTable, "lease") == "first");
}

TEST_CASE("every answer of the store tells its era, and versions compare as a "
          "whole")
{
  World world;
  const OwnRowWritten early = world.Write(world.m_hooks, "a", std::nullopt);
  CHECK(EraOf(early.m_version) == StoreEra(1));
  world.m_store.SaveCopy();
  const OwnRowWritten lost = world.Write(world.m_hooks, "b", std::nullopt);
  world.m_store.ReturnToCopy();
  const FeedAnswered read = world.Read(world.m_hooks);
  REQUIRE(read.m_rows.size() == 1);
  CHECK(read.m_rows[0].m_value == "a");
  CHECK(EraOf(read.m_version) == StoreEra(2));
  CHECK(NumberOf(read.m_version) < NumberOf(lost.m_version));
  CHECK(RowVersion(read.m_version.Value()) > lost.m_version);
  CHECK(read.m_rows[0].m_version > lost.m_version);
}

TEST_CASE("a watch from a version of an earlier era must read all again, also "
          "when the store has given out that version again")
{
  World world;
  world.Write(world.m_hooks, "a", std::nullopt);
  world.m_store.SaveCopy();
  const OwnRowWritten lost = world.Write(world.m_hooks, "b", std::nullopt);
  world.m_store.ReturnToCopy();
  const StoreVersion known(lost.m_version.Value());
  CHECK(world.Watch(known, Millis(10)).m_status == StoreStatus::HistoryGone);
  for (const char* value : { "c", "d" }) {
    world.Write(world.m_hooks, value, std::nullopt);
  }
  CHECK(world.Watch(known, Millis(10)).m_status == StoreStatus::HistoryGone);
  const StoreVersion current = world.Read(world.m_hooks).m_version;
  CHECK(world.Watch(current, Millis(10)).m_status == StoreStatus::Ok);
}

TEST_CASE("a conditional write that has met a row of another era by its number "
          "doesn't count as carried out")
{
  World world;
  world.Write(world.m_hooks, "a", std::nullopt);
  world.m_store.SaveCopy();
  const OwnRowWritten lost = world.Write(world.m_hooks, "b", std::nullopt);
  world.m_store.ReturnToCopy();
  const OwnRowWritten other =
    world.Write(world.m_otherHooks, "c", std::nullopt);
  REQUIRE(NumberOf(other.m_version) == NumberOf(lost.m_version));
  CHECK(world.Write(world.m_hooks, "d", lost.m_version).m_status ==
        StoreStatus::Unknown);
  const RowVersion current = world.Read(world.m_hooks).m_rows[0].m_version;
  CHECK(world.Write(world.m_hooks, "e", current).m_status == StoreStatus::Ok);
}

TEST_CASE("a watch that waits while the store comes back from a copy ends")
{
  World world;
  const OwnRowWritten first = world.Write(world.m_hooks, "a", std::nullopt);
  world.m_store.SaveCopy();
  const auto timer =
    world.m_loop.MakeTimer([&world] { world.m_store.ReturnToCopy(); });
  timer->Start(Millis(20));
  const FeedAnswered cut =
    world.Watch(StoreVersion(first.m_version.Value()), Millis(5'000));
  CHECK(cut.m_status != StoreStatus::Ok);
}

} // namespace
} // namespace briarglade::standin
