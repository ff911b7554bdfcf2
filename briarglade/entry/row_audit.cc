// When the rows of a feed are checked against the store.

#include "briarglade/entry/row_audit.h"

namespace briarglade {

namespace {

// The least time between two checks, and between two reads of the whole feed.
constexpr Millis kCheckGap = Millis(1'000);
constexpr Millis kReadAllGap = Millis(15'000);
// Rows that differ for a shorter time are on their way.
constexpr Millis kDifferTime = Millis(500);

} // namespace

void RowAudit::OnCompared(Millis aNow, bool aIsSame)
{
  if (aIsSame) {
    m_differsSince.reset();
    m_hasAskedForChanges = false;
  } else {
    m_differsSince = m_differsSince.value_or(aNow);
  }
}

RowCheck RowAudit::TakeDue(Millis aNow)
{
  const bool differs = m_differsSince && aNow - *m_differsSince >= kDifferTime;
  const bool needsAll = differs && m_hasAskedForChanges;
  const Millis gap = needsAll ? kReadAllGap : kCheckGap;
  const bool isAllowed = !m_checkedAt || aNow - *m_checkedAt >= gap;
  if (!isAllowed || (!m_isUnproven && !differs)) {
    return RowCheck::None;
  }
  m_checkedAt = aNow;
  m_isUnproven = false;
  m_hasAskedForChanges = differs;
  return needsAll ? RowCheck::All : RowCheck::Changes;
}

} // namespace briarglade
