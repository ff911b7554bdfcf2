// Tracks whether a node may lack a version of the configuration that is in
// force on other nodes: because another node has a later one, or because
// neither the store nor a node with the same version has been heard of for too
// long. Handles a node that was unresponsive, or cut off, during a change.
//
// Example:
//   currency.OnConfirmed(now, sentAt.NotBefore());
//   currency.OnTick(now, behindSince);
//   if (currency.MayLackVersion(now, behindSince)) { ... refuse, not 404 ... }

#pragma once

#include <optional>

#include "briarglade/base/millis.h"

namespace briarglade {

class ConfigCurrency
{
public:
  ConfigCurrency() = default;
  // aBound: the longest time until a change is in force on every node.
  explicit ConfigCurrency(Millis aBound)
    : m_bound(aBound)
  {
  }

  // The store, or a node that knows the same version, was heard of by a message
  // that was not sent before aSentAt. An answer of the store, for which that is
  // not known, tells the time of its receipt: it is ignored just after a pause
  // of this process, as it may have waited for it.
  void OnConfirmed(Millis aNow, Millis aSentAt);
  // Updates the state; called in each tick. aBehindSince: since when another
  // node has been known to have a later version.
  void OnTick(Millis aNow, std::optional<Millis> aBehindSince);

  // Returns whether a later version may be in force on other nodes.
  bool MayLackVersion(Millis aNow, std::optional<Millis> aBehindSince) const;
  // Returns since when that has been so, as of the last tick.
  std::optional<Millis> DoubtSince() const { return m_doubtSince; }
  // Returns whether that has been so for longer than the bound, as of the last
  // tick.
  bool IsLongInDoubt() const { return m_isLongInDoubt; }

private:
  bool IsPaused(Millis aNow) const;

  Millis m_bound = Millis(2'000);
  std::optional<Millis> m_confirmedAt;
  std::optional<Millis> m_tickedAt;
  Millis m_resumedAt = Millis(-1'000'000);
  std::optional<Millis> m_doubtSince;
  bool m_isLongInDoubt = false;
};

} // namespace briarglade
