// Weighted fair queuing over accounts and their classes.

#include "briarglade/routing/fair_queue.h"

#include <algorithm>

namespace briarglade {

namespace {

// Weight of the newest sample in a mean service time.
constexpr double kMeanWeight = 1.0 / 16;
// Charged for a request while no service time is known, in milliseconds.
constexpr double kUnknownService = 1000;

void UpdateMean(double& aMean, double aSample)
{
  aMean = aMean == 0 ? aSample : aMean + (aSample - aMean) * kMeanWeight;
}

} // namespace

FairQueue::AccountQueue& FairQueue::Account(uint32_t aAccount)
{
  if (aAccount >= m_accounts.size()) {
    m_accounts.resize(aAccount + 1);
  }
  return m_accounts[aAccount];
}

FairQueue::ClassQueue& FairQueue::Class(QueuePlace aPlace)
{
  AccountQueue& account = Account(aPlace.m_account);
  if (aPlace.m_class >= account.m_classes.size()) {
    account.m_classes.resize(aPlace.m_class + 1);
  }
  return account.m_classes[aPlace.m_class];
}

void FairQueue::SetAccount(uint32_t aAccount,
                           uint32_t aShare,
                           const std::vector<uint32_t>& aClassWeights)
{
  AccountQueue& account = Account(aAccount);
  if (account.m_size > 0) {
    m_backloggedShares += aShare;
    m_backloggedShares -= account.m_share;
  }
  account.m_share = aShare;
  if (account.m_classes.size() < aClassWeights.size()) {
    account.m_classes.resize(aClassWeights.size());
  }
  for (size_t i = 0; i < aClassWeights.size(); ++i) {
    account.m_classes[i].m_weight = aClassWeights[i];
  }
}

size_t FairQueue::AccountSize(uint32_t aAccount) const
{
  return aAccount < m_accounts.size() ? m_accounts[aAccount].m_size : 0;
}

size_t FairQueue::ClassSize(QueuePlace aPlace) const
{
  if (aPlace.m_account >= m_accounts.size()) {
    return 0;
  }
  const AccountQueue& account = m_accounts[aPlace.m_account];
  return aPlace.m_class < account.m_classes.size()
           ? account.m_classes[aPlace.m_class].m_waiting.size()
           : 0;
}

void FairQueue::NoteAdded(QueuePlace aPlace)
{
  AccountQueue& account = Account(aPlace.m_account);
  ++m_size;
  if (Class(aPlace).m_waiting.size() == 1) {
    ClassQueue& entry = Class(aPlace);
    entry.m_virtualTime = std::max(entry.m_virtualTime, account.m_classTime);
  }
  if (++account.m_size == 1) {
    account.m_virtualTime = std::max(account.m_virtualTime, m_virtualTime);
    m_backlogged.emplace(account.m_virtualTime, aPlace.m_account);
    m_backloggedShares += account.m_share;
  }
}

void FairQueue::NoteRemoved(uint32_t aAccount, size_t aCount)
{
  AccountQueue& account = m_accounts[aAccount];
  m_size -= aCount;
  account.m_size -= aCount;
  if (aCount > 0 && account.m_size == 0) {
    m_backlogged.erase({ account.m_virtualTime, aAccount });
    m_backloggedShares -= account.m_share;
  }
}

void FairQueue::PushBack(QueuePlace aPlace, QueuedRequest aRequest)
{
  Class(aPlace).m_waiting.push_back(aRequest);
  NoteAdded(aPlace);
}

void FairQueue::PushFront(QueuePlace aPlace, QueuedRequest aRequest)
{
  Class(aPlace).m_waiting.push_front(aRequest);
  NoteAdded(aPlace);
}

std::optional<QueuedRequest> FairQueue::Pop(const AccountFilter& aIsAllowed)
{
  for (const auto& entry : m_backlogged) {
    if (aIsAllowed(entry.second)) {
      return PopFrom(entry.second);
    }
  }
  return std::nullopt;
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
  account.m_classTime = next->m_virtualTime;
  next->m_virtualTime += 1.0 / next->m_weight;

  const double cost =
    account.m_meanService > 0 ? account.m_meanService : kUnknownService;
  m_backlogged.erase({ account.m_virtualTime, aAccount });
  m_virtualTime = std::max(m_virtualTime, account.m_virtualTime);
  account.m_virtualTime += cost / account.m_share;
  m_backlogged.emplace(account.m_virtualTime, aAccount);
  NoteRemoved(aAccount, 1);
  return request;
}

bool FairQueue::Remove(QueuePlace aPlace, uint32_t aRequest)
{
  std::list<QueuedRequest>& waiting = Class(aPlace).m_waiting;
  const auto found = std::find_if(
    waiting.begin(), waiting.end(), [aRequest](const QueuedRequest& aEntry) {
      return aEntry.m_request == aRequest;
    });
  if (found == waiting.end()) {
    return false;
  }
  waiting.erase(found);
  NoteRemoved(aPlace.m_account, 1);
  return true;
}

void FairQueue::NoteService(uint32_t aAccount, Millis aTime)
{
  const auto sample = static_cast<double>(std::max<int64_t>(1, aTime.Count()));
  UpdateMean(Account(aAccount).m_meanService, sample);
  UpdateMean(m_meanService, sample);
}

Millis FairQueue::MeanService(uint32_t aAccount) const
{
  const double own =
    aAccount < m_accounts.size() ? m_accounts[aAccount].m_meanService : 0;
  return Millis(static_cast<int64_t>(own > 0 ? own : m_meanService));
}

Millis FairQueue::EstimateWait(uint32_t aAccount,
                               size_t aAhead,
                               uint64_t aSlots) const
{
  if (m_meanService == 0 || aSlots == 0) {
    return Millis();
  }
  const AccountQueue& account = m_accounts[aAccount];
  const double slotTime = m_meanService / static_cast<double>(aSlots);
  const double shares = static_cast<double>(m_backloggedShares) +
                        (account.m_size == 0 ? account.m_share : 0);
  const double ownTurn = static_cast<double>(aAhead + 1) * shares /
                         static_cast<double>(account.m_share);
  const double everyone = static_cast<double>(m_size + 1);
  return Millis(static_cast<int64_t>(std::min(ownTurn, everyone) * slotTime));
}

std::vector<QueuedRequest> FairQueue::TakeHopeless(Millis aNow, uint64_t aSlots)
{
  std::vector<uint32_t> accounts;
  accounts.reserve(m_backlogged.size());
  for (const auto& entry : m_backlogged) {
    accounts.push_back(entry.second);
  }
  std::vector<QueuedRequest> taken;
  for (const uint32_t account : accounts) {
    DropHopeless(aNow, aSlots, account, taken);
  }
  return taken;
}

void FairQueue::DropHopeless(Millis aNow,
                             uint64_t aSlots,
                             uint32_t aAccount,
                             std::vector<QueuedRequest>& aTaken)
{
  const size_t before = aTaken.size();
  size_t ahead = 0;
  for (ClassQueue& entry : m_accounts[aAccount].m_classes) {
    for (auto it = entry.m_waiting.begin(); it != entry.m_waiting.end();) {
      const Millis wait = EstimateWait(aAccount, ahead, aSlots);
      if (aNow + wait <= it->m_startBy) {
        ++it;
        ++ahead;
        continue;
      }
      aTaken.push_back(*it);
      it = entry.m_waiting.erase(it);
    }
  }
  NoteRemoved(aAccount, aTaken.size() - before);
}

std::vector<QueuedRequest> FairQueue::TakeAll()
{
  std::vector<QueuedRequest> taken;
  while (const auto request = Pop([](uint32_t) { return true; })) {
    taken.push_back(*request);
  }
  return taken;
}

} // namespace briarglade
