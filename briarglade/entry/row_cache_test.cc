// Tests of rows by version.

#include "briarglade/entry/row_cache.h"

#include <doctest/doctest.h>
#include <string>

#include "briarglade/entry/store_version.h"

namespace briarglade {
namespace {

StoredRow Row(const char* aKey, uint64_t aVersion, const char* aValue)
{
  StoredRow row;
  row.m_feed = Feed::Servers;
  row.m_key = aKey;
  row.m_version = RowVersion(aVersion);
  if (aValue != nullptr) {
    row.m_value = aValue;
  }
  return row;
}

FeedAnswered Whole(std::vector<StoredRow> aRows, uint64_t aVersion)
{
  FeedAnswered answer;
  answer.m_feed = Feed::Servers;
  answer.m_status = StoreStatus::Ok;
  answer.m_isWhole = true;
  answer.m_rows = std::move(aRows);
  answer.m_version = StoreVersion(aVersion);
  return answer;
}

// All changes between two versions, in one part.
RowChanges Handed(uint64_t aAfter, uint64_t aUpTo, std::vector<StoredRow> aRows)
{
  RowChanges changes{
    Feed::Servers, RowVersion(aAfter), RowVersion(aUpTo), std::move(aRows)
  };
  changes.m_isLast = true;
  changes.m_namesRemovals = true;
  return changes;
}

TEST_CASE("a row never goes back to an older version, whoever brings it")
{
  RowCache cache;
  CHECK(cache.ApplyChanges(Handed(0, 5, { Row("a", 5, "new") })).size() == 1);
  CHECK(cache.ApplyChanges(Handed(0, 4, { Row("a", 4, "old") })).empty());
  CHECK(cache.ApplyChanges(Handed(0, 5, { Row("a", 5, "same") })).empty());
  CHECK(cache.ApplyChanges(Handed(5, 6, { Row("a", 6, nullptr) })).size() == 1);
  CHECK(cache.ApplyChanges(Handed(0, 5, { Row("a", 5, "new") })).empty());
}

TEST_CASE("what a whole answer doesn't hold is gone, unless it is newer")
{
  RowCache cache;
  cache.ApplyChanges(Handed(0, 9, { Row("a", 5, "x"), Row("b", 9, "y") }));
  const std::vector<StoredRow> changed = cache.Apply(Whole({}, 7));
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].m_key == "a");
  CHECK_FALSE(changed[0].m_value);
}

uint64_t InEra(uint64_t aEra, uint64_t aNumber)
{
  return MakeStoreVersion<RowVersion>(StoreEra(aEra), aNumber).Value();
}

TEST_CASE("a whole answer of a new era replaces all rows, though its numbers "
          "are lower")
{
  RowCache cache;
  cache.Apply(Whole({ Row("a", InEra(1, 8), "x"),
                      Row("b", InEra(1, 9), "lost"),
                      Row("c", InEra(1, 3), "same") },
                    InEra(1, 9)));
  const auto changed = cache.Apply(
    Whole({ Row("a", InEra(2, 5), "old"), Row("c", InEra(2, 3), "same") },
          InEra(2, 6)));
  REQUIRE(changed.size() == 2);
  CHECK(changed[0].m_value == "old");
  CHECK(changed[1].m_key == "b");
  CHECK_FALSE(changed[1].m_value);
  // A late answer of the era before changes nothing.
  CHECK(
    cache.Apply(Whole({ Row("b", InEra(1, 9), "lost") }, InEra(1, 9))).empty());
}

TEST_CASE(
  "what only an earlier era had is gone once another node's rows of the "
  "new one are complete")
{
  RowCache cache;
  cache.Apply(
    Whole({ Row("a", InEra(1, 8), "x"), Row("b", InEra(1, 9), "lost") },
          InEra(1, 9)));
  RowChanges changes =
    Handed(InEra(1, 9), InEra(2, 4), { Row("a", InEra(2, 4), "x") });
  changes.m_isLast = false;
  CHECK(cache.ApplyChanges(changes).empty());
  changes = Handed(InEra(2, 6), InEra(2, 7), { Row("d", InEra(2, 7), "y") });
  // There is a gap before these: the row may be among what is missing.
  CHECK(cache.ApplyChanges(changes).size() == 1);
  // These end what came in parts, but nothing shows that they are all.
  changes = Handed(InEra(2, 4), InEra(2, 7), { Row("c", InEra(2, 6), "z") });
  CHECK(cache.ApplyChanges(changes).size() == 1);
  RowCache sender;
  sender.Apply(Whole({ Row("a", InEra(2, 4), "x"),
                       Row("c", InEra(2, 6), "z"),
                       Row("d", InEra(2, 7), "y") },
                     InEra(2, 7)));
  const std::vector<StoredRow> changed = cache.ApplyChanges(
    sender.ChangesAfter(Feed::Servers, cache.ResumesAfter(Feed::Servers)));
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].m_key == "b");
  CHECK_FALSE(changed[0].m_value);
  CHECK(cache.CompleteUpTo(Feed::Servers) == RowVersion(InEra(2, 7)));
}

