// Tests of when the rows of a feed are checked against the store.

#include "briarglade/entry/row_audit.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

constexpr Millis kStep = Millis(50);

// Compares each 50 ms and returns the checks until a time.
int CountChecks(RowAudit& aAudit, Millis aUntil, bool aIsSame, RowCheck aKind)
{
  int count = 0;
  for (Millis now; now < aUntil; now += kStep) {
    aAudit.OnCompared(now, aIsSame);
    count += aAudit.TakeDue(now) == aKind ? 1 : 0;
  }
  return count;
}

TEST_CASE("nothing is checked while others have the same rows")
{
  RowAudit audit;
  CHECK(CountChecks(audit, Millis(60'000), true, RowCheck::None) == 1'200);
}

TEST_CASE("changes that could not be shown to be all are checked at once, and "
          "not more than each second")
{
  RowAudit audit;
  audit.OnUnproven();
  CHECK(audit.TakeDue(Millis(100)) == RowCheck::Changes);
  CHECK(audit.TakeDue(Millis(150)) == RowCheck::None);
  audit.OnUnproven();
  CHECK(audit.TakeDue(Millis(1'050)) == RowCheck::None);
  CHECK(audit.TakeDue(Millis(1'100)) == RowCheck::Changes);
}

TEST_CASE("rows that differ for a while are checked, at last all of them")
{
  RowAudit audit;
  CHECK(CountChecks(audit, Millis(500), false, RowCheck::None) == 10);
  CHECK(audit.TakeDue(Millis(500)) == RowCheck::Changes);
  RowAudit other;
  CHECK(CountChecks(other, Millis(20'000), false, RowCheck::All) == 1);
}

TEST_CASE("one node with the same rows shows that another one is wrong")
{
  RowAudit audit;
  for (Millis now; now < Millis(10'000); now += kStep) {
    audit.OnCompared(now, now.Count() % 200 == 0);
    CHECK(audit.TakeDue(now) == RowCheck::None);
  }
}

} // namespace
} // namespace briarglade
