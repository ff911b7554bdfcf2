// Caches the store's rows by feed and key.

#include "briarglade/entry/row_cache.h"

#include <algorithm>
#include <set>

#include "briarglade/entry/packed_value.h"
#include "briarglade/entry/store_version.h"

namespace briarglade {

namespace {

// Deleted rows are kept, up to this number for each feed, for nodes that have
// not received the deletion yet.
constexpr size_t kMaxDeletedRows = 4'096;
// Number of rows forwarded in one message. It is exceeded only to keep the rows
// of one version together.
constexpr size_t kMaxRowsPerMessage = 400;

} // namespace

bool RowCache::UpdateRow(const StoredRow& aRow)
{
  FeedRows& rows = RowsOf(aRow.m_feed);
  const auto [found, isNew] = rows.try_emplace(aRow.m_key, aRow);
  StoredRow& row = found->second;
  if (!isNew && aRow.m_version <= row.m_version) {
    return false;
  }
  const bool isChanged = isNew || row.m_value != aRow.m_value;
  row = aRow;
  if (row.m_value && !row.m_packed) {
    row.m_packed = PackValue(*row.m_value);
  }
  return isChanged;
}

std::vector<StoredRow> RowCache::UpdateRows(const std::vector<StoredRow>& aRows)
{
  std::vector<StoredRow> changed;
  for (const StoredRow& row : aRows) {
    if (UpdateRow(row)) {
      changed.push_back(row);
    }
  }
  return changed;
}

void RowCache::AdvanceComplete(Feed aFeed, RowVersion aUpTo)
{
  RowVersion& complete = m_complete[static_cast<size_t>(aFeed)];
  complete = std::max(complete, aUpTo);
}

std::vector<StoredRow> RowCache::ApplyChanges(const RowChanges& aChanges)
{
  std::vector<StoredRow> changed = UpdateRows(aChanges.m_rows);
  // If there is a gap before these rows, they are applied, but the cache is not
  // complete up to their version.
  if (aChanges.m_after <= CompleteUpTo(aChanges.m_feed)) {
    AdvanceComplete(aChanges.m_feed, aChanges.m_upTo);
    if (aChanges.m_isLast) {
      RemoveEarlierEras(aChanges.m_feed, aChanges.m_upTo, changed);
    }
  }
  return changed;
}

void RowCache::RemoveRow(StoredRow& aRow,
                         RowVersion aVersion,
                         std::vector<StoredRow>& aChanged)
{
  aRow.m_value.reset();
  aRow.m_packed.reset();
  aRow.m_version = aVersion;
  AdvanceComplete(aRow.m_feed, aVersion);
  aChanged.push_back(aRow);
}

// Removes the rows of earlier eras than that of a version, up to which all rows
// are known: the store has lost them.
void RowCache::RemoveEarlierEras(Feed aFeed,
                                 RowVersion aUpTo,
                                 std::vector<StoredRow>& aChanged)
{
  for (auto& [key, row] : RowsOf(aFeed)) {
    if (row.m_value && EraOf(row.m_version) < EraOf(aUpTo)) {
      RemoveRow(row, aUpTo, aChanged);
    }
  }
}

std::vector<StoredRow> RowCache::Apply(const FeedAnswered& aAnswer)
{
  std::vector<StoredRow> changed = UpdateRows(aAnswer.m_rows);
  const RowVersion version(aAnswer.m_version.Value());
  for (const StoredRow& row : aAnswer.m_rows) {
    // Rows of later pages may be newer than the answer as a whole, and show
    // nothing of changes in between.
    if (row.m_version <= version) {
      AdvanceComplete(aAnswer.m_feed, row.m_version);
    }
  }
  if (!aAnswer.m_isWhole) {
    return changed;
  }
  std::set<std::string> present;
  for (const StoredRow& row : aAnswer.m_rows) {
    present.insert(row.m_key);
  }
  for (auto& [key, row] : RowsOf(aAnswer.m_feed)) {
    const bool isDeleted = row.m_value.has_value() && present.count(key) == 0 &&
                           row.m_version <= version;
    if (isDeleted) {
      RemoveRow(row, version, changed);
    }
  }
  FeedRows& rows = RowsOf(aAnswer.m_feed);
  if (rows.size() > present.size() + kMaxDeletedRows) {
    for (auto entry = rows.begin(); entry != rows.end();) {
      entry = entry->second.m_value ? std::next(entry) : rows.erase(entry);
    }
  }
  return changed;
}

const StoredRow* RowCache::Find(Feed aFeed, const std::string& aKey) const
{
  const FeedRows& rows = m_rows[static_cast<size_t>(aFeed)];
  const auto row = rows.find(aKey);
  return row == rows.end() ? nullptr : &row->second;
}

RowChanges RowCache::ChangesAfter(Feed aFeed, RowVersion aVersion) const
{
  RowChanges changes;
  changes.m_feed = aFeed;
  changes.m_after = aVersion;
  changes.m_upTo = CompleteUpTo(aFeed);
  for (const auto& [key, row] : m_rows[static_cast<size_t>(aFeed)]) {
    if (row.m_version > aVersion && row.m_version <= changes.m_upTo) {
      changes.m_rows.push_back(row);
    }
  }
  std::sort(changes.m_rows.begin(),
            changes.m_rows.end(),
            [](const StoredRow& aA, const StoredRow& aB) {
              return aA.m_version < aB.m_version;
            });
  size_t count = std::min(changes.m_rows.size(), kMaxRowsPerMessage);
  // Rows of one version are not split between messages.
  while (count > 0 && count < changes.m_rows.size() &&
         changes.m_rows[count].m_version ==
           changes.m_rows[count - 1].m_version) {
    ++count;
  }
  changes.m_isLast = count == changes.m_rows.size();
  if (!changes.m_isLast) {
    changes.m_rows.resize(count);
    changes.m_upTo = changes.m_rows.back().m_version;
  }
  return changes;
}

} // namespace briarglade
