// Caches the latest known rows of every feed. A row is only replaced by a
// higher version, whether that comes from the store or from another node. All
// versions of a new era of the store are higher than those of the earlier ones.
//
// Example:
//   for (const StoredRow& row : cache.Apply(answer)) { Process(row); }

#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "briarglade/entry/store_feed.h"

namespace briarglade {

// The number of values of Feed.
constexpr size_t kFeedCount = 3;

// The cached rows, removed ones included for a while.
class RowCache
{
public:
  // Applies an answer of the store and returns the rows that are new, changed
  // or removed. Rows that are missing from an answer with the whole feed count
  // as removed.
  std::vector<StoredRow> Apply(const FeedAnswered& aAnswer);
  // Applies rows that another node forwarded and returns those that changed.
  // Once a new era's rows are complete, those that only the earlier era had
  // count as removed.
  std::vector<StoredRow> ApplyChanges(const RowChanges& aChanges);

  // Returns the version up to which this node knows every change of the feed.
  RowVersion CompleteUpTo(Feed aFeed) const
  {
    return m_complete[static_cast<size_t>(aFeed)];
  }
  // Returns a row, also a removed one that is still kept; null if there is
  // none.
  const StoredRow* Find(Feed aFeed, const std::string& aKey) const;
  // Returns the changes of a feed after a version, removed rows included. If
  // there are too many for one message, returns only the first ones.
  RowChanges ChangesAfter(Feed aFeed, RowVersion aVersion) const;

private:
  using FeedRows = std::map<std::string, StoredRow>;

  FeedRows& RowsOf(Feed aFeed) { return m_rows[static_cast<size_t>(aFeed)]; }
  bool UpdateRow(const StoredRow& aRow);
  void RemoveRow(StoredRow& aRow,
                 RowVersion aVersion,
                 std::vector<StoredRow>& aChanged);
  void RemoveEarlierEras(Feed aFeed,
                         RowVersion aUpTo,
                         std::vector<StoredRow>& aChanged);
  std::vector<StoredRow> UpdateRows(const std::vector<StoredRow>& aRows);
  void AdvanceComplete(Feed aFeed, RowVersion aUpTo);

  std::array<FeedRows, kFeedCount> m_rows;
  std::array<RowVersion, kFeedCount> m_complete;
};

} // namespace briarglade
