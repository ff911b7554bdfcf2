// Tests of reads of several pages.

#include "briarglade/entry/paged_read.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

#include "briarglade/entry/store_version.h"

namespace briarglade {
namespace {

FeedPage Page(uint64_t aVersion, const char* aLastKey, bool aIsTruncated)
{
  FeedPage page;
  page.m_answer.m_feed = Feed::Servers;
  page.m_answer.m_status = StoreStatus::Ok;
  page.m_answer.m_version = StoreVersion(aVersion);
  page.m_answer.m_storeTime = Millis(static_cast<int64_t>(aVersion) * 10);
  page.m_isTruncated = aIsTruncated;
  if (aLastKey != nullptr) {
    StoredRow row;
    row.m_key = aLastKey;
    row.m_value = "x";
    page.m_answer.m_rows = { row };
  }
  return page;
}

// Guards against DRAIN and against limits counted for nodes that are gone: what
// changed between the pages would count as known.
TEST_CASE("a read has the version and the time of its first page")
{
  PagedRead read(Feed::Servers);
  CHECK(read.Add(Page(10, "a", true)) == std::string("a\0", 2));
  CHECK(read.Add(Page(12, "b", true)) == std::string("b\0", 2));
  CHECK_FALSE(read.Add(Page(14, "c", false)));
  const FeedAnswered answer = read.TakeAnswer();
  CHECK(answer.m_isWhole);
  CHECK(answer.m_status == StoreStatus::Ok);
  CHECK(answer.m_version == StoreVersion(10));
  CHECK(answer.m_storeTime == Millis(100));
  CHECK(answer.m_rows.size() == 3);
}

TEST_CASE("a store at version 0 has a first page, too")
{
  PagedRead read(Feed::Servers);
  CHECK(read.Add(Page(0, "a", true)));
  CHECK_FALSE(read.Add(Page(12, "b", false)));
  CHECK(read.TakeAnswer().m_version == StoreVersion());
}

TEST_CASE("pages of two eras are no read")
{
  PagedRead read(Feed::Servers);
  const uint64_t later = MakeStoreVersion<StoreVersion>(StoreEra(1), 5).Value();
  CHECK(read.Add(Page(10, "a", true)));
  CHECK_FALSE(read.Add(Page(later, "b", false)));
  CHECK(read.TakeAnswer().m_status == StoreStatus::HistoryGone);
}

TEST_CASE("a page that fails ends the read")
{
  for (const StoreStatus status :
       { StoreStatus::Refused, StoreStatus::Unknown }) {
    PagedRead read(Feed::Servers);
    CHECK(read.Add(Page(10, "a", true)));
    FeedPage failed;
    failed.m_answer.m_status = status;
    CHECK_FALSE(read.Add(failed));
    CHECK(read.TakeAnswer().m_status == status);
  }
}

// Guards against a read that counts as whole though rows are missing, and
// against one without an end.
TEST_CASE("a truncated page that doesn't lead on is no answer")
{
  for (const char* lastKey : { static_cast<const char*>(nullptr), "", "a" }) {
    PagedRead read(Feed::Servers);
    CHECK(read.Add(Page(10, "a", true)));
    CHECK_FALSE(read.Add(Page(11, lastKey, true)));
    CHECK(read.TakeAnswer().m_status == StoreStatus::Unknown);
  }
}

FeedPage ChangesPage(const std::vector<uint64_t>& aVersions, bool aIsTruncated)
{
  FeedPage page = Page(20, nullptr, aIsTruncated);
  for (const uint64_t version : aVersions) {
    StoredRow row;
    row.m_key = "r" + std::to_string(version);
    row.m_version = RowVersion(version);
    page.m_answer.m_rows.push_back(row);
  }
  return page;
}

// Guards against changes that are never asked for: the answer tells the store's
// newest version though not all rows came.
TEST_CASE("truncated changes are known up to before their last version")
{
  const FeedAnswered all = TakeChanges(ChangesPage({ 11, 12, 15 }, false));
  CHECK(all.m_version == StoreVersion(20));
  const FeedAnswered some = TakeChanges(ChangesPage({ 11, 12, 15, 15 }, true));
  CHECK(some.m_status == StoreStatus::Ok);
  CHECK(some.m_version == StoreVersion(14));
  CHECK(some.m_rows.size() == 4);
}

TEST_CASE("truncated changes of one version, or of none, don't lead on")
{
  for (const auto& versions :
       { std::vector<uint64_t>(), std::vector<uint64_t>{ 15, 15 } }) {
    CHECK(TakeChanges(ChangesPage(versions, true)).m_status ==
          StoreStatus::HistoryGone);
  }
}

} // namespace
} // namespace briarglade
