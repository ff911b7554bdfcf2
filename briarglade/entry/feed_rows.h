// The latest known rows of one feed, and what this node may say of them.
//
// A claim is a version up to which the node knows every change: for each key it
// holds the row as of that version, or newer. A claim needs a ground, whoever
// brings the rows and in how many parts:
//  - An answer of the store tells every change up to its own version. Single
//    rows may be newer; they show nothing of others.
//  - Changes from another node that follow on this node's claim and name every
//    removal raise it to theirs. A node can't name the removals that were made
//    before it read the whole feed, nor those that it has discarded.
//  - Otherwise changes from another node raise it only if both nodes then hold
//    the same rows, by their checksums.
//  - Parts but the last raise no claim: a change may be in none of them, as a
//    later one of the same row has replaced it.
//
// Load pattern: up to 7,600 rows; some changes a second, and after an outage
// all rows at once.
//
// Example:
//   for (const StoredRow& row : rows.ApplyChanges(changes)) { Process(row); }
//   if (rows.TakeUnproven()) { AskStore(); }

#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "briarglade/entry/store_feed.h"

namespace briarglade {

// A change that a node lacked although it claimed to know all up to a later
// version.
struct MissedChange
{
  std::string m_key;
  RowVersion m_version;
  RowVersion m_claim;
};

class FeedRows
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

  // Returns the version up to which this node knows every change.
  RowVersion CompleteUpTo() const { return m_complete; }
  // Returns the version after which to request changes from other nodes: that
  // of the last part of changes of which more are to come, or the claim.
  RowVersion ResumesAfter() const { return m_resumesAfter; }
  // Returns a checksum of the rows that exist; nothing while this node holds
  // rows that are newer than its claim.
  std::optional<RowsChecksum> Checksum() const;
  // Returns a row, also a removed one that is still kept; null if there is
  // none.
  const StoredRow* Find(const std::string& aKey) const;
  // Returns the changes after a version, removed rows included. If there are
  // too many for one message, returns only the first ones.
  RowChanges ChangesAfter(RowVersion aVersion) const;

  // Returns the changes that were missed although they counted as known, and
  // forgets them.
  std::vector<MissedChange> TakeMissed() { return std::exchange(m_missed, {}); }
  // Returns whether changes from another node followed on what this node has
  // and yet could not raise its claim, since the last call.
  bool TakeUnproven() { return std::exchange(m_isUnproven, false); }

private:
  bool UpdateFromStore(const StoredRow& aRow, bool aIsCurrent);
  bool UpdateFromNode(const StoredRow& aRow);
  RowsChecksum ChecksumSince(RowVersion aVersion) const;
  bool ChangesState(const StoredRow& aRow) const;
  void Put(const StoredRow& aRow);
  void RemoveRow(StoredRow& aRow,
                 RowVersion aVersion,
                 std::vector<StoredRow>& aChanged);
  void RemoveMissing(const FeedAnswered& aAnswer,
                     std::vector<StoredRow>& aChanged);
  void RemoveEarlierEras(RowVersion aUpTo, std::vector<StoredRow>& aChanged);
  void RaiseClaim(RowVersion aUpTo);
  void DiscardRemoved();

  std::map<std::string, StoredRow> m_rows;
  RowVersion m_complete;
  RowVersion m_resumesAfter;
  // The latest version of any row.
  RowVersion m_latest;
  // The version after which this node can name every removal.
  RowVersion m_namesRemovalsAfter;
  // Of the rows that exist: the exclusive or of a hash of each.
  uint64_t m_hashes = 0;
  size_t m_removedCount = 0;
  std::vector<MissedChange> m_missed;
  bool m_isUnproven = false;
};

} // namespace briarglade
