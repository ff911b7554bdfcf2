// Puts the pages of a read together.

#include "briarglade/entry/paged_read.h"

#include <algorithm>
#include <utility>

#include "briarglade/entry/store_version.h"

namespace briarglade {

PagedRead::PagedRead(Feed aFeed)
{
  m_answer.m_feed = aFeed;
  m_answer.m_isWhole = true;
}

std::optional<std::string> PagedRead::Add(FeedPage aPage)
{
  FeedAnswered& page = aPage.m_answer;
  m_answer.m_status = page.m_status;
  const bool isOk = page.m_status == StoreStatus::Ok;
  if (isOk && m_hasPages &&
      EraOf(m_answer.m_version) != EraOf(page.m_version)) {
    // The pages before are of a state that is gone.
    m_answer.m_status = StoreStatus::HistoryGone;
  }
  const std::string lastKey =
    page.m_rows.empty() ? "" : page.m_rows.back().m_key;
  if (isOk && aPage.m_isTruncated && lastKey <= m_lastKey) {
    // It leads nowhere.
    m_answer.m_status = StoreStatus::Unknown;
  }
  if (m_answer.m_status != StoreStatus::Ok) {
    return std::nullopt;
  }
  if (!m_hasPages) {
    m_answer.m_version = page.m_version;
    m_answer.m_storeTime = page.m_storeTime;
    m_hasPages = true;
  }
  for (StoredRow& row : page.m_rows) {
    m_answer.m_rows.push_back(std::move(row));
  }
  if (!aPage.m_isTruncated) {
    return std::nullopt;
  }
  // The least key that follows: the last one is not read twice.
  m_lastKey = lastKey;
  return lastKey + '\0';
}

FeedAnswered TakeChanges(FeedPage aPage)
{
  FeedAnswered changes = std::move(aPage.m_answer);
  if (changes.m_status != StoreStatus::Ok || !aPage.m_isTruncated) {
    return changes;
  }
  RowVersion last;
  for (const StoredRow& row : changes.m_rows) {
    last = std::max(last, row.m_version);
  }
  const bool hasEarlier =
    std::any_of(changes.m_rows.begin(),
                changes.m_rows.end(),
                [&](const StoredRow& aRow) { return aRow.m_version < last; });
  if (!hasEarlier) {
    changes.m_status = StoreStatus::HistoryGone;
    return changes;
  }
  changes.m_version =
    std::min(changes.m_version, StoreVersion(last.Value() - 1));
  return changes;
}

} // namespace briarglade
