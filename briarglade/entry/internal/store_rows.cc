// Applies rows from the store: configuration, zones, and the rows of the entry
// nodes themselves; those of backend servers in server_entries.cc.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>
#include <string>
#include <utility>

#include "briarglade/entry/store_version.h"

namespace briarglade::internal {

namespace {

// A shorter failure of a feed, or a shorter time without any response from the
// store, lets no entry expire: that takes three missed heartbeats.
constexpr Millis kMinOutage = Millis(700);

// Returns how long to wait before the operators' feed is read again, so that a
// node does not read, and send to all others, each of several large versions in
// quick succession. A relay with a link of 14 Mbit/s sends 300 KB, compressed,
// to 26 nodes in 500 ms.
Millis RestAfter(const FeedAnswered& aAnswer)
{
  constexpr size_t kBytesPerMilli = 600;
  constexpr Millis kMaxRest = Millis(1'000);
  size_t bytes = 0;
  for (const StoredRow& row : aAnswer.m_rows) {
    bytes += row.m_value ? row.m_value->size() : 0;
  }
  return std::min(kMaxRest,
                  Millis(static_cast<int64_t>(bytes / kBytesPerMilli)));
}

} // namespace

void EntryReduction::On(const FeedAnswered& aAnswer)
{
  FeedFollower& follower = m_state.m_feeds[aAnswer.m_feed];
  const FeedFollower before = follower;
  const Millis answeredBefore = StoreAnsweredAt();
  const std::optional<CallTimes> accepted = follower.OnAnswered(m_now, aAnswer);
  const bool wasFailing = before.FailingSince().has_value();
  if (wasFailing != follower.FailingSince().has_value()) {
    Log(LogLevel::Info,
        wasFailing ? "store-regained" : "store-lost",
        { { "feed", FeedName(aAnswer.m_feed) },
          { "status", StoreStatusName(aAnswer.m_status) },
          { "version", std::to_string(follower.Version().Value()) } });
  }
  if (!wasFailing && follower.FailingSince()) {
    RequestStoreCheck(aAnswer.m_feed, StoreStatusName(aAnswer.m_status));
  }
  RecordOutage(before, follower, answeredBefore);
  if (aAnswer.m_status != StoreStatus::Ok) {
    return;
  }
  NoticeEra(RowVersion(aAnswer.m_version.Value()));
  m_state.m_storeClock.Update(m_now, aAnswer.m_storeTime);
  if (accepted) {
    RecordAccepted(aAnswer, *accepted);
  }
  if (aAnswer.m_feed == Feed::Own && aAnswer.m_isWhole) {
    m_state.m_lease.OnFeedKnown();
  }
  if (aAnswer.m_feed == Feed::Operator) {
    m_state.m_configCurrency.OnConfirmed(m_now, m_now);
  }
  const RowVersion known = m_state.m_rows.CompleteUpTo(aAnswer.m_feed);
  ApplyRows(m_state.m_rows.Apply(aAnswer));
  const std::optional<RowVersion> beforeMissed =
    LogMissedChanges(aAnswer.m_feed, "store");
  if (aAnswer.m_feed == Feed::Own) {
    m_state.m_roster.OnKnownUpTo(aAnswer.m_storeTime);
    if (aAnswer.m_isWhole) {
      m_state.m_roster.OnWholeRead(m_now);
      UpdateRoster();
    }
  }
  if (beforeMissed) {
    // The other nodes may have missed it as well.
    PublishRowChanges(aAnswer.m_feed, std::min(known, *beforeMissed));
  } else {
    ForwardRowChanges(aAnswer.m_feed, known);
  }
  if (aAnswer.m_feed == Feed::Operator) {
    follower.Rest(m_now, RestAfter(aAnswer));
  }
  FollowFeeds();
}

// Returns when the store last answered the call of any feed.
Millis EntryReduction::StoreAnsweredAt() const
{
  Millis latest;
  for (const auto& [feed, follower] : m_state.m_feeds) {
    latest = std::max(latest, follower.AnsweredAt());
  }
  return latest;
}

// Records whether entries may have expired while the store was unavailable,
// from the state of a feed before and after the end of its call. A single call
// that fails or is lost in transit lets no entry expire. The time in which
// entries may be missing begins with the first answer after the outage, by any
// feed: calls of the other feeds that were made before it may end much later.
void EntryReduction::RecordOutage(const FeedFollower& aBefore,
                                  const FeedFollower& aAfter,
                                  Millis aAnsweredBefore)
{
  const std::optional<Millis> unansweredSince = aBefore.UnansweredSince()
                                                  ? aBefore.UnansweredSince()
                                                  : aAfter.UnansweredSince();
  if (!unansweredSince) {
    return;
  }
  const bool hasFailedRepeatedly =
    std::max(aBefore.Failures(), aAfter.Failures()) > 1;
  const bool isOfEndedOutage =
    aAfter.LastFailedCallAt() < m_state.m_storeBackAt;
  const bool wasFeedUnavailable = hasFailedRepeatedly && !isOfEndedOutage &&
                                  m_now - *unansweredSince >= kMinOutage;
  const bool wasStoreUnavailable = m_now - aAnsweredBefore >= kMinOutage;
  if (!wasFeedUnavailable && !wasStoreUnavailable) {
    return;
  }
  m_state.m_disturbedUntil = m_now + kRewriteTime;
  if (!aAfter.FailingSince()) {
    m_state.m_storeBackAt = m_now;
  }
}

void EntryReduction::ApplyRows(const std::vector<StoredRow>& aRows)
{
  for (const StoredRow& row : aRows) {
    std::visit([this](const auto& aBody) { Take(aBody); },
               m_state.m_decode(row));
  }
}

void EntryReduction::Take(const ConfigRow& aRow)
{
  const ConfigVersion version = aRow.m_config.m_version;
  if (m_state.m_routes && version <= m_state.m_routes->Config().m_version) {
    return;
  }
  Log(LogLevel::Info,
      "config-in-force",
      { { "version", std::to_string(version.Value()) },
        { "routes", std::to_string(aRow.m_config.m_routes.size()) } });
  m_state.m_routes = std::make_shared<const RouteIndex>(aRow.m_config);
  m_state.m_areBackendsStale = true;
  // Entries of services that were not configured before name servers now.
  for (const auto& [host, server] : m_state.m_servers) {
    RecordStart(server);
  }
  m_effects.emplace_back(CallerLimitsChanged{ aRow.m_config.m_limits });
}

// Takes note of the era of a version. In a new era, rows that were written
// shortly before may be missing until they are written again.
void EntryReduction::NoticeEra(RowVersion aVersion)
{
  const StoreEra era = EraOf(aVersion);
  if (m_state.m_storeEra && era <= *m_state.m_storeEra) {
    return;
  }
  const std::optional<StoreEra> before = std::exchange(m_state.m_storeEra, era);
  if (!before) {
    return;
  }
  m_state.m_rewrittenUntil = m_now + kRewriteTime;
  ++m_state.m_storeReturns;
  const RowVersion known = m_state.m_rows.CompleteUpTo(Feed::Own);
  Log(LogLevel::Warn,
      "store-era-began",
      { { "era", std::to_string(era.Value()) },
        { "before", std::to_string(before->Value()) },
        { "version", std::to_string(NumberOf(aVersion)) },
        { "known", std::to_string(NumberOf(known)) } });
}

void EntryReduction::Take(const ZoneRow& aRow)
{
  // The operators write the row again if the zone is still out.
  const bool mayBeMissing = m_now < m_state.m_rewrittenUntil &&
                            m_state.m_zonesOut.count(aRow.m_zone) > 0;
  if (!aRow.m_isOut && mayBeMissing) {
    Log(
      LogLevel::Info, "zone-row-missing", { { "zone", aRow.m_zone.Value() } });
    m_state.m_missingZonesOut.insert(aRow.m_zone);
    return;
  }
  m_state.m_missingZonesOut.erase(aRow.m_zone);
  SetZoneOut(aRow.m_zone, aRow.m_isOut);
}

void EntryReduction::SetZoneOut(const ZoneId& aZone, bool aIsOut)
{
  Log(LogLevel::Info,
      aIsOut ? "zone-out" : "zone-in",
      { { "zone", aZone.Value() } });
  if (aIsOut) {
    m_state.m_zonesOut.insert(aZone);
  } else {
    m_state.m_zonesOut.erase(aZone);
    m_state.m_zonesReturnedAt[aZone] = m_now;
  }
  m_state.m_areBackendsStale = true;
}

// Takes back in the zones whose rows were not written again in a new era.
void EntryReduction::ReturnMissingZones()
{
  if (m_now < m_state.m_rewrittenUntil) {
    return;
  }
  for (const ZoneId& zone : std::exchange(m_state.m_missingZonesOut, {})) {
    SetZoneOut(zone, false);
  }
}

void EntryReduction::Take(const OwnRow& aRow)
{
  if (aRow.m_key == RowKey(kLeaseRowKey)) {
    m_state.m_lease.OnRow(aRow);
    return;
  }
  const std::string& key = aRow.m_key.Value();
  const std::string prefix = kNodeRowPrefix;
  if (key.compare(0, prefix.size(), prefix) != 0) {
    return;
  }
  const std::optional<NodeRow> row =
    aRow.m_value ? DecodeNodeRow(*aRow.m_value) : std::nullopt;
  const NodeId node(key.substr(prefix.size()));
  m_state.m_directory.OnRow(m_now, node, row ? &*row : nullptr);
  if (!row) {
    m_state.m_peerClocks.Remove(node);
  }
  m_state.m_roster.OnRow(m_now, node, row.has_value());
  if (node == m_state.m_settings.m_node) {
    HandleOwnNodeRow(aRow, row);
  }
}

// Registers again if this node's own row has foreign content: from an old write
// that was carried out late, or from another process of the same name.
void EntryReduction::HandleOwnNodeRow(const OwnRow& aRow,
                                      const std::optional<NodeRow>& aContent)
{
  const bool isOurs =
    aContent && aContent->m_incarnation == m_state.m_incarnation;
  const bool isLeaving = m_state.m_phase != EntryPhase::Serving;
  if (isOurs) {
    m_state.m_ownRowVersion = aRow.m_version;
  }
  if (isOurs || isLeaving ||
      !m_state.m_roster.OnRowOverwritten(aRow.m_version)) {
    return;
  }
  Log(LogLevel::Warn,
      "registration-displaced",
      { { "version", std::to_string(aRow.m_version.Value()) },
        { "incarnation",
          aContent ? std::to_string(aContent->m_incarnation) : "none" } });
  m_state.m_isRegistered = false;
}

void EntryReduction::Take(const BadRow& aRow)
{
  Log(LogLevel::Warn,
      "row-unreadable",
      { { "key", aRow.m_key }, { "problem", aRow.m_problem } });
}

} // namespace briarglade::internal
