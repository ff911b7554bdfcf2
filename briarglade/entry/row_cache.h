// Caches the latest known rows of every feed. A row is only replaced by a
// higher version, whether that comes from the store or from another node. All
// versions of a new era of the store are higher than those of the earlier ones.
//
// Example:
//   for (const StoredRow& row : cache.Apply(answer)) { Process(row); }

#pragma once

#include <array>
#include <string>
#include <vector>

#include "briarglade/entry/feed_rows.h"

namespace briarglade {

// The number of values of Feed.
constexpr size_t kFeedCount = 3;

// The cached rows, removed ones included for a while.
class RowCache
{
public:
  // Each applies to the rows of the feed that is named; see FeedRows.
  std::vector<StoredRow> Apply(const FeedAnswered& aAnswer)
  {
    return RowsOf(aAnswer.m_feed).Apply(aAnswer);
  }
  std::vector<StoredRow> ApplyChanges(const RowChanges& aChanges)
  {
    return RowsOf(aChanges.m_feed).ApplyChanges(aChanges);
  }
  RowVersion CompleteUpTo(Feed aFeed) const
  {
    return RowsOf(aFeed).CompleteUpTo();
  }
  RowVersion ResumesAfter(Feed aFeed) const
  {
    return RowsOf(aFeed).ResumesAfter();
  }
  std::optional<RowsChecksum> Checksum(Feed aFeed) const
  {
    return RowsOf(aFeed).Checksum();
  }
  const StoredRow* Find(Feed aFeed, const std::string& aKey) const
  {
    return RowsOf(aFeed).Find(aKey);
  }
  RowChanges ChangesAfter(Feed aFeed, RowVersion aVersion) const
  {
    RowChanges changes = RowsOf(aFeed).ChangesAfter(aVersion);
    changes.m_feed = aFeed;
    return changes;
  }
  std::vector<MissedChange> TakeMissed(Feed aFeed)
  {
    return RowsOf(aFeed).TakeMissed();
  }
  bool TakeUnproven(Feed aFeed) { return RowsOf(aFeed).TakeUnproven(); }

private:
  FeedRows& RowsOf(Feed aFeed) { return m_rows[static_cast<size_t>(aFeed)]; }
  const FeedRows& RowsOf(Feed aFeed) const
  {
    return m_rows[static_cast<size_t>(aFeed)];
  }

  std::array<FeedRows, kFeedCount> m_rows;
};

} // namespace briarglade
