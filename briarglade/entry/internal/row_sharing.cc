// Decides which nodes follow the store, and shares its changes with the other
// nodes. The number of calls to the store does not grow with the number of
// nodes.

#include "briarglade/entry/internal/entry_reduction.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "briarglade/base/rendezvous.h"

namespace briarglade::internal {

namespace {

// The store counts as lost to this node once a feed has failed for this long.
constexpr Millis kStoreLostTimeout = Millis(700);
// The interval between two calls of a follower.
constexpr Millis kOperatorPollInterval = Millis(50);
constexpr Millis kOtherPollInterval = Millis(250);
// The other nodes poll the store from time to time, before the changes since
// their last poll leave the store's history, and more often while they do not
// know whether it serves them.
constexpr Millis kNonFollowerPollInterval = Millis(15'000);
// A node that receives all changes from other nodes rarely needs to poll the
// store: it requests missing changes from them.
constexpr Millis kUpToDatePollInterval = Millis(300'000);
// A node whose calls have failed for less than this polls at
// kOtherPollInterval, after that at kStoreLostPollInterval.
constexpr Millis kStoreProbeTime = Millis(1'000);
constexpr Millis kStoreLostPollInterval = Millis(2'000);
// For how long a follower that the store is lost to reports doubt: until after
// its next update, even if its relay changes.
constexpr Millis kStoreLostDoubt = Millis(1'500);
// How long a follower's call waits for changes. The first follower's calls of
// the servers' feed wait for less: if no follower gets answers, that is noticed
// before the gap between accepted calls is as long as that of an outage. While
// the store may be refusing some nodes, all followers' calls of that feed wait
// so little that all nodes learn of an accepted call in time.
constexpr Millis kWatchTime = Millis(1'000);
constexpr Millis kFirstWatchTime = Millis(300);
constexpr Millis kSuspectWatchTime = Millis(200);
// For how long the store is suspected after the last sign: a node that is
// served again may doubt removals for 2.3 s without others hearing of it.
constexpr Millis kSuspectTime = Millis(3'000);

// What the poll interval of a node depends on.
struct PollConditions
{
  bool m_isFollower = false;
  // Recent updates of other nodes confirm that this node knows all changes.
  bool m_isConfirmedUpToDate = false;
  // This node may lack a version of the configuration, and other nodes have not
  // sent it.
  bool m_isInDoubt = false;
};

Millis PollIntervalOf(Millis aNow,
                      const FeedFollower& aFollower,
                      Feed aFeed,
                      const PollConditions& aConditions)
{
  if (aConditions.m_isFollower) {
    return aFeed == Feed::Operator ? kOperatorPollInterval : kOtherPollInterval;
  }
  const std::optional<Millis> failingSince = aFollower.FailingSince();
  if (!failingSince && aConditions.m_isInDoubt) {
    return kStoreLostPollInterval;
  }
  if (!failingSince) {
    return aConditions.m_isConfirmedUpToDate ? kUpToDatePollInterval
                                             : kNonFollowerPollInterval;
  }
  return aNow - *failingSince < kStoreProbeTime ? kOtherPollInterval
                                                : kStoreLostPollInterval;
}

} // namespace

bool EntryReduction::IsStoreLost() const
{
  return std::any_of(
    m_state.m_feeds.begin(), m_state.m_feeds.end(), [&](const auto& aEntry) {
      const std::optional<Millis> since = aEntry.second.FailingSince();
      return since && m_now - *since >= kStoreLostTimeout;
    });
}

// Returns whether the store may temporarily lack entries.
bool EntryReduction::IsStoreDisturbed() const
{
  return EntryDoubt() > Millis();
}

// Returns whether the store may be refusing some nodes.
bool EntryReduction::IsStoreSuspect() const
{
  return m_now < m_state.m_storeSuspectUntil;
}

// Records that a node has lost the store, or had, or may have.
void EntryReduction::SuspectStore()
{
  m_state.m_storeSuspectUntil = m_now + kSuspectTime;
}

bool EntryReduction::IsSubstituteFollower() const
{
  return m_state.m_storeCheck.IsSubstituteFollower(m_now) && !IsStoreLost();
}

// Returns all live nodes in the followers' rank, also those that have lost the
// store. The lease holder is not moved to the front.
std::vector<NodeId> EntryReduction::RankedFollowers() const
{
  return RankNodes("store", m_state.m_directory.ActiveNodeIds(m_now));
}

// Asks the other nodes to check whether the store serves them, after it has
// refused this one, or has not answered it in time, if they rely on it. For the
// log: the feed whose call had this end, and its status, or that it is overdue.
void EntryReduction::RequestStoreCheck(Feed aFeed, const char* aReason)
{
  SuspectStore();
  const bool isFollowing = m_state.m_isFollower || IsSubstituteFollower();
  if (!isFollowing || !m_state.m_storeCheck.TakeRequest(m_now)) {
    return;
  }
  Log(LogLevel::Info,
      "store-check-requested",
      { { "feed", FeedName(aFeed) },
        { "reason", aReason },
        { "first", m_state.m_isFirstFollower ? "yes" : "no" },
        { "store-uptime-ms", std::to_string(StoreUptimeNow().Count()) } });
  m_state.m_peerUpdates.m_nextBulletin.m_storeCheck =
    StoreCheckNotice::Requested;
  BeginStoreCheck(m_state.m_settings.m_node);
}

void EntryReduction::BeginStoreCheck(const NodeId& aOrigin)
{
  SuspectStore();
  size_t rank = 0;
  for (const NodeId& node : RankedFollowers()) {
    if (node == m_state.m_settings.m_node) {
      break;
    }
    const auto other = m_state.m_directory.Others().find(node);
    const bool isLost =
      node == aOrigin || (other != m_state.m_directory.Others().end() &&
                          other->second.m_storeLostSince.has_value());
    rank += isLost ? 0 : 1;
  }
  m_state.m_storeCheck.OnRequested(m_now, rank);
  CheckStore();
}

// Leaves the check to a node that the store serves, as it told aAge ago, if
// this one is ranked after it.
void EntryReduction::EndStoreCheck(const NodeId& aOrigin, Millis aAge)
{
  SuspectStore();
  for (const NodeId& node : RankedFollowers()) {
    if (node == m_state.m_settings.m_node) {
      return;
    }
    if (node == aOrigin) {
      m_state.m_storeCheck.OnBetterServed(aAge);
      return;
    }
  }
}

// Calls the store if that is due for a check.
void EntryReduction::CheckStore()
{
  if (!m_state.m_storeCheck.TakeDue(m_now)) {
    return;
  }
  FeedFollower& follower = m_state.m_feeds[Feed::Servers];
  if (follower.FailingSince()) {
    return;
  }
  const std::optional<FeedCall> call = follower.CheckNow(m_now);
  if (!call) {
    return;
  }
  ++m_state.m_storeChecks;
  Log(LogLevel::Info,
      "store-checked",
      { { "follower", m_state.m_isFollower ? "yes" : "no" },
        { "store-uptime-ms", std::to_string(StoreUptimeNow().Count()) } });
  std::visit([this](const auto& aCall) { m_effects.emplace_back(aCall); },
             *call);
}

// Records between which times of its clock the store accepted a call of this
// node, and announces it if it ends a check.
void EntryReduction::RecordAccepted(const FeedAnswered& aAnswer,
                                    const CallTimes& aCall)
{
  const Millis elapsed = m_now - aCall.m_madeAt;
  const bool wasWaitInVain = aAnswer.m_rows.empty() && elapsed >= aCall.m_wait;
  const Millis notAfter =
    aAnswer.m_storeTime - (wasWaitInVain ? aCall.m_wait : Millis());
  m_state.m_storeUptime.OnAccepted(m_state.m_storeClock.At(m_now) - elapsed,
                                   notAfter);
  if (aAnswer.m_feed == Feed::Servers &&
      m_state.m_storeCheck.OnServed(m_now, aCall.m_madeAt)) {
    m_state.m_peerUpdates.m_nextBulletin.m_storeCheck =
      StoreCheckNotice::Served;
  }
}

void EntryReduction::ChooseFollowers()
{
  const auto& others = m_state.m_directory.Others();
  const bool isLostToAny =
    std::any_of(others.begin(), others.end(), [](const auto& aEntry) {
      return aEntry.second.m_storeLostSince.has_value();
    });
  const Millis doubtUntil =
    std::max(m_state.m_disturbedUntil, m_state.m_reportedDisturbedUntil);
  if (isLostToAny || IsStoreLost() || m_now < doubtUntil) {
    SuspectStore();
  }
  const std::vector<NodeId> followers = m_state.m_directory.Followers(
    m_now, IsStoreLost(), m_state.m_lease.Row().m_holder);
  const NodeId& self = m_state.m_settings.m_node;
  const bool wasFollower = m_state.m_isFollower;
  m_state.m_isFollower =
    std::find(followers.begin(), followers.end(), self) != followers.end();
  m_state.m_isFirstFollower = !followers.empty() && followers.front() == self;
  if (wasFollower != m_state.m_isFollower) {
    Log(LogLevel::Info,
        m_state.m_isFollower ? "store-followed" : "store-left-to-others",
        { { "first", followers.empty() ? "" : followers.front().Value() },
          { "nodes", std::to_string(m_state.m_nodeCount) } });
  }
  const StoreClock& clock = m_state.m_storeClock;
  const bool isConfirmedUpToDate =
    clock.IsKnown() &&
    m_state.m_roster.KnowledgeAge(m_now, clock) <= kRosterMaxAge;
  const std::optional<Millis> doubtSince =
    m_state.m_configCurrency.DoubtSince();
  const bool isInDoubt = doubtSince && m_now - *doubtSince >= kStoreProbeTime;
  const bool isFollowing = m_state.m_isFollower || IsSubstituteFollower();
  const PollConditions conditions{ isFollowing,
                                   isConfirmedUpToDate,
                                   isInDoubt };
  for (auto& [feed, follower] : m_state.m_feeds) {
    follower.SetGap(PollIntervalOf(m_now, follower, feed, conditions));
  }
  m_state.m_feeds[Feed::Servers].SetWait(ServersWatchTime());
}

// Returns for how long this node's calls of the servers' feed wait for changes.
Millis EntryReduction::ServersWatchTime() const
{
  const bool isFollowing = m_state.m_isFollower || IsSubstituteFollower();
  if (isFollowing && IsStoreSuspect()) {
    return kSuspectWatchTime;
  }
  return m_state.m_isFirstFollower ? kFirstWatchTime : kWatchTime;
}

// Adds the changes of a feed since a version to the next bulletin, if this node
// is to forward what the store tells.
void EntryReduction::ForwardRowChanges(Feed aFeed, RowVersion aAfter)
{
  const bool isFirstRead = aAfter == RowVersion();
  // While the first follower may be refused, the others forward, too.
  const bool forwardsAsWell =
    IsSubstituteFollower() || (m_state.m_isFollower && IsStoreSuspect());
  if ((m_state.m_isFirstFollower || forwardsAsWell) && !isFirstRead) {
    PublishRowChanges(aFeed, aAfter);
  }
}

void EntryReduction::PublishRowChanges(Feed aFeed, RowVersion aAfter)
{
  RowChanges changes = m_state.m_rows.ChangesAfter(aFeed, aAfter);
  if (!changes.m_rows.empty()) {
    m_state.m_peerUpdates.m_nextBulletin.m_rowChanges.push_back(
      std::move(changes));
  }
}

// Returns for how long the store has accepted calls of any nodes without a long
// gap, as far as this node knows.
Millis EntryReduction::StoreUptimeNow() const
{
  const StoreClock& clock = m_state.m_storeClock;
  return clock.IsKnown() ? m_state.m_storeUptime.At(clock.At(m_now)) : Millis();
}

// Returns whether the store was available for as long as an outage would
// matter: then failed calls of this node, or of another one, show that the
// store refused that node, and no entry has expired.
bool EntryReduction::WasStoreAvailable() const
{
  const bool hasOthers = m_state.m_nodeCount > 1;
  return hasOthers && StoreUptimeNow() >= kRewriteTime;
}

// Returns for how much longer the store may lack entries by all that this node
// knows; zero if it has no doubt.
Millis EntryReduction::EntryDoubt() const
{
  const Millis eraDoubt = std::max(Millis(), m_state.m_rewrittenUntil - m_now);
  if (WasStoreAvailable()) {
    return eraDoubt;
  }
  const Millis until =
    std::max(m_state.m_disturbedUntil, m_state.m_reportedDisturbedUntil);
  const Millis remaining = std::max(eraDoubt, until - m_now);
  return IsStoreLost() ? std::max(remaining, kStoreLostDoubt) : remaining;
}

// Returns for how much longer the store may lack entries by what this node has
// seen of an outage; zero if it does not follow the store, or if the store
// failed some nodes but not all.
Millis EntryReduction::OwnEntryDoubt() const
{
  const bool isFollowing = m_state.m_isFollower || IsSubstituteFollower();
  if (!isFollowing || WasStoreAvailable()) {
    return Millis();
  }
  const Millis remaining = std::max(Millis(), m_state.m_disturbedUntil - m_now);
  return IsStoreLost() ? std::max(remaining, kStoreLostDoubt) : remaining;
}

// Returns for how much longer rows that this node forwards may be missing from
// the store. The receivers may hear of them before they hear of the doubt of
// the node that has seen the outage. It ends at a time of the store's clock, so
// that the times on the way don't add up if nodes forward it to each other.
Millis EntryReduction::ForwardedEntryDoubt() const
{
  const Millis limit = kRewriteTime - StoreUptimeNow();
  return std::max(OwnEntryDoubt(), std::min(EntryDoubt(), limit));
}

// Records for how much longer the store may lack entries by another node's
// report.
void EntryReduction::RecordReportedDoubt(Millis aDoubt)
{
  m_state.m_reportedDisturbedUntil =
    std::max(m_state.m_reportedDisturbedUntil, m_now + aDoubt);
}

// Returns whether the sender knows changes of a feed that this node lacks.
bool EntryReduction::IsBehind(const NodeNews& aUpdate, Feed aFeed) const
{
  return aUpdate.m_completeUpTo[static_cast<size_t>(aFeed)] >
         m_state.m_rows.CompleteUpTo(aFeed);
}

FeedVersions EntryReduction::OwnVersions() const
{
  FeedVersions versions;
  for (const auto& [feed, follower] : m_state.m_feeds) {
    versions[static_cast<size_t>(feed)] = m_state.m_rows.CompleteUpTo(feed);
  }
  return versions;
}

// Records which changes the sender has, and requests missing ones if that is
// due.
void EntryReduction::RecordVersions(const SendTime& aSentAt,
                                    const NodeNews& aUpdate)
{
  if (m_state.m_directory.Others().count(aUpdate.m_node) == 0) {
    return;
  }
  if (!aUpdate.m_rowChanges.empty()) {
    m_state.m_rowRequests.OnAnswer(aUpdate.m_node);
  }
  m_state.m_rowRequests.OnVersions(m_now,
                                   aSentAt.NotBefore(),
                                   aUpdate.m_node,
                                   aUpdate.m_completeUpTo,
                                   OwnVersions());
  RequestMissingRows();
  CompareRows(aUpdate);
  // A node with an older version is behind itself and confirms nothing.
  constexpr auto kOperator = static_cast<size_t>(Feed::Operator);
  const bool hasSameVersion = aUpdate.m_completeUpTo.size() > kOperator &&
                              aUpdate.m_completeUpTo[kOperator] ==
                                m_state.m_rows.CompleteUpTo(Feed::Operator);
  if (hasSameVersion) {
    m_state.m_configCurrency.OnConfirmed(m_now, aSentAt.NotBefore());
  }
}

// Returns since when another node has been known to have a later version of the
// operators' rows.
std::optional<Millis> EntryReduction::ConfigBehindSince() const
{
  return m_state.m_rowRequests.BehindSince(Feed::Operator, OwnVersions());
}

// Returns whether a version of the configuration that this node lacks may be in
// force.
bool EntryReduction::MayLackConfig() const
{
  return m_state.m_configCurrency.MayLackVersion(m_now, ConfigBehindSince());
}

void EntryReduction::TickConfigCurrency()
{
  ConfigCurrency& currency = m_state.m_configCurrency;
  const bool wasOutdated = currency.IsLongInDoubt();
  const std::optional<Millis> before = currency.DoubtSince();
  const std::optional<Millis> behindSince = ConfigBehindSince();
  currency.OnTick(m_now, behindSince);
  if (wasOutdated == currency.IsLongInDoubt()) {
    return;
  }
  const Millis since = currency.DoubtSince().value_or(before.value_or(m_now));
  Log(LogLevel::Warn,
      wasOutdated ? "config-current" : "config-outdated",
      { { "version",
          m_state.m_routes
            ? std::to_string(m_state.m_routes->Config().m_version.Value())
            : "none" },
        { "behind", behindSince ? "yes" : "unknown" },
        { "store-lost", IsStoreLost() ? "yes" : "no" },
        { "for-ms", std::to_string((m_now - since).Count()) } });
}

void EntryReduction::RequestMissingRows()
{
  const std::optional<NodeId> node =
    m_state.m_rowRequests.Next(m_now, OwnVersions());
  if (node) {
    NodeNews request = MakePeerUpdate();
    request.m_requestsRows = true;
    Send({ *node }, std::move(request));
  }
}

// Sends a node the changes that it lacks.
void EntryReduction::AnswerWithRows(const NodeNews& aUpdate)
{
  const auto requester = m_state.m_directory.Others().find(aUpdate.m_node);
  if (requester == m_state.m_directory.Others().end()) {
    return;
  }
  const std::vector<RowVersion>& resumesAfter =
    aUpdate.m_resumesAfter.size() == kFeedCount ? aUpdate.m_resumesAfter
                                                : aUpdate.m_completeUpTo;
  NodeNews answer = MakePeerUpdate();
  // The requester must not take for removed what this node takes for expired.
  answer.m_condition.m_entryDoubt = EntryDoubt();
  for (const auto& [feed, follower] : m_state.m_feeds) {
    RowChanges changes = m_state.m_rows.ChangesAfter(
      feed, resumesAfter[static_cast<size_t>(feed)]);
    if (!changes.m_rows.empty()) {
      answer.m_rowChanges.push_back(std::move(changes));
    }
  }
  // Without rows it tells the requester that it lacks nothing.
  Send({ aUpdate.m_node }, std::move(answer));
}

} // namespace briarglade::internal
