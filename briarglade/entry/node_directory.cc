// Tracks which nodes are live, and chooses nodes for callers, relays and the
// store.

#include "briarglade/entry/node_directory.h"

#include <algorithm>

#include "briarglade/base/rendezvous.h"
#include "briarglade/entry/relay_selector.h"

namespace briarglade {

namespace {

// A node that was last seen longer ago than this does not count as live, and
// callers do not get its address.
constexpr Millis kLiveTimeout = Millis(2'000);
// For this long, a node with a new row may be live although it has not been
// seen yet.
constexpr Millis kUnseenTimeout = Millis(2'000);
// If no other node is seen, the fault may be on this side, so callers get the
// addresses of nodes for somewhat longer.
constexpr Millis kIsolatedLiveTimeout = Millis(4'000);
// The lease holder counts as lost when it was last seen longer ago than this.
constexpr Millis kHolderLostTimeout = Millis(1'300);
// A lease holder that the store has rejected for this long is replaced.
constexpr Millis kStoreLostTimeout = Millis(400);
// The largest number of addresses in one response to a caller.
constexpr size_t kMaxAddresses = 64;
// Number of nodes that follow the store: the second one is there in case the
// first one fails.
constexpr size_t kStoreFollowers = 2;

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
  const uint64_t before = node.m_row.m_incarnation;
  const bool isRestarted = before != aRow->m_incarnation;
  if (isNew || (isRestarted && node.m_incarnation != aRow->m_incarnation)) {
    node = KnownNode();
    node.m_knownSince = aNow;
  }
  node.m_row = *aRow;
  if (!isNew && isRestarted) {
    node.m_replacedRun = ReplacedRun{ before, aNow };
  }
}

// Returns whether a later message is known of the node, or a message was sent
// by a run that has ended. If the store returns from an older copy of itself, a
// row that is read may be the older one, but what comes after that is not.
bool NodeDirectory::IsOutdated(const SendTime& aSentAt,
                               const NodeNews& aUpdate,
                               const KnownNode& aNode)
{
  const bool isOfReplacedRun =
    aNode.m_replacedRun &&
    aNode.m_replacedRun->m_incarnation == aUpdate.m_incarnation &&
    aSentAt.NotBefore() <= aNode.m_replacedRun->m_replacedAt;
  return isOfReplacedRun ||
         (aNode.m_lastSeenAt && aSentAt.NotBefore() < *aNode.m_lastSeenAt);
}

void NodeDirectory::OnPeerUpdate(const SendTime& aSentAt,
                                 const NodeNews& aUpdate)
{
  const auto found = m_others.find(aUpdate.m_node);
  if (found == m_others.end()) {
    return;
  }
  KnownNode& node = found->second;
  if (aUpdate.m_incarnation == node.m_row.m_incarnation) {
    node.m_readsPacked = aUpdate.m_readsPacked;
  }
  if (!aSentAt.IsKnown() || IsOutdated(aSentAt, aUpdate, node)) {
    return;
  }
  node.m_incarnation = aUpdate.m_incarnation;
  node.m_readsPacked = aUpdate.m_readsPacked;
  NodeCondition condition = aUpdate.m_condition;
  if (!aUpdate.m_rowChanges.empty()) {
    // That doubt is about these rows, for this node alone.
    condition.m_entryDoubt = Millis();
  }
  RecordCondition(aSentAt.NotBefore(), node, condition);
}

bool NodeDirectory::OnStatus(const SendTime& aSentAt, const NodeStatus& aStatus)
{
  const auto runNode = m_nodesByRunKey.find(aStatus.m_key);
  if (runNode == m_nodesByRunKey.end()) {
    return false;
  }
  KnownNode& node = m_others.at(runNode->second);
  const Millis seenAt = aSentAt.At(aStatus.m_age);
  const bool isNewer =
    aSentAt.IsKnown() && (!node.m_lastSeenAt || seenAt > *node.m_lastSeenAt);
  // If the node was last seen with an incarnation other than that of its row,
  // that run is later than the one that this status is about.
  const bool isOtherRun =
    node.m_lastSeenAt && node.m_incarnation != node.m_row.m_incarnation;
  if (isNewer && !isOtherRun) {
    node.m_incarnation = node.m_row.m_incarnation;
    RecordCondition(seenAt, node, aStatus.m_condition);
  }
  return true;
}

void NodeDirectory::RecordCondition(Millis aSeenAt,
                                    KnownNode& aNode,
                                    const NodeCondition& aCondition)
{
  const Millis unseenFor = aSeenAt - aNode.m_lastSeenAt.value_or(aSeenAt);
  if (unseenFor > kLiveTimeout) {
    m_returns.push_back(NodeReturn{
      aNode.m_row.m_node, aNode.m_incarnation, aSeenAt, unseenFor });
  }
  aNode.m_lastSeenAt = aSeenAt;
  aNode.m_condition = aCondition;
  if (!aCondition.m_isStoreLost) {
    aNode.m_storeLostSince.reset();
  } else if (!aNode.m_storeLostSince) {
    aNode.m_storeLostSince = aSeenAt;
  }
}

std::vector<std::pair<NodeId, const KnownNode*>> NodeDirectory::LiveNodes(
  Millis aNow,
  const ZoneId& aZone) const
{
  std::vector<std::pair<NodeId, const KnownNode*>> live;
  for (const auto& [id, node] : m_others) {
    const bool isInZone = aZone.IsEmpty() || node.m_row.m_zone == aZone;
    if (isInZone && WasSeenWithin(aNow, node, kLiveTimeout)) {
      live.emplace_back(id, &node);
    }
  }
  return live;
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
      !node.m_lastSeenAt && aNow - node.m_knownSince <= kUnseenTimeout;
    const bool mayBeLive = isNew || WasSeenWithin(aNow, node, kLiveTimeout);
    if (node.m_row.m_zone == aZone && mayBeLive &&
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
  return aNode.m_lastSeenAt && aNow - *aNode.m_lastSeenAt <= aWithin;
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
  const bool isRestarted =
    (node.m_lastSeenAt && node.m_incarnation != aIncarnation) ||
    node.m_row.m_incarnation != aIncarnation;
  const Millis since = node.m_lastSeenAt.value_or(node.m_knownSince);
  return isRestarted || node.m_condition.m_isLeaving ||
         aNow - since > kHolderLostTimeout;
}

bool NodeDirectory::IsStoreLost(Millis aNow, const NodeId& aNode) const
{
  const auto found = m_others.find(aNode);
  return found != m_others.end() && found->second.m_storeLostSince &&
         aNow - *found->second.m_storeLostSince >= kStoreLostTimeout;
}

std::vector<NodeId> NodeDirectory::Followers(Millis aNow,
                                             bool aIsSelfLost,
                                             const NodeId& aHolder) const
{
  std::vector<NodeId> liveNodes = ActiveNodeIds(aNow);
  std::vector<NodeId> eligible;
  for (const NodeId& id : liveNodes) {
    const auto other = m_others.find(id);
    const bool isEligible = other == m_others.end()
                              ? !aIsSelfLost && !m_isSelfLeaving
                              : !other->second.m_storeLostSince;
    if (isEligible) {
      eligible.push_back(id);
    }
  }
  // If no node can reach the store, some nodes must keep trying.
  std::vector<NodeId> ranked =
    RankNodes("store", eligible.empty() ? liveNodes : eligible);
  const auto holder = std::find(ranked.begin(), ranked.end(), aHolder);
  if (holder != ranked.end()) {
    std::rotate(ranked.begin(), holder, holder + 1);
  }
  ranked.resize(std::min(ranked.size(), kStoreFollowers));
  return ranked;
}

std::vector<NodeId> NodeDirectory::ActiveNodeIds(Millis aNow) const
{
  std::vector<NodeId> liveNodes;
  for (const auto& [id, node] : LiveNodes(aNow, ZoneId())) {
    if (!node->m_condition.m_isLeaving) {
      liveNodes.push_back(id);
    }
  }
  liveNodes.insert(
    std::lower_bound(liveNodes.begin(), liveNodes.end(), m_self.m_node),
    m_self.m_node);
  return liveNodes;
}

std::vector<Endpoint> NodeDirectory::Addresses(Millis aNow, const ZoneId& aZone)
{
  const bool isIsolated = ActiveNodeIds(aNow).size() == 1;
  const Millis within = isIsolated ? kIsolatedLiveTimeout : kLiveTimeout;
  std::vector<Endpoint> sameZone;
  std::vector<Endpoint> otherZones;
  const auto add = [&](const NodeRow& aRow) {
    (aRow.m_zone == aZone ? sameZone : otherZones)
      .push_back(aRow.m_callerAddress);
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
  if (sameZone.size() + otherZones.size() > kMaxAddresses) {
    m_rotationOffset += kMaxAddresses;
    for (std::vector<Endpoint>* list : { &sameZone, &otherZones }) {
      const size_t begin = list->empty() ? 0 : m_rotationOffset % list->size();
      std::rotate(list->begin(),
                  list->begin() + static_cast<std::ptrdiff_t>(begin),
                  list->end());
    }
  }
  sameZone.insert(sameZone.end(), otherZones.begin(), otherZones.end());
  sameZone.resize(std::min(sameZone.size(), kMaxAddresses));
  return sameZone;
}

} // namespace briarglade
