// Applies rows of one feed, and raises the claim where there is a ground.

#include "briarglade/entry/feed_rows.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <xxhash.h>

#include "briarglade/entry/packed_value.h"
#include "briarglade/entry/store_version.h"

namespace briarglade {

namespace {

// Removed rows are kept, up to this number, for nodes that have not received
// the removal yet. They are discarded some at a time.
constexpr size_t kMaxRemovedRows = 4'096;
constexpr size_t kDiscardedAtOnce = 1'024;
// Number of rows forwarded in one message. It is exceeded only to keep the rows
// of one version together.
constexpr size_t kMaxRowsPerMessage = 400;
// The checksum of no rows; zero stands for none.
constexpr uint64_t kEmptyChecksum = 1;

// Returns a hash of a row that exists. The version stands for the value.
uint64_t HashOf(const StoredRow& aRow)
{
  return XXH3_64bits_withSeed(
    aRow.m_key.data(), aRow.m_key.size(), aRow.m_version.Value());
}

} // namespace

std::optional<RowsChecksum> FeedRows::Checksum() const
{
  if (m_latest > m_complete) {
    return std::nullopt;
  }
  return RowsChecksum(m_hashes ^ kEmptyChecksum);
}

// Returns the checksum of the rows that exist and are of the era of a version,
// or of a later one.
RowsChecksum FeedRows::ChecksumSince(RowVersion aVersion) const
{
  uint64_t hashes = m_hashes;
  for (const auto& [key, row] : m_rows) {
    if (row.m_value && EraOf(row.m_version) < EraOf(aVersion)) {
      hashes ^= HashOf(row);
    }
  }
  return RowsChecksum(hashes ^ kEmptyChecksum);
}

const StoredRow* FeedRows::Find(const std::string& aKey) const
{
  const auto row = m_rows.find(aKey);
  return row == m_rows.end() ? nullptr : &row->second;
}

// Returns whether a row that is newer than the held one differs from it in more
// than its version: whether it exists, or exists on.
bool FeedRows::ChangesState(const StoredRow& aRow) const
{
  const StoredRow* held = Find(aRow.m_key);
  return aRow.m_value || (held != nullptr && held->m_value);
}

// Stores a row in place of the held one, which must be older.
void FeedRows::Put(const StoredRow& aRow)
{
  const auto [found, isNew] = m_rows.try_emplace(aRow.m_key);
  StoredRow& row = found->second;
  if (row.m_value) {
    m_hashes ^= HashOf(row);
  } else if (!isNew) {
    --m_removedCount;
  }
  row = aRow;
  if (row.m_value) {
    m_hashes ^= HashOf(row);
    row.m_packed = row.m_packed ? row.m_packed : PackValue(*row.m_value);
  } else {
    ++m_removedCount;
  }
  m_latest = std::max(m_latest, row.m_version);
}

// Stores a row from the store if it is newer. Returns whether it changed. An
// answer that is as new as the claim shows a change that was missed.
bool FeedRows::UpdateFromStore(const StoredRow& aRow, bool aIsCurrent)
{
  const StoredRow* held = Find(aRow.m_key);
  if (held != nullptr && aRow.m_version <= held->m_version) {
    return false;
  }
  if (aIsCurrent && aRow.m_version <= m_complete && ChangesState(aRow)) {
    m_missed.push_back(MissedChange{ aRow.m_key, aRow.m_version, m_complete });
  }
  const bool isChanged = held == nullptr || held->m_value != aRow.m_value;
  Put(aRow);
  return isChanged;
}

// Stores a row from another node if it is newer. Returns whether it changed. A
// late message may bring a row whose removal this node has no record of.
bool FeedRows::UpdateFromNode(const StoredRow& aRow)
{
  const bool isRemoved =
    aRow.m_version <= m_namesRemovalsAfter && Find(aRow.m_key) == nullptr;
  return !isRemoved && UpdateFromStore(aRow, true);
}

void FeedRows::RaiseClaim(RowVersion aUpTo)
{
  m_complete = std::max(m_complete, aUpTo);
  m_resumesAfter = std::max(m_resumesAfter, m_complete);
}

void FeedRows::RemoveRow(StoredRow& aRow,
                         RowVersion aVersion,
                         std::vector<StoredRow>& aChanged)
{
  StoredRow removed = aRow;
  removed.m_value.reset();
  removed.m_packed.reset();
  removed.m_version = aVersion;
  Put(removed);
  aChanged.push_back(std::move(removed));
}

// Removes the rows that an answer with the whole feed does not hold.
void FeedRows::RemoveMissing(const FeedAnswered& aAnswer,
                             std::vector<StoredRow>& aChanged)
{
  std::set<std::string> present;
  for (const StoredRow& row : aAnswer.m_rows) {
    present.insert(row.m_key);
  }
  const RowVersion version(aAnswer.m_version.Value());
  for (auto& [key, row] : m_rows) {
    if (row.m_value && present.count(key) == 0 && row.m_version <= version) {
      RemoveRow(row, version, aChanged);
      RaiseClaim(version);
    }
  }
}

// Removes the rows of earlier eras than that of a version, up to which all rows
// are known: the store has lost them.
void FeedRows::RemoveEarlierEras(RowVersion aUpTo,
                                 std::vector<StoredRow>& aChanged)
{
  for (auto& [key, row] : m_rows) {
    if (row.m_value && EraOf(row.m_version) < EraOf(aUpTo)) {
      RemoveRow(row, aUpTo, aChanged);
    }
  }
}

std::vector<StoredRow> FeedRows::Apply(const FeedAnswered& aAnswer)
{
  const RowVersion version(aAnswer.m_version.Value());
  const RowVersion claim = m_complete;
  std::vector<StoredRow> changed;
  for (const StoredRow& row : aAnswer.m_rows) {
    if (UpdateFromStore(row, version >= claim)) {
      changed.push_back(row);
    }
  }
  for (const StoredRow& row : aAnswer.m_rows) {
    // Rows of later pages may be newer than the answer as a whole, and show
    // nothing of changes in between.
    if (row.m_version <= version) {
      RaiseClaim(row.m_version);
    }
  }
  if (aAnswer.m_isWhole) {
    RemoveMissing(aAnswer, changed);
    if (version > claim) {
      m_namesRemovalsAfter = std::max(m_namesRemovalsAfter, version);
    }
  }
  DiscardRemoved();
  return changed;
}

std::vector<StoredRow> FeedRows::ApplyChanges(const RowChanges& aChanges)
{
  std::vector<StoredRow> changed;
  for (const StoredRow& row : aChanges.m_rows) {
    if (UpdateFromNode(row)) {
      changed.push_back(row);
    }
  }
  // If there is a gap before these rows, they are applied, and the gap stays
  // known.
  const bool follows = aChanges.m_after <= m_resumesAfter;
  if (follows && !aChanges.m_isLast) {
    m_resumesAfter = std::max(m_resumesAfter, aChanges.m_upTo);
    return changed;
  }
  // A sender that is behind what was requested has nothing to tell of it.
  const bool isBehind =
    aChanges.m_upTo <= m_complete || aChanges.m_upTo < aChanges.m_after;
  if (!aChanges.m_isLast || isBehind) {
    return changed;
  }
  const bool isAllSinceClaim =
    aChanges.m_after <= m_complete && aChanges.m_namesRemovals;
  const bool isSame = !isAllSinceClaim && aChanges.m_checksum &&
                      aChanges.m_checksum == ChecksumSince(aChanges.m_upTo);
  if (isAllSinceClaim || isSame) {
    if (!isAllSinceClaim) {
      m_namesRemovalsAfter = std::max(m_namesRemovalsAfter, aChanges.m_upTo);
    }
    RemoveEarlierEras(aChanges.m_upTo, changed);
    RaiseClaim(aChanges.m_upTo);
  } else if (follows) {
    m_resumesAfter = m_complete;
    m_isUnproven = true;
  }
  DiscardRemoved();
  return changed;
}

// Discards the oldest removed rows if there are too many. Their removals can't
// be named any more.
void FeedRows::DiscardRemoved()
{
  if (m_removedCount <= kMaxRemovedRows + kDiscardedAtOnce) {
    return;
  }
  std::vector<RowVersion> versions;
  for (const auto& [key, row] : m_rows) {
    if (!row.m_value) {
      versions.push_back(row.m_version);
    }
  }
  std::sort(versions.begin(), versions.end());
  const RowVersion last = versions[versions.size() - kMaxRemovedRows - 1];
  if (last > m_complete) {
    return;
  }
  for (auto row = m_rows.begin(); row != m_rows.end();) {
    const bool isDiscarded =
      !row->second.m_value && row->second.m_version <= last;
    m_removedCount -= isDiscarded ? 1 : 0;
    row = isDiscarded ? m_rows.erase(row) : std::next(row);
  }
  m_namesRemovalsAfter = std::max(m_namesRemovalsAfter, last);
}

RowChanges FeedRows::ChangesAfter(RowVersion aVersion) const
{
  RowChanges changes;
  changes.m_after = aVersion;
  changes.m_upTo = m_complete;
  // Rows that are newer than the claim are included: they may have replaced
  // changes up to it.
  for (const auto& [key, row] : m_rows) {
    if (row.m_version > aVersion) {
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
  if (changes.m_isLast) {
    changes.m_namesRemovals = aVersion >= m_namesRemovalsAfter;
    changes.m_checksum = Checksum();
    return changes;
  }
  changes.m_rows.resize(count);
  changes.m_upTo = std::min(m_complete, changes.m_rows.back().m_version);
  return changes;
}

} // namespace briarglade
