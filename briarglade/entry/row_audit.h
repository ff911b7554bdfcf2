// Decides when a node checks its rows of a feed against the store, besides the
// calls that it makes anyway: another node's changes could not be shown to be
// all that this node lacks, or every other node that says that it knows the
// same changes has other rows.
//
// Example:
//   audit.OnCompared(now, theirs == own);
//   if (audit.TakeDue(now) == RowCheck::All) { ReadAll(); }

#pragma once

#include <optional>

#include "briarglade/base/millis.h"

namespace briarglade {

enum class RowCheck
{
  None,
  // The changes since this node's last answer from the store suffice.
  Changes,
  // The changes have not sufficed.
  All
};

class RowAudit
{
public:
  // Records that changes from another node could not be shown to be complete.
  void OnUnproven() { m_isUnproven = true; }
  // Records whether a node that knows the same changes has the same rows.
  void OnCompared(Millis aNow, bool aIsSame);
  // Returns the check that is due. The caller must make it.
  RowCheck TakeDue(Millis aNow);

private:
  bool m_isUnproven = false;
  // Since when all nodes that were compared with have had other rows.
  std::optional<Millis> m_differsSince;
  std::optional<Millis> m_checkedAt;
  // Whether the changes have been asked for since then.
  bool m_hasAskedForChanges = false;
};

} // namespace briarglade
