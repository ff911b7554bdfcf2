// Tests of what a node may say that it knows of a feed, by who told it.

#include "briarglade/entry/feed_rows.h"

#include <doctest/doctest.h>
#include <string>

namespace briarglade {
namespace {

StoredRow Row(const std::string& aKey, uint64_t aVersion, const char* aValue)
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

// An answer to a call that waited for changes.
FeedAnswered Changes(uint64_t aVersion, std::vector<StoredRow> aRows)
{
  FeedAnswered answer;
  answer.m_feed = Feed::Servers;
  answer.m_status = StoreStatus::Ok;
  answer.m_rows = std::move(aRows);
  answer.m_version = StoreVersion(aVersion);
  return answer;
}

FeedAnswered Whole(uint64_t aVersion, std::vector<StoredRow> aRows)
{
  FeedAnswered answer = Changes(aVersion, std::move(aRows));
  answer.m_isWhole = true;
  return answer;
}

// Changes as a node hands them on that names every removal.
RowChanges Handed(uint64_t aAfter, uint64_t aUpTo, std::vector<StoredRow> aRows)
{
  RowChanges changes;
  changes.m_feed = Feed::Servers;
  changes.m_after = RowVersion(aAfter);
  changes.m_upTo = RowVersion(aUpTo);
  changes.m_rows = std::move(aRows);
  changes.m_isLast = true;
  changes.m_namesRemovals = true;
  return changes;
}

bool Holds(const FeedRows& aRows, const std::string& aKey)
{
  const StoredRow* row = aRows.Find(aKey);
  return row != nullptr && row->m_value;
}

// Hands on all that the receiver lacks, part by part. Returns the parts.
int HandOnAll(const FeedRows& aFrom, FeedRows& aTo)
{
  constexpr int kMostParts = 50;
  int parts = 0;
  while (parts < kMostParts) {
    ++parts;
    const RowChanges changes = aFrom.ChangesAfter(aTo.ResumesAfter());
    aTo.ApplyChanges(changes);
    if (changes.m_isLast) {
      break;
    }
  }
  return parts;
}

// Guards against DRAIN: a node that has read the whole feed doesn't know what
// was removed before, and must not make others believe that nothing was.
TEST_CASE("changes from a node that can't name a removal don't make it known")
{
  FeedRows started;
  started.Apply(Whole(10, { Row("b", 3, "x") }));
  started.Apply(Changes(12, { Row("c", 12, "y") }));
  FeedRows other;
  other.Apply(Whole(4, { Row("a", 2, "x"), Row("b", 3, "x") }));
  // Row a was removed as of 6.
  other.ApplyChanges(started.ChangesAfter(other.CompleteUpTo()));
  CHECK(Holds(other, "c"));
  CHECK(other.CompleteUpTo() == RowVersion(3));
  CHECK(other.TakeUnproven());
  CHECK_FALSE(other.TakeUnproven());
  other.Apply(Changes(12, { Row("a", 6, nullptr), Row("c", 12, "y") }));
  CHECK_FALSE(Holds(other, "a"));
  CHECK(other.CompleteUpTo() == RowVersion(12));
  CHECK(other.TakeMissed().empty());
}

TEST_CASE("changes from a node that can't name removals are all if both nodes "
          "then have the same rows")
{
  FeedRows started;
  started.Apply(Whole(10, { Row("b", 3, "x") }));
  started.Apply(Changes(12, { Row("c", 12, "y") }));
  FeedRows other;
  other.Apply(Whole(4, { Row("b", 3, "x") }));
  other.ApplyChanges(started.ChangesAfter(other.CompleteUpTo()));
  CHECK(other.CompleteUpTo() == RowVersion(12));
  CHECK_FALSE(other.TakeUnproven());
  CHECK(other.Checksum() == started.Checksum());
}

// Guards against DRAIN (the leads of issue 75): removals that were discarded
// counted as told.
TEST_CASE("a node that has discarded a removal doesn't make it known")
{
  FeedRows other;
  other.Apply(Whole(5, { Row("a", 5, "x") }));
  FeedRows rows;
  rows.Apply(Whole(5, { Row("a", 5, "x") }));
  rows.Apply(Changes(6, { Row("a", 6, nullptr) }));
  constexpr uint64_t kRemovals = 5'200;
  std::vector<StoredRow> removals;
  for (uint64_t i = 0; i < kRemovals; ++i) {
    removals.push_back(Row("r" + std::to_string(i), 7 + i, nullptr));
  }
  rows.Apply(Changes(7 + kRemovals, removals));
  CHECK(rows.Find("a") == nullptr);
  CHECK(rows.Find("r5199") != nullptr);
  HandOnAll(rows, other);
  CHECK(Holds(other, "a"));
  CHECK(other.CompleteUpTo() == RowVersion(5));
  CHECK(other.TakeUnproven());
}

// Guards against DRAIN: the change of a row that has changed again since is in
// a later part.
TEST_CASE("parts but the last make nothing known")
{
  FeedRows other;
  other.Apply(Whole(5, { Row("a", 5, "ready") }));
  FeedRows rows;
  rows.Apply(Whole(5, { Row("a", 5, "ready") }));
  rows.Apply(Changes(8, { Row("a", 8, "draining") }));
  constexpr uint64_t kRows = 1'000;
  std::vector<StoredRow> more;
  for (uint64_t i = 0; i < kRows; ++i) {
    more.push_back(Row("r" + std::to_string(i), 9 + i, "x"));
  }
  more.push_back(Row("a", 9 + kRows, "still draining"));
  rows.Apply(Changes(9 + kRows, more));
  other.ApplyChanges(rows.ChangesAfter(RowVersion(5)));
  CHECK(other.Find("a")->m_value == "ready");
  CHECK(other.CompleteUpTo() == RowVersion(5));
  CHECK(other.ResumesAfter() > RowVersion(5));
  CHECK(HandOnAll(rows, other) == 2);
  CHECK(other.Find("a")->m_value == "still draining");
  CHECK(other.CompleteUpTo() == RowVersion(9 + kRows));
}

// Guards against a node that never gets all parts, as each answer of a node
// that is behind lets it begin again.
TEST_CASE("an answer of a node that is behind the parts so far changes nothing")
{
  FeedRows rows;
  std::vector<StoredRow> all;
  constexpr uint64_t kRows = 1'000;
  for (uint64_t i = 0; i < kRows; ++i) {
    all.push_back(Row("r" + std::to_string(i), 1 + i, "x"));
  }
  rows.Apply(Whole(kRows, all));
  FeedRows behind;
  behind.Apply(Whole(10, { Row("r8", 9, "x"), Row("r9", 10, "x") }));
  FeedRows other;
  other.ApplyChanges(rows.ChangesAfter(RowVersion()));
  const RowVersion resumesAfter = other.ResumesAfter();
  CHECK(resumesAfter > behind.CompleteUpTo());
  other.ApplyChanges(behind.ChangesAfter(resumesAfter));
  CHECK(other.ResumesAfter() == resumesAfter);
  CHECK_FALSE(other.TakeUnproven());
  CHECK(HandOnAll(rows, other) == 2);
  CHECK(other.CompleteUpTo() == RowVersion(kRows));
}

TEST_CASE("a row that has replaced a change up to the claim is handed on")
{
  FeedRows rows;
  rows.Apply(Whole(5, { Row("a", 5, "ready") }));
  // It came behind a gap, and the change before it was not applied any more.
  rows.ApplyChanges(Handed(12, 15, { Row("a", 15, "still draining") }));
  rows.ApplyChanges(Handed(5, 10, { Row("a", 8, "draining") }));
  CHECK(rows.CompleteUpTo() == RowVersion(10));
  CHECK_FALSE(rows.Checksum());
  FeedRows other;
  other.Apply(Whole(5, { Row("a", 5, "ready") }));
  other.ApplyChanges(rows.ChangesAfter(RowVersion(5)));
  CHECK(other.CompleteUpTo() == RowVersion(10));
  CHECK(other.Find("a")->m_value == "still draining");
}

// Guards against DRAIN: a message that a link has held up, about a row that was
// removed before this node read the feed.
TEST_CASE("a late message doesn't bring back a row that a read has not met")
{
  FeedRows rows;
  rows.Apply(Whole(10, { Row("b", 3, "x") }));
  CHECK(rows.ApplyChanges(Handed(3, 7, { Row("a", 7, "x") })).empty());
  CHECK_FALSE(Holds(rows, "a"));
  CHECK(rows.ApplyChanges(Handed(10, 11, { Row("c", 11, "x") })).size() == 1);
}

// Guards against a false claim that nobody notices: the change that shows it is
// applied, told, and can be handed on to others that believed the same.
TEST_CASE("a change that counted as known and was not is noticed")
{
  FeedRows rows;
  rows.Apply(Whole(5, { Row("a", 5, "x") }));
  rows.ApplyChanges(Handed(5, 12, { Row("b", 12, "y") }));
  FeedRows other = rows;
  CHECK(rows.Apply(Changes(12, { Row("a", 11, nullptr) })).size() == 1);
  const std::vector<MissedChange> missed = rows.TakeMissed();
  REQUIRE(missed.size() == 1);
  CHECK(missed[0].m_key == "a");
  CHECK(missed[0].m_version == RowVersion(11));
  CHECK(missed[0].m_claim == RowVersion(12));
  CHECK(other.ApplyChanges(rows.ChangesAfter(RowVersion(10))).size() == 1);
  CHECK_FALSE(Holds(other, "a"));
  CHECK(other.TakeMissed().size() == 1);
}

TEST_CASE("no change counts as missed where an answer only comes late, or a "
          "removed row was never known")
{
  FeedRows rows;
  rows.Apply(Whole(5, { Row("a", 5, "x") }));
  rows.ApplyChanges(Handed(5, 12, { Row("a", 12, "y") }));
  rows.Apply(Changes(8, { Row("a", 8, "older") }));
  rows.Apply(Changes(12, { Row("b", 11, nullptr) }));
  CHECK(rows.TakeMissed().empty());
  CHECK(rows.Find("a")->m_value == "y");
}

TEST_CASE("the checksum is that of the rows that exist, however they came")
{
  FeedRows one;
  CHECK(one.Checksum());
  one.Apply(Whole(9, { Row("a", 5, "x"), Row("b", 9, "y") }));
  FeedRows other;
  CHECK(one.Checksum() != other.Checksum());
  other.Apply(Changes(4, { Row("b", 2, "old"), Row("c", 4, "z") }));
  other.Apply(Changes(8, { Row("a", 5, "x"), Row("c", 8, nullptr) }));
  CHECK(one.Checksum() != other.Checksum());
  other.Apply(Changes(9, { Row("b", 9, "y") }));
  CHECK(one.Checksum() == other.Checksum());
}

} // namespace
} // namespace briarglade
