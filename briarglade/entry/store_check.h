// Decides which nodes check that the store serves them after it has refused a
// node that follows it, and which of them follow it in the meantime.
//
// The nodes that don't follow the store make no calls, so that nobody knows
// whether it serves them. A follower that it refuses requests a check: the
// nodes that would be followers next call the store at once, many more soon
// after, and all others if none of these is served. A node that is served
// announces it, which ends the check at the nodes that are ranked after it, and
// acts as a follower until the fleet has agreed on new ones.
//
// Load pattern: the store refuses any number of the nodes, but not all, at the
// same moment; in an outage, it refuses all of several hundred.
//
// Example:
//   check.OnRequested(now, rank);
//   if (check.TakeDue(now)) { CallStore(); }
//   if (check.OnServed(now, call.m_madeAt)) { Announce(); }

#pragma once

#include <cstddef>
#include <optional>

#include "briarglade/base/millis.h"

namespace briarglade {

class StoreCheck
{
public:
  // Until then the fleet has agreed on new followers: a node counts as refused
  // after 700 ms, and the others learn of it within 800 ms.
  static constexpr Millis kSubstituteTime = Millis(2'000);
  // The least time between two requests of one node.
  static constexpr Millis kRequestPeriod = Millis(1'000);

  // Returns how long the node of a rank waits for the better ranked ones to be
  // served. A bulletin takes some 100 ms to reach all nodes.
  static Millis DelayOf(size_t aRank)
  {
    constexpr size_t kAtOnce = 4;
    constexpr size_t kSoon = 12;
    constexpr size_t kLater = 44;
    if (aRank < kAtOnce) {
      return Millis();
    }
    if (aRank < kSoon) {
      return Millis(50);
    }
    return aRank < kLater ? Millis(150) : Millis(300);
  }

  // Returns whether this node, which the store has refused, is to request a
  // check of the others. It must do so if true is returned.
  bool TakeRequest(Millis aNow)
  {
    if (m_lastRequestAt && aNow - *m_lastRequestAt < kRequestPeriod) {
      return false;
    }
    m_lastRequestAt = aNow;
    return true;
  }

  // Records that a node has requested a check. aRank: this node's place among
  // the possible followers.
  void OnRequested(Millis aNow, size_t aRank)
  {
    m_requestedAt = aNow;
    m_dueAt = aNow + DelayOf(aRank);
    m_substituteUntil.reset();
  }

  // Records that the store serves a node that is ranked before this one, which
  // told it aAge ago. What was told before the last request may be of an
  // earlier check and ends nothing.
  void OnBetterServed(Millis aAge)
  {
    if (aAge >= kRequestPeriod) {
      return;
    }
    m_requestedAt.reset();
    m_dueAt.reset();
    m_substituteUntil.reset();
  }

  // Returns whether this node is to call the store for the check now. It must
  // do so if true is returned.
  bool TakeDue(Millis aNow)
  {
    if (!m_dueAt || aNow < *m_dueAt) {
      return false;
    }
    m_dueAt.reset();
    return true;
  }

  // Records that the store has accepted a call of this node. Returns whether
  // this node is to announce it.
  bool OnServed(Millis aNow, Millis aMadeAt)
  {
    const bool isOfCheck =
      m_requestedAt && !m_dueAt && aMadeAt >= *m_requestedAt;
    if (!isOfCheck) {
      return false;
    }
    m_requestedAt.reset();
    m_substituteUntil = aNow + kSubstituteTime;
    return true;
  }

  // Returns whether this node is to follow the store although it isn't one of
  // the followers.
  bool IsSubstituteFollower(Millis aNow) const
  {
    return m_substituteUntil && aNow < *m_substituteUntil;
  }

private:
  std::optional<Millis> m_lastRequestAt;
  // The check that is going on; none once this node is served, or one that is
  // ranked before it.
  std::optional<Millis> m_requestedAt;
  // When this node calls the store for it; none: it has.
  std::optional<Millis> m_dueAt;
  std::optional<Millis> m_substituteUntil;
};

} // namespace briarglade
