// Tests of finding requests that take backend servers down.

#include "briarglade/routing/crash_tracker.h"

#include <doctest/doctest.h>
#include <string>

namespace briarglade {
namespace {

constexpr Fingerprint kBad(7);
constexpr uint32_t kGroupsInDomain = 4;

struct Crash
{
  Millis m_at;
  std::string m_group;
  std::string m_domain;
};

LostGroup Site(const Crash& aCrash)
{
  return LostGroup{ GroupId(aCrash.m_group),
                    BootId("boot"),
                    DomainId(aCrash.m_domain) };
}

TEST_CASE("two crashes of different groups convict, an outage doesn't")
{
  struct Row
  {
    const char* m_name;
    std::vector<Crash> m_withRequest;
    // Groups that are lost besides, without the request.
    std::vector<Crash> m_others;
    bool m_lossFirst;
    bool m_convicted;
  };
  const Millis t0(1'000);
  const Millis later(30'000);
  const Row rows[] = {
    { "one crash", { { t0, "g1", "d1" } }, {}, false, false },
    { "two groups",
      { { t0, "g1", "d1" }, { later, "g2", "d2" } },
      {},
      false,
      true },
    { "two groups, loss known first",
      { { t0, "g1", "d1" }, { later, "g2", "d2" } },
      {},
      true,
      true },
    { "the same group twice",
      { { t0, "g1", "d1" }, { later, "g1", "d1" } },
      {},
      false,
      false },
    { "a domain goes dark",
      { { t0, "g1", "d1" }, { t0 + Millis(500), "g2", "d1" } },
      { { t0, "g3", "d1" } },
      false,
      false },
    { "a domain goes dark after a crash elsewhere",
      { { t0, "g9", "d9" }, { later, "g2", "d1" } },
      { { later, "g3", "d1" }, { later, "g4", "d1" } },
      false,
      false },
  };
  for (const Row& row : rows) {
    CAPTURE(row.m_name);
    CrashTracker ledger;
    for (const Crash& crash : row.m_others) {
      ledger.NoteLoss(crash.m_at, Site(crash), kGroupsInDomain);
    }
    for (const Crash& crash : row.m_withRequest) {
      if (row.m_lossFirst) {
        ledger.NoteLoss(crash.m_at, Site(crash), kGroupsInDomain);
      }
      ledger.NoteBroken(crash.m_at, kBad, GroupId(crash.m_group));
      if (!row.m_lossFirst) {
        ledger.NoteLoss(crash.m_at, Site(crash), kGroupsInDomain);
      }
    }
    const bool isRefused = ledger.RefusedFor(later, kBad) > Millis();
    CHECK(isRefused == row.m_convicted);
  }
}

TEST_CASE("a strike of another node counts, a success clears")
{
  for (const bool isCleared : { false, true }) {
    CAPTURE(isCleared);
    CrashTracker ledger;
    CrashNotice notice;
    notice.m_fingerprint = kBad;
    notice.m_group = GroupId("g1");
    ledger.NotePeerNotice(Millis(1'000), notice, DomainId("d1"));
    if (isCleared) {
      ledger.NoteSuccess(kBad);
    }
    ledger.NoteBroken(Millis(20'000), kBad, GroupId("g2"));
    ledger.NoteLoss(Millis(20'100),
                    LostGroup{ GroupId("g2"), BootId("b"), DomainId("d2") },
                    kGroupsInDomain);
    CHECK((ledger.RefusedFor(Millis(20'200), kBad) > Millis()) != isCleared);
    CHECK((ledger.TakeNotices().back().m_refuseFor > Millis()) != isCleared);
  }
}

TEST_CASE("broken exchanges and losses far apart aren't matched")
{
  CrashTracker ledger;
  for (const char* group : { "g1", "g2" }) {
    ledger.NoteBroken(Millis(1'000), kBad, GroupId(group));
    ledger.NoteLoss(Millis(60'000),
                    LostGroup{ GroupId(group), BootId("b"), DomainId(group) },
                    kGroupsInDomain);
  }
  CHECK_FALSE(ledger.IsSuspect(kBad));
  CHECK(ledger.RefusedFor(Millis(60'000), kBad) == Millis());
}

} // namespace
} // namespace briarglade
