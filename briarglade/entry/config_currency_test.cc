// Tests of when a node may lack a version of the configuration.

#include "briarglade/entry/config_currency.h"

#include <doctest/doctest.h>

namespace briarglade {
namespace {

constexpr Millis kBound = Millis(3'000);

// Ticks every 50 ms, from aFrom to aUntil, confirmed each time.
void RunConfirmed(ConfigCurrency& aCurrency, int64_t aFrom, int64_t aUntil)
{
  for (int64_t now = aFrom; now <= aUntil; now += 50) {
    aCurrency.OnTick(Millis(now), std::nullopt);
    aCurrency.OnConfirmed(Millis(now), Millis(now));
  }
}

TEST_CASE("a node that is confirmed lacks no version")
{
  ConfigCurrency currency(kBound);
  RunConfirmed(currency, 1'000, 9'000);
  CHECK_FALSE(currency.MayLackVersion(Millis(9'050), std::nullopt));
  CHECK_FALSE(currency.IsLongInDoubt());
}

TEST_CASE("a node that another one is ahead of may lack a version at once, and "
          "for long after the bound")
{
  ConfigCurrency currency(kBound);
  RunConfirmed(currency, 1'000, 2'000);
  CHECK(currency.MayLackVersion(Millis(2'010), Millis(2'010)));
  for (int64_t now = 2'050; now <= 5'000; now += 50) {
    currency.OnTick(Millis(now), Millis(2'010));
    CHECK_FALSE(currency.IsLongInDoubt());
  }
  currency.OnTick(Millis(5'050), Millis(2'010));
  CHECK(currency.IsLongInDoubt());
  currency.OnConfirmed(Millis(5'060), Millis(5'060));
  currency.OnTick(Millis(5'100), std::nullopt);
  CHECK_FALSE(currency.IsLongInDoubt());
}

// Fails if a node answers 404 by an old version after the bound: a change
// acknowledged just after the last confirmation is in force on all others.
TEST_CASE("a node that hears of nobody may lack a version before the bound")
{
  ConfigCurrency currency(kBound);
  RunConfirmed(currency, 1'000, 2'000);
  for (int64_t now = 2'050; now <= 5'000; now += 50) {
    currency.OnTick(Millis(now), std::nullopt);
  }
  CHECK_FALSE(currency.MayLackVersion(Millis(3'900), std::nullopt));
  CHECK(currency.MayLackVersion(Millis(4'050), std::nullopt));
}

// Messages that were sent before the change may be handled after the pause.
TEST_CASE("messages that waited for a paused process confirm nothing")
{
  ConfigCurrency currency(kBound);
  RunConfirmed(currency, 1'000, 2'000);
  currency.OnConfirmed(Millis(6'000), Millis(6'000));
  CHECK(currency.MayLackVersion(Millis(6'000), std::nullopt));
  currency.OnTick(Millis(6'010), std::nullopt);
  currency.OnConfirmed(Millis(6'020), Millis(6'020));
  CHECK(currency.MayLackVersion(Millis(6'020), std::nullopt));
  currency.OnTick(Millis(6'200), std::nullopt);
  currency.OnConfirmed(Millis(6'250), Millis(6'250));
  CHECK_FALSE(currency.MayLackVersion(Millis(6'250), std::nullopt));
}

// Guards against 404 by an old version: a link had held back the word of a node
// that knew no later one when it sent it.
TEST_CASE("a message that a link held back confirms only what was so when it "
          "was sent")
{
  ConfigCurrency currency(kBound);
  RunConfirmed(currency, 1'000, 2'000);
  for (int64_t now = 2'050; now <= 6'000; now += 50) {
    currency.OnTick(Millis(now), std::nullopt);
    currency.OnConfirmed(Millis(now), Millis(2'020));
  }
  CHECK(currency.MayLackVersion(Millis(6'000), std::nullopt));
  currency.OnConfirmed(Millis(6'000), Millis(5'980));
  currency.OnConfirmed(Millis(6'000), Millis(2'020));
  CHECK_FALSE(currency.MayLackVersion(Millis(6'000), std::nullopt));
}

} // namespace
} // namespace briarglade
