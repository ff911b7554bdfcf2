// Tests of deques that are bounded in size and age.

#include "briarglade/gateway/internal/bounded_deque.h"

#include <deque>
#include <doctest/doctest.h>

namespace briarglade::internal {
namespace {

struct Entry
{
  Millis m_at;
};

TEST_CASE("beyond the bound the first entry goes")
{
  std::deque<Entry> entries;
  for (int64_t i = 0; i < 5; ++i) {
    AppendBounded(entries, Entry{ Millis(i) }, 3);
  }
  REQUIRE(entries.size() == 3);
  CHECK(entries.front().m_at == Millis(2));
  CHECK(entries.back().m_at == Millis(4));
}

TEST_CASE("entries before an instant go, later ones and that of the instant "
          "stay")
{
  std::deque<Entry> entries{ { Millis(1) }, { Millis(2) }, { Millis(3) } };
  DropOlderThan(entries, Millis(2));
  REQUIRE(entries.size() == 2);
  CHECK(entries.front().m_at == Millis(2));
  DropOlderThan(entries, Millis(9));
  CHECK(entries.empty());
}

} // namespace
} // namespace briarglade::internal
