// Tests of the lease: one holder at a time by the token, whatever is lost.

#include "briarglade/entry/control_lease.h"

#include <doctest/doctest.h>
#include <optional>
#include <random>
#include <vector>

#include "briarglade/entry/store_version.h"

namespace briarglade {
namespace {

constexpr Millis kTick = Millis(50);

// The store's lease row, written on conditions.
struct FakeStore
{
  OwnRow m_row;
  uint64_t m_version = 100;

  OwnRowWritten Apply(Millis aNow, const WriteOwnRow& aWrite)
  {
    OwnRowWritten written;
    written.m_operation = aWrite.m_operation;
    written.m_key = aWrite.m_key;
    written.m_storeTime = aNow;
    const RowVersion present = m_row.m_value ? m_row.m_version : RowVersion();
    if (aWrite.m_expected && *aWrite.m_expected != present) {
      written.m_status = StoreStatus::Conflict;
      return written;
    }
    m_row.m_key = aWrite.m_key;
    m_row.m_version = RowVersion(++m_version);
    m_row.m_value = aWrite.m_value;
    written.m_status = StoreStatus::Ok;
    written.m_version = m_row.m_version;
    return written;
  }
};

struct Node
{
  ControlLease m_lease;
  LeaseView m_view;
};

Node MakeNode(const char* aName, uint32_t aRank)
{
  Node node;
  node.m_lease = ControlLease(NodeId(aName), 1);
  node.m_lease.OnFeedKnown();
  node.m_view.m_rank = aRank;
  return node;
}

void Step(Node& aNode, FakeStore& aStore, Millis aNow)
{
  aNode.m_view.m_storeTime = aNow;
  aNode.m_view.m_storeEra = EraOf(RowVersion(aStore.m_version));
  if (aStore.m_row.m_version != RowVersion()) {
    aNode.m_lease.OnRow(aStore.m_row);
  }
  if (auto write = aNode.m_lease.Tick(aNow, aNode.m_view)) {
    aNode.m_lease.OnWritten(aStore.Apply(aNow, *write));
  }
}

// Lets the store come back from a copy in which the lease row was as given.
void ReturnTo(FakeStore& aStore, OwnRow aRow, uint64_t aEra)
{
  aStore.m_version = MakeStoreVersion<RowVersion>(StoreEra(aEra), 100).Value();
  aStore.m_row = std::move(aRow);
  aStore.m_row.m_version = RowVersion(aStore.m_version);
}

TEST_CASE(
  "a lease that the store has lost still holds, and its holder writes it "
  "again at once")
{
  FakeStore store;
  Node holder = MakeNode("n1", 0);
  Node other = MakeNode("n2", 0);
  Step(holder, store, Millis(1'000));
  REQUIRE(holder.m_lease.IsHeld(Millis(1'000)));
  const OwnRow early = store.m_row;
  const FencingToken token = holder.m_lease.Token();
  Millis now(1'000);
  for (; now < Millis(20'000); now += kTick) {
    Step(holder, store, now);
    Step(other, store, now);
  }
  OwnRow missing = early;
  missing.m_value.reset();
  uint64_t era = 1;
  for (const OwnRow& copied : { early, missing }) {
    ReturnTo(store, copied, ++era);
    for (int i = 0; i < 20; ++i, now += kTick) {
      Step(other, store, now);
      CHECK_FALSE(other.m_lease.IsHeld(now));
      Step(holder, store, now);
    }
    CHECK(holder.m_lease.IsHeld(now));
    CHECK(holder.m_lease.Token() == token);
    CHECK(EraOf(store.m_row.m_version) == StoreEra(era));
  }
}

TEST_CASE(
  "a node that knows only a lease of an earlier era waits as long as one "
  "that was lost may last")
{
  FakeStore store;
  Node first = MakeNode("n1", 0);
  Step(first, store, Millis(1'000));
  const OwnRow expired = store.m_row;
  // The grant that the store loses: to n2, at 20 s, until 28 s.
  ReturnTo(store, expired, 1);
  Node starting = MakeNode("n3", 0);
  Millis now(20'050);
  for (; now < Millis(28'000); now += kTick) {
    Step(starting, store, now);
    CHECK_FALSE(starting.m_lease.IsHeld(now));
  }
  for (; now < Millis(29'000); now += kTick) {
    Step(starting, store, now);
  }
  CHECK(starting.m_lease.IsHeld(now));
}

TEST_CASE("a lost lease is free once it has expired, and the next token is "
          "higher")
{
  FakeStore store;
  Node holder = MakeNode("n1", 0);
  Node other = MakeNode("n2", 0);
  Step(holder, store, Millis(1'000));
  Step(other, store, Millis(1'000));
  const FencingToken token = holder.m_lease.Token();
  OwnRow missing = store.m_row;
  missing.m_value.reset();
  ReturnTo(store, missing, 1);
  // The holder has ended.
  Millis now(1'100);
  for (; now < Millis(9'000); now += kTick) {
    Step(other, store, now);
    CHECK_FALSE(other.m_lease.IsHeld(now));
  }
  for (; now < Millis(11'000); now += kTick) {
    Step(other, store, now);
  }
  CHECK(other.m_lease.IsHeld(now));
  CHECK(other.m_lease.Token() > token);
}

TEST_CASE("one node takes a free lease, the others leave it")
{
  FakeStore store;
  Node first = MakeNode("n1", 0);
  Node second = MakeNode("n2", 1);
  for (Millis now(1'000); now < Millis(30'000); now += kTick) {
    Step(second, store, now);
    Step(first, store, now);
    CHECK_FALSE(second.m_lease.IsHeld(now));
  }
  CHECK(first.m_lease.IsHeld(Millis(30'000)));
}

TEST_CASE(
  "an order refused as old stops the holder until its lease is confirmed")
{
  FakeStore store;
  Node first = MakeNode("n1", 0);
  Step(first, store, Millis(1'000));
  const FencingToken token = first.m_lease.Token();
  first.m_lease.OnOrderRefused();
  CHECK_FALSE(first.m_lease.IsHeld(Millis(1'010)));
  CHECK(first.m_lease.IsUnconfirmed(Millis(1'010)));
  // Its own order had overtaken another one: the row is still its own.
  Step(first, store, Millis(1'010));
  CHECK(first.m_lease.IsHeld(Millis(1'010)));
  CHECK(first.m_lease.Token() == token);
  // Another node has taken the lease meanwhile: the write conflicts.
  Node second = MakeNode("n2", 1);
  second.m_view.m_serversCheckFencing = true;
  second.m_view.m_isHolderLost = true;
  for (Millis now(2'000); !second.m_lease.IsHeld(now); now += kTick) {
    REQUIRE(now < Millis(4'000));
    Step(second, store, now);
  }
  first.m_lease.OnOrderRefused();
  Step(first, store, Millis(4'000));
  CHECK_FALSE(first.m_lease.IsHeld(Millis(4'000)));
  CHECK_FALSE(first.m_lease.IsUnconfirmed(Millis(4'000)));
}

TEST_CASE("a lapsed lease is taken under a higher token, and never earlier "
          "where servers don't check it")
{
  FakeStore store;
  Node first = MakeNode("n1", 0);
  Node second = MakeNode("n2", 1);
  Step(first, store, Millis(1'000));
  const FencingToken token = first.m_lease.Token();
  second.m_view.m_isHolderLost = true;
  Millis now(1'000);
  while (!second.m_lease.IsHeld(now)) {
    now += kTick;
    REQUIRE(now < Millis(20'000));
    Step(second, store, now);
    // The first holder's own time is over before another can hold it.
    CHECK((!second.m_lease.IsHeld(now) || !first.m_lease.IsHeld(now)));
  }
  CHECK(second.m_lease.Token() > token);
}

TEST_CASE("where servers check tokens, a lost holder is replaced at once")
{
  FakeStore store;
  Node first = MakeNode("n1", 0);
  Node second = MakeNode("n2", 1);
  second.m_view.m_serversCheckFencing = true;
  Step(first, store, Millis(1'000));
  second.m_view.m_isHolderLost = true;
  Millis now(2'000);
  while (!second.m_lease.IsHeld(now)) {
    now += kTick;
    Step(second, store, now);
  }
  CHECK(now < Millis(2'500));
  CHECK(second.m_lease.Token() > first.m_lease.Token());
}

TEST_CASE("a taking write whose answer is lost is found in the row")
{
  FakeStore store;
  Node node = MakeNode("n1", 0);
  node.m_view.m_storeTime = Millis(1'000);
  const auto write = node.m_lease.Tick(Millis(1'000), node.m_view);
  REQUIRE(write);
  store.Apply(Millis(1'000), *write);
  OwnRowWritten lost;
  lost.m_operation = write->m_operation;
  lost.m_status = StoreStatus::Unknown;
  node.m_lease.OnWritten(lost);
  CHECK_FALSE(node.m_lease.IsHeld(Millis(1'100)));
  node.m_lease.OnRow(store.m_row);
  CHECK(node.m_lease.IsHeld(Millis(1'200)));
  CHECK(node.m_lease.Token().Value() == store.m_row.m_version.Value());
}

TEST_CASE("a renewal that conflicts with its own lost write keeps the lease")
{
  FakeStore store;
  Node node = MakeNode("n1", 0);
  Step(node, store, Millis(1'000));
  const FencingToken token = node.m_lease.Token();
  Millis now(1'000);
  std::optional<WriteOwnRow> renewal;
  while (!renewal) {
    now += kTick;
    renewal = node.m_lease.Tick(now, node.m_view);
  }
  store.Apply(now, *renewal); // the answer is lost
  for (Millis end = now + Millis(20'000); now < end; now += kTick) {
    Step(node, store, now);
  }
  CHECK(node.m_lease.IsHeld(now));
  CHECK(node.m_lease.Token() == token);
}

TEST_CASE("a holder that leaves gives the lease up")
{
  FakeStore store;
  Node first = MakeNode("n1", 0);
  Node second = MakeNode("n2", 1);
  Step(first, store, Millis(1'000));
  first.m_view.m_isLeaving = true;
  Step(first, store, Millis(1'050));
  CHECK_FALSE(first.m_lease.IsHeld(Millis(1'050)));
  Millis now(1'050);
  while (!second.m_lease.IsHeld(now) && now < Millis(3'000)) {
    now += kTick;
    Step(second, store, now);
  }
  CHECK(second.m_lease.IsHeld(now));
}

TEST_CASE("over random losses without token checks, no two nodes hold it")
{
  std::mt19937 random(20261204);
  for (int round = 0; round < 200; ++round) {
    FakeStore store;
    std::vector<Node> nodes = { MakeNode("n1", 0),
                                MakeNode("n2", 1),
                                MakeNode("n3", 2) };
    std::vector<Millis> pausedUntil(nodes.size());
    for (Millis now(1'000); now < Millis(60'000); now += kTick) {
      for (size_t i = 0; i < nodes.size(); ++i) {
        if (random() % 400 == 0) {
          pausedUntil[i] = now + Millis(random() % 12'000);
        }
        if (now < pausedUntil[i]) {
          continue;
        }
        Node& node = nodes[i];
        node.m_view.m_storeTime = now;
        if (random() % 3 == 0 && store.m_row.m_version != RowVersion()) {
          node.m_lease.OnRow(store.m_row);
        }
        if (auto write = node.m_lease.Tick(now, node.m_view)) {
          OwnRowWritten written = store.Apply(now, *write);
          if (random() % 4 == 0) {
            written.m_status = StoreStatus::Unknown;
          }
          node.m_lease.OnWritten(written);
        }
      }
      int holders = 0;
      for (const Node& node : nodes) {
        holders += node.m_lease.IsHeld(now) ? 1 : 0;
      }
      REQUIRE(holders <= 1);
    }
  }
}

} // namespace
} // namespace briarglade