TEST_CASE("changes are handed on in order, removed rows included")
{
  RowCache cache;
  cache.Apply(Whole({ Row("b", 5, "x"), Row("a", 9, "y") }, 12));
  CHECK(cache.CompleteUpTo(Feed::Servers) == RowVersion(9));
  cache.ApplyChanges(Handed(9, 11, { Row("b", 11, nullptr) }));
  const RowChanges changes = cache.ChangesAfter(Feed::Servers, RowVersion(8));
  CHECK(changes.m_upTo == RowVersion(11));
  REQUIRE(changes.m_rows.size() == 2);
  CHECK(changes.m_rows[0].m_key == "a");
  CHECK_FALSE(changes.m_rows[1].m_value);
  CHECK(cache.ChangesAfter(Feed::Servers, RowVersion(11)).m_rows.empty());
}

// Guards against DRAIN (review/15): a node said that it knew all changes up to
// that of a later page's row, and one in between was never asked for again.
TEST_CASE("newer rows of later pages don't make the changes before them known, "
          "here or on a node that is told")
{
  RowCache follower;
  RowCache other;
  for (RowCache* cache : { &follower, &other }) {
    cache->Apply(Whole({ Row("a", 5, "x"), Row("z", 9, "y") }, 9));
  }
  // Between the two pages row a was removed, as of 11.
  follower.Apply(Whole({ Row("a", 5, "x"), Row("z", 12, "newer") }, 10));
  CHECK(follower.CompleteUpTo(Feed::Servers) == RowVersion(9));
  other.ApplyChanges(follower.ChangesAfter(Feed::Servers, RowVersion(9)));
  CHECK(other.CompleteUpTo(Feed::Servers) == RowVersion(9));
  FeedAnswered changes =
    Whole({ Row("a", 11, nullptr), Row("z", 12, "newer") }, 12);
  changes.m_isWhole = false;
  follower.Apply(changes);
  CHECK(follower.CompleteUpTo(Feed::Servers) == RowVersion(12));
  const std::vector<StoredRow> changed =
    other.ApplyChanges(follower.ChangesAfter(Feed::Servers, RowVersion(9)));
  // Row z was handed on before, though it is newer than the claim.
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].m_key == "a");
  CHECK_FALSE(changed[0].m_value);
  CHECK(other.CompleteUpTo(Feed::Servers) == RowVersion(12));
}

TEST_CASE("rows behind a gap are taken, and the gap stays known")
{
  RowCache cache;
  cache.Apply(Whole({ Row("a", 5, "x") }, 5));
  CHECK(cache.ApplyChanges(Handed(7, 8, { Row("b", 8, "y") })).size() == 1);
  CHECK(cache.CompleteUpTo(Feed::Servers) == RowVersion(5));
  cache.ApplyChanges(Handed(5, 8, { Row("a", 7, nullptr), Row("b", 8, "y") }));
  CHECK(cache.CompleteUpTo(Feed::Servers) == RowVersion(8));
}

TEST_CASE("many changes are handed on in parts that leave no gap")
{
  RowCache cache;
  std::vector<StoredRow> rows;
  constexpr uint64_t kRows = 1'000;
  for (uint64_t version = 1; version <= kRows; ++version) {
    rows.push_back(
      Row(("r" + std::to_string(kRows - version)).c_str(), version, "x"));
  }
  cache.Apply(Whole(rows, kRows));
  RowCache other;
  int parts = 0;
  while (other.CompleteUpTo(Feed::Servers) < RowVersion(kRows)) {
    CHECK(other.CompleteUpTo(Feed::Servers) == RowVersion());
    other.ApplyChanges(
      cache.ChangesAfter(Feed::Servers, other.ResumesAfter(Feed::Servers)));
    REQUIRE(++parts < 10);
  }
  CHECK(other.ChangesAfter(Feed::Servers, RowVersion()).m_rows.size() ==
        cache.ChangesAfter(Feed::Servers, RowVersion()).m_rows.size());
}

} // namespace
} // namespace briarglade
