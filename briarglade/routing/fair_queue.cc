// Queues of client accounts and their classes.

#include "briarglade/routing/fair_queue.h"

#include <algorithm>
#include <iterator>

#include "briarglade/routing/account_usage.h"

namespace briarglade {

namespace {

// Weight of the newest sample in a mean service time.
constexpr double kMeanSampleWeight = 1.0 / 16;
// The smallest fraction of the slots that wait estimates assume to be available
// to accounts over their share.
constexpr double kMinRemainingFraction = 0.3;

void UpdateMean(double& aMean, double aSample)
{
  aMean = aMean == 0 ? aSample : aMean + (aSample - aMean) * kMeanSampleWeight;
}

} // namespace

FairQueue::AccountQueue& FairQueue::Account(uint32_t aAccount)
{
  if (aAccount >= m_accounts.size()) {
    m_accounts.resize(aAccount + 1);
  }
  return m_accounts[aAccount];
}

FairQueue::ClassQueue& FairQueue::Class(QueueKey aKey)
{
  AccountQueue& account = Account(aKey.m_account);
  if (aKey.m_class >= account.m_classes.size()) {
    account.m_classes.resize(aKey.m_class + 1);
  }
  return account.m_classes[aKey.m_class];
}

void FairQueue::SetClasses(uint32_t aAccount,
                           const std::vector<uint32_t>& aWeights)
{
  AccountQueue& account = Account(aAccount);
  if (account.m_classes.size() < aWeights.size()) {
    account.m_classes.resize(aWeights.size());
  }
  for (size_t i = 0; i < aWeights.size(); ++i) {
    account.m_classes[i].m_weight = aWeights[i];
  }
}

size_t FairQueue::AccountSize(uint32_t aAccount) const
{
  return aAccount < m_accounts.size() ? m_accounts[aAccount].m_size : 0;
}

size_t FairQueue::ClassSize(QueueKey aKey) const
{
  if (aKey.m_account >= m_accounts.size()) {
    return 0;
  }
  const AccountQueue& account = m_accounts[aKey.m_account];
  return aKey.m_class < account.m_classes.size()
           ? account.m_classes[aKey.m_class].m_waiting.size()
           : 0;
}

void FairQueue::NoteAdded(QueueKey aKey)
{
  ClassQueue& entry = Class(aKey);
  AccountQueue& account = Account(aKey.m_account);
  ++m_size;
  if (entry.m_waiting.size() == 1) {
    entry.m_virtualTime = std::max(entry.m_virtualTime, account.m_virtualTime);
  }
  if (++account.m_size == 1) {
    m_backlogged.push_back(aKey.m_account);
  }
}

void FairQueue::NoteRemoved(uint32_t aAccount, size_t aCount)
{
  AccountQueue& account = m_accounts[aAccount];
  m_size -= aCount;
  account.m_size -= aCount;
  if (aCount > 0 && account.m_size == 0) {
    m_backlogged.erase(
      std::find(m_backlogged.begin(), m_backlogged.end(), aAccount));
  }
}

void FairQueue::PushBack(QueueKey aKey, QueuedRequest aRequest)
{
  Class(aKey).m_waiting.push_back(aRequest);
  NoteAdded(aKey);
}

void FairQueue::PushRetry(QueuedRequest aRequest)
{
  m_retries.push_back(aRequest);
  ++m_size;
}

std::optional<QueuedRequest> FairQueue::Pop(const AccountUsage& aUsage,
                                            const AccountFilter& aIsAllowed)
{
  if (!m_retries.empty()) {
    const QueuedRequest request = m_retries.front();
    m_retries.pop_front();
    --m_size;
    return request;
  }
  std::optional<uint32_t> next;
  double nextRank = 0;
  for (const uint32_t account : m_backlogged) {
    const double rank = aUsage.Rank(account);
    if ((!next || rank < nextRank) && aIsAllowed(account)) {
      next = account;
      nextRank = rank;
    }
  }
  return next ? std::optional<QueuedRequest>(PopFrom(*next)) : std::nullopt;
}

QueuedRequest FairQueue::PopFrom(uint32_t aAccount)
{
  AccountQueue& account = m_accounts[aAccount];
  ClassQueue* next = nullptr;
  for (ClassQueue& entry : account.m_classes) {
    if (!entry.m_waiting.empty() &&
        (next == nullptr || entry.m_virtualTime < next->m_virtualTime)) {
      next = &entry;
    }
  }
  const QueuedRequest request = next->m_waiting.front();
  next->m_waiting.pop_front();
  account.m_virtualTime = next->m_virtualTime;
  next->m_virtualTime += 1.0 / next->m_weight;
  NoteRemoved(aAccount, 1);
  return request;
}

bool FairQueue::Remove(QueueKey aKey, uint32_t aRequest)
{
  const auto isMatch = [aRequest](const QueuedRequest& aEntry) {
    return aEntry.m_request == aRequest;
  };
  std::list<QueuedRequest>& waiting = Class(aKey).m_waiting;
  const auto found = std::find_if(waiting.begin(), waiting.end(), isMatch);
  if (found != waiting.end()) {
    waiting.erase(found);
    NoteRemoved(aKey.m_account, 1);
    return true;
  }
  const auto retry = std::find_if(m_retries.begin(), m_retries.end(), isMatch);
  if (retry == m_retries.end()) {
    return false;
  }
  m_retries.erase(retry);
  --m_size;
  return true;
}

void FairQueue::RecordServiceTime(uint32_t aAccount, Millis aTime)
{
  const auto sample = static_cast<double>(std::max<int64_t>(1, aTime.Count()));
  UpdateMean(Account(aAccount).m_meanServiceMillis, sample);
  UpdateMean(m_meanServiceMillis, sample);
}

Millis FairQueue::MeanServiceTime(uint32_t aAccount) const
{
  const double own =
    aAccount < m_accounts.size() ? m_accounts[aAccount].m_meanServiceMillis : 0;
  return Millis(static_cast<int64_t>(own > 0 ? own : m_meanServiceMillis));
}

Millis FairQueue::EstimateWait(const AccountUsage& aUsage,
                               uint32_t aAccount,
                               size_t aAhead,
                               uint64_t aSlots) const
{
  if (m_meanServiceMillis == 0 || aSlots == 0) {
    return Millis();
  }
  double toServe = static_cast<double>(m_retries.size() + aAhead + 1);
  const double rank = aUsage.Rank(aAccount);
  for (const uint32_t other : m_backlogged) {
    const bool isServedFirst = other != aAccount && aUsage.Rank(other) < rank;
    toServe +=
      isServedFirst ? static_cast<double>(m_accounts[other].m_size) : 0;
  }
  if (aUsage.IsOverShare(aAccount)) {
    // Accounts within their share keep being served first, so only the slots
    // that they leave free count.
    const double remaining =
      1 - aUsage.InFlightWithinShare() / static_cast<double>(aSlots);
    toServe /= std::max(remaining, kMinRemainingFraction);
  }
  const double slotTime = m_meanServiceMillis / static_cast<double>(aSlots);
  return Millis(static_cast<int64_t>(toServe * slotTime));
}

std::vector<QueuedRequest> FairQueue::RemoveLateRequests(
  const AccountUsage& aUsage,
  Millis aNow,
  uint64_t aSlots)
{
  const std::vector<uint32_t> accounts = m_backlogged;
  std::vector<QueuedRequest> removed;
  for (auto it = m_retries.begin(); it != m_retries.end();) {
    const bool isLate = aNow > it->m_startBy;
    if (isLate) {
      removed.push_back(*it);
    }
    it = isLate ? m_retries.erase(it) : std::next(it);
  }
  m_size -= removed.size();
  for (const uint32_t account : accounts) {
    RemoveLateRequestsOf(aUsage, aNow, aSlots, account, removed);
  }
  return removed;
}

void FairQueue::RemoveLateRequestsOf(const AccountUsage& aUsage,
                                     Millis aNow,
                                     uint64_t aSlots,
                                     uint32_t aAccount,
                                     std::vector<QueuedRequest>& aRemoved)
{
  const size_t sizeBefore = aRemoved.size();
  // The wait grows linearly with the position in the queue.
  const Millis first = EstimateWait(aUsage, aAccount, 0, aSlots);
  const Millis step = EstimateWait(aUsage, aAccount, 1, aSlots) - first;
  int64_t ahead = 0;
  for (ClassQueue& entry : m_accounts[aAccount].m_classes) {
    for (auto it = entry.m_waiting.begin(); it != entry.m_waiting.end();) {
      if (aNow + first + step * ahead <= it->m_startBy) {
        ++it;
        ++ahead;
        continue;
      }
      aRemoved.push_back(*it);
      it = entry.m_waiting.erase(it);
    }
  }
  NoteRemoved(aAccount, aRemoved.size() - sizeBefore);
}

std::vector<QueuedRequest> FairQueue::RemoveAll()
{
  std::vector<QueuedRequest> removed(m_retries.begin(), m_retries.end());
  m_size -= m_retries.size();
  m_retries.clear();
  while (!m_backlogged.empty()) {
    removed.push_back(PopFrom(m_backlogged.back()));
  }
  return removed;
}

} // namespace briarglade
