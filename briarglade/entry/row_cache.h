// The rows of every feed, as last seen. A row only moves to a higher version,
// whether it comes from the store or from another node.
//
// Example:
//   for (const StoredRow& row : cache.Apply(answer)) { Take(row); }

#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "briarglade/entry/store_feed.h"

namespace briarglade {

constexpr size_t kFeedCount = 3;

class RowCache
{
public:
  // Takes an answer of the store, and returns the rows that are new, changed or
  // gone. Rows that a whole answer doesn't hold are gone.
  std::vector<StoredRow> Apply(const FeedAnswered& aAnswer);
  // Takes rows that another node handed on; returns those that are newer.
  std::vector<StoredRow> ApplyHanded(const HandedRows& aHanded);

  // Returns the version up to which every change of the feed is known.
  RowVersion CompleteUpTo(Feed aFeed) const
  {
    return m_complete[static_cast<size_t>(aFeed)];
  }
  // Returns the changes of a feed after a version, rows that are gone included;
  // where they are many, only the first ones.
  HandedRows ChangesAfter(Feed aFeed, RowVersion aVersion) const;

private:
  using FeedRows = std::map<std::string, StoredRow>;

  FeedRows& RowsOf(Feed aFeed) { return m_rows[static_cast<size_t>(aFeed)]; }
  bool UpdateRow(const StoredRow& aRow);
  std::vector<StoredRow> UpdateRows(const std::vector<StoredRow>& aRows);
  void AdvanceComplete(Feed aFeed, RowVersion aUpTo);

  std::array<FeedRows, kFeedCount> m_rows;
  std::array<RowVersion, kFeedCount> m_complete;
};

} // namespace briarglade
