// Tests of the matching of broken exchanges with lost servers.

#include "briarglade/gateway/crash_matcher.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace briarglade {
namespace {

constexpr Millis kNow(100'000);
const std::vector<RequestTrait> kTraits{ { TraitKind::Request, 7 },
                                         { TraitKind::PromptPart, 8 } };

ServerRun RunOf(const std::string& aServer, const char* aRun = "r1")
{
  return ServerRun{ HostId(aServer), BootId(aRun) };
}

TEST_CASE("a broken exchange and the loss of its server are evidence, "
          "whichever is known first")
{
  const DomainId domain("d1");
  CrashMatcher matcher;
  CHECK_FALSE(matcher.OnBroken(kNow, kTraits, RunOf("s1")));
  const std::vector<CrashEvidence> found =
    matcher.OnServerLost(kNow + Millis(900), RunOf("s1"), domain);
  REQUIRE(found.size() == 1);
  CHECK(found[0].m_server == RunOf("s1"));
  CHECK(found[0].m_domain == domain);
  CHECK(found[0].m_age == Millis(900));
  CHECK(found[0].m_traits == kTraits);
  const auto later = matcher.OnBroken(kNow + Millis(950), kTraits, RunOf("s1"));
  REQUIRE(later);
  CHECK(later->m_domain == domain);
  CHECK(later->m_age == Millis());
}

TEST_CASE("a loss that is reported again is no further evidence")
{
  CrashMatcher matcher;
  matcher.OnBroken(kNow, kTraits, RunOf("s1"));
  CHECK(matcher.OnServerLost(kNow, RunOf("s1"), DomainId()).size() == 1);
  CHECK(matcher.OnServerLost(kNow, RunOf("s1"), DomainId()).empty());
}

TEST_CASE("only the same run of a server matches")
{
  CrashMatcher matcher;
  matcher.OnBroken(kNow, kTraits, RunOf("s1", "r1"));
  CHECK(matcher.OnServerLost(kNow, RunOf("s2", "r1"), DomainId()).empty());
  CHECK(matcher.OnServerLost(kNow, RunOf("s1", "r2"), DomainId()).empty());
  CHECK(matcher.OnServerLost(kNow, RunOf("s1", "r1"), DomainId()).size() == 1);
}

TEST_CASE("the exchanges that a running server broke off are no evidence")
{
  CrashMatcher matcher;
  matcher.OnBroken(kNow, kTraits, RunOf("s1"));
  matcher.OnBroken(kNow, kTraits, RunOf("s2"));
  matcher.OnServerAlive(RunOf("s1"));
  CHECK(matcher.OnServerLost(kNow, RunOf("s1"), DomainId()).empty());
  CHECK(matcher.OnServerLost(kNow, RunOf("s2"), DomainId()).size() == 1);
}

TEST_CASE("a broken exchange and a loss match within the window only, in both "
          "orders")
{
  const Millis window = CrashMatcher::kMatchWindow;
  for (const bool isExpired : { false, true }) {
    CAPTURE(isExpired);
    const Millis distance = isExpired ? window + Millis(1) : window;
    CrashMatcher matcher;
    matcher.OnBroken(kNow, kTraits, RunOf("s1"));
    matcher.OnServerLost(kNow, RunOf("s2"), DomainId());
    const Millis later = kNow + distance;
    CHECK(matcher.OnServerLost(later, RunOf("s1"), DomainId()).empty() ==
          isExpired);
    CHECK(matcher.OnBroken(later, kTraits, RunOf("s2")).has_value() !=
          isExpired);
  }
}

TEST_CASE("what is too old to match is forgotten, and the rest is kept")
{
  CrashMatcher matcher;
  matcher.OnBroken(kNow, kTraits, RunOf("s1"));
  matcher.OnServerLost(kNow, RunOf("s2"), DomainId());
  matcher.Expire(kNow + CrashMatcher::kMatchWindow);
  CHECK(matcher.Size() == 2);
  matcher.Expire(kNow + CrashMatcher::kMatchWindow + Millis(1));
  CHECK(matcher.Size() == 0);
}

TEST_CASE("however many exchanges break off and servers are lost, a bounded "
          "number is kept, the latest")
{
  constexpr size_t kCount = CrashMatcher::kMaxEntries * 3;
  CrashMatcher matcher;
  for (size_t i = 0; i < kCount; ++i) {
    matcher.OnBroken(kNow, kTraits, RunOf("s" + std::to_string(i)));
    matcher.OnServerLost(kNow, RunOf("t" + std::to_string(i)), DomainId());
  }
  CHECK(matcher.Size() == 2 * CrashMatcher::kMaxEntries);
  const std::string last = std::to_string(kCount - 1);
  CHECK(matcher.OnServerLost(kNow, RunOf("s" + last), DomainId()).size() == 1);
  CHECK(matcher.OnServerLost(kNow, RunOf("s0"), DomainId()).empty());
  CHECK(matcher.OnBroken(kNow, kTraits, RunOf("t" + last)));
}

} // namespace
} // namespace briarglade
