// Tracks the nodes that are registered or were until recently.

#include "briarglade/entry/node_roster.h"

#include <algorithm>
#include <utility>

namespace briarglade {

namespace {

// Allows for the difference between two nodes' estimates of the store's clock,
// and for the time that a request spends in transit.
constexpr Millis kRosterMargin = Millis(1'000);

} // namespace

NodeRoster::NodeRoster(NodeId aSelf, Millis aWindow)
  : m_self(std::move(aSelf))
  , m_window(aWindow)
{
}

Millis NodeRoster::SettleTime() const
{
  return kRosterMaxAge + m_window + kRosterMargin;
}

void NodeRoster::OnRow(Millis aNow, const NodeId& aNode, bool aIsThere)
{
  if (aNode == m_self) {
    return;
  }
  m_isChanged = true;
  if (aIsThere) {
    m_others[aNode].reset();
    return;
  }
  // Also counts a node whose row was added and removed unobserved.
  const auto [other, isNew] = m_others.try_emplace(aNode, aNow);
  if (!isNew && !other->second) {
    other->second = aNow;
  }
}

void NodeRoster::OnRegistered(Millis aNow, RowVersion aVersion)
{
  if (!m_registeredAt) {
    m_registeredAt = aNow;
  }
  m_registeredVersion = std::max(m_registeredVersion, aVersion);
}

bool NodeRoster::OnRowOverwritten(RowVersion aVersion)
{
  if (!m_registeredAt || aVersion <= m_registeredVersion) {
    return false;
  }
  m_registeredAt.reset();
  return true;
}

void NodeRoster::OnWholeRead(Millis aNow)
{
  if (!m_readAt) {
    m_readAt = aNow;
  }
}

void NodeRoster::OnKnownUpTo(Millis aStoreTime)
{
  m_knownUpTo = std::max(m_knownUpTo, aStoreTime);
}

std::shared_ptr<const std::vector<NodeId>> NodeRoster::Nodes(Millis aNow)
{
  if (!m_readAt) {
    return nullptr;
  }
  for (auto other = m_others.begin(); other != m_others.end();) {
    const bool hasSettled =
      other->second && aNow - *other->second >= SettleTime();
    m_isChanged = m_isChanged || hasSettled;
    other = hasSettled ? m_others.erase(other) : std::next(other);
  }
  if (m_isChanged) {
    std::vector<NodeId> nodes{ m_self };
    for (const auto& [node, removedAt] : m_others) {
      nodes.push_back(node);
    }
    std::sort(nodes.begin(), nodes.end());
    m_nodes = std::make_shared<const std::vector<NodeId>>(std::move(nodes));
    m_isChanged = false;
  }
  return m_nodes;
}

Millis NodeRoster::ValidUntil(Millis aNow, const StoreClock& aClock) const
{
  const bool isMember = !m_isLeaving && m_registeredAt && m_readAt;
  if (!isMember || !aClock.IsKnown() ||
      aNow < std::max(*m_registeredAt, *m_readAt) + SettleTime()) {
    return aNow;
  }
  return aNow + kRosterMaxAge - KnowledgeAge(aNow, aClock);
}

Millis NodeRoster::KnowledgeAge(Millis aNow, const StoreClock& aClock) const
{
  return aClock.At(aNow) - m_knownUpTo;
}

} // namespace briarglade
