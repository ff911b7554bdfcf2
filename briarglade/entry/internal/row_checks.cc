// Applies rows that other nodes forward, and checks this node's rows: against
// what other nodes hold, and against the store where they may be wrong.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>
#include <string>
#include <variant>

namespace briarglade::internal {

// Applies rows that a node has sent, or handed on for another one.
void EntryReduction::ApplyRowChanges(const NodeId& aSender,
                                     const std::vector<RowChanges>& aChanges)
{
  for (const RowChanges& changes : aChanges) {
    NoticeEra(changes.m_upTo);
    ApplyRows(m_state.m_rows.ApplyChanges(changes));
    LogMissedChanges(changes.m_feed, aSender.Value());
    if (m_state.m_rows.TakeUnproven(changes.m_feed)) {
      m_state.m_rowAudits[changes.m_feed].OnUnproven();
      Log(LogLevel::Info,
          "row-changes-unproven",
          { { "feed", FeedName(changes.m_feed) },
            { "node", aSender.Value() },
            { "after", std::to_string(changes.m_after.Value()) },
            { "up-to", std::to_string(changes.m_upTo.Value()) },
            { "known",
              std::to_string(
                m_state.m_rows.CompleteUpTo(changes.m_feed).Value()) } });
    }
  }
}

// Logs the changes of a feed that were missed although they counted as known,
// and who has told them now. Returns the version before the first one; nothing
// if there are none.
std::optional<RowVersion> EntryReduction::LogMissedChanges(
  Feed aFeed,
  const std::string& aSource)
{
  const std::vector<MissedChange> missed = m_state.m_rows.TakeMissed(aFeed);
  if (missed.empty()) {
    return std::nullopt;
  }
  const auto first =
    std::min_element(missed.begin(),
                     missed.end(),
                     [](const MissedChange& aA, const MissedChange& aB) {
                       return aA.m_version < aB.m_version;
                     });
  m_state.m_missedChanges += missed.size();
  Log(LogLevel::Warn,
      "row-changes-missed",
      { { "feed", FeedName(aFeed) },
        { "count", std::to_string(missed.size()) },
        { "first", first->m_key },
        { "version", std::to_string(first->m_version.Value()) },
        { "claimed", std::to_string(first->m_claim.Value()) },
        { "told-by", aSource } });
  return RowVersion(first->m_version.Value() - 1);
}

// Compares this node's rows with another one's, where both say that they know
// the same changes.
void EntryReduction::CompareRows(const NodeNews& aUpdate)
{
  for (const auto& [feed, follower] : m_state.m_feeds) {
    const auto index = static_cast<size_t>(feed);
    const std::optional<RowsChecksum> own = m_state.m_rows.Checksum(feed);
    const bool isComparable =
      own && aUpdate.m_checksums.size() == kFeedCount &&
      aUpdate.m_checksums[index] != RowsChecksum() &&
      aUpdate.m_completeUpTo[index] == m_state.m_rows.CompleteUpTo(feed);
    if (isComparable) {
      m_state.m_rowAudits[feed].OnCompared(m_now,
                                           aUpdate.m_checksums[index] == *own);
    }
  }
}

// Asks the store where this node's rows may not be what it says they are.
void EntryReduction::AuditRows()
{
  for (auto& [feed, follower] : m_state.m_feeds) {
    if (follower.FailingSince()) {
      continue;
    }
    const RowCheck check = m_state.m_rowAudits[feed].TakeDue(m_now);
    if (check == RowCheck::None) {
      continue;
    }
    const bool readsAll = check == RowCheck::All;
    const std::optional<FeedCall> call =
      readsAll ? std::nullopt : follower.CheckNow(m_now);
    if (!readsAll && !call) {
      // Another call is on its way, and may have been made too early.
      m_state.m_rowAudits[feed].OnUnproven();
      continue;
    }
    Log(LogLevel::Info,
        "rows-checked",
        { { "feed", FeedName(feed) },
          { "reads", readsAll ? "all" : "changes" },
          { "known",
            std::to_string(m_state.m_rows.CompleteUpTo(feed).Value()) } });
    if (readsAll) {
      follower.ReadAll();
    } else {
      std::visit([this](const auto& aCall) { m_effects.emplace_back(aCall); },
                 *call);
    }
  }
}

} // namespace briarglade::internal
