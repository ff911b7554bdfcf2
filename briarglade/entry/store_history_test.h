// The history of a simulated store, and what a node may say that it knows of
// it.
//
// Example:
//   history.Record(Feed::Servers, "s1", 12, true);
//   CHECK(history.BrokenClaim(state.m_rows, Feed::Servers, checked) == "");

#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarglade/entry/row_cache.h"
#include "briarglade/entry/store_version.h"

namespace briarglade {

class StoreHistory
{
public:
  // Records that a row was written or removed. Versions must increase.
  void Record(Feed aFeed,
              const std::string& aKey,
              uint64_t aVersion,
              bool aIsThere)
  {
    m_changes.push_back(Change{ aVersion, aFeed, aKey });
    m_ofRows[{ aFeed, aKey }].push_back(State{ aVersion, aIsThere });
  }

  // Records that the store has come back from a copy as of a version. All that
  // was written since is lost.
  void ReturnTo(uint64_t aVersion, StoreEra aEra)
  {
    const auto isLost = [aVersion](const auto& aChange) {
      return aChange.m_version > aVersion;
    };
    m_changes.erase(std::remove_if(m_changes.begin(), m_changes.end(), isLost),
                    m_changes.end());
    for (auto& [row, states] : m_ofRows) {
      states.erase(std::remove_if(states.begin(), states.end(), isLost),
                   states.end());
    }
    m_era = aEra;
  }

  // Returns what is wrong with a node's claim to know every change of a feed up
  // to a version, or an empty text. Rows without a change after aCheckedUpTo
  // are passed over. A claim of an earlier era can't be checked.
  std::string BrokenClaim(const RowCache& aRows,
                          Feed aFeed,
                          RowVersion aCheckedUpTo) const
  {
    const RowVersion claim = aRows.CompleteUpTo(aFeed);
    if (EraOf(claim) != m_era) {
      return "";
    }
    const uint64_t from =
      EraOf(aCheckedUpTo) == m_era ? NumberOf(aCheckedUpTo) : 0;
    std::set<std::string> checked;
    auto change =
      std::upper_bound(m_changes.begin(),
                       m_changes.end(),
                       from,
                       [](uint64_t aVersion, const Change& aChange) {
                         return aVersion < aChange.m_version;
                       });
    for (; change != m_changes.end() && change->m_version <= NumberOf(claim);
         ++change) {
      if (change->m_feed == aFeed && checked.insert(change->m_key).second &&
          !IsKnown(aRows, aFeed, change->m_key, NumberOf(claim))) {
        return std::string("all of ") + FeedName(aFeed) + " up to " +
               std::to_string(NumberOf(claim)) + " counts as known, but not " +
               change->m_key + " as of " + std::to_string(change->m_version) +
               HeldText(aRows.Find(aFeed, change->m_key));
      }
    }
    return "";
  }

private:
  struct Change
  {
    uint64_t m_version = 0;
    Feed m_feed = Feed::Operator;
    std::string m_key;
  };
  struct State
  {
    uint64_t m_version = 0;
    bool m_isThere = false;
  };

  static std::string HeldText(const StoredRow* aRow)
  {
    if (aRow == nullptr) {
      return ", of which nothing is held";
    }
    return ", which is held as " +
           std::string(aRow->m_value ? "written" : "removed") + " at " +
           std::to_string(NumberOf(aRow->m_version)) + " in era " +
           std::to_string(EraOf(aRow->m_version).Value());
  }

  // Returns whether a row is known as it was as of a version, or newer.
  bool IsKnown(const RowCache& aRows,
               Feed aFeed,
               const std::string& aKey,
               uint64_t aVersion) const
  {
    const std::vector<State>& states = m_ofRows.at({ aFeed, aKey });
    const StoredRow* row = aRows.Find(aFeed, aKey);
    if (row == nullptr || !row->m_value) {
      const bool isOfEra = row != nullptr && EraOf(row->m_version) == m_era;
      const uint64_t asOf = isOfEra ? NumberOf(row->m_version) : 0;
      return IsRemoved(states, std::max(asOf, aVersion));
    }
    const auto next = std::upper_bound(states.begin(),
                                       states.end(),
                                       aVersion,
                                       [](uint64_t aAsOf, const State& aState) {
                                         return aAsOf < aState.m_version;
                                       });
    const RowVersion last =
      MakeStoreVersion<RowVersion>(m_era, std::prev(next)->m_version);
    return row->m_version >= last;
  }

  // Returns whether a row was gone as of a version, or was removed since, which
  // a read of the whole feed may have met before.
  static bool IsRemoved(const std::vector<State>& aStates, uint64_t aVersion)
  {
    bool isThere = false;
    for (const State& state : aStates) {
      if (state.m_version > aVersion && !state.m_isThere) {
        return true;
      }
      isThere = state.m_version <= aVersion ? state.m_isThere : isThere;
    }
    return !isThere;
  }

  std::vector<Change> m_changes;
  std::map<std::pair<Feed, std::string>, std::vector<State>> m_ofRows;
  StoreEra m_era{ 1 };
};

} // namespace briarglade
