// Tests of the ages of notices that were on their way for long.

#include "briarglade/entry/notice_age.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

const SendTime kFiveSecondsAgo(Millis(9'000), Millis(4'000));
const SendTime kAnyTimeAgo(Millis(9'000), std::nullopt);

Bulletin MakeBulletin()
{
  Bulletin bulletin;
  bulletin.m_age = ToldAge(Millis(20));
  bulletin.m_harm.m_evidence = { CrashEvidence{
    ServerRun{ HostId("s"), BootId("1") }, DomainId("d"), Millis(30), {} } };
  bulletin.m_harm.m_clearances = { TraitClearance{ {}, Millis(40) } };
  bulletin.m_rateLimits = { RateLimitNotice{
    ServerRun{ HostId("s"), BootId("1") }, 4.5, Millis(50) } };
  bulletin.m_entryDoubt = Millis(6'000);
  return bulletin;
}

// Guards against evidence, rate limits and doubt that a link held back being
// taken, and handed on, as of their receipt.
TEST_CASE("every age in a bulletin has the way of its message added")
{
  const Bulletin received = AsOfReceipt(kFiveSecondsAgo, MakeBulletin());
  CHECK(received.m_age.WhenSent() == Millis(5'020));
  CHECK(received.m_harm.m_evidence[0].m_age == Millis(5'030));
  CHECK(received.m_harm.m_clearances[0].m_age == Millis(5'040));
  CHECK(received.m_rateLimits[0].m_age == Millis(5'050));
  CHECK(received.m_entryDoubt == Millis(1'000));
  Bulletin brief = MakeBulletin();
  brief.m_entryDoubt = Millis(100);
  CHECK(AsOfReceipt(kFiveSecondsAgo, brief).m_entryDoubt == Millis());
}

TEST_CASE("a bulletin whose way is not known is of any age and states no rate "
          "limit, but what is told once remains")
{
  const Bulletin received = AsOfReceipt(kAnyTimeAgo, MakeBulletin());
  CHECK(received.m_age.WhenSent() > Millis(1'000'000));
  CHECK(received.m_rateLimits.empty());
  CHECK(received.m_harm.m_evidence[0].m_age == Millis(30));
  CHECK(received.m_entryDoubt == Millis(6'000));
}

TEST_CASE("a refusal that was on its way for long lasts for less")
{
  TraitRefusal refusal;
  refusal.m_crashAge = Millis(100);
  refusal.m_remaining = Millis(8'000);
  refusal = AsOfReceipt(kFiveSecondsAgo, refusal);
  CHECK(refusal.m_crashAge == Millis(5'100));
  CHECK(refusal.m_remaining == Millis(3'000));
}

} // namespace
} // namespace briarglade
