// Tests of what is kept of a suspected trait.

#include "briarglade/gateway/suspected_trait.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace briarglade {
namespace {

constexpr Millis kNow(1'000'000);
constexpr RequestTrait kTrait{ TraitKind::PromptPart, 1 };
// Three crashes refuse a trait.
constexpr size_t kCrashesToRefuse = 3;

RequestTrait PartOf(uint64_t aValue)
{
  return RequestTrait{ TraitKind::PromptPart, aValue };
}

TraitCrash CrashOf(size_t aServer, Millis aAt, const char* aDomain = "")
{
  TraitCrash crash;
  crash.m_at = aAt;
  crash.m_server =
    ServerRun{ HostId("s" + std::to_string(aServer)), BootId("r") };
  crash.m_domain = DomainId(aDomain);
  return crash;
}

SharedTraits RequestOf(std::vector<RequestTrait> aTraits)
{
  return std::make_shared<const std::vector<RequestTrait>>(std::move(aTraits));
}

TEST_CASE("requests at one crash count once, and their traits come together")
{
  SuspectedTrait suspect(kTrait, Millis());
  suspect.RecordCrash(CrashOf(1, kNow), RequestOf({ kTrait, PartOf(2) }));
  suspect.RecordCrash(CrashOf(1, kNow), RequestOf({ kTrait, PartOf(3) }));
  CHECK(suspect.CrashesAgainst(kNow).size() == 1);
  CHECK(suspect.Companions() ==
        std::vector<RequestTrait>{ PartOf(2), PartOf(3) });
  suspect.RecordCrash(CrashOf(2, kNow), RequestOf({ kTrait, PartOf(3) }));
  CHECK(suspect.Companions() == std::vector<RequestTrait>{ PartOf(3) });
}

TEST_CASE("crashes before the last survival, later than asked for, or with a "
          "common cause don't count")
{
  SuspectedTrait suspect(kTrait, kNow);
  suspect.RecordCrash(CrashOf(1, kNow - Millis(1)), RequestOf({ kTrait }));
  suspect.RecordCrash(CrashOf(2, kNow + Millis(500), "d1"),
                      RequestOf({ kTrait }));
  suspect.RecordCrash(CrashOf(3, kNow + Millis(600), "d1"),
                      RequestOf({ kTrait }));
  suspect.RecordCrash(CrashOf(4, kNow + Millis(600), "d2"),
                      RequestOf({ kTrait }));
  suspect.RecordCrash(CrashOf(5, kNow + Millis(2'000)), RequestOf({ kTrait }));
  CHECK(suspect.CrashesAgainst(kNow + Millis(1'000)).size() == 2);
  suspect.RecordSurvival(kNow + Millis(550));
  CHECK(suspect.CrashesAgainst(kNow + Millis(1'000)).size() == 2);
  suspect.RecordSurvival(kNow + Millis(700));
  CHECK(suspect.CrashesAgainst(kNow + Millis(1'000)).empty());
}

TEST_CASE("however many crashes and requests come, a bounded number is kept")
{
  SuspectedTrait suspect(kTrait, Millis());
  for (size_t i = 0; i < 3 * SuspectedTrait::kMaxCrashes; ++i) {
    const TraitCrash crash = CrashOf(i, kNow + Millis(static_cast<int64_t>(i)));
    for (uint64_t j = 0; j < 3 * SuspectedTrait::kMaxRequests; ++j) {
      suspect.RecordCrash(crash, RequestOf({ kTrait, PartOf(100 + j) }));
    }
  }
  CHECK(suspect.Crashes().size() == SuspectedTrait::kMaxCrashes);
  CHECK(suspect.Crashes().back().m_server.m_server ==
        CrashOf(3 * SuspectedTrait::kMaxCrashes - 1, kNow).m_server.m_server);
  CHECK(suspect.Crashes().back().m_requests.size() ==
        SuspectedTrait::kMaxRequests);
}

TEST_CASE("each refusal is longer than the one before, up to a day, and after "
          "its end one more crash refuses the trait again")
{
  SuspectedTrait suspect(kTrait, Millis());
  Millis now = kNow;
  Millis before;
  for (int i = 0; i < 6; ++i) {
    CAPTURE(i);
    while (suspect.Crashes().size() < kCrashesToRefuse) {
      suspect.RecordCrash(CrashOf(static_cast<size_t>(now.Count()), now),
                          RequestOf({ kTrait }));
      now = now + Millis(1'000);
    }
    suspect.Refuse(now);
    const Millis time = suspect.RefusedUntil() - now;
    const bool isLonger =
      time > before || time == SuspectedTrait::kLongestRefusal;
    CHECK(isLonger);
    CHECK(time <= SuspectedTrait::kLongestRefusal);
    before = time;
    now = suspect.RefusedUntil();
    suspect.EndRefusalIfDue(now - Millis(1), kCrashesToRefuse);
    CHECK(suspect.IsRefused());
    suspect.EndRefusalIfDue(now, kCrashesToRefuse);
    CHECK_FALSE(suspect.IsRefused());
    CHECK(suspect.Crashes().size() == kCrashesToRefuse - 1);
  }
}

TEST_CASE("a reported refusal has the companions that were reported")
{
  SuspectedTrait suspect(kTrait, Millis());
  suspect.RecordCrash(CrashOf(1, kNow), RequestOf({ kTrait, PartOf(2) }));
  TraitRefusal refusal;
  refusal.m_trait = kTrait;
  refusal.m_companions = { PartOf(9) };
  refusal.m_crashAge = Millis(400);
  refusal.m_remaining = SuspectedTrait::kLongestRefusal + Millis(1);
  suspect.RefuseAsReported(kNow + Millis(1'000), refusal);
  CHECK(suspect.IsRefused());
  CHECK_FALSE(suspect.IsRefusedHere());
  CHECK(suspect.Companions() == refusal.m_companions);
  CHECK(suspect.LastCrashAt() == kNow + Millis(600));
  CHECK(suspect.RefusedUntil() ==
        kNow + Millis(1'000) + SuspectedTrait::kLongestRefusal);
  suspect.EndRefusal();
  CHECK(suspect.Companions() == std::vector<RequestTrait>{ PartOf(2) });
}

TEST_CASE("evidence expires, and after a refusal it is kept for longer")
{
  constexpr Millis kEvidenceLifetime(600'000);
  SuspectedTrait suspect(kTrait, Millis());
  suspect.RecordCrash(CrashOf(1, kNow), RequestOf({ kTrait }));
  CHECK_FALSE(suspect.IsExpired(kNow + kEvidenceLifetime));
  CHECK(suspect.IsExpired(kNow + kEvidenceLifetime + Millis(1)));
  suspect.Refuse(kNow);
  CHECK_FALSE(suspect.IsExpired(kNow + kEvidenceLifetime + Millis(1)));
  suspect.EndRefusal();
  CHECK_FALSE(suspect.IsExpired(kNow + kEvidenceLifetime + Millis(1)));
}

} // namespace
} // namespace briarglade
