// Tests of the bounded memory of survivals.

#include "briarglade/gateway/survival_log.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

RequestTrait Part(uint64_t aId)
{
  return RequestTrait{ TraitKind::PromptPart, aId };
}

TEST_CASE("a part that survives again and again stays known while many others "
          "come")
{
  SurvivalLog log;
  Millis now(1'000);
  for (uint64_t other = 10; other < 20'000; ++other) {
    now += Millis(1);
    log.Record(Part(other), now);
    if (other % 100 == 0) {
      log.Record(Part(1), now);
    }
    REQUIRE(log.Size() <= 4'096);
    if (other >= 100) {
      REQUIRE(now - log.LastSurvival(Part(1)) < Millis(101));
    }
  }
  CHECK(log.LastSurvival(Part(10)) == Millis());
}

TEST_CASE("an older survival does not replace a newer one")
{
  SurvivalLog log;
  log.Record(Part(1), Millis(2'000));
  log.Record(Part(1), Millis(1'000));
  CHECK(log.LastSurvival(Part(1)) == Millis(2'000));
}

TEST_CASE("a survival is forgotten with time")
{
  SurvivalLog log;
  Millis now(1'000);
  log.Expire(now);
  log.Record(Part(1), now);
  for (; now < Millis(601'000); now += Millis(1'000)) {
    log.Expire(now);
    CHECK(log.LastSurvival(Part(1)) == Millis(1'000));
  }
  for (; now < Millis(1'300'000); now += Millis(1'000)) {
    log.Expire(now);
  }
  CHECK(log.Size() == 0);
}

} // namespace
} // namespace briarglade
