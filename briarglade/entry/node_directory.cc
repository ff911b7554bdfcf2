// Which nodes live.

#include "briarglade/entry/node_directory.h"

#include <algorithm>

#include "briarglade/base/rendezvous.h"
#include "briarglade/entry/relay_choice.h"

namespace briarglade {

namespace {

// A node that hasn't been heard of for this long is not given to callers.
constexpr Millis kAliveTime = Millis(2'000);
// A node whose row is new may live without having been heard of.
constexpr Millis kUnheardTime = Millis(2'000);
// Where no other node is heard of, the fault may be on this side: nodes are
// given to callers for somewhat longer.
constexpr Millis kLonelyAliveTime = Millis(4'000);
// The holder of a lease is lost after this long.
constexpr Millis kLostTime = Millis(1'300);
// A holder that the store turns away for this long is replaced.
constexpr Millis kStoreLostTime = Millis(400);
constexpr size_t kMaxAddresses = 64;
// Nodes that follow the store: a second one, should the first one fail.
constexpr size_t kFollowers = 2;

} // namespace

void NodeDirectory::OnRow(Millis aNow, const NodeId& aNode, const NodeRow* aRow)
{
  if (aNode == m_self.m_node) {
    return;
  }
  const auto known = m_others.find(aNode);
  if (known != m_others.end()) {
    m_nodesByRunKey.erase(
      MakeNodeRunKey(aNode, known->second.m_row.m_incarnation));
  }
  if (aRow == nullptr) {
    m_others.erase(aNode);
    return;
  }
  m_nodesByRunKey[MakeNodeRunKey(aNode, aRow->m_incarnation)] = aNode;
  const auto [entry, isNew] = m_others.try_emplace(aNode);
  KnownNode& node = entry->second;
  const bool isReborn = node.m_row.m_incarnation != aRow->m_incarnation;
  if (isNew || (isReborn && node.m_incarnation != aRow->m_incarnation)) {
    node = KnownNode();
    node.m_knownSince = aNow;
  }
  node.m_row = *aRow;
}

void NodeDirectory::OnNews(Millis aNow, const NodeNews& aNews)
{
  const auto found = m_others.find(aNews.m_node);
  if (found == m_others.end()) {
    return;
  }
  found->second.m_incarnation = aNews.m_incarnation;
  RecordCondition(aNow, found->second, aNews.m_condition);
}

bool NodeDirectory::OnStatus(Millis aNow, const NodeStatus& aStatus)
{
  const auto named = m_nodesByRunKey.find(aStatus.m_key);
  if (named == m_nodesByRunKey.end()) {
    return false;
  }
  KnownNode& node = m_others.at(named->second);
  const Millis heardAt = aNow - aStatus.m_age;
  const bool isNewer = !node.m_heardAt || heardAt > *node.m_heardAt;
  // A run that has been heard of since its row was written is a later one.
  const bool isOtherRun =
    node.m_heardAt && node.m_incarnation != node.m_row.m_incarnation;
  if (isNewer && !isOtherRun) {
    node.m_incarnation = node.m_row.m_incarnation;
    RecordCondition(heardAt, node, aStatus.m_condition);
  }
  return true;
}

void NodeDirectory::RecordCondition(Millis aHeardAt,
                                    KnownNode& aNode,
                                    const NodeCondition& aCondition)
{
  aNode.m_heardAt = aHeardAt;
  aNode.m_condition = aCondition;
  if (!aCondition.m_isStoreLost) {
    aNode.m_storeLostSince.reset();
  } else if (!aNode.m_storeLostSince) {
    aNode.m_storeLostSince = aHeardAt;
  }
}

std::vector<std::pair<NodeId, const KnownNode*>> NodeDirectory::Living(
  Millis aNow,
  const ZoneId& aZone) const
{
  std::vector<std::pair<NodeId, const KnownNode*>> living;
  for (const auto& [id, node] : m_others) {
    const bool isThere = aZone.IsEmpty() || node.m_row.m_zone == aZone;
    if (isThere && WasSeenWithin(aNow, node, kAliveTime)) {
      living.emplace_back(id, &node);
    }
  }
  return living;
}

std::vector<NodeId> NodeDirectory::RankedRelays(Millis aNow,
                                                const ZoneId& aZone) const
{
  std::vector<RelayCandidate> candidates;
  if (m_self.m_zone == aZone && !m_isSelfLeaving) {
    candidates.push_back(
      RelayCandidate{ m_self.m_node, m_self.m_processorShare });
  }
  for (const auto& [id, node] : m_others) {
    const bool isNew =
      !node.m_heardAt && aNow - node.m_knownSince <= kUnheardTime;
    const bool mayLive = isNew || WasSeenWithin(aNow, node, kAliveTime);
    if (node.m_row.m_zone == aZone && mayLive &&
        !node.m_condition.m_isLeaving) {
      candidates.push_back(RelayCandidate{ id, node.m_row.m_processorShare });
    }
  }
  return RankRelays(aZone, candidates);
}

std::set<ZoneId> NodeDirectory::Zones() const
{
  std::set<ZoneId> zones{ m_self.m_zone };
  for (const auto& [id, node] : m_others) {
    zones.insert(node.m_row.m_zone);
  }
  return zones;
}

void NodeDirectory::SetSelf(bool aIsReady, bool aIsLeaving)
{
  m_isSelfReady = aIsReady;
  m_isSelfLeaving = aIsLeaving;
}

bool NodeDirectory::WasSeenWithin(Millis aNow,
                                  const KnownNode& aNode,
                                  Millis aWithin) const
{
  return aNode.m_heardAt && aNow - *aNode.m_heardAt <= aWithin;
}

bool NodeDirectory::IsLost(Millis aNow,
                           const NodeId& aNode,
                           uint64_t aIncarnation) const
{
  if (aNode == m_self.m_node) {
    return aIncarnation != m_self.m_incarnation;
  }
  const auto found = m_others.find(aNode);
  if (found == m_others.end()) {
    return true;
  }
  const KnownNode& node = found->second;
  const bool isReborn =
    (node.m_heardAt && node.m_incarnation != aIncarnation) ||
    node.m_row.m_incarnation != aIncarnation;
  const Millis since = node.m_heardAt.value_or(node.m_knownSince);
  return isReborn || aNow - since > kLostTime;
}

bool NodeDirectory::IsStoreLost(Millis aNow, const NodeId& aNode) const
{
  const auto found = m_others.find(aNode);
  return found != m_others.end() && found->second.m_storeLostSince &&
         aNow - *found->second.m_storeLostSince >= kStoreLostTime;
}

std::vector<NodeId> NodeDirectory::Followers(Millis aNow,
                                             bool aIsSelfLost,
                                             const NodeId& aHolder) const
{
  std::vector<NodeId> alive = Alive(aNow);
  std::vector<NodeId> able;
  for (const NodeId& id : alive) {
    const auto other = m_others.find(id);
    const bool isAble = other == m_others.end()
                          ? !aIsSelfLost && !m_isSelfLeaving
                          : !other->second.m_storeLostSince &&
                              !other->second.m_condition.m_isLeaving;
    if (isAble) {
      able.push_back(id);
    }
  }
  // Where no node reaches the store, some must go on trying.
  std::vector<NodeId> ranked = RankNodes("store", able.empty() ? alive : able);
  const auto holder = std::find(ranked.begin(), ranked.end(), aHolder);
  if (holder != ranked.end()) {
    std::rotate(ranked.begin(), holder, holder + 1);
  }
  ranked.resize(std::min(ranked.size(), kFollowers));
  return ranked;
}

std::vector<NodeId> NodeDirectory::Alive(Millis aNow) const
{
  std::vector<NodeId> alive;
  for (const auto& [id, node] : Living(aNow, ZoneId())) {
    alive.push_back(id);
  }
  alive.insert(std::lower_bound(alive.begin(), alive.end(), m_self.m_node),
               m_self.m_node);
  return alive;
}

std::vector<Endpoint> NodeDirectory::Addresses(Millis aNow, const ZoneId& aZone)
{
  const bool isLonely = Alive(aNow).size() == 1;
  const Millis within = isLonely ? kLonelyAliveTime : kAliveTime;
  std::vector<Endpoint> near;
  std::vector<Endpoint> far;
  const auto add = [&](const NodeRow& aRow) {
    (aRow.m_zone == aZone ? near : far).push_back(aRow.m_callerAddress);
  };
  if (m_isSelfReady && !m_isSelfLeaving) {
    add(m_self);
  }
  for (const auto& [id, node] : m_others) {
    if (node.m_condition.m_isReady && !node.m_condition.m_isLeaving &&
        WasSeenWithin(aNow, node, within)) {
      add(node.m_row);
    }
  }
  if (near.size() + far.size() > kMaxAddresses) {
    m_rotationOffset += kMaxAddresses;
    for (std::vector<Endpoint>* list : { &near, &far }) {
      const size_t begin = list->empty() ? 0 : m_rotationOffset % list->size();
      std::rotate(list->begin(),
                  list->begin() + static_cast<std::ptrdiff_t>(begin),
                  list->end());
    }
  }
  near.insert(near.end(), far.begin(), far.end());
  near.resize(std::min(near.size(), kMaxAddresses));
  return near;
}

} // namespace briarglade
